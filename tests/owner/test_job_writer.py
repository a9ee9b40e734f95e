"""Tests of the group commit of a pool's jobs."""

import asyncio

from expression import Error
import msgspec
import testtools

from support import clocks
from support import fakes
from support import jobs
from wagtailtiller import errors
from wagtailtiller import ids
from wagtailtiller import keys
from wagtailtiller.jobs import model
from wagtailtiller.jobs import record
from wagtailtiller.owner import job_writer
from wagtailtiller.owner import queue_pools
from wagtailtiller.ownership import claims
from wagtailtiller.ownership import shard as shard_module
from wagtailtiller.ports import store as store_module
from wagtailtiller.scheduling import pool as pool_module

_JOB = model.JobId("a" * 16)
_KEY = keys.job(jobs.POOL, _JOB)


class _ShortBackoff:
    def reset(self):
        pass

    async def wait(self):
        await asyncio.sleep(0.005)


class JobWriterTest(testtools.TestCase):
    def run_with(self, main, faults=()):
        async def wrapped():
            self.store = fakes.FakeStore()
            shard = shard_module.PoolShard(jobs.POOL)
            owner_write = self.store.state.write(
                keys.owner(shard), b"me", 0, ""
            )
            self.store.faults = list(faults)
            claim = claims.Claim(shard, 1, owner_write.ok)
            self.pool = pool_module.Pool(jobs.POOL, 1, clocks.FakeClock())
            self.pool.jobs.set_queues([jobs.queue()])
            self.known_pools = queue_pools.QueuePools()
            self.writer = job_writer.JobWriter(
                self.store, self.pool, claim, _ShortBackoff(), self.known_pools
            )
            writer_task = asyncio.create_task(self.writer.run())
            try:
                await asyncio.wait_for(main(), 5)
            finally:
                writer_task.cancel()

        asyncio.run(wrapped())

    def add_job(self, *steps):
        return self.pool.jobs.add(jobs.job(_JOB, jobs.spec(*steps)), False)

    def store_list(self, *pools):
        """Store a list of the queue's pools that the writer does not know."""
        key = keys.queue_pools(jobs.QUEUE)
        revision = self.store.state.item(key).revision
        value = msgspec.json.encode(pools)
        self.store.state.write(key, value, revision, "")

    def test_job_that_another_pool_has_accepted_is_not_created(self):
        """Guards against jobs that run again after their queue has moved."""

        async def main():
            other = ids.PoolId("other")
            self.store_list(other)
            accepted = record.encode(jobs.job(_JOB))
            self.store.state.write(keys.job(other, _JOB), accepted, 0, "")
            self.add_job()
            outcome = await self.writer.write(_JOB)
            self.assertIs(job_writer.WriteOutcome.IN_OTHER_POOL, outcome)
            self.assertNotIn(_JOB, self.pool.entries)
            self.assertIsNone(self.store.state.item(_KEY).value)

        self.run_with(main)

    def test_pool_joins_the_list_of_the_queue_with_its_first_job(self):
        async def main():
            self.store_list("other")
            self.add_job()
            outcome = await self.writer.write(_JOB)
            self.assertIs(job_writer.WriteOutcome.STORED, outcome)
            item = self.store.state.item(keys.queue_pools(jobs.QUEUE))
            self.assertEqual(
                ["other", jobs.POOL], msgspec.json.decode(item.value)
            )

        self.run_with(main)

    def test_no_transaction_has_too_many_entries(self):
        """Guards against batches that the store refuses for good."""

        async def main():
            sizes = []
            commit = self.store.commit

            async def measured_commit(transaction):
                sizes.append(
                    len(transaction.expected) + len(transaction.writes)
                )
                return await commit(transaction)

            self.store.commit = measured_commit
            self.store_list("one", "two", "three")
            writes = []
            for number in range(40):
                job = jobs.job(f"{number:016x}")
                self.pool.jobs.add(job, False)
                writes.append(self.writer.write(job.id))
            self.assertEqual(
                {job_writer.WriteOutcome.STORED},
                set(await asyncio.gather(*writes)),
            )
            self.assertLessEqual(
                max(sizes), store_module.MAX_TRANSACTION_ENTRIES
            )

        self.run_with(main)

    def stored(self):
        return record.decode(self.store.state.item(_KEY).value).ok

    def test_flush_waits_for_commit_in_progress(self):
        """A flush must not succeed while an earlier batch is not stored.

        The second flush finds no changed job, since the first one has already
        scheduled it.
        """

        async def main():
            entry = self.add_job(jobs.step(2))
            await self.writer.write(_JOB)
            first, second = next(entry.job.ready_steps(1 << 60)).tasks
            commit_allowed = asyncio.Event()
            commit = self.store.commit

            async def slow_commit(transaction):
                await commit_allowed.wait()
                return await commit(transaction)

            self.store.commit = slow_commit
            entry.job.mark_done(first)
            self.pool.changed.add(_JOB)
            first_flush = asyncio.create_task(
                self.writer.begin_flush().wait(2_000)
            )
            await asyncio.sleep(0.05)
            self.assertFalse(await self.writer.begin_flush().wait(50))
            commit_allowed.set()
            self.assertTrue(await first_flush)
            self.assertEqual(
                [first.id], [t.id for t in self.stored_done_tasks()]
            )

        self.run_with(main)

    def stored_done_tasks(self):
        return list(self.stored().done_tasks())

    def test_late_commit_does_not_undo_newer_one(self):
        """The store applies a commit without a response after a newer one."""

        async def main():
            entry = self.add_job(jobs.step(2))
            await self.writer.write(_JOB)
            first, second = next(entry.job.ready_steps(1 << 60)).tasks
            self.store.faults = [fakes.Fault.DELAYED]
            entry.job.mark_done(first)
            self.assertIs(
                job_writer.WriteOutcome.STORED, await self.writer.write(_JOB)
            )
            entry.job.mark_done(second)
            await self.writer.write(_JOB)
            self.store.apply_delayed()
            self.assertEqual(2, len(self.stored_done_tasks()))

        self.run_with(main)

    def test_write_with_lost_response_counts_as_stored(self):
        async def main():
            self.add_job()
            outcome = await self.writer.write(_JOB)
            self.assertIs(job_writer.WriteOutcome.STORED, outcome)

        self.run_with(main, [fakes.Fault.RESPONSE_LOST])

    def test_job_whose_first_write_failed_is_dropped(self):
        async def main():
            self.add_job()
            self.store.refuse_commits = True
            outcome = await self.writer.write(_JOB)
            self.assertIs(job_writer.WriteOutcome.NOT_STORED, outcome)
            self.assertEqual({}, self.pool.entries)

        self.run_with(main)

    def test_repeated_submission_of_dropped_job_is_not_reported_as_stored(self):
        """LOST: the caller was told that a job was accepted.

        It had sent the job again during the first write, which then failed.
        """

        async def main():
            self.add_job()
            self.store.refuse_commits = True
            first = self.writer.write(_JOB)
            while self.writer._pending:
                await asyncio.sleep(0)
            second = self.writer.write(_JOB)
            self.assertIs(job_writer.WriteOutcome.NOT_STORED, await first)
            self.store.refuse_commits = False
            self.assertIs(job_writer.WriteOutcome.NOT_STORED, await second)

        self.run_with(main)

    def test_previous_owner_cannot_write(self):
        async def main():
            entry = self.add_job()
            await self.writer.write(_JOB)
            key = keys.owner(shard_module.PoolShard(jobs.POOL))
            found = self.store.state.item(key)
            self.store.state.write(key, b"other", found.revision, "")
            entry.job.cancel(1)
            outcome = await self.writer.write(_JOB)
            self.assertIs(job_writer.WriteOutcome.OWNERSHIP_LOST, outcome)
            self.assertIs(model.JobState.QUEUED, self.stored().state)

        self.run_with(main)

    def test_stop_answers_write_in_progress(self):
        """A caller of a stopped owner waited without end."""

        async def main():
            self.add_job()

            async def unanswered(transaction):
                await asyncio.sleep(60)

            self.store.commit = unanswered
            write = self.writer.write(_JOB)
            await asyncio.sleep(0.1)
            self.writer.stop()
            outcome = await asyncio.wait_for(write, 1)
            self.assertIs(job_writer.WriteOutcome.OWNERSHIP_LOST, outcome)

        self.run_with(main)

    def test_flush_of_previous_owner_fails(self):
        """Otherwise a previous owner would acknowledge unstored ended runs.

        The second flush finds nothing to write and must fail as well.
        """

        async def main():
            entry = self.add_job(jobs.step(2))
            await self.writer.write(_JOB)
            self.store.state.delete(
                keys.owner(shard_module.PoolShard(jobs.POOL)), 1
            )
            entry.job.mark_done(entry.job.steps(0)[0].tasks[0])
            self.pool.mark_changed(entry)
            self.assertFalse(await self.writer.begin_flush().wait(1_000))
            self.assertFalse(await self.writer.begin_flush().wait(1_000))

        self.run_with(main)

    def test_flush_of_job_that_is_not_stored_fails(self):
        """Otherwise the end of a run is acknowledged that no record shows.

        A former owner had run a job of a frontend, which this owner was about
        to store for the first time.
        """

        async def main():
            entry = self.add_job(jobs.step(2))
            self.store.refuse_commits = True
            entry.job.mark_done(entry.job.steps(0)[0].tasks[0])
            self.pool.mark_changed(entry)
            self.assertFalse(await self.writer.begin_flush().wait(1_000))

        self.run_with(main)

    def test_conflict_does_not_cost_a_batch_its_turn(self):
        """Acknowledgements took 17 s while frontends stored jobs themselves.

        Each such job failed a batch, which then waited behind all others.
        """

        async def main():
            names = [model.JobId(f"{number:016x}") for number in range(90)]
            foreign = jobs.job(names[0])
            self.store.state.write(
                keys.job(jobs.POOL, names[0]), record.encode(foreign), 0, ""
            )
            for name in names:
                self.pool.jobs.add(jobs.job(name), False)
            writes = [self.writer.write(name) for name in names]
            await writes[1]
            self.assertEqual(2, self.store.writes)

        self.run_with(main)

    def test_batch_that_store_refuses_does_not_block_others(self):
        """Otherwise one invalid job would stop all acknowledgements."""

        async def main():
            names = [model.JobId(f"{number:016x}") for number in range(30)]
            for name in names:
                self.pool.jobs.add(jobs.job(name), False, model.JobState.QUEUED)
            commit = self.store.commit

            async def refuse_first(transaction):
                if keys.job(jobs.POOL, names[0]) in transaction.expected:
                    return Error(errors.StoreUnavailable("status 400", False))
                return await commit(transaction)

            self.store.commit = refuse_first
            writes = [self.writer.write(name) for name in names]
            await asyncio.wait_for(writes[-1], 1)

        self.run_with(main)

    def test_cancellation_by_other_process_is_adopted(self):
        async def main():
            entry = self.add_job(jobs.step(2))
            await self.writer.write(_JOB)
            other = self.stored()
            other.cancel(1)
            found = self.store.state.item(_KEY)
            self.store.state.write(
                _KEY, record.encode(other), found.revision, ""
            )
            entry.job.mark_started()
            await self.writer.write(_JOB)
            self.assertIs(model.JobState.CANCELLED, entry.job.state)
            self.assertIs(model.JobState.CANCELLED, self.stored().state)

        self.run_with(main)
