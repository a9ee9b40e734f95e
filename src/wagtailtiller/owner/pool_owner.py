"""Owns one pool: takes over, plans, answers the other processes."""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import random
from typing import Protocol

import msgspec

from wagtailtiller import clock as clock_module
from wagtailtiller import errors
from wagtailtiller import events
from wagtailtiller import follower
from wagtailtiller import ids
from wagtailtiller import runtime
from wagtailtiller import tasks
from wagtailtiller.jobs import model
from wagtailtiller.jobs import record
from wagtailtiller.owner import former_vms
from wagtailtiller.owner import journal as journal_module
from wagtailtiller.owner import keys
from wagtailtiller.owner import members as members_module
from wagtailtiller.owner import messages
from wagtailtiller.owner import policy_queue
from wagtailtiller.owner import requests
from wagtailtiller.owner import vm_link
from wagtailtiller.ownership import claims
from wagtailtiller.ownership import mirror
from wagtailtiller.ownership import session
from wagtailtiller.ports import catalogue
from wagtailtiller.ports import machines
from wagtailtiller.ports import policy
from wagtailtiller.ports import store
from wagtailtiller.ports import vms
from wagtailtiller.scheduling import commands
from wagtailtiller.scheduling import pool as pool_module
from wagtailtiller.scheduling import vm as vm_module

# How long an owner goes on without having renewed its lease in the store;
# its successor waits for that where a VM of the pool does not answer it.
ORDERS_WITHOUT_STORE_MS = 6_000
# Long enough for a successor to extend what runs; a VM that has died is given
# up this late.
_LONGEST_LEASE_MS = 5_000
# New VMs are used only on a lease that was renewed so recently.
_FRESH_SESSION_MS = 1_300
_PLAN_GAP_MS = 8
_PLAN_AT_LEAST_MS = 100
_TAKEOVER_RETRY_MS = 200
_FOREIGN_WAIT_MS = 5_000
_FOREIGN_PAUSE_MS = 1_000
_FORGET_EVERY_MS = 5_000
# Jobs are kept somewhat longer than promised.
_KEPT_FACTOR = 1.2


class OwnerSettings(msgspec.Struct, frozen=True):
    """What the platform lays down for owners.

    Attributes:
        lease_ms: The longest lease that VMs grant.
        job_kept_ms: How long a job is known after its end.
    """

    lease_ms: int
    job_kept_ms: int


class Contact(Protocol):
    """What is known of the process's lease and the store."""

    def session_age_ms(self) -> int:
        """Return how long ago the process's lease was known to be alive."""

    def store_answers(self) -> bool:
        """Return whether the store has answered of late."""


@dataclasses.dataclass(frozen=True)
class OwnerPorts:
    """What an owner reaches.

    Attributes:
        store: The key-value store.
        connect: Opens the connection to a VM.
        machines: The machine service; None if there is none.
        placement_policy: The placement policy service; None if there is none.
        clock: The time.
        rng: Spreads retries.
    """

    store: store.Store
    connect: Callable[[vms.VmReport], vms.VmClient]
    machines: machines.Machines | None
    placement_policy: policy.Policy | None
    clock: clock_module.Clock
    rng: random.Random


class PoolOwner:
    """One pool under this process.

    Args:
        claim: The ownership.
        ports: What it reaches.
        settings: What the platform lays down.
        lost: Called when the ownership turns out to be lost.
        contact: What is known of the process's lease and the store.
    """

    def __init__(
        self,
        claim: claims.Claim,
        ports: OwnerPorts,
        settings: OwnerSettings,
        lost: Callable[["PoolOwner", str], None],
        contact: Contact,
    ) -> None:
        clock = ports.clock
        self.claim = claim
        self.pool_id = ids.PoolId(claim.shard)
        self.pool = pool_module.Pool(self.pool_id, claim.epoch, clock)
        self.ready = False
        self._store = ports.store
        self._connect = ports.connect
        self._clock = clock
        self._settings = settings
        self._lease_ms = min(settings.lease_ms, _LONGEST_LEASE_MS)
        self._lost = lost
        self._contact = contact
        self._journal = journal_module.Journal(
            ports.store, self.pool, claim, follower.Backoff(ports.rng)
        )
        self._foreign_jobs = mirror.Mirror(
            ports.store,
            keys.jobs(self.pool_id),
            _FOREIGN_WAIT_MS,
            clock,
            follower.Backoff(ports.rng),
            self._jobs_changed,
            pause_ms=_FOREIGN_PAUSE_MS,
        )
        self._links: dict[ids.VmId, vm_link.VmLink] = {}
        self._reports: dict[ids.VmId, vms.VmReport] = {}
        self._closing = tasks.TaskGroup()
        self._wake = asyncio.Event()
        self._stopped = False
        self._members = members_module.MemberList(
            ports.store, self.pool, claim, clock, self._wake.set, self._deposed
        )
        self._former_vm_check: former_vms.FormerVmCheck | None = None
        if ports.machines is not None:
            self._former_vm_check = former_vms.FormerVmCheck(
                self.pool, self._members, ports.machines
            )
        self._requests = requests.Requests(
            self.pool,
            self._journal,
            clock,
            contact.store_answers,
            self._wake.set,
        )
        self._policy_queue: policy_queue.PolicyQueue | None = None
        if ports.placement_policy is not None:
            self._policy_queue = policy_queue.PolicyQueue(
                ports.placement_policy, self.pool, clock, self._wake.set
            )
        self._tasks = [
            runtime.spawn(self._main()),
            runtime.spawn(self._journal.run()),
            runtime.spawn(self._members.run()),
            runtime.spawn(self._forget_old_jobs()),
            runtime.spawn(self._foreign_jobs.run()),
        ]
        if self._policy_queue is not None:
            self._tasks.append(runtime.spawn(self._policy_queue.run()))

    async def stop(self) -> None:
        """Stop ordering; what runs goes on under its leases."""
        self._stopped = True
        await self._journal.flush(_TAKEOVER_RETRY_MS)
        self._journal.stop()
        await tasks.end(self._tasks)
        await asyncio.gather(*(link.close() for link in self._links.values()))
        if self.ready and self._contact.store_answers():
            await self._members.store_final()

    def set_queues(self, queues: tuple[catalogue.Queue, ...]) -> None:
        """Take the operators' queues."""
        self.pool.jobs.set_queues(queues)
        self._wake.set()

    def set_reports(self, reports: dict[ids.VmId, vms.VmReport]) -> None:
        """Take the platform's list of this pool's VMs.

        Args:
            reports: All VMs of the pool that are listed now.
        """
        for vm_id in self._reports.keys() - reports.keys():
            self.pool.vm_tracker.mark_unlisted(vm_id)
        self._reports = dict(reports)
        self._wake.set()

    # What other processes ask.

    async def answer(self, request: messages.Request) -> messages.Answer:
        """Answer another process's request."""
        if not self.ready or self._stopped:
            return messages.NotOwner()
        return await self._requests.answer(request)

    async def _main(self) -> None:
        while not await self._take_over():
            await asyncio.sleep(_TAKEOVER_RETRY_MS / 1_000)
        self.ready = True
        events.emit(
            events.Event.POOL_TAKEN,
            pool=self.pool_id,
            epoch=self.claim.epoch,
            jobs=len(self.pool.entries),
            unsettled=sorted(self.pool.unresolved),
        )
        if self._former_vm_check is not None:
            self._tasks.append(runtime.spawn(self._former_vm_check.run()))
        while True:
            await self._plan_once()

    async def _take_over(self) -> bool:
        members = await self._members.read()
        if members.is_error():
            return self._delayed(members.error)
        jobs = await self._store.read(keys.jobs(self.pool_id))
        if jobs.is_error():
            return self._delayed(jobs.error)
        until_ms = self._foreign_lease_over_ms()
        self.pool.unresolved = dict.fromkeys(self._members.stored, until_ms)
        for item in jobs.ok.items:
            self._restore(item)
        return True

    def _delayed(self, reason: errors.StoreUnavailable) -> bool:
        events.emit(
            events.Event.TAKEOVER_DELAYED,
            pool=self.pool_id,
            epoch=self.claim.epoch,
            reason=reason.reason,
        )
        return False

    def _foreign_lease_over_ms(self) -> int:
        # The former owner's last renewal is older than the store's lease.
        orders_ms = ORDERS_WITHOUT_STORE_MS - session.LEASE_TTL_MS
        lease_ms = int(self._lease_ms / vm_module.SLOWEST_CLOCK)
        return self._clock.monotonic_ms() + orders_ms + lease_ms

    def _restore(self, item: store.Item) -> None:
        decoded = record.decode(item.value or b"")
        if decoded.is_error():
            events.emit(
                events.Event.STATE_UNREADABLE,
                key=item.key,
                reason=str(decoded.error),
            )
            return
        job = decoded.ok
        if job.id in self.pool.entries:
            return
        self._journal.revisions[job.id] = item.revision
        self.pool.jobs.add(job, inherited=True, stored_state=job.state)

    def _take_reports(self) -> None:
        # A process that has slept may have a successor, which has fenced only
        # the VMs that were there then.
        if self._contact.session_age_ms() > _FRESH_SESSION_MS:
            return
        for report in list(self._reports.values()):
            self._take_report(report)

    def _take_report(self, report: vms.VmReport) -> None:
        was_unresolved = report.vm in self.pool.unresolved
        new = self.pool.vm_tracker.register(report)
        if new is None:
            return
        if was_unresolved:
            # It stays open until the VM has answered under our token.
            until_ms = self._foreign_lease_over_ms()
            self.pool.unresolved[report.vm] = until_ms
            new.lease.floor_ms = until_ms
        old = self._links.pop(report.vm, None)
        if old is not None:
            self._closing.spawn(old.close())
        self._links[report.vm] = vm_link.VmLink(
            self.pool,
            new,
            self._connect(report),
            self._journal,
            self._clock,
            self._lease_ms,
            self._wake.set,
            self._fenced,
        )

    def _fenced(self) -> None:
        if not self._stopped:
            self._lost(self, "fenced")

    def _deposed(self) -> None:
        if not self._stopped:
            self._lost(self, "store")

    # Planning.

    async def _plan_once(self) -> None:
        # Not wait_for: it can swallow a cancellation that meets the event.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_PLAN_AT_LEAST_MS / 1_000):
                await self._wake.wait()
        self._wake.clear()
        if self._journal.deposed.is_set() and not self._stopped:
            self._lost(self, "store")
            await asyncio.sleep(1)
            return
        self._take_reports()
        for vm in self.pool.vm_tracker.expire_leases():
            self._forget(vm)
        self._wake_at_next_due()
        self._members.schedule_update()
        for command in self.pool.plan(self._members.stored):
            self._dispatch(command)
        for job in list(self.pool.changed):
            entry = self.pool.entries.get(job)
            if entry is not None and entry.job.is_final():
                self.pool.changed.discard(job)
                self._journal.write(job)
        await asyncio.sleep(_PLAN_GAP_MS / 1_000)

    def _wake_at_next_due(self) -> None:
        due_ms = self.pool.jobs.next_due_in_ms()
        if due_ms is not None and due_ms < _PLAN_AT_LEAST_MS:
            loop = asyncio.get_running_loop()
            loop.call_later(max(due_ms, 1) / 1_000, self._wake.set)

    async def _forget_old_jobs(self) -> None:
        kept_ms = int(self._settings.job_kept_ms * _KEPT_FACTOR)
        while True:
            await asyncio.sleep(_FORGET_EVERY_MS / 1_000)
            old = self.pool.jobs.expired_jobs(kept_ms)[: store.MOST_ENTRIES - 2]
            if not old:
                continue
            deletes = tuple(keys.job(self.pool_id, job) for job in old)
            answer = await self._store.commit(
                store.Transaction(self.claim.expectation(), deletes=deletes)
            )
            if answer.is_ok():
                for job in old:
                    self.pool.jobs.drop(job)
                    self._journal.revisions.pop(job, None)

    def _jobs_changed(self, items: list[store.Item]) -> None:
        # Fronts store jobs themselves while they cannot reach the owner.
        if not self.ready:
            return
        for item in items:
            job = model.JobId(item.key.rpartition("/")[2])
            if item.value is not None and job not in self.pool.entries:
                self._restore(item)
                self._wake.set()

    def _dispatch(self, command: commands.Decision) -> None:
        if isinstance(command, commands.AskPolicy):
            if self._policy_queue is not None:
                self._policy_queue.put(command)
            return
        link = self._links.get(command.vm)
        if link is not None:
            link.order(command)

    def _forget(self, vm: vm_module.Vm) -> None:
        link = self._links.pop(vm.report.vm, None)
        if link is not None:
            self._closing.spawn(link.close())
