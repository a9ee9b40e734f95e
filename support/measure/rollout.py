"""Section D: roll-out time of waves, against the least that is possible.

The shipped maintenance code runs in virtual time on a store in memory, a
platform whose VMs take a fixed time to reboot, and owners whose VMs take a
fixed time to drain.
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
from wagtailtiller.controller import maintenance
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


class _Platform:
    """VMs that reboot, and a list that lags."""

    def __init__(self, time: clocks.FakeClock, vms: list[ids.VmId]) -> None:
        self._clock = time
        self._boots = dict.fromkeys(vms, 1)
        self._back_at_ms: dict[ids.VmId, int] = {}
        self._listed: list[platform.ListedVm] = []
        self._listed_ms = -_LIST_LAG_MS

    async def list_vms(self) -> "platform.VmListResult":
        """Return the list as it was when last made."""
        now_ms = self._clock.now_ms
        for vm, back_ms in list(self._back_at_ms.items()):
            if back_ms <= now_ms:
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
        """Reboot a VM."""
        accepted = self._boots[vm] == after_boot
        if accepted and vm not in self._back_at_ms:
            self.fail(vm, _REBOOT_MS)
        return Ok(accepted)

    def fail(self, vm: ids.VmId, down_ms: int) -> None:
        """Take a VM down for a time."""
        self._back_at_ms[vm] = self._clock.now_ms + down_ms


class _Owners:
    """Owners whose VMs drain in a fixed time."""

    def __init__(self, time: clocks.FakeClock, shared: replica.Replica) -> None:
        self._clock = time
        self._replica = shared

    async def drain(
        self, owner: roster.Session, vm: ids.VmId
    ) -> messages.DrainResponse:
        """Say whether a VM has had the time to drain."""
        record = self._replica.fleet.vms[vm]
        idle = self._clock.now_ms - record.since_ms >= _DRAIN_MS
        return messages.DrainResponse(
            owner=True, idle=idle, generation=record.generation
        )

    async def loads(self, owner: roster.Session) -> list[object]:
        """Report no load."""
        return []


class Rollout:
    """One region with waves in every pool.

    Args:
        pools: VMs and budget of each pool.
        seed: Seeds the failures.
        failures_per_vm_hour: How often a VM fails.
    """

    def __init__(
        self,
        pools: dict[str, tuple[int, int]],
        seed: int,
        failures_per_vm_hour: float = 0.0,
    ) -> None:
        self._pools = pools
        self._random = random.Random(seed)
        self._rate = failures_per_vm_hour
        self._clock = clocks.FakeClock(0)
        self._store = fakes.FakeStore()
        self._replica = replica.Replica(_REGION)
        self._breaches = 0
        plain = _document(pools)
        change = changes.Change(
            ids.Revision(1), ids.ChangeId("first"), "", "", 0, plain
        )
        self._write(changes.log_key(ids.Revision(1)), change)
        member = roster.Session(ids.GatewayId("gw"), "i", _REGION, "", "")
        members = roster.Roster(ids.Epoch(1), {member.gateway: member})
        self._write(roster.key(_REGION), members)
        self._follow()
        vms = list(self._replica.settings.catalogue.vms)
        self._platform = _Platform(self._clock, vms)
        self._writer = writing.FleetWriter(self._store, _REGION, self._clock)
        self._maintenance = maintenance.Maintenance(
            shared=self._replica,
            writer=self._writer,
            vms=self._platform,
            owner_client=_Owners(self._clock, self._replica),  # type: ignore[arg-type]
            is_leader=lambda: True,
            time=self._clock,
            metrics_client=statsd_metrics.NullMetricsClient(),
        )

    async def run(self) -> dict[str, int]:
        """Run a wave in every pool and return each one's time."""
        await self._step()
        catalogue = self._replica.settings.catalogue
        starts = [
            fleet.StartWave(ids.WaveId(pool), ids.PoolId(pool), "measure")
            for pool in self._pools
        ]
        await self._writer.submit(lambda _: list(starts), catalogue)
        while not self._done():
            await self._step()
        waves = self._replica.fleet.waves
        return {
            wave.pool: wave.ended_ms - wave.started_ms
            for wave in waves.values()
        }

    async def _step(self) -> None:
        self._follow()
        in_motion = await self._maintenance.step()
        delta_ms = _IN_MOTION_POLL_MS if in_motion else _POLL_MS
        self._clock.advance(delta_ms)
        self._fail_some(delta_ms)

    def _fail_some(self, delta_ms: int) -> None:
        chance = self._rate * delta_ms / _HOUR_MS
        for vm, record in self._replica.fleet.vms.items():
            serving = record.state is fleet.VmState.SERVING
            if serving and self._random.random() < chance:
                self._platform.fail(vm, 3 * _REBOOT_MS)

    def _done(self) -> bool:
        self._follow()
        waves = self._replica.fleet.waves.values()
        return bool(waves) and all(
            wave.state is fleet.WaveState.DONE for wave in waves
        )

    def _write(self, key: str, value: object) -> None:
        encoded = msgspec.json.encode(value)
        self._store.state.write(key, encoded, 0, "")

    def _follow(self) -> None:
        revision = self._replica.revision
        changed = self._store.state.changes(replica.PREFIX, revision)
        self._replica.update(changed.items)


def _document(pools: dict[str, tuple[int, int]]) -> changes.JsonObject:
    nodes: changes.JsonObject = {}
    vms: changes.JsonObject = {}
    for pool, (count, budget) in pools.items():
        nodes[pool] = {"values": {"max_unavailable_vms": budget}}
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
        "tree": {"pools": nodes},
        "data_centres": {"dc": {"region": str(_REGION)}},
        "vms": vms,
    }


def _bound_ms(pools: dict[str, tuple[int, int]]) -> int:
    cycle_ms = _DRAIN_MS + _REBOOT_MS
    return max(
        math.ceil(count / budget) * cycle_ms for count, budget in pools.values()
    )


def measure(seed: int) -> str:
    """Run every case and return the table."""
    kadalpura = {f"pool-{n}": (6, 2 if n == 3 else 1) for n in range(5)}
    riga = {f"pool-{n}": (8, 2 if n == 3 else 1) for n in range(5)}
    region = {f"pool-{n:02d}": (9 if n % 3 else 8, 1) for n in range(33)}
    rows = []
    for name, pools in (
        ("kadalpura, 30 VMs", kadalpura),
        ("riga, 40 VMs", riga),
        ("a region of the letter, 286 VMs, 33 pools", region),
    ):
        bound_ms = _bound_ms(pools)
        for failures in (0.0, 0.05):
            times = asyncio.run(Rollout(pools, seed, failures).run())
            took_ms = max(times.values())
            rows.append(
                (
                    name,
                    f"{failures:.2f}",
                    f"{bound_ms / 1_000:.0f}",
                    f"{took_ms / 1_000:.1f}",
                    f"{took_ms / bound_ms:.3f}",
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
