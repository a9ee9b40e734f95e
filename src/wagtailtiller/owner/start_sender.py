"""Sends start commands to one VM and resolves those without a response.

A start waits for its turn before its timeout begins, and is dropped if it is no
longer wanted by then.
"""

import asyncio
from typing import Protocol

from wagtailtiller import clock as clock_module
from wagtailtiller import events
from wagtailtiller.jobs import task as task_module
from wagtailtiller.owner import start_gate
from wagtailtiller.ports import vms
from wagtailtiller.scheduling import commands
from wagtailtiller.scheduling import pool as pool_module
from wagtailtiller.scheduling import vm as vm_module

_MIN_PAUSE_MS = 150
# VMs that are maintained or moved do not answer for seconds, many at once.
_MAX_PAUSE_MS = 600
# The VM's client opens as many connections for starts, so that none waits for
# a connection while its timeout runs.
_MAX_OPEN_STARTS = 3


class RetryPause:
    """The pause after a hold that failed, which doubles with each wait."""

    def __init__(self) -> None:
        self._pause_ms = _MIN_PAUSE_MS

    async def wait(self) -> None:
        """Sleep and double the next pause, up to a limit."""
        await asyncio.sleep(self._pause_ms / 1_000)
        self._pause_ms = min(2 * self._pause_ms, _MAX_PAUSE_MS)


class Link(Protocol):
    """The connection to the VM, as the sender uses it."""

    def on_change(self) -> None:
        """Report that the pool must be planned again."""

    def on_fenced(self) -> None:
        """Report that the VM has seen the token of a newer owner."""

    async def hold(self, wait_ms: int) -> bool:
        """Renew the lease of the VM's runs and apply the listing of its runs.

        Args:
            wait_ms: Longest time that the VM waits for a run to end.

        Returns:
            Whether a listing was received.
        """


class StartSender:
    """Sends the start commands of one VM.

    Args:
        pool: Pool of the VM.
        vm: State of the VM.
        client: Client that sends commands to the VM.
        clock: Clock that supplies the current time.
        gate: Decides when start commands may be sent.
        lease_ms: Duration of a lease, in ms.
        link: Connection to the VM.
        allowed: Set while starts may be sent.
    """

    def __init__(
        self,
        pool: pool_module.Pool,
        vm: vm_module.Vm,
        client: vms.VmClient,
        clock: clock_module.Clock,
        gate: start_gate.StartGate,
        lease_ms: int,
        link: Link,
        allowed: asyncio.Event,
    ) -> None:
        self._pool = pool
        self._vm = vm
        self._client = client
        self._clock = clock
        self._gate = gate
        self._lease_ms = lease_ms
        self._link = link
        self._allowed = allowed
        self._slots = asyncio.Semaphore(_MAX_OPEN_STARTS)
        self._resolution_lock = asyncio.Lock()

    async def send(self, command: commands.Start) -> None:
        """Send a start command when its turn comes, and resolve its outcome.

        Args:
            command: Start command of a run that the pool has planned.
        """
        async with self._slots:
            await self._allowed.wait()
            async with self._gate.slots:
                outcome = await self._send_start(command)
        if outcome is None:
            return
        if self._pool.run_reconciler.apply_start_outcome(
            self._vm, command.run, outcome
        ):
            await self._resolve_unknown_start(command.run)
        self._link.on_change()

    async def _send_start(
        self, command: commands.Start
    ) -> vms.CommandOutcome | None:
        """Send a start command; None if its outcome needs no handling."""
        run = command.run
        now_ms = self._clock.monotonic_ms()
        if not self._may_start(run, now_ms):
            self._log_start(run, self._vm.token, "not_sent", 0)
            self._pool.run_reconciler.apply_unsent_start(self._vm, run)
            self._link.on_change()
            return None
        if self._vm.acknowledged_token == self._vm.token:
            # The acknowledgement may be executed after the start, late and by
            # the next life of the VM, which must not discard its end by it.
            self._pool.vm_tracker.raise_token(self._vm)
        token = self._vm.token
        start_command = vms.StartCommand(
            run.task.id,
            run.number,
            command.payload,
            self._vm.lease.extend(now_ms, self._lease_ms),
            token,
            run.task.checkpoint,
            command.ticket,
        )
        run.sent_ms = now_ms
        known_clock_ms = self._vm.lease.vm_clock_ms
        response = await self._client.start(start_command)
        took_ms = self._clock.monotonic_ms() - now_ms
        self._log_start(run, token, response.outcome.value, took_ms)
        if response.outcome is not vms.CommandOutcome.UNANSWERED:
            self._vm.record_answer(now_ms, now_ms + took_ms)
        if 0 < response.clock_ms < known_clock_ms:
            # A clock that goes back is that of another life, whose lease the
            # command has set.
            self._vm.lease.cover(self._pool.longest_lease_end_ms())
        was_fenced = response.outcome is vms.CommandOutcome.FENCED
        if was_fenced and token == self._vm.token:
            self._link.on_fenced()
            return None
        if response.outcome is vms.CommandOutcome.UNANSWERED and (
            token == self._vm.token
        ):
            # Once the VM has seen a higher fencing token, it refuses the start
            # command whose outcome is unknown.
            self._pool.vm_tracker.raise_token(self._vm)
        return response.outcome

    def _may_start(self, run: task_module.Run, now_ms: int) -> bool:
        # The run was planned before the command waited for its turn.
        entry = self._pool.entries.get(run.task.id.job)
        return (
            self._gate.may_start()
            and entry is not None
            and not entry.job.is_final()
            and not run.task.done
            and self._vm.runs.get(run.task.id) is run
            and self._vm.open_for_starts(now_ms)
            and not self._vm.is_held_back(now_ms)
            and self._vm.still_fits(run)
        )

    def _log_start(
        self, run: task_module.Run, token: int, outcome: str, took_ms: int
    ) -> None:
        events.emit(
            events.Event.RUN_STARTED,
            job=run.task.id.job,
            task=run.task.id[1:],
            run=run.number,
            vm=self._vm.report.vm,
            token=token,
            outcome=outcome,
            took_ms=took_ms,
            lease_age_ms=self._gate.lease_age_ms(),
        )

    async def _resolve_unknown_start(self, run: task_module.Run) -> None:
        # One listing resolves all unknown starts of the VM.
        async with self._resolution_lock:
            pause = RetryPause()
            while self._is_unknown(run):
                await self._link.hold(0)
                if self._is_unknown(run):
                    # No response, or a list of ended runs that is not complete.
                    await pause.wait()

    def _is_unknown(self, run: task_module.Run) -> bool:
        return (
            run.phase is task_module.RunPhase.UNCERTAIN
            and self._vm.runs.get(run.task.id) is run
        )
