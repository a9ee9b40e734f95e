"""The owner's end of one VM: holds that keep leases alive, and orders."""

import asyncio
from collections.abc import Callable

from wagtailtiller import clock as clock_module
from wagtailtiller import events
from wagtailtiller import tasks
from wagtailtiller.owner import journal
from wagtailtiller.ports import vms
from wagtailtiller.scheduling import commands
from wagtailtiller.scheduling import pool as pool_module
from wagtailtiller.scheduling import vm as vm_module

_HOLD_WAIT_MS = 1_000
_RETRY_MS = 150
# How long ends may wait to be stored before the lease is renewed again.
_STORE_WAIT_MS = 500
_UNSTORED_PAUSE_MS = 200


class VmLink:
    """Talks to one VM for its pool's owner.

    Args:
        pool: The pool.
        vm: The VM.
        client: The connection to it.
        writer: Stores ends before the VM may forget them.
        clock: The time.
        lease_ms: How long leases are.
        news: Called when the pool has something to decide.
        fenced: Called when a newer owner's token was met.
    """

    def __init__(
        self,
        pool: pool_module.Pool,
        vm: vm_module.Vm,
        client: vms.VmClient,
        writer: journal.Journal,
        clock: clock_module.Clock,
        lease_ms: int,
        news: Callable[[], None],
        fenced: Callable[[], None],
    ) -> None:
        self.vm = vm
        self._pool = pool
        self._client = client
        self._journal = writer
        self._clock = clock
        self._lease_ms = lease_ms
        self._news = news
        self._fenced = fenced
        self._acknowledged = 0
        self._background = tasks.TaskGroup()
        self._loop = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop talking to the VM."""
        await tasks.end([self._loop])
        await self._background.cancel()
        await self._client.close()

    def order(self, command: commands.Command) -> None:
        """Give an order in the background."""
        match command:
            case commands.Start():
                self._background.spawn(self._start(command))
            case commands.Stop() | commands.StopOrphan():
                self._background.spawn(self._stop(command))
            case commands.SetSpeed():
                self._background.spawn(self._set_speed(command))

    async def _run(self) -> None:
        while True:
            if not await self._hold(self._wait_ms()):
                await asyncio.sleep(_RETRY_MS / 1_000)
                continue
            if self.vm.seen_end > self._acknowledged:
                await self._store_ends()

    def _wait_ms(self) -> int:
        if self.vm.status is not vm_module.VmStatus.USABLE:
            return 0
        return 0 if self.vm.seen_end > self._acknowledged else _HOLD_WAIT_MS

    async def _store_ends(self) -> None:
        position = self.vm.seen_end
        if await self._journal.flush(_STORE_WAIT_MS):
            self._acknowledged = position
        else:
            await asyncio.sleep(_UNSTORED_PAUSE_MS / 1_000)

    async def _hold(self, wait_ms: int) -> bool:
        sent_ms = self._clock.monotonic_ms()
        token = self.vm.token
        until_ms = None
        # An unanswered hold may arrive late; it must not extend the time
        # after which a silent VM is given up.
        if self.vm.lease.vm_clock_ms and self.vm.silent_since_ms is None:
            until_ms = self.vm.lease.extend(sent_ms, self._lease_ms)
        answer = await self._client.hold(
            token, self._acknowledged, until_ms, wait_ms
        )
        received_ms = self._clock.monotonic_ms()
        if answer.listing is None:
            self._note_failure(token, answer.outcome)
            return False
        listing = answer.listing
        if listing.born_ms and listing.born_ms != self.vm.report.born_ms:
            self._note_failure(token, vms.OrderOutcome.OTHER_VM)
            return False
        self._pool.vm_tracker.mark_answered(
            self.vm, listing.clock_ms, received_ms
        )
        for command in self._pool.listings.listed(
            self.vm, token, sent_ms, listing
        ):
            self.order(command)
        self._news()
        return True

    def _note_failure(self, token: int, outcome: vms.OrderOutcome) -> None:
        if outcome is vms.OrderOutcome.FENCED:
            if token == self.vm.token:
                self._fenced()
            return
        if self.vm.silent_since_ms is None:
            events.emit(
                events.Event.VM_SILENT,
                vm=self.vm.report.vm,
                outcome=outcome.value,
                runs=len(self.vm.runs),
            )
        self._pool.vm_tracker.mark_unresponsive(self.vm)
        self._news()

    async def _start(self, command: commands.Start) -> None:
        run = command.run
        token = self.vm.token
        now_ms = self._clock.monotonic_ms()
        order = vms.StartOrder(
            run.task.id,
            run.number,
            command.payload,
            self.vm.lease.extend(now_ms, self._lease_ms),
            token,
            run.task.checkpoint,
            command.ticket,
        )
        answer = await self._client.start(order)
        events.emit(
            events.Event.RUN_STARTED,
            job=run.task.id.job,
            task=run.task.id[1:],
            run=run.number,
            vm=self.vm.report.vm,
            token=token,
            outcome=answer.outcome.value,
            took_ms=self._clock.monotonic_ms() - now_ms,
        )
        fenced = answer.outcome is vms.OrderOutcome.FENCED
        if fenced and token == self.vm.token:
            self._fenced()
            return
        if self._pool.listings.start_answered(self.vm, run, answer.outcome):
            await self._settle(token)
        self._news()

    async def _settle(self, token: int) -> None:
        # Under a higher token the unanswered order can't be carried out.
        if token == self.vm.token:
            self._pool.vm_tracker.raise_token(self.vm)
        while not await self._hold(0):
            await asyncio.sleep(_RETRY_MS / 1_000)

    async def _stop(self, command: commands.Stop | commands.StopOrphan) -> None:
        run = command.run
        answer = await self._client.stop(run.task.id, run.number, self.vm.token)
        events.emit(
            events.Event.RUN_STOPPED,
            job=run.task.id.job,
            task=run.task.id[1:],
            run=run.number,
            vm=self.vm.report.vm,
            reason=getattr(command, "reason", "unknown_run"),
            outcome=answer.outcome.value,
        )

    async def _set_speed(self, command: commands.SetSpeed) -> None:
        run = command.run
        answer = await self._client.set_speed(
            run.task.id, run.number, command.percent, self.vm.token
        )
        if answer.outcome is vms.OrderOutcome.UNANSWERED:
            # The next listing finds another pace than wanted.
            run.speed_percent = -1
        events.emit(
            events.Event.RUN_PACED,
            job=run.task.id.job,
            task=run.task.id[1:],
            run=run.number,
            vm=self.vm.report.vm,
            percent=command.percent,
            outcome=answer.outcome.value,
        )
