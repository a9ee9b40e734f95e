"""Tests of jobs under the keys of earlier versions."""

import asyncio

import testtools

from support import fakes
from support import jobs
from wagtailtiller import ids
from wagtailtiller import keys
from wagtailtiller.jobs import record
from wagtailtiller.owner import earlier_keys
from wagtailtiller.ownership import claims
from wagtailtiller.ownership import shard as shard_module

_POOL = ids.PoolId("press/plates")


class EarlierKeysTest(testtools.TestCase):
    """Guards against jobs that a new version does not find."""

    def setUp(self):
        super().setUp()
        self.store = fakes.FakeStore()
        shard = shard_module.PoolShard(_POOL)
        written = self.store.state.write(keys.owner(shard), b"owner", 0, "")
        self.claim = claims.Claim(shard, 1, written.ok)

    def move(self):
        return asyncio.run(
            earlier_keys.move_jobs(self.store, self.claim, _POOL)
        )

    def stored(self):
        return self.store.state.read(keys.JOBS_PREFIX).items

    def add(self, pool, number):
        job = jobs.job(f"{number:016x}")
        key = f"{keys.JOBS_PREFIX}{pool}/{job.id}"
        self.store.state.write(key, record.encode(job), 0, "")
        return job.id

    def test_jobs_are_moved_to_the_keys_of_this_version(self):
        moved = {keys.job(_POOL, self.add(_POOL, n)) for n in range(20)}
        self.assertTrue(self.move().is_ok())
        self.assertEqual(moved, {key.key for key in self.stored()})

    def test_jobs_of_other_pools_stay(self):
        self.add("press/plates/large", 1)
        self.add("press", 2)
        before = self.stored()
        self.assertTrue(self.move().is_ok())
        self.assertEqual(before, self.stored())

    def test_a_former_owner_moves_nothing(self):
        self.add(_POOL, 1)
        before = self.stored()
        self.store.state.write(
            keys.owner(self.claim.shard), b"other", self.claim.revision, ""
        )
        self.assertTrue(self.move().is_error())
        self.assertEqual(before, self.stored())
