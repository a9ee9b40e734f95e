"""Tests of the planning of machine operations, in virtual time."""

import testtools

from support import clocks
from support import fakes
from wagtailtiller import ids
from wagtailtiller.maintenance import demand
from wagtailtiller.maintenance import machine_fleet
from wagtailtiller.maintenance import operations
from wagtailtiller.maintenance import returns
from wagtailtiller.owner import messages
from wagtailtiller.ports import machines

_RENDERS = ids.PoolId("renders")
_SPARE = ids.PoolId("spare")
_WAVE = ids.WaveId("1")


class FleetTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clocks.FakeClock()
        self.fleet = machine_fleet.MachineFleet(self.clock)
        self.estimator = demand.DemandEstimator()
        self.fleet.pools = {
            _RENDERS: operations.PoolStatus(False, self.estimator),
            _SPARE: operations.PoolStatus(True, None),
        }
        self.listed = {}

    def add_machine(self, name, pool, state=machines.MachineState.UP):
        vm = "" if pool == _SPARE else f"vm-{name}"
        self.listed[name] = fakes.machine(name, vm, pool, state)
        self.update_machines()

    def update_machines(self, requested_ms_ago=0):
        requested_ms = self.clock.monotonic_ms() - requested_ms_ago
        self.fleet.update_machines(list(self.listed.values()), requested_ms)

    def set_load(self, name, long_running=0, runs=0):
        vm = ids.VmId(f"vm-{name}")
        self.fleet.loads[vm] = messages.VmLoad(
            vm, runs + long_running, long_running, 32_000, 0, True
        )

    def add_sample(self, cores=0.0, long_running_waiting=0, arrived_jobs=1):
        self.estimator.add(
            demand.LoadSample(
                self.clock.now_ms,
                0.0,
                arrived_jobs,
                0,
                int(cores * 1_000),
                0,
                long_running_waiting,
            )
        )

    def add_samples(self, **sample):
        """Add samples that span the estimator's peak window."""
        for _ in range(10):
            self.add_sample(**sample)
            self.clock.advance(200)

    def add_wave(self, *names, max_out=1):
        wave = machines.Wave(_WAVE, names, 20_000, max_out)
        self.fleet.waves[_WAVE] = operations.TrackedWave(wave, set())

    def return_two_machines(self):
        """Let a pool of three begin to return two after its peak."""
        for name in "abc":
            self.add_machine(name, _RENDERS)
            self.set_load(name)
        self.add_sample(cores=80)
        self.fleet.plan()
        self.add_samples(cores=2)
        self.plan_after_phase()
        self.fleet.plan()
        self.assertEqual(2, len(self.find_operations(pool=_SPARE)))

    def plan_after_phase(self):
        """Plan while a pool's need is low and when its phase has passed."""
        self.fleet.plan()
        self.assertEqual([], self.find_operations())
        self.clock.advance(1_000)
        self.fleet.plan()

    def find_operations(self, **fields):
        """Return the operations whose attributes have the given values."""
        return [
            operation
            for operation in self.fleet.operations.values()
            if all(getattr(operation, k) == v for k, v in fields.items())
        ]

    def test_a_wave_over_the_only_machine_of_a_pool_moves_another_in(self):
        self.add_machine("a", _RENDERS)
        self.add_machine("b", _SPARE)
        self.set_load("a", long_running=4)
        self.add_sample(cores=2)
        self.add_wave("a")
        self.fleet.plan()
        self.assertEqual(
            ["b"], [o.machine for o in self.find_operations(wave=None)]
        )

    def test_a_new_manager_observes_a_pool_before_it_returns_machines(self):
        for name in "abc":
            self.add_machine(name, _RENDERS)
            self.set_load(name)
        self.add_sample(cores=80)
        self.fleet.plan()
        self.add_sample(cores=2)
        self.fleet.plan()
        self.assertEqual([], self.find_operations())
        self.add_samples(cores=2)
        self.plan_after_phase()
        self.fleet.plan()
        self.assertEqual(2, len(self.find_operations(pool=_SPARE)))

    def test_pools_keep_their_machines_until_the_first_work_arrives(self):
        # Load pattern: a site starts, and its first peak follows seconds later.
        for name in "abc":
            self.add_machine(name, _RENDERS)
            self.set_load(name)
        self.add_samples(arrived_jobs=0)
        self.fleet.plan()
        self.assertEqual([], self.find_operations())
        self.add_sample(arrived_jobs=1)
        self.fleet.plan()
        self.assertEqual([], self.find_operations())
        self.add_samples(arrived_jobs=1)
        self.fleet.plan()
        self.assertEqual([], self.find_operations())

    def test_a_phase_that_does_not_come_is_awaited_for_a_bounded_time(self):
        # Load pattern: light, even load on pools of several machines.
        for name in "abc":
            self.add_machine(name, _RENDERS)
            self.set_load(name)
        self.add_samples(cores=2)
        self.fleet.plan()
        self.clock.advance(returns.KEEP_GIVEN_SIZE_MS)
        self.add_samples(cores=2)
        self.assertEqual([], self.find_operations())
        for _ in range(5):
            self.fleet.plan()
        self.assertEqual(2, len(self.find_operations(pool=_SPARE)))

    def test_successor_does_not_keep_the_sizes_that_it_finds(self):
        """Load pattern: the machine manager changes while a peak ends.

        Guards against pools that keep all machines of the peak for longer with
        each new machine manager.
        """
        self.fleet = machine_fleet.MachineFleet(
            self.clock, sizes_are_given=False
        )
        self.fleet.pools = {
            _RENDERS: operations.PoolStatus(False, self.estimator),
            _SPARE: operations.PoolStatus(True, None),
        }
        for name in "abc":
            self.add_machine(name, _RENDERS)
            self.set_load(name)
        self.add_samples(cores=2)
        self.fleet.plan()
        self.assertNotEqual([], self.find_operations(pool=_SPARE))

    def test_long_running_tasks_without_room_are_not_taken_for_a_peak(self):
        """Load pattern: long-running tasks start first, the peak comes later.

        Guards against a pool that gives its machines back after the start.
        """
        for name in "abc":
            self.add_machine(name, _RENDERS)
            self.set_load(name)
        self.add_sample(cores=2, long_running_waiting=1)
        self.fleet.plan()
        self.add_samples(cores=2)
        self.plan_after_phase()
        self.fleet.plan()
        self.assertEqual([], self.find_operations(pool=_SPARE))

    def test_a_machine_on_its_way_out_is_recalled_when_work_arrives(self):
        # Load pattern: a pool returns machines, and a burst follows before
        # their VMs are vacated. Moving them out and back takes 3 s or more.
        self.return_two_machines()
        self.add_machine("s", _SPARE)
        self.add_sample(cores=80)
        self.fleet.plan()
        self.assertEqual([], self.find_operations())
        self.assertEqual(2, len(self.fleet.cancelled_moves))

    def test_a_machine_that_was_ordered_is_not_recalled(self):
        # The platform may carry out an order to which it did not respond.
        self.return_two_machines()
        self.add_machine("s", _SPARE)
        first, second = self.find_operations(pool=_SPARE)
        self.fleet.record_order(first)
        self.fleet.record_outcome(first, machines.MachineOutcome.UNANSWERED)
        self.add_sample(cores=80)
        self.fleet.plan()
        self.assertEqual([first], self.find_operations(pool=_SPARE))
        self.assertEqual(
            ["s"], [o.machine for o in self.find_operations(pool=_RENDERS)]
        )

    def test_a_recalled_machine_is_not_ordered_after_a_late_answer(self):
        # The owner's report that the VM is empty arrives after the recall.
        self.return_two_machines()
        operation = self.find_operations(pool=_SPARE)[0]
        self.add_sample(cores=80)
        self.fleet.plan()
        self.fleet.record_runs_left(operation, 0, self.clock.monotonic_ms())
        self.assertFalse(self.fleet.may_order(operation))

    def test_a_new_manager_moves_surplus_machines_to_a_short_pool(self):
        for name in "abc":
            self.add_machine(name, _RENDERS)
            self.set_load(name)
        other = ids.PoolId("plates")
        estimator = demand.DemandEstimator()
        estimator.add(demand.LoadSample(0, 0.0, 0, 0, 40_000, 0, 0))
        self.fleet.pools[other] = operations.PoolStatus(False, estimator)
        self.add_sample(cores=2)
        self.fleet.plan()
        self.assertEqual(2, len(self.find_operations(pool=other)))

    def test_a_waiting_long_running_task_moves_a_machine_in(self):
        self.add_machine("a", _RENDERS)
        self.add_machine("b", _SPARE)
        self.set_load("a", long_running=3)
        self.add_sample(cores=2, long_running_waiting=1)
        self.fleet.plan()
        self.assertEqual(["b"], [o.machine for o in self.find_operations()])

    def test_a_waiting_long_running_task_moves_only_one_machine_in(self):
        self.add_machine("a", _RENDERS)
        for name in "bcd":
            self.add_machine(name, _SPARE)
        self.set_load("a", long_running=3)
        self.add_sample(cores=2, long_running_waiting=1)
        for _ in range(4):
            self.fleet.plan()
        self.assertEqual(1, len(self.find_operations()))

    def test_machines_with_long_running_tasks_are_vacated_early(self):
        """Load pattern: a wave over half of the fleet, close to its end."""
        for name in "abcdefgh":
            self.add_machine(name, _RENDERS)
            self.set_load(name, long_running=int(name in "fgh"))
        self.add_sample(cores=8 * 32)
        self.add_wave(*"abcdefgh", max_out=4)
        self.fleet.plan()
        self.assertEqual(
            ["a", "b", "f", "g"],
            sorted(o.machine for o in self.find_operations(wave=_WAVE)),
        )
        self.set_load("f")
        for name in "ab":
            (operation,) = self.find_operations(machine=name)
            self.fleet.record_outcome(operation, machines.MachineOutcome.DONE)
        self.listed["a"] = fakes.machine("a", "vm-a2", _RENDERS)
        self.update_machines()
        self.fleet.plan()
        self.assertTrue(self.find_operations(machine="h"))

    def test_a_wave_takes_at_most_max_out_machines_out_of_service(self):
        for name in "abcd":
            self.add_machine(name, _RENDERS)
            self.set_load(name)
        self.add_sample(cores=100)
        self.add_wave("a", "b", "c", "d", max_out=2)
        self.fleet.plan()
        self.fleet.plan()
        self.assertEqual(2, len(self.find_operations(wave=_WAVE)))

    def test_a_maintained_machine_counts_as_out_until_it_is_in_service(self):
        for name in "ab":
            self.add_machine(name, _RENDERS)
            self.set_load(name)
        self.add_sample(cores=60)
        self.add_wave("a", "b")
        self.fleet.plan()
        (operation,) = self.find_operations(wave=_WAVE)
        self.fleet.record_outcome(operation, machines.MachineOutcome.DONE)
        self.update_machines()
        self.fleet.plan()
        self.assertEqual(1, len(self.find_operations(wave=_WAVE)))

    def test_maintenance_started_by_a_previous_manager_counts_as_out(self):
        for name in "abcd":
            self.add_machine(name, _RENDERS)
            self.set_load(name)
        self.add_machine("a", _RENDERS, machines.MachineState.MAINTENANCE)
        self.add_sample(cores=100)
        self.add_wave("a", "b", "c", "d", max_out=2)
        self.fleet.waves[_WAVE].maintained.add("a")
        self.fleet.plan()
        self.assertEqual(1, len(self.find_operations(wave=_WAVE)))

    def test_a_machine_in_cooldown_counts_as_out(self):
        # A previous manager may have ordered its maintenance for the wave.
        for name in "abcd":
            self.add_machine(name, _RENDERS)
            self.set_load(name)
        self.add_sample(cores=100)
        self.add_wave("a", "b", "c", "d", max_out=2)
        self.fleet.start_cooldown({"a", "b"}, self.clock.now_ms + 3_000)
        self.fleet.plan()
        self.assertEqual([], self.find_operations(wave=_WAVE))
        self.clock.advance(3_000)
        self.add_sample(cores=100)
        self.fleet.plan()
        self.assertEqual([], self.find_operations(wave=_WAVE))
        self.update_machines(requested_ms_ago=1)
        self.fleet.plan()
        self.assertEqual([], self.find_operations(wave=_WAVE))
        self.update_machines()
        self.fleet.plan()
        self.assertEqual(2, len(self.find_operations(wave=_WAVE)))

    def test_a_machine_is_ordered_only_after_a_recent_empty_report(self):
        self.add_machine("a", _RENDERS)
        self.set_load("a")
        self.add_sample()
        self.add_wave("a")
        self.fleet.plan()
        (operation,) = self.find_operations(wave=_WAVE)
        self.assertFalse(self.fleet.may_order(operation))
        self.fleet.record_runs_left(operation, 0, self.clock.monotonic_ms())
        self.assertTrue(self.fleet.may_order(operation))
        self.clock.advance(1_000)
        self.assertFalse(self.fleet.may_order(operation))

    def test_idle_machines_return_to_standby(self):
        for name in "abc":
            self.add_machine(name, _RENDERS)
            self.set_load(name)
        self.add_machine("s", _SPARE)
        self.add_sample(cores=90)
        self.fleet.plan()
        self.add_samples(cores=20)
        self.plan_after_phase()
        for count in (1, 2, 2):
            self.assertEqual(count, len(self.find_operations(pool=_SPARE)))
            self.fleet.plan()

    def test_a_machine_with_long_running_tasks_is_not_moved(self):
        for name in "ab":
            self.add_machine(name, _RENDERS)
            self.set_load(name, long_running=1)
        self.add_machine("s", _SPARE)
        self.add_sample(cores=5)
        self.fleet.plan()
        self.assertEqual([], self.find_operations())
