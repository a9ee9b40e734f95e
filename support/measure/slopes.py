"""Capacity: cost of state and work by fleet size, with fitted slopes.

Processor time is that of this process; memory is that allocated by Python.
"""

from collections.abc import Callable
import gc
import statistics
import time
import tracemalloc

import msgspec

from support.measure import tables
from wagtailtiller import fleet
from wagtailtiller import ids
from wagtailtiller import replica
from wagtailtiller import roster
from wagtailtiller.fleet import model
from wagtailtiller.fleet import planning
from wagtailtiller.ports import platform
from wagtailtiller.ports import store
from wagtailtiller.settings import changes

_VM_COUNTS = (30, 250, 1_000, 2_000)
_REGION_VM_COUNTS = (30, 70, 143, 286)
_VMS_PER_POOL = 8.7
_REGIONS = 7
_TEAMS = 51
_REPEAT_COUNT = 5
_US_PER_S = 1e6


def document(vm_count: int, regions: int = _REGIONS) -> changes.JsonObject:
    """Return settings with 8.7 VMs per pool and 51 teams.

    Args:
        vm_count: Number of VMs.
        regions: Number of regions.
    """
    pools = max(5, round(vm_count / _VMS_PER_POOL))
    return {
        "tree": {
            "values": {"deadline_ms": 10_000},
            "pools": {
                f"pool-{n:03d}": {
                    "values": {"max_unavailable_vms": 1},
                    "queues": {f"queue-{n:03d}": {"values": {}}},
                }
                for n in range(pools)
            },
        },
        "data_centres": {
            f"dc-{n}": {"region": f"region-{n % regions}"} for n in range(19)
        },
        "vms": {
            f"vm-{n:04d}": {
                "address": f"10.{n >> 8}.{n & 255}.1:80",
                "data_centre": f"dc-{n // 4 % 19}",
                "rack": f"rack-{n // 4:03d}",
                "pool": f"pool-{n % pools:03d}",
                "processors": 64,
                "memory_gb": 256,
            }
            for n in range(vm_count)
        },
        "members": {
            "member": {
                "teams": {
                    f"team-{n}": {"tokens_sha256": [f"{n:064x}"]}
                    for n in range(_TEAMS)
                }
            }
        },
    }


def slope(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Return the slope and the intercept of a least-squares line."""
    xs, ys = zip(*points, strict=True)
    fit = statistics.linear_regression(xs, ys)
    return fit.slope, fit.intercept


def processor_us(measurement: Callable[[], object]) -> float:
    """Return the smallest processor time of five runs, in microseconds."""
    times = []
    for _ in range(_REPEAT_COUNT):
        gc.collect()
        start_s = time.process_time()
        measurement()
        times.append(time.process_time() - start_s)
    return min(times) * _US_PER_S


def _filled_replica(vm_count: int) -> replica.Replica:
    document_json = document(vm_count)
    loaded = replica.Replica(ids.RegionId("region-0"))
    change = changes.Change(
        ids.Revision(1), ids.ChangeId("c"), "op", "", 0, document_json
    )
    items = [
        _item(changes.log_key(ids.Revision(1)), change, 1),
        _item(model.key(ids.RegionId("region-0")), _fleet(vm_count // 7), 2),
    ]
    loaded.load(items, 2)
    return loaded


def _item(key: str, value: object, revision: int) -> store.Item:
    return store.Item(key, msgspec.json.encode(value), ids.Revision(revision))


def _fleet(vm_count: int) -> fleet.Fleet:
    pools = max(5, round(vm_count / _VMS_PER_POOL))
    vms = {
        ids.VmId(f"vm-{n:04d}"): fleet.VmRecord(
            ids.PoolId(f"pool-{n % pools:03d}"),
            fleet.VmState.SERVING,
            9,
            5,
            1_700_000_000_000,
        )
        for n in range(vm_count)
    }
    return fleet.Fleet(vms=vms)


def _memory_kb(vm_count: int) -> float:
    gc.collect()
    tracemalloc.start()
    loaded = _filled_replica(vm_count)
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert loaded.revision
    return size / 1_024


def _change_us(vm_count: int) -> float:
    loaded = _filled_replica(vm_count)
    patch = {"tree": {"values": {"deadline_ms": 9_000}}}
    change = changes.Change(
        ids.Revision(2), ids.ChangeId("d"), "op", "", 0, patch
    )
    current = loaded.settings
    return processor_us(lambda: changes.replay(current, [change]))


def _fleet_update_us(vm_count: int) -> float:
    value = msgspec.json.encode(_fleet(vm_count))
    decoder = msgspec.json.Decoder(fleet.Fleet)
    return processor_us(lambda: decoder.decode(value))


def _fleet_bytes(vm_count: int) -> float:
    return len(msgspec.json.encode(_fleet(vm_count)))


def _plan_us(vm_count: int) -> float:
    loaded = replica.Replica(ids.RegionId("region-0"))
    document_json = document(vm_count, regions=1)
    change = changes.Change(
        ids.Revision(1), ids.ChangeId("c"), "op", "", 0, document_json
    )
    loaded.load([_item(changes.log_key(ids.Revision(1)), change, 1)], 1)
    catalogue = loaded.settings.catalogue
    whole_fleet = _fleet(vm_count)
    reports = {
        vm: platform.ListedVm(vm, platform.ListedVmPhase.LIVE, 5)
        for vm in whole_fleet.vms
    }

    def step() -> None:
        planning.observe(whole_fleet, catalogue, reports)
        planning.plan(whole_fleet, catalogue)

    return processor_us(step)


def _owner_us(gateways: int) -> float:
    members = {
        ids.GatewayId(f"gw-{n}"): roster.GatewaySession(
            ids.GatewayId(f"gw-{n}"), "i", ids.RegionId("r"), "", ""
        )
        for n in range(gateways)
    }
    current = roster.Roster(ids.Epoch(1), members)
    pools = [ids.PoolId(f"pool-{n}") for n in range(33)]
    return processor_us(lambda: [roster.owner(current, p) for p in pools])


_Measurement = Callable[[int], float]
_ROWS: tuple[tuple[str, str, tuple[int, ...], _Measurement, int], ...] = (
    ("view in memory, KB", "workers", _VM_COUNTS, _memory_kb, 2_000),
    ("apply a settings change, us", "workers", _VM_COUNTS, _change_us, 2_000),
    ("decode a region's fleet, us", "workers", _REGION_VM_COUNTS,
     _fleet_update_us, 286),
    ("a region's fleet in the store, B", "workers", _REGION_VM_COUNTS,
     _fleet_bytes, 286),
    ("a controller's step, us", "workers", _REGION_VM_COUNTS, _plan_us, 286),
    ("owners of 33 pools, us", "gateways", (3, 9, 18, 30), _owner_us, 9),
)  # fmt: skip


def measure(seed: int) -> str:
    """Measure and fit every row and return the table.

    The last column is the fitted value at the size that the requirements
    name.

    Args:
        seed: Unused.
    """
    rows = []
    for name, unit, sizes, measurement, target in _ROWS:
        points = [(float(size), measurement(size)) for size in sizes]
        per_unit, fixed = slope(points)
        formatted_points = " ".join(f"{int(x)}:{y:.0f}" for x, y in points)
        rows.append(
            (
                name,
                unit,
                formatted_points,
                f"{per_unit:.2f}",
                f"{fixed:.0f}",
                f"{target}: {per_unit * target + fixed:.0f}",
            )
        )
    headings = ("what", "per", "points", "slope", "fixed", "at the size")
    return tables.table("Capacity: slopes", headings, rows)
