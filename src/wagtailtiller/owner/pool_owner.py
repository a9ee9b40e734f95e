"""The owner of one pool: takeover, planning and requests."""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import math
import random

import msgspec

from wagtailtiller import clock as clock_module
from wagtailtiller import errors
from wagtailtiller import events
from wagtailtiller import follower
from wagtailtiller import ids
from wagtailtiller import keys
from wagtailtiller import runtime
from wagtailtiller import tasks
from wagtailtiller.jobs import task as task_module
from wagtailtiller.owner import allocations
from wagtailtiller.owner import earlier_keys
from wagtailtiller.owner import job_writer as job_writer_module
from wagtailtiller.owner import members as members_module
from wagtailtiller.owner import messages
from wagtailtiller.owner import policy_queue
from wagtailtiller.owner import queue_pools
from wagtailtiller.owner import requests
from wagtailtiller.owner import start_gate
from wagtailtiller.owner import stored_jobs
from wagtailtiller.owner import unresolved_vms
from wagtailtiller.owner import vm_link
from wagtailtiller.ownership import authority
from wagtailtiller.ownership import claims
from wagtailtiller.ownership import mirror
from wagtailtiller.ownership import shard as shard_module
from wagtailtiller.ports import catalogue
from wagtailtiller.ports import machines
from wagtailtiller.ports import policy
from wagtailtiller.ports import store
from wagtailtiller.ports import vms
from wagtailtiller.scheduling import commands
from wagtailtiller.scheduling import crashes
from wagtailtiller.scheduling import job_memory as job_memory_module
from wagtailtiller.scheduling import pool as pool_module
from wagtailtiller.scheduling import vm as vm_module

# Long enough for a new owner to renew the leases of running tasks. The runs of
# a dead VM are discarded only after this time.
_MAX_LEASE_MS = 5_000
# The time of day of two machines may differ by seconds.
_OLD_LIFE_MS = 60_000
_PLAN_PAUSE_MS = 8
_MAX_PLAN_WAIT_MS = 100
_TAKEOVER_RETRY_MS = 200
# The machine manager waits 500 ms for an answer.
_PROOF_TIMEOUT_MS = 400
_PROOF_POLL_MS = 10
_JOBS_WATCH_WAIT_MS = 5_000
_JOBS_WATCH_PAUSE_MS = 1_000
_JOB_EXPIRY_INTERVAL_MS = 5_000
# Jobs are kept longer than the setting promises, by this factor.
_JOB_RETENTION_FACTOR = 1.2

_KeyReader = store.KeyReader


class OwnerSettings(msgspec.Struct, frozen=True):
    """Settings of pool owners.

    Attributes:
        lease_ms: Longest lease that VMs accept, in ms.
        job_kept_ms: Time for which a job is kept after its end, in ms.
        overload_control: Whether jobs are ordered and admitted by what a delay
            or a refusal costs their callers.
    """

    lease_ms: int
    job_kept_ms: int
    overload_control: bool = False


@dataclasses.dataclass(frozen=True)
class OwnerPorts:
    """Clients and sources that a pool owner uses.

    Attributes:
        store: Client of the key-value store.
        connect: Returns a client for a VM.
        machines: Client of the machine service; None if there is none.
        placement_policy: Client of the placement policy service; None if
            there is none.
        clock: Clock that supplies the current time.
        rng: Random source that spreads retries.
        known_pools: The pools in which each queue has had jobs.
        job_memory: Limits the memory of all jobs of the process.
        job_reader: Client that looks up jobs for callers; None for ``store``.
    """

    store: store.Store
    connect: Callable[[vms.VmReport], vms.VmClient]
    machines: machines.MachineService | None
    placement_policy: policy.Policy | None
    clock: clock_module.Clock
    rng: random.Random
    known_pools: queue_pools.QueuePools = dataclasses.field(
        default_factory=queue_pools.QueuePools
    )
    job_memory: job_memory_module.JobMemory = dataclasses.field(
        default_factory=job_memory_module.without_limit
    )
    job_reader: _KeyReader | None = None


class PoolOwner:
    """Runs one pool that this process owns.

    Args:
        claim: Claim of the pool's shard.
        ports: Clients and sources to use.
        settings: Settings of pool owners.
        on_lost: Called with this owner and a reason when the ownership is
            lost.
        owner_authority: Tells what this process may do under its lease.
        store_answers: Returns whether the store has responded recently.

    Attributes:
        claim: Claim of the pool's shard.
        pool_id: Id of the pool.
        pool: Jobs and VMs of the pool.
        ready: Whether the takeover has finished.
    """

    def __init__(
        self,
        claim: claims.Claim,
        ports: OwnerPorts,
        settings: OwnerSettings,
        on_lost: Callable[["PoolOwner", str], None],
        owner_authority: authority.Authority,
        store_answers: Callable[[], bool],
    ) -> None:
        clock = ports.clock
        self.claim = claim
        assert isinstance(claim.shard, shard_module.PoolShard)
        self.pool_id = claim.shard.pool
        self.pool = pool_module.Pool(self.pool_id, claim.epoch, clock)
        self.pool.overload_control = settings.overload_control
        self.pool.max_lease_ms = settings.lease_ms
        self.ready = False
        self._store = ports.store
        self._connect = ports.connect
        self._clock = clock
        self._settings = settings
        self._lease_ms = min(settings.lease_ms, _MAX_LEASE_MS)
        self._on_lost = on_lost
        self._authority = owner_authority
        self._store_answers = store_answers
        self._job_writer = job_writer_module.JobWriter(
            ports.store,
            self.pool,
            claim,
            follower.Backoff(ports.rng),
            ports.known_pools,
        )
        self._stored_jobs = stored_jobs.StoredJobs(
            ports.job_reader or ports.store,
            self.pool,
            self._job_writer,
            clock,
            self._on_job_read,
            self._give_up,
            ports.known_pools,
        )
        self._job_mirror = mirror.Mirror(
            ports.store,
            keys.jobs(self.pool_id),
            _JOBS_WATCH_WAIT_MS,
            clock,
            follower.Backoff(ports.rng),
            self._on_jobs_change,
            pause_ms=_JOBS_WATCH_PAUSE_MS,
        )
        self._start_gate = start_gate.StartGate(
            self._may_command, self._may_start, owner_authority.lease_age_ms
        )
        self._guards_capacity = False
        # VMs on which a previous owner may have started runs, and the time
        # until which these may go on.
        self._inherited_members: frozenset[ids.VmId] = frozenset()
        self._inherited_until_ms = 0
        self._links: dict[ids.VmId, vm_link.VmLink] = {}
        self._reports: dict[ids.VmId, vms.VmReport] = {}
        # When instances were first listed that have replaced others.
        self._replacements_ms: dict[task_module.VmInstance, int] = {}
        self._vm_calls = tasks.TaskGroup()
        self._wake = asyncio.Event()
        self._stopped = False
        self._members = members_module.MemberList(
            ports.store,
            self.pool,
            claim,
            clock,
            self._wake.set,
            self._on_ownership_lost,
        )
        self._allocations = allocations.AllocationSync(
            ports.store,
            self.pool,
            claim,
            clock,
            ports.rng,
            self._wake.set,
            self._on_ownership_lost,
        )
        self._unresolved_vm_check: unresolved_vms.UnresolvedVmCheck | None = (
            None
        )
        if ports.machines is not None:
            self._unresolved_vm_check = unresolved_vms.UnresolvedVmCheck(
                self.pool, self._members, ports.machines
            )
        self._request_handler = requests.RequestHandler(
            self.pool,
            self._job_writer,
            clock,
            store_answers,
            self._wake.set,
            self._stored_jobs.find,
            self._stored_jobs.find_in_other_pools,
            ports.job_memory,
        )
        self._policy_queue: policy_queue.PolicyQueue | None = None
        if ports.placement_policy is not None:
            self._policy_queue = policy_queue.PolicyQueue(
                ports.placement_policy, self.pool, clock, self._wake.set
            )
        self._tasks = [
            runtime.spawn(self._run()),
            runtime.spawn(self._job_writer.run()),
            runtime.spawn(self._members.run()),
            runtime.spawn(self._allocations.follow()),
            runtime.spawn(self._allocations.run()),
            runtime.spawn(self._delete_expired_jobs()),
            runtime.spawn(self._job_mirror.run()),
        ]
        if self._policy_queue is not None:
            self._tasks.append(runtime.spawn(self._policy_queue.run()))

    async def stop(self) -> None:
        """Stop sending commands.

        Runs continue on their VMs until their leases expire.
        """
        self._stopped = True
        await self._store_ended_runs()
        self._job_writer.stop()
        await tasks.cancel_and_wait(self._tasks)
        self._allocations.clear_metrics()
        await asyncio.gather(*(link.close() for link in self._links.values()))
        if self.ready and self._store_answers():
            await self._members.store_final()

    async def _store_ended_runs(self) -> None:
        # Ends that are applied during the flush are not stored by it.
        positions = [
            (vm, vm.last_end_position) for vm in self.pool.vms.values()
        ]
        if await self._job_writer.begin_flush().wait(_TAKEOVER_RETRY_MS):
            for vm, position in positions:
                vm.stored_end_position = max(vm.stored_end_position, position)

    def set_queues(self, queues: tuple[catalogue.Queue, ...]) -> None:
        """Update the queues that operators have declared.

        Args:
            queues: Declared queues; jobs of removed ones keep their terms.
        """
        self.pool.jobs.set_queues(queues)
        self._wake.set()

    def set_organisations(
        self,
        organisations: dict[ids.OrganisationId, catalogue.Organisation],
        version: int,
    ) -> None:
        """Update the organisations that operators have declared.

        Args:
            organisations: Declared organisations by name.
            version: Version of the declarations.
        """
        self.pool.organisations = organisations
        self.pool.allocations.set_organisations(organisations, version)
        self._wake.set()

    def set_guards_capacity(self, guards_capacity: bool) -> None:
        """Update whether the VMs of the pool refuse starts that do not fit.

        Args:
            guards_capacity: As declared; False until it is known.
        """
        self._guards_capacity = guards_capacity

    def set_reports(self, reports: dict[ids.VmId, vms.VmReport]) -> None:
        """Replace the list of the pool's VMs.

        Args:
            reports: Reports of all VMs of the pool that the platform lists.
        """
        for vm_id in self._reports.keys() - reports.keys():
            self.pool.vm_tracker.mark_unlisted(vm_id)
        self._replacements_ms = {
            instance: seen_ms
            for instance, seen_ms in self._replacements_ms.items()
            if instance.vm in reports
        }
        for report in reports.values():
            # Less capacity counts at once, even if this process may not take
            # new VMs now, and for starts that wait for their turn.
            self.pool.vm_tracker.lower_capacity(report)
        self._reports = dict(reports)
        self._wake.set()

    async def answer(self, request: messages.PoolRequest) -> messages.Answer:
        """Handle a request of this or another process.

        Args:
            request: Request about the pool.

        Returns:
            The answer; ``NotOwner`` before the takeover has finished, once the
            pool is given up, and to ``Vacate`` while another process may own
            the pool.
        """
        if not self.ready or self._stopped:
            return messages.NotOwner()
        if isinstance(request, messages.Vacate) and not self._may_judge_vms():
            # A new owner may have started runs on the VM.
            return messages.NotOwner()
        answer = await self._request_handler.answer(request)
        if isinstance(answer, messages.Accepted | messages.Unsure):
            return answer
        if isinstance(answer, messages.Vacated) and not await self._owns_now():
            return messages.NotOwner()
        return messages.NotOwner() if self._stopped else answer

    async def _owns_now(self) -> bool:
        """Return whether it is soon known that no other owner exists now."""
        now_ms = self._clock.monotonic_ms()
        end_ms = now_ms + _PROOF_TIMEOUT_MS
        while self._authority.owned_until_ms() < now_ms:
            if self._stopped or self._clock.monotonic_ms() >= end_ms:
                return False
            self._authority.renew_soon()
            await asyncio.sleep(_PROOF_POLL_MS / 1_000)
        return True

    async def _run(self) -> None:
        while not await self._take_over():
            await asyncio.sleep(_TAKEOVER_RETRY_MS / 1_000)
        if self._stopped:
            return
        self.ready = True
        # The copy may be newer than the jobs that the takeover has read.
        self._on_jobs_change(list(self._job_mirror.items.values()))
        events.emit(
            events.Event.POOL_TAKEN,
            pool=self.pool_id,
            epoch=self.claim.epoch,
            jobs=len(self.pool.entries),
            unsettled=sorted(self.pool.unresolved),
        )
        if self._unresolved_vm_check is not None:
            self._tasks.append(runtime.spawn(self._unresolved_vm_check.run()))
        while True:
            await self._plan_once()

    async def _take_over(self) -> bool:
        members = await self._members.read()
        if members.is_error():
            return self._log_delay(members.error)
        moved = await earlier_keys.move_jobs(
            self._store, self.claim, self.pool_id
        )
        if moved.is_error():
            return self._log_delay(moved.error)
        jobs = await self._store.read(keys.jobs(self.pool_id))
        if jobs.is_error():
            return self._log_delay(jobs.error)
        self._inherited_members = frozenset(self._members.stored)
        self.pool.unresolved = {
            vm: self._previous_lease_end_ms(vm)
            for vm in self._inherited_members
        }
        self._inherited_until_ms = max(self.pool.unresolved.values(), default=0)
        for item in jobs.ok.items:
            self._stored_jobs.restore(item)
        return True

    def _log_delay(self, reason: errors.StoreUnavailable) -> bool:
        events.emit(
            events.Event.TAKEOVER_DELAYED,
            pool=self.pool_id,
            epoch=self.claim.epoch,
            reason=reason.reason,
        )
        return False

    def _previous_lease_end_ms(self, vm: ids.VmId) -> int:
        # The store may end leases before their time, so that the previous
        # owner's last renewal may be as recent as the takeover.
        lease_ms = self._lease_ms
        if self._may_follow_other_life(vm):
            lease_ms = self._settings.lease_ms
        lease_ms = math.ceil(lease_ms / vm_module.MIN_CLOCK_RATE)
        command_ms = authority.MAX_LEASE_AGE_MS[authority.Action.COMMAND_VMS]
        return self._clock.monotonic_ms() + command_ms + lease_ms

    def _may_follow_other_life(self, vm: ids.VmId) -> bool:
        """Return whether a VM may hold a lease by a call to an earlier life.

        No lease that such a call has set lasts as long as _OLD_LIFE_MS. A VM
        that is not listed has been silent for several heartbeats, so that less
        than the usual lease is left of the longest one.
        """
        report = self._reports.get(vm)
        if report is None:
            return False
        return self._clock.wall_ms() - report.born_ms < _OLD_LIFE_MS

    def _register_vms(self) -> None:
        # If this process was paused, another one may own the pool by now. The
        # new owner has fenced only the VMs that were listed at its takeover.
        if not self._may_judge_vms():
            return
        for report in list(self._reports.values()):
            if self._may_register(report):
                self._register_vm(report)

    def _may_register(self, report: vms.VmReport) -> bool:
        """Return whether a report may be used.

        If it shows that another instance has ended, a later owner may have read
        how the runs there ended.
        """
        if not self.pool.vm_tracker.replaces_instance(report):
            return True
        instance = crashes.instance_of(report)
        is_new = instance not in self._replacements_ms
        seen_ms = self._replacements_ms.setdefault(
            instance, self._clock.monotonic_ms()
        )
        if self.pool.owned_until_ms >= seen_ms:
            return True
        if is_new:
            token = self.pool.vm_tracker.token_before_registration(report)
            self._vm_calls.spawn(self._fence(report, token))
        self._authority.renew_soon()
        return False

    async def _fence(self, report: vms.VmReport, token: int) -> None:
        """Let a VM refuse the calls that were meant for its former life.

        The call does nothing else, so that any process may send it.

        Args:
            report: Report of the VM, which is not registered yet.
            token: Fencing token that no call to the former life has carried.
        """
        client = self._connect(report)
        await client.hold(token, 0, None, 0)
        await client.close()

    def _register_vm(self, report: vms.VmReport) -> None:
        may_run_inherited = self._may_run_inherited(report.vm)
        vm = self.pool.vm_tracker.register(report)
        if vm is None:
            return
        if may_run_inherited:
            # The VM stays unresolved until it has responded under the new
            # fencing token.
            until_ms = self._previous_lease_end_ms(report.vm)
            self.pool.unresolved[report.vm] = until_ms
            vm.lease.cover(until_ms)
            vm.follows_other_life |= self._may_follow_other_life(report.vm)
        replaced_link = self._links.pop(report.vm, None)
        if replaced_link is not None:
            self._vm_calls.spawn(replaced_link.close())
        self._links[report.vm] = vm_link.VmLink(
            self.pool,
            vm,
            self._connect(report),
            self._job_writer,
            self._clock,
            self._start_gate,
            self._lease_ms,
            self._wake.set,
            self._on_fenced,
            self._stored_jobs.find,
        )

    def _may_run_inherited(self, vm: ids.VmId) -> bool:
        """Return whether a previous owner may have started runs on an instance.

        An instance that returns under the id of an earlier one, which has
        answered this owner, does not know its fencing token.
        """
        return vm in self.pool.unresolved or (
            vm in self._inherited_members
            and self._clock.monotonic_ms() < self._inherited_until_ms
        )

    def _may_judge_vms(self) -> bool:
        return self._authority.allows(authority.Action.JUDGE_VMS)

    def _may_command(self) -> bool:
        return (
            not self._stopped
            and not self._job_writer.ownership_lost.is_set()
            and self._authority.allows(authority.Action.COMMAND_VMS)
        )

    def _may_start(self) -> bool:
        return self._may_command() and (
            self._guards_capacity
            or self._authority.allows(authority.Action.START_UNGUARDED)
        )

    def _on_fenced(self) -> None:
        self._give_up("fenced")

    def _on_ownership_lost(self) -> None:
        self._give_up("store")

    def _give_up(self, reason: str) -> None:
        if not self._stopped:
            # No command is sent from now on, before the owner is stopped.
            self._stopped = True
            self._on_lost(self, reason)

    async def _plan_once(self) -> None:
        # asyncio.wait_for could swallow a cancellation that arrives together
        # with the event.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_MAX_PLAN_WAIT_MS / 1_000):
                await self._wake.wait()
        self._wake.clear()
        if self._job_writer.ownership_lost.is_set():
            self._give_up("store")
        if not self.pool.vm_tracker.has_tokens_left():
            # The next claim of the pool begins another epoch.
            self._give_up("tokens_used_up")
        if not self._may_command():
            return
        self.pool.owned_until_ms = self._authority.owned_until_ms()
        self._register_vms()
        self._expire_leases()
        self._schedule_wake_up()
        self._members.schedule_update()
        members = self._members.stored if self._may_start() else set()
        for decision in self.pool.plan(members):
            self._dispatch(decision)
        self._allocations.schedule_update()
        self._write_urgent_changes()
        await asyncio.sleep(_PLAN_PAUSE_MS / 1_000)

    def _expire_leases(self) -> None:
        for vm in self.pool.vm_tracker.expire_leases():
            self._close_link(vm)
        if self.pool.vm_tracker.has_unproven_expiry():
            # Otherwise their tasks would wait for the next usual renewal.
            self._authority.renew_soon()

    def _write_urgent_changes(self) -> None:
        # The next owner must not count the crashes of a task from the start,
        # and may not find a job's queue declared.
        urgent, self.pool.urgent = self.pool.urgent, set()
        for job in list(self.pool.changed):
            entry = self.pool.entries.get(job)
            if entry is not None and (entry.job.is_final() or job in urgent):
                self.pool.changed.discard(job)
                self._job_writer.write(job)

    def _schedule_wake_up(self) -> None:
        due_ms = self.pool.jobs.next_due_in_ms()
        if due_ms is not None and due_ms < _MAX_PLAN_WAIT_MS:
            loop = asyncio.get_running_loop()
            loop.call_later(max(due_ms, 1) / 1_000, self._wake.set)

    async def _delete_expired_jobs(self) -> None:
        retention_ms = int(self._settings.job_kept_ms * _JOB_RETENTION_FACTOR)
        while True:
            await asyncio.sleep(_JOB_EXPIRY_INTERVAL_MS / 1_000)
            expired = self.pool.jobs.expired_jobs(retention_ms)[
                : store.MAX_TRANSACTION_ENTRIES - 2
            ]
            if not expired:
                continue
            deletes = tuple(keys.job(self.pool_id, job) for job in expired)
            result = await self._store.commit(
                store.Transaction(self.claim.preconditions(), deletes=deletes)
            )
            if result.is_ok():
                for job in expired:
                    self.pool.jobs.remove(job)
                    self._job_writer.revisions.pop(job, None)

    def _on_jobs_change(self, items: list[store.Item]) -> None:
        if self.ready:
            self._stored_jobs.update(items)

    def _on_job_read(self) -> None:
        self._authority.renew_soon()
        self._wake.set()

    def _dispatch(self, decision: commands.Decision) -> None:
        if isinstance(decision, commands.PolicyQuery):
            if self._policy_queue is not None:
                self._policy_queue.put(decision)
            return
        link = self._links.get(decision.vm)
        if link is not None:
            link.send(decision)

    def _close_link(self, vm: vm_module.Vm) -> None:
        link = self._links.pop(vm.report.vm, None)
        if link is not None:
            self._vm_calls.spawn(link.close())
