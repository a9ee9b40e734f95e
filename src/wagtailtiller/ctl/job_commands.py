"""Commands that show pool owners, jobs and waves of the entry processes."""

from typing import ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument
from expression import Result

from wagtailtiller import errors
from wagtailtiller import keys
from wagtailtiller.ctl import base
from wagtailtiller.ctl import entry_state as entry_state_module
from wagtailtiller.ctl import output
from wagtailtiller.ctl import session as session_module
from wagtailtiller.jobs import model
from wagtailtiller.ownership import shard as shard_module


class EntryStateCommand(base.StoreCommand):
    """A command that shows state of the entry processes."""

    async def perform(self, session: session_module.OperatorSession) -> int:
        """Read the state from the store and print a report on it."""
        result = await _read_entry_state(session)
        if result.is_error():
            return self.fail(result.error)
        return self.report(result.ok, session)

    def report(
        self,
        entry_state: entry_state_module.EntryState,
        session: session_module.OperatorSession,
    ) -> int:
        """Print the command's report.

        Args:
            entry_state: State read from the store.
            session: Session of the operator.

        Returns:
            The exit code.
        """
        raise NotImplementedError


class OwnersCommand(EntryStateCommand):
    """Lists the owner of each pool and of the machines."""

    name = "owners"
    description = "List the owner of each pool. Example: wagtailctl owners"

    def report(
        self,
        entry_state: entry_state_module.EntryState,
        session: session_module.OperatorSession,
    ) -> int:
        """Print a row for each shard."""
        rows = []
        for shard in sorted(entry_state.epochs, key=shard_module.by_key_name):
            owner = entry_state.owners.get(shard)
            node = owner.node if owner is not None else "-"
            epoch = entry_state.epochs[shard]
            vm_count = entry_state.member_count(shard)
            rows.append((shard.key_name, node, epoch, vm_count))
        value = [
            {"shard": s, "node": n, "epoch": e, "members": m}
            for s, n, e, m in rows
        ]
        self.show(("SHARD", "OWNER", "EPOCH", "VMS"), rows, value)
        return output.ExitCode.OK


class JobsCommand(EntryStateCommand):
    """Counts the jobs of each pool by state."""

    name = "jobs"
    description = "Count jobs by pool and state. Example: wagtailctl jobs"

    def report(
        self,
        entry_state: entry_state_module.EntryState,
        session: session_module.OperatorSession,
    ) -> int:
        """Print a row for each pool."""
        states = [state.value for state in model.JobState]
        counts = entry_state.count_states()
        rows = [
            (pool, *(counts[pool][state] for state in states))
            for pool in sorted(counts)
        ]
        headings = ("POOL", *(state.upper() for state in states))
        self.show(headings, rows, counts)
        return output.ExitCode.OK


class OrganisationsCommand(EntryStateCommand):
    """Lists what organisations with a limit have and ask for."""

    name = "organisations"
    description = (
        "List limits of organisations, allocations and demand by pool."
        " Example: wagtailctl organisations"
    )

    def report(
        self,
        entry_state: entry_state_module.EntryState,
        session: session_module.OperatorSession,
    ) -> int:
        """Print a row for each organisation, resource and pool."""
        headings = (
            "ORGANISATION",
            "RESOURCE",
            "POOL",
            "LIMIT",
            "ALLOCATION",
            "DEMAND",
        )
        rows = entry_state_module.organisation_rows(entry_state.allocations)
        value = [
            dict(zip((name.lower() for name in headings), row, strict=True))
            for row in rows
        ]
        self.show(headings, rows, value)
        return output.ExitCode.OK


class WavesCommand(EntryStateCommand):
    """Lists the progress of the waves on the platform's machines."""

    name = "waves"
    description = "List waves on machines. Example: wagtailctl waves"

    def report(
        self,
        entry_state: entry_state_module.EntryState,
        session: session_module.OperatorSession,
    ) -> int:
        """Print a row for each wave."""
        rows = [
            (wave, len(progress.done), progress.completed)
            for wave, progress in sorted(entry_state.waves.items())
        ]
        headings = ("WAVE", "MAINTAINED", "COMPLETED")
        self.show(headings, rows, entry_state.waves)
        return output.ExitCode.OK


class JobCommand(EntryStateCommand):
    """Explains the progress of a job and what it waits for."""

    name = "job"
    description = (
        "Explain what a job waits for. Example: wagtailctl job 5c0e7a21d94b36f8"
    )
    arguments: ClassVar[list[Argument]] = [
        argument("job", "The job id that the caller chose.")
    ]

    def report(
        self,
        entry_state: entry_state_module.EntryState,
        session: session_module.OperatorSession,
    ) -> int:
        """Print the description of the job line by line."""
        job = model.JobId(self.argument("job"))
        lines = entry_state_module.explain(entry_state, job, session.wall_ms())
        self.show(("JOB",), [(line,) for line in lines], lines)
        known = job in entry_state.jobs
        return output.ExitCode.OK if known else output.ExitCode.NOT_FOUND


async def _read_entry_state(
    session: session_module.OperatorSession,
) -> Result[entry_state_module.EntryState, errors.StoreUnavailable]:
    result = await session.store.read(keys.ROOT)
    return result.map(
        lambda snapshot: entry_state_module.EntryState(snapshot.items)
    )
