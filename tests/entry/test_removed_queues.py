"""Tests of jobs whose queue is no longer declared, in virtual time."""

import asyncio

import msgspec

from tests.entry import queue_case
from wagtailtiller import ids
from wagtailtiller.entry import frontend
from wagtailtiller.entry import outcomes
from wagtailtiller.jobs import model

_COMPLETED = outcomes.JobStatus(model.JobState.COMPLETED)


class RemovedQueueTest(queue_case.QueueCase):
    """Guards against accepted jobs that no later owner can plan."""

    def rename(self, name, **fields):
        """Replace the queue of the callers' address by one of another name."""
        queues = tuple(
            msgspec.structs.replace(q, queue=ids.QueueId(name), **fields)
            if q.prefix == "/proof-page/"
            else q
            for q in self.world.queues
        )
        self.world.declare(queues)

    def remove(self):
        queues = self.world.queues
        self.world.declare(
            tuple(q for q in queues if q.prefix != "/proof-page/")
        )

    async def restart(self, process):
        process.kill()
        await self.world.start_process(process.name)

    async def restart_owner(self):
        name = self.owners()[queue_case.POOL]
        await self.restart(self.world.processes[name])

    async def begin(self):
        """Submit a job, and wait until its first step runs."""
        node = self.nodes()[0]
        outcome = await self.submit(node, run_ms=2_000, steps=2)
        self.assertEqual(outcomes.Accepted(), outcome)
        await asyncio.sleep(0.5)

    async def check_completed(self):
        await asyncio.sleep(25)
        sim_job = self.world.jobs.get(queue_case.JOB)
        self.assertEqual(model.JobState.COMPLETED, sim_job.final_state)

    def test_job_of_a_renamed_queue_goes_on_with_the_next_owner(self):
        async def main():
            await self.begin()
            self.rename("proofs-2")
            await self.restart_owner()
            await self.check_completed()
            self.assertEqual([_COMPLETED] * 3, await self.states())

        self.run_test(main)

    def test_job_of_a_removed_queue_goes_on_with_the_next_owner(self):
        async def main():
            await self.begin()
            self.remove()
            await self.restart_owner()
            await self.check_completed()

        self.run_test(main)

    def test_job_of_a_queue_that_is_renamed_twice_goes_on(self):
        async def main():
            await self.begin()
            self.rename("proofs-2")
            await self.restart_owner()
            await asyncio.sleep(3)
            self.rename("proofs-3")
            await self.restart_owner()
            await self.check_completed()
            self.assertEqual([_COMPLETED] * 3, await self.states())

        self.run_test(main)

    def test_job_of_a_renamed_queue_goes_on_after_all_processes_restart(self):
        async def main():
            await self.begin()
            self.rename("proofs-2")
            for process in self.world.live_processes():
                await self.restart(process)
            await self.check_completed()

        self.run_test(main)

    def test_changed_terms_of_a_queue_are_known_to_the_next_owner(self):
        async def main():
            await self.begin()
            self.rename("proof-page", max_attempts=7)
            await asyncio.sleep(queue_case.LEARN_S)
            self.remove()
            await self.restart_owner()
            await asyncio.sleep(10)
            owner = self.world.processes[self.owners()[queue_case.POOL]]
            pool = owner.node._owners[queue_case.POOL].pool
            job = pool.entries[queue_case.JOB].job
            self.assertEqual(7, job.terms.max_attempts)

        self.run_test(main)

    def test_job_of_a_queue_that_is_renamed_and_moved_is_found(self):
        """Guards against jobs that are answered 410, and run again."""

        async def main():
            await self.begin()
            self.rename("proofs-2", pool=queue_case.OTHER_POOL)
            await self.restart_owner()
            await asyncio.sleep(5)
            self.assertNotIn(outcomes.NoSuchJob(), await self.states())
            for node in self.nodes():
                again = await self.submit(node, run_ms=2_000, steps=2)
                self.assertEqual(outcomes.Accepted(), again)
            self.assertEqual([queue_case.POOL], self.stored_pools())
            await self.check_completed()
            self.assertEqual([_COMPLETED] * 3, await self.states())

        self.run_test(main)

    def test_job_of_a_queue_with_another_path_and_pool_is_found(self):
        async def main():
            await self.begin()
            self.rename("proof-page", host="other-host")
            await asyncio.sleep(queue_case.LEARN_S)
            self.rename("proof-page", pool=queue_case.OTHER_POOL)
            await self.check_completed()
            queue = next(
                q for q in self.world.queues if q.prefix == "/proof-page/"
            )
            for node in self.nodes():
                state = await node.frontend.job_status(
                    frontend.Route(queue),
                    queue_case.JOB,
                    queue_case.TIMEOUT_MS,
                )
                self.assertEqual(_COMPLETED, state)

        self.run_test(main)

    def test_request_is_accepted_once_while_processes_differ_in_names(self):
        """Guards against a job that two names of its queue both accept."""

        async def main():
            old, new = self.world.live_processes()[:2]
            declared = old.declared.catalogue
            self.rename("proofs-2", pool=queue_case.OTHER_POOL)
            for process in self.world.live_processes():
                if process is not new:
                    process.declared.declare(declared)
            accepted = await asyncio.gather(
                self.submit(old.node), self.submit(new.node)
            )
            self.assertEqual([outcomes.Accepted()] * 2, accepted)
            await asyncio.sleep(2)
            self.assertEqual(1, len(self.stored_pools()))

        self.run_test(main)
