"""The pool owner's connection to one VM.

Hold requests renew the lease of the VM's runs and return the list of its runs.
Start, stop and speed commands do not wait for a pending hold request.
"""

import asyncio
from collections.abc import Callable

from wagtailtiller import clock as clock_module
from wagtailtiller import events
from wagtailtiller import tasks
from wagtailtiller.jobs import job as job_module
from wagtailtiller.owner import job_writer
from wagtailtiller.owner import start_gate
from wagtailtiller.ports import vms
from wagtailtiller.scheduling import commands
from wagtailtiller.scheduling import pool as pool_module
from wagtailtiller.scheduling import vm as vm_module

_HOLD_WAIT_MS = 1_000
_RETRY_MS = 150
# VMs that are maintained or moved do not answer for seconds, many at once.
_MAX_RETRY_MS = 600
# Bounds the time for which storing ended runs delays the next lease renewal.
_FLUSH_TIMEOUT_MS = 500
_FLUSH_RETRY_MS = 200
# The VM's client opens as many connections for commands, so that no command
# waits for one while its timeout runs. Stops do not wait behind starts.
_MAX_OPEN_STARTS = 3
_MAX_OPEN_STOPS = 1


class VmLink:
    """Renews the lease of one VM's runs and sends commands to the VM.

    Args:
        pool: Pool of the VM.
        vm: State of the VM.
        client: Client that sends commands to the VM.
        writer: Writer that stores ended runs before they are acknowledged;
            the VM discards acknowledged ones.
        clock: Clock that supplies the current time.
        gate: Decides when start commands may be sent.
        lease_ms: Duration of a lease, in ms.
        on_change: Called when a response has changed the pool, so that it
            must be planned again.
        on_fenced: Called when the VM refuses the fencing token, because it
            has seen the token of a newer owner.

    Attributes:
        vm: State of the VM.
    """

    def __init__(
        self,
        pool: pool_module.Pool,
        vm: vm_module.Vm,
        client: vms.VmClient,
        writer: job_writer.JobWriter,
        clock: clock_module.Clock,
        gate: start_gate.StartGate,
        lease_ms: int,
        on_change: Callable[[], None],
        on_fenced: Callable[[], None],
    ) -> None:
        self.vm = vm
        self._pool = pool
        self._client = client
        self._job_writer = writer
        self._clock = clock
        self._lease_ms = lease_ms
        self._on_change = on_change
        self._on_fenced = on_fenced
        self._acknowledged_position = 0
        self._listed_ms = 0
        self._flush: job_writer.Flush | None = None
        self._flush_position = 0
        self._gate = gate
        self._start_slots = asyncio.Semaphore(_MAX_OPEN_STARTS)
        self._stop_slots = asyncio.Semaphore(_MAX_OPEN_STOPS)
        self._resolution_lock = asyncio.Lock()
        self._command_tasks = tasks.TaskGroup()
        self._hold_task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Cancel all requests and commands, and close the connection."""
        await tasks.cancel_and_wait([self._hold_task])
        await self._command_tasks.cancel()
        await self._client.close()

    def send(self, command: commands.Command) -> None:
        """Send a command in the background."""
        match command:
            case commands.Start():
                self._command_tasks.spawn(self._start(command))
            case commands.Stop() | commands.StopOrphan():
                self._command_tasks.spawn(self._stop(command))
            case commands.SetSpeed():
                self._command_tasks.spawn(self._set_speed(command))

    async def _run(self) -> None:
        retry_ms = _RETRY_MS
        while True:
            if not await self._hold(self._wait_ms()):
                await asyncio.sleep(retry_ms / 1_000)
                retry_ms = min(2 * retry_ms, _MAX_RETRY_MS)
                continue
            retry_ms = _RETRY_MS
            if self.vm.last_end_position > self._acknowledged_position:
                await self._store_ended_runs()

    def _wait_ms(self) -> int:
        if self.vm.status is not vm_module.VmStatus.USABLE:
            return 0
        return (
            0
            if self.vm.last_end_position > self._acknowledged_position
            else _HOLD_WAIT_MS
        )

    async def _store_ended_runs(self) -> None:
        # A flush that takes long is continued after the next renewal of the
        # lease. A new one would have to wait for later changes as well.
        if self._flush is None:
            self._flush = self._job_writer.begin_flush()
            self._flush_position = self.vm.last_end_position
        if not await self._flush.wait(_FLUSH_TIMEOUT_MS):
            await asyncio.sleep(_FLUSH_RETRY_MS / 1_000)
            return
        self._flush = None
        self._acknowledged_position = self._flush_position
        events.emit(
            events.Event.RUNS_ACKNOWLEDGED,
            vm=self.vm.report.vm,
            position=self._acknowledged_position,
            revision=self._job_writer.committed_revision,
        )

    async def _hold(self, wait_ms: int) -> bool:
        sent_ms = self._clock.monotonic_ms()
        token = self.vm.token
        until_ms = None
        # A hold request without a response may still extend the lease later.
        # Requests to an unresponsive VM carry no lease, since each would
        # postpone the time at which the VM's runs are discarded.
        renews = (
            self._gate.may_command() and self.vm.unresponsive_since_ms is None
        )
        if self.vm.lease.vm_clock_ms and renews:
            until_ms = self.vm.lease.extend(sent_ms, self._lease_ms)
        response = await self._client.hold(
            token, self._acknowledged_position, until_ms, wait_ms
        )
        if response.listing is None:
            self._handle_failure(token, sent_ms, response.outcome)
            return False
        listing = response.listing
        if listing.born_ms and listing.born_ms != self.vm.report.born_ms:
            self._handle_failure(token, sent_ms, vms.CommandOutcome.OTHER_VM)
            return False
        self._listed_ms = self._clock.monotonic_ms()
        self._pool.vm_tracker.mark_responsive(
            self.vm, listing.clock_ms, self._listed_ms
        )
        for command in self._pool.run_reconciler.apply_listing(
            self.vm, token, sent_ms, listing
        ):
            self.send(command)
        self._on_change()
        return True

    def _handle_failure(
        self, token: int, sent_ms: int, outcome: vms.CommandOutcome
    ) -> None:
        if outcome is vms.CommandOutcome.FENCED:
            if token == self.vm.token:
                self._on_fenced()
            return
        if self._listed_ms > sent_ms:
            # The VM has answered a later request in the meantime.
            return
        if self.vm.unresponsive_since_ms is None:
            events.emit(
                events.Event.VM_SILENT,
                vm=self.vm.report.vm,
                outcome=outcome.value,
                runs=len(self.vm.runs),
                waited_ms=self._clock.monotonic_ms() - sent_ms,
            )
        self._pool.vm_tracker.mark_unresponsive(self.vm)
        self._on_change()

    async def _start(self, command: commands.Start) -> None:
        async with self._start_slots, self._gate.slots:
            outcome = await self._send_start(command)
        if outcome is None:
            return
        if self._pool.run_reconciler.apply_start_outcome(
            self.vm, command.run, outcome
        ):
            await self._resolve_unknown_start(command.run)
        self._on_change()

    async def _send_start(
        self, command: commands.Start
    ) -> vms.CommandOutcome | None:
        """Send a start command; None if its outcome needs no handling."""
        run = command.run
        token = self.vm.token
        now_ms = self._clock.monotonic_ms()
        if not self._may_start(run, now_ms):
            self._log_start(run, token, "not_sent", 0)
            self._pool.run_reconciler.apply_unsent_start(self.vm, run)
            self._on_change()
            return None
        start_command = vms.StartCommand(
            run.task.id,
            run.number,
            command.payload,
            self.vm.lease.extend(now_ms, self._lease_ms),
            token,
            run.task.checkpoint,
            command.ticket,
        )
        response = await self._client.start(start_command)
        took_ms = self._clock.monotonic_ms() - now_ms
        self._log_start(run, token, response.outcome.value, took_ms)
        was_fenced = response.outcome is vms.CommandOutcome.FENCED
        if was_fenced and token == self.vm.token:
            self._on_fenced()
            return None
        if response.outcome is vms.CommandOutcome.UNANSWERED and (
            token == self.vm.token
        ):
            # Once the VM has seen a higher fencing token, it refuses the start
            # command whose outcome is unknown.
            self._pool.vm_tracker.raise_token(self.vm)
        return response.outcome

    def _may_start(self, run: job_module.Run, now_ms: int) -> bool:
        # The run was planned before the command waited for its turn.
        entry = self._pool.entries.get(run.task.id.job)
        return (
            self._gate.may_command()
            and entry is not None
            and not entry.job.is_final()
            and not run.task.done
            and self.vm.runs.get(run.task.id) is run
            and self.vm.open_for_starts(now_ms)
        )

    def _log_start(
        self, run: job_module.Run, token: int, outcome: str, took_ms: int
    ) -> None:
        events.emit(
            events.Event.RUN_STARTED,
            job=run.task.id.job,
            task=run.task.id[1:],
            run=run.number,
            vm=self.vm.report.vm,
            token=token,
            outcome=outcome,
            took_ms=took_ms,
        )

    async def _resolve_unknown_start(self, run: job_module.Run) -> None:
        # One listing resolves all unknown starts of the VM.
        async with self._resolution_lock:
            retry_ms = _RETRY_MS
            while self._is_unknown(run):
                await self._hold(0)
                if self._is_unknown(run):
                    # No response, or a list of ended runs that is not complete.
                    await asyncio.sleep(retry_ms / 1_000)
                    retry_ms = min(2 * retry_ms, _MAX_RETRY_MS)

    def _is_unknown(self, run: job_module.Run) -> bool:
        return (
            run.phase is job_module.RunPhase.UNCERTAIN
            and self.vm.runs.get(run.task.id) is run
        )

    async def _stop(self, command: commands.Stop | commands.StopOrphan) -> None:
        run = command.run
        async with self._stop_slots:
            response = await self._client.stop(
                run.task.id, run.number, self.vm.token
            )
        events.emit(
            events.Event.RUN_STOPPED,
            job=run.task.id.job,
            task=run.task.id[1:],
            run=run.number,
            vm=self.vm.report.vm,
            reason=getattr(command, "reason", "unknown_run"),
            outcome=response.outcome.value,
        )

    async def _set_speed(self, command: commands.SetSpeed) -> None:
        run = command.run
        async with self._stop_slots:
            response = await self._client.set_speed(
                run.task.id, run.number, command.percent, self.vm.token
            )
        if response.outcome is vms.CommandOutcome.UNANSWERED:
            # The value differs from every speed, so that the command is sent
            # again after the next listing.
            run.speed_percent = -1
        events.emit(
            events.Event.RUN_PACED,
            job=run.task.id.job,
            task=run.task.id[1:],
            run=run.number,
            vm=self.vm.report.vm,
            percent=command.percent,
            outcome=response.outcome.value,
        )
