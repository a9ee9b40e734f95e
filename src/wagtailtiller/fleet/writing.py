"""Writes fleet commands to the store, by compare-and-swap until they stand.

Every command checks the state that it starts from, so one whose answer was
lost can be decided again on a fresh copy without taking effect twice.
"""

from collections.abc import Callable
import dataclasses

from expression import Result
import msgspec

from wagtailtiller import clock
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
    """One command and what became of it; no refusal means applied."""

    command: commands.Command
    refusal: errors.Refused | None


@dataclasses.dataclass(frozen=True)
class Written:
    """The fleet that stands in the store, and the decisions behind it."""

    fleet: model.Fleet
    decisions: list[Decision]


Outcome = Result[Written, errors.StoreError]


class FleetWriter:
    """Applies commands to one region's fleet.

    Args:
        store_client: The store.
        region: Whose fleet.
        time: The clock.
    """

    def __init__(
        self, store_client: store.Store, region: ids.RegionId, time: clock.Clock
    ) -> None:
        self._store = store_client
        self._key = model.key(region)
        self._clock = time

    async def submit(
        self, plan: Plan, catalogue: settings.Catalogue
    ) -> Outcome:
        """Decide and write what a plan wants of the newest fleet.

        Args:
            plan: Given the fleet, returns the commands; called again on a
                fresh fleet when another writer was first.
            catalogue: The settings in force.

        Returns:
            What stands, or why nothing could be written.
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
    ) -> Written:
        now_ms = self._clock.wall_ms()
        decisions = []
        for command in requested:
            applied = aggregate.apply(fleet, command, catalogue, now_ms)
            fleet = applied.default_value(fleet)
            refusal = applied.error if applied.is_error() else None
            decisions.append(Decision(command, refusal))
        return Written(fleet, decisions)
