"""Stand-ins for the platform's workers and its machine service.

Each worker ends its runs when their lease expires, refuses lower fencing
tokens and lists ended runs until they are acknowledged. The payload of a task
controls what the task does: ``work_ms=300`` sets its duration and ``fail=1``
makes the first run of each task fail.

Faults are set over HTTP at the machine service. ``POST
/fault?worker=W&mode=silent|dead|up`` sets the mode of a worker. ``POST
/fault?worker=all&late_ms=500`` makes workers execute start, stop and speed
commands late and leave them unanswered. ``POST /partition?machines=A,B`` cuts
the workers of exactly these machines off from the store. ``GET /records``
returns every run of every task.

``POST /standin/restart?worker=W&after_ms=7000`` crashes a worker, which is back
under its id after that time and executes the commands that are late. ``GET
/standin/late?within_ms=4000`` waits until workers have such commands, at most
for that time, and returns their ids. A control that cannot be met gets an error
that says why.

``review/`` extends these classes and adds paths of its own. What it uses is
listed in ``support/review/interface.py``; new paths begin with ``/standin/``,
which no service of ``review/`` uses.
"""

import argparse
import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import enum
import time
from typing import Any
import urllib.parse

from aiohttp import web
import msgspec

from support.standins import serving
from wagtailtiller import ids
from wagtailtiller.platform import store as platform_store

_LOOPBACK = "127.0.0.1"
_HEARTBEAT_S = 0.5
# A registration is removed after three missed heartbeats.
_REGISTRATION_TTL_S = 3 * _HEARTBEAT_S
_MAX_LISTED_ENDS = 500
_MAX_LEASE_MS = 6_000
_EXPIRY_SCAN_S = 0.05
_LATE_POLL_S = 0.02
_CAPACITY = {"cpu": 32_000, "mem_mb": 131_072, "gpu": 0}
_STANDBY = "spare"


_CommandHandler = Callable[[dict], web.Response]


class Mode(enum.Enum):
    """Fault of a worker.

    Attributes:
        UP: No fault.
        UNRESPONSIVE: Runs continue, but commands are not answered.
        DEAD: All runs are lost, and commands are not answered.
    """

    UP = "up"
    UNRESPONSIVE = "silent"
    DEAD = "dead"


@dataclasses.dataclass
class Record:
    """Run as the worker recorded it.

    Attributes:
        task: Id of the task.
        run: Number of the run.
        worker: Id of the worker.
        started_ms: Start time in Unix milliseconds.
        ended_ms: End time in Unix milliseconds; 0 while it runs.
        how: How the run ended; empty while it runs.
        acknowledged_ms: Time at which its end was acknowledged, in Unix
            milliseconds; 0 if it was not, or if the worker's lease expired
            between its end and that time.
    """

    task: str
    run: int
    worker: str
    started_ms: int
    ended_ms: int = 0
    how: str = ""
    acknowledged_ms: int = 0


@dataclasses.dataclass
class _Run:
    record: Record
    number: int
    timer: asyncio.Task
    work_ms: int

    def percent(self) -> int:
        """Return the progress; a run that has not ended is not at 100."""
        elapsed_ms = _wall_ms() - self.record.started_ms
        return min(99, 100 * elapsed_ms // max(1, self.work_ms))


class Worker:
    """Worker that serves one VM instance of a machine.

    Args:
        machine: Name of the machine.
        pool: Pool that the machine belongs to.
        port: Port that accepts commands.
        instance: Number of the VM instance on this machine, starting at 1.
        records: List to which runs are added.

    Attributes:
        id: Id of the VM instance.
        machine: Name of the machine.
        pool: Pool that the machine belongs to.
        port: Port that accepts commands.
        mode: Current fault.
        late_ms: Delay after which start, stop and speed commands are executed
            and left unanswered; 0 to execute and answer them immediately.
        late_commands: Number of commands that are to be executed late.
        born_ms: Start time in Unix milliseconds.
        registered_s: Time of the last registration, of the monotonic clock in
            seconds.
    """

    def __init__(
        self,
        machine: str,
        pool: str,
        port: int,
        instance: int,
        records: list[Record],
    ) -> None:
        self.id = f"i-{machine}-{instance}"
        self.machine = machine
        self.pool = pool
        self.port = port
        self.mode = Mode.UP
        self.late_ms = 0
        self.late_commands = 0
        self.registered_s = 0.0
        self._records = records
        self._runs: dict[str, _Run] = {}
        self._run_ended = asyncio.Event()
        self.begin_life()

    def begin_life(self) -> None:
        """Start with no knowledge of a former life under the id."""
        self.discard_runs()
        self.born_ms = _wall_ms()
        self._started_s = time.monotonic()
        self._token = 0
        self._lease_ms = 0
        self._highest_number: dict[str, int] = {}
        self._ended: list[list[Any]] = []
        # Records of the listed ends by position, unless the lease has expired
        # since.
        self._unacknowledged: dict[int, Record] = {}
        self._last_position = 0

    def registration(self) -> dict[str, object]:
        """Return the registration of the worker in the store."""
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
        """Return the worker's steady clock, which starts with the worker."""
        return int((time.monotonic() - self._started_s) * 1_000) + 1

    def application(self) -> web.Application:
        """Return the application that accepts commands."""
        app = web.Application()
        app.router.add_post("/v1/run-start", self._serve_start)
        app.router.add_post("/v1/run-stop", self._serve_stop)
        app.router.add_post("/v1/hold", self._serve_hold)
        app.router.add_post("/v1/pace", self._serve_set_speed)
        return app

    def expire(self) -> None:
        """End all runs if the lease has expired."""
        if self.clock_ms() < self._lease_ms:
            return
        self._unacknowledged.clear()
        for task in list(self._runs):
            self._end(task, "lapsed")

    def discard_runs(self) -> None:
        """Discard all runs without listing their ends."""
        for run in self._runs.values():
            run.timer.cancel()
            run.record.how = "lost"
            run.record.ended_ms = _wall_ms()
        self._runs.clear()

    async def _serve_start(self, request: web.Request) -> web.Response:
        return await self._handle_command(request, self._start)

    async def _serve_stop(self, request: web.Request) -> web.Response:
        return await self._handle_command(request, self._stop)

    async def _serve_set_speed(self, request: web.Request) -> web.Response:
        return await self._handle_command(
            request, lambda body: self._respond(200)
        )

    async def _serve_hold(self, request: web.Request) -> web.Response:
        body = await self._read_command(request)
        if not self._accept_token(body):
            return self._respond(409, reason="fence")
        self._acknowledge_ends(body["ack_cursor"])
        self._extend_lease(body.get("deadline_ms"))
        if body.get("wait_ms") and not self._ended:
            self._run_ended.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._run_ended.wait(), body["wait_ms"] / 1_000
                )
        running = [
            [task, run.number, "", run.percent(), 0]
            for task, run in self._runs.items()
        ]
        return self._respond(
            200, running=running, ended=self._ended[:_MAX_LISTED_ENDS]
        )

    def _acknowledge_ends(self, up_to: int) -> None:
        self._ended = [e for e in self._ended if e[0] > up_to]
        for position in [p for p in self._unacknowledged if p <= up_to]:
            record = self._unacknowledged.pop(position)
            record.acknowledged_ms = _wall_ms()

    async def _handle_command(
        self, request: web.Request, handle: _CommandHandler
    ) -> web.Response:
        body = await self._read_command(request)
        if not self.late_ms:
            return handle(body)
        self.late_commands += 1
        await asyncio.sleep(self.late_ms / 1_000)
        self.late_commands -= 1
        handle(body)
        raise web.HTTPGatewayTimeout()

    async def _read_command(self, request: web.Request) -> dict:
        if self.mode is not Mode.UP:
            await asyncio.sleep(3_600)
        body = msgspec.json.decode(await request.read())
        if request.headers.get("Expected-Instance") != self.id:
            raise web.HTTPMisdirectedRequest()
        return body

    def _start(self, body: dict) -> web.Response:
        task, number = body["task"], body["run"]
        if not self._accept_token(body):
            return self._respond(409, reason="fence")
        running = self._runs.get(task)
        if running is not None and running.number == number:
            return self._respond(200)
        self._extend_lease(body["deadline_ms"])
        if body["deadline_ms"] <= self.clock_ms():
            return self._respond(409, reason="late")
        if running is not None or number <= self._highest_number.get(task, 0):
            return self._respond(409, reason="old")
        self._highest_number[task] = number
        record = Record(task, number, self.id, _wall_ms())
        self._records.append(record)
        parameters = dict(urllib.parse.parse_qsl(body["spec"]))
        work_ms = int(parameters.get("work_ms", "50"))
        failed = number <= int(parameters.get("fail", "0"))
        timer = asyncio.create_task(self._run_task(task, work_ms, failed))
        self._runs[task] = _Run(record, number, timer, work_ms)
        return self._respond(200)

    async def _run_task(self, task: str, work_ms: int, failed: bool) -> None:
        await asyncio.sleep(work_ms / 1_000)
        self._end(task, "failed" if failed else "done")

    def _stop(self, body: dict) -> web.Response:
        task, number = body["task"], body["run"]
        if not self._accept_token(body):
            return self._respond(409, reason="fence")
        self._highest_number[task] = max(
            self._highest_number.get(task, 0), number
        )
        run = self._runs.get(task)
        if run is not None and run.number == number:
            run.timer.cancel()
            self._end(task, "stopped")
        return self._respond(200)

    def _end(self, task: str, how: str) -> None:
        run = self._runs.pop(task, None)
        if run is None:
            return
        if how != "done":
            run.timer.cancel()
        run.record.how = how
        run.record.ended_ms = _wall_ms()
        self._last_position += 1
        self._ended.append([self._last_position, task, run.number, how, ""])
        self._unacknowledged[self._last_position] = run.record
        self._run_ended.set()

    def _extend_lease(self, until_ms: int | None) -> None:
        limit_ms = self.clock_ms() + _MAX_LEASE_MS
        requested_ms = min(until_ms or 0, limit_ms)
        self._lease_ms = max(self._lease_ms, requested_ms)

    def _accept_token(self, body: dict) -> bool:
        token = body.get("fence_token", 0)
        if token < self._token:
            return False
        self._token = token
        return True

    def _respond(self, status: int, **fields: object) -> web.Response:
        body = {"clock_ms": self.clock_ms(), "born": self.born_ms, **fields}
        return _json(body, status)


@dataclasses.dataclass
class _Machine:
    name: str
    pool: str
    port: int
    state: str = "up"
    instance_count: int = 0
    worker: Worker | None = None
    runner: web.AppRunner | None = None
    maintained: set[int] = dataclasses.field(default_factory=set)


class Machines:
    """Machine service with all workers.

    Args:
        store_url: URL of the store in which workers register.
        machines: Name, pool and port of each machine.
        downtime_ms: Duration of a move or maintenance in milliseconds.
    """

    def __init__(
        self,
        store_url: str,
        machines: list[tuple[str, str, int]],
        downtime_ms: int,
    ) -> None:
        self._store = platform_store.PlatformStore(store_url, "workers")
        self._machines = {
            name: _Machine(name, pool, port) for name, pool, port in machines
        }
        self._downtime_ms = downtime_ms
        self._cut_off: set[str] = set()
        self._records: list[Record] = []
        self._tasks: set[asyncio.Task] = set()

    def application(self) -> web.Application:
        """Return the application that serves the machine service."""
        app = web.Application()
        app.router.add_get("/v1/machines", self._list_machines)
        app.router.add_post("/v1/machine-move", self._handle_move)
        app.router.add_post("/v1/machine-upkeep", self._handle_maintenance)
        app.router.add_post("/fault", self._set_fault)
        app.router.add_post("/partition", self._set_partition)
        app.router.add_get("/records", self._list_records)
        app.router.add_post("/standin/restart", self._restart_under_id)
        app.router.add_get("/standin/late", self._list_late)
        app.cleanup_ctx.append(self._run_background)
        return app

    async def _run_background(self, app: web.Application) -> serving.Context:
        for machine in self._machines.values():
            await self._start_worker(machine)
        heartbeat_task = asyncio.create_task(self._send_heartbeats())
        expiry_task = asyncio.create_task(self._expire_leases())
        yield
        heartbeat_task.cancel()
        expiry_task.cancel()
        await self._store.close()

    async def _start_worker(self, machine: _Machine) -> None:
        machine.state = "up"
        if machine.pool == _STANDBY:
            return
        machine.instance_count += 1
        machine.worker = Worker(
            machine.name,
            machine.pool,
            machine.port,
            machine.instance_count,
            self._records,
        )
        application = machine.worker.application()
        machine.runner = await serving.start_application(
            application, machine.port
        )
        await self._register(machine.worker)

    async def _stop_worker(self, machine: _Machine) -> None:
        worker, runner = machine.worker, machine.runner
        machine.worker = machine.runner = None
        if worker is not None:
            worker.discard_runs()
            await self._unregister(worker)
        if runner is not None:
            await runner.cleanup()

    async def _register(self, worker: Worker) -> None:
        key = f"servers/{worker.id}"
        item = await self._store.read_key(key)
        existing = item.ok if item.is_ok() else None
        revision = (
            existing.revision if existing is not None else ids.Revision(0)
        )
        value = msgspec.json.encode(worker.registration())
        await self._store.write(key, value, revision)
        worker.registered_s = time.monotonic()

    async def _unregister(self, worker: Worker) -> None:
        item = await self._store.read_key(f"servers/{worker.id}")
        if item.is_ok() and item.ok is not None:
            await self._store.delete(item.ok.key, item.ok.revision)

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(_HEARTBEAT_S)
            for machine in list(self._machines.values()):
                worker = machine.worker
                if worker is None or worker.mode is not Mode.UP:
                    continue
                if machine.name not in self._cut_off:
                    await self._register(worker)
                elif _is_registration_over(worker):
                    await self._unregister(worker)

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(_EXPIRY_SCAN_S)
            for machine in self._machines.values():
                if machine.worker is not None:
                    machine.worker.expire()

    async def _list_machines(self, request: web.Request) -> web.Response:
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

    async def _handle_move(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read())
        machine = self._machines[body["machine"]]
        if machine.pool == body["pool"]:
            return _json({})
        return self._take_out_of_service(machine, "moving", body["pool"])

    async def _handle_maintenance(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read())
        machine = self._machines[body["machine"]]
        if body["wave"] in machine.maintained:
            return _json({})
        response = self._take_out_of_service(machine, "upkeep", machine.pool)
        if response.status == 200:
            machine.maintained.add(body["wave"])
        return response

    def _take_out_of_service(
        self, machine: _Machine, state: str, pool: str
    ) -> web.Response:
        if machine.state != "up":
            return _json({"reason": "busy"}, 409)
        machine.state = state
        task = asyncio.create_task(self._restart_in_pool(machine, pool))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return _json({})

    async def _restart_in_pool(self, machine: _Machine, pool: str) -> None:
        await self._stop_worker(machine)
        machine.pool = pool
        await asyncio.sleep(self._downtime_ms / 1_000)
        await self._start_worker(machine)

    async def _set_fault(self, request: web.Request) -> web.Response:
        worker_id = request.query["worker"]
        if worker_id == "all":
            workers = self._running_workers()
        else:
            workers = [self._find_worker(worker_id)]
        for worker in workers:
            worker.late_ms = int(request.query.get("late_ms", "0"))
            worker.mode = Mode(request.query.get("mode", "up"))
            if worker.mode is Mode.DEAD:
                worker.discard_runs()
        return _json({})

    async def _restart_under_id(self, request: web.Request) -> web.Response:
        worker = self._find_worker(request.query["worker"])
        after_s = int(request.query["after_ms"]) / 1_000
        worker.mode = Mode.DEAD
        worker.discard_runs()
        task = asyncio.create_task(self._return_under_id(worker, after_s))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return _json({})

    async def _return_under_id(self, worker: Worker, after_s: float) -> None:
        silent_s = min(after_s, _REGISTRATION_TTL_S)
        await asyncio.sleep(silent_s)
        await self._unregister(worker)
        await asyncio.sleep(after_s - silent_s)
        worker.begin_life()
        worker.mode = Mode.UP
        await self._register(worker)

    def _running_workers(self) -> list[Worker]:
        workers = [machine.worker for machine in self._machines.values()]
        return [worker for worker in workers if worker is not None]

    def _find_worker(self, worker_id: str) -> Worker:
        for worker in self._running_workers():
            if worker.id == worker_id:
                return worker
        raise web.HTTPNotFound(text=f"no worker has the id {worker_id!r}")

    async def _list_late(self, request: web.Request) -> web.Response:
        within_ms = int(request.query.get("within_ms", "0"))
        deadline_s = time.monotonic() + within_ms / 1_000
        while not self._late_worker_ids() and time.monotonic() < deadline_s:
            await asyncio.sleep(_LATE_POLL_S)
        late = self._late_worker_ids()
        if within_ms and not late:
            raise web.HTTPGatewayTimeout(
                text=f"no command was late within {within_ms} ms"
            )
        return _json(late)

    def _late_worker_ids(self) -> list[str]:
        return [w.id for w in self._running_workers() if w.late_commands]

    async def _set_partition(self, request: web.Request) -> web.Response:
        self._cut_off = set(request.query["machines"].split(","))
        return _json({})

    async def _list_records(self, request: web.Request) -> web.Response:
        return _json([dataclasses.asdict(r) for r in self._records])


def _is_registration_over(worker: Worker) -> bool:
    return time.monotonic() - worker.registered_s > _REGISTRATION_TTL_S


def _wall_ms() -> int:
    return time.time_ns() // 1_000_000


def _json(value: object, status: int = 200) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value),
        status=status,
        content_type="application/json",
    )


def main() -> int:
    """Serve the stand-ins until SIGTERM; returns the exit code."""
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
