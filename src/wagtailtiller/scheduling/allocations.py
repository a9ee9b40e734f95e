"""The allocations of one pool, as its owner knows them.

The owner's process reports the document and the declared limits, and stores
the documents that the module proposes. The module does no I/O.
"""

import dataclasses

from wagtailtiller import events
from wagtailtiller import ids
from wagtailtiller.jobs import model
from wagtailtiller.ports import catalogue
from wagtailtiller.ports import store
from wagtailtiller.scheduling import allocation
from wagtailtiller.scheduling import headroom as headroom_module
from wagtailtiller.scheduling import organisation_usage
from wagtailtiller.scheduling import state

# The highest demand within this time is asked for. Jobs arrive unevenly.
_DEMAND_WINDOW_MS = 1_000
# Owners take turns of this length while the limit is too small for one task in
# each pool: time for the tasks of the other pools to end, and for a few tasks.
_TURN_MS = 3_000
# A pool without work keeps its allocation for this time, in case that the work
# returns.
_IDLE_MS = 30_000
# Once an organisation that had no limit has one, the owners record what it
# uses before any of them takes a free part.
_RECORDING_MS = 1_500
_BLOCKED_EVENT_INTERVAL_MS = 10_000

_Organisations = dict[ids.OrganisationId, catalogue.Organisation]


@dataclasses.dataclass(slots=True)
class _Demand:
    """Highest demand within the current and the previous window."""

    began_ms: int
    current: allocation.Amounts = allocation.NOTHING
    previous: allocation.Amounts = allocation.NOTHING

    def observe(self, now_ms: int, demand: allocation.Amounts) -> None:
        if now_ms - self.began_ms >= _DEMAND_WINDOW_MS:
            self.previous = self.current
            self.current = allocation.NOTHING
            self.began_ms = now_ms
        self.current = self.current.highest(demand)

    def highest(self) -> allocation.Amounts:
        return self.current.highest(self.previous)


class Allocations:
    """What organisations with a limit may use in one pool.

    Args:
        pool_state: State of the pool.

    Attributes:
        document: Newest known copy of the document.
        revision: Revision of that copy, ``ABSENT`` if there is no document;
            None while no copy is known.
        limits: Declared limits of the organisations that have one.
    """

    def __init__(self, pool_state: state.PoolState) -> None:
        self.document = allocation.Document()
        self.revision: ids.Revision | None = None
        self.limits: dict[ids.OrganisationId, allocation.Limit] = {}
        self._state = pool_state
        self._inherited = organisation_usage.InheritedUsage(pool_state)
        self._newest_revision = store.ABSENT
        self._version: int | None = None
        # Lowest of the allocations that were proposed against this revision.
        # The store may have applied any of the proposals.
        self._lowest_proposed: dict[ids.OrganisationId, allocation.Amounts] = {}
        self._headroom: headroom_module.Headroom | None = None
        self._demands: dict[ids.OrganisationId, _Demand] = {}
        self._busy_ms: dict[ids.OrganisationId, int] = {}
        self._recording_until_ms: dict[ids.OrganisationId, int] = {}
        self._blocked_event_ms: dict[ids.OrganisationId, int] = {}

    def set_organisations(
        self, organisations: _Organisations, version: int
    ) -> None:
        """Update the limits that operators have declared.

        Args:
            organisations: Declared organisations by name.
            version: Version of the declarations.
        """
        known = self.limits
        self.limits = {}
        now_ms = self._state.clock.monotonic_ms()
        for name, organisation in organisations.items():
            amounts = allocation.from_resources(organisation.limit)
            if not any(amounts):
                continue
            before = known.get(name)
            since = version
            if (
                before is not None
                and before.amounts == amounts
                and (version - before.version <= 1)
            ):
                since = before.since
            self.limits[name] = allocation.Limit(version, amounts, since)
            if self._version is not None and _is_newly_limited(before, amounts):
                self._recording_until_ms[name] = now_ms + _RECORDING_MS
        self._version = version
        self._headroom = None

    def load(
        self, document: allocation.Document, revision: ids.Revision
    ) -> None:
        """Replace the copy of the document, unless it is newer.

        Args:
            document: Content of the document.
            revision: Its revision; ``ABSENT`` if there is no document.
        """
        if revision == self.revision or (
            revision != store.ABSENT and revision <= self._newest_revision
        ):
            return
        self.document = document
        self.revision = revision
        self._newest_revision = max(revision, self._newest_revision)
        self._lowest_proposed = {}
        self._headroom = None

    def discard_copy(self) -> None:
        """Forget the document, because it cannot be decoded."""
        self.revision = None
        self._headroom = None

    def needed(self) -> bool:
        """Return whether the owner has to follow the document now."""
        if not self.limits:
            return False
        if self.revision is None:
            # A predecessor may have left an entry that has to be released.
            return True
        if any(
            self._state.pool in entries
            for entries in self.document.entries.values()
        ):
            return True
        return any(
            entry.job.organisation in self.limits
            for entry in self._state.active.values()
        )

    def begin_plan(self) -> None:
        """Start a new plan: what organisations use is counted again."""
        self._headroom = None

    def may_start(
        self, organisation: ids.OrganisationId, step: model.Step, count: int
    ) -> bool:
        """Return whether tasks may start now within the allocation.

        Args:
            organisation: Organisation of the tasks.
            step: Step of the tasks.
            count: Number of tasks that start together.
        """
        if organisation not in self.limits:
            return True
        if self._headroom is None:
            self._headroom = self.headroom()
        fitting = self._headroom.fitting_count(organisation, step, count)
        if fitting == count:
            return True
        self._log_blocked(organisation, step, count)
        return False

    def add_start(
        self, organisation: ids.OrganisationId, step: model.Step
    ) -> None:
        """Count a task that the current plan starts.

        Args:
            organisation: Organisation of the task.
            step: Step of the task.
        """
        if self._headroom is not None:
            self._headroom.take(organisation, step, 1)

    def headroom(self) -> headroom_module.Headroom:
        """Return what organisations may use beyond what may be in use."""
        if not self.limits:
            return headroom_module.Headroom({})
        possible = self._inherited.possible_usage(self.limits)
        return headroom_module.Headroom(
            {
                organisation: self._left(organisation, possible[organisation])
                for organisation in self.limits
            }
        )

    def _left(
        self, organisation: ids.OrganisationId, possible: allocation.Amounts
    ) -> list[int | None]:
        allowed = self.allowed(organisation)
        limit = self.limit(organisation)
        return [
            allowed[number] - possible[number] if limit[number] else None
            for number in range(len(limit))
        ]

    def fair_share(
        self, organisation: ids.OrganisationId
    ) -> allocation.Amounts:
        """Return the share of a pool that asks for all it can get.

        Args:
            organisation: Organisation with a limit.
        """
        limit = self.limit(organisation)
        entries = dict(self.document.entries.get(organisation, {}))
        entries[self._state.pool] = allocation.Entry(
            allocation.NOTHING, demand=limit
        )
        shares = [
            allocation.shares(number, limit, entries, 0)[self._state.pool]
            if amount
            else 0
            for number, amount in enumerate(limit)
        ]
        return allocation.Amounts(*shares)

    def limit(self, organisation: ids.OrganisationId) -> allocation.Amounts:
        """Return the limit in force of an organisation that has one."""
        return allocation.newest_limit(
            self.document.limits.get(organisation), self.limits[organisation]
        ).amounts

    def allowed(self, organisation: ids.OrganisationId) -> allocation.Amounts:
        """Return what an organisation with a limit may use in the pool now."""
        declared = self.limits[organisation]
        if self.revision is None or not allocation.usable(
            self.document, declared, organisation
        ):
            return allocation.NOTHING
        allowed = _own_allocation(self.document, organisation, self._state.pool)
        return allowed.lowest(self._lowest_proposed.get(organisation, allowed))

    def propose(self) -> allocation.Document | None:
        """Return the document to store; None if nothing has to change.

        Until a newer revision is loaded, the pool uses no more than both the
        known and the proposed document allow.
        """
        if self.revision is None or not self.limits:
            return None
        entries = dict(self.document.entries)
        limits = dict(self.document.limits)
        is_changed = False
        for organisation, need in self._needs().items():
            limit = allocation.newest_limit(
                limits.get(organisation), self.limits[organisation]
            )
            before = entries.get(organisation, {})
            after = self._next_entries(organisation, limit, before, need)
            entries[organisation] = after
            stored = limits.get(organisation)
            if after is not before or (
                self._is_held_back(organisation)
                or stored is None
                or stored.amounts != limit.amounts
                or limit.must_replace(stored)
            ):
                is_changed = True
            limits[organisation] = limit
        if not is_changed:
            return None
        proposal = allocation.Document(limits, entries)
        self._remember(proposal)
        self._headroom = None
        return proposal

    def _is_held_back(self, organisation: ids.OrganisationId) -> bool:
        """Return whether a proposal of unknown outcome still lowers the use.

        A write at the same revision settles the outcome.
        """
        own = _own_allocation(self.document, organisation, self._state.pool)
        return self._lowest_proposed.get(organisation, own).lowest(own) != own

    def _remember(self, proposal: allocation.Document) -> None:
        for organisation in self.document.entries | proposal.entries:
            proposed = _own_allocation(proposal, organisation, self._state.pool)
            known = self._lowest_proposed.get(organisation, proposed)
            self._lowest_proposed[organisation] = known.lowest(proposed)

    def _next_entries(
        self,
        organisation: ids.OrganisationId,
        limit: allocation.Limit,
        before: dict[ids.PoolId, allocation.Entry],
        need: allocation.Need,
    ) -> dict[ids.PoolId, allocation.Entry]:
        """Return the changed entries, or ``before`` itself if none changes."""
        pool = self._state.pool
        own = before.get(pool)
        if self._is_idle(organisation, need):
            if own is None:
                return before
            return {name: before[name] for name in before if name != pool}
        own = own or allocation.Entry(allocation.NOTHING)
        after = allocation.next_entry(
            pool, limit.amounts, before, need, self._turn()
        )
        if self._is_recording(organisation):
            lowered = after.allocation.lowest(own.allocation.highest(need.used))
            after = allocation.Entry(lowered, after.demand, after.unit)
        others = [before[name] for name in before if name != pool]
        if not allocation.is_material(own, after, others, limit.amounts):
            return before
        return {**before, pool: after}

    def _needs(self) -> dict[ids.OrganisationId, allocation.Need]:
        used = organisation_usage.known_usage(self._state, self.limits)
        possible = self._inherited.possible_usage(self.limits)
        asked, units = organisation_usage.demand(self._state, self.limits, used)
        now_ms = self._state.clock.monotonic_ms()
        needs = {}
        for organisation in self.limits:
            demand = self._demands.setdefault(organisation, _Demand(now_ms))
            demand.observe(now_ms, asked[organisation])
            limit = self.limit(organisation)
            needs[organisation] = allocation.Need(
                used[organisation],
                possible[organisation],
                demand.highest().lowest(limit),
                units[organisation].lowest(limit),
            )
            if any(possible[organisation]) or any(asked[organisation]):
                self._busy_ms[organisation] = now_ms
        return needs

    def _is_idle(
        self, organisation: ids.OrganisationId, need: allocation.Need
    ) -> bool:
        if any(need.demand) or any(need.possible):
            return False
        busy_ms = self._busy_ms.setdefault(
            organisation, self._state.clock.monotonic_ms()
        )
        return self._state.clock.monotonic_ms() - busy_ms >= _IDLE_MS

    def _is_recording(self, organisation: ids.OrganisationId) -> bool:
        until_ms = self._recording_until_ms.get(organisation, 0)
        return self._state.clock.monotonic_ms() < until_ms

    def _turn(self) -> int:
        return self._state.clock.wall_ms() // _TURN_MS

    def _log_blocked(
        self, organisation: ids.OrganisationId, step: model.Step, count: int
    ) -> None:
        now_ms = self._state.clock.monotonic_ms()
        last_ms = self._blocked_event_ms.get(organisation)
        if last_ms is not None and (
            now_ms - last_ms < _BLOCKED_EVENT_INTERVAL_MS
        ):
            return
        self._blocked_event_ms[organisation] = now_ms
        possible = self._inherited.possible_usage(self.limits)[organisation]
        events.emit(
            events.Event.START_OVER_LIMIT,
            organisation=organisation,
            pool=self._state.pool,
            needed=allocation.needed_by(step),
            count=count,
            used=possible,
            allowed=self.allowed(organisation),
            limit=self.limit(organisation),
            allocated=self.document.allocated(organisation),
            revision=self.revision,
            unresolved=len(self._state.unresolved),
        )


def _own_allocation(
    document: allocation.Document,
    organisation: ids.OrganisationId,
    pool: ids.PoolId,
) -> allocation.Amounts:
    entry = document.entries.get(organisation, {}).get(pool)
    return allocation.NOTHING if entry is None else entry.allocation


def _is_newly_limited(
    before: allocation.Limit | None, amounts: allocation.Amounts
) -> bool:
    if before is None:
        return True
    return any(
        amount and not earlier
        for amount, earlier in zip(amounts, before.amounts, strict=True)
    )
