"""The project's stand-in for workers, with gangs and checkpoints.

The payload of a gang's task holds ``gang=N`` with the number of members. The
members of one run work together from the moment at which all of them are
present with the same checkpoint, since all must carry the same value. A member
that waits longer than ``gang_ms`` for the others ends ``alone``. If one ends,
the others end ``broken``. Each member saves a new value every ``save_s`` of
work; it holds how far the gang has come.

``POST /crash?machine=M&for_ms=T`` lets the worker of a machine crash; it starts
again under a new id after that time. Four machines stand in one rack.
"""

import asyncio
import dataclasses
import sys
import urllib.parse

from aiohttp import web

from support.standins import serving
from support.standins import workers as standin

_GANG_MS = 3_000
_SAVE_MS = 500
_TICK_S = 0.05
_MACHINES_PER_RACK = 4


@dataclasses.dataclass
class _Member:
    worker: "GangWorker"
    task: str
    number: int
    checkpoint: str
    size: int
    total_ms: int
    arrived_ms: int
    work_ms: int = 0
    together: bool = False
    saved: str = ""


class GangWorker(standin.Worker):
    """A worker that runs members of gangs."""

    members: dict[tuple[str, int], list[_Member]] = {}
    sent: list[dict] = []

    def registration(self) -> dict[str, object]:
        number = int(self.machine.rpartition("-")[2])
        rack = f"r1-{1 + number // _MACHINES_PER_RACK}"
        return {**super().registration(), "labels": ["a", rack]}

    def _start(self, body: dict) -> web.Response:
        parameters = dict(urllib.parse.parse_qsl(body["spec"]))
        if "gang" not in parameters:
            return super()._start(body)
        known = self._runs.get(body["task"])
        is_new = known is None or known.number != body["run"]
        response = super()._start({**body, "spec": "work_ms=3600000"})
        if response.status == 200 and is_new:
            step = body["task"].rpartition(".")[0]
            checkpoint = body.get("checkpoint", "")
            GangWorker.sent.append(
                {
                    "at_ms": standin._wall_ms(),
                    "task": body["task"],
                    "run": body["run"],
                    "worker": self.id,
                    "checkpoint": checkpoint,
                }
            )
            work_ms = int(checkpoint, 16) if checkpoint else 0
            self.members.setdefault((step, body["run"]), []).append(
                _Member(
                    self,
                    body["task"],
                    body["run"],
                    checkpoint,
                    int(parameters["gang"]),
                    int(parameters["work_ms"]),
                    standin._wall_ms(),
                    work_ms,
                    saved=checkpoint,
                )
            )
        return response

    def _end(self, task: str, how: str) -> None:
        run = self._runs.get(task)
        if run is None:
            return
        group = self.members.get((task.rpartition(".")[0], run.number), [])
        member = next((m for m in group if m.task == task), None)
        super()._end(task, how)
        if member is None:
            return
        group.remove(member)
        self._ended[-1][4] = "" if how == "done" else member.saved
        if member.together:
            for other in list(group):
                other.worker._end(
                    other.task, "done" if how == "done" else "broken"
                )

    def discard_runs(self) -> None:
        for task in list(self._runs):
            key = (task.rpartition(".")[0], self._runs[task].number)
            group = self.members.get(key, [])
            member = next((m for m in group if m.task == task), None)
            if member is not None:
                group.remove(member)
                if member.together:
                    for other in list(group):
                        other.worker._end(other.task, "broken")
        super().discard_runs()

    def listing_row(self, row: list) -> list:
        """Return a row of the runs with the progress of a member."""
        task, number, _, percent, usage = row
        for member in self.members.get((task.rpartition(".")[0], number), []):
            if member.task == task:
                percent = min(99, 100 * member.work_ms // member.total_ms)
                return [task, number, member.saved, percent, usage]
        return row

    def _respond(self, status: int, **fields: object) -> web.Response:
        if "running" in fields:
            fields["running"] = [self.listing_row(r) for r in fields["running"]]
        return super()._respond(status, **fields)


async def _work() -> None:
    """Let the gangs work."""
    while True:
        await asyncio.sleep(_TICK_S)
        now_ms = standin._wall_ms()
        for group in list(GangWorker.members.values()):
            for member in list(group):
                if member not in group:
                    continue
                same = [m for m in group if m.checkpoint == member.checkpoint]
                if len(same) == member.size:
                    member.together = True
                if not member.together:
                    if now_ms - member.arrived_ms > _GANG_MS:
                        member.worker._end(member.task, "alone")
                    continue
                before = member.work_ms // _SAVE_MS
                member.work_ms += int(_TICK_S * 1_000)
                if member.work_ms // _SAVE_MS > before:
                    member.saved = f"{member.work_ms:08x}"
                if member.work_ms >= member.total_ms:
                    member.worker._end(member.task, "done")


class Machines(standin.Machines):
    """The machine service, which also lets workers crash."""

    def application(self) -> web.Application:
        app = super().application()
        app.router.add_post("/crash", self._crash)
        app.router.add_get("/sent", self._list_sent)
        app.cleanup_ctx.append(self._run_gangs)
        return app

    async def _run_gangs(self, app: web.Application) -> serving.Context:
        task = asyncio.create_task(_work())
        yield
        task.cancel()

    async def _list_sent(self, request: web.Request) -> web.Response:
        return standin._json(GangWorker.sent)

    async def _crash(self, request: web.Request) -> web.Response:
        machine = self._machines[request.query["machine"]]
        machine.state = "down"
        worker, runner = machine.worker, machine.runner
        machine.worker = machine.runner = None
        assert worker is not None and runner is not None
        worker.discard_runs()
        task = asyncio.create_task(
            self._restart(machine, worker, runner, int(request.query["for_ms"]))
        )
        self._tasks.add(task)
        return standin._json({})

    async def _restart(
        self,
        machine: standin._Machine,
        worker: standin.Worker,
        runner: web.AppRunner,
        for_ms: int,
    ) -> None:
        await runner.cleanup()
        # The entry goes after three heartbeat intervals of silence.
        await asyncio.sleep(min(for_ms, 1_500) / 1_000)
        await self._unregister(worker)
        await asyncio.sleep(max(0, for_ms - 1_500) / 1_000)
        await self._start_worker(machine)


if __name__ == "__main__":
    standin.Worker = GangWorker  # type: ignore[misc]
    standin.Machines = Machines  # type: ignore[misc]
    sys.exit(standin.main())
