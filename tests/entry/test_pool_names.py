"""Tests of pools with unusual names, in virtual time."""

import asyncio

import msgspec

from tests.entry import queue_case
from wagtailtiller import ids
from wagtailtiller.entry import outcomes
from wagtailtiller.jobs import model
from wagtailtiller.scheduling import admission

_COMPLETED = outcomes.JobStatus(model.JobState.COMPLETED)


class PoolNamesTest(queue_case.QueueCase):
    """Guards against pools whose names collide with other keys."""

    def run_with(self, main, *pools):
        """Run a test with two VMs in each pool; the first has the queue."""

        async def wrapped():
            queues = [
                msgspec.structs.replace(
                    self.world.queues[0],
                    queue=ids.QueueId(f"queue-of-{number}"),
                    prefix="/proof-page/" if not number else f"/{number}/",
                    pool=pool,
                )
                for number, pool in enumerate(pools)
            ]
            self.world.declare(tuple(queues))
            await asyncio.sleep(3)
            await main()

        machines = {ids.PoolId(pool): 2 for pool in pools}
        self.run_world(wrapped, processes=3, machines=machines)
        self.assertEqual([], self.world.oracle.violations)

    def check_runs_once(self, *pools):
        async def main():
            outcome = await self.submit(self.nodes()[0])
            self.assertEqual(outcomes.Accepted(), outcome)
            await asyncio.sleep(3)
            self.assertEqual([_COMPLETED] * 3, await self.states())
            runs = self.world.oracle.runs(model.TaskId(queue_case.JOB, 0, 0, 0))
            self.assertEqual([pools[0]], [run.vm.report.pool for run in runs])

        self.run_with(main, *pools)

    def test_job_of_a_pool_below_another_one_runs_once(self):
        self.check_runs_once("press/plates", "press")

    def test_job_of_a_pool_above_another_one_runs_once(self):
        self.check_runs_once("press", "press/plates")

    def test_jobs_of_pools_with_other_characters_run_once(self):
        self.check_runs_once("a b+c&d=%2F?ä:#", "a b+c&d=/?ä:#")

    def test_job_of_a_pool_without_a_name_runs_once(self):
        self.check_runs_once("", "press")

    def test_job_of_a_pool_named_machines_runs_once(self):
        """Guards against a pool whose shard the machine manager takes."""
        self.check_runs_once("machines", "press")

    def test_jobs_of_pools_that_are_nearly_named_machines_run_once(self):
        self.check_runs_once("machines/", "machines")

    def test_request_for_a_name_that_is_too_long_is_refused(self):
        async def main():
            for node in self.nodes():
                found = node.frontend.route("host", "/proof-page/x", None)
                self.assertEqual(
                    admission.RefusalReason.NAME_TOO_LONG, found.reason
                )

        self.run_with(main, "p" * 200, "press")
