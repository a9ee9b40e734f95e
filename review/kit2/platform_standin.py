"""Stand-in for the platform's workers and its machine service.

It follows the users' page PROTOCOL.md in what the review cases use: starts,
stops, holds, leases, fencing tokens, registrations with heartbeats, and the
machine service without checks of fencing tokens.

The payload of a job sets what its tasks do: ``work_ms=300`` sets the duration
of each task. ``lasting=1`` makes the tasks run until they are stopped.
``gang=N`` makes the N tasks of the job a gang: they work from the moment when
all of one run are present and end together; if one ends, the others end
``broken``. ``saves=1`` makes the tasks save a checkpoint with each ``save_s``
of work; its value is the work in hexadecimal milliseconds.

The control interface, which only the review cases call:

``POST /control/crash?machines=A,B&for_s=8``: the workers of these machines
lose power. They answer nothing, and their runs are lost. Each machine comes
back with a new worker after the time.
``GET /control/records``: every run, every order for a machine, and when the
machines were last listed.
"""

import argparse
import asyncio
import base64
import contextlib
import json
import signal
import time
import urllib.parse

import aiohttp
from aiohttp import web

HOST = "127.0.0.1"
MAX_LISTED_ENDS = 500
CAPACITY = {"cpu": 32_000, "mem_mb": 131_072, "gpu": 0}


def wall_ms():
    return time.time_ns() // 1_000_000


def reply(body, status=200):
    return web.Response(
        body=json.dumps(body).encode(),
        status=status,
        content_type="application/json",
    )


def gang_of(task, number):
    return task.rpartition(".")[0], number


class Gang:
    """One run of a gang, with members on several workers."""

    def __init__(self, site, size, need_ms, checkpoint):
        self.site = site
        self.size = size
        self.need_ms = need_ms
        self.base_ms = int(checkpoint or "0", 16)
        self.members = []
        self.began_s = None
        self.stopped_ms = None
        self.timers = []
        loop = asyncio.get_running_loop()
        self.timers.append(
            loop.call_later(site.options["gang_ms"] / 1_000, self.give_up)
        )

    def join(self, worker, task):
        self.members.append((worker, task))
        if len(self.members) == self.size:
            self.began_s = time.monotonic()
            left_s = max(0, self.need_ms - self.base_ms) / 1_000
            loop = asyncio.get_running_loop()
            self.timers.append(loop.call_later(left_s, self.finish, "done"))

    def work_ms(self):
        if self.stopped_ms is not None:
            return self.stopped_ms
        if self.began_s is None:
            return self.base_ms
        return self.base_ms + int((time.monotonic() - self.began_s) * 1_000)

    def saved(self):
        save_ms = int(self.site.options["save_s"] * 1_000)
        saved_ms = self.work_ms() // save_ms * save_ms
        return f"{saved_ms:016x}" if saved_ms else ""

    def give_up(self):
        if self.began_s is None:
            self.finish("alone")

    def leave(self, how):
        if how not in ("done", "broken", "alone"):
            self.finish("broken")

    def finish(self, how):
        if self.stopped_ms is not None:
            return
        self.stopped_ms = self.work_ms()
        for timer in self.timers:
            timer.cancel()
        for worker, task in self.members:
            worker.end(task, how)


class Worker:
    """One life of a machine: it runs tasks under leases."""

    def __init__(self, site, machine, number):
        self.site = site
        self.machine = machine
        self.id = f"w-{machine['machine']}-{number}"
        self.born_ms = wall_ms()
        self.started_s = time.monotonic()
        self.dark = False
        self.token = 0
        self.lease_ms = 0
        self.runs = {}
        self.highest = {}
        self.ended = []
        self.position = 0
        self.changed = asyncio.Event()
        self.runner = None

    async def start(self):
        app = web.Application()
        app.router.add_post("/v1/run-start", self.serve_start)
        app.router.add_post("/v1/run-stop", self.serve_stop)
        app.router.add_post("/v1/hold", self.serve_hold)
        app.router.add_post("/v1/pace", self.serve_pace)
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.05)
        await self.runner.setup()
        await web.TCPSite(self.runner, HOST, self.machine["port"]).start()

    def clock_ms(self):
        return int((time.monotonic() - self.started_s) * 1_000) + 1

    def registration(self):
        return {
            "service": self.machine["pool"],
            "address": f"{HOST}:{self.machine['port']}",
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": CAPACITY,
            "labels": ["a", self.machine["rack"]],
            "machine": self.machine["machine"],
            "born": self.born_ms,
            "seq": self.clock_ms(),
        }

    def respond(self, status, **fields):
        body = {"clock_ms": self.clock_ms(), "born": self.born_ms, **fields}
        return reply(body, status)

    async def read(self, request):
        body = json.loads(await request.read())
        if self.dark:
            # A machine without power answers nothing.
            await asyncio.sleep(3_600)
        if request.headers.get("Expected-Instance") != self.id:
            raise web.HTTPMisdirectedRequest()
        return body

    def accepts(self, body):
        token = body.get("fence_token", 0)
        if token < self.token:
            return False
        self.token = token
        return True

    def extend(self, until_ms):
        if until_ms:
            limit_ms = self.clock_ms() + self.site.hold_max_ms
            self.lease_ms = max(self.lease_ms, min(until_ms, limit_ms))

    async def serve_start(self, request):
        body = await self.read(request)
        task, number = body["task"], body["run"]
        if not self.accepts(body):
            return self.respond(409, reason="fence")
        run = self.runs.get(task)
        if run is not None and run["run"] == number:
            return self.respond(200)
        if body["deadline_ms"] <= self.clock_ms():
            return self.respond(409, reason="late")
        self.extend(body["deadline_ms"])
        if run is not None or number <= self.highest.get(task, 0):
            return self.respond(409, reason="old")
        self.highest[task] = number
        options = dict(urllib.parse.parse_qsl(body["spec"]))
        record = {
            "task": task,
            "run": number,
            "worker": self.id,
            "pool": self.machine["pool"],
            "spec": body["spec"],
            "started_ms": wall_ms(),
            "ended_ms": 0,
            "how": "",
        }
        self.site.records.append(record)
        record["checkpoint"] = body.get("checkpoint", "")
        timer = None
        if "gang" not in options and "lasting" not in options:
            work_s = int(options.get("work_ms", "50")) / 1_000
            timer = asyncio.get_running_loop().call_later(
                work_s, self.end, task, "done"
            )
        self.runs[task] = {
            "run": number,
            "record": record,
            "timer": timer,
            "work_ms": int(options.get("work_ms", "50")),
        }
        if "gang" in options:
            self.site.join_gang(self, task, number, options, body)
        return self.respond(200)

    async def serve_stop(self, request):
        body = await self.read(request)
        task, number = body["task"], body["run"]
        if not self.accepts(body):
            return self.respond(409, reason="fence")
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run["run"] == number:
            self.end(task, "stopped")
        return self.respond(200)

    async def serve_pace(self, request):
        body = await self.read(request)
        if not self.accepts(body):
            return self.respond(409, reason="fence")
        return self.respond(200)

    async def serve_hold(self, request):
        body = await self.read(request)
        if not self.accepts(body):
            return self.respond(409, reason="fence")
        cursor = body.get("ack_cursor", 0)
        self.ended = [row for row in self.ended if row[0] > cursor]
        self.extend(body.get("deadline_ms"))
        wait_ms = min(body.get("wait_ms", 0), 2_000)
        if wait_ms and not self.ended:
            self.changed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_ms / 1_000):
                    await self.changed.wait()
        if self.dark:
            await asyncio.sleep(3_600)
        running = []
        for task, run in self.runs.items():
            elapsed_ms = wall_ms() - run["record"]["started_ms"]
            percent = 100
            saved = ""
            gang = self.site.gangs.get(gang_of(task, run["run"]))
            if gang is not None:
                saved = gang.saved()
                percent = min(99, 100 * gang.work_ms() // gang.need_ms)
            elif run["timer"] is not None:
                percent = min(99, 100 * elapsed_ms // max(1, run["work_ms"]))
            running.append([task, run["run"], saved, percent, 0])
        ended = self.ended[:MAX_LISTED_ENDS]
        return self.respond(200, running=running, ended=ended)

    def end(self, task, how):
        run = self.runs.pop(task, None)
        if run is None:
            return
        if run["timer"] is not None:
            run["timer"].cancel()
        run["record"]["how"] = how
        run["record"]["ended_ms"] = wall_ms()
        self.position += 1
        gang = self.site.gangs.get(gang_of(task, run["run"]))
        saved = gang.saved() if gang is not None and how != "done" else ""
        self.ended.append([self.position, task, run["run"], how, saved])
        self.changed.set()
        if gang is not None:
            gang.leave(how)

    def expire(self):
        if self.runs and self.clock_ms() >= self.lease_ms:
            for task in list(self.runs):
                self.end(task, "lapsed")

    def lose_runs(self):
        for run in self.runs.values():
            if run["timer"] is not None:
                run["timer"].cancel()
            run["record"]["how"] = "lost"
            run["record"]["ended_ms"] = wall_ms()
        lost = list(self.runs.items())
        self.runs.clear()
        for task, run in lost:
            gang = self.site.gangs.get(gang_of(task, run["run"]))
            if gang is not None:
                gang.leave("lost")


class Site:
    """All machines with their workers, and the machine service."""

    def __init__(self, options):
        self.options = options
        self.hold_max_ms = options["hold_max_ms"]
        self.heartbeat_s = options["heartbeat_ms"] / 1_000
        self.records = []
        self.orders = []
        self.listed_ms = 0
        self.gangs = {}
        self.machines = {}
        for row in options["machines"]:
            self.machines[row["machine"]] = {
                **row,
                "state": "up",
                "lives": 0,
                "worker": None,
                "maintained": [],
            }
        self.tasks = set()

    def join_gang(self, worker, task, number, options, body):
        key = gang_of(task, number)
        gang = self.gangs.get(key)
        if gang is None:
            gang = Gang(
                self,
                int(options["gang"]),
                int(options["work_ms"]),
                body.get("checkpoint", ""),
            )
            self.gangs[key] = gang
        gang.join(worker, task)

    def spawn(self, main):
        task = asyncio.get_running_loop().create_task(main)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self):
        self.http = aiohttp.ClientSession()
        app = web.Application()
        app.router.add_get("/v1/machines", self.list_machines)
        app.router.add_post("/v1/machine-move", self.move)
        app.router.add_post("/v1/machine-upkeep", self.maintain)
        app.router.add_post("/control/crash", self.crash)
        app.router.add_get("/control/records", self.list_records)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, HOST, self.options["port"]).start()
        for machine in self.machines.values():
            await self.begin_life(machine)
        self.spawn(self.beat())
        self.spawn(self.expire())
        stop = asyncio.Event()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
        await stop.wait()
        await self.http.close()

    def is_off(self, machine):
        return machine["pool"] in self.options["standby"]

    async def begin_life(self, machine):
        machine["state"] = "up"
        if self.is_off(machine):
            return
        machine["lives"] += 1
        worker = Worker(self, machine, machine["lives"])
        await worker.start()
        machine["worker"] = worker
        await self.register(worker)

    async def end_life(self, machine):
        worker = machine["worker"]
        machine["worker"] = None
        if worker is not None:
            worker.dark = True
            worker.lose_runs()
            await self.unregister(worker)
            await worker.runner.cleanup()

    async def store(self, method, path, body=None):
        url = f"http://{self.options['store']}{path}"
        data = json.dumps(body).encode() if body is not None else None
        async with self.http.request(method, url, data=data) as response:
            content = await response.read()
            body = json.loads(content) if response.status == 200 else None
            return response.status, body

    async def revision(self, worker):
        status, item = await self.store(
            "GET", f"/v1/kv-key?key=servers/{worker.id}"
        )
        return item["revision"] if status == 200 else 0

    async def register(self, worker):
        key = f"servers/{worker.id}"
        value = json.dumps(worker.registration()).encode()
        write = {"key": key, "value": base64.b64encode(value).decode()}
        body = {"precondition": [], "writes": [write], "remove": []}
        await self.store("POST", "/v1/kv-txn", body)

    async def unregister(self, worker):
        if await self.revision(worker):
            key = f"servers/{worker.id}"
            body = {"precondition": [], "writes": [], "remove": [key]}
            await self.store("POST", "/v1/kv-txn", body)

    async def beat(self):
        while True:
            await asyncio.sleep(self.heartbeat_s)
            for machine in list(self.machines.values()):
                worker = machine["worker"]
                if worker is not None and not worker.dark:
                    await self.register(worker)

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            for machine in self.machines.values():
                if machine["worker"] is not None:
                    machine["worker"].expire()

    async def list_machines(self, request):
        self.listed_ms = wall_ms()
        rows = [
            {
                "machine": machine["machine"],
                "pool": machine["pool"],
                "state": machine["state"],
                "zone": "zone-a",
                "labels": ["a", machine["rack"]],
                "capacity": CAPACITY,
                "id": machine["worker"].id if machine["worker"] else "",
            }
            for machine in self.machines.values()
        ]
        return reply({"machines": rows, "next_token": ""})

    async def move(self, request):
        body = json.loads(await request.read())
        machine = self.machines[body["machine"]]
        if machine["pool"] == body["pool"]:
            return self.note(request, body, "move", 200, "done already")
        if machine["state"] != "up":
            return self.note(request, body, "move", 409, "busy")
        machine["state"] = "moving"
        self.spawn(self.away(machine, body["pool"], "move_s"))
        return self.note(request, body, "move", 200, "begun")

    async def maintain(self, request):
        body = json.loads(await request.read())
        machine = self.machines[body["machine"]]
        if body["wave"] in machine["maintained"]:
            return self.note(request, body, "upkeep", 200, "done already")
        if machine["state"] != "up":
            return self.note(request, body, "upkeep", 409, "busy")
        machine["maintained"].append(body["wave"])
        machine["state"] = "upkeep"
        self.spawn(self.away(machine, machine["pool"], "upkeep_s"))
        return self.note(request, body, "upkeep", 200, "begun")

    def note(self, request, body, kind, status, what):
        self.orders.append(
            {
                "at_ms": wall_ms(),
                "machine": body["machine"],
                "kind": kind,
                "pool": body.get("pool", ""),
                "wave": body.get("wave", 0),
                "holder": request.headers.get("Lease-Holder", ""),
                "token": int(request.headers.get("Fencing-Token", "0")),
                "status": status,
                "what": what,
            }
        )
        return reply({"reason": what} if status == 409 else {}, status)

    async def away(self, machine, pool, span):
        await self.end_life(machine)
        machine["pool"] = pool
        await asyncio.sleep(self.options[span])
        await self.begin_life(machine)

    async def crash(self, request):
        for name in request.query["machines"].split(","):
            machine = self.machines[name]
            worker = machine["worker"]
            if worker is None or machine["state"] != "up":
                continue
            worker.dark = True
            worker.lose_runs()
            machine["state"] = "down"
            self.spawn(self.come_back(machine, float(request.query["for_s"])))
        return reply({})

    async def come_back(self, machine, for_s):
        worker = machine["worker"]
        # A registration goes after three heartbeats of silence.
        silent_s = 3 * self.heartbeat_s
        await asyncio.sleep(min(for_s, silent_s))
        await self.unregister(worker)
        await asyncio.sleep(max(0.0, for_s - silent_s))
        await self.end_life(machine)
        await self.begin_life(machine)

    async def list_records(self, request):
        return reply(
            {
                "runs": self.records,
                "orders": self.orders,
                "listed_ms": self.listed_ms,
            }
        )


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--options", required=True)
    with open(parser.parse_args().options, encoding="utf-8") as file:
        asyncio.run(Site(json.load(file)).run())


if __name__ == "__main__":
    main()
