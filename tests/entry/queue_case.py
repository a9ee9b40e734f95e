"""Base of tests in which the declared queues change, in virtual time."""

from support import jobs
from support.sim import truth
from tests.entry import node_case
from wagtailtiller import ids
from wagtailtiller import keys
from wagtailtiller.entry import frontend
from wagtailtiller.jobs import model

POOL = ids.PoolId("proofs")
OTHER_POOL = ids.PoolId("colours")
JOB = model.JobId("a" * 16)
TIMEOUT_MS = 3_000
# Time after which processes have learned what is in the store.
LEARN_S = 1.0


class QueueCase(node_case.NodeCase):
    """Runs a test with three processes and submits jobs of chosen queues."""

    def run_test(self, main):
        self.run_world(main, processes=3)
        self.assertEqual([], self.world.oracle.violations)

    def nodes(self):
        return [process.node for process in self.world.live_processes()]

    def route(self, node):
        """Return the route of the first queue with the callers' address."""
        catalogue = node.catalogue()
        return frontend.Route(catalogue.route("host", "/proof-page/x"))

    def add_job(self, job, spec, run_ms):
        """Record what the VMs and the oracle need to know of a job."""
        if self.world.jobs.get(job) is None:
            queue = self.world.scenario.kinds[0].queue()
            self.world.jobs.add(
                truth.SimJob(
                    job, queue, spec, "", 1.0, [[run_ms]] * len(spec.steps)
                )
            )

    async def submit(self, node, job=JOB, run_ms=300, steps=1, **step):
        """Submit a job; each step waits for the one before it."""
        spec = jobs.spec(
            *(
                jobs.step(1, after=(number - 1,) if number else (), **step)
                for number in range(steps)
            )
        )
        self.add_job(job, spec, run_ms)
        return await node.frontend.submit(
            self.route(node), job, spec, TIMEOUT_MS
        )

    async def states(self, job=JOB):
        """Return the state that each process shows of a job."""
        return [
            await node.frontend.job_status(self.route(node), job, TIMEOUT_MS)
            for node in self.nodes()
        ]

    def stored_pools(self, job=JOB):
        """Return the pools under which a job is stored."""
        items = self.world.store_service.state.read(keys.JOBS_PREFIX).items
        stored = [key.key.split("/") for key in items]
        return [path[-2] for path in stored if path[-1] == job]
