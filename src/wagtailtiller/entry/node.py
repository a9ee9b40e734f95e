"""Connects the parts of one entry process."""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import random

from wagtailtiller import clock as clock_module
from wagtailtiller import events
from wagtailtiller import ids
from wagtailtiller import loop_monitor
from wagtailtiller import runtime
from wagtailtiller import tasks
from wagtailtiller.entry import frontend
from wagtailtiller.entry import peers
from wagtailtiller.entry import settings as settings_module
from wagtailtiller.entry import shards
from wagtailtiller.maintenance import machine_manager as machine_manager_module
from wagtailtiller.owner import messages
from wagtailtiller.owner import pool_owner
from wagtailtiller.ownership import claims
from wagtailtiller.ports import catalogue
from wagtailtiller.ports import declarations
from wagtailtiller.ports import machines
from wagtailtiller.ports import policy
from wagtailtiller.ports import store
from wagtailtiller.ports import vms

MACHINES_SHARD = ids.ShardId("machines")
_SESSION_CHECK_INTERVAL_MS = 250
_ASK_TIMEOUT_MS = 500
_INCARNATION_BITS = 128
# Bounds the hand-over, because the new owners cannot start before the owner
# keys of this process are deleted.
_HAND_OVER_TIMEOUT_S = 1.5
# The machine manager orders no machine while the lease in the store may have
# expired.
_MANAGER_MAX_SESSION_AGE_MS = 1_500


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
        self._owner_ports = pool_owner.OwnerPorts(
            adapters.store,
            adapters.connect,
            adapters.machines,
            adapters.placement_policy,
            clock,
            rng,
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
        )
        self.frontend = frontend.Frontend(
            self, self._peers, adapters.store, clock
        )
        self._machine_manager: machine_manager_module.MachineManager | None = (
            None
        )
        self._vms_task: asyncio.Task[None] | None = None
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start to serve peers, follow declarations and claim shards."""
        await self._peers.serve(self._settings.peer_address, self.ask_local)
        self._adapters.declared.subscribe(self._on_declarations_change)
        self._tasks = [
            runtime.spawn(self._adapters.declared.run()),
            runtime.spawn(self._shards.run()),
            runtime.spawn(self._monitor_session()),
            runtime.spawn(loop_monitor.LoopMonitor(self._clock).run()),
        ]

    async def hand_over(self) -> None:
        """Release all shards, so that other processes can claim them."""
        if self._machine_manager is not None:
            await self._machine_manager.stop()
            self._machine_manager = None
        owners, self._owners = self._owners, {}
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_HAND_OVER_TIMEOUT_S):
                await asyncio.gather(
                    *(owner.stop() for owner in owners.values())
                )
        await self._shards.close()

    async def stop(self) -> None:
        """Stop all background tasks and the calls between processes."""
        if self._vms_task is not None:
            self._tasks.append(self._vms_task)
        await tasks.cancel_and_wait(self._tasks)
        await self._peers.close()

    # The methods of ``frontend.Directory``.

    def catalogue(self) -> catalogue.Catalogue | None:
        """Return the declared queues and pools; None until they are read."""
        return self._adapters.declared.catalogue

    def owner_address(self, pool: ids.PoolId) -> str | None:
        """Return the address of a pool's owner.

        Args:
            pool: Id of the pool.

        Returns:
            The address at which the owner listens for peers, as ``ip:port``;
            None if no owner is known.
        """
        owner = self._shards.owner(ids.ShardId(pool))
        return owner.address if owner is not None else None

    def owned_shards(self) -> list[ids.ShardId]:
        """Return the shards that this process owns, in order."""
        return sorted(self._shards.claims_by_shard)

    def store_answers(self) -> bool:
        """Return whether the store has responded recently."""
        return self._shards.store_answers()

    def own_address(self) -> str:
        """Return the address for peers of this process, as ``ip:port``."""
        return self._settings.peer_address

    async def ask_local(self, request: messages.Request) -> messages.Answer:
        """Answer a request about a pool that this process may own.

        Args:
            request: The request, from this process or from a peer.

        Returns:
            The answer; ``NotOwner`` if this process does not own the pool.
        """
        owner = self._owners.get(request.pool)
        if owner is None:
            return messages.NotOwner()
        return await owner.answer(request)

    # Changes of the declarations and of the owned shards.

    def _on_declarations_change(self) -> None:
        declared = self._adapters.declared
        if declared.catalogue is None:
            return
        required_shards = {
            ids.ShardId(queue.pool) for queue in declared.catalogue.queues
        }
        if self._adapters.machines is not None:
            required_shards.add(MACHINES_SHARD)
        self._shards.set_shards(required_shards)
        for owner in self._owners.values():
            self._update_owner(owner)

    def _update_owner(self, owner: pool_owner.PoolOwner) -> None:
        declared = self._adapters.declared
        if declared.catalogue is not None:
            owner.set_queues(declared.catalogue.queues)
            owner.set_organisations(declared.catalogue.organisations or {})
        owner.set_reports(
            {
                report.vm: report
                for report in declared.vms.values()
                if report.pool == owner.pool_id
            }
        )

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
            self._shards,
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
            lambda: (
                self._shards.session_age_ms() <= _MANAGER_MAX_SESSION_AGE_MS
            ),
            self._rng,
        )

    async def _ask_owner(
        self, pool: ids.PoolId, request: messages.Request
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
        owner = self._owners.get(ids.PoolId(claim.shard))
        if owner is not None and owner.claim == claim:
            self._remove_owner(owner)
            self._tasks.append(runtime.spawn(owner.stop()))

    def _on_ownership_lost(
        self, owner: pool_owner.PoolOwner, reason: str
    ) -> None:
        self._shards.remove_claim(owner.claim)
        self._on_shard_lost(owner.claim, reason)
        events.emit(
            events.Event.SHARD_LOST,
            shard=owner.claim.shard,
            epoch=owner.claim.epoch,
            reason=reason,
        )

    async def _monitor_session(self) -> None:
        while True:
            await asyncio.sleep(_SESSION_CHECK_INTERVAL_MS / 1_000)
            age_ms = self._shards.session_age_ms()
            if age_ms > pool_owner.LEASE_RENEWAL_TIMEOUT_MS:
                for owner in list(self._owners.values()):
                    self._on_ownership_lost(owner, "store_silent")
            elif self._shards.store_answers():
                await self._hand_over_to_stronger()

    async def _hand_over_to_stronger(self) -> None:
        """Give a pool to a much stronger VM that has returned.

        The machine manager stays, since it needs little and a successor has to
        wait before its first order.
        """
        for owner in list(self._owners.values()):
            if not owner.ready or not self._shards.should_hand_over(
                owner.claim
            ):
                continue
            self._remove_owner(owner)
            await owner.stop()
            await self._shards.release(owner.claim)
            events.emit(
                events.Event.SHARD_LOST,
                shard=owner.claim.shard,
                epoch=owner.claim.epoch,
                reason="handed_over",
            )
            return

    def _remove_owner(self, owner: pool_owner.PoolOwner) -> None:
        del self._owners[owner.pool_id]
        if not self._owners and self._vms_task is not None:
            self._vms_task.cancel()
            self._vms_task = None
