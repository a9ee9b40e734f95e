"""The project's stand-in for workers, with calls that are carried out late.

``POST /late?machine=M&path=hold|start`` holds back the next such call to the
worker of a machine, a hold only if it acknowledges ends. It gets no answer.
``GET /late`` returns which calls are held back. ``POST
/return?machine=M&dark_ms=D&register_ms=R&start_ms=S&hold_ms=H`` lets the worker
crash: it is silent for D, then starts again under the id that it had, and knows
nothing of before. Its entry in the store goes after three heartbeat intervals of
silence, and is there again R after its start. The calls that were held back are
carried out S and H after its start; no others are held back from then on.
"""

import asyncio
import sys
import time

from aiohttp import web

from support.standins import workers as standin

# Three heartbeat intervals of 1.5 s.
_SILENCE_S = 4.5


class LateWorker(standin.Worker):
    """A worker that may carry calls out late, and start again under its id."""

    wanted: set[tuple[str, str]] = set()
    held_back: dict[tuple[str, str], dict] = {}
    log: list[dict] = []

    async def _serve_start(self, request: web.Request) -> web.Response:
        body = await self._read_command(request)
        await self._hold_back("start", body)
        return self._start(body)

    async def _serve_hold(self, request: web.Request) -> web.Response:
        body = await self._read_command(request)
        if body["ack_cursor"]:
            await self._hold_back("hold", body)
        return await super()._serve_hold(request)

    async def _hold_back(self, path: str, body: dict) -> None:
        key = (self.machine, path)
        if key in self.wanted and key not in self.held_back:
            self.held_back[key] = {"sent_ms": standin._wall_ms(), **body}
            self.note("held back", path, body)
            await asyncio.sleep(3_600)

    def note(self, what: str, path: str, body: dict) -> None:
        """Add a line to the record."""
        shown = {
            name: body[name]
            for name in ("task", "run", "fence_token", "ack_cursor")
            if name in body
        }
        self.log.append(
            {"at_ms": standin._wall_ms(), "what": what, "call": path, **shown}
        )

    def start_again(self) -> None:
        """Forget everything; only the id and the address stay."""
        self.discard_runs()
        self.born_ms = standin._wall_ms()
        self._started_s = time.monotonic()
        self._token = 0
        self._lease_ms = 0
        self._highest_number = {}
        self._ended = []
        self._unacknowledged = {}
        self._last_position = 0
        self.mode = standin.Mode.UP

    def carry_out(self, path: str) -> None:
        """Carry out a call that was held back."""
        body = self.held_back[self.machine, path]
        if path == "start":
            response = self._start(body)
            status = response.status
        elif self._accept_token(body):
            self._acknowledge_ends(body["ack_cursor"])
            self._extend_lease(body.get("deadline_ms"))
            status = 200
        else:
            status = 409
        late_ms = standin._wall_ms() - body["sent_ms"]
        self.note(f"carried out {late_ms} ms late: {status}", path, body)


class Machines(standin.Machines):
    """The machine service, which also controls the late calls."""

    def application(self) -> web.Application:
        app = super().application()
        app.router.add_post("/late", self._hold_back)
        app.router.add_get("/late", self._list_held_back)
        app.router.add_post("/return", self._return)
        app.router.add_get("/log", self._list_log)
        return app

    async def _hold_back(self, request: web.Request) -> web.Response:
        LateWorker.wanted.add((request.query["machine"], request.query["path"]))
        return standin._json({})

    async def _list_held_back(self, request: web.Request) -> web.Response:
        return standin._json([list(key) for key in LateWorker.held_back])

    async def _list_log(self, request: web.Request) -> web.Response:
        return standin._json(LateWorker.log)

    async def _return(self, request: web.Request) -> web.Response:
        machine = self._machines[request.query["machine"]]
        times = {
            name: int(request.query[name]) / 1_000
            for name in ("dark_ms", "register_ms", "start_ms", "hold_ms")
            if name in request.query
        }
        worker = machine.worker
        assert isinstance(worker, LateWorker)
        LateWorker.wanted.clear()
        worker.mode = standin.Mode.UNRESPONSIVE
        worker.discard_runs()
        worker.note("crashes", "", {})
        self._tasks.add(asyncio.create_task(self._start_again(worker, times)))
        return standin._json({})

    async def _start_again(
        self, worker: LateWorker, times: dict[str, float]
    ) -> None:
        await asyncio.sleep(min(times["dark_ms"], _SILENCE_S))
        if times["dark_ms"] > _SILENCE_S:
            await self._unregister(worker)
            worker.note("is removed from the store", "", {})
            await asyncio.sleep(times["dark_ms"] - _SILENCE_S)
        # The heartbeats begin with the registration.
        self._cut_off.add(worker.machine)
        worker.registered_s = time.monotonic()
        worker.start_again()
        worker.note("is back under its id", "", {})
        loop = asyncio.get_running_loop()
        for path in ("start", "hold"):
            if f"{path}_ms" in times:
                loop.call_later(times[f"{path}_ms"], worker.carry_out, path)
        await asyncio.sleep(times["register_ms"])
        await self._register(worker)
        self._cut_off.discard(worker.machine)
        worker.note("is registered", "", {})


if __name__ == "__main__":
    standin.Worker = LateWorker  # type: ignore[misc]
    standin.Machines = Machines  # type: ignore[misc]
    sys.exit(standin.main())
