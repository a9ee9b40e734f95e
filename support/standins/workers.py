"""Stand-ins for the platform's workers and its machine service.

Each worker keeps runs under a lease, refuses lower fencing tokens and lists
its ends until they are acknowledged. The payload of a task says what it does:
``work_ms=300`` and ``fail=1`` (the first run of each task fails).

Faults are switched over HTTP at the machine service: ``POST
/fault?worker=W&mode=silent|dead|up`` and ``POST /fault?worker=all&late_ms=500``
for orders that are carried out late and not answered. ``GET /records`` returns
every run of every task.
"""

import argparse
import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import enum
import time
import urllib.parse

from aiohttp import web
import msgspec

from support.standins import serving
from wagtailtiller import ids
from wagtailtiller.platform import store as platform_store

_LOOPBACK = "127.0.0.1"
_HEARTBEAT_S = 0.5
_LISTED_ENDS = 500
_LONGEST_LEASE_MS = 6_000
_SCAN_S = 0.05
_CAPACITY = {"cpu": 32_000, "mem_mb": 131_072, "gpu": 0}
_STANDBY = "spare"


_Act = Callable[[dict], web.Response]


class Mode(enum.Enum):
    """How a worker misbehaves."""

    UP = "up"
    SILENT = "silent"
    DEAD = "dead"


@dataclasses.dataclass
class Record:
    """One run, as the worker saw it."""

    task: str
    run: int
    worker: str
    started_ms: int
    ended_ms: int = 0
    how: str = ""


@dataclasses.dataclass
class _Run:
    record: Record
    number: int
    timer: asyncio.Task


class Worker:
    """One life of a machine.

    Args:
        machine: The machine's name.
        pool: The pool that it stands in.
        port: Where it listens.
        life: Which life of the machine.
        records: Where runs are recorded.
    """

    def __init__(
        self,
        machine: str,
        pool: str,
        port: int,
        life: int,
        records: list[Record],
    ) -> None:
        self.id = f"i-{machine}-{life}"
        self.machine = machine
        self.pool = pool
        self.port = port
        self.mode = Mode.UP
        self.late_ms = 0
        self.born_ms = _wall_ms()
        self._started_s = time.monotonic()
        self._records = records
        self._token = 0
        self._lease_ms = 0
        self._runs: dict[str, _Run] = {}
        self._highest: dict[str, int] = {}
        self._ended: list[list[object]] = []
        self._positions = 0
        self._news = asyncio.Event()

    def entry(self) -> dict[str, object]:
        """Return what it registers about itself."""
        return {
            "service": self.pool,
            "address": f"{_LOOPBACK}:{self.port}",
            "zone": "dc-1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": _CAPACITY,
            "labels": ["a", "r1-1"],
            "machine": self.machine,
            "born": self.born_ms,
            "clock_ms": self.clock_ms(),
            "seq": self.clock_ms(),
        }

    def clock_ms(self) -> int:
        """Read its own steady clock, which starts with it."""
        return int((time.monotonic() - self._started_s) * 1_000) + 1

    def application(self) -> web.Application:
        """Build the aiohttp application."""
        app = web.Application()
        app.router.add_post("/v1/run-start", self._serve_start)
        app.router.add_post("/v1/run-stop", self._serve_stop)
        app.router.add_post("/v1/hold", self._serve_hold)
        app.router.add_post("/v1/pace", self._serve_set_speed)
        return app

    def expire(self) -> None:
        """End all runs when the lease is over."""
        if self._runs and self.clock_ms() >= self._lease_ms:
            for task in list(self._runs):
                self._end(task, "lapsed")

    def die(self) -> None:
        """End all runs without a word."""
        for run in self._runs.values():
            run.timer.cancel()
            run.record.how = "lost"
            run.record.ended_ms = _wall_ms()
        self._runs.clear()

    async def _serve_start(self, request: web.Request) -> web.Response:
        return await self._order(request, self._start)

    async def _serve_stop(self, request: web.Request) -> web.Response:
        return await self._order(request, self._stop)

    async def _serve_set_speed(self, request: web.Request) -> web.Response:
        return await self._order(request, lambda body: self._answer(200))

    async def _serve_hold(self, request: web.Request) -> web.Response:
        body = await self._read(request)
        if not self._take_token(body):
            return self._answer(409, reason="fence")
        acknowledged = body["ack_cursor"]
        self._ended = [e for e in self._ended if e[0] > acknowledged]
        self._extend(body.get("deadline_ms"))
        if body.get("wait_ms") and not self._ended:
            self._news.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._news.wait(), body["wait_ms"] / 1_000
                )
        running = [
            [task, run.number, "", 100, 0] for task, run in self._runs.items()
        ]
        return self._answer(
            200, running=running, ended=self._ended[:_LISTED_ENDS]
        )

    async def _order(self, request: web.Request, act: _Act) -> web.Response:
        body = await self._read(request)
        if not self.late_ms:
            return act(body)
        await asyncio.sleep(self.late_ms / 1_000)
        act(body)
        raise web.HTTPGatewayTimeout()

    async def _read(self, request: web.Request) -> dict:
        if self.mode is not Mode.UP:
            await asyncio.sleep(3_600)
        body = msgspec.json.decode(await request.read())
        if request.headers.get("Expected-Instance") != self.id:
            raise web.HTTPMisdirectedRequest()
        return body

    def _start(self, body: dict) -> web.Response:
        task, number = body["task"], body["run"]
        if not self._take_token(body):
            return self._answer(409, reason="fence")
        running = self._runs.get(task)
        if running is not None and running.number == number:
            return self._answer(200)
        self._extend(body["deadline_ms"])
        if body["deadline_ms"] <= self.clock_ms():
            return self._answer(409, reason="late")
        if running is not None or number <= self._highest.get(task, 0):
            return self._answer(409, reason="old")
        self._highest[task] = number
        record = Record(task, number, self.id, _wall_ms())
        self._records.append(record)
        timer = asyncio.create_task(self._work(task, number, body["spec"]))
        self._runs[task] = _Run(record, number, timer)
        return self._answer(200)

    async def _work(self, task: str, number: int, payload: str) -> None:
        wanted = dict(urllib.parse.parse_qsl(payload))
        await asyncio.sleep(int(wanted.get("work_ms", "50")) / 1_000)
        fails = number <= int(wanted.get("fail", "0"))
        self._end(task, "failed" if fails else "done")

    def _stop(self, body: dict) -> web.Response:
        task, number = body["task"], body["run"]
        if not self._take_token(body):
            return self._answer(409, reason="fence")
        self._highest[task] = max(self._highest.get(task, 0), number)
        run = self._runs.get(task)
        if run is not None and run.number == number:
            run.timer.cancel()
            self._end(task, "stopped")
        return self._answer(200)

    def _end(self, task: str, how: str) -> None:
        run = self._runs.pop(task, None)
        if run is None:
            return
        if how != "done":
            run.timer.cancel()
        run.record.how = how
        run.record.ended_ms = _wall_ms()
        self._positions += 1
        self._ended.append([self._positions, task, run.number, how, ""])
        self._news.set()

    def _extend(self, until_ms: int | None) -> None:
        longest_ms = self.clock_ms() + _LONGEST_LEASE_MS
        wanted_ms = min(until_ms or 0, longest_ms)
        self._lease_ms = max(self._lease_ms, wanted_ms)

    def _take_token(self, body: dict) -> bool:
        token = body.get("fence_token", 0)
        if token < self._token:
            return False
        self._token = token
        return True

    def _answer(self, status: int, **fields: object) -> web.Response:
        body = {"clock_ms": self.clock_ms(), "born": self.born_ms, **fields}
        return _json(body, status)


@dataclasses.dataclass
class _Machine:
    name: str
    pool: str
    port: int
    state: str = "up"
    lives: int = 0
    worker: Worker | None = None
    runner: web.AppRunner | None = None
    maintained: set[int] = dataclasses.field(default_factory=set)


class Machines:
    """The machine service and all workers.

    Args:
        store_url: Where workers register.
        machines: Name, pool and port of each machine.
        away_ms: How long a move or an upkeep takes.
    """

    def __init__(
        self,
        store_url: str,
        machines: list[tuple[str, str, int]],
        away_ms: int,
    ) -> None:
        self._store = platform_store.PlatformStore(store_url, "workers")
        self._machines = {
            name: _Machine(name, pool, port) for name, pool, port in machines
        }
        self._away_ms = away_ms
        self._records: list[Record] = []
        self._tasks: set[asyncio.Task] = set()
        self._orders: list[dict[str, object]] = []

    def application(self) -> web.Application:
        """Build the aiohttp application."""
        app = web.Application()
        app.router.add_get("/v1/machines", self._list)
        app.router.add_post("/v1/machine-move", self._move)
        app.router.add_post("/v1/machine-upkeep", self._upkeep)
        app.router.add_post("/fault", self._fault)
        app.router.add_get("/records", self._list_records)
        app.cleanup_ctx.append(self._life)
        return app

    async def _life(self, app: web.Application) -> serving.Context:
        for machine in self._machines.values():
            await self._raise(machine)
        beating = asyncio.create_task(self._beat())
        scanning = asyncio.create_task(self._scan())
        yield
        beating.cancel()
        scanning.cancel()
        await self._store.close()

    async def _raise(self, machine: _Machine) -> None:
        machine.state = "up"
        if machine.pool == _STANDBY:
            return
        machine.lives += 1
        machine.worker = Worker(
            machine.name,
            machine.pool,
            machine.port,
            machine.lives,
            self._records,
        )
        application = machine.worker.application()
        machine.runner = await serving.start(application, machine.port)
        await self._register(machine.worker)

    async def _lower(self, machine: _Machine) -> None:
        worker, runner = machine.worker, machine.runner
        machine.worker = machine.runner = None
        if worker is not None:
            worker.die()
            await self._unregister(worker)
        if runner is not None:
            await runner.cleanup()

    async def _register(self, worker: Worker) -> None:
        key = f"servers/{worker.id}"
        found = await self._store.read_key(key)
        known = found.ok if found.is_ok() else None
        revision = known.revision if known is not None else ids.Revision(0)
        value = msgspec.json.encode(worker.entry())
        await self._store.write(key, value, revision)

    async def _unregister(self, worker: Worker) -> None:
        found = await self._store.read_key(f"servers/{worker.id}")
        if found.is_ok() and found.ok is not None:
            await self._store.delete(found.ok.key, found.ok.revision)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(_HEARTBEAT_S)
            for machine in list(self._machines.values()):
                worker = machine.worker
                if worker is not None and worker.mode is Mode.UP:
                    await self._register(worker)

    async def _scan(self) -> None:
        while True:
            await asyncio.sleep(_SCAN_S)
            for machine in self._machines.values():
                if machine.worker is not None:
                    machine.worker.expire()

    async def _list(self, request: web.Request) -> web.Response:
        listed = [
            {
                "machine": machine.name,
                "pool": machine.pool,
                "state": machine.state,
                "zone": "dc-1",
                "labels": ["a", "r1-1"],
                "capacity": _CAPACITY,
                "id": machine.worker.id if machine.worker else "",
            }
            for machine in self._machines.values()
        ]
        return _json({"machines": listed, "next_token": None})

    async def _move(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read())
        machine = self._machines[body["machine"]]
        if machine.pool == body["pool"]:
            return _json({})
        return self._send_away(machine, "moving", body["pool"])

    async def _upkeep(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read())
        machine = self._machines[body["machine"]]
        if body["wave"] in machine.maintained:
            return _json({})
        answer = self._send_away(machine, "upkeep", machine.pool)
        if answer.status == 200:
            machine.maintained.add(body["wave"])
        return answer

    def _send_away(
        self, machine: _Machine, state: str, pool: str
    ) -> web.Response:
        if machine.state != "up":
            return _json({"reason": "busy"}, 409)
        machine.state = state
        task = asyncio.create_task(self._away(machine, pool))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return _json({})

    async def _away(self, machine: _Machine, pool: str) -> None:
        await self._lower(machine)
        machine.pool = pool
        await asyncio.sleep(self._away_ms / 1_000)
        await self._raise(machine)

    async def _fault(self, request: web.Request) -> web.Response:
        wanted = request.query["worker"]
        for machine in self._machines.values():
            worker = machine.worker
            if worker is None or wanted not in ("all", worker.id):
                continue
            worker.late_ms = int(request.query.get("late_ms", "0"))
            worker.mode = Mode(request.query.get("mode", "up"))
            if worker.mode is Mode.DEAD:
                worker.die()
        return _json({})

    async def _list_records(self, request: web.Request) -> web.Response:
        return _json([dataclasses.asdict(r) for r in self._records])


def _wall_ms() -> int:
    return time.time_ns() // 1_000_000


def _json(value: object, status: int = 200) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value),
        status=status,
        content_type="application/json",
    )


def main() -> int:
    """Serve until told to stop."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--store", required=True)
    parser.add_argument(
        "--machines", required=True, help="name:pool:port,name:pool:port,..."
    )
    parser.add_argument("--away-ms", type=int, default=500)
    options = parser.parse_args()
    machines = []
    for entry in options.machines.split(","):
        name, pool, port = entry.split(":")
        machines.append((name, pool, int(port)))
    service = Machines(options.store, machines, options.away_ms)
    return serving.serve([(service.application(), options.port)])


if __name__ == "__main__":
    raise SystemExit(main())
