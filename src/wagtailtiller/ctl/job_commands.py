"""Commands on what the entry processes hold: pools' owners, jobs, waves."""

from typing import ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument
from expression import Result

from wagtailtiller import errors
from wagtailtiller import ids
from wagtailtiller.ctl import base
from wagtailtiller.ctl import holdings as holdings_module
from wagtailtiller.ctl import output
from wagtailtiller.ctl import session
from wagtailtiller.jobs import model
from wagtailtiller.owner import keys


class HoldingsCommand(base.StoreCommand):
    """Reads what the entry processes keep in the store."""

    async def perform(self, current: session.Session) -> int:
        """Read, and print what was asked for."""
        found = await _read(current)
        if found.is_error():
            return self.fail(found.error)
        return self.present(found.ok, current)

    def present(
        self, holdings: holdings_module.Holdings, current: session.Session
    ) -> int:
        """Print what was asked for."""
        raise NotImplementedError


class OwnersCommand(HoldingsCommand):
    """Lists who owns each pool, and the machines."""

    name = "owners"
    description = "List who owns each pool. Example: wagtailctl owners"

    def present(
        self, holdings: holdings_module.Holdings, current: session.Session
    ) -> int:
        """Print a row for each shard."""
        rows = []
        for shard in sorted(holdings.epochs):
            owner = holdings.owners.get(shard)
            members = holdings.members.get(ids.PoolId(shard), [])
            node = owner.node if owner is not None else "-"
            rows.append((shard, node, holdings.epochs[shard], len(members)))
        value = [
            {"shard": s, "node": n, "epoch": e, "members": m}
            for s, n, e, m in rows
        ]
        self.show(("SHARD", "OWNER", "EPOCH", "VMS"), rows, value)
        return output.ExitCode.OK


class JobsCommand(HoldingsCommand):
    """Counts the jobs of each pool by their state."""

    name = "jobs"
    description = "Count jobs by pool and state. Example: wagtailctl jobs"

    def present(
        self, holdings: holdings_module.Holdings, current: session.Session
    ) -> int:
        """Print a row for each pool."""
        states = [state.value for state in model.JobState]
        counts = holdings.count_states()
        rows = [
            (pool, *(counts[pool][state] for state in states))
            for pool in sorted(counts)
        ]
        headings = ("POOL", *(state.upper() for state in states))
        self.show(headings, rows, counts)
        return output.ExitCode.OK


class WavesCommand(HoldingsCommand):
    """Lists how far the waves on the platform's machines have come."""

    name = "waves"
    description = "List waves on machines. Example: wagtailctl waves"

    def present(
        self, holdings: holdings_module.Holdings, current: session.Session
    ) -> int:
        """Print a row for each wave."""
        rows = [
            (wave, len(progress.done), progress.completed)
            for wave, progress in sorted(holdings.waves.items())
        ]
        headings = ("WAVE", "MAINTAINED", "COMPLETED")
        self.show(headings, rows, holdings.waves)
        return output.ExitCode.OK


class JobCommand(HoldingsCommand):
    """Says what a job has reached and what it waits for."""

    name = "job"
    description = (
        "Explain what a job waits for. Example: wagtailctl job 5c0e7a21d94b36f8"
    )
    arguments: ClassVar[list[Argument]] = [
        argument("job", "The caller's name for it.")
    ]

    def present(
        self, holdings: holdings_module.Holdings, current: session.Session
    ) -> int:
        """Print a line for each thing that is known."""
        job = model.JobId(self.argument("job"))
        lines = holdings_module.explain(holdings, job, current.wall_ms())
        self.show(("JOB",), [(line,) for line in lines], lines)
        known = job in holdings.jobs
        return output.ExitCode.OK if known else output.ExitCode.NOT_FOUND


async def _read(
    current: session.Session,
) -> Result[holdings_module.Holdings, errors.StoreUnavailable]:
    answer = await current.store.read(keys.ROOT)
    return answer.map(lambda found: holdings_module.Holdings(found.items))
