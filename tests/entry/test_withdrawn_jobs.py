"""Tests of jobs that are cancelled before they are stored, in virtual time."""

import asyncio

from tests.entry import queue_case
from wagtailtiller.entry import outcomes
from wagtailtiller.jobs import model
from wagtailtiller.scheduling import admission

_CUT_S = 8.0


class WithdrawnJobTest(queue_case.QueueCase):
    """Guards against a job that runs after its cancelling was answered."""

    def cut_off(self, process):
        self.world.store_service.faults.holds_calls = True
        self.world.store_service.faults.partitioned.add(process.process)
        self.world.network.partitioned.add(process.process)

    def heal(self):
        self.world.store_service.faults.partitioned.clear()
        self.world.network.partitioned.clear()

    async def cancel(self, node):
        return await node.frontend.cancel(
            self.route(node), queue_case.JOB, queue_case.TIMEOUT_MS
        )

    def runs(self):
        return self.world.oracle.runs(model.TaskId(queue_case.JOB, 0, 0, 0))

    async def withdraw(self):
        """Submit at a process that is cut off, and cancel at another one."""
        owner = self.owners()[queue_case.POOL]
        cut, other = [p for p in self.world.live_processes() if p.name != owner]
        self.cut_off(cut)
        submitted = await self.submit(cut.node)
        self.assertEqual(outcomes.Unknown(), submitted)
        self.assertEqual(outcomes.NoSuchJob(), await self.cancel(other.node))

    def test_job_that_a_cut_off_process_stores_later_does_not_run(self):
        async def main():
            await self.withdraw()
            await asyncio.sleep(_CUT_S)
            self.heal()
            await asyncio.sleep(10)
            self.assertEqual([], self.runs())
            shown = await self.states()
            self.assertEqual([outcomes.NoSuchJob()] * 3, shown)

        self.run_test(main)

    def test_request_that_arrives_again_is_refused(self):
        async def main():
            await self.withdraw()
            self.heal()
            await asyncio.sleep(5)
            for node in self.nodes():
                refused = await self.submit(node)
                self.assertEqual(
                    admission.RefusalReason.WITHDRAWN, refused.reason
                )
            await asyncio.sleep(3)
            self.assertEqual([], self.runs())

        self.run_test(main)

    def test_record_of_the_cancelling_is_removed(self):
        async def main():
            await self.withdraw()
            self.heal()
            await asyncio.sleep(160)
            self.assertEqual([], self.stored_pools())

        self.run_test(main)
