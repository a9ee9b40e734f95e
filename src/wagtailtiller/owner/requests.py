"""Handles the requests of other processes to a pool's owner."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from expression import Result

from wagtailtiller import clock as clock_module
from wagtailtiller import errors
from wagtailtiller import events
from wagtailtiller import ids
from wagtailtiller.jobs import job as job_module
from wagtailtiller.jobs import model
from wagtailtiller.owner import job_writer as job_writer_module
from wagtailtiller.owner import messages
from wagtailtiller.ports import catalogue
from wagtailtiller.scheduling import admission
from wagtailtiller.scheduling import job_memory as job_memory_module
from wagtailtiller.scheduling import pool as pool_module
from wagtailtiller.scheduling import state
from wagtailtiller.scheduling import vm as vm_module

_STORE_RETRY_AFTER_MS = 1_000
# A VM stays closed to new runs this long after the latest request to vacate it.
_VACATE_HOLD_MS = 3_000
# Callers of refused jobs return within seconds.
_MAX_COUNTED_REFUSED = 2_000
_WITHDRAWN = messages.Rejected(
    admission.RefusalReason.WITHDRAWN, admission.WITHDRAWN_RETRY_MS
)

FindStored = Callable[
    [model.JobId], Awaitable[Result[bool, errors.StoreUnavailable]]
]
FindInOtherPools = Callable[
    [catalogue.QueueAddress, model.JobId],
    Awaitable[Result[job_module.Job | None, errors.StoreUnavailable]],
]


class RequestHandler:
    """Handles requests about one pool.

    Args:
        pool: Pool that the requests are about.
        writer: Writer that stores jobs.
        clock: Clock that supplies the current time.
        store_answers: Returns whether the store has responded recently.
        on_change: Called when a request has changed the pool, so that it
            must be planned again.
        find_stored: Looks a job up in the store, and adds it to the pool if
            it is stored; returns whether it is.
        find_in_other_pools: Looks a job up in the other pools that its queue
            has had.
        job_memory: Limits the memory of all jobs of the process.
    """

    def __init__(
        self,
        pool: pool_module.Pool,
        writer: job_writer_module.JobWriter,
        clock: clock_module.Clock,
        store_answers: Callable[[], bool],
        on_change: Callable[[], None],
        find_stored: FindStored,
        find_in_other_pools: FindInOtherPools,
        job_memory: job_memory_module.JobMemory,
    ) -> None:
        self._pool = pool
        self._find_in_other_pools = find_in_other_pools
        self._job_writer = writer
        self._clock = clock
        self._store_answers = store_answers
        self._on_change = on_change
        self._find_stored = find_stored
        self._job_memory = job_memory
        self._arrived_core_ms = 0.0
        self._arrived_jobs = 0
        # Refused jobs that have been counted, in the order of their arrival.
        self._counted_refused: dict[model.JobId, None] = {}

    async def answer(self, request: messages.PoolRequest) -> messages.Answer:
        """Handle a request.

        Args:
            request: Request about the pool.

        Returns:
            The answer, once any change that it confirms has been stored.
        """
        match request:
            case messages.Submit():
                return await self._submit(request)
            case messages.AskState():
                return self._state(request)
            case messages.Cancel():
                return await self._cancel(request)
            case messages.AskPending():
                return messages.Pending(
                    self._pool.jobs.pending_count(request.queue)
                )
            case messages.AskLoad():
                self._pool.spare_millicores = request.spare_millicores
                return self._load()
            case messages.Vacate():
                return self._vacate(request)
            case messages.Reopen():
                return self._reopen(request)

    async def _submit(self, request: messages.Submit) -> messages.Answer:
        entry = self._pool.entries.get(request.job)
        if entry is not None:
            answer = _answer_for_known(entry.job, request)
            if answer != messages.Accepted() or entry.stored_state is not None:
                return answer
        else:
            rejected = await self._add(request)
            if rejected is not None:
                return rejected
        outcome = await asyncio.shield(self._job_writer.write(request.job))
        self._on_change()
        match outcome:
            case job_writer_module.WriteOutcome.STORED:
                return messages.Accepted()
            case job_writer_module.WriteOutcome.NOT_STORED:
                return messages.Rejected(
                    admission.RefusalReason.STORE_UNAVAILABLE,
                    _STORE_RETRY_AFTER_MS,
                )
            case job_writer_module.WriteOutcome.OWNERSHIP_LOST:
                return messages.Unsure()
            case job_writer_module.WriteOutcome.IN_OTHER_POOL:
                elsewhere = await self._answer_for_other_pools(request)
                return elsewhere or messages.Unsure()

    async def _add(self, request: messages.Submit) -> messages.Answer | None:
        """Add a new job to the pool; returns the answer if it is not added."""
        if not self._store_answers():
            return messages.Rejected(
                admission.RefusalReason.STORE_UNAVAILABLE,
                _STORE_RETRY_AFTER_MS,
            )
        refusal = self._check_admission(request)
        if refusal is not None:
            return await self._refuse(request, refusal)
        job = job_module.Job(
            request.job,
            request.queue,
            request.spec,
            self._clock.wall_ms(),
            self._pool.epoch,
            request.organisation,
            request.terms,
            request.path,
        )
        self._pool.jobs.add(job, inherited=False)
        self._count_arrival(request.job, request.spec)
        return None

    async def _answer_for_other_pools(
        self, request: messages.Submit
    ) -> messages.Answer | None:
        """Answer for a job that another pool of its queue has accepted.

        Returns:
            The answer; None if no other pool has the job.
        """
        found = await self._find_in_other_pools(request.address, request.job)
        if found.is_error():
            return messages.Unsure()
        if found.ok is None:
            return None
        return _answer_for_known(found.ok, request)

    def _count_arrival(self, job: model.JobId, spec: model.JobSpec) -> None:
        """Count the work of a job when it is submitted for the first time."""
        work_core_ms = spec.work_core_ms()
        if work_core_ms and job not in self._counted_refused:
            self._arrived_core_ms += work_core_ms
            self._arrived_jobs += 1

    def _count_refused(self, request: messages.Submit) -> None:
        """Count a refused job, since its caller is expected to return."""
        self._count_arrival(request.job, request.spec)
        self._counted_refused[request.job] = None
        if len(self._counted_refused) > _MAX_COUNTED_REFUSED:
            del self._counted_refused[next(iter(self._counted_refused))]

    def _check_admission(
        self, request: messages.Submit
    ) -> admission.Refusal | None:
        if not self._job_memory.has_room(request.spec):
            return admission.NO_MEMORY
        queue = self._pool.jobs.queue(request.queue)
        if queue is None:
            return None
        return self._pool.jobs.admit(
            request.spec, queue, request.organisation, request.job
        )

    async def _refuse(
        self, request: messages.Submit, refusal: admission.Refusal
    ) -> messages.Answer:
        # A frontend may have stored the job after an answer was lost, so that
        # it runs although this process does not know it yet.
        stored = await self._find_stored(request.job)
        if stored.is_error():
            return messages.Unsure()
        if stored.ok:
            entry = self._pool.entries.get(request.job)
            if entry is None:
                # It cannot be decoded.
                return messages.IdInUse()
            return _answer_for_known(entry.job, request)
        elsewhere = await self._answer_for_other_pools(request)
        if elsewhere is not None:
            return elsewhere
        if refusal.reason is admission.RefusalReason.OVERLOADED:
            self._count_refused(request)
        events.emit(
            events.Event.JOB_REFUSED,
            job=request.job,
            queue=request.queue,
            reason=refusal.reason.value,
            retry_after_ms=refusal.retry_after_ms,
            waiting_core_ms=int(self._pool.jobs.waiting_core_ms()),
            vms=len(self._pool.vms),
            spare_millicores=self._pool.spare_millicores,
            epoch=self._pool.epoch,
            organisation=request.organisation,
            **refusal.inputs(),
        )
        return messages.Rejected(refusal.reason, refusal.retry_after_ms)

    def _visible_entry(
        self, job: model.JobId, organisation: ids.OrganisationId
    ) -> state.JobEntry | None:
        """Return a job that an organisation may see."""
        entry = self._pool.entries.get(job)
        if entry is None or entry.job.organisation != organisation:
            return None
        return None if entry.job.is_withdrawn else entry

    def _state(self, request: messages.AskState) -> messages.Answer:
        entry = self._visible_entry(request.job, request.organisation)
        if entry is None or entry.stored_state is None:
            return messages.State(None)
        if entry.stored_state in model.FINAL_STATES:
            return messages.State(entry.stored_state)
        if entry.job.started:
            return messages.State(model.JobState.RUNNING)
        return messages.State(model.JobState.QUEUED)

    async def _cancel(self, request: messages.Cancel) -> messages.Answer:
        job = request.job
        entry = self._visible_entry(job, request.organisation)
        if entry is None:
            return messages.State(None)
        self._pool.jobs.cancel(job)
        self._on_change()
        if entry.stored_state not in model.FINAL_STATES:
            outcome = await asyncio.shield(self._job_writer.write(job))
            if outcome is not job_writer_module.WriteOutcome.STORED:
                return messages.Unsure()
        events.emit(events.Event.JOB_CANCELLED, job=job, epoch=self._pool.epoch)
        return messages.Accepted()

    def _vacate(self, request: messages.Vacate) -> messages.Answer:
        vm = self._pool.vms.get(request.vm)
        if request.vm in self._pool.unresolved:
            return messages.NotOwner()
        if vm is not None and vm.status is vm_module.VmStatus.JOINING:
            # The runs on this VM are not known yet.
            return messages.NotOwner()
        self._pool.vm_tracker.mark_vacated(request.vm)
        if vm is None:
            return messages.Vacated(0)
        vm.closed_until_ms = self._clock.monotonic_ms() + _VACATE_HOLD_MS
        vm.moves_long_running_until_ms = vm.closed_until_ms
        if request.mode is messages.VacateMode.MOVE_ALL:
            vm.moves_all_until_ms = vm.closed_until_ms
        if vm.runs:
            self._on_change()
        # Unless the ends of its runs are stored, the VM is the only one that
        # could tell a new owner of them.
        return messages.Vacated(len(vm.runs) + int(vm.has_unstored_ends))

    def _reopen(self, request: messages.Reopen) -> messages.Answer:
        vm = self._pool.vms.get(request.vm)
        if vm is None:
            return messages.NotOwner()
        vm.closed_until_ms = 0
        vm.moves_long_running_until_ms = 0
        vm.moves_all_until_ms = 0
        self._on_change()
        return messages.Vacated(len(vm.runs))

    def _load(self) -> messages.Answer:
        startable_millicores, long_running_millicores = self._pool.jobs.demand()
        # Their machines count as available, although their tasks will have to
        # start elsewhere.
        startable_millicores += self._pool.rack_monitor.unresponsive_millicores(
            self._clock.monotonic_ms()
        )
        startable_millicores += self._pool.lost_millicores()
        return messages.Load(
            self._pool.jobs.waiting_core_ms(),
            startable_millicores,
            self._arrived_core_ms,
            self._arrived_jobs,
            long_running_millicores,
            self._pool.jobs.long_running_waiting(),
            tuple(_vm_load(vm) for vm in self._pool.vms.values()),
        )


def _answer_for_known(
    job: job_module.Job, request: messages.Submit
) -> messages.Answer:
    """Answer a request whose job is known already."""
    if job.organisation != request.organisation:
        return messages.IdInUse()
    return _WITHDRAWN if job.is_withdrawn else messages.Accepted()


def _vm_load(vm: vm_module.Vm) -> messages.VmLoad:
    long_running_runs = [
        run for run in vm.runs.values() if run.task.step.long_running
    ]
    short_millicores = sum(
        run.task.step.cpu_millicores
        for run in vm.runs.values()
        if not run.task.step.long_running
    )
    return messages.VmLoad(
        vm.report.vm,
        len(vm.runs),
        len(long_running_runs),
        vm.free_cpu,
        short_millicores,
        vm.status is vm_module.VmStatus.USABLE and not vm.draining,
    )
