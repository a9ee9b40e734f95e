"""Tests of the fleet's decisions on machines, in virtual time."""

import testtools

from support import clocks
from support import fakes
from wagtailtiller import ids
from wagtailtiller.maintenance import demand
from wagtailtiller.maintenance import fleet as fleet_module
from wagtailtiller.owner import messages
from wagtailtiller.ports import machines

_RENDERS = ids.PoolId("renders")
_SPARE = ids.PoolId("spare")
_WAVE = ids.WaveId("1")


class FleetTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clocks.FakeClock()
        self.fleet = fleet_module.Fleet(self.clock)
        self.need = demand.Demand()
        self.fleet.pools = {
            _RENDERS: fleet_module.PoolStatus(False, self.need),
            _SPARE: fleet_module.PoolStatus(True, None),
        }
        self.listed = {}

    def add(self, name, pool, state=machines.MachineState.UP):
        vm = "" if pool == _SPARE else f"vm-{name}"
        self.listed[name] = fakes.machine(name, vm, pool, state)
        self.fleet.list_machines(list(self.listed.values()))

    def load(self, name, lasting_runs=0, runs=0):
        vm = ids.VmId(f"vm-{name}")
        self.fleet.loads[vm] = messages.VmLoad(
            vm, runs + lasting_runs, lasting_runs, 32_000, 0, True
        )

    def demand(self, cores=0.0, long_running_waiting=0):
        self.need.note(
            demand.PoolLoad(
                self.clock.now_ms,
                0.0,
                0,
                0,
                int(cores * 1_000),
                0,
                long_running_waiting,
            )
        )

    def follow(self, **load):
        """Follow the pool for as long as it keeps its machines."""
        for _ in range(10):
            self.demand(**load)
            self.clock.advance(200)

    def wave(self, *names, max_out=1):
        wave = machines.Wave(_WAVE, names, 20_000, max_out)
        self.fleet.waves[_WAVE] = fleet_module.TrackedWave(wave, set())

    def operations(self, **fields):
        return [
            operation
            for operation in self.fleet.operations.values()
            if all(getattr(operation, k) == v for k, v in fields.items())
        ]

    def test_a_wave_over_a_pool_s_only_machine_brings_another_in(self):
        self.add("a", _RENDERS)
        self.add("b", _SPARE)
        self.load("a", lasting_runs=4)
        self.demand(cores=2)
        self.wave("a")
        self.fleet.plan()
        self.assertEqual(["b"], [e.machine for e in self.operations(wave=None)])

    def test_a_new_manager_watches_a_pool_before_it_gives_machines_back(self):
        for name in "abc":
            self.add(name, _RENDERS)
            self.load(name)
        self.demand(cores=2)
        self.fleet.plan()
        self.assertEqual([], self.operations())
        self.follow(cores=2)
        self.fleet.plan()
        self.assertEqual(2, len(self.operations(pool=_SPARE)))

    def test_a_new_manager_lends_machines_to_a_pool_that_is_short(self):
        for name in "abc":
            self.add(name, _RENDERS)
            self.load(name)
        other = ids.PoolId("plates")
        need = demand.Demand()
        need.note(demand.PoolLoad(0, 0.0, 0, 0, 40_000, 0, 0))
        self.fleet.pools[other] = fleet_module.PoolStatus(False, need)
        self.demand(cores=2)
        self.fleet.plan()
        self.assertEqual(2, len(self.operations(pool=other)))

    def test_a_long_running_task_without_room_brings_a_machine_in(self):
        self.add("a", _RENDERS)
        self.add("b", _SPARE)
        self.load("a", lasting_runs=3)
        self.demand(cores=2, long_running_waiting=1)
        self.fleet.plan()
        self.assertEqual(["b"], [e.machine for e in self.operations()])

    def test_a_long_running_task_without_room_brings_in_only_one(self):
        self.add("a", _RENDERS)
        for name in "bcd":
            self.add(name, _SPARE)
        self.load("a", lasting_runs=3)
        self.demand(cores=2, long_running_waiting=1)
        for _ in range(4):
            self.fleet.plan()
        self.assertEqual(1, len(self.operations()))

    def test_no_more_are_out_than_the_wave_allows(self):
        for name in "abcd":
            self.add(name, _RENDERS)
            self.load(name)
        self.demand(cores=100)
        self.wave("a", "b", "c", "d", max_out=2)
        self.fleet.plan()
        self.fleet.plan()
        self.assertEqual(2, len(self.operations(wave=_WAVE)))

    def test_a_maintained_machine_counts_as_out_until_it_is_back(self):
        for name in "ab":
            self.add(name, _RENDERS)
            self.load(name)
        self.demand(cores=60)
        self.wave("a", "b")
        self.fleet.plan()
        (operation,) = self.operations(wave=_WAVE)
        self.fleet.ordered(operation, machines.MachineOutcome.DONE)
        self.fleet.list_machines(list(self.listed.values()))
        self.fleet.plan()
        self.assertEqual(1, len(self.operations(wave=_WAVE)))

    def test_maintenance_that_a_previous_manager_began_counts(self):
        for name in "abcd":
            self.add(name, _RENDERS)
            self.load(name)
        self.add("a", _RENDERS, machines.MachineState.UPKEEP)
        self.demand(cores=100)
        self.wave("a", "b", "c", "d", max_out=2)
        self.fleet.waves[_WAVE].done.add("a")
        self.fleet.plan()
        self.assertEqual(1, len(self.operations(wave=_WAVE)))

    def test_maintenance_that_a_previous_manager_may_have_ordered_counts(self):
        for name in "abcd":
            self.add(name, _RENDERS)
            self.load(name)
        self.demand(cores=100)
        self.wave("a", "b", "c", "d", max_out=2)
        self.fleet.start_cooldown({"a", "b"}, self.clock.now_ms + 3_000)
        self.fleet.plan()
        self.assertEqual([], self.operations(wave=_WAVE))
        self.clock.advance(3_000)
        self.demand(cores=100)
        self.fleet.plan()
        self.assertEqual(2, len(self.operations(wave=_WAVE)))

    def test_a_machine_is_ordered_only_on_fresh_word_that_it_is_empty(self):
        self.add("a", _RENDERS)
        self.load("a")
        self.demand()
        self.wave("a")
        self.fleet.plan()
        (operation,) = self.operations(wave=_WAVE)
        self.assertFalse(self.fleet.may_order(operation))
        self.fleet.vacated(operation, 0)
        self.assertTrue(self.fleet.may_order(operation))
        self.clock.advance(1_000)
        self.assertFalse(self.fleet.may_order(operation))

    def test_an_idle_machine_goes_back_to_standby(self):
        for name in "abc":
            self.add(name, _RENDERS)
            self.load(name)
        self.add("s", _SPARE)
        self.follow(cores=20)
        self.fleet.plan()
        self.assertEqual(2, len(self.operations(pool=_SPARE)))

    def test_a_machine_with_long_running_tasks_stays(self):
        for name in "ab":
            self.add(name, _RENDERS)
            self.load(name, lasting_runs=1)
        self.add("s", _SPARE)
        self.demand(cores=5)
        self.fleet.plan()
        self.assertEqual([], self.operations())
