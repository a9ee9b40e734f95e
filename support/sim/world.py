"""Assembles a day: processes, machines, jobs, callers and faults."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import dataclasses
import random
import signal
from typing import Any

from support.sim import credit
from support.sim import fleet as fleet_module
from support.sim import load
from support.sim import loop as loop_module
from support.sim import oracle as oracle_module
from support.sim import process as process_module
from support.sim import store as store_module
from support.sim import truth as truth_module
from wagtailtiller import ids
from wagtailtiller.entry import outcomes
from wagtailtiller.jobs import model
from wagtailtiller.jobs import record
from wagtailtiller.owner import keys
from wagtailtiller.ports import catalogue
from wagtailtiller.ports import store
from wagtailtiller.ports import vms

STANDBY = ids.PoolId("spare")
_WARM_UP_S = 4.0
_AVAILABILITY_SAMPLE_S = 2.0
_SETTLING_S = 14.0
_MAX_DRAIN_S = 40
_CALLER_TIMEOUT_MS = 3_000
_CALLER_ATTEMPTS = 5
_RETRY_MS = 300
_MAX_BODY_BYTES = 262_144


@dataclasses.dataclass(frozen=True)
class Scenario:
    """A day to be played.

    Attributes:
        kinds: Who sends jobs.
        demand: When whose turn is.
        length_ms: How long jobs are sent.
        machines: How many machines stand in each pool at the beginning.
        processes: How many entry processes there are.
        millicores: What a VM offers.
        memory_mb: What a VM offers.
        prices: What things cost.
        seed: Decides all chance.
    """

    kinds: list[load.JobKind]
    demand: load.DemandCycle
    length_ms: int
    machines: dict[ids.PoolId, int]
    processes: int = 3
    millicores: int = 32_000
    memory_mb: int = 131_072
    prices: credit.Prices = credit.Prices()
    seed: int = 1


FaultInjector = Callable[["World"], Coroutine[Any, Any, None]]


class World:
    """One day.

    Args:
        scenario: What is played.

    Attributes:
        start_ms: When the first job may be sent.
        rng: Decides what fails; faults use it too.
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
        self.processes: dict[str, process_module.Process] = {}
        self.start_ms = 0
        self._instance_count = 0
        self._catalogue = _catalogue(scenario)
        self._callers: list[asyncio.Task[None]] = []

    async def play(self, injector: FaultInjector | None = None) -> None:
        """Play the day to its end."""
        loop_module.spawn(self.store_service.run())
        loop_module.spawn(self._sample_availability())
        number = 0
        for pool, count in self.scenario.machines.items():
            for _ in range(count):
                number += 1
                self.fleet.add(f"m{number}", pool, f"r{number // 4}")
        for place in range(self.scenario.processes):
            await self.start_process(f"e{place}")
        await asyncio.sleep(_WARM_UP_S)
        self.start_ms = self.clock.monotonic_ms()
        injection_task = (
            loop_module.spawn(injector(self)) if injector is not None else None
        )
        await self._send_all()
        if injection_task is not None:
            await injection_task
        await self._finish()
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
                    share = self.oracle.availability(sim_job)
                    sim_job.availability_samples.append(share)

    async def _finish(self) -> None:
        # What lasts has some time to be at work again; the rest ends.
        await asyncio.sleep(_SETTLING_S)
        for _ in range(_MAX_DRAIN_S):
            await asyncio.sleep(1)
            if not any(sim_job.is_open() for sim_job in self.jobs.all()):
                return

    async def start_process(self, name: str) -> None:
        """Start an entry process, or start it again."""
        self._instance_count += 1
        process = process_module.Process(
            name,
            self._instance_count,
            self.store_service,
            self.fleet,
            self.network,
            self._catalogue,
            self.rng,
        )
        self.processes[name] = process
        await process.start()

    def on_sigterm(self, number: int, frame: object) -> None:
        """Take in that a process has given itself up after a failure."""
        self.oracle.violations.append(f"EXIT at {self.clock.monotonic_ms()}")

    def live_processes(self) -> list[process_module.Process]:
        """Return the processes that have not ended."""
        return [p for p in self.processes.values() if p.alive]

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
                case outcomes.Refused(retry_after_ms=retry_ms):
                    await asyncio.sleep(retry_ms / 1_000)
                case _:
                    sim_job.rejected = False
                    await asyncio.sleep(_RETRY_MS / 1_000)
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
            sim_job.queue, sim_job.job, sim_job.spec, _CALLER_TIMEOUT_MS
        )
        return await loop_module.call_remote(
            call, _CALLER_TIMEOUT_MS, process.process
        )

    async def _cancel(self, sim_job: truth_module.SimJob) -> None:
        sim_job.cancel_sent_ms = self.clock.monotonic_ms()
        for _ in range(_CALLER_ATTEMPTS):
            process = await self._any_process()
            call = process.node.frontend.cancel(
                sim_job.queue, sim_job.job, _CALLER_TIMEOUT_MS
            )
            outcome = await loop_module.call_remote(
                call, _CALLER_TIMEOUT_MS, process.process
            )
            if isinstance(outcome, outcomes.Accepted):
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
                self.oracle.violations.append(f"MIXED nobody sent {write.key}")
                continue
            state = job.ok.state
            if state in model.FINAL_STATES and sim_job.final_state is None:
                sim_job.final_state = state
                sim_job.final_state_ms = self.clock.monotonic_ms()
                self.oracle.record_final_state(sim_job, state)


def play(scenario: Scenario, injector: FaultInjector | None = None) -> World:
    """Play a day and return what it has become."""

    async def main() -> World:
        world = World(scenario)
        signal.signal(signal.SIGTERM, world.on_sigterm)
        await world.play(injector)
        return world

    before = signal.getsignal(signal.SIGTERM)
    try:
        return loop_module.run(main())
    finally:
        signal.signal(signal.SIGTERM, before)


def _catalogue(scenario: Scenario) -> catalogue.Catalogue:
    pools = tuple(
        catalogue.Pool(pool, True, pool == STANDBY)
        for pool in scenario.machines
    )
    queues = tuple(kind.queue() for kind in scenario.kinds)
    return catalogue.Catalogue(1, queues, pools, _MAX_BODY_BYTES)
