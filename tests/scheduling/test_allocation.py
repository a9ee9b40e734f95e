"""Tests of the allocations of pools under load and after failures."""

import testtools

from support import clocks
from support import jobs
from support import limits
from wagtailtiller.jobs import record
from wagtailtiller.ports import vms
from wagtailtiller.scheduling import allocation

_ORG = limits.ORGANISATION


class PoolsTest(testtools.TestCase):
    """Pools whose owners reach the document without delay."""

    def setUp(self):
        super().setUp()
        self.clock = clocks.FakeClock()
        self.version = 0
        self.revision = 0
        self.document = allocation.Document()
        self.pools = {}

    def add_pools(self, *names, cores=100, organisations=()):
        for name in names:
            pool = limits.LimitedPool(name, self.clock)
            pool.list_runs()
            pool.allocations.load(self.document, self.revision)
            self.pools[name] = pool
        self.declare(cores, *organisations)
        return list(self.pools.values())

    def declare(self, cores, *names):
        self.version += 1
        for pool in self.pools.values():
            pool.allocations.set_organisations(
                limits.organisations(*names, cores=cores), self.version
            )

    def commit(self, pool):
        """Let one owner change its entries; return whether it did."""
        proposal = pool.allocations.propose()
        if proposal is None:
            return False
        self.document = proposal
        self.revision += 1
        for other in self.pools.values():
            other.allocations.load(proposal, self.revision)
        return True

    def commit_all(self, rounds=1):
        for _ in range(rounds):
            for pool in self.pools.values():
                self.commit(pool)
            self.clock.advance(500)

    def held(self, name, organisation=_ORG):
        entries = self.document.entries.get(organisation, {})
        return entries[name].allocation.cpu_millicores if name in entries else 0

    def used(self):
        return sum(len(pool.vm.runs) for pool in self.pools.values())

    def take_over(self, pool):
        successor = limits.LimitedPool(pool.pool, self.clock, epoch=2)
        successor.unresolved = {pool.vm.report.vm: self.clock.now_ms + 5_000}
        for entry in pool.entries.values():
            copy = record.decode(record.encode(entry.job)).ok
            successor.jobs.add(copy, True, copy.state)
        successor.allocations.load(self.document, self.revision)
        self.pools[pool.pool] = successor
        self.version -= 1
        self.declare(100)
        return successor


class RotatingPeakTest(PoolsTest):
    """Peaks of one organisation that pass from pool to pool."""

    def test_peak_that_begins_elsewhere_finds_the_limit_free(self):
        """Guards against a peak that waits for what an idle pool holds."""
        first, second = self.add_pools("first", "second")
        first.add_job("a" * 16, jobs.step(95))
        self.commit_all(rounds=6)
        self.assertGreaterEqual(self.held("first"), 95_000)
        first.jobs.cancel("a" * 16)
        self.commit_all(rounds=5)
        second.add_job("b" * 16, jobs.step(40))
        self.commit(second)
        self.assertGreaterEqual(self.held("second"), 40_000)

    def test_first_change_of_a_peak_covers_a_demand_that_rises_fivefold(self):
        """Guards against a peak that waits for the store at each rise."""
        (pool,) = self.add_pools("first")
        pool.add_job("a" * 16, jobs.step(10))
        self.commit(pool)
        self.assertGreaterEqual(self.held("first"), 50_000)


class AllocationTest(PoolsTest):
    def test_one_organisation_in_a_peak_in_two_pools_uses_its_limit(self):
        """Guards against a static split, which leaves half of it unused."""
        pools = self.add_pools("a", "b", "c", "d")
        for pool in pools[:2]:
            pool.add_job("j" * 16, jobs.step(80))
        for _ in range(5):
            self.commit_all()
            for pool in pools:
                pool.start_all()
        self.assertLessEqual(self.used(), 100)
        self.assertGreaterEqual(self.used(), 95)

    def test_one_pool_takes_nearly_the_whole_limit_in_two_seconds(self):
        (pool, *_) = self.add_pools("a", "b")
        pool.add_job("j" * 16, jobs.step(200))
        for _ in range(5):
            self.commit(pool)
        self.assertGreaterEqual(self.held("a"), 95_000)

    def test_four_pools_that_start_at_once_all_get_something(self):
        for pool in self.add_pools("a", "b", "c", "d"):
            pool.add_job("j" * 16, jobs.step(200))
        self.commit_all()
        for name in "abcd":
            self.assertGreaterEqual(self.held(name), 6_000)

    def test_peak_that_moves_takes_the_allocation_along(self):
        """Guards against a pool that keeps what it no longer needs."""
        first, second = self.add_pools("a", "b")
        entry = first.add_job("j" * 16, jobs.step(200))
        self.commit_all(5)
        first.jobs.cancel(entry.job.id)
        second.add_job("k" * 16, jobs.step(200))
        self.commit_all(8)
        self.assertGreaterEqual(self.held("b"), 95_000)

    def test_twenty_organisations_with_one_large_are_separate(self):
        names = [f"o{number}" for number in range(20)]
        (pool,) = self.add_pools("a", cores=5, organisations=names)
        pool.add_job("j" * 16, jobs.step(500), organisation="o0")
        for number in range(1, 20):
            name = f"{number:016d}"
            pool.add_job(name, jobs.step(2), organisation=f"o{number}")
        for _ in range(4):
            self.commit_all()
            pool.start_all()
        counts = {}
        for run in pool.vm.runs.values():
            organisation = pool.entries[run.task.id.job].job.organisation
            counts[organisation] = counts.get(organisation, 0) + 1
        self.assertEqual(dict.fromkeys(names[1:], 2) | {"o0": 5}, counts)

    def test_blocked_tasks_do_not_block_others_and_are_no_demand(self):
        """Guards against machines that are moved for tasks that may not run."""
        (pool,) = self.add_pools("a", cores=2)
        pool.add_job("j" * 16, jobs.step(50))
        pool.add_job("k" * 16, jobs.step(3), organisation="")
        self.assertEqual(3, len(pool.start_all()))
        self.commit_all(3)
        self.assertEqual(2, len(pool.start_all()))
        self.assertEqual((0, 0), pool.jobs.demand())

    def test_gang_starts_only_as_a_whole(self):
        """Guards against a gang of which the allocation allows a part."""
        (pool,) = self.add_pools("a", cores=10)
        pool.add_job("j" * 16, jobs.step(4))
        self.commit_all(3)
        self.assertEqual(4, len(pool.start_all()))
        pool.add_job("k" * 16, jobs.step(8, gang=True))
        self.commit_all(3)
        self.assertEqual([], pool.start_all())
        pool.list_runs(running=set())
        pool.jobs.cancel("j" * 16)
        self.assertEqual(8, len(pool.start_all()))

    def test_lowered_limit_under_load_stops_starts_until_it_holds(self):
        """Guards against a start while another pool uses what it held."""
        first, second = self.add_pools("a", "b")
        for pool in (first, second):
            pool.add_job("j" * 16, jobs.step(200))
        self.commit_all(4)
        first.start_all()
        self.declare(20)
        self.assertEqual([], second.start_all())
        self.commit_all(3)
        self.assertEqual([], second.start_all())
        first.list_runs(running=set())
        self.commit_all(3)
        for pool in (first, second):
            pool.start_all()
        self.assertLessEqual(self.used(), 20)
        self.assertGreaterEqual(self.used(), 18)

    def test_missed_versions_stop_starts_until_they_are_recorded(self):
        """Guards against a limit that was high between two equal versions."""
        (pool,) = self.add_pools("a")
        pool.add_job("j" * 16, jobs.step(10))
        self.commit_all(2)
        self.version += 1
        self.declare(100)
        self.assertEqual([], pool.start_all())
        self.commit_all()
        self.assertEqual(10, len(pool.start_all()))

    def test_stale_copy_cannot_raise_and_keeps_its_own_allocation(self):
        first, second = self.add_pools("a", "b")
        first.add_job("j" * 16, jobs.step(200))
        self.commit_all()
        second.add_job("k" * 16, jobs.step(200))
        stale = second.allocations.propose()
        self.commit(first)
        self.assertNotIn("b", self.document.entries[_ORG])
        self.assertIsNotNone(stale)
        self.assertEqual(75, len(first.start_all()))

    def test_lost_answer_of_a_lowering_commit_lowers_at_once(self):
        """Guards against a start within what the commit has given away."""
        first, second = self.add_pools("a", "b")
        first.add_job("j" * 16, jobs.step(200))
        self.commit_all(6)
        second.add_job("k" * 16, jobs.step(200))
        self.commit(second)
        self.assertIsNotNone(first.allocations.propose())
        self.assertLessEqual(len(first.start_all()), 50)

    def test_unresponded_starts_and_stopping_runs_count(self):
        (pool,) = self.add_pools("a", cores=4)
        entry = pool.add_job("j" * 16, jobs.step(4))
        self.commit_all(4)
        pool.start_all(vms.CommandOutcome.UNANSWERED)
        pool.jobs.cancel(entry.job.id)
        pool.add_job("k" * 16, jobs.step(4))
        self.assertEqual([], pool.start_all())
        self.clock.advance(10)
        pool.list_runs(running=set())
        self.assertEqual([], list(pool.vm.runs))
        self.assertEqual(4, len(pool.start_all()))

    def test_owner_dies_after_its_commit_and_before_the_first_start(self):
        (pool,) = self.add_pools("a")
        pool.add_job("j" * 16, jobs.step(10))
        self.commit_all(2)
        successor = self.take_over(pool)
        self.assertEqual(20_000, successor.allocations.allowed(_ORG)[0])
        successor.list_runs(running=set())
        self.assertEqual(10, len(successor.start_all()))

    def test_takeover_with_unknown_runs_of_a_cancelled_job(self):
        """Guards against starts beside runs that the successor cannot see."""
        pool, other = self.add_pools("a", "b")
        entry = pool.add_job("j" * 16, jobs.step(10))
        self.commit_all(2)
        runs = {(run.task.id, run.number) for run in pool.start_all()}
        self.assertEqual(10, len(runs))
        pool.jobs.cancel(entry.job.id)
        successor = self.take_over(pool)
        other.add_job("l" * 16, jobs.step(200))
        self.commit_all(6)
        self.assertGreaterEqual(self.held("a"), 10_000)
        successor.add_job("k" * 16, jobs.step(90))
        self.assertGreaterEqual(len(other.start_all()), 80)
        self.assertEqual([], successor.start_all())
        # The runs are still being stopped after the VM has answered.
        successor.list_runs(running=runs)
        self.commit_all()
        allowed = successor.allocations.allowed(_ORG)[0] // 1_000
        may_start = successor.allocations.may_start
        self.assertFalse(may_start(_ORG, jobs.step(), allowed - 9))
        self.assertTrue(may_start(_ORG, jobs.step(), allowed - 10))

    def test_organisation_that_gets_a_limit_under_load_is_recorded_first(self):
        """Guards against a third pool that takes what two others use."""
        pools = self.add_pools("a", "b", "c", cores=0)
        for pool in pools[:2]:
            pool.add_job("j" * 16, jobs.step(80))
            pool.start_all()
        self.declare(100)
        pools[2].add_job("j" * 16, jobs.step(80))
        self.commit(pools[2])
        self.commit_all(4)
        self.assertEqual([], pools[2].start_all())
        self.assertEqual(80_000, self.held("a"))

    def test_nothing_is_proposed_while_nothing_changes(self):
        (pool,) = self.add_pools("a")
        pool.add_job("j" * 16, jobs.step(10))
        self.commit_all(4)
        pool.start_all()
        self.clock.advance(5_000)
        self.assertFalse(self.commit(pool))
        self.clock.advance(500)
        self.assertFalse(self.commit(pool))

    def test_without_limits_nothing_is_needed_and_everything_may_start(self):
        (pool,) = self.add_pools("a", cores=0)
        pool.add_job("j" * 16, jobs.step(10))
        self.assertFalse(pool.allocations.needed())
        self.assertFalse(self.commit(pool))
        self.assertEqual(10, len(pool.start_all()))


class LimitAdmissionTest(PoolsTest):
    def admit(self, pool, *steps, organisation=_ORG):
        return pool.jobs.admit(jobs.spec(*steps), jobs.queue(), organisation)

    def test_waiting_work_beyond_the_limit_refuses_further_jobs(self):
        (pool,) = self.add_pools("a", cores=10)
        pool.add_job("j" * 16, jobs.step(100, estimate_ms=1_000))
        refusal = self.admit(pool, jobs.step(10, estimate_ms=1_000))
        # 10 s of waiting work and 1 s of its own, within 3 times 2.2 s.
        self.assertEqual("over_limit", refusal.reason.value)
        self.assertEqual(4_400, refusal.retry_after_ms)
        self.assertIsNone(self.admit(pool, jobs.step(10), organisation="other"))

    def test_task_that_the_limit_never_allows_is_refused(self):
        (pool,) = self.add_pools("a", cores=2)
        step = jobs.step(1, cpu_millicores=3_000)
        self.assertEqual("over_limit", self.admit(pool, step).reason.value)
        self.assertIsNone(self.admit(pool, jobs.step(1)))

    def test_blocked_backlog_does_not_refuse_jobs_of_others(self):
        (pool,) = self.add_pools("a", cores=10)
        pool.add_job("j" * 16, jobs.step(9_000, estimate_ms=10_000))
        pool.spare_millicores = 0
        other = self.admit(pool, jobs.step(1), organisation="other")
        self.assertIsNone(other)
