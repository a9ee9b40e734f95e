"""Tests of the group commit of jobs."""

import asyncio

import testtools

from support import clocks
from support import fakes
from support import jobs
from wagtailtiller import ids
from wagtailtiller.jobs import model
from wagtailtiller.jobs import record
from wagtailtiller.owner import journal
from wagtailtiller.owner import keys
from wagtailtiller.ownership import claims
from wagtailtiller.scheduling import pool as pool_module

_JOB = model.JobId("a" * 16)
_KEY = keys.job(jobs.POOL, _JOB)


class _ShortBackoff:
    def reset(self):
        pass

    async def wait(self):
        await asyncio.sleep(0.005)


class JournalTest(testtools.TestCase):
    def run_with(self, main, faults=()):
        async def wrapped():
            self.store = fakes.FakeStore()
            shard = ids.ShardId(jobs.POOL)
            owned = self.store.state.write(keys.owner(shard), b"me", 0, "")
            self.store.faults = list(faults)
            claim = claims.Claim(shard, 1, owned.ok)
            self.pool = pool_module.Pool(jobs.POOL, 1, clocks.FakeClock())
            self.pool.jobs.set_queues([jobs.queue()])
            self.journal = journal.Journal(
                self.store, self.pool, claim, _ShortBackoff()
            )
            running = asyncio.create_task(self.journal.run())
            try:
                await asyncio.wait_for(main(), 5)
            finally:
                running.cancel()

        asyncio.run(wrapped())

    def add_job(self, *steps):
        return self.pool.jobs.add(jobs.job(_JOB, jobs.spec(*steps)), False)

    def stored(self):
        return record.decode(self.store.state.item(_KEY).value).ok

    def test_a_flush_waits_for_the_commit_that_is_under_way(self):
        async def main():
            entry = self.add_job(jobs.step(2))
            await self.journal.write(_JOB)
            first, second = next(entry.job.ready_steps(1 << 60)).tasks
            gate = asyncio.Event()
            commit = self.store.commit

            async def slow_commit(transaction):
                await gate.wait()
                return await commit(transaction)

            self.store.commit = slow_commit
            entry.job.note_done(first)
            self.pool.changed.add(_JOB)
            earlier = asyncio.create_task(self.journal.flush(2_000))
            await asyncio.sleep(0.05)
            self.assertFalse(await self.journal.flush(50))
            gate.set()
            self.assertTrue(await earlier)
            self.assertEqual([first.id], [t.id for t in self.stored_done()])

        self.run_with(main)

    def stored_done(self):
        return list(self.stored().done_tasks())

    def test_a_commit_carried_out_late_does_not_undo_a_newer_one(self):
        async def main():
            entry = self.add_job(jobs.step(2))
            await self.journal.write(_JOB)
            first, second = next(entry.job.ready_steps(1 << 60)).tasks
            self.store.faults = [fakes.Fault.LATE]
            entry.job.note_done(first)
            self.assertIs(
                journal.Outcome.STORED, await self.journal.write(_JOB)
            )
            entry.job.note_done(second)
            await self.journal.write(_JOB)
            self.store.apply_late()
            self.assertEqual(2, len(self.stored_done()))

        self.run_with(main)

    def test_an_accept_whose_answer_was_lost_is_found_stored(self):
        async def main():
            self.add_job()
            outcome = await self.journal.write(_JOB)
            self.assertIs(journal.Outcome.STORED, outcome)

        self.run_with(main, [fakes.Fault.AFTER])

    def test_an_accept_that_certainly_failed_is_refused(self):
        async def main():
            self.add_job()
            self.store.refuse_commits = True
            outcome = await self.journal.write(_JOB)
            self.assertIs(journal.Outcome.NOT_STORED, outcome)
            self.assertEqual({}, self.pool.entries)

        self.run_with(main)

    def test_a_former_owner_cannot_write(self):
        async def main():
            entry = self.add_job()
            await self.journal.write(_JOB)
            key = keys.owner(ids.ShardId(jobs.POOL))
            found = self.store.state.item(key)
            self.store.state.write(key, b"other", found.revision, "")
            entry.job.cancel(1)
            outcome = await self.journal.write(_JOB)
            self.assertIs(journal.Outcome.DEPOSED, outcome)
            self.assertIs(model.JobState.QUEUED, self.stored().state)

        self.run_with(main)

    def test_a_former_owner_s_flush_stores_nothing(self):
        async def main():
            entry = self.add_job(jobs.step(2))
            await self.journal.write(_JOB)
            self.store.state.delete(keys.owner(ids.ShardId(jobs.POOL)), 1)
            entry.job.note_done(entry.job.steps(0)[0].tasks[0])
            self.pool.note_change(entry)
            self.assertFalse(await self.journal.flush(1_000))
            self.assertFalse(await self.journal.flush(1_000))

        self.run_with(main)

    def test_a_cancel_by_another_process_is_taken_over(self):
        async def main():
            entry = self.add_job(jobs.step(2))
            await self.journal.write(_JOB)
            other = self.stored()
            other.cancel(1)
            found = self.store.state.item(_KEY)
            self.store.state.write(
                _KEY, record.encode(other), found.revision, ""
            )
            entry.job.note_started()
            await self.journal.write(_JOB)
            self.assertIs(model.JobState.CANCELLED, entry.job.state)
            self.assertIs(model.JobState.CANCELLED, self.stored().state)

        self.run_with(main)
