"""Tests of jobs whose queue gets another pool, in virtual time."""

import asyncio

import msgspec

from tests.entry import queue_case
from wagtailtiller.entry import outcomes
from wagtailtiller.jobs import model

_OLD_POOL = queue_case.POOL
_NEW_POOL = queue_case.OTHER_POOL
_JOB = queue_case.JOB
_OTHER_JOB = model.JobId("b" * 16)
_TIMEOUT_MS = queue_case.TIMEOUT_MS
_LEARN_S = queue_case.LEARN_S


class MovedQueueTest(queue_case.QueueCase):
    """Guards against jobs that a move of their queue loses or runs again."""

    def declare(self, pool, processes=None):
        """Send all queues of the old pool to a pool; None drops them."""
        for process in processes or self.world.live_processes():
            current = process.declared.catalogue
            queues = []
            for queue in self.world.scenario.kinds:
                queue = queue.queue()
                if queue.pool == _OLD_POOL:
                    if pool is None:
                        continue
                    queue = msgspec.structs.replace(queue, pool=pool)
                queues.append(queue)
            process.declared.declare(
                msgspec.structs.replace(
                    current, version=current.version + 1, queues=tuple(queues)
                )
            )

    def test_completed_job_is_found_and_not_run_again(self):
        async def main():
            await self.submit(self.nodes()[0])
            await asyncio.sleep(2)
            self.declare(_NEW_POOL)
            await asyncio.sleep(_LEARN_S)
            completed = outcomes.JobStatus(model.JobState.COMPLETED)
            self.assertEqual([completed] * 3, await self.states())
            for node in self.nodes():
                outcome = await self.submit(node)
                self.assertEqual(outcomes.Accepted(), outcome)
            await asyncio.sleep(2)
            self.assertEqual([_OLD_POOL], self.stored_pools())

        self.run_test(main)

    def test_running_job_goes_on_and_can_be_cancelled(self):
        async def main():
            await self.submit(self.nodes()[0], run_ms=60_000)
            await asyncio.sleep(1)
            self.declare(_NEW_POOL)
            await asyncio.sleep(_LEARN_S)
            running = outcomes.JobStatus(model.JobState.RUNNING)
            self.assertEqual([running] * 3, await self.states())
            for node in self.nodes():
                outcome = await node.frontend.cancel(
                    self.route(node), _JOB, _TIMEOUT_MS
                )
                self.assertEqual(outcomes.Accepted(), outcome)
            cancelled = outcomes.JobStatus(model.JobState.CANCELLED)
            self.assertEqual([cancelled] * 3, await self.states())

        self.run_test(main)

    async def pending_counts(self):
        return [
            await node.frontend.queue_status(
                self.route(node).queue, _TIMEOUT_MS
            )
            for node in self.nodes()
        ]

    def test_queued_job_counts_as_pending(self):
        async def main():
            # Each of these takes a VM, and there are not so many.
            for number in range(12):
                job = model.JobId(f"{number:016x}")
                node = self.nodes()[0]
                await self.submit(node, job, 60_000, cpu_millicores=32_000)
            # Until the machines on standby have joined the pool.
            await asyncio.sleep(8)
            before = await self.pending_counts()
            self.assertGreater(before[0].pending_count, 0)
            self.declare(_NEW_POOL)
            await asyncio.sleep(_LEARN_S)
            self.assertEqual(before, await self.pending_counts())

        self.run_test(main)

    def test_jobs_of_both_pools_are_found_when_the_queue_comes_back(self):
        async def main():
            await self.submit(self.nodes()[0])
            self.declare(_NEW_POOL)
            await self.submit(self.nodes()[0], _OTHER_JOB)
            self.declare(_OLD_POOL)
            await asyncio.sleep(2)
            completed = outcomes.JobStatus(model.JobState.COMPLETED)
            for job in (_JOB, _OTHER_JOB):
                self.assertEqual([completed] * 3, await self.states(job))
                await self.submit(self.nodes()[1], job)
                self.assertEqual(1, len(self.stored_pools(job)))

        self.run_test(main)

    def test_job_is_found_when_its_queue_returns_with_another_pool(self):
        async def main():
            await self.submit(self.nodes()[0])
            self.declare(None)
            await asyncio.sleep(2)
            self.declare(_NEW_POOL)
            await asyncio.sleep(_LEARN_S)
            completed = outcomes.JobStatus(model.JobState.COMPLETED)
            self.assertEqual([completed] * 3, await self.states())

        self.run_test(main)

    def test_pool_without_queues_gets_a_new_owner(self):
        """Guards against jobs that end with the owner of their pool."""

        async def main():
            await self.submit(self.nodes()[0], run_ms=4_000)
            await asyncio.sleep(1)
            self.declare(_NEW_POOL)
            await asyncio.sleep(_LEARN_S)
            self.world.processes[self.owners()[_OLD_POOL]].kill()
            await asyncio.sleep(15)
            self.assertIn(_OLD_POOL, self.owners())
            completed = outcomes.JobStatus(model.JobState.COMPLETED)
            self.assertEqual([completed] * 2, await self.states())

        self.run_test(main)

    def test_process_that_starts_after_the_move_finds_the_job(self):
        async def main():
            await self.submit(self.nodes()[0])
            await asyncio.sleep(2)
            self.declare(_NEW_POOL)
            name = self.owners()[_NEW_POOL]
            self.world.processes[name].kill()
            await self.world.start_process(name)
            self.declare(_NEW_POOL, [self.world.processes[name]])
            await asyncio.sleep(5)
            completed = outcomes.JobStatus(model.JobState.COMPLETED)
            self.assertEqual([completed] * 3, await self.states())

        self.run_test(main)

    def test_request_is_accepted_once_while_processes_differ_in_version(self):
        async def main():
            old, new = self.world.live_processes()[:2]
            self.declare(_NEW_POOL, [new])
            accepted = await asyncio.gather(
                self.submit(old.node), self.submit(new.node)
            )
            self.assertEqual([outcomes.Accepted()] * 2, accepted)
            await asyncio.sleep(2)
            self.assertEqual(1, len(self.stored_pools()))

        self.run_test(main)

    def test_request_is_accepted_once_without_owners(self):
        """The processes store the job themselves."""

        async def main():
            old, new = self.world.live_processes()[:2]
            self.declare(_NEW_POOL, [new])
            for process in self.world.live_processes():
                for pool in (_OLD_POOL, _NEW_POOL):
                    process.node._owners.pop(pool, None)
            accepted = await asyncio.gather(
                self.submit(old.node), self.submit(new.node)
            )
            self.assertEqual([outcomes.Accepted()] * 2, accepted)
            self.assertEqual(1, len(self.stored_pools()))

        self.run_test(main)
