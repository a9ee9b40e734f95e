"""Writes fleet commands to the store by compare-and-swap, with retries.

Every command checks the state to which it applies. A command whose
response was lost can therefore be applied again to a fresh copy of the fleet
without taking effect twice.
"""

from collections.abc import Callable
import dataclasses

from expression import Result
import msgspec

from wagtailtiller import clock as clock_module
from wagtailtiller import errors
from wagtailtiller import ids
from wagtailtiller import settings
from wagtailtiller.fleet import aggregate
from wagtailtiller.fleet import commands
from wagtailtiller.fleet import model
from wagtailtiller.ports import store

_MAX_ATTEMPTS = 5

Plan = Callable[[model.Fleet], list[commands.Command]]


@dataclasses.dataclass(frozen=True)
class Decision:
    """Result of a command.

    Attributes:
        command: The command.
        refusal: Rule that forbids the command, or None if it was applied.
    """

    command: commands.Command
    refusal: errors.Refused | None


@dataclasses.dataclass(frozen=True)
class FleetWriteResult:
    """Result of a successful write.

    Attributes:
        fleet: The fleet that is now in the store.
        decisions: Result of each command.
    """

    fleet: model.Fleet
    decisions: list[Decision]


Outcome = Result[FleetWriteResult, errors.StoreError]


class FleetWriter:
    """Applies commands to the fleet of a region.

    Args:
        store_client: Client of the store.
        region: Region whose fleet is written.
        clock: Clock that supplies the current time.
    """

    def __init__(
        self,
        store_client: store.Store,
        region: ids.RegionId,
        clock: clock_module.Clock,
    ) -> None:
        self._store = store_client
        self._key = model.key(region)
        self._clock = clock

    async def submit(
        self, plan: Plan, catalogue: settings.Catalogue
    ) -> Outcome:
        """Apply the commands of a plan to the current fleet and write it.

        Args:
            plan: Function that returns the commands for a fleet. It is called
                again with a fresh fleet if an attempt fails, for example
                because of a concurrent write.
            catalogue: The settings in force.

        Returns:
            The written fleet with the decisions, or the error of the last
            attempt.
        """
        outcome: Outcome
        for _ in range(_MAX_ATTEMPTS):
            outcome = await self._attempt(plan, catalogue)
            if outcome.is_ok():
                return outcome
        return outcome

    async def _attempt(
        self, plan: Plan, catalogue: settings.Catalogue
    ) -> Outcome:
        read_result = await self._store.read(self._key)
        if read_result.is_error():
            return Result.Error(read_result.error)
        fleet, revision = self._decode(read_result.ok)
        written = self._decide(fleet, plan(fleet), catalogue)
        if written.fleet == fleet:
            return Result.Ok(written)
        value = msgspec.json.encode(written.fleet)
        write_result = await self._store.write(self._key, value, revision)
        return write_result.map(lambda _: written)

    def _decode(
        self, snapshot: store.Snapshot
    ) -> tuple[model.Fleet, ids.Revision]:
        for item in snapshot.items:
            if item.key == self._key and item.value is not None:
                fleet = msgspec.json.decode(item.value, type=model.Fleet)
                return fleet, item.revision
        return model.Fleet(), store.ABSENT

    def _decide(
        self,
        fleet: model.Fleet,
        requested: list[commands.Command],
        catalogue: settings.Catalogue,
    ) -> FleetWriteResult:
        now_ms = self._clock.wall_ms()
        decisions = []
        for command in requested:
            applied = aggregate.apply(fleet, command, catalogue, now_ms)
            fleet = applied.default_value(fleet)
            refusal = applied.error if applied.is_error() else None
            decisions.append(Decision(command, refusal))
        return FleetWriteResult(fleet, decisions)
