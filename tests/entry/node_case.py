"""Base of tests with simulated entry processes, in virtual time."""

import asyncio

import testtools

from support.sim import loop as loop_module
from support.sim import scenarios
from support.sim import world as world_module

# Long enough for all processes to register and claim, and for a late owner to
# be allowed to hand over.
_START_S = 6.0
# A slowed process runs for _RUN_S, then waits for _WAIT_S.
_RUN_S = 0.02
_WAIT_S = 0.4


class NodeCase(testtools.TestCase):
    """Runs a test with entry processes that have claimed all shards."""

    def run_world(
        self,
        main,
        processes=6,
        strong_processes=0,
        guards_capacity=True,
        **fields,
    ):
        """Run a test; ``fields`` replace others of the scenario."""

        async def wrapped():
            scenario = scenarios.small()
            scenario = scenario.__class__(
                **{
                    **vars(scenario),
                    "processes": processes,
                    "strong_processes": strong_processes,
                    "guards_capacity": guards_capacity,
                    **fields,
                }
            )
            self.world = world_module.World(scenario)
            loop_module.spawn(self.world.store_service.run())
            for number, (pool, count) in enumerate(scenario.machines.items()):
                for machine in range(count):
                    self.world.fleet.add(f"m{number}-{machine}", pool, "r1")
            for number in range(processes):
                await self.world.start_process(f"e{number}")
            await asyncio.sleep(_START_S)
            await main()

        loop_module.run(wrapped())

    def owners(self):
        """Return the process that owns each shard, by the shard's key name."""
        return {
            shard.key_name: process.name
            for process in self.world.live_processes()
            for shard in process.node.owned_shards()
        }

    def epochs(self):
        items = self.world.store_service.state.read("wagtail/epochs/").items
        return {item.key: int(item.value) for item in items}

    async def slow_down(self, process, duration_s):
        """Let a process run for a small part of the time only."""
        end_ms = self.world.clock.monotonic_ms() + duration_s * 1_000
        while self.world.clock.monotonic_ms() < end_ms:
            process.pause()
            await asyncio.sleep(_WAIT_S)
            process.resume()
            await asyncio.sleep(_RUN_S)
