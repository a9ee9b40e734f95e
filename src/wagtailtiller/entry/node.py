"""Connects the parts of one entry process."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import dataclasses
import random
from typing import Any

from wagtailtiller import clock as clock_module
from wagtailtiller import events
from wagtailtiller import ids
from wagtailtiller import keys
from wagtailtiller import limited_calls
from wagtailtiller import loop_monitor
from wagtailtiller import runtime
from wagtailtiller import tasks
from wagtailtiller.entry import contact as contact_module
from wagtailtiller.entry import frontend
from wagtailtiller.entry import hand_over as hand_over_module
from wagtailtiller.entry import peers
from wagtailtiller.entry import settings as settings_module
from wagtailtiller.entry import shards
from wagtailtiller.maintenance import machine_manager as machine_manager_module
from wagtailtiller.owner import messages
from wagtailtiller.owner import pool_owner
from wagtailtiller.owner import queue_pools
from wagtailtiller.ownership import authority
from wagtailtiller.ownership import claims
from wagtailtiller.ownership import shard as shard_module
from wagtailtiller.ownership import succession
from wagtailtiller.ports import catalogue
from wagtailtiller.ports import declarations
from wagtailtiller.ports import machines
from wagtailtiller.ports import policy
from wagtailtiller.ports import store
from wagtailtiller.ports import vms
from wagtailtiller.scheduling import job_memory
from wagtailtiller.scheduling import state

MACHINES_SHARD = shard_module.MachinesShard()
_SESSION_CHECK_INTERVAL_MS = 250
_ASK_TIMEOUT_MS = 500
# Ordinary jobs of some seconds, however many processes there are.
_MIN_UNOWNED_BYTES = 2_000_000
_INCARNATION_BITS = 128
_ANY_EPOCH = 0
_HAND_OVER_CHECK_INTERVAL_MS = 250
# Longest wait for the store at a planned stop. It must be short, because the
# new owners cannot start before this process has released its shards.
_LEAVING_TIMEOUT_S = 0.4
_SESSION_END_TIMEOUT_S = 0.4

_Service = pool_owner.PoolOwner | machine_manager_module.MachineManager


@dataclasses.dataclass(frozen=True)
class Adapters:
    """The adapters of an entry process to external services.

    Attributes:
        store: Client of the store.
        declared: Live view of what operators and VMs have written.
        connect: Opens a client for a VM.
        machines: Client of the machine service; None if there is none.
        peers: Client and server for calls between entry processes.
        placement_policy: Client of the placement policy service; None if
            there is none.
    """

    store: store.Store
    declared: declarations.Declarations
    connect: Callable[[vms.VmReport], vms.VmClient]
    machines: machines.MachineService | None
    peers: peers.Peers
    placement_policy: policy.Policy | None = None


class EntryNode:
    """One entry process.

    Args:
        settings: The settings of the process.
        adapters: The adapters to external services.
        clock: Clock that supplies the current time.
        rng: Random source that generates the id of this start of the process
            and spreads retries.

    Attributes:
        frontend: Serves the callers.
    """

    def __init__(
        self,
        settings: settings_module.EntrySettings,
        adapters: Adapters,
        clock: clock_module.Clock,
        rng: random.Random,
    ) -> None:
        self._rng = rng
        self._settings = settings
        self._adapters = adapters
        self._clock = clock
        self._queue_pools = queue_pools.QueuePools()
        job_calls = limited_calls.LimitedCalls(
            adapters.store, settings.max_job_calls
        )
        self._owner_ports = pool_owner.OwnerPorts(
            adapters.store,
            adapters.connect,
            adapters.machines,
            adapters.placement_policy,
            clock,
            rng,
            self._queue_pools,
            job_memory.JobMemory(settings.max_job_bytes, self._owned_pools),
            job_calls,
        )
        self._owners: dict[ids.PoolId, pool_owner.PoolOwner] = {}
        self._peers = adapters.peers
        own_record = claims.NodeRecord(
            settings.node,
            settings.peer_address,
            f"{rng.getrandbits(_INCARNATION_BITS):x}",
            settings.data_centre,
            claims.shard_capacity(
                settings.capacity.cpu_millicores, settings.capacity.link_mbps
            ),
        )
        self._shards = shards.Shards(
            adapters.store,
            own_record,
            clock,
            self._on_shard_gained,
            self._on_shard_lost,
            rng,
            self._on_owner_change,
            self._on_queue_items,
        )
        self._contact = contact_module.PeerContact(
            self._shards.store_answers,
            self._shards.peer_addresses,
            self._ping,
            lambda owner: self.frontend.follow(owner),
            rng,
        )
        self._loop_monitor = loop_monitor.LoopMonitor(clock)
        self.frontend = frontend.Frontend(
            self,
            self._peers,
            job_calls,
            clock,
            self._lateness_ms,
            job_memory.UnownedJobs(
                self._max_unowned_bytes, settings.job_kept_ms, clock
            ),
        )
        self._machine_manager: machine_manager_module.MachineManager | None = (
            None
        )
        self._vms_task: asyncio.Task[None] | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._background = tasks.TaskGroup()
        self._stopping = False
        self._logged_version: int | None = None
        self._withheld: set[shard_module.Shard] = set()

    async def start(self) -> None:
        """Start to serve peers, follow declarations and claim shards."""
        await self._peers.serve(self._settings.peer_address, self.ask_local)
        self._adapters.declared.subscribe(self._on_declarations_change)
        self._tasks = [
            runtime.spawn(self._adapters.declared.run()),
            runtime.spawn(self._shards.run()),
            runtime.spawn(self._contact.run()),
            runtime.spawn(self._monitor_session()),
            runtime.spawn(self._hand_over_when_better()),
            runtime.spawn(self._loop_monitor.run()),
        ]

    async def hand_over(self) -> None:
        """Release all shards, so that other processes can claim them.

        The record of this process stays in the store until ``stop``, so that
        the others know that it is leaving.
        """
        self._stopping = True
        await self._run_limited(
            self._shards.announce_leaving(), _LEAVING_TIMEOUT_S
        )
        plans = self._shards.plan_stop()
        outcomes = await asyncio.gather(
            *(
                self._hand_over(claim, plans[claim.shard])
                for claim in list(self._shards.claims_by_shard.values())
            )
        )
        if hand_over_module.Outcome.NOT_RELEASED in outcomes:
            await self._end_session()

    async def stop(self) -> None:
        """Stop all background tasks and the calls between processes."""
        await self._end_session()
        if self._vms_task is not None:
            self._tasks.append(self._vms_task)
        await tasks.cancel_and_wait(self._tasks)
        await self._background.cancel()
        await self._peers.close()

    async def _end_session(self) -> None:
        await self._run_limited(self._shards.close(), _SESSION_END_TIMEOUT_S)

    async def _run_limited(
        self, main: Coroutine[Any, Any, None], limit_s: float
    ) -> None:
        """Wait for a coroutine for a limited time; it goes on afterwards."""
        await asyncio.wait({self._background.spawn(main)}, timeout=limit_s)

    # The methods of ``frontend.Directory``.

    def catalogue(self) -> catalogue.Catalogue | None:
        """Return the declared queues and pools; None until they are read."""
        return self._adapters.declared.catalogue

    def queue_pools(self) -> queue_pools.QueuePools:
        """Return the pools in which each queue has had jobs."""
        return self._queue_pools

    def owner_address(self, pool: ids.PoolId) -> str | None:
        """Return the address of a pool's owner.

        Args:
            pool: Id of the pool.

        Returns:
            The address at which the owner listens for peers, as ``ip:port``;
            None if no owner is known.
        """
        owner = self._shards.owner(shard_module.PoolShard(pool))
        return owner.address if owner is not None else None

    def owner_epoch(self, pool: ids.PoolId) -> int:
        """Return the epoch of a pool's last known owner, or 0."""
        return self._shards.owner_epoch(shard_module.PoolShard(pool))

    def owned_shards(self) -> list[shard_module.Shard]:
        """Return the shards that this process owns, in order."""
        return sorted(
            self._shards.claims_by_shard, key=shard_module.by_key_name
        )

    def store_answers(self) -> bool:
        """Return whether the store has responded recently."""
        return self._shards.store_answers()

    def is_cut_off(self) -> bool:
        """Return whether only this process has lost the store and its peers."""
        return self._contact.cut_off

    def own_address(self) -> str:
        """Return the address for peers of this process, as ``ip:port``."""
        return self._settings.peer_address

    async def ask_local(self, request: messages.Request) -> messages.Answer:
        """Answer a request about a pool that this process may own.

        Args:
            request: The request, from this process or from a peer.

        Returns:
            The answer; ``Pong`` to ``Ping``; ``NotOwner`` if this process does
            not own the pool, or not under the epoch that the request is meant
            for.
        """
        if isinstance(request, messages.Ping):
            return self._pong()
        owner = self._owners.get(request.pool)
        if owner is None or not _is_for(request, owner.claim):
            return self._not_owner(request.pool)
        answer = await owner.answer(request)
        if isinstance(answer, messages.NotOwner):
            return self._not_owner(request.pool)
        return answer

    async def _ping(self, address: str) -> messages.Pong | None:
        answer = await self._peers.ask(
            address, messages.Ping(), contact_module.PING_TIMEOUT_MS
        )
        return answer if isinstance(answer, messages.Pong) else None

    def _pong(self) -> messages.Pong:
        return messages.Pong(
            tuple(
                messages.KnownOwner(shard.pool, owner.address, owner.epoch)
                for shard, owner in self._shards.owners().items()
                if isinstance(shard, shard_module.PoolShard)
            )
        )

    def _not_owner(self, pool: ids.PoolId) -> messages.NotOwner:
        known = self._shards.owner(shard_module.PoolShard(pool))
        if known is None:
            return messages.NotOwner()
        return messages.NotOwner(known.address, known.epoch)

    # Changes of the declarations and of the owned shards.

    def _on_owner_change(self, shard: shard_module.Shard) -> None:
        if isinstance(shard, shard_module.PoolShard):
            self.frontend.on_owner_change(shard.pool)

    def _on_declarations_change(self) -> None:
        if self._adapters.declared.catalogue is None:
            return
        self._log_unserved_queues()
        self._update_required_shards()
        for owner in self._owners.values():
            self._update_owner(owner)

    def _log_unserved_queues(self) -> None:
        """Log once a version which queues cannot be served, and why."""
        declared = self._adapters.declared.catalogue
        if declared is None or declared.version == self._logged_version:
            return
        self._logged_version = declared.version
        for queue in declared.queues:
            reason = keys.too_long(queue)
            if reason:
                events.emit(
                    events.Event.QUEUE_NOT_SERVED,
                    queue=queue.queue,
                    pool=queue.pool,
                    cause=reason,
                    version=declared.version,
                )

    def _on_queue_items(self, items: list[store.Item]) -> None:
        self._queue_pools.listed = True
        changes = [self._queue_pools.update(item) for item in items]
        if any(changes):
            self._update_required_shards()

    def _update_required_shards(self) -> None:
        """Set which shards exist, with the pools that queues have left."""
        declared = self._adapters.declared.catalogue
        if declared is None:
            return
        pools = {
            queue.pool for queue in declared.queues if not keys.too_long(queue)
        }
        required_shards: set[shard_module.Shard] = {
            shard_module.PoolShard(pool)
            for pool in pools | self._queue_pools.all_pools()
        }
        if self._adapters.machines is not None:
            required_shards.add(MACHINES_SHARD)
        self._shards.set_shards(required_shards)

    def _update_owner(self, owner: pool_owner.PoolOwner) -> None:
        declared = self._adapters.declared
        if declared.catalogue is not None:
            owner.set_queues(declared.catalogue.queues)
            owner.set_guards_capacity(
                any(
                    pool.pool == owner.pool_id and pool.guards_capacity
                    for pool in declared.catalogue.pools
                )
            )
            owner.set_organisations(
                declared.catalogue.organisations or {},
                declared.catalogue.version,
            )
        owner.set_reports(
            {
                report.vm: report
                for report in declared.vms.values()
                if report.pool == owner.pool_id
            }
        )

    def _max_unowned_bytes(self) -> int:
        # All processes may store jobs of one pool.
        share = self._settings.max_job_bytes // max(
            1, self._shards.node_count()
        )
        return max(share, _MIN_UNOWNED_BYTES)

    def _owned_pools(self) -> list[state.PoolState]:
        return [owner.pool for owner in self._owners.values()]

    def _on_shard_gained(self, claim: claims.Claim) -> None:
        if claim.shard == MACHINES_SHARD:
            self._start_machine_manager(claim)
            return
        if self._vms_task is None:
            self._vms_task = runtime.spawn(self._adapters.declared.follow_vms())
        owner = pool_owner.PoolOwner(
            claim,
            self._owner_ports,
            pool_owner.OwnerSettings(
                self._settings.vm_lease_ms,
                self._settings.job_kept_ms,
                self._settings.overload_control,
            ),
            self._on_ownership_lost,
            self._shards.authority,
            self._shards.store_answers,
        )
        self._owners[owner.pool_id] = owner
        self._update_owner(owner)

    def _start_machine_manager(self, claim: claims.Claim) -> None:
        assert self._adapters.machines is not None
        self._machine_manager = machine_manager_module.MachineManager(
            claim,
            self._adapters.store,
            self._adapters.machines,
            self._adapters.declared,
            self._ask_owner,
            self._clock,
            self._settings.machine_lease_ms,
            self._shards.authority,
            self._on_ownership_lost,
            self._rng,
            self._queue_pools.all_pools,
        )

    async def _ask_owner(
        self, pool: ids.PoolId, request: messages.PoolRequest
    ) -> messages.Answer | None:
        address = self.owner_address(pool)
        if address is None:
            return None
        if address == self.own_address():
            return await self.ask_local(request)
        return await self._peers.ask(address, request, _ASK_TIMEOUT_MS)

    def _on_shard_lost(self, claim: claims.Claim, reason: str) -> None:
        if (
            self._machine_manager is not None
            and self._machine_manager.claim == claim
        ):
            self._tasks.append(runtime.spawn(self._machine_manager.stop()))
            self._machine_manager = None
        owner = self._owner_of(claim.shard)
        if owner is not None and owner.claim == claim:
            self._remove_owner(owner)
            self._tasks.append(runtime.spawn(owner.stop()))

    def _on_ownership_lost(self, service: _Service, reason: str) -> None:
        self._shards.remove_claim(service.claim)
        self._on_shard_lost(service.claim, reason)
        events.emit(
            events.Event.SHARD_LOST,
            shard=service.claim.shard.key_name,
            epoch=service.claim.epoch,
            reason=reason,
            session_age_ms=self._shards.authority.lease_age_ms(),
        )

    async def _monitor_session(self) -> None:
        while True:
            await asyncio.sleep(_SESSION_CHECK_INTERVAL_MS / 1_000)
            if not self._shards.authority.allows(authority.Action.COMMAND_VMS):
                for service in self._services():
                    self._on_ownership_lost(service, "store_silent")

    def _services(self) -> list[_Service]:
        """Return what serves the shards of this process."""
        services: list[_Service] = list(self._owners.values())
        if self._machine_manager is not None:
            services.append(self._machine_manager)
        return services

    async def _hand_over_when_better(self) -> None:
        """Hand over shards that another process would serve better."""
        while True:
            await asyncio.sleep(_HAND_OVER_CHECK_INTERVAL_MS / 1_000)
            self._publish_lateness()
            if not self._stopping and self._shards.store_answers():
                await self._hand_over_one()

    def _publish_lateness(self) -> None:
        gauge = self._loop_monitor.gauge
        if self._shards.set_late(gauge.late):
            events.emit(
                events.Event.LATENESS_CHANGED,
                late=gauge.late,
                recent_ms=self._lateness_ms(),
            )

    def _lateness_ms(self) -> int:
        return self._loop_monitor.gauge.recent_ms(self._clock.monotonic_ms())

    async def _hand_over_one(self) -> None:
        """Hand over one shard at most, the pools before the machines."""
        late_now = self._loop_monitor.gauge.late_now
        shard_claims = sorted(
            self._shards.claims_by_shard.values(),
            key=lambda claim: (
                claim.shard == MACHINES_SHARD,
                claim.shard.key_name,
            ),
        )
        for claim in shard_claims:
            if not self._is_ready(claim):
                continue
            match self._shards.plan_hand_over(
                claim, late_now, self._lateness_ms()
            ):
                case succession.Plan() as plan:
                    await self._hand_over(claim, plan)
                    return
                case succession.Withheld() as withheld:
                    self._log_withheld(claim, withheld)
                case None:
                    self._withheld.discard(claim.shard)

    def _is_ready(self, claim: claims.Claim) -> bool:
        if claim.shard == MACHINES_SHARD:
            return self._machine_manager is not None
        owner = self._owner_of(claim.shard)
        return owner is not None and owner.ready

    def _log_withheld(
        self, claim: claims.Claim, withheld: succession.Withheld
    ) -> None:
        if claim.shard in self._withheld:
            return
        self._withheld.add(claim.shard)
        events.emit(
            events.Event.HAND_OVER_WITHHELD,
            shard=claim.shard.key_name,
            epoch=claim.epoch,
            comparable=withheld.comparable_count,
            late=withheld.late_count,
        )

    async def _hand_over(
        self, claim: claims.Claim, plan: succession.Plan
    ) -> hand_over_module.Outcome:
        """Stop serving a shard and release it, in limited time."""
        started_ms = self._clock.monotonic_ms()
        events.emit(
            events.Event.HAND_OVER_STARTED,
            shard=claim.shard.key_name,
            epoch=claim.epoch,
            reason=plan.reason.value,
            successor=plan.successor.node if plan.successor else "",
        )
        outcome = await hand_over_module.run(
            self._detach(claim.shard),
            lambda: self._shards.release(claim, plan.successor),
            self._background,
        )
        events.emit(
            events.Event.SHARD_LOST,
            shard=claim.shard.key_name,
            epoch=claim.epoch,
            reason=plan.reason.value,
            session_age_ms=self._shards.authority.lease_age_ms(),
        )
        events.emit(
            events.Event.HAND_OVER_ENDED,
            shard=claim.shard.key_name,
            epoch=claim.epoch,
            outcome=outcome.value,
            took_ms=self._clock.monotonic_ms() - started_ms,
        )
        return outcome

    def _detach(
        self, shard: shard_module.Shard
    ) -> hand_over_module.Stop | None:
        """Stop to answer for a shard, and return what stops its service."""
        if shard == MACHINES_SHARD:
            manager, self._machine_manager = self._machine_manager, None
            return manager.stop if manager is not None else None
        owner = self._owner_of(shard)
        if owner is None:
            return None
        self._remove_owner(owner)
        return owner.stop

    def _owner_of(
        self, shard: shard_module.Shard
    ) -> pool_owner.PoolOwner | None:
        match shard:
            case shard_module.PoolShard(pool=pool):
                return self._owners.get(pool)
            case shard_module.MachinesShard():
                return None

    def _remove_owner(self, owner: pool_owner.PoolOwner) -> None:
        del self._owners[owner.pool_id]
        if not self._owners and self._vms_task is not None:
            self._vms_task.cancel()
            self._vms_task = None


def _is_for(request: messages.PoolRequest, claim: claims.Claim) -> bool:
    """Return whether a request may be answered under a claim."""
    if not isinstance(request, messages.Submit):
        return True
    return request.epoch in (_ANY_EPOCH, claim.epoch)
