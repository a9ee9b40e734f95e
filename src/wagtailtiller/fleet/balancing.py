"""Balancing: moves VMs between pools if an imbalance persists.

Bursts are absorbed by queueing and load shedding. A move requires a drain, so
VMs are moved only if an imbalance has persisted for some time. This time is
shorter for pools with a high buffer weight and longer for pools with a high
roll-out weight.
"""

import dataclasses
import math

import msgspec

from wagtailtiller import ids
from wagtailtiller import settings
from wagtailtiller.fleet import aggregate
from wagtailtiller.fleet import commands
from wagtailtiller.fleet import model

_SMOOTHING_MS = 60_000.0
_QUEUE_HORIZON_MS = 10_000.0
_HIGH_UTILISATION = 0.75
_LOW_UTILISATION = 0.55
_BUSY_UTILISATION = 0.90
_BASE_SUSTAIN_MS = 15_000.0
_MIN_SUSTAIN_MS = 10_000.0
_MAX_SUSTAIN_MS = 120_000.0


class PoolLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of a pool, as reported by its owner.

    Attributes:
        pool: The pool.
        running: Number of slots in use.
        waiting_ms: Expected slot time of the waiting requests.
        slots: Number of slots of the serving VMs.
    """

    pool: ids.PoolId
    running: int
    waiting_ms: float
    slots: int


@dataclasses.dataclass
class _SmoothedDemand:
    demand_slots: float
    at_ms: int
    high_since_ms: int | None = None
    low_since_ms: int | None = None


class Balancer:
    """Smooths the loads of pools and proposes moves of VMs."""

    def __init__(self) -> None:
        self._demands: dict[ids.PoolId, _SmoothedDemand] = {}
        self._slots: dict[ids.PoolId, int] = {}

    def observe(self, load: PoolLoad, now_ms: int) -> None:
        """Add an observation of a pool's load."""
        demand = load.running + load.waiting_ms / _QUEUE_HORIZON_MS
        self._slots[load.pool] = load.slots
        smoothed = self._demands.get(load.pool)
        if smoothed is None:
            smoothed = _SmoothedDemand(demand, now_ms)
            self._demands[load.pool] = smoothed
        else:
            retained = math.exp((smoothed.at_ms - now_ms) / _SMOOTHING_MS)
            smoothed.demand_slots = (
                retained * smoothed.demand_slots + (1 - retained) * demand
            )
            smoothed.at_ms = now_ms
        utilisation = self.utilisation(load.pool)
        smoothed.high_since_ms = _updated_since_ms(
            smoothed.high_since_ms, utilisation > _HIGH_UTILISATION, now_ms
        )
        smoothed.low_since_ms = _updated_since_ms(
            smoothed.low_since_ms, utilisation < _LOW_UTILISATION, now_ms
        )

    def utilisation(self, pool: ids.PoolId) -> float:
        """Return the smoothed demand as a fraction of the serving slots."""
        smoothed = self._demands.get(pool)
        if smoothed is None:
            return 0.0
        return smoothed.demand_slots / max(1, self._slots[pool])

    def busy(self, pool: ids.PoolId) -> bool:
        """Return whether a pool has no spare slots for maintenance."""
        return self.utilisation(pool) > _BUSY_UTILISATION

    def moves(
        self,
        fleet: model.Fleet,
        catalogue: settings.Catalogue,
        now_ms: int,
    ) -> list[commands.Command]:
        """Return the next move, if any.

        There is at most one move at a time, so that its effect is observed
        before the next one.

        Args:
            fleet: The fleet.
            catalogue: The settings in force.
            now_ms: Current time of the clock on which loads were observed.

        Returns:
            A list with one command, or an empty list.
        """
        if any(
            isinstance(record.goal, model.Move) for record in fleet.vms.values()
        ):
            return []
        moves = self._lending_moves(fleet, catalogue, now_ms)
        moves = moves or self._return_moves(fleet, catalogue, now_ms)
        return moves[:1]

    def _lending_moves(
        self,
        fleet: model.Fleet,
        catalogue: settings.Catalogue,
        now_ms: int,
    ) -> list[commands.Command]:
        short_pools = [
            pool
            for pool, pool_settings in catalogue.pools.items()
            if self._is_sustained(pool, pool_settings, now_ms, high=True)
        ]
        short_pools.sort(key=self.utilisation, reverse=True)
        for pool in short_pools:
            for donor in self._donors(fleet, catalogue, pool):
                vm = _choose_vm_to_move(fleet, catalogue, donor)
                if vm is not None:
                    return [commands.BeginLeave(vm, model.Move(pool))]
        return []

    def _donors(
        self,
        fleet: model.Fleet,
        catalogue: settings.Catalogue,
        borrower: ids.PoolId,
    ) -> list[ids.PoolId]:
        donors = [
            pool
            for pool, pool_settings in catalogue.pools.items()
            if pool_settings.lends
            and pool != borrower
            and not _in_wave(fleet, pool)
        ]
        suitable = [
            donor
            for donor in donors
            if self._utilisation_after_loss(catalogue, donor) < _LOW_UTILISATION
        ]
        return sorted(suitable, key=self.utilisation)

    def _return_moves(
        self,
        fleet: model.Fleet,
        catalogue: settings.Catalogue,
        now_ms: int,
    ) -> list[commands.Command]:
        """Return a borrowed VM to its pool once the borrower has low load."""
        for vm, record in fleet.vms.items():
            declared = catalogue.vms.get(vm)
            borrower = catalogue.pools.get(record.pool)
            if declared is None or borrower is None:
                continue
            borrowed = declared.pool != record.pool
            serving = record.state is model.VmState.SERVING
            if (
                not borrowed
                or not serving
                or declared.pool not in catalogue.pools
            ):
                continue
            sustained = self._is_sustained(
                record.pool, borrower, now_ms, high=False
            )
            if (
                sustained
                and self._utilisation_after_loss(catalogue, record.pool)
                < _LOW_UTILISATION
            ):
                goal = model.Move(declared.pool)
                return [commands.BeginLeave(vm, goal)]
        return []

    def _is_sustained(
        self,
        pool: ids.PoolId,
        pool_settings: settings.PoolSettings,
        now_ms: int,
        high: bool,
    ) -> bool:
        smoothed = self._demands.get(pool)
        if smoothed is None:
            return False
        since_ms = smoothed.high_since_ms if high else smoothed.low_since_ms
        return since_ms is not None and now_ms - since_ms >= sustain_ms(
            pool_settings
        )

    def _utilisation_after_loss(
        self, catalogue: settings.Catalogue, pool: ids.PoolId
    ) -> float:
        """Return the utilisation that a pool would have without one VM."""
        smoothed = self._demands.get(pool)
        demand = smoothed.demand_slots if smoothed else 0.0
        slots = self._slots.get(pool, 0) - catalogue.pools[pool].slots_per_vm
        return demand / slots if slots > 0 else math.inf


def sustain_ms(pool: settings.PoolSettings) -> float:
    """Return how long an imbalance must persist before a VM is moved."""
    ratio = (pool.roll_out_weight + 0.01) / (pool.buffer_weight + 0.01)
    wanted_ms = _BASE_SUSTAIN_MS * ratio
    return min(_MAX_SUSTAIN_MS, max(_MIN_SUSTAIN_MS, wanted_ms))


def _updated_since_ms(
    since_ms: int | None, condition: bool, now_ms: int
) -> int | None:
    if not condition:
        return None
    return now_ms if since_ms is None else since_ms


def _in_wave(fleet: model.Fleet, pool: ids.PoolId) -> bool:
    return any(
        wave.pool == pool and wave.state is model.WaveState.RUNNING
        for wave in fleet.waves.values()
    )


def _choose_vm_to_move(
    fleet: model.Fleet, catalogue: settings.Catalogue, pool: ids.PoolId
) -> ids.VmId | None:
    pool_settings = catalogue.pools[pool]
    serving = [
        vm
        for vm, record in fleet.vms.items()
        if record.pool == pool and record.state is model.VmState.SERVING
    ]
    room = aggregate.planned_allowance(pool_settings) - aggregate.unavailable(
        fleet, pool
    )
    if room <= 0 or len(serving) <= pool_settings.min_vms:
        return None
    borrowed_first = sorted(
        serving, key=lambda vm: (catalogue.vms[vm].pool == pool, vm)
    )
    return borrowed_first[0]
