"""VMs that carry their tasks out, in virtual time."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import enum
import random
from typing import TypeVar

import msgspec

from support import fake_vms
from support.sim import loop as loop_module
from support.sim import oracle as oracle_module
from support.sim import truth as truth_module
from wagtailtiller import clock as clock_module
from wagtailtiller import ids
from wagtailtiller.jobs import job as job_module
from wagtailtiller.jobs import model
from wagtailtiller.ports import vms

_T = TypeVar("_T")
_ONE_WAY_DELAY_MS = 0.6
_COMMAND_TIMEOUT_MS = 800
_HOLD_TIMEOUT_MS = 600
_EXPIRY_CHECK_S = 0.05
_CHECKPOINT_INTERVAL_MS = 500
_RESTORE_MS = 100
_LATE_DELAY_MS = (2_000, 12_000)


class Health(enum.Enum):
    """How a VM treats what it starts."""

    HEALTHY = "sound"
    FAILS = "fails"
    HANGS = "hangs"


@dataclasses.dataclass
class _Work:
    started_ms: int
    base_ms: int
    total_ms: int
    timer: asyncio.TimerHandle | None


class SimVm(fake_vms.FakeVm):
    """One life of a VM.

    Args:
        vm_report: What it registers.
        clock: Its clock.
        jobs: How tasks really behave.
        oracle: Is told of all starts and ends.

    Attributes:
        health: How it treats what it starts.
        slowdown_factor: How many times longer everything takes.
        partitioned: Processes that do not reach it.
        late_share: The share of orders that are carried out late.
        dead: It has ended.
        lease_expired_ms: When its lease was last found over.
    """

    def __init__(
        self,
        vm_report: vms.VmReport,
        clock: clock_module.Clock,
        jobs: truth_module.Jobs,
        oracle: "oracle_module.Oracle",
    ) -> None:
        super().__init__(vm_report, clock)
        self.health = Health.HEALTHY
        self.slowdown_factor = 1.0
        self.partitioned: set[str] = set()
        self.late_share = 0.0
        self.dead = False
        self.lease_expired_ms = 0
        self._jobs = jobs
        self._oracle = oracle
        self._works: dict[model.TaskId, _Work] = {}
        self._news = asyncio.Event()

    async def run(self) -> None:
        """Let leases lapse until it dies."""
        while not self.dead:
            await asyncio.sleep(_EXPIRY_CHECK_S)
            self.expire()

    def expire(self) -> None:
        """End what runs if the lease is over."""
        if self._clock.monotonic_ms() >= self.lease_until_ms:
            self.lease_expired_ms = self._clock.monotonic_ms()
        super().expire()

    def power_off(self) -> None:
        """End everything without a word."""
        self.dead = True
        for task, run in list(self.running.items()):
            self._drop_work(task)
            self._oracle.ended(self, task, run.number, job_module.EndKind.LOST)
        self.running.clear()
        self._news.set()

    def end(self, task: model.TaskId, kind: job_module.EndKind) -> None:
        """End a run and list it."""
        number = self.running[task].number
        saved = self._saved(task)
        self._drop_work(task)
        super().end(task, kind)
        if saved and kind is not job_module.EndKind.DONE:
            listed = self.ended[-1]
            self.ended[-1] = vms.ListedEnd(
                listed.position, task, number, kind, saved
            )
        self._oracle.ended(self, task, number, kind)
        self._news.set()

    def rack_label(self) -> str:
        """Return where it stands."""
        return self.report.labels[1]

    def free_millicores(self) -> int:
        """Return what is not taken."""
        taken = sum(
            step.cpu_millicores
            for step in map(self._jobs.step, self.running)
            if step is not None and not step.filler
        )
        return self.report.capacity.cpu_millicores - taken

    def _has_room(self, order: vms.StartOrder) -> bool:
        step = self._jobs.step(order.task)
        if step is None or step.filler:
            return True
        memory_mb = sum(
            other.memory_mb
            for other in map(self._jobs.step, self.running)
            if other is not None
        )
        return (
            step.cpu_millicores <= self.free_millicores()
            and memory_mb + step.memory_mb <= self.report.capacity.memory_mb
        )

    def _start(self, order: vms.StartOrder) -> vms.OrderOutcome:
        repeated = order.task in self.running
        outcome = super()._start(order)
        if outcome is vms.OrderOutcome.DONE and not repeated:
            self._oracle.started(self, order)
            self._begin(order)
        return outcome

    def _begin(self, order: vms.StartOrder) -> None:
        task = order.task
        sim_job = self._jobs.get(task.job)
        step = self._jobs.step(task)
        if sim_job is None or step is None:
            return
        now_ms = self._clock.monotonic_ms()
        total_ms = sim_job.run_ms[task.step][task.position]
        base_ms = int(order.checkpoint) if order.checkpoint else 0
        work = _Work(now_ms, base_ms, total_ms, None)
        self._works[task] = work
        if step.long_running or self.health is Health.HANGS:
            return
        kind = job_module.EndKind.DONE
        if sim_job.fails or self.health is Health.FAILS:
            kind = job_module.EndKind.FAILED
        restore_ms = _RESTORE_MS if base_ms else 0
        left_ms = (total_ms - base_ms) * self.slowdown_factor + restore_ms
        work.timer = asyncio.get_running_loop().call_later(
            left_ms / 1_000,
            self._finish,
            task,
            kind,
            context=loop_module.context(""),
        )

    def _finish(self, task: model.TaskId, kind: job_module.EndKind) -> None:
        if task in self.running:
            self.end(task, kind)

    def _saved(self, task: model.TaskId) -> str:
        step = self._jobs.step(task)
        work = self._works.get(task)
        if step is None or work is None or not step.checkpointing:
            return ""
        done_ms = self._done_ms(work)
        return (
            str(done_ms - done_ms % _CHECKPOINT_INTERVAL_MS) if done_ms else ""
        )

    def _done_ms(self, work: _Work) -> int:
        if self.health is Health.HANGS:
            return work.base_ms
        worked_ms = (
            self._clock.monotonic_ms() - work.started_ms
        ) / self.slowdown_factor
        return min(work.total_ms, work.base_ms + int(worked_ms))

    def _listed(
        self, task: model.TaskId, run: fake_vms.HeldRun
    ) -> vms.ListedRun:
        work = self._works[task]
        percent = 100 * self._done_ms(work) // max(1, work.total_ms)
        return vms.ListedRun(task, run.number, self._saved(task), percent, 0)

    def _drop_work(self, task: model.TaskId) -> None:
        work = self._works.pop(task, None)
        if work is not None and work.timer is not None:
            work.timer.cancel()

    def _forget_ends(self, acknowledged: int) -> None:
        for end in self.ended:
            if end.position <= acknowledged:
                self._oracle.acknowledged(self, end)
        super()._forget_ends(acknowledged)

    async def _wait_for_news(self, wait_ms: int) -> None:
        if not wait_ms or self.ended:
            return
        self._news.clear()
        news = asyncio.ensure_future(self._news.wait())
        await asyncio.wait({news}, timeout=wait_ms / 1_000)
        news.cancel()


class SimVmClient:
    """One process's connection to a VM.

    Args:
        vm: The VM; None if nothing listens at that address.
        process: Whose connection.
        rng: Decides which orders come late.
    """

    def __init__(
        self, vm: SimVm | None, process: str, rng: random.Random
    ) -> None:
        self._vm = vm
        self._process = process
        self._rng = rng

    async def start(self, order: vms.StartOrder) -> vms.OrderAnswer:
        """Start a task."""
        return await self._order(lambda vm: vm.start(order))

    async def stop(
        self, task: model.TaskId, number: int, token: int
    ) -> vms.OrderAnswer:
        """Stop a run."""
        return await self._order(lambda vm: vm.stop(task, number, token))

    async def set_speed(
        self, task: model.TaskId, number: int, percent: int, token: int
    ) -> vms.OrderAnswer:
        """Set a run's pace."""
        return await self._order(
            lambda vm: vm.set_speed(task, number, percent, token)
        )

    async def hold(
        self,
        token: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_ms: int,
    ) -> vms.HoldAnswer:
        """Extend the lease and list the runs."""
        call = self._carry(
            lambda vm: vm.hold(token, acknowledged, lease_until_ms, wait_ms),
            late=False,
        )
        answer = await loop_module.call_remote(call, wait_ms + _HOLD_TIMEOUT_MS)
        return answer or vms.HoldAnswer(vms.OrderOutcome.UNANSWERED)

    async def close(self) -> None:
        """Do nothing."""

    async def _order(
        self, operation: Callable[[SimVm], Awaitable[vms.OrderAnswer]]
    ) -> vms.OrderAnswer:
        late_share = self._vm.late_share if self._vm is not None else 0.0
        late = self._rng.random() < late_share
        answer = await loop_module.call_remote(
            self._carry(operation, late), _COMMAND_TIMEOUT_MS
        )
        return answer or vms.OrderAnswer(vms.OrderOutcome.UNANSWERED)

    async def _carry(
        self, operation: Callable[[SimVm], Awaitable[_T]], late: bool
    ) -> _T:
        vm = self._vm
        await asyncio.sleep(_ONE_WAY_DELAY_MS / 1_000)
        if vm is None or vm.dead or self._process in vm.partitioned:
            return await loop_module.wait_forever()
        if late:
            await asyncio.sleep(self._rng.uniform(*_LATE_DELAY_MS) / 1_000)
        answer = await operation(vm)
        await asyncio.sleep(_ONE_WAY_DELAY_MS / 1_000)
        if late or vm.dead or self._process in vm.partitioned:
            await loop_module.wait_forever()
        return answer


def vm_report(
    name: str,
    pool: ids.PoolId,
    machine: str,
    born_ms: int,
    rack: str,
    capacity: vms.Resources,
) -> vms.VmReport:
    """Return what a VM of the simulation registers."""
    report = fake_vms.report(
        name, pool, born_ms, labels=("a", rack), capacity=capacity
    )
    return msgspec.structs.replace(report, machine=ids.MachineId(machine))
