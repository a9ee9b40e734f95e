"""The tasks of a job and their runs.

The module does no I/O and reads no clock.
"""

import dataclasses
import enum
from typing import NamedTuple

from wagtailtiller import ids
from wagtailtiller.jobs import model


class EndKind(enum.Enum):
    """How a run ended.

    ``FAILED`` may be caused by the task or by its VM. ``BROKEN`` means that
    another task of the gang has ended, and ``ALONE`` that the other tasks of
    the gang did not start in time. ``LOST`` is a run that ended with its VM.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    LOST = "lost"


class RunPhase(enum.Enum):
    """What the owner knows about a run.

    ``UNCERTAIN`` means that the outcome of the start command is unknown.
    """

    STARTING = "starting"
    UNCERTAIN = "uncertain"
    RUNNING = "running"
    STOPPING = "stopping"


class VmInstance(NamedTuple):
    """One start of a VM.

    Attributes:
        vm: Id of the VM; a VM that restarts may keep it.
        born_ms: Start time of the instance, in Unix milliseconds.
    """

    vm: ids.VmId
    born_ms: int


@dataclasses.dataclass(slots=True)
class Run:
    """One start of a task on one VM.

    Attributes:
        task: Task that the run executes.
        number: Run number, which rises with each start of the task.
        vm: VM that executes the run.
        phase: What the owner knows about the run.
        started_ms: Time of the start command, on the owner's clock.
        confirmed_ms: Latest time at which the VM confirmed the run, on the
            owner's clock; 0 if it has not.
        percent: Progress that the VM last listed. A long-running task reports
            its start-up here and is available at 100.
        speed_percent: Share of its full speed that the run was last allowed.
        progress_ms: Time at which ``percent`` last changed, on the VM's clock.
        listed_ms: Time at which the VM last listed the run, on the VM's clock.
        usage: Tail latency in ms of a serving task, otherwise processor use.
        stop_sent_ms: Time of the last stop command, on the owner's clock; 0 if
            there was none.
        first_listed_ms: Time at which the VM first listed the run, on the VM's
            clock; 0 if it has not.
        first_percent: Progress at that time.
        adopted: Whether a previous owner has started the run, so that its run
            time is not known.
        sent_ms: Time at which the start command was sent, on the owner's clock;
            0 if it has not been sent to the run's VM instance.
        doubtful_crash: VM instance that crashed while it was not known whether
            it had executed the start command; None if there is none. It counts
            unless the next instance of the VM lists the run.
        peer_run_ms: Median run time of the same step's tasks on other VMs; 0
            if it is not known.
    """

    task: "Task"
    number: int
    vm: ids.VmId
    phase: RunPhase
    started_ms: int
    confirmed_ms: int = 0
    percent: int = 0
    speed_percent: int = 100
    progress_ms: int = 0
    listed_ms: int = 0
    usage: int = 0
    stop_sent_ms: int = 0
    first_listed_ms: int = 0
    first_percent: int = 0
    peer_run_ms: int = 0
    adopted: bool = False
    sent_ms: int = 0
    doubtful_crash: VmInstance | None = None

    def observed_ms(self) -> int:
        """Return the time between the first and the last listing of the run."""
        return self.listed_ms - self.first_listed_ms

    def observed_percent(self) -> int:
        """Return the progress that the run has made in that time."""
        return self.percent - self.first_percent

    def projected_ms(self) -> int:
        """Return how long the whole task takes at the observed speed."""
        # Progress is listed in whole percents, rounded down.
        return self.observed_ms() * 100 // max(1, self.observed_percent())

    def time_left_ms(self) -> int:
        """Return how long the run still takes at the observed speed."""
        return self.projected_ms() * (100 - self.percent) // 100


@dataclasses.dataclass(slots=True)
class Task:
    """One task of one occurrence.

    Attributes:
        id: Id of the task.
        step: Step that defines the requirements of the task.
        done: Whether the task has succeeded.
        failed_runs: Numbers of the failed runs; each counts as an attempt. They
            are kept as a set because a VM may list a failed run again to the
            next owner, in any order.
        last_run: Highest known run number.
        checkpoint: Checkpoint that the last run saved; empty if there is none.
        run: Current run, if any.
        failed_vms: VMs on which a run of the task has failed or stalled.
        crashed_on: VM instances that have crashed while they ran the task.
        doubtful_on: Those of ``crashed_on`` that have not confirmed the start,
            so that they may have crashed before it.
        lost_on: VM instances that were lost while they ran the task, and of
            which it is not known whether they have crashed.
        crash_group: How many tasks that were lost with one VM may be on the VM
            on which the task starts, before it is known which of them crashes
            VMs.
    """

    id: model.TaskId
    step: model.Step
    done: bool = False
    failed_runs: set[int] = dataclasses.field(default_factory=set)
    last_run: int = 0
    checkpoint: str = ""
    run: Run | None = None
    failed_vms: set[ids.VmId] = dataclasses.field(default_factory=set)
    crashed_on: set[VmInstance] = dataclasses.field(default_factory=set)
    doubtful_on: set[VmInstance] = dataclasses.field(default_factory=set)
    lost_on: set[VmInstance] = dataclasses.field(default_factory=set)
    crash_group: int = 1

    def suspected_of(self) -> set[VmInstance]:
        """Return the VM instances that the task may have crashed."""
        return self.crashed_on | self.lost_on

    def clear_crashes(self) -> bool:
        """Forget the VM instances, since the task has run well.

        Returns:
            Whether there were any crashed ones.
        """
        had_crashes = bool(self.crashed_on)
        self.crashed_on.clear()
        self.doubtful_on.clear()
        self.lost_on.clear()
        return had_crashes


@dataclasses.dataclass(slots=True)
class StepRun:
    """A step of one occurrence.

    Attributes:
        number: Index of the step in the job.
        step: Definition of the step.
        tasks: All tasks of the step.
        open_count: Number of tasks that are not done.
        run_times: VMs and durations, in ms, of the runs that have succeeded.
    """

    number: int
    step: model.Step
    tasks: list[Task]
    open_count: int
    run_times: list[tuple[ids.VmId, int]] = dataclasses.field(
        default_factory=list
    )

    def waiting_tasks(self) -> list[Task]:
        """Return the tasks that are neither done nor running."""
        return [t for t in self.tasks if not t.done and t.run is None]
