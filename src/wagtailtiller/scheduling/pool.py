"""One pool: its jobs, its VMs, and what each piece of news means.

The owner's process feeds news in and carries out the commands that come out.
No I/O; the clock is passed in.
"""

from collections.abc import Iterable
import dataclasses

from wagtailtiller import clock as clock_module
from wagtailtiller import events
from wagtailtiller import ids
from wagtailtiller.dispatch import health
from wagtailtiller.dispatch import messages
from wagtailtiller.jobs import job as job_module
from wagtailtiller.jobs import model
from wagtailtiller.ports import catalogue
from wagtailtiller.ports import vms
from wagtailtiller.scheduling import admission
from wagtailtiller.scheduling import commands
from wagtailtiller.scheduling import order
from wagtailtiller.scheduling import placement
from wagtailtiller.scheduling import tickets
from wagtailtiller.scheduling import vm as vm_module

# Tokens of one owner's epoch; it raises them to settle unanswered orders.
TOKENS_PER_EPOCH = 1 << 20
# A VM that refused a start for want of room or health is passed over briefly.
_AVOID_MS = 200
_STRAY_PAUSE_MS = 1_200
# A stop that has not led to an end is ordered again.
_STOP_AGAIN_MS = 1_000
# A task whose progress has not changed for so long stands still.
_STALLED_MS = 2_500
# A VM that is this many times slower than estimated still makes a percent
# of progress in an estimated run time's tenth.
_PERCENT_SLOWNESS = 10
# A question about a step names no more VMs; each costs the service time.
_MOST_ASKED_VMS = 30
_POLICY_MARGIN_MS = 2_000
# A task that lasts starts at once where there is room.
_LASTING_PATIENCE_MS = 500
# A task that lasts is at work when it has started up.
_AT_WORK_PERCENT = 100
_SLOWEST_CLOCK = vm_module.SLOWEST_CLOCK


@dataclasses.dataclass(slots=True)
class Entry:
    """A job and what the owner keeps beside it.

    Attributes:
        job: The job.
        accepted_ms: When it was accepted, on the owner's clock.
        inherited: A former owner may have started tasks of it.
        stored_state: The state that the store holds; None: not stored yet.
        final_ms: When it became final, on the owner's clock.
    """

    job: job_module.Job
    accepted_ms: int
    inherited: bool
    stored_state: model.JobState | None
    final_ms: int = 0


class Pool:
    """A pool under one owner.

    Args:
        pool: Its name.
        epoch: The owner's epoch.
        clock: The time.
    """

    def __init__(
        self, pool: ids.PoolId, epoch: int, clock: clock_module.Clock
    ) -> None:
        self.pool = pool
        self.epoch = epoch
        self.entries: dict[model.JobId, Entry] = {}
        self.vms: dict[ids.VmId, vm_module.Vm] = {}
        self.changed: set[model.JobId] = set()
        # What the keeper of the machines could bring in; None: not said yet.
        self.spare_millicores: int | None = None
        self.tickets = tickets.Tickets()
        self.health = health.Health()
        self._clock = clock
        self._queues: dict[ids.QueueId, catalogue.Queue] = {}
        self._active: dict[model.JobId, Entry] = {}
        # Former members that may still run what was inherited, and until when.
        self.unsettled: dict[ids.VmId, int] = {}

    # Jobs.

    def set_queues(self, queues: Iterable[catalogue.Queue]) -> None:
        """Take the operators' queues; unknown jobs keep their old one."""
        for queue in queues:
            self._queues[queue.queue] = queue

    def queue(self, queue: ids.QueueId) -> catalogue.Queue | None:
        """Return a queue by its name, also after it was removed."""
        return self._queues.get(queue)

    def admit(
        self, spec: model.JobSpec, queue: catalogue.Queue
    ) -> admission.Refusal | None:
        """Refuse a job that cannot be served; None takes it in."""
        return admission.judge(spec, queue, self.vms.values(), self._backlog())

    def _backlog(self) -> admission.Backlog:
        return admission.Backlog(self.waiting_core_ms(), self.spare_millicores)

    def add(
        self,
        job: job_module.Job,
        inherited: bool,
        stored_state: model.JobState | None = None,
    ) -> Entry:
        """Take a job in."""
        age_ms = max(0, self._clock.wall_ms() - job.accepted_wall_ms)
        accepted_ms = self._clock.monotonic_ms() - (age_ms if inherited else 0)
        entry = Entry(job, accepted_ms, inherited, stored_state)
        self.entries[job.id] = entry
        if job.is_final():
            entry.final_ms = self._clock.monotonic_ms()
        else:
            self._active[job.id] = entry
        return entry

    def drop(self, job: model.JobId) -> None:
        """Forget a job that never was accepted, or was final long ago."""
        self.entries.pop(job, None)
        self._active.pop(job, None)
        self.changed.discard(job)
        self.health.forget_queue(ids.QueueId(job))
        self.tickets.drop(job)

    def cancel(self, job: model.JobId) -> None:
        """Cancel a job; its runs are stopped with the next plan."""
        entry = self.entries.get(job)
        if entry is None or entry.job.is_final():
            return
        entry.job.cancel(self._clock.monotonic_ms())
        self._finish(entry)

    def pending_count(self, queue: ids.QueueId) -> int:
        """Return how many of a queue's jobs have not started."""
        return sum(
            1
            for entry in self._active.values()
            if entry.job.queue == queue and not entry.job.started
        )

    def waiting_core_ms(self) -> float:
        """Return the processor work that is left in jobs that end."""
        total = 0.0
        for entry in self._active.values():
            if entry.job.long_running or entry.job.spec.repeat_count:
                continue
            for step_run in entry.job.steps(0):
                step = step_run.step
                total += (
                    step_run.open_count
                    * step.cpu_millicores
                    * step.estimate_ms
                    / 1_000
                )
        return total

    def demand(self) -> tuple[float, int]:
        """Return the work that waits for a start, and what lasting tasks need.

        Returns:
            Core milliseconds, and thousandths of a core.
        """
        idle_core_ms = 0.0
        lasting = 0
        wall_ms = self._clock.wall_ms()
        for entry in self._active.values():
            for step_run in entry.job.ready_steps(wall_ms):
                step = step_run.step
                if step.long_running:
                    if not step.filler:
                        lasting += step.cpu_millicores * len(step_run.tasks)
                    continue
                idle = sum(1 for t in step_run.tasks if not (t.done or t.run))
                idle_core_ms += (
                    idle * step.cpu_millicores * step.estimate_ms / 1_000
                )
        return idle_core_ms, lasting

    def expired_jobs(self, kept_ms: int) -> list[model.JobId]:
        """Return the jobs that ended longer ago than they must be known."""
        now_ms = self._clock.monotonic_ms()
        return [
            entry.job.id
            for entry in self.entries.values()
            if entry.stored_state in model.FINAL_STATES
            and entry.final_ms
            and now_ms - entry.final_ms > kept_ms
        ]

    def lasting_waiting(self) -> int:
        """Return how many tasks that last have found no room for a while."""
        now_ms = self._clock.monotonic_ms()
        wall_ms = self._clock.wall_ms()
        count = 0
        for entry in self._active.values():
            if not entry.job.long_running:
                continue
            if now_ms - entry.accepted_ms < _LASTING_PATIENCE_MS:
                continue
            for step_run in entry.job.ready_steps(wall_ms):
                if step_run.step.long_running:
                    count += len(step_run.idle_tasks())
        return count

    # VMs.

    def vm_reported(self, report: vms.VmReport) -> vm_module.Vm | None:
        """Take in what a VM registered; return it if it is a new life."""
        known = self.vms.get(report.vm)
        if known is not None and known.report.born_ms == report.born_ms:
            known.report = report
            known.registered = True
            return None
        self.unsettled.pop(report.vm, None)
        new = vm_module.Vm(report, self.epoch * TOKENS_PER_EPOCH)
        self.vms[report.vm] = new
        if known is not None:
            self._carry_over(known, new)
        return new

    def _carry_over(self, old: vm_module.Vm, new: vm_module.Vm) -> None:
        # The new life may have taken orders that were meant for the old one;
        # its first listing under a higher token tells.
        new.token = old.token + 1
        new.lease.floor_ms = old.lease.over_ms()
        for run in list(old.runs.values()):
            old.remove(run)
            run.phase = job_module.RunPhase.UNCERTAIN
            run.confirmed_ms = 0
            new.add(run)

    def vm_unlisted(self, vm: ids.VmId) -> None:
        """Take in that a VM is no longer in the platform's list."""
        known = self.vms.get(vm)
        if known is not None:
            known.registered = False

    def vm_answered(
        self, vm: vm_module.Vm, clock_ms: int, received_ms: int
    ) -> None:
        """Take in that a VM has answered."""
        vm.lease.note_clock(clock_ms, received_ms)
        if vm.silent_since_ms is not None:
            events.emit(
                events.Event.VM_ANSWERS,
                vm=vm.report.vm,
                silent_ms=received_ms - vm.silent_since_ms,
            )
        vm.silent_since_ms = None
        if vm.standing is vm_module.Standing.SILENT:
            vm.standing = vm_module.Standing.USABLE

    def vm_silent(self, vm: vm_module.Vm) -> None:
        """Take in that a VM did not answer in time."""
        now_ms = self._clock.monotonic_ms()
        if vm.silent_since_ms is None:
            vm.silent_since_ms = now_ms
        if vm.standing is vm_module.Standing.USABLE:
            vm.standing = vm_module.Standing.SILENT

    def expire(self) -> list[vm_module.Vm]:
        """Give up what ran on VMs whose leases have ended in silence.

        Returns:
            The VMs that are gone for good.
        """
        now_ms = self._clock.monotonic_ms()
        for vm_id, until_ms in list(self.unsettled.items()):
            if now_ms >= until_ms:
                del self.unsettled[vm_id]
        gone = []
        for vm in list(self.vms.values()):
            idle = not vm.registered and not vm.runs
            if vm.silent_since_ms is None:
                continue
            if now_ms < vm.lease.over_ms() and not idle:
                continue
            self._lose_runs(vm, "lease_over")
            if not vm.registered:
                del self.vms[vm.report.vm]
                gone.append(vm)
        return gone

    def members(self) -> set[ids.VmId]:
        """Return the VMs that may run something, now or after a start."""
        now_ms = self._clock.monotonic_ms()
        present = {
            vm.report.vm
            for vm in self.vms.values()
            if vm.runs or vm.open_for_starts(now_ms)
        }
        return present | self.unsettled.keys()

    # Orders.

    def start_answered(
        self, vm: vm_module.Vm, run: job_module.Run, outcome: vms.OrderOutcome
    ) -> bool:
        """Take in what became of a start.

        Returns:
            Whether a hold under a new token is needed to find out more.
        """
        if vm.runs.get(run.task.id) is not run:
            return False
        match outcome:
            case vms.OrderOutcome.DONE:
                if run.phase is job_module.RunPhase.STARTING:
                    run.phase = job_module.RunPhase.RUNNING
                run.confirmed_ms = self._clock.monotonic_ms()
                return False
            case vms.OrderOutcome.UNANSWERED:
                if run.phase is job_module.RunPhase.STARTING:
                    run.phase = job_module.RunPhase.UNCERTAIN
                return True
            case vms.OrderOutcome.BAD_TICKET:
                self.tickets.reject(run.task.id, vm.report.vm)
                self._clear(vm, run)
            case vms.OrderOutcome.OLD_RUN:
                # It may be listed as ended; a later run has a higher number.
                self._clear(vm, run)
            case vms.OrderOutcome.NO_ROOM | vms.OrderOutcome.UNHEALTHY:
                vm.avoid_until_ms = self._clock.monotonic_ms() + _AVOID_MS
                self._clear(vm, run)
            case _:
                self._clear(vm, run)
        return False

    def raise_token(self, vm: vm_module.Vm) -> int:
        """Return a new token, under which older orders are refused."""
        vm.token += 1
        return vm.token

    def listed(
        self,
        vm: vm_module.Vm,
        token: int,
        asked_ms: int,
        listing: vms.Listing,
    ) -> list[commands.Command]:
        """Take in a VM's answer about its runs.

        Args:
            vm: Whose answer.
            token: The token that the question carried.
            asked_ms: Our clock before the question was sent.
            listing: The answer.

        Returns:
            Stops of runs that should not be.
        """
        if listing.clock_ms < vm.listed_clock_ms:
            # A newer answer has overtaken this one.
            return []
        vm.listed_clock_ms = listing.clock_ms
        orders: list[commands.Command] = []
        for end in listing.ended:
            if end.position > vm.seen_end:
                vm.seen_end = end.position
                self._ended(vm, end)
        running = {(row.task, row.number) for row in listing.running}
        for row in listing.running:
            orders.extend(self._listed_run(vm, row))
        if orders:
            # What is being stopped takes room that no run here accounts for.
            vm.avoid_until_ms = self._clock.monotonic_ms() + _STRAY_PAUSE_MS
        if len(listing.ended) < vms.MOST_ENDS:
            self._drop_unlisted(vm, token, asked_ms, running)
        orders.extend(self._pace(vm))
        if vm.standing is vm_module.Standing.JOINING:
            vm.standing = vm_module.Standing.USABLE
            self.unsettled.pop(vm.report.vm, None)
            events.emit(
                events.Event.VM_JOINED,
                vm=vm.report.vm,
                pool=self.pool,
                token=token,
                running=len(listing.running),
            )
        return orders

    def _pace(self, vm: vm_module.Vm) -> list[commands.Command]:
        fillers = [
            run
            for run in vm.runs.values()
            if run.task.step.filler and run.phase is job_module.RunPhase.RUNNING
        ]
        if not fillers:
            return []
        worst = max(
            (
                run.usage / run.task.step.tail_target_ms
                for run in vm.runs.values()
                if run.task.step.tail_target_ms
            ),
            default=0.0,
        )
        percent = vm.pace.adapt(worst, self._clock.monotonic_ms())
        orders: list[commands.Command] = []
        for run in fillers:
            if run.pace_percent != percent:
                run.pace_percent = percent
                orders.append(commands.SetPace(vm.report.vm, run, percent))
        return orders

    def plan(
        self, members: set[ids.VmId] | None = None
    ) -> list[commands.Decision]:
        """Decide what to start and stop now.

        Args:
            members: VMs that a successor knows of, where starts may go; None
                for all.
        """
        now_ms = self._clock.monotonic_ms()
        orders: list[commands.Decision] = list(self._stops(now_ms))
        open_vms = [
            vm
            for vm in self.vms.values()
            if vm.open_for_starts(now_ms)
            and (members is None or vm.report.vm in members)
            and not self.health.ejected(vm.report.vm, now_ms)
        ]
        if not open_vms:
            return orders
        wall_ms = self._clock.wall_ms()
        for entry in self._by_rank(now_ms):
            if entry.stored_state is None:
                continue
            if entry.inherited and self.unsettled:
                continue
            for step_run in entry.job.ready_steps(wall_ms):
                orders.extend(self._start_step(entry, step_run, open_vms))
        return orders

    def next_due_in_ms(self) -> int | None:
        """Return how long until the next occurrence of any job is due."""
        wall_ms = self._clock.wall_ms()
        waits = []
        for entry in self._active.values():
            due_ms = entry.job.next_due_ms(wall_ms)
            if due_ms is not None:
                waits.append(due_ms - wall_ms)
        return min(waits, default=None)

    def _by_rank(self, now_ms: int) -> list[Entry]:
        ranked = []
        for entry in self._active.values():
            queue = self._queues.get(entry.job.queue)
            if queue is not None:
                rank = order.rank(entry.job, entry.accepted_ms, queue, now_ms)
                ranked.append((rank, entry.job.id, entry))
        ranked.sort(key=lambda row: row[:2])
        return [entry for _, _, entry in ranked]

    def _start_step(
        self,
        entry: Entry,
        step_run: job_module.StepRun,
        open_vms: list[vm_module.Vm],
    ) -> list[commands.Decision]:
        idle = step_run.idle_tasks()
        if not idle:
            return []
        queue = self._queues.get(entry.job.queue)
        policy = queue.policy if queue is not None else None
        if policy is not None:
            asked = self._ask(idle[0], policy, open_vms)
            if asked is not None:
                return [asked]
            open_vms = [
                vm for vm in open_vms if self._ticket(idle[0], vm) is not None
            ]
        if step_run.step.gang:
            if len(idle) < len(step_run.tasks):
                return []
            placed = placement.choose_gang(idle, open_vms) or []
        else:
            placed = []
        orders: list[commands.Decision] = []
        if step_run.step.gang:
            number = max(
                entry.job.next_run_number(task, self.epoch) for task in idle
            )
            for task, vm in placed:
                orders.append(self._start(entry, task, vm, number))
            return orders
        for task in idle:
            chosen = placement.choose(task, open_vms)
            if chosen is None:
                break
            number = entry.job.next_run_number(task, self.epoch)
            orders.append(self._start(entry, task, chosen, number))
        return orders

    def _start(
        self,
        entry: Entry,
        task: job_module.Task,
        vm: vm_module.Vm,
        number: int,
    ) -> commands.Command:
        run = job_module.Run(
            task,
            number,
            vm.report.vm,
            job_module.RunPhase.STARTING,
            self._clock.monotonic_ms(),
        )
        task.run = run
        task.last_run = number
        vm.add(run)
        entry.job.note_started()
        ticket = self._ticket(task, vm) or ""
        return commands.Start(vm.report.vm, run, entry.job.spec.payload, ticket)

    def _ticket(self, task: job_module.Task, vm: vm_module.Vm) -> str | None:
        now_ms = self._clock.monotonic_ms()
        return self.tickets.ticket(task.id, vm.report.vm, now_ms)

    def _ask(
        self,
        task: job_module.Task,
        policy: catalogue.PlacementPolicy,
        open_vms: list[vm_module.Vm],
    ) -> commands.AskPolicy | None:
        fitting = [vm for vm in open_vms if vm.fits(task.step)]
        if not fitting:
            return None
        if any(self._ticket(task, vm) is not None for vm in fitting):
            return None
        fitting.sort(key=lambda vm: -vm.free_cpu)
        names = [vm.report.vm for vm in fitting]
        asked = self.tickets.question(task.id, names, _MOST_ASKED_VMS)
        if not asked:
            return None
        within_ms = policy.decide_ms + policy.each_ms * len(asked)
        return commands.AskPolicy(
            task.id, asked, 2 * within_ms + _POLICY_MARGIN_MS
        )

    def _stops(self, now_ms: int) -> list[commands.Command]:
        orders: list[commands.Command] = []
        for vm in self.vms.values():
            for run in list(vm.runs.values()):
                reason = self._stop_reason(vm, run, now_ms)
                if not reason or now_ms - run.stop_sent_ms < _STOP_AGAIN_MS:
                    continue
                run.stop_sent_ms = now_ms
                if reason == "stalled":
                    run.task.failed_on.add(vm.report.vm)
                    self._observe(vm, run.task, messages.RunOutcome.TIMED_OUT)
                if run.phase is job_module.RunPhase.RUNNING:
                    run.phase = job_module.RunPhase.STOPPING
                orders.append(commands.Stop(vm.report.vm, run, reason))
        return orders

    def _stop_reason(
        self, vm: vm_module.Vm, run: job_module.Run, now_ms: int
    ) -> str:
        entry = self.entries.get(run.task.id.job)
        if entry is None or entry.job.is_final():
            return "job_final"
        if run.task.done:
            return "task_done"
        if vm.draining and run.task.step.long_running:
            return "vm_draining"
        if self._stalled(run):
            return "stalled"
        if self._moves(vm, run, now_ms) and self._may_take_away(entry, run):
            return "vm_vacated"
        if run.task.step.gang and self._gang_broken(entry.job, run):
            return "gang_broken"
        return ""

    def _stalled(self, run: job_module.Run) -> bool:
        step = run.task.step
        if step.long_running or step.filler or step.gang:
            return False
        if run.phase is not job_module.RunPhase.RUNNING:
            return False
        # Progress is told in whole percents: a long task changes slowly.
        patience_ms = _STALLED_MS + step.estimate_ms // _PERCENT_SLOWNESS
        # On the VM's clock, so that neither its silence nor a pause of this
        # process counts.
        return run.listed_ms - run.progress_ms > patience_ms

    def _moves(
        self, vm: vm_module.Vm, run: job_module.Run, now_ms: int
    ) -> bool:
        if run.phase is not job_module.RunPhase.RUNNING:
            return False
        if run.task.step.long_running:
            return vm.moves_lasting_until_ms > now_ms
        return vm.moves_all_until_ms > now_ms

    def _may_take_away(self, entry: Entry, run: job_module.Run) -> bool:
        limit = run.task.step.max_unavailable
        if limit is None or not run.task.step.long_running:
            return True
        members = entry.job.steps(run.task.id.occurrence)[run.task.id.step]
        away = sum(
            1
            for member in members.tasks
            if member.run is not run and not self._at_work(member)
        )
        return away < limit

    def _at_work(self, task: job_module.Task) -> bool:
        run = task.run
        if run is None or run.phase is not job_module.RunPhase.RUNNING:
            return False
        vm = self.vms.get(run.vm)
        answers = vm is not None and vm.standing is vm_module.Standing.USABLE
        return answers and run.percent >= _AT_WORK_PERCENT

    def _gang_broken(self, job: job_module.Job, run: job_module.Run) -> bool:
        members = job.steps(run.task.id.occurrence)[run.task.id.step].tasks
        return any(member.run is None for member in members)

    def _ended(self, vm: vm_module.Vm, end: vms.ListedEnd) -> None:
        entry = self.entries.get(end.task.job)
        task = entry.job.task(end.task) if entry is not None else None
        if entry is None or task is None:
            return
        known = vm.runs.get(end.task)
        events.emit(
            events.Event.RUN_ENDED,
            job=end.task.job,
            task=end.task[1:],
            run=end.number,
            vm=vm.report.vm,
            how=end.kind.value,
            position=end.position,
        )
        task.last_run = max(task.last_run, end.number)
        if known is not None and known.number == end.number:
            self._clear(vm, known)
        if task.done:
            return
        if end.checkpoint and end.number >= task.last_run:
            task.checkpoint = end.checkpoint
        match end.kind:
            case job_module.EndKind.DONE:
                self._observe(vm, task, messages.RunOutcome.ANSWERED)
                entry.job.note_done(task)
                self._note_change(entry)
            case job_module.EndKind.FAILED:
                task.failed_on.add(vm.report.vm)
                self._observe(vm, task, messages.RunOutcome.SERVER_ERROR)
                queue = self._queues.get(entry.job.queue)
                attempts = queue.max_attempts if queue else 1
                entry.job.note_failure(task, attempts)
                self._note_change(entry)
            case _:
                pass

    def _observe(
        self,
        vm: vm_module.Vm,
        task: job_module.Task,
        outcome: messages.RunOutcome,
    ) -> None:
        # A job that does well elsewhere shows the VM's fault, one that fails
        # wherever it runs its own; so jobs take the place of queues here.
        kind = ids.QueueId(task.id.job)
        self.health.observe(vm.report.vm, kind, outcome)
        if outcome is messages.RunOutcome.ANSWERED:
            return
        now_ms = self._clock.monotonic_ms()
        others = [
            other.report.vm
            for other in self.vms.values()
            if other is not vm
            and other.standing is vm_module.Standing.USABLE
            and not other.draining
        ]
        if self.health.eject_if_due(vm.report.vm, others, len(others), now_ms):
            events.emit(
                events.Event.VM_EJECTED,
                vm=vm.report.vm,
                pool=self.pool,
                others=len(others),
            )

    def _note_change(self, entry: Entry) -> None:
        self.changed.add(entry.job.id)
        if entry.job.is_final():
            self._finish(entry)

    def _finish(self, entry: Entry) -> None:
        self._active.pop(entry.job.id, None)
        entry.final_ms = self._clock.monotonic_ms()
        events.emit(
            events.Event.JOB_ENDED,
            job=entry.job.id,
            state=entry.job.state.value,
            age_ms=entry.final_ms - entry.accepted_ms,
        )
        self.changed.add(entry.job.id)

    def _listed_run(
        self, vm: vm_module.Vm, row: vms.ListedRun
    ) -> list[commands.Command]:
        known = vm.runs.get(row.task)
        if known is not None and known.number == row.number:
            if known.phase is not job_module.RunPhase.STOPPING:
                known.phase = job_module.RunPhase.RUNNING
            known.confirmed_ms = self._clock.monotonic_ms()
            if row.checkpoint:
                known.task.checkpoint = row.checkpoint
            known.listed_ms = vm.listed_clock_ms
            if row.percent != known.percent or not known.progress_ms:
                known.progress_ms = vm.listed_clock_ms
            known.percent = row.percent
            known.usage = row.usage
            return []
        entry = self.entries.get(row.task.job)
        task = entry.job.task(row.task) if entry is not None else None
        if entry is not None and task is not None:
            task.last_run = max(task.last_run, row.number)
            wanted = not task.done and not entry.job.is_final()
            if wanted and task.run is None:
                self._adopt(entry, vm, task, row)
                return []
        stray = job_module.Task(row.task, model.Step(1))
        now_ms = self._clock.monotonic_ms()
        run = job_module.Run(
            stray,
            row.number,
            vm.report.vm,
            job_module.RunPhase.STOPPING,
            now_ms,
        )
        return [commands.StopUnknown(vm.report.vm, run)]

    def _adopt(
        self,
        entry: Entry,
        vm: vm_module.Vm,
        task: job_module.Task,
        row: vms.ListedRun,
    ) -> None:
        now_ms = self._clock.monotonic_ms()
        run = job_module.Run(
            task,
            row.number,
            vm.report.vm,
            job_module.RunPhase.RUNNING,
            now_ms,
            confirmed_ms=now_ms,
        )
        task.run = run
        task.checkpoint = row.checkpoint or task.checkpoint
        vm.add(run)
        entry.job.note_started()

    def _drop_unlisted(
        self,
        vm: vm_module.Vm,
        token: int,
        asked_ms: int,
        running: set[tuple[model.TaskId, int]],
    ) -> None:
        for run in list(vm.runs.values()):
            if (run.task.id, run.number) in running:
                continue
            settled = run.phase is job_module.RunPhase.UNCERTAIN and (
                token >= vm.token
            )
            ended = 0 < run.confirmed_ms < asked_ms
            if settled or ended:
                self._clear(vm, run)

    def _lose_runs(self, vm: vm_module.Vm, reason: str) -> None:
        for run in list(vm.runs.values()):
            events.emit(
                events.Event.RUN_LOST,
                job=run.task.id.job,
                task=run.task.id[1:],
                run=run.number,
                vm=vm.report.vm,
                reason=reason,
            )
            self._clear(vm, run)

    def _clear(self, vm: vm_module.Vm, run: job_module.Run) -> None:
        vm.remove(run)
        if run.task.run is run:
            run.task.run = None
