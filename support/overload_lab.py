"""Runs one pool under generated load in virtual time, without a network.

Only the scheduler of the pool is real; VMs run each task for its actual time.
"""

from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random

from support import clocks
from support import fake_vms
from support.sim import load
from wagtailtiller import ids
from wagtailtiller.jobs import job as job_module
from wagtailtiller.jobs import model
from wagtailtiller.ports import catalogue
from wagtailtiller.ports import vms
from wagtailtiller.scheduling import admission
from wagtailtiller.scheduling import commands
from wagtailtiller.scheduling import cost
from wagtailtiller.scheduling import pool as pool_module
from wagtailtiller.scheduling import ranking
from wagtailtiller.scheduling import vm as vm_module

POOL = ids.PoolId("renders")
_PLAN_INTERVAL_MS = 10
_MAX_RETRIES = 4
_MIN_TASK_MS = 20


@dataclasses.dataclass(frozen=True)
class Kind:
    """Jobs of one queue.

    Attributes:
        name: Name of the queue.
        priority: Priority of the queue.
        worth: Value of a job of mean size that is on time.
        steps: Mean number of steps.
        width: Mean number of tasks of a step.
        run_ms: Mean run time of a task.
        cores: Mean number of cores of a task.
        gigabytes_per_core: Memory of a task by core.
        estimate_sigma: Standard deviation of the logarithm of the estimates'
            error, the same for a whole step.
        estimate_factor: Factor by which all estimates are off.
    """

    name: str
    priority: int
    worth: float
    steps: float
    width: float
    run_ms: float
    cores: float
    gigabytes_per_core: float = 2.0
    estimate_sigma: float = 0.4
    estimate_factor: float = 1.0

    def queue(self) -> catalogue.Queue:
        """Return the declaration of the queue."""
        return catalogue.Queue(
            ids.QueueId(self.name),
            "host",
            f"/{self.name}/",
            POOL,
            self.priority,
            3,
            1.6,
            606,
        )


SHORT = Kind("short", 0, 1.0, 1.6, 8, 800, 3.1)
LARGE = Kind("large", 1, 4.0, 2.0, 8, 1_300, 6.7)


@dataclasses.dataclass
class LabJob:
    """A submitted job and what became of it.

    Attributes:
        id: Id of the job.
        kind: Kind of the job.
        spec: Definition that its caller sends.
        run_ms: Actual run time of each task, by step and position.
        organisation: Organisation of the caller.
        sent_ms: Time of the first submission.
        refusals: Number of refusals.
        accepted_ms: Time of acceptance; None if it was not accepted.
        ended_ms: Time of its end; None if it has not ended.
    """

    id: model.JobId
    kind: Kind
    spec: model.JobSpec
    run_ms: list[list[int]]
    organisation: ids.OrganisationId
    sent_ms: int
    refusals: int = 0
    accepted_ms: int | None = None
    ended_ms: int | None = None

    @property
    def work(self) -> float:
        """Estimated processor work, in core milliseconds."""
        return cost.spec_work(self.spec).core_ms

    def value_share(self) -> float:
        """Return the share of its value that the job had at its end.

        The time that its caller waited after refusals counts.
        """
        if self.ended_ms is None:
            return 0.0
        target_ms = ranking.target_duration_ms(
            self.spec.critical_path_ms(), self.kind.queue().terms
        )
        return cost.value_share(self.ended_ms - self.sent_ms, target_ms)

    def is_on_time(self) -> bool:
        """Return whether the job was on time."""
        return self.value_share() == 1.0


class Lab:
    """One pool with its VMs in virtual time.

    Args:
        vm_count: Number of VMs.
        kinds: Kinds of jobs.
        overload_control: Whether the pool orders jobs by cost.
        organisations: Weights by name of the organisations.
        cores: Number of cores of a VM.
        seed: Seed of all random numbers.

    Attributes:
        clock: Clock of the pool.
        pool: The pool.
        jobs: All jobs that were submitted.
        retries: Whether refused callers return.
        started: Ids of the jobs in the order of their first tasks.
        refusals: Time, job and refusal of each refused submission.
    """

    def __init__(
        self,
        vm_count: int,
        kinds: list[Kind],
        overload_control: bool = True,
        organisations: dict[str, float] | None = None,
        cores: int = 32,
        seed: int = 1,
    ) -> None:
        self.clock = clocks.FakeClock()
        self.pool = pool_module.Pool(POOL, 1, self.clock)
        self.pool.overload_control = overload_control
        self.pool.spare_millicores = 0
        self.pool.jobs.set_queues([kind.queue() for kind in kinds])
        self.pool.organisations = {
            ids.OrganisationId(name): catalogue.Organisation(
                ids.OrganisationId(name), weight, vms.Resources()
            )
            for name, weight in (organisations or {}).items()
        }
        self.rng = random.Random(seed)
        self.jobs: dict[model.JobId, LabJob] = {}
        self.retries = True
        self.started: list[model.JobId] = []
        self.refusals: list[tuple[int, LabJob, admission.Refusal]] = []
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._job_numbers = itertools.count()
        self._changed = True
        capacity = vms.Resources(cores * 1_000, cores * 2_000)
        for number in range(vm_count):
            self._add_vm(f"vm-{number:02}", f"r{number // 4}", capacity)

    @property
    def now_ms(self) -> int:
        """Current time, on the pool's clock."""
        return self.clock.now_ms

    def at(self, time_ms: int, action: Callable[[], None]) -> None:
        """Call a function at a time, on the pool's clock."""
        heapq.heappush(self._events, (time_ms, next(self._numbers), action))

    def arrive(
        self,
        kind: Kind,
        from_ms: int,
        to_ms: int,
        per_s: float,
        organisation: str = "",
    ) -> None:
        """Let jobs arrive at random, at times from the beginning of the day.

        Args:
            kind: Kind of the jobs.
            from_ms: Time of the first arrivals, from now.
            to_ms: Time of the last arrivals, from now.
            per_s: Number of jobs per second.
            organisation: Organisation of the callers.
        """
        at_ms = float(self.now_ms + from_ms)
        end_ms = self.now_ms + to_ms
        while True:
            at_ms += self.rng.expovariate(per_s) * 1_000
            if at_ms >= end_ms:
                return
            lab_job = self.make_job(kind, int(at_ms), organisation)
            self.at(int(at_ms), lambda j=lab_job: self.submit(j))  # type: ignore

    def make_job(
        self, kind: Kind, sent_ms: int, organisation: str = ""
    ) -> LabJob:
        """Return a random job of a kind, without submitting it."""
        rng = self.rng
        steps = []
        run_ms = []
        for index in range(_count(kind.steps, 0.4, rng)):
            mean_ms = _sample(kind.run_ms, 0.5, rng)
            cores = max(0.1, _sample(kind.cores, 0.45, rng))
            memory = kind.gigabytes_per_core * cores * rng.uniform(0.6, 1.4)
            width = _count(kind.width, 0.6, rng)
            error = rng.lognormvariate(0, kind.estimate_sigma)
            estimate_ms = mean_ms * error * kind.estimate_factor
            steps.append(
                model.Step(
                    width,
                    cpu_millicores=int(cores * 1_000),
                    memory_mb=int(memory * 1_000),
                    estimate_ms=max(_MIN_TASK_MS, int(estimate_ms)),
                    after=(index - 1,) if index else (),
                )
            )
            run_ms.append(
                [
                    max(_MIN_TASK_MS, int(mean_ms * rng.lognormvariate(0, 0.2)))
                    for _ in range(width)
                ]
            )
        return LabJob(
            model.JobId(f"{next(self._job_numbers):016x}"),
            kind,
            model.JobSpec("payload", tuple(steps)),
            run_ms,
            ids.OrganisationId(organisation),
            sent_ms,
        )

    def submit(self, lab_job: LabJob) -> None:
        """Submit a job; its caller returns if it is refused."""
        self.jobs[lab_job.id] = lab_job
        queue = lab_job.kind.queue()
        refusal = self.pool.jobs.admit(
            lab_job.spec, queue, lab_job.organisation, lab_job.id
        )
        if refusal is not None:
            lab_job.refusals += 1
            self.refusals.append((self.now_ms, lab_job, refusal))
            if self.retries and lab_job.refusals <= _MAX_RETRIES:
                seconds = -(-refusal.retry_after_ms // 1_000)
                self.at(
                    self.now_ms + seconds * 1_000, lambda: self.submit(lab_job)
                )
            return
        lab_job.accepted_ms = self.now_ms
        job = job_module.Job(
            lab_job.id,
            queue.queue,
            lab_job.spec,
            self.now_ms,
            1,
            lab_job.organisation,
        )
        self.pool.jobs.add(job, False, model.JobState.QUEUED)
        self._changed = True

    def run(self, duration_ms: int) -> None:
        """Advance the time.

        Args:
            duration_ms: Duration in milliseconds.
        """
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            while self._events and self._events[0][0] <= self.now_ms:
                heapq.heappop(self._events)[2]()
            if self._changed:
                self._changed = False
                self._plan()
            self.clock.advance(_PLAN_INTERVAL_MS)

    def drain(self) -> None:
        """Run until all accepted jobs have ended and no caller returns."""
        limit_ms = self.now_ms + 300_000
        while (self.pool.active or self._events) and self.now_ms < limit_ms:
            self.run(100)

    def lose_rack(self, rack: str) -> None:
        """Make a rack's VMs unresponsive; their runs end unseen."""
        for vm in self.pool.vms.values():
            if vm.rack == rack:
                vm.status = vm_module.VmStatus.UNRESPONSIVE
                for run in list(vm.runs.values()):
                    self.pool.remove_run(vm, run)
        self._changed = True

    def restore_rack(self, rack: str) -> None:
        """Make a rack's VMs usable again."""
        for vm in self.pool.vms.values():
            if vm.rack == rack:
                vm.status = vm_module.VmStatus.USABLE
        self._changed = True

    def _add_vm(self, name: str, rack: str, capacity: vms.Resources) -> None:
        report = fake_vms.report(name, labels=("a", rack), capacity=capacity)
        vm = self.pool.vm_tracker.register(report)
        assert vm is not None
        vm.status = vm_module.VmStatus.USABLE

    def _plan(self) -> None:
        for decision in self.pool.plan():
            if isinstance(decision, commands.Start):
                self._start(decision)

    def _start(self, start: commands.Start) -> None:
        run = start.run
        task_id = run.task.id
        if task_id.job not in self.started:
            self.started.append(task_id.job)
        lab_job = self.jobs[task_id.job]
        run_ms = lab_job.run_ms[task_id.step][task_id.position]
        self.at(self.now_ms + run_ms, lambda: self._end(start))

    def _end(self, start: commands.Start) -> None:
        run = start.run
        task = run.task
        if task.run is not run:
            return
        entry = self.pool.entries[task.id.job]
        step_run = entry.job.steps(0)[task.id.step]
        step_run.run_times.append((run.vm, self.now_ms - run.started_ms))
        self.pool.remove_run(self.pool.vms[run.vm], run)
        entry.job.mark_done(task)
        self.pool.mark_changed(entry)
        if entry.job.is_final():
            self.jobs[task.id.job].ended_ms = self.now_ms
        self._changed = True


@dataclasses.dataclass(frozen=True)
class Score:
    """What the callers of one kind got.

    Attributes:
        value: Value that they got, relative to that of all jobs on time.
        on_time: Share of the jobs that were on time.
        upper: On-time share of the fifth below the largest tenth.
        top: On-time share of the largest tenth.
        refused: Share of the jobs that were never accepted.
    """

    value: float
    on_time: float
    upper: float
    top: float
    refused: float


def score(lab_jobs: list[LabJob]) -> Score:
    """Return what the callers of jobs of one kind got."""
    ordered = sorted(lab_jobs, key=lambda j: j.work)
    count = len(ordered)
    mean = sum(j.work for j in ordered) / count
    worths = [0.3 + 0.7 * j.work / mean for j in ordered]
    got = sum(
        worth * j.value_share()
        for worth, j in zip(worths, ordered, strict=True)
    )
    return Score(
        got / sum(worths),
        on_time_share(ordered),
        on_time_share(ordered[int(0.7 * count) : int(0.9 * count)]),
        on_time_share(ordered[int(0.9 * count) :]),
        sum(j.accepted_ms is None for j in ordered) / count,
    )


def on_time_share(lab_jobs: list[LabJob]) -> float:
    """Return the share of jobs that were on time."""
    return sum(j.is_on_time() for j in lab_jobs) / max(1, len(lab_jobs))


def _sample(mean: float, sigma: float, rng: random.Random) -> float:
    return load.CappedLogNormal(mean, sigma, 2.7 * mean).sample(rng)


def _count(mean: float, sigma: float, rng: random.Random) -> int:
    return max(1, round(_sample(mean, sigma, rng)))
