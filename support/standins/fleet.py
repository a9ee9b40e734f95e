"""A stand-in for the platform's VMs: endpoints, reboots and the lagging list.

One process serves every endpoint of a site, each on its own port, and the
platform's interface on another. Endpoints run requests for as long as the
``X-Work-Ms`` header says, refuse work beyond their slots and connections, and
record each start and end, so that an oracle can judge from their side.
"""

import argparse
import asyncio
from collections.abc import Coroutine
import dataclasses
import enum
import json
import time

from aiohttp import web
import msgspec

from support.standins import serving
from wagtailtiller import ids
from wagtailtiller.ports import platform

_REBOOT_MS = 1_500
_LIST_LAG_MS = 500
_MAX_BODY_BYTES = 64 * 1024 * 1024


class RunEnd(enum.Enum):
    """How a run at an endpoint ended."""

    RUNNING = "running"
    COMPLETE = "complete"
    CUT_OFF = "cut_off"
    ERROR = "error"


class RunRecord(msgspec.Struct):
    """One run as the endpoint saw it; times in wall-clock milliseconds."""

    vm: str
    request: str
    member: str
    key: str
    caller: str
    started_ms: int
    ended_ms: int = 0
    end: RunEnd = RunEnd.RUNNING
    planned_stop: bool = False


class Outage(msgspec.Struct):
    """A time that a VM was down; ``ended_ms`` is 0 while it lasts."""

    vm: str
    planned: bool
    started_ms: int
    ended_ms: int = 0


@dataclasses.dataclass
class Vm:
    """One VM with its endpoint."""

    vm: ids.VmId
    port: int
    slots: int
    connections: int
    boot: int = 1
    phase: platform.ListedVmPhase = platform.ListedVmPhase.LIVE
    running: int = 0
    most_running: int = 0
    refused: int = 0
    open_connections: int = 0
    most_connections: int = 0
    poison: bool = False
    records: list[RunRecord] = dataclasses.field(default_factory=list)
    runner: web.AppRunner | None = None
    active: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)


class Fleet:
    """All VMs of the stand-in."""

    def __init__(self, vms: list[Vm], reboot_ms: int) -> None:
        self.vms = {vm.vm: vm for vm in vms}
        self._reboot_ms = reboot_ms
        self._listed: list[platform.ListedVm] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._outages: list[Outage] = []

    def application(self) -> web.Application:
        """Build the platform interface."""
        app = web.Application()
        app.router.add_get("/v1/vms", self._list)
        app.router.add_post("/v1/reboot", self._reboot)
        app.router.add_post("/fault", self._fault)
        app.router.add_get("/records", self._records)
        app.router.add_get("/outages", self._list_outages)
        app.router.add_get("/vms", self._vms)
        app.cleanup_ctx.append(self._background)
        return app

    async def _background(self, app: web.Application) -> serving.Context:
        for vm in self.vms.values():
            await self._boot(vm)
        task = asyncio.create_task(self._refresh_list())
        yield
        task.cancel()
        for vm in self.vms.values():
            if vm.runner is not None:
                await vm.runner.cleanup()

    async def _refresh_list(self) -> None:
        while True:
            self._listed = [
                platform.ListedVm(vm.vm, vm.phase, vm.boot)
                for vm in self.vms.values()
                if vm.phase is not platform.ListedVmPhase.GONE
            ]
            await asyncio.sleep(_LIST_LAG_MS / 1_000)

    async def _boot(self, vm: Vm) -> None:
        app = web.Application(client_max_size=_MAX_BODY_BYTES)
        endpoint = _Endpoint(vm)
        app.router.add_route("*", "/{path:.*}", endpoint.handle)
        vm.runner = await serving.start(app, vm.port)

    async def _stop(self, vm: Vm, planned: bool) -> None:
        vm.phase = platform.ListedVmPhase.GONE
        for record in vm.records:
            if record.end is RunEnd.RUNNING:
                record.end = RunEnd.CUT_OFF
                record.ended_ms = _now_ms()
                record.planned_stop = planned
        for task in list(vm.active):
            task.cancel()
        vm.running = 0
        runner, vm.runner = vm.runner, None
        if runner is not None:
            await runner.cleanup()

    async def _cycle(self, vm: Vm, planned: bool, down_ms: int) -> None:
        outage = Outage(vm.vm, planned, _now_ms())
        self._outages.append(outage)
        await self._stop(vm, planned)
        await asyncio.sleep(down_ms / 1_000)
        vm.boot += 1
        await self._boot(vm)
        vm.phase = platform.ListedVmPhase.LIVE
        outage.ended_ms = _now_ms()

    async def _list(self, request: web.Request) -> web.Response:
        return _json(self._listed)

    async def _reboot(self, request: web.Request) -> web.Response:
        vm = self.vms[ids.VmId(request.query["vm"])]
        after_boot = int(request.query["after_boot"])
        if vm.boot != after_boot or vm.phase is platform.ListedVmPhase.GONE:
            return _json({"accepted": False})
        self._spawn(self._cycle(vm, True, self._reboot_ms))
        return _json({"accepted": True})

    async def _fault(self, request: web.Request) -> web.Response:
        kind = request.query["kind"]
        for name in request.query["vm"].split(","):
            vm = self.vms[ids.VmId(name)]
            if kind == "crash":
                down_ms = int(request.query.get("down_ms", "3000"))
                self._spawn(self._cycle(vm, False, down_ms))
            else:
                vm.poison = kind == "poison"
        return _json({"kind": kind})

    async def _records(self, request: web.Request) -> web.Response:
        records = [r for vm in self.vms.values() for r in vm.records]
        return _json(records)

    async def _list_outages(self, request: web.Request) -> web.Response:
        return _json(self._outages)

    async def _vms(self, request: web.Request) -> web.Response:
        rows = [
            {
                "vm": vm.vm,
                "phase": vm.phase.value,
                "boot": vm.boot,
                "running": vm.running,
                "most_running": vm.most_running,
                "refused": vm.refused,
                "most_connections": vm.most_connections,
            }
            for vm in self.vms.values()
        ]
        return _json(rows)

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


class _Endpoint:
    def __init__(self, vm: Vm) -> None:
        self._vm = vm

    async def handle(self, request: web.Request) -> web.StreamResponse:
        vm = self._vm
        vm.open_connections += 1
        vm.most_connections = max(vm.most_connections, vm.open_connections)
        try:
            return await self._admit(request)
        finally:
            vm.open_connections -= 1

    async def _admit(self, request: web.Request) -> web.StreamResponse:
        vm = self._vm
        if request.path == "/health":
            return web.Response(text="ok")
        full = vm.running >= vm.slots
        if full or vm.open_connections > vm.connections:
            vm.refused += 1
            headers = {"Wagtail-Not-Run": "busy"}
            return web.Response(status=503, headers=headers)
        vm.running += 1
        vm.most_running = max(vm.most_running, vm.running)
        record = RunRecord(
            vm=vm.vm,
            request=request.headers.get("Wagtail-Request", ""),
            member=request.headers.get("Wagtail-Member", ""),
            key=request.headers.get("Idempotency-Key", ""),
            caller=request.headers.get("X-Caller-Id", ""),
            started_ms=_now_ms(),
        )
        vm.records.append(record)
        return await self._run(request, record)

    async def _run(
        self, request: web.Request, record: RunRecord
    ) -> web.StreamResponse:
        work = asyncio.current_task()
        self._vm.active.add(work)  # type: ignore[arg-type]
        try:
            body = await request.read()
            if self._vm.poison:
                self._finish(record, RunEnd.ERROR)
                return web.Response(status=500, text="poisoned")
            work_ms = int(request.headers.get("X-Work-Ms", "20"))
            await asyncio.sleep(work_ms / 1_000)
            self._finish(record, RunEnd.COMPLETE)
            return self._answer(request, record, body)
        finally:
            self._vm.active.discard(work)  # type: ignore[arg-type]
            if record.end is RunEnd.RUNNING:
                self._finish(record, RunEnd.CUT_OFF)

    def _answer(
        self, request: web.Request, record: RunRecord, body: bytes
    ) -> web.Response:
        answer = {
            "request": record.request,
            "member": record.member,
            "echo": request.headers.get("X-Caller-Id", ""),
            "bytes": len(body),
            "vm": record.vm,
        }
        headers = {"Wagtail-Request": record.request}
        return web.Response(text=json.dumps(answer), headers=headers)

    def _finish(self, record: RunRecord, end: RunEnd) -> None:
        if record.end is RunEnd.RUNNING:
            record.end = end
            record.ended_ms = _now_ms()
            self._vm.running -= 1


def _now_ms() -> int:
    return time.time_ns() // 1_000_000


def _json(value: object) -> web.Response:
    body = msgspec.json.encode(value)
    return web.Response(body=body, content_type="application/json")


def main() -> int:
    """Serve until told to stop."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--vms", required=True, help="name=port,name=port,...")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--connections", type=int, default=64)
    parser.add_argument("--reboot-ms", type=int, default=_REBOOT_MS)
    options = parser.parse_args()
    vms = []
    for entry in options.vms.split(","):
        name, port = entry.split("=")
        vm = Vm(ids.VmId(name), int(port), options.slots, options.connections)
        vms.append(vm)
    fleet = Fleet(vms, options.reboot_ms)
    return serving.serve([(fleet.application(), options.port)])


if __name__ == "__main__":
    raise SystemExit(main())
