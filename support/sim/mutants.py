"""Mutation testing: runs days with a defect until the oracle detects it.

Run as ``python -m support.sim.mutants [--days N] [--only NAME]``.
"""

import argparse
import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
from typing import Any
from unittest import mock

import msgspec

from support.sim import faults
from support.sim import oracle
from support.sim import scenarios
from support.sim import soak
from support.sim import world as world_module
from wagtailtiller import ids
from wagtailtiller.entry import frontend
from wagtailtiller.jobs import job
from wagtailtiller.jobs import record
from wagtailtiller.jobs import task as task_module
from wagtailtiller.maintenance import machine_fleet
from wagtailtiller.maintenance import operations
from wagtailtiller.owner import acknowledgements
from wagtailtiller.owner import job_writer
from wagtailtiller.owner import messages
from wagtailtiller.owner import pool_owner
from wagtailtiller.owner import requests
from wagtailtiller.owner import stored_jobs
from wagtailtiller.ownership import authority
from wagtailtiller.ownership import claims
from wagtailtiller.ownership import session
from wagtailtiller.scheduling import reconciler
from wagtailtiller.scheduling import state
from wagtailtiller.scheduling import stop_planner
from wagtailtiller.scheduling import vm as vm_module
from wagtailtiller.scheduling import vm_tracker


async def _accept_before_commit(
    self: requests.RequestHandler, request: messages.Submit
) -> messages.Answer:
    asyncio.get_running_loop().create_task(_original_submit(self, request))
    return messages.Accepted()


_original_submit = requests.RequestHandler._submit


async def _skip_flush(self: job_writer.Flush, timeout_ms: int) -> bool:
    return True


async def _skip_flush_after_ownership_loss(
    self: job_writer.Flush, timeout_ms: int
) -> bool:
    if self._ownership_lost.is_set() and not self._writes:
        return True
    return await _original_wait(self, timeout_ms)


_original_wait = job_writer.Flush.wait


def _count_each_listing(
    self: job.Job, task: task_module.Task, run_number: int, max_attempts: int
) -> None:
    """Count a failed run again although it has been counted before."""
    while run_number in task.failed_runs:
        run_number += 1_000
    _original_record_failure(self, task, run_number, max_attempts)


_original_record_failure = job.Job.record_failure


async def _acknowledge_cancel_only(
    self: requests.RequestHandler, request: messages.Cancel
) -> messages.Answer:
    return messages.Accepted()


def _keep_first_report(self: Any, report: Any) -> Any:
    """Register a VM as before, but keep the capacity of its first report."""
    known = self._state.vms.get(report.vm)
    if known is not None and known.report.born_ms == report.born_ms:
        report = msgspec.structs.replace(report, capacity=known.report.capacity)
    return _original_register(self, report)


_original_register = vm_tracker.VmTracker.register


def _take_first_token(self: Any) -> int:
    return vm_tracker._first_token(self._state.epoch)


def _acknowledge_always(self: acknowledgements.Acknowledgements) -> int:
    """Acknowledge ends beside open starts, which carry the same token."""
    self._end_deferral()
    return self._vm.stored_end_position if self._is_life_known else 0


def _count_processor_only(self: Any, step: Any, sign: int) -> None:
    if not step.filler:
        self._cpu_used += sign * step.cpu_millicores


def _ignore_listed_runs(self: Any, entry: Any, vm: Any, *rest: Any) -> None:
    """Adopt none of the listed runs."""


def _plan_whole_wave(
    self: machine_fleet.MachineFleet, tracked_wave: operations.TrackedWave
) -> None:
    for name in self._remaining_in_order(tracked_wave):
        machine = self.machines.get(name)
        if machine is not None and self._is_free(machine):
            self.start_operation(machine, wave=tracked_wave.wave.wave)


def _ignore_members(original: Any) -> Any:
    def plan(self: Any, members: Any = None) -> Any:
        return original(self, None)

    return plan


def _skip_carry_over(self: Any, old: Any, new: Any) -> None:
    """Discard the runs of a VM's previous instance."""


def _count_from_expiry(self: pool_owner.PoolOwner, vm: ids.VmId) -> int:
    """Assume that the previous owner's lease has expired by itself."""
    command_ms = authority.MAX_LEASE_AGE_MS[authority.Action.COMMAND_VMS]
    time_left_ms = command_ms - session.LEASE_TTL_MS
    lease_ms = int(self._lease_ms / vm_module.MIN_CLOCK_RATE)
    return self._clock.monotonic_ms() + time_left_ms + lease_ms


def _expire_by_own_clock(self: Any) -> Any:
    """Take leases for over that a successor may have renewed."""
    proven_ms = self._state.owned_until_ms
    self._state.owned_until_ms = self._state.clock.monotonic_ms()
    try:
        return _original_expire_leases(self)
    finally:
        self._state.owned_until_ms = proven_ms


_original_expire_leases = vm_tracker.VmTracker.expire_leases


def _hide_accepting_epoch(value: bytes) -> Any:
    """Decode a job as if it had been stored without an owner."""
    decoded = _original_decode(value)
    if decoded.is_ok():
        decoded.ok.accepted_epoch = 0
    return decoded


_original_decode = record.decode


def _without_age_limit(action: authority.Action) -> tuple[Any, str, Any]:
    allows = authority.Authority.allows

    def allow_always(
        self: authority.Authority, asked: authority.Action
    ) -> bool:
        return asked is action or allows(self, asked)

    return authority.Authority, "allows", allow_always


def _play_random_faults(seed: int) -> world_module.World:
    return soak.simulate(seed)[1]


def _play_revocation(seed: int) -> world_module.World:
    return world_module.simulate(
        scenarios.small(seed), faults.schedule(faults.revocation())
    )


def _play_split_pool(seed: int) -> world_module.World:
    return world_module.simulate(
        scenarios.split(seed), faults.schedule(faults.split_pool())
    )


def _play_late_calls(seed: int) -> world_module.World:
    return world_module.simulate(
        scenarios.split(seed), faults.schedule(faults.late_calls())
    )


def _play_returning(seed: int) -> world_module.World:
    return soak.simulate(seed, "returning")[1]


def _play_late_starts(seed: int) -> world_module.World:
    return _play_after_first_answers(seed, "late-calls")


def _play_late_acknowledgements(seed: int) -> world_module.World:
    return _play_after_first_answers(seed, "late-acknowledgements")


def _play_after_first_answers(seed: int, scenario: str) -> world_module.World:
    world = soak.simulate(seed, scenario)[1]
    # Also broken without the mutant (KNOWN-RED.txt).
    world.oracle.violations = [
        line
        for line in world.oracle.violations
        if oracle.BEFORE_FIRST_ANSWER not in line
    ]
    return world


def _play_shrinking(seed: int) -> world_module.World:
    return soak.simulate(seed, "shrinking")[1]


def _play_crashing_tasks(seed: int) -> world_module.World:
    return world_module.simulate(
        scenarios.crashing(seed), faults.schedule(faults.owner_losses())
    )


_MUTANTS: dict[str, list[tuple[object, str, object]]] = {
    "jobs are accepted before they are stored": [
        (requests.RequestHandler, "_submit", _accept_before_commit)
    ],
    "ends are acknowledged before they are stored": [
        (job_writer.Flush, "wait", _skip_flush)
    ],
    "a previous owner acknowledges ends": [
        (job_writer.Flush, "wait", _skip_flush_after_ownership_loss)
    ],
    "a failed run that is listed again counts again": [
        (job.Job, "record_failure", _count_each_listing)
    ],
    "a new owner does not wait for the previous lease to end": [
        (
            pool_owner.PoolOwner,
            "_previous_lease_end_ms",
            lambda self, vm: self._clock.monotonic_ms(),
        )
    ],
    "a new owner takes a revoked lease for an expired one": [
        (pool_owner.PoolOwner, "_previous_lease_end_ms", _count_from_expiry)
    ],
    "the next life of a VM has the lease of the former one": [
        (state.PoolState, "longest_lease_end_ms", lambda self: 0)
    ],
    "all lives of a VM get the same first token": [
        (vm_tracker.VmTracker, "_take_token", _take_first_token)
    ],
    "ends are acknowledged beside starts under the same token": [
        (
            acknowledgements.Acknowledgements,
            "take_position",
            _acknowledge_always,
        )
    ],
    "tokens are never raised": [
        (vm_tracker.VmTracker, "raise_token", lambda self, vm: vm.token)
    ],
    "all owners share one token": [
        (vm_tracker, "_first_token", lambda epoch: 0)
    ],
    "run numbers leave no gap for previous owners": [
        (job, "_UNRECORDED_RUNS_PER_EPOCH", 0)
    ],
    "steps begin at once": [
        (job.Job, "_may_begin", lambda self, step_run, steps: True)
    ],
    "failed ends are not counted": [
        (
            job.Job,
            "record_failure",
            lambda self, task, number, max_attempts: None,
        )
    ],
    "crashed VMs are not stored with the job": [
        (record, "_crashes", lambda job: {})
    ],
    "a job is complete after its first task": [
        (
            job.Job,
            "mark_done",
            lambda self, task: setattr(
                self, "state", job.model.JobState.COMPLETED
            ),
        )
    ],
    "listed runs are not adopted": [
        (reconciler.RunReconciler, "_adopt", _ignore_listed_runs)
    ],
    "runs of a VM's previous instance are discarded": [
        (vm_tracker.VmTracker, "_carry_over", _skip_carry_over)
    ],
    "leases of unresponsive VMs expire at once": [
        (vm_tracker.vm_module.LeaseTracker, "expiry_ms", lambda self: 0)
    ],
    "cancellations are acknowledged without effect": [
        (requests.RequestHandler, "_cancel", _acknowledge_cancel_only)
    ],
    "long-running tasks may all be stopped": [
        (
            stop_planner.StopPlanner,
            "_within_disruption_budget",
            lambda self, entry, run: True,
        )
    ],
    "waves have no limit": [
        (machine_fleet.MachineFleet, "_plan_wave", _plan_whole_wave)
    ],
    "a new machine manager begins at once": [
        (
            machine_fleet.MachineFleet,
            "start_cooldown",
            lambda self, machine_ids, until_ms: None,
        )
    ],
    "a machine manager continues after its lease has expired": [
        _without_age_limit(authority.Action.ORDER_MACHINES)
    ],
    "an owner with an outdated session takes new VMs": [
        _without_age_limit(authority.Action.JUDGE_VMS)
    ],
    "owners never stop while the store is unreachable": [
        _without_age_limit(authority.Action.COMMAND_VMS)
    ],
    "writes have no precondition on the owner's key": [
        (claims.Claim, "preconditions", lambda self: {})
    ],
    "VMs are used before they are stored": [
        (
            pool_owner.pool_module.Pool,
            "plan",
            _ignore_members(pool_owner.pool_module.Pool.plan),
        )
    ],
    "a former owner takes leases for over": [
        (vm_tracker.VmTracker, "expire_leases", _expire_by_own_clock)
    ],
    "jobs of a later epoch are taken over": [
        (record, "decode", _hide_accepting_epoch),
        (
            stored_jobs.StoredJobs,
            "_start_once_owned",
            lambda self, job: None,
        ),
        (
            job_writer.JobWriter,
            "is_own_write",
            lambda self, job, revision: True,
        ),
    ],
    "capacity is read once": [
        (vm_tracker.VmTracker, "register", _keep_first_report),
        (vm_tracker.VmTracker, "lower_capacity", lambda self, report: None),
    ],
    "fits ignore memory": [
        (vm_tracker.vm_module.Vm, "_adjust_usage", _count_processor_only)
    ],
    "a request with an unknown outcome counts as not run": [
        (
            frontend._Submission,
            "outcome_unknown",
            property(lambda self: False, lambda self, value: None),
        )
    ],
}


# Days of the mutants that random faults would seldom detect.
_DAYS: dict[str, Callable[[int], world_module.World]] = {
    "crashed VMs are not stored with the job": _play_crashing_tasks,
    "a new owner takes a revoked lease for an expired one": _play_revocation,
    "a former owner takes leases for over": _play_split_pool,
    "jobs of a later epoch are taken over": _play_late_calls,
    "the next life of a VM has the lease of the former one": _play_returning,
    "all lives of a VM get the same first token": _play_late_starts,
    "ends are acknowledged beside starts under the same token": (
        _play_late_acknowledgements
    ),
    "capacity is read once": _play_shrinking,
    "fits ignore memory": _play_shrinking,
}


@contextlib.contextmanager
def mutated(name: str) -> Iterator[None]:
    """Apply a mutant within a context.

    Args:
        name: Name of the mutant.
    """
    with contextlib.ExitStack() as stack:
        for target, attribute, value in _MUTANTS[name]:
            stack.enter_context(mock.patch.object(target, attribute, value))
        yield


def find_violation(name: str, days: int, first_seed: int) -> tuple[int, str]:
    """Run days with a mutant until one violates a guarantee.

    Args:
        name: Name of the mutant.
        days: Largest number of days to run.
        first_seed: Seed of the first day; later days use the next seeds.

    Returns:
        Number of days run and the names of the violated rules; 0 and an empty
        text if no day violated a guarantee.
    """
    play = _DAYS.get(name, _play_random_faults)
    with mutated(name):
        for number in range(days):
            world = play(first_seed + number)
            rules = collections.Counter(
                line.partition(" ")[0] for line in world.oracle.violations
            )
            if rules:
                return number + 1, ", ".join(sorted(rules))
    return 0, ""


def names() -> list[str]:
    """Return the names of all mutants."""
    return list(_MUTANTS)


def main() -> int:
    """Try the selected mutants and print which of them are detected."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--days", type=int, default=100)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", default="")
    options = parser.parse_args()
    for name in names():
        if options.only not in name:
            continue
        days, rules = find_violation(name, options.days, options.seed)
        verdict = f"day {days}: {rules}" if days else "not caught"
        print(f"{name}: {verdict}", flush=True)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
