"""State that the entry processes keep in the store, for operators to read."""

import collections
import dataclasses

import msgspec

from wagtailtiller import ids
from wagtailtiller import keys
from wagtailtiller.jobs import job as job_module
from wagtailtiller.jobs import model
from wagtailtiller.jobs import record
from wagtailtiller.jobs import task as task_module
from wagtailtiller.maintenance import manager_state
from wagtailtiller.ownership import claims
from wagtailtiller.ownership import shard as shard_module
from wagtailtiller.ports import store
from wagtailtiller.scheduling import allocation


@dataclasses.dataclass(frozen=True)
class StoredJob:
    """A job and the pool that serves it.

    Attributes:
        pool: The pool.
        job: The decoded job.
    """

    pool: ids.PoolId
    job: job_module.Job


class EntryState:
    """Decoded state of the entry processes, from one read of the store.

    Args:
        items: All keys under the prefix of the entry processes.

    Attributes:
        jobs: Jobs by id.
        owners: Current owner of each shard.
        epochs: Number of owners that each shard has had.
        members: VMs of each pool that may run tasks, sorted by name.
        waves: Progress of each wave.
        allocations: Allocations of the organisations with a limit.
        unreadable: Keys whose values cannot be decoded.
    """

    def __init__(self, items: list[store.Item]) -> None:
        self.jobs: dict[model.JobId, StoredJob] = {}
        self.owners: dict[shard_module.Shard, claims.OwnerRecord] = {}
        self.epochs: dict[shard_module.Shard, int] = {}
        self.members: dict[ids.PoolId, list[ids.VmId]] = {}
        self.waves: dict[ids.WaveId, manager_state.WaveProgress] = {}
        self.allocations = allocation.Document()
        self.unreadable: list[str] = []
        for item in items:
            try:
                self._add_item(item.key, item.value or b"")
            except (msgspec.MsgspecError, ValueError):
                self.unreadable.append(item.key)

    def count_states(self) -> dict[ids.PoolId, collections.Counter[str]]:
        """Return the number of jobs in each state, by pool."""
        counts: dict[ids.PoolId, collections.Counter[str]] = {}
        for stored in self.jobs.values():
            counter = counts.setdefault(stored.pool, collections.Counter())
            counter[stored.job.state.value] += 1
        return counts

    def member_count(self, shard: shard_module.Shard) -> int:
        """Return the number of VMs that may run tasks of a shard."""
        match shard:
            case shard_module.PoolShard(pool=pool):
                return len(self.members.get(pool, []))
            case shard_module.MachinesShard():
                return 0

    def _add_item(self, key: str, value: bytes) -> None:
        if key.startswith(keys.JOBS_PREFIX):
            self._add_job(key, value)
        elif key.startswith(keys.OWNER_PREFIX):
            owner = msgspec.json.decode(value, type=claims.OwnerRecord)
            shard = shard_module.read(key.removeprefix(keys.OWNER_PREFIX))
            self.owners[shard] = owner
        elif key.startswith(keys.EPOCH_PREFIX):
            shard = shard_module.read(key.removeprefix(keys.EPOCH_PREFIX))
            self.epochs[shard] = int(value)
        elif key.startswith(keys.MEMBERS_PREFIX):
            vm_ids = msgspec.json.decode(value, type=dict[ids.VmId, str])
            pool = ids.PoolId(key.removeprefix(keys.MEMBERS_PREFIX))
            self.members[pool] = sorted(vm_ids)
        elif key.startswith(keys.WAVE_PREFIX):
            progress = msgspec.msgpack.decode(
                value, type=manager_state.WaveProgress
            )
            wave = ids.WaveId(key.removeprefix(keys.WAVE_PREFIX))
            self.waves[wave] = progress
        elif key == keys.ALLOCATIONS:
            self.allocations = allocation.decode(value)

    def _add_job(self, key: str, value: bytes) -> None:
        named = keys.read_job(key)
        decoded = record.decode(value)
        if named is None or decoded.is_error():
            self.unreadable.append(key)
            return
        pool, _ = named
        self.jobs[decoded.ok.id] = StoredJob(pool, decoded.ok)


def organisation_rows(
    document: allocation.Document,
) -> list[tuple[str, str, str, int, int, int]]:
    """Return what each organisation with a limit has and asks for.

    Args:
        document: Allocations of the organisations.

    Returns:
        Organisation, resource with its unit, pool, limit, allocation and
        demand; the pool ``all`` has the sums.
    """
    rows: list[tuple[str, str, str, int, int, int]] = []
    for organisation, limit in sorted(document.limits.items()):
        entries = sorted(document.entries.get(organisation, {}).items())
        for number, resource in enumerate(allocation.Amounts._fields):
            amount = limit.amounts[number]
            if not amount:
                continue
            pools = [
                (pool, entry.allocation[number], entry.demand[number])
                for pool, entry in entries
            ]
            held = sum(row[1] for row in pools)
            asked = sum(row[2] for row in pools)
            for pool, allocated, demand in [("all", held, asked), *pools]:
                rows.append(
                    (organisation, resource, pool, amount, allocated, demand)
                )
    return rows


def explain(
    entry_state: EntryState, job_id: model.JobId, now_wall_ms: int
) -> list[str]:
    """Describe the progress of a job and what it waits for.

    Args:
        entry_state: State read from the store.
        job_id: The job's id.
        now_wall_ms: Current wall-clock time in Unix milliseconds.

    Returns:
        The lines of the description.
    """
    stored = entry_state.jobs.get(job_id)
    if stored is None:
        return [
            f"job {job_id} is not in the store: it was never accepted, or its"
            " retention time has passed",
            "search the logs for job_refused, job_unanswered and job_accepted"
            " with its id",
        ]
    job = stored.job
    age_s = (now_wall_ms - job.accepted_wall_ms) / 1_000
    lines = [
        f"job {job_id} of queue {job.queue} in pool {stored.pool} is"
        f" {job.state.value}, accepted {age_s:.1f} s ago under epoch"
        f" {job.accepted_epoch}"
    ]
    if not job.is_final():
        lines.append(_describe_owner(entry_state, stored.pool))
    for occurrence in job.open_occurrences(now_wall_ms):
        lines.extend(_describe_steps(job, occurrence))
    due_ms = job.next_due_ms(now_wall_ms)
    if due_ms is not None and not job.is_final():
        lines.append(f"next due in {(due_ms - now_wall_ms) / 1_000:.1f} s")
    return lines


def _describe_owner(entry_state: EntryState, pool: ids.PoolId) -> str:
    shard = shard_module.PoolShard(pool)
    owner = entry_state.owners.get(shard)
    if owner is None:
        return f"pool {pool} has no owner: no task starts until it has one"
    members = ", ".join(entry_state.members.get(pool, [])) or "none"
    return (
        f"pool {pool} is owned by {owner.node} at epoch {owner.epoch};"
        f" VMs that may run its tasks: {members}"
    )


def _describe_steps(job: job_module.Job, occurrence: int) -> list[str]:
    steps = job.steps(occurrence)
    prefix = f"occurrence {occurrence}, " if job.spec.repeat_count else ""
    return [
        f"{prefix}step {step_run.number}: {_describe_step(step_run, steps)}"
        for step_run in steps
    ]


def _describe_step(
    step_run: task_module.StepRun, steps: list[task_module.StepRun]
) -> str:
    total = len(step_run.tasks)
    done = total - step_run.open_count
    failed = sum(len(task.failed_runs) for task in step_run.tasks)
    text = f"{done} of {total} tasks done, {failed} runs failed"
    blocking_steps = [n for n in step_run.step.after if steps[n].open_count]
    if blocking_steps:
        names = ", ".join(str(number) for number in blocking_steps)
        return f"{text}; waits for step {names}"
    if step_run.open_count:
        return f"{text}; ready: its tasks run or wait for capacity"
    return text
