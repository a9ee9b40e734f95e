"""Draws schedules and runs them; ``run_one`` is the unit that tests use."""

from collections.abc import Callable
import random

from support.fuzz import world as worlds
from wagtailtiller import fleet
from wagtailtiller import ids

STEPS = 120
_DELTAS_MS = (1, 5, 20, 20, 50, 50, 100, 400)
_MOST_KEYS = 6


def run_one(seed: int, steps: int = STEPS) -> worlds.World:
    """Run one schedule and return the world it ended in."""
    world = worlds.World(seed)
    source = world.random
    for _ in range(12):
        world.step(50)
    for _ in range(steps):
        action = source.choices(_ACTIONS, _WEIGHTS)[0]
        action(world, source)
        world.step(source.choice(_DELTAS_MS))
        if world.oracle.broken:
            break
    return world


def _request(world: worlds.World, source: random.Random) -> None:
    awake = [g for g in world.gateways.values() if not g.paused]
    if not awake:
        return
    gateway = source.choice(awake)
    queue = source.choice(list(world.catalogue.queues.values()))
    now_ms = world.clock.now_ms
    earlier = [r for r in world.requests if r.key and r.queue == queue]
    if earlier and source.random() < 0.4:
        first = source.choice(earlier[-_MOST_KEYS:])
        key, first_used_ms = first.key, first.first_used_ms
    else:
        key = source.choice((0, len(world.requests) + 1))
        first_used_ms = now_ms
    request = worlds.Request(
        number=len(world.requests),
        queue=queue,
        key=key,
        first_used_ms=first_used_ms,
        sent_ms=now_ms,
    )
    world.requests.append(request)
    world.begin_request(gateway, request, source.choice((300, 1_500, 4_000)))


def _kill(world: worlds.World, source: random.Random) -> None:
    if len(world.gateways) > 1:
        world.kill_gateway(source.choice(list(world.gateways)))


def _restart(world: worlds.World, source: random.Random) -> None:
    missing = {"gw-0", "gw-1", "gw-2"} - set(world.gateways)
    if missing:
        world.start_gateway(sorted(missing)[0])


def _pause(world: worlds.World, source: random.Random) -> None:
    for gateway in world.gateways.values():
        if source.random() < 0.4:
            gateway.paused = True


def _resume(world: worlds.World, source: random.Random) -> None:
    for gateway in world.gateways.values():
        gateway.paused = False


def _cut(world: worlds.World, source: random.Random) -> None:
    world.break_stream()


def _cut_off_store(world: worlds.World, source: random.Random) -> None:
    reaching = [g for g in world.gateways.values() if g.reaches_store]
    if len(reaching) > 1:
        source.choice(reaching).reaches_store = False


def _reach_store(world: worlds.World, source: random.Random) -> None:
    for gateway in world.gateways.values():
        gateway.reaches_store = True


def _outage(world: worlds.World, source: random.Random) -> None:
    world.set_store(not world.store_up)


def _leave(world: worlds.World, source: random.Random) -> None:
    if not world.store_up:
        return
    vm = source.choice(list(world.fleet.vms))
    record = world.fleet.vms[vm]
    goal: fleet.Maintain | fleet.Move
    if source.random() < 0.5:
        other = "two" if record.pool == "one" else "one"
        goal = fleet.Move(ids.PoolId(other))
    else:
        wave = ids.WaveId(f"wave-{world.clock.now_ms}")
        world.command(fleet.StartWave(wave, record.pool, "fuzz"))
        running = [
            name
            for name, each in world.fleet.waves.items()
            if vm in each.pending
        ]
        if not running:
            return
        goal = fleet.Maintain(running[0])
    if world.command(fleet.BeginLeave(vm, goal)):
        world.oracle.leave(vm, world.clock.now_ms)


def _stay(world: worlds.World, source: random.Random) -> None:
    if not world.store_up:
        return
    vm = source.choice(list(world.fleet.vms))
    record = world.fleet.vms[vm]
    if world.command(fleet.CancelLeave(vm)):
        world.oracle.serve(vm, record.pool)


def _return(world: worlds.World, source: random.Random) -> None:
    if not world.store_up:
        return
    for vm, record in list(world.fleet.vms.items()):
        if record.state is fleet.VmState.STOPPED and world.command(
            fleet.Return(vm, record.boot + 1)
        ):
            world.oracle.serve(vm, record.pool)


def _ask_drain(world: worlds.World, source: random.Random) -> None:
    world.ask_drain()


_Action = Callable[[worlds.World, random.Random], None]
_DRAWN: tuple[tuple[_Action, float], ...] = (
    (_request, 40),
    (_kill, 1),
    (_restart, 3),
    (_pause, 2),
    (_resume, 4),
    (_cut, 2),
    (_cut_off_store, 1),
    (_reach_store, 2),
    (_outage, 1),
    (_leave, 5),
    (_stay, 1),
    (_return, 5),
    (_ask_drain, 14),
)
_ACTIONS = [action for action, _ in _DRAWN]
_WEIGHTS = [weight for _, weight in _DRAWN]
