"""Draws and runs seeded schedules."""

from collections.abc import Callable
import random

from support.fuzz import world as world_module
from wagtailtiller import fleet
from wagtailtiller import ids

STEPS = 120
_STEP_DELAYS_MS = (1, 5, 20, 20, 50, 50, 100, 400)
_MAX_RECENT_KEYS = 6


def run_one(seed: int, steps: int = STEPS) -> world_module.World:
    """Run one schedule until its end or its first violation.

    Args:
        seed: Seed of all random choices.
        steps: Largest number of steps.

    Returns:
        World in its final state.
    """
    world = world_module.World(seed)
    rng = world.rng
    for _ in range(12):
        world.step(50)
    for _ in range(steps):
        action = rng.choices(_ACTIONS, _WEIGHTS)[0]
        action(world, rng)
        world.step(rng.choice(_STEP_DELAYS_MS))
        if world.oracle.violations:
            break
    return world


def _send_request(world: world_module.World, rng: random.Random) -> None:
    running_gateways = [g for g in world.gateways.values() if not g.paused]
    if not running_gateways:
        return
    gateway = rng.choice(running_gateways)
    queue = rng.choice(list(world.catalogue.queues.values()))
    now_ms = world.clock.now_ms
    earlier_requests = [r for r in world.requests if r.key and r.queue == queue]
    if earlier_requests and rng.random() < 0.4:
        first = rng.choice(earlier_requests[-_MAX_RECENT_KEYS:])
        key, first_used_ms = first.key, first.first_used_ms
    else:
        key = rng.choice((0, len(world.requests) + 1))
        first_used_ms = now_ms
    request = world_module.Request(
        number=len(world.requests),
        queue=queue,
        key=key,
        first_used_ms=first_used_ms,
        sent_ms=now_ms,
    )
    world.requests.append(request)
    world.begin_request(gateway, request, rng.choice((300, 1_500, 4_000)))


def _kill_gateway(world: world_module.World, rng: random.Random) -> None:
    if len(world.gateways) > 1:
        world.kill_gateway(rng.choice(list(world.gateways)))


def _restart_gateway(world: world_module.World, rng: random.Random) -> None:
    missing_names = {"gw-0", "gw-1", "gw-2"} - set(world.gateways)
    if missing_names:
        world.start_gateway(sorted(missing_names)[0])


def _pause_gateways(world: world_module.World, rng: random.Random) -> None:
    for gateway in world.gateways.values():
        if rng.random() < 0.4:
            gateway.paused = True


def _resume_gateways(world: world_module.World, rng: random.Random) -> None:
    for gateway in world.gateways.values():
        gateway.paused = False


def _break_stream(world: world_module.World, rng: random.Random) -> None:
    world.break_stream()


def _disconnect_from_store(
    world: world_module.World, rng: random.Random
) -> None:
    connected = [g for g in world.gateways.values() if g.reaches_store]
    if len(connected) > 1:
        rng.choice(connected).reaches_store = False


def _reconnect_to_store(world: world_module.World, rng: random.Random) -> None:
    for gateway in world.gateways.values():
        gateway.reaches_store = True


def _toggle_store(world: world_module.World, rng: random.Random) -> None:
    world.set_store(not world.store_up)


def _begin_leave(world: world_module.World, rng: random.Random) -> None:
    if not world.store_up:
        return
    vm = rng.choice(list(world.fleet.vms))
    record = world.fleet.vms[vm]
    goal: fleet.Maintain | fleet.Move
    if rng.random() < 0.5:
        other = "two" if record.pool == "one" else "one"
        goal = fleet.Move(ids.PoolId(other))
    else:
        wave = ids.WaveId(f"wave-{world.clock.now_ms}")
        world.command(fleet.StartWave(wave, record.pool, "fuzz"))
        waves_with_vm = [
            name
            for name, each in world.fleet.waves.items()
            if vm in each.pending
        ]
        if not waves_with_vm:
            return
        goal = fleet.Maintain(waves_with_vm[0])
    if world.command(fleet.BeginLeave(vm, goal)):
        world.oracle.record_leave(vm, world.clock.now_ms)


def _cancel_leave(world: world_module.World, rng: random.Random) -> None:
    if not world.store_up:
        return
    vm = rng.choice(list(world.fleet.vms))
    record = world.fleet.vms[vm]
    if world.command(fleet.CancelLeave(vm)):
        world.oracle.record_serving(vm, record.pool)


def _return_vms(world: world_module.World, rng: random.Random) -> None:
    if not world.store_up:
        return
    for vm, record in list(world.fleet.vms.items()):
        if record.state is fleet.VmState.STOPPED and world.command(
            fleet.Return(vm, record.boot + 1)
        ):
            world.oracle.record_serving(vm, record.pool)


def _request_drain_state(world: world_module.World, rng: random.Random) -> None:
    world.request_drain_state()


_Action = Callable[[world_module.World, random.Random], None]
_WEIGHTED_ACTIONS: tuple[tuple[_Action, float], ...] = (
    (_send_request, 40),
    (_kill_gateway, 1),
    (_restart_gateway, 3),
    (_pause_gateways, 2),
    (_resume_gateways, 4),
    (_break_stream, 2),
    (_disconnect_from_store, 1),
    (_reconnect_to_store, 2),
    (_toggle_store, 1),
    (_begin_leave, 5),
    (_cancel_leave, 1),
    (_return_vms, 5),
    (_request_drain_state, 14),
)
_ACTIONS = [action for action, _ in _WEIGHTED_ACTIONS]
_WEIGHTS = [weight for _, weight in _WEIGHTED_ACTIONS]
