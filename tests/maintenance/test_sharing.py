"""Tests of how pools that need machines share them, in virtual time."""

import testtools

from support import clocks
from support import fakes
from wagtailtiller import ids
from wagtailtiller.maintenance import demand
from wagtailtiller.maintenance import machine_fleet
from wagtailtiller.maintenance import operations
from wagtailtiller.owner import messages
from wagtailtiller.ports import machines

_PLATES = ids.PoolId("plates")
_PROOFS = ids.PoolId("proofs")
_SPARE = ids.PoolId("spare")


class SharingTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clocks.FakeClock()
        self.fleet = machine_fleet.MachineFleet(self.clock)
        self.estimators = {
            pool: demand.DemandEstimator() for pool in (_PLATES, _PROOFS)
        }
        self.fleet.pools = {
            pool: operations.PoolStatus(False, estimator)
            for pool, estimator in self.estimators.items()
        }
        self.fleet.pools[_SPARE] = operations.PoolStatus(True, None)
        self.listed = {}

    def add_machines(self, pool, count):
        for n in range(count):
            name = f"{pool}-{n}"
            self.set_machine(name, pool)

    def set_machine(self, name, pool, state=machines.MachineState.UP):
        vm = "" if pool == _SPARE else f"vm-{name}-{pool}"
        self.listed[name] = fakes.machine(name, vm, pool, state)
        self.fleet.loads[vm] = messages.VmLoad(vm, 0, 0, 0, 0, True)
        self.fleet.update_machines(
            list(self.listed.values()), self.clock.monotonic_ms()
        )

    def sample(self, pool, waiting=0, running=0, forecast=None):
        """Add a sample; the arguments are in machines of 32 cores."""
        self.estimators[pool].add(
            demand.LoadSample(
                self.clock.now_ms,
                0.0,
                1,
                waiting * 32_000,
                running * 32_000,
                0,
                0,
            ),
            None if forecast is None else forecast * 32.0,
        )

    def moves_to(self, pool):
        return sum(o.pool == pool for o in self.fleet.operations.values())

    def complete_moves(self):
        for operation in list(self.fleet.operations.values()):
            self.fleet.record_outcome(operation, machines.MachineOutcome.DONE)
            self.set_machine(operation.machine, operation.pool)

    def test_two_pools_with_equal_backlogs_get_equal_shares(self):
        """Load pattern: a burst coincides with another pool's peak phase.

        The pool that was looked at first took all that was free.
        """
        self.add_machines(_SPARE, 6)
        for pool in self.estimators:
            self.sample(pool, waiting=8)
        self.fleet.plan()
        self.assertEqual(3, self.moves_to(_PLATES))
        self.assertEqual(3, self.moves_to(_PROOFS))

    def test_a_larger_pool_gets_more_in_proportion_to_its_need(self):
        self.add_machines(_SPARE, 6)
        self.sample(_PLATES, waiting=4)
        self.sample(_PROOFS, waiting=8)
        self.fleet.plan()
        self.assertEqual(2, self.moves_to(_PLATES))
        self.assertEqual(4, self.moves_to(_PROOFS))

    def test_waiting_work_goes_before_as_much_forecast_work(self):
        """Load pattern: a pool's backlog meets another's coming peak phase."""
        self.add_machines(_SPARE, 6)
        # 0.6 of the forecast is provided ahead.
        self.sample(_PLATES, forecast=13.33)
        self.sample(_PROOFS, waiting=8)
        self.fleet.plan()
        self.assertEqual(1, self.moves_to(_PLATES))
        self.assertEqual(5, self.moves_to(_PROOFS))

    def test_a_machine_is_not_moved_on_right_after_it_has_arrived(self):
        """Load pattern: bursts alternate between two pools."""
        self.add_machines(_PLATES, 1)
        self.add_machines(_SPARE, 3)
        self.sample(_PLATES, waiting=4)
        self.fleet.plan()
        self.clock.advance(1_500)
        self.complete_moves()
        self.clock.advance(400)
        self.sample(_PLATES, running=1, forecast=0)
        self.sample(_PROOFS, waiting=4, forecast=0)
        self.fleet.plan()
        self.assertEqual(["plates-0"], list(self.fleet.operations))
        self.clock.advance(1_100)
        self.sample(_PLATES, running=1, forecast=0)
        self.sample(_PROOFS, waiting=4, forecast=0)
        self.fleet.plan()
        self.assertEqual(2, self.moves_to(_PROOFS))

    def test_a_machine_on_its_way_is_recalled_by_the_pool_that_is_shorter(self):
        """Load pattern: a burst meets a pool that is giving machines away."""
        self.add_machines(_PLATES, 4)
        self.sample(_PLATES, running=1, forecast=0)
        self.sample(_PROOFS, waiting=4)
        self.fleet.plan()
        self.assertEqual(3, self.moves_to(_PROOFS))
        self.clock.advance(200)
        self.sample(_PLATES, waiting=12)
        self.sample(_PROOFS, waiting=4)
        self.fleet.plan()
        # Each pool then has a quarter of its need.
        self.assertEqual(1, self.moves_to(_PROOFS))
