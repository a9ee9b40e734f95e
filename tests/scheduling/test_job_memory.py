"""Tests of the memory that accepted jobs may take."""

import testtools

from support import clocks
from support import jobs
from wagtailtiller.scheduling import job_memory
from wagtailtiller.scheduling import pool as pool_module

_LARGE = jobs.spec(jobs.step(2_000))


class JobMemoryTest(testtools.TestCase):
    """Load pattern: many whole jobs of the largest legal size at once."""

    def setUp(self):
        super().setUp()
        self.pools = [
            pool_module.Pool(name, 1, clocks.FakeClock())
            for name in (jobs.POOL, "plates")
        ]
        self.memory = job_memory.JobMemory(10_000_000, lambda: self.pools)

    def add_large_jobs(self, pool, names):
        added = 0
        for name in names:
            if self.memory.has_room(_LARGE):
                pool.jobs.add(jobs.job(name, _LARGE), inherited=False)
                added += 1
        return added

    def test_pools_of_a_process_share_the_limit(self):
        self.assertEqual(2, self.add_large_jobs(self.pools[0], "ab"))
        self.assertEqual(1, self.add_large_jobs(self.pools[1], "cdef"))

    def test_other_callers_find_room_beside_large_jobs(self):
        self.add_large_jobs(self.pools[0], "abcdefgh")
        self.assertFalse(self.memory.has_room(_LARGE))
        self.assertTrue(self.memory.has_room(jobs.spec()))

    def test_removed_jobs_give_their_room_back(self):
        self.add_large_jobs(self.pools[0], "abcdefgh")
        for entry in list(self.pools[0].entries.values()):
            self.pools[0].jobs.remove(entry.job.id)
        self.assertEqual(0, self.pools[0].held_job_bytes)
        self.assertTrue(self.memory.has_room(_LARGE))

    def test_job_that_is_added_again_counts_once(self):
        pool = self.pools[0]
        for _ in range(2):
            pool.jobs.add(jobs.job("a", _LARGE), inherited=True)
        self.assertEqual(
            job_memory.estimated_bytes(_LARGE), pool.held_job_bytes
        )

    def test_only_the_open_occurrences_of_a_repeated_job_count(self):
        repeated = jobs.spec(jobs.step(10), repeat_count=1_000_000)
        self.assertLess(job_memory.estimated_bytes(repeated), 3_000_000)
