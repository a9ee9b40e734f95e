"""The pool owner's connection to one VM.

Hold requests renew the lease of the VM's runs and return the list of its runs.
Start, stop and speed commands do not wait for a pending hold request.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import enum

from wagtailtiller import clock as clock_module
from wagtailtiller import errors
from wagtailtiller import events
from wagtailtiller import tasks
from wagtailtiller.owner import acknowledgements
from wagtailtiller.owner import job_writer
from wagtailtiller.owner import requests
from wagtailtiller.owner import start_gate
from wagtailtiller.owner import start_sender
from wagtailtiller.ports import vms
from wagtailtiller.scheduling import commands
from wagtailtiller.scheduling import pool as pool_module
from wagtailtiller.scheduling import vm as vm_module

_HOLD_WAIT_MS = 1_000
# Bounds the time for which storing ended runs delays the next lease renewal.
_FLUSH_TIMEOUT_MS = 500
_FLUSH_RETRY_MS = 200
# Bounds the time for which a lookup of jobs delays the next lease renewal.
_READ_TIMEOUT_MS = 200
_READ_RETRY_MS = 200
# Stops and speed commands do not wait behind starts.
_MAX_OPEN_STOPS = 2


class _HoldOutcome(enum.Enum):
    LISTED = "listed"
    FAILED = "failed"
    OVERTAKEN = "overtaken"


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
        find_stored: Looks a job up in the store, and adds it to the pool if it
            is stored.

    Attributes:
        vm: State of the VM.
        on_change: As above.
        on_fenced: As above.
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
        find_stored: requests.FindStored,
    ) -> None:
        self.vm = vm
        self._pool = pool
        self._client = client
        self._job_writer = writer
        self._clock = clock
        self._lease_ms = lease_ms
        self.on_change = on_change
        self.on_fenced = on_fenced
        self._find_stored = find_stored
        self._listed_ms = 0
        self._acknowledgements = acknowledgements.Acknowledgements(vm, clock)
        self._flush: job_writer.Flush | None = None
        self._flush_position = 0
        self._lookup: asyncio.Task[None] | None = None
        self._gate = gate
        self._start_sender = start_sender.StartSender(
            pool,
            vm,
            client,
            clock,
            gate,
            lease_ms,
            self,
            self._acknowledgements.starts_allowed,
        )
        self._stop_slots = asyncio.Semaphore(_MAX_OPEN_STOPS)
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
                self._command_tasks.spawn(self._start_sender.send(command))
            case commands.Stop() | commands.StopOrphan():
                self._command_tasks.spawn(self._stop(command))
            case commands.SetSpeed():
                self._command_tasks.spawn(self._set_speed(command))
            case commands.Probe():
                self._command_tasks.spawn(self._probe())

    async def _run(self) -> None:
        pause = start_sender.RetryPause()
        while True:
            is_listed = await self.hold(self._wait_ms())
            if self.vm.unread_jobs:
                await self._read_jobs()
            if self.vm.has_unstored_ends:
                await self._store_ended_runs()
            await self._acknowledgements.wait_for_starts()
            if is_listed:
                pause = start_sender.RetryPause()
            else:
                await pause.wait()

    def _wait_ms(self) -> int:
        if self.vm.status is not vm_module.VmStatus.USABLE:
            return 0
        is_behind = self.vm.has_unstored_ends or self.vm.unread_jobs
        return 0 if is_behind else _HOLD_WAIT_MS

    async def _read_jobs(self) -> None:
        # A lookup that takes long is continued after the next renewal of the
        # lease.
        if self._lookup is None or self._lookup.done():
            self._lookup = self._command_tasks.spawn(self._look_up_jobs())
        await asyncio.wait({self._lookup}, timeout=_READ_TIMEOUT_MS / 1_000)

    async def _look_up_jobs(self) -> None:
        for job in list(self.vm.unread_jobs):
            result = await self._find_stored(job)
            if result.is_error():
                await asyncio.sleep(_READ_RETRY_MS / 1_000)
                return
            # A stored job that cannot be decoded is not in the pool either.
            if job in self.vm.unread_jobs and job not in self._pool.entries:
                self.vm.absent_jobs.add(job)

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
        self.vm.stored_end_position = self._flush_position
        events.emit(
            events.Event.RUNS_ACKNOWLEDGED,
            vm=self.vm.report.vm,
            position=self.vm.stored_end_position,
            revision=self._job_writer.committed_revision,
        )

    async def hold(self, wait_ms: int, may_renew: bool = True) -> bool:
        """Renew the lease of the VM's runs and apply the listing of its runs.

        Args:
            wait_ms: Longest time that the VM waits for a run to end before it
                responds.
            may_renew: Whether the lease is renewed. A VM that is likely to be
                lost keeps the end of its lease, at which its runs start
                elsewhere.

        Returns:
            Whether a listing was received.
        """
        outcome = await self._hold_once(wait_ms, may_renew)
        while outcome is _HoldOutcome.OVERTAKEN:
            outcome = await self._hold_once(wait_ms, may_renew)
        return outcome is _HoldOutcome.LISTED

    async def _hold_once(self, wait_ms: int, may_renew: bool) -> _HoldOutcome:
        sent_ms = self._clock.monotonic_ms()
        token = self.vm.token
        until_ms = None
        # A hold request without a response may still extend the lease later.
        # Requests to an unresponsive VM carry no lease, since each would
        # postpone the time at which the VM's runs are discarded.
        renews = (
            may_renew
            and self._gate.may_command()
            and self.vm.unresponsive_since_ms is None
        )
        if self.vm.lease.vm_clock_ms and renews:
            until_ms = self.vm.lease.extend(sent_ms, self._lease_ms)
        acknowledged = self._acknowledgements.take_position()
        response = await self._client.hold(
            token, acknowledged, until_ms, wait_ms
        )
        if response.listing is None:
            if self._was_overtaken(token, response.outcome):
                return _HoldOutcome.OVERTAKEN
            self._handle_failure(token, sent_ms, response.outcome)
            return _HoldOutcome.FAILED
        listing = response.listing
        if listing.born_ms and listing.born_ms != self.vm.report.born_ms:
            # The request has set the lease of another life.
            self.vm.lease.cover(self._pool.longest_lease_end_ms())
            self._handle_failure(token, sent_ms, vms.CommandOutcome.OTHER_VM)
            return _HoldOutcome.FAILED
        if not self._apply_listing(token, sent_ms, listing):
            self._handle_failure(token, sent_ms, vms.CommandOutcome.INVALID)
            return _HoldOutcome.FAILED
        self._acknowledgements.record_listing(acknowledged)
        self.on_change()
        return _HoldOutcome.LISTED

    def _was_overtaken(self, token: int, outcome: vms.CommandOutcome) -> bool:
        """Return whether a call was refused since a later one had arrived."""
        return outcome is vms.CommandOutcome.FENCED and token < self.vm.token

    async def _probe(self) -> None:
        await self.hold(0, may_renew=False)

    def _apply_listing(
        self, token: int, sent_ms: int, listing: vms.Listing
    ) -> bool:
        """Apply a listing; return False if that fails unexpectedly.

        The VM then counts as unresponsive. The owner and its other VMs are not
        affected.
        """
        listed_ms = self._clock.monotonic_ms()
        try:
            issued = self._pool.run_reconciler.apply_listing(
                self.vm, token, sent_ms, listing
            )
        except errors.InvariantError:
            raise
        except Exception as error:
            events.emit(
                events.Event.VM_LISTING_FAILED,
                vm=self.vm.report.vm,
                reason=repr(error),
            )
            return False
        self._listed_ms = listed_ms
        self._pool.vm_tracker.mark_responsive(
            self.vm, listing.clock_ms, listed_ms
        )
        for command in issued:
            self.send(command)
        return True

    def _handle_failure(
        self, token: int, sent_ms: int, outcome: vms.CommandOutcome
    ) -> None:
        if outcome is vms.CommandOutcome.FENCED:
            self.on_fenced()
            return
        self._acknowledgements.record_failure()
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
        self._pool.vm_tracker.mark_unresponsive(self.vm, sent_ms)
        self.on_change()

    async def _send_in_order(
        self, send: Callable[[int], Awaitable[vms.CommandResponse]]
    ) -> vms.CommandResponse:
        """Send a command, once more if a later call has overtaken it.

        Args:
            send: Sends the command under a fencing token.
        """
        while True:
            token = self.vm.token
            response = await send(token)
            was_overtaken = self._was_overtaken(token, response.outcome)
            if not was_overtaken or not self._gate.may_command():
                return response

    async def _stop(self, command: commands.Stop | commands.StopOrphan) -> None:
        run = command.run
        outcome = "not_sent"
        async with self._stop_slots:
            # This process may have been paused while the command waited.
            if self._gate.may_command():
                response = await self._send_in_order(
                    lambda token: self._client.stop(
                        run.task.id, run.number, token
                    )
                )
                outcome = response.outcome.value
        events.emit(
            events.Event.RUN_STOPPED,
            job=run.task.id.job,
            task=run.task.id[1:],
            run=run.number,
            vm=self.vm.report.vm,
            reason=getattr(command, "reason", "unknown_run"),
            outcome=outcome,
        )

    async def _set_speed(self, command: commands.SetSpeed) -> None:
        run = command.run
        outcome = "not_sent"
        async with self._stop_slots:
            if self._gate.may_command():
                response = await self._send_in_order(
                    lambda token: self._client.set_speed(
                        run.task.id, run.number, command.percent, token
                    )
                )
                outcome = response.outcome.value
        if outcome in ("not_sent", vms.CommandOutcome.UNANSWERED.value):
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
            outcome=outcome,
        )
