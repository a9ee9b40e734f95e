"""Tests of the state of jobs, owners and waves that operators see."""

import msgspec
import testtools

from support import jobs
from wagtailtiller import ids
from wagtailtiller import keys
from wagtailtiller.ctl import entry_state as entry_state_module
from wagtailtiller.jobs import record
from wagtailtiller.maintenance import manager_state
from wagtailtiller.ownership import claims
from wagtailtiller.ownership import shard as shard_module
from wagtailtiller.ports import store
from wagtailtiller.scheduling import allocation

_JOB_ID = "a" * 16
_SHARD = shard_module.PoolShard(jobs.POOL)
_NOW_WALL_MS = 1_002_500


class EntryStateTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.items = []

    def put(self, key, value):
        self.items.append(store.Item(key, value, ids.Revision(1)))

    def put_job(self, job):
        self.put(keys.job(jobs.POOL, job.id), record.encode(job))

    def put_owner(self):
        owner = claims.OwnerRecord(ids.NodeId("e-1"), "e-1:1", "x", 4)
        self.put(keys.owner(_SHARD), claims.encode(owner))
        self.put(keys.epoch(_SHARD), b"4")
        members = msgspec.json.encode({"vm-1": "m-1"})
        self.put(keys.members(jobs.POOL), members)

    def explain(self, job_id=_JOB_ID):
        entry_state = entry_state_module.EntryState(self.items)
        return "\n".join(
            entry_state_module.explain(entry_state, job_id, _NOW_WALL_MS)
        )

    def two_step_job(self):
        spec = jobs.spec(jobs.step(2), jobs.step(3, after=(0,)))
        return jobs.job(_JOB_ID, spec)

    def test_explains_that_the_pool_has_no_owner(self):
        self.put_job(self.two_step_job())
        self.assertIn("has no owner", self.explain())

    def test_explains_which_step_a_step_waits_for(self):
        job = self.two_step_job()
        job.mark_done(job.steps(0)[0].tasks[0])
        self.put_job(job)
        self.put_owner()
        text = self.explain()
        self.assertIn("accepted 2.5 s ago", text)
        self.assertIn("owned by e-1 at epoch 4", text)
        self.assertIn("step 0: 1 of 2 tasks done", text)
        self.assertIn("step 1: 0 of 3 tasks done, 0 runs failed; waits", text)

    def test_explains_failed_job_with_its_failed_runs(self):
        job = self.two_step_job()
        for number in range(3):
            job.record_failure(job.steps(0)[0].tasks[0], number, 3)
        self.put_job(job)
        text = self.explain()
        self.assertIn("is failed", text)
        self.assertIn("3 runs failed", text)
        self.assertNotIn("owner", text)

    def test_explains_unknown_job_with_reference_to_the_logs(self):
        self.assertIn("job_refused", self.explain("b" * 16))

    def test_counts_jobs_by_pool_and_state(self):
        self.put_job(jobs.job("c" * 16))
        completed = jobs.job("d" * 16)
        completed.mark_done(completed.steps(0)[0].tasks[0])
        self.put_job(completed)
        counts = entry_state_module.EntryState(self.items).count_states()
        self.assertEqual({"queued": 1, "completed": 1}, dict(counts[jobs.POOL]))

    def test_lists_limits_with_allocation_and_demand_by_pool(self):
        org = ids.OrganisationId("press")
        limit = allocation.Amounts(100_000, 0, 0)
        entries = {
            jobs.POOL: allocation.Entry(
                allocation.Amounts(25_000), allocation.Amounts(60_000)
            ),
            ids.PoolId("plates"): allocation.Entry(allocation.Amounts(50_000)),
        }
        document = allocation.Document(
            {org: allocation.Limit(3, limit)}, {org: entries}
        )
        self.put(keys.ALLOCATIONS, allocation.encode(document))
        entry_state = entry_state_module.EntryState(self.items)
        cpu = ("press", "cpu_millicores")
        self.assertEqual(
            [
                (*cpu, "all", 100_000, 75_000, 60_000),
                (*cpu, "plates", 100_000, 50_000, 0),
                (*cpu, jobs.POOL, 100_000, 25_000, 60_000),
            ],
            entry_state_module.organisation_rows(entry_state.allocations),
        )

    def test_lists_waves_and_unreadable_keys(self):
        progress = manager_state.WaveProgress([ids.MachineId("m-1")], False)
        self.put(keys.wave(ids.WaveId("7")), msgspec.msgpack.encode(progress))
        self.put(keys.job(jobs.POOL, "e" * 16), b"?")
        self.put(keys.epoch(_SHARD), b"many")
        entry_state = entry_state_module.EntryState(self.items)
        self.assertEqual({"7": progress}, entry_state.waves)
        self.assertEqual(2, len(entry_state.unreadable))
