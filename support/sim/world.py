"""Assembles a simulated day: processes, machines, jobs, callers and faults."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import dataclasses
import random
import signal
from typing import Any

import msgspec

from support.sim import credit
from support.sim import fleet as fleet_module
from support.sim import load
from support.sim import loop as loop_module
from support.sim import oracle as oracle_module
from support.sim import process as process_module
from support.sim import store as store_module
from support.sim import truth as truth_module
from wagtailtiller import ids
from wagtailtiller import keys
from wagtailtiller.entry import frontend
from wagtailtiller.entry import outcomes
from wagtailtiller.entry import settings as settings_module
from wagtailtiller.jobs import model
from wagtailtiller.jobs import record
from wagtailtiller.ports import catalogue
from wagtailtiller.ports import store
from wagtailtiller.ports import vms

STANDBY = ids.PoolId("spare")
_WARM_UP_S = 4.0
_AVAILABILITY_SAMPLE_S = 2.0
_RECOVERY_S = 14.0
_MAX_DRAIN_S = 40
_CALLER_TIMEOUT_MS = 3_000
_CALLER_ATTEMPTS = 5
_RETRY_MS = 300


@dataclasses.dataclass(frozen=True)
class Scenario:
    """Parameters of a simulated day.

    Attributes:
        kinds: Kinds of jobs that callers send.
        demand: Schedule of the demand peaks.
        length_ms: Time during which jobs are sent.
        machines: Initial number of machines by pool.
        processes: Number of entry processes.
        strong_processes: How many of them run on much stronger VMs.
        millicores: Processor capacity of each VM.
        memory_mb: Memory of each VM.
        guards_capacity: Whether VMs refuse starts that do not fit.
        max_lease_ms: Longest lease that VMs grant.
        prices: Prices for the evaluation of the day.
        seed: Seed of all random numbers.
    """

    kinds: list[load.JobKind]
    demand: load.DemandCycle
    length_ms: int
    machines: dict[ids.PoolId, int]
    processes: int = 3
    strong_processes: int = 0
    millicores: int = 32_000
    memory_mb: int = 131_072
    guards_capacity: bool = True
    max_lease_ms: int = 6_000
    prices: credit.Prices = credit.Prices()
    seed: int = 1


_STRONG_CAPACITY = settings_module.Capacity(2_150, 200.0)

FaultInjector = Callable[["World"], Coroutine[Any, Any, None]]


def _process_name(number: int) -> str:
    return f"e{number}"


class World:
    """All parts of one simulated day.

    Args:
        scenario: Parameters of the day.

    Attributes:
        scenario: Parameters of the day.
        rng: Random source of the processes, the store and the faults.
        clock: Clock of the platform and the callers.
        jobs: Jobs that have been sent.
        oracle: Oracle that records events and violations.
        store_service: Key-value service.
        network: Network between the entry processes.
        fleet: Machine service with its VMs.
        processes: Latest instance of each entry process by name.
        start_ms: Start of the day, at which callers begin to send jobs.
    """

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.rng = random.Random(scenario.seed)
        loop = asyncio.get_running_loop()
        assert isinstance(loop, loop_module.VirtualLoop)
        self.clock = loop_module.VirtualClock(loop)
        self.jobs = truth_module.Jobs()
        self.oracle = oracle_module.Oracle(self.jobs, self.clock.monotonic_ms)
        self.store_service = store_module.StoreService(
            self.rng, self._on_commit
        )
        self.network = process_module.Network()
        self.fleet = fleet_module.Fleet(
            self.clock,
            self.jobs,
            self.oracle,
            STANDBY,
            vms.Resources(scenario.millicores, scenario.memory_mb),
        )
        self.fleet.guards_capacity = scenario.guards_capacity
        self.fleet.max_lease_ms = scenario.max_lease_ms
        self.processes: dict[str, process_module.Process] = {}
        self.start_ms = 0
        self._instance_count = 0
        self._catalogue = _catalogue(scenario)
        self._callers: list[asyncio.Task[None]] = []

    async def simulate(self, injector: FaultInjector | None = None) -> None:
        """Run the day to its end.

        Args:
            injector: Injects faults while jobs are sent; None for no faults.
        """
        loop_module.spawn(self.store_service.run())
        loop_module.spawn(self._sample_availability())
        machine_number = 0
        for pool, count in self.scenario.machines.items():
            for _ in range(count):
                machine_number += 1
                self.fleet.add(
                    f"m{machine_number}", pool, f"r{machine_number // 4}"
                )
        for process_number in range(self.scenario.processes):
            await self.start_process(_process_name(process_number))
        await asyncio.sleep(_WARM_UP_S)
        self.start_ms = self.clock.monotonic_ms()
        injection_task = (
            loop_module.spawn(injector(self)) if injector is not None else None
        )
        await self._send_all()
        if injection_task is not None:
            await injection_task
        await self._drain()
        self.oracle.check_final_state()

    async def _sample_availability(self) -> None:
        while True:
            await asyncio.sleep(_AVAILABILITY_SAMPLE_S)
            for sim_job in self.jobs.all():
                if (
                    sim_job.long_running
                    and sim_job.accepted_ms
                    and not sim_job.final_state
                ):
                    availability = self.oracle.availability(sim_job)
                    sim_job.availability_samples.append(availability)

    async def _drain(self) -> None:
        # Long-running tasks get a fixed time to recover from faults; then the
        # other jobs get a limited time to end.
        await asyncio.sleep(_RECOVERY_S)
        for _ in range(_MAX_DRAIN_S):
            await asyncio.sleep(1)
            if not any(sim_job.is_open() for sim_job in self.jobs.all()):
                return

    async def start_process(self, name: str) -> None:
        """Start a new instance of an entry process."""
        self._instance_count += 1
        process = process_module.Process(
            name,
            self._instance_count,
            self.store_service,
            self.fleet,
            self.network,
            self._catalogue,
            self.rng,
            self._capacity(name),
        )
        self.processes[name] = process
        await process.start()

    @property
    def queues(self) -> tuple[catalogue.Queue, ...]:
        """The queues that the operators have declared last."""
        return self._catalogue.queues

    def declare(self, queues: tuple[catalogue.Queue, ...]) -> None:
        """Declare other queues; all processes learn of them at once.

        Args:
            queues: All queues from now on.
        """
        self._catalogue = msgspec.structs.replace(
            self._catalogue, version=self._catalogue.version + 1, queues=queues
        )
        for process in self.live_processes():
            process.declared.declare(self._catalogue)

    def _capacity(self, name: str) -> settings_module.Capacity:
        strong = range(self.scenario.strong_processes)
        if name in {_process_name(number) for number in strong}:
            return _STRONG_CAPACITY
        return settings_module.Capacity()

    def on_sigterm(self, signal_number: int, frame: object) -> None:
        """Record that a process has terminated itself after a failure."""
        self.oracle.violations.append(f"EXIT at {self.clock.monotonic_ms()}")

    def live_processes(self) -> list[process_module.Process]:
        """Return the processes that have not been killed or stopped."""
        return [process for process in self.processes.values() if process.alive]

    async def _send_all(self) -> None:
        arrivals = load.generate(
            self.scenario.kinds,
            self.scenario.demand,
            self.scenario.length_ms,
            random.Random(self.scenario.seed + 1),
        )
        for at_ms, sim_job in arrivals:
            wait_ms = self.start_ms + at_ms - self.clock.monotonic_ms()
            await asyncio.sleep(max(0, wait_ms) / 1_000)
            self.jobs.add(sim_job)
            sim_job.sent_ms = self.clock.monotonic_ms()
            self._callers.append(loop_module.spawn(self._run_caller(sim_job)))
        end_ms = self.start_ms + self.scenario.length_ms
        await asyncio.sleep(max(0, end_ms - self.clock.monotonic_ms()) / 1_000)

    async def _run_caller(self, sim_job: truth_module.SimJob) -> None:
        sim_job.rejected = True
        for _ in range(_CALLER_ATTEMPTS):
            outcome = await self._submit(sim_job)
            match outcome:
                case outcomes.Accepted():
                    sim_job.accepted_ms = self.clock.monotonic_ms()
                    sim_job.rejected = False
                    break
                case outcomes.Refused(retry_after_ms=retry_after_ms):
                    await asyncio.sleep(retry_after_ms / 1_000)
                case _:
                    sim_job.rejected = False
                    await asyncio.sleep(_RETRY_MS / 1_000)
        if not sim_job.accepted_ms and not sim_job.rejected:
            # The caller gives up, and cancels what may have been accepted.
            await self._cancel(sim_job)
        if sim_job.lifetime_ms and sim_job.accepted_ms:
            await asyncio.sleep(sim_job.lifetime_ms / 1_000)
            await self._cancel(sim_job)

    async def _any_process(self) -> process_module.Process:
        while not self.live_processes():
            await asyncio.sleep(_RETRY_MS / 1_000)
        return self.rng.choice(self.live_processes())

    async def _submit(
        self, sim_job: truth_module.SimJob
    ) -> outcomes.Outcome | None:
        process = await self._any_process()
        call = process.node.frontend.submit(
            frontend.Route(sim_job.queue),
            sim_job.job,
            sim_job.spec,
            _CALLER_TIMEOUT_MS,
        )
        return await loop_module.call_remote(
            call, _CALLER_TIMEOUT_MS, process.process
        )

    async def _cancel(self, sim_job: truth_module.SimJob) -> None:
        sim_job.cancel_sent_ms = self.clock.monotonic_ms()
        for _ in range(_CALLER_ATTEMPTS):
            process = await self._any_process()
            call = process.node.frontend.cancel(
                frontend.Route(sim_job.queue),
                sim_job.job,
                _CALLER_TIMEOUT_MS,
            )
            outcome = await loop_module.call_remote(
                call, _CALLER_TIMEOUT_MS, process.process
            )
            if isinstance(outcome, outcomes.Accepted | outcomes.NoSuchJob):
                sim_job.cancel_acked_ms = self.clock.monotonic_ms()
                return
            await asyncio.sleep(_RETRY_MS / 1_000)

    def _on_commit(self, transaction: store.Transaction) -> None:
        for write in transaction.writes:
            if not write.key.startswith(keys.JOBS_PREFIX):
                continue
            job = record.decode(write.value)
            sim_job = self.jobs.get(model.JobId(write.key.rpartition("/")[2]))
            if job.is_error() or sim_job is None:
                self.oracle.violations.append(
                    f"MIXED no caller has sent {write.key}"
                )
                continue
            state = job.ok.state
            if state in model.FINAL_STATES and sim_job.final_state is None:
                sim_job.final_state = state
                sim_job.final_state_ms = self.clock.monotonic_ms()
                self.oracle.record_final_state(sim_job, state)


def simulate(
    scenario: Scenario, injector: FaultInjector | None = None
) -> World:
    """Run a day in virtual time and return its final state.

    Args:
        scenario: Parameters of the day.
        injector: Injects faults while jobs are sent; None for no faults.
    """

    async def main() -> World:
        world = World(scenario)
        signal.signal(signal.SIGTERM, world.on_sigterm)
        await world.simulate(injector)
        return world

    previous_handler = signal.getsignal(signal.SIGTERM)
    try:
        return loop_module.run(main())
    finally:
        signal.signal(signal.SIGTERM, previous_handler)


def _catalogue(scenario: Scenario) -> catalogue.Catalogue:
    pools = tuple(
        catalogue.Pool(pool, scenario.guards_capacity, pool == STANDBY)
        for pool in scenario.machines
    )
    queues = tuple(kind.queue() for kind in scenario.kinds)
    return catalogue.Catalogue(1, queues, pools)
