"""Section D: roll-out time of waves, compared to the lower bound.

The shipped maintenance code runs in virtual time with an in-memory store. VMs
take a fixed time to drain and to reboot.
"""

import asyncio
import math
import random

from expression import Ok
import msgspec

from support import clocks
from support import fakes
from support.measure import tables
from wagtailtiller import fleet
from wagtailtiller import ids
from wagtailtiller import replica
from wagtailtiller import roster
from wagtailtiller import statsd_metrics
from wagtailtiller.controller import plan_executor
from wagtailtiller.dispatch import messages
from wagtailtiller.fleet import writing
from wagtailtiller.ports import platform
from wagtailtiller.settings import changes

_REGION = ids.RegionId("region")
_DRAIN_MS = 8_000
_REBOOT_MS = 90_000
_LIST_LAG_MS = 2_000
_POLL_MS = 500
_IN_MOTION_POLL_MS = 150
_HOUR_MS = 3_600_000


class _FakePlatform:
    """Platform whose VMs reboot and whose VM list is updated with a delay."""

    def __init__(self, clock: clocks.FakeClock, vms: list[ids.VmId]) -> None:
        self._clock = clock
        self._boots = dict.fromkeys(vms, 1)
        self._back_at_ms: dict[ids.VmId, int] = {}
        self._listed: list[platform.ListedVm] = []
        self._listed_ms = -_LIST_LAG_MS

    async def list_vms(self) -> "platform.VmListResult":
        """Return the VM list as of its last update."""
        now_ms = self._clock.now_ms
        for vm, due_ms in list(self._back_at_ms.items()):
            if due_ms <= now_ms:
                del self._back_at_ms[vm]
                self._boots[vm] += 1
        if now_ms - self._listed_ms >= _LIST_LAG_MS:
            self._listed_ms = now_ms
            self._listed = [
                platform.ListedVm(vm, platform.ListedVmPhase.LIVE, boot)
                for vm, boot in self._boots.items()
                if vm not in self._back_at_ms
            ]
        return Ok(self._listed)

    async def reboot(
        self, vm: ids.VmId, after_boot: int
    ) -> "platform.RebootResult":
        """Reboot a VM unless it has been rebooted since ``after_boot``."""
        accepted = self._boots[vm] == after_boot
        if accepted and vm not in self._back_at_ms:
            self.fail(vm, _REBOOT_MS)
        return Ok(accepted)

    def fail(self, vm: ids.VmId, down_ms: int) -> None:
        """Take a VM down for a time in milliseconds."""
        self._back_at_ms[vm] = self._clock.now_ms + down_ms


class _FakeOwners:
    """Pool owners whose VMs drain in a fixed time."""

    def __init__(
        self, clock: clocks.FakeClock, state_replica: replica.Replica
    ) -> None:
        self._clock = clock
        self._replica = state_replica

    async def drain(
        self, owner: roster.GatewaySession, vm: ids.VmId
    ) -> messages.DrainResponse:
        """Return whether a VM has drained."""
        record = self._replica.fleet.vms[vm]
        idle = self._clock.now_ms - record.since_ms >= _DRAIN_MS
        return messages.DrainResponse(
            owner=True, idle=idle, generation=record.generation
        )

    async def loads(self, owner: roster.GatewaySession) -> list[object]:
        """Return no loads."""
        return []


class Rollout:
    """Region with a wave in every pool.

    Args:
        pools: Number of VMs of each pool, and how many may be unavailable.
        seed: Seed of the VM failures.
        failures_per_vm_hour: Mean failures per VM and hour.
    """

    def __init__(
        self,
        pools: dict[str, tuple[int, int]],
        seed: int,
        failures_per_vm_hour: float = 0.0,
    ) -> None:
        self._pools = pools
        self._rng = random.Random(seed)
        self._failures_per_vm_hour = failures_per_vm_hour
        self._clock = clocks.FakeClock(0)
        self._store = fakes.FakeStore()
        self._replica = replica.Replica(_REGION)
        document = _document(pools)
        change = changes.Change(
            ids.Revision(1), ids.ChangeId("first"), "", "", 0, document
        )
        self._write(changes.log_key(ids.Revision(1)), change)
        member = roster.GatewaySession(
            ids.GatewayId("gw"), "i", _REGION, "", ""
        )
        first_roster = roster.Roster(ids.Epoch(1), {member.gateway: member})
        self._write(roster.key(_REGION), first_roster)
        self._update_replica()
        vms = list(self._replica.settings.catalogue.vms)
        self._platform = _FakePlatform(self._clock, vms)
        self._writer = writing.FleetWriter(self._store, _REGION, self._clock)
        self._maintenance = plan_executor.PlanExecutor(
            state_replica=self._replica,
            writer=self._writer,
            vms=self._platform,
            owner_client=_FakeOwners(self._clock, self._replica),  # type: ignore[arg-type]
            is_leader=lambda: True,
            clock=self._clock,
            metrics_client=statsd_metrics.NullMetricsClient(),
        )

    async def run(self) -> dict[str, int]:
        """Run a wave in every pool and return their durations in ms."""
        await self._step()
        catalogue = self._replica.settings.catalogue
        starts = [
            fleet.StartWave(ids.WaveId(pool), ids.PoolId(pool), "measure")
            for pool in self._pools
        ]
        await self._writer.submit(lambda _: list(starts), catalogue)
        while not self._waves_done():
            await self._step()
        waves = self._replica.fleet.waves
        return {
            wave.pool: wave.ended_ms - wave.started_ms
            for wave in waves.values()
        }

    async def _step(self) -> None:
        self._update_replica()
        in_motion = await self._maintenance.step()
        delta_ms = _IN_MOTION_POLL_MS if in_motion else _POLL_MS
        self._clock.advance(delta_ms)
        self._inject_failures(delta_ms)

    def _inject_failures(self, delta_ms: int) -> None:
        probability = self._failures_per_vm_hour * delta_ms / _HOUR_MS
        for vm, record in self._replica.fleet.vms.items():
            serving = record.state is fleet.VmState.SERVING
            if serving and self._rng.random() < probability:
                self._platform.fail(vm, 3 * _REBOOT_MS)

    def _waves_done(self) -> bool:
        self._update_replica()
        waves = self._replica.fleet.waves.values()
        return bool(waves) and all(
            wave.state is fleet.WaveState.DONE for wave in waves
        )

    def _write(self, key: str, value: object) -> None:
        encoded = msgspec.json.encode(value)
        self._store.state.write(key, encoded, 0, "")

    def _update_replica(self) -> None:
        revision = self._replica.revision
        changes_since = self._store.state.changes(replica.PREFIX, revision)
        self._replica.update(changes_since.items)


def _document(pools: dict[str, tuple[int, int]]) -> changes.JsonObject:
    pool_nodes: changes.JsonObject = {}
    vms: changes.JsonObject = {}
    for pool, (count, budget) in pools.items():
        pool_nodes[pool] = {"values": {"max_unavailable_vms": budget}}
        for _ in range(count):
            number = len(vms)
            vms[f"vm-{number:04d}"] = {
                "address": f"10.{number >> 8}.{number & 255}.1:80",
                "data_centre": "dc",
                "rack": f"rack-{number // 4}",
                "pool": pool,
                "processors": 32,
                "memory_gb": 128,
            }
    return {
        "tree": {"pools": pool_nodes},
        "data_centres": {"dc": {"region": str(_REGION)}},
        "vms": vms,
    }


def _lower_bound_ms(pools: dict[str, tuple[int, int]]) -> int:
    cycle_ms = _DRAIN_MS + _REBOOT_MS
    return max(
        math.ceil(count / budget) * cycle_ms for count, budget in pools.values()
    )


def measure(seed: int) -> str:
    """Run every case and return the table.

    Args:
        seed: Seed of the VM failures.
    """
    kadalpura = {f"pool-{n}": (6, 2 if n == 3 else 1) for n in range(5)}
    riga = {f"pool-{n}": (8, 2 if n == 3 else 1) for n in range(5)}
    region = {f"pool-{n:02d}": (9 if n % 3 else 8, 1) for n in range(33)}
    rows = []
    for name, pools in (
        ("kadalpura, 30 VMs", kadalpura),
        ("riga, 40 VMs", riga),
        ("a region of the letter, 286 VMs, 33 pools", region),
    ):
        bound_ms = _lower_bound_ms(pools)
        for failures in (0.0, 0.05):
            times = asyncio.run(Rollout(pools, seed, failures).run())
            longest_ms = max(times.values())
            rows.append(
                (
                    name,
                    f"{failures:.2f}",
                    f"{bound_ms / 1_000:.0f}",
                    f"{longest_ms / 1_000:.1f}",
                    f"{longest_ms / bound_ms:.3f}",
                    "<= 1.100" if not failures else "",
                )
            )
    headings = (
        "case",
        "failures/VM/h",
        "bound s",
        "took s",
        "took/bound",
        "target",
    )
    title = "D. Roll-out time: waves in all pools, 8 s drain, 90 s reboot"
    return tables.table(title, headings, rows)
