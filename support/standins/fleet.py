"""Stand-in for the platform's VMs and their endpoints.

One process serves every endpoint of a site, each on its own port, and the
platform's interface on another port. The interface accepts reboots and lists
the VMs with a delay. A request to an endpoint runs for the number of
milliseconds in its ``X-Work-Ms`` header. Endpoints refuse work beyond their
slots and connections. They record the start and end of each run, so that an
oracle can compare them with what callers were told.
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

_DEFAULT_REBOOT_MS = 1_500
_LIST_LAG_MS = 500
_MAX_BODY_BYTES = 64 * 1024 * 1024


class RunEnd(enum.Enum):
    """State of a run at an endpoint, or how it ended."""

    RUNNING = "running"
    COMPLETE = "complete"
    CUT_OFF = "cut_off"
    ERROR = "error"


class RunRecord(msgspec.Struct):
    """Run as the endpoint recorded it.

    Attributes:
        vm: Id of the VM.
        request: Id of the request, from its ``Wagtail-Request`` header.
        member: Member that the request belongs to.
        key: Idempotency key; empty for none.
        caller: Id that the caller gave the request.
        started_ms: Start time in Unix milliseconds.
        ended_ms: End time in Unix milliseconds; 0 while it runs.
        end: How the run ended.
        planned_stop: Whether a planned stop of the VM cut the run off.
    """

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
    """Period in which a VM is down.

    Attributes:
        vm: Id of the VM.
        planned: Whether a reboot was requested, as opposed to a crash.
        started_ms: Start time in Unix milliseconds.
        ended_ms: End time in Unix milliseconds; 0 while the VM is down.
    """

    vm: str
    planned: bool
    started_ms: int
    ended_ms: int = 0


@dataclasses.dataclass
class Vm:
    """VM with its endpoint.

    Attributes:
        vm: Id of the VM.
        port: Port of the endpoint.
        slots: Largest number of concurrent runs.
        connections: Largest number of concurrent requests that are accepted.
        boot: Number of starts of the VM, including the current one.
        phase: Phase in which the platform lists the VM.
        running: Number of runs.
        most_running: Largest number of concurrent runs so far.
        refused: Number of refused requests.
        open_connections: Number of requests that are being handled.
        most_connections: Largest value of ``open_connections`` so far.
        poison: Whether every run fails with status 500.
        records: Runs in the order of their start.
        runner: Server of the endpoint; None while the VM is down.
        active: Tasks that handle runs.
    """

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
    """Platform with all its VMs.

    Args:
        vms: VMs of the platform.
        reboot_ms: Duration of a reboot in milliseconds.
    """

    def __init__(self, vms: list[Vm], reboot_ms: int) -> None:
        self.vms = {vm.vm: vm for vm in vms}
        self._reboot_ms = reboot_ms
        self._listed: list[platform.ListedVm] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._outages: list[Outage] = []

    def application(self) -> web.Application:
        """Return the application that serves the platform's interface."""
        app = web.Application()
        app.router.add_get("/v1/vms", self._list_vms)
        app.router.add_post("/v1/reboot", self._reboot)
        app.router.add_post("/fault", self._set_fault)
        app.router.add_get("/records", self._list_records)
        app.router.add_get("/outages", self._list_outages)
        app.router.add_get("/vms", self._list_vm_counters)
        app.cleanup_ctx.append(self._run_background)
        return app

    async def _run_background(self, app: web.Application) -> serving.Context:
        for vm in self.vms.values():
            await self._start_vm(vm)
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

    async def _start_vm(self, vm: Vm) -> None:
        app = web.Application(client_max_size=_MAX_BODY_BYTES)
        endpoint = _Endpoint(vm)
        app.router.add_route("*", "/{path:.*}", endpoint.handle)
        vm.runner = await serving.start_application(app, vm.port)

    async def _stop_vm(self, vm: Vm, planned: bool) -> None:
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

    async def _restart(self, vm: Vm, planned: bool, down_ms: int) -> None:
        outage = Outage(vm.vm, planned, _now_ms())
        self._outages.append(outage)
        await self._stop_vm(vm, planned)
        await asyncio.sleep(down_ms / 1_000)
        vm.boot += 1
        await self._start_vm(vm)
        vm.phase = platform.ListedVmPhase.LIVE
        outage.ended_ms = _now_ms()

    async def _list_vms(self, request: web.Request) -> web.Response:
        return _json(self._listed)

    async def _reboot(self, request: web.Request) -> web.Response:
        vm = self.vms[ids.VmId(request.query["vm"])]
        after_boot = int(request.query["after_boot"])
        if vm.boot != after_boot or vm.phase is platform.ListedVmPhase.GONE:
            return _json({"accepted": False})
        self._start_background(self._restart(vm, True, self._reboot_ms))
        return _json({"accepted": True})

    async def _set_fault(self, request: web.Request) -> web.Response:
        kind = request.query["kind"]
        for name in request.query["vm"].split(","):
            vm = self.vms[ids.VmId(name)]
            if kind == "crash":
                down_ms = int(request.query.get("down_ms", "3000"))
                self._start_background(self._restart(vm, False, down_ms))
            else:
                vm.poison = kind == "poison"
        return _json({"kind": kind})

    async def _list_records(self, request: web.Request) -> web.Response:
        records = [r for vm in self.vms.values() for r in vm.records]
        return _json(records)

    async def _list_outages(self, request: web.Request) -> web.Response:
        return _json(self._outages)

    async def _list_vm_counters(self, request: web.Request) -> web.Response:
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

    def _start_background(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coroutine)
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
        task = asyncio.current_task()
        self._vm.active.add(task)  # type: ignore[arg-type]
        try:
            body = await request.read()
            if self._vm.poison:
                self._finish_run(record, RunEnd.ERROR)
                return web.Response(status=500, text="poisoned")
            work_ms = int(request.headers.get("X-Work-Ms", "20"))
            await asyncio.sleep(work_ms / 1_000)
            self._finish_run(record, RunEnd.COMPLETE)
            return self._build_response(request, record, body)
        finally:
            self._vm.active.discard(task)  # type: ignore[arg-type]
            if record.end is RunEnd.RUNNING:
                self._finish_run(record, RunEnd.CUT_OFF)

    def _build_response(
        self, request: web.Request, record: RunRecord, body: bytes
    ) -> web.Response:
        content = {
            "request": record.request,
            "member": record.member,
            "echo": request.headers.get("X-Caller-Id", ""),
            "bytes": len(body),
            "vm": record.vm,
        }
        headers = {"Wagtail-Request": record.request}
        return web.Response(text=json.dumps(content), headers=headers)

    def _finish_run(self, record: RunRecord, end: RunEnd) -> None:
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
    """Serve the stand-in until SIGTERM; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--vms", required=True, help="name=port,name=port,...")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--connections", type=int, default=64)
    parser.add_argument("--reboot-ms", type=int, default=_DEFAULT_REBOOT_MS)
    options = parser.parse_args()
    vms = []
    for item in options.vms.split(","):
        name, port = item.split("=")
        vm = Vm(ids.VmId(name), int(port), options.slots, options.connections)
        vms.append(vm)
    fleet = Fleet(vms, options.reboot_ms)
    return serving.serve([(fleet.application(), options.port)])


if __name__ == "__main__":
    raise SystemExit(main())
