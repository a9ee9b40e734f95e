"""Stand-ins for the platform: the store, workers and the machine service.

They run in the event loop of the script that uses them, on loopback ports of
their own, and follow the users' pages. Each call and each run is written to a
record, from which the scripts judge.
"""

import asyncio
import base64
import itertools
import json
import random
import time

from aiohttp import web

LOOPBACK = "127.0.0.1"
_SCAN_S = 0.02
_MAX_ENDS = 500
_HEARTBEAT_S = 1.5
_SILENT_S = 3 * _HEARTBEAT_S


def wall_ms():
    return time.time_ns() // 1_000_000


def steady_ms():
    return time.monotonic_ns() // 1_000_000


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start_s = time.monotonic()

    def add(self, what, **fields):
        at_s = time.monotonic() - self._start_s
        values = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at_s:9.3f} {what} {values}\n")
        self._file.flush()


async def _listen(app, host, *ports):
    runner = web.AppRunner(
        app,
        access_log=None,
        handler_cancellation=False,
        shutdown_timeout=0.2,
    )
    await runner.setup()
    for port in ports:
        await web.TCPSite(runner, host, port, reuse_address=True).start()
    return runner


def _json(value, status=200):
    return web.Response(
        body=json.dumps(value).encode(),
        status=status,
        content_type="application/json",
    )


def _reset(request):
    """End a connection without a response."""
    if request.transport is not None:
        request.transport.abort()
    raise asyncio.CancelledError()


class Links:
    """The links of the entry processes; a cut one holds all bytes up.

    What is held up arrives when the cut ends, unless its sender has closed the
    connection.
    """

    def __init__(self, record):
        self._cuts = set()
        self._record = record
        self._healed = asyncio.Event()

    def cut(self, entry, others):
        for other in others:
            self._cuts.add((entry, other))
        self._record.add("cut", entry=entry, others=",".join(others))

    def heal(self):
        self._cuts.clear()
        self._healed.set()
        self._healed = asyncio.Event()
        self._record.add("healed")

    def is_cut(self, entry, other):
        return (entry, other) in self._cuts

    async def passes(self, entry, other):
        """Wait until a link carries bytes."""
        while self.is_cut(entry, other):
            await self._healed.wait()


def _is_closed(request):
    return request.transport is None or request.transport.is_closing()


class PeerProxy:
    """Forwards connections from one entry process to another."""

    def __init__(self, links, caller, callee, host, port):
        self._links = links
        self._caller, self._callee = caller, callee
        self._target = host, port
        self._server = None
        self._writers = set()

    async def start(self, port):
        self._server = await asyncio.start_server(
            self._serve, LOOPBACK, port
        )

    async def stop(self):
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _passes(self):
        await self._links.passes(self._caller, self._callee)
        await self._links.passes(self._callee, self._caller)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        other = None
        try:
            await self._passes()
            far_reader, other = await asyncio.open_connection(*self._target)
            self._writers.add(other)
            await asyncio.gather(
                self._copy(reader, other), self._copy(far_reader, writer)
            )
        except OSError:
            pass
        finally:
            for end in (writer, other):
                if end is not None:
                    end.transport.abort()
                    self._writers.discard(end)

    async def _copy(self, reader, writer):
        while data := await reader.read(65_536):
            await self._passes()
            writer.write(data)
            await writer.drain()
        await self._passes()
        writer.close()


class Store:
    """The platform's key-value store.

    Attributes:
        delay_ms: How long each answer takes.
        down: Whether connections are reset and no call is carried out.
    """

    def __init__(self, record, links, rewrite):
        self.links = links
        # Returns a value as an entry process sees it.
        self._rewrite = rewrite
        self._entries = {}
        self.delay_ms = 4
        self.down = False
        # Share of the writes that are not answered, and whether those are
        # carried out 1 to 6 s later.
        self.lost_share = 0.0
        self.lost_late = False
        # Entry processes that are turned away.
        self.refused = set()
        self.record = record
        self.revision = 10
        self.items = {}
        self.log = []
        self._leases = {}
        self._lease_ids = itertools.count(1001)
        self._changed = asyncio.Event()
        self._runners = []
        self._open = set()
        self._expiry = None

    async def start(self, ports):
        """Listen on one port for each entry process."""
        for entry, port in ports.items():
            self._entries[port] = entry
            app = web.Application(client_max_size=4_000_000)
            app.router.add_get("/v1/kv-key", self._wrap(self._get))
            app.router.add_get("/v1/kv-range", self._wrap(self._range))
            app.router.add_get("/v1/kv-watch", self._wrap(self._watch))
            app.router.add_post("/v1/kv-txn", self._wrap(self._txn))
            app.router.add_post("/v1/kv-lease", self._wrap(self._grant))
            app.router.add_post("/v1/kv-keep/{id}", self._wrap(self._keep))
            app.router.add_delete(
                "/v1/kv-lease-end/{id}", self._wrap(self._end_lease)
            )
            self._runners.append(await _listen(app, LOOPBACK, port))
        self._expiry = asyncio.ensure_future(self._expire())

    async def stop(self):
        if self._expiry is not None:
            self._expiry.cancel()
        for runner in self._runners:
            await runner.cleanup()

    def go_down(self):
        """Reset all connections; nothing is carried out until ``go_up``."""
        self.down = True
        for transport in list(self._open):
            transport.abort()
        self.record.add("store_down")

    def go_up(self):
        self.down = False
        self.record.add("store_up")

    # Access of the operator, the workers and the script.

    def put(self, key, value, lease=0):
        self._commit([(key, value, lease)], [])

    def remove(self, key):
        if key in self.items:
            self._commit([], [key])

    def get(self, key):
        item = self.items.get(key)
        return None if item is None else item["value"]

    # The protocol.

    def _wrap(self, handler):
        async def serve(request):
            if self.down:
                _reset(request)
            self._open.add(request.transport)
            try:
                body = await request.read()
                entry = self._entry(request)
                if self.links.is_cut(entry, "store"):
                    await self.links.passes(entry, "store")
                    if _is_closed(request):
                        _reset(request)
                if entry in self.refused:
                    return _json({}, 503)
                if (
                    request.method == "POST"
                    and random.random() < self.lost_share
                ):
                    if self.lost_late:
                        await asyncio.sleep(random.uniform(1, 6))
                    await handler(request, body)
                    _reset(request)
                response = await handler(request, body)
                if self.delay_ms:
                    await asyncio.sleep(self.delay_ms / 1_000)
                await self.links.passes(entry, "store")
                if self.down:
                    _reset(request)
                return response
            finally:
                self._open.discard(request.transport)

        return serve

    def _entry(self, request):
        port = request.transport.get_extra_info("sockname")[1]
        return self._entries[port]

    def _wire(self, item, entry):
        if item["value"] is None:
            return {
                "key": item["key"],
                "revision": item["revision"],
                "deleted": True,
            }
        value = self._rewrite(entry, item["key"], item["value"])
        return {**item, "value": base64.b64encode(value).decode("ascii")}

    async def _get(self, request, body):
        item = self.items.get(request.query["key"])
        if item is None:
            return _json({"as_of": self.revision}, 404)
        wire = self._wire(item, self._entry(request))
        return _json({**wire, "as_of": self.revision})

    async def _range(self, request, body):
        prefix, after = request.query["prefix"], request.query.get("after", "")
        names = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        entry = self._entry(request)
        page = [self._wire(self.items[key], entry) for key in names[:500]]
        return _json(
            {
                "items": page,
                "has_more": len(names) > 500,
                "as_of": self.revision,
            }
        )

    async def _watch(self, request, body):
        entry = self._entry(request)
        prefix, after = request.query["prefix"], int(request.query["after"])
        end_s = time.monotonic() + int(request.query["wait_ms"]) / 1_000
        while True:
            events = [
                self._wire(item, entry)
                for item in self.log
                if item["revision"] > after and item["key"].startswith(prefix)
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0 or self.down:
                return _json({"events": events, "as_of": self.revision})
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass

    async def _txn(self, request, body):
        body = json.loads(body)
        conditions = body.get("precondition", [])
        names = [row["key"] for row in body.get("writes", [])]
        names += body.get("remove", [])
        if any(name.startswith(("op/", "servers/")) for name in names):
            return _json({}, 403)
        for row in conditions:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                current = self._current(conditions, self._entry(request))
                return _json({"items": current}, 412)
        writes = [
            (row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
            for row in body.get("writes", [])
        ]
        if any(lease and lease not in self._leases for _, _, lease in writes):
            return _json({}, 404)
        self._commit(writes, body.get("remove", []))
        return _json({"revision": self.revision})

    def _current(self, conditions, entry):
        current = []
        for row in conditions:
            item = self.items.get(row["key"])
            if item is None:
                current.append({"key": row["key"], "revision": 0})
            else:
                current.append(self._wire(item, entry))
        return current

    def _commit(self, writes, removed):
        self.revision += 1
        for key, value, lease in writes:
            known = self.items.get(key)
            item = {
                "key": key,
                "value": value,
                "revision": self.revision,
                "created": known["created"] if known else self.revision,
                "lease": lease,
            }
            self.items[key] = item
            self.log.append(item)
            if lease:
                self._leases[lease][2].add(key)
        for key in removed:
            if self.items.pop(key, None) is not None:
                self.log.append(
                    {"key": key, "value": None, "revision": self.revision}
                )
        for key, value, _ in writes:
            if "/live/owners/" in key:
                self.record.add(
                    "owner_written", key=key, value=value.decode()
                )
        for key in removed:
            if "/live/owners/" in key:
                self.record.add("owner_removed", key=key)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _grant(self, request, body):
        ttl_s = max(json.loads(body)["ttl_ms"], 1_000) / 1_000
        lease = next(self._lease_ids)
        self._leases[lease] = [time.monotonic() + ttl_s, ttl_s, set()]
        return _json({"lease": lease, "ttl_ms": int(ttl_s * 1_000)})

    async def _keep(self, request, body):
        lease = self._leases.get(int(request.match_info["id"]))
        if lease is None:
            return _json({}, 404)
        lease[0] = time.monotonic() + lease[1]
        return _json({"ttl_ms": int(lease[1] * 1_000)})

    async def _end_lease(self, request, body):
        self._end(int(request.match_info["id"]))
        return _json({})

    def _end(self, number):
        lease = self._leases.pop(number, None)
        keys = [
            key
            for key in (lease[2] if lease else ())
            if key in self.items and self.items[key]["lease"] == number
        ]
        if keys:
            self._commit([], keys)

    async def _expire(self):
        # Leases also expire while the store is down.
        while True:
            await asyncio.sleep(_SCAN_S)
            now_s = time.monotonic()
            for number, lease in list(self._leases.items()):
                if lease[0] <= now_s:
                    self._end(number)


class Run:
    """One run of a task on a worker.

    Attributes:
        since_ms: Steady time at which its work began; None while it waits for
            the other tasks of its gang.
        checkpoint: What the start carried.
        resumed_ms: Work that the checkpoint stands for.
    """

    def __init__(self, worker, task, number, spec, step, checkpoint):
        self.worker = worker
        self.task = task
        self.number = number
        self.started_ms = steady_ms()
        self.work_ms = spec.get("work_ms", 50)
        self.fails = number % 32 <= spec.get("fail", 0)
        self.step = step or {}
        self.is_gang = bool(self.step.get("gang"))
        self.since_ms = None if self.is_gang else self.started_ms
        self.checkpoint = checkpoint
        self.resumed_ms = int(checkpoint, 16) if checkpoint else 0
        self.saved = checkpoint

    def worked_ms(self):
        if self.since_ms is None:
            return self.resumed_ms
        return self.resumed_ms + steady_ms() - self.since_ms

    def save(self, exact=False):
        if self.step.get("checkpointing") and self.since_ms is not None:
            worked_ms = self.worked_ms()
            if not exact:
                worked_ms -= worked_ms % 500
            if worked_ms > self.resumed_ms:
                self.saved = f"{worked_ms:016x}"
        return self.saved

    def gang_name(self):
        return self.task.rpartition(".")[0], self.number


class Worker:
    """A worker; ``spec`` of a job is JSON with ``work_ms``.

    A task with ``work_ms`` 0 runs until it is stopped.
    """

    def __init__(self, site, machine, number, capacity=None):
        self.site = site
        self.record = site.record
        self.machine = machine
        self.id = f"i-{machine.name}-{number}"
        self.guards = site.guards
        self.pool = machine.pool
        self.born = wall_ms()
        self._start_ms = steady_ms()
        self.state = "ready"
        self.capacity = capacity or {"cpu": 32_000, "mem_mb": 65_536, "gpu": 0}
        self.runs = {}
        self.ended = []
        self._last_end = 0
        self._token = 0
        self._lease_ms = 0
        self._highest = {}
        self._wake = asyncio.Event()
        self._runner = None
        self._loop_task = None
        self.is_gone = False
        # Cut off from the system: nothing arrives and nothing is answered.
        self.is_cut = False
        self.is_cut_from_store = False
        self.late_share = 0.0
        self.lost_share = 0.0
        self._seq = 0

    def clock_ms(self):
        return steady_ms() - self._start_ms + 1

    async def start(self):
        app = web.Application()
        for path, handler in (
            ("/v1/run-start", self._start_run),
            ("/v1/run-stop", self._stop_run),
            ("/v1/hold", self._hold),
            ("/v1/pace", self._pace),
        ):
            app.router.add_post(path, self._guarded(handler))
        self._runner = await _listen(
            app, LOOPBACK, *self.machine.ports.values()
        )
        self._loop_task = asyncio.ensure_future(self._loop())
        self.register()

    async def stop(self):
        """End the worker with all that runs on it."""
        await self.crash()
        self.site.store.remove(f"servers/{self.id}")

    async def crash(self):
        """End the worker; its entry in the store stays."""
        if self._loop_task is not None:
            self._loop_task.cancel()
        self.is_gone = True
        for run in list(self.runs.values()):
            self.runs.pop(run.task, None)
            self.record.add(
                "run_lost", worker=self.id, task=run.task, run=run.number
            )
            self.site.run_ended(self, run, "lost")
        if self._runner is not None:
            await self._runner.cleanup()

    def register(self):
        self._seq += 1
        entry = {
            "service": self.pool,
            # Each entry process sees an address of its own.
            "address": f"{LOOPBACK}:0",
            "zone": "zone-a",
            "version": "1.0",
            "slots": 8,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self._seq,
            "machine": self.machine.name,
            "capacity": self.capacity,
            "labels": [self.machine.kind, self.machine.rack],
            "born": self.born,
        }
        self.beat_s = time.monotonic()
        self.site.store.put(
            f"servers/{self.id}", json.dumps(entry).encode()
        )

    async def _loop(self):
        beat_s = time.monotonic() + _HEARTBEAT_S
        while True:
            await asyncio.sleep(_SCAN_S)
            if time.monotonic() - self.beat_s > _SILENT_S:
                # The store removes an entry after three intervals of silence.
                self.site.store.remove(f"servers/{self.id}")
            if time.monotonic() >= beat_s and not (
                self.site.store.down or self.is_cut_from_store
            ):
                beat_s = time.monotonic() + _HEARTBEAT_S
                self.register()
            now_ms = steady_ms()
            for run in list(self.runs.values()):
                if self.runs.get(run.task) is not run:
                    continue
                if self.clock_ms() >= self._lease_ms:
                    self._end(run, "lapsed")
                elif run.since_ms is None:
                    if now_ms - run.started_ms >= self.site.bounds["gang_ms"]:
                        self._end(run, "alone")
                elif run.work_ms and run.worked_ms() >= run.work_ms:
                    self._end(run, "failed" if run.fails else "done")

    def _guarded(self, handler):
        async def serve(request):
            body = json.loads(await request.read())
            expected = request.headers.get("Expected-Instance", self.id)
            port = request.transport.get_extra_info("sockname")[1]
            entry = self.machine.entry(port)
            body["caller"] = entry
            links = self.site.links
            if links.is_cut(entry, self.machine.name):
                await links.passes(entry, self.machine.name)
                if _is_closed(request):
                    _reset(request)
            if self.is_cut:
                await asyncio.sleep(60)
                _reset(request)
            if random.random() < self.late_share and not body.get("wait_ms"):
                # The order gets no answer and is carried out late.
                await asyncio.sleep(random.uniform(2, 12))
                if not self.is_gone:
                    await self._carry_out(handler, body, expected)
                _reset(request)
            response = await self._carry_out(handler, body, expected)
            await links.passes(entry, self.machine.name)
            if self.is_cut:
                await asyncio.sleep(60)
            if self.is_gone or random.random() < self.lost_share:
                _reset(request)
            return response

        return serve

    async def _carry_out(self, handler, body, expected):
        if expected != self.id:
            return self._answer(421)
        token = body.get("fence_token", 0)
        if token < self._token:
            return self._answer(409, reason="fence")
        self._token = token
        return await handler(body)

    def _answer(self, status, **fields):
        return _json({"clock_ms": self.clock_ms(), **fields}, status)

    def _extend(self, deadline_ms):
        if deadline_ms:
            limit_ms = self.clock_ms() + self.site.hold_max_ms
            self._lease_ms = max(self._lease_ms, min(deadline_ms, limit_ms))

    async def _start_run(self, body):
        task, number = body["task"], body["run"]
        known = self.runs.get(task)
        if known is not None and known.number == number:
            return self._answer(200)
        if body["deadline_ms"] <= self.clock_ms():
            return self._answer(409, reason="late")
        self._extend(body["deadline_ms"])
        if known is not None or number <= self._highest.get(task, 0):
            return self._answer(409, reason="old")
        step = self.site.step_of(task)
        if self.guards and step is not None and not self._fits(step):
            return self._answer(409, reason="room")
        if not self.site.is_ticket_valid(self, task, body.get("ticket")):
            return self._answer(409, reason="ticket")
        self._highest[task] = number
        spec = json.loads(body["spec"])
        run = Run(
            self, task, number, spec, step, body.get("checkpoint", "")
        )
        self.runs[task] = run
        self.record.add(
            "run_started",
            worker=self.id,
            pool=self.pool,
            task=task,
            run=number,
            fence_token=body.get("fence_token", 0),
            caller=body["caller"],
            checkpoint=run.checkpoint,
        )
        self.site.run_started(self, run)
        if spec.get("deadly"):
            self.site.crash_soon(self, body["caller"], run)
        return self._answer(200)

    def _fits(self, step):
        for name in ("cpu", "mem_mb", "gpu"):
            used = sum(
                (self.site.step_of(run.task) or {}).get(name, 0)
                for run in self.runs.values()
            )
            if used + step.get(name, 0) > self.capacity[name]:
                return False
        return True

    async def _stop_run(self, body):
        task, number = body["task"], body["run"]
        self._highest[task] = max(self._highest.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number == number:
            self._end(run, "stopped")
        return self._answer(200)

    async def _pace(self, body):
        return self._answer(200)

    async def _hold(self, body):
        self.ended = [e for e in self.ended if e[0] > body["ack_cursor"]]
        self._extend(body.get("deadline_ms"))
        if body.get("wait_ms") and not self.ended:
            self._wake.clear()
            try:
                await asyncio.wait_for(
                    self._wake.wait(), body["wait_ms"] / 1_000
                )
            except TimeoutError:
                pass
        return self._answer(
            200,
            born=self.born,
            running=[
                [run.task, run.number, run.save(), self._percent(run), 0]
                for run in self.runs.values()
            ],
            ended=self.ended[:_MAX_ENDS],
        )

    def _percent(self, run):
        if not run.work_ms:
            return 100
        return min(99, 100 * run.worked_ms() // run.work_ms)

    def _end(self, run, how):
        self.runs.pop(run.task, None)
        saved = "" if how == "done" else run.save(exact=how == "stopped")
        self._last_end += 1
        self.ended.append([self._last_end, run.task, run.number, how, saved])
        self.record.add(
            "run_ended", worker=self.id, task=run.task, run=run.number, how=how
        )
        self.site.run_ended(self, run, how)
        self._wake.set()


class Machine:
    """A machine of the platform; it carries one worker at a time."""

    def __init__(self, name, pool, ports, rack="r1", kind="a"):
        self.kind = kind
        self.name = name
        self.pool = pool
        # Port by entry process.
        self.ports = ports
        self.rack = rack
        self.state = "up"
        self.worker = None
        self.lives = 0
        self.upkept = set()

    def entry(self, port):
        """Return the entry process that calls a port."""
        for entry, own_port in self.ports.items():
            if own_port == port:
                return entry
        raise KeyError(port)


class Cloud:
    """The machine service."""

    def __init__(self, site):
        self.site = site
        self.away_s = 1.0
        self._entries = {}
        self._runner = None
        self._tasks = set()

    async def start(self, ports):
        """Listen on one port for each entry process."""
        self._entries = {port: entry for entry, port in ports.items()}
        app = web.Application()
        app.router.add_get("/v1/machines", self._linked(self._list))
        app.router.add_post("/v1/machine-move", self._linked(self._move))
        app.router.add_post("/v1/machine-upkeep", self._linked(self._upkeep))
        self._runner = await _listen(app, LOOPBACK, *ports.values())

    def _linked(self, handler):
        async def serve(request):
            port = request.transport.get_extra_info("sockname")[1]
            entry = self._entries[port]
            if self.site.links.is_cut(entry, "cloud"):
                await self.site.links.passes(entry, "cloud")
                if _is_closed(request):
                    _reset(request)
            response = await handler(request)
            await self.site.links.passes(entry, "cloud")
            return response

        return serve

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    async def _list(self, request):
        rows = [
            {
                "machine": machine.name,
                "pool": machine.pool,
                "state": machine.state,
                "zone": "zone-a",
                "labels": [machine.kind, machine.rack],
                "capacity": {"cpu": 32_000, "mem_mb": 65_536, "gpu": 0},
                "id": machine.worker.id if machine.worker else None,
            }
            for machine in self.site.machines.values()
        ]
        return _json({"machines": rows, "next_token": None})

    async def _move(self, request):
        body = json.loads(await request.read())
        machine = self.site.machines.get(body["machine"])
        if machine is None:
            return _json({}, 400)
        self._note("move", request, body)
        if machine.pool == body["pool"] and machine.state == "up":
            return _json({})
        return self._take_out(machine, "moving", body["pool"])

    async def _upkeep(self, request):
        body = json.loads(await request.read())
        machine = self.site.machines.get(body["machine"])
        if machine is None:
            return _json({}, 400)
        self._note("upkeep", request, body)
        wave = self.site.store.get(f"op/wave/{body['wave']}")
        if wave is None or machine.name not in json.loads(wave)["machines"]:
            return _json({"reason": "wave"}, 409)
        if body["wave"] in machine.upkept:
            return _json({})
        response = self._take_out(machine, "upkeep", machine.pool)
        if response.status == 200:
            machine.upkept.add(body["wave"])
            self.site.record.add(
                "upkeep_begins", machine=machine.name, wave=body["wave"]
            )
        return response

    def _note(self, what, request, body):
        self.site.record.add(
            f"order_{what}",
            holder=request.headers.get("Lease-Holder"),
            token=request.headers.get("Fencing-Token"),
            **body,
        )

    def _take_out(self, machine, state, pool):
        if machine.state != "up":
            return _json({"reason": "busy"}, 409)
        machine.state = state
        task = asyncio.ensure_future(self._bring_back(machine, pool))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return _json({})

    async def _bring_back(self, machine, pool):
        worker, machine.worker = machine.worker, None
        if worker is not None:
            await worker.stop()
        await asyncio.sleep(self.away_s)
        machine.pool = pool
        machine.state = "up"
        self.site.record.add("machine_back", machine=machine.name, pool=pool)
        await self.site.start_worker(machine)


class Advice:
    """The service that knows which workers may run the steps of a queue."""

    def __init__(self, site, valid_ms=3_000):
        self.site = site
        self.valid_ms = valid_ms
        self.tickets = {}
        self._numbers = itertools.count(1)
        self._runner = None

    async def start(self, port):
        app = web.Application()
        app.router.add_post("/v1/advise", self._advise)
        self._runner = await _listen(app, LOOPBACK, port)

    async def stop(self):
        if self._runner is not None:
            await self._runner.cleanup()

    async def _advise(self, request):
        body = json.loads(await request.read())
        await asyncio.sleep(0.02 + 0.005 * len(body["workers"]))
        good = []
        for worker in body["workers"]:
            ticket = f"t-{next(self._numbers)}"
            until_ms = steady_ms() + self.valid_ms
            self.tickets[ticket] = (body["step"], worker, until_ms)
            good.append([worker, ticket])
        self.site.record.add("advised", step=body["step"], count=len(good))
        return _json({"good": good, "valid_ms": self.valid_ms})
