"""A VM that is served over HTTP by a thread of its own.

Its answers arrive while the event loop of the tested code is blocked.
"""

import asyncio
import threading

from aiohttp import web
import msgspec

from support import fake_vms
from wagtailtiller import clock as clock_module
from wagtailtiller.jobs import model
from wagtailtiller.jobs import task as task_module
from wagtailtiller.platform import task_names
from wagtailtiller.ports import vms

_LOOPBACK = "127.0.0.1"
_CONFLICT = 409
_POLL_S = 0.005


class ServedVm:
    """Serves a ``FakeVm`` over the platform's worker interface.

    Args:
        vm: Name of the VM.
        clock: Clock of the VM.
        latency_s: Delay of each response.
        run_s: Time after which a run ends as done; None for runs that only
            ``end`` ends.

    Attributes:
        latency_s: Delay of each response; it may be changed at any time.
        report: Registration of the VM, with the address of the server.
        state: The VM that is served; read it only after ``stop``.
    """

    def __init__(
        self,
        vm: str,
        clock: clock_module.Clock,
        latency_s: float = 0.0,
        run_s: float | None = None,
    ) -> None:
        self.latency_s = latency_s
        self._run_s = run_s
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()
        self.state = fake_vms.FakeVm(fake_vms.report(vm), clock)
        port = self._call(self._listen())
        self.report = msgspec.structs.replace(
            self.state.report, address=f"{_LOOPBACK}:{port}"
        )

    def end(self, task: model.TaskId, kind: task_module.EndKind) -> None:
        """End a run, so that the VM lists it as ended.

        Args:
            task: Task whose run ends.
            kind: How the run ends.
        """

        async def end() -> None:
            self.state.end(task, kind)

        self._call(end())

    def stop(self) -> None:
        """Stop the server and its thread."""
        self._call(self._runner.cleanup())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _call(self, main):  # type: ignore[no-untyped-def]
        return asyncio.run_coroutine_threadsafe(main, self._loop).result(5)

    async def _listen(self) -> int:
        self._runner = web.ServerRunner(web.Server(self._handle))
        await self._runner.setup()
        site = web.TCPSite(self._runner, _LOOPBACK, 0)
        await site.start()
        return int(self._runner.addresses[0][1])

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        body = msgspec.json.decode(await request.read())
        response = await self._execute(request, body)
        await asyncio.sleep(self.latency_s)
        return response

    async def _execute(
        self, request: web.BaseRequest, body: dict
    ) -> web.Response:
        if request.path == "/v1/hold":
            return await self._hold(body)
        assert request.path == "/v1/run-start"
        task = task_names.parse_task(body["task"])
        assert task is not None
        response = await self.state.start(
            vms.StartCommand(
                task,
                body["run"],
                body["spec"],
                body["deadline_ms"],
                body["fence_token"],
                body.get("checkpoint", ""),
                "",
            )
        )
        started = response.outcome is vms.CommandOutcome.DONE
        if started and self._run_s is not None:
            self._loop.call_later(
                self._run_s, self.state.end, task, task_module.EndKind.DONE
            )
        return web.json_response(
            {"clock_ms": response.clock_ms, "reason": response.outcome.value},
            status=200 if started else _CONFLICT,
        )

    async def _hold(self, body: dict) -> web.Response:
        await self._wait_for_end(body.get("wait_ms", 0), body["ack_cursor"])
        response = await self.state.hold(
            body["fence_token"],
            body["ack_cursor"],
            body.get("deadline_ms"),
            0,
        )
        listing = response.listing
        assert listing is not None
        return web.json_response(
            {
                "clock_ms": listing.clock_ms,
                "born": listing.born_ms,
                "running": [
                    [
                        task_names.format_task(run.task),
                        run.number,
                        run.checkpoint,
                        run.percent,
                    ]
                    for run in listing.running
                ],
                "ended": [
                    [
                        end.position,
                        task_names.format_task(end.task),
                        end.number,
                        end.kind.value,
                        end.checkpoint,
                    ]
                    for end in listing.ended
                ],
            }
        )

    async def _wait_for_end(self, wait_ms: int, acknowledged: int) -> None:
        until_s = self._loop.time() + wait_ms / 1_000
        while self._loop.time() < until_s:
            if any(end.position > acknowledged for end in self.state.ended):
                return
            await asyncio.sleep(_POLL_S)
