"""Tests days on which one VM leaves most starts unanswered."""

import asyncio

import testtools

from support.sim import scenarios
from support.sim import world as world_module
from wagtailtiller.owner import acknowledgements

_LATE_SHARE = 0.7
_CALM_S = 6.0
_FAULT_S = 14.0
_SAMPLE_S = 0.02
# The rule LOST lets a job wait no longer.
_MAX_WAIT_S = 3.0
# A VM lists no more ended runs at a time.
_MAX_LISTED_ENDS = 500
_SEEDS = (2, 6)


class _Samples:
    """What is sampled while a VM executes most starts late.

    Attributes:
        most_ends: Highest number of ended runs that the VM has listed.
        longest_s: Longest time for which it has listed one.
    """

    def __init__(self):
        self.most_ends = 0
        self.longest_s = 0.0
        self._listed_s = {}

    def take(self, vm, now_s):
        self.most_ends = max(self.most_ends, len(vm.ended))
        for end in vm.ended:
            listed_s = self._listed_s.setdefault(end.position, now_s)
            self.longest_s = max(self.longest_s, now_s - listed_s)


class LateStartsTest(testtools.TestCase):
    def test_ends_are_acknowledged_and_starts_sent_beside_late_starts(self):
        """Guards against ends or starts that wait for 15 s for one another."""
        closed_s = self.record_waits_of_starts()
        for seed in _SEEDS:
            samples = _Samples()
            simulated = world_module.simulate(
                scenarios.small(seed), self.inject(samples)
            )
            self.assertEqual([], simulated.oracle.violations, f"seed {seed}")
            self.assertLess(0, samples.most_ends)
            self.assertLess(samples.most_ends, _MAX_LISTED_ENDS)
            self.assertLess(samples.longest_s, _MAX_WAIT_S, f"seed {seed}")
            self.assertNotEqual([], closed_s)
            self.assertLess(max(closed_s), _MAX_WAIT_S, f"seed {seed}")

    def inject(self, samples):
        async def leave_starts_unanswered(world):
            await asyncio.sleep(_CALM_S)
            vm = world.rng.choice(world.fleet.live_vms())
            vm.late_share = _LATE_SHARE
            loop = asyncio.get_running_loop()
            end_s = loop.time() + _FAULT_S
            while loop.time() < end_s:
                await asyncio.sleep(_SAMPLE_S)
                samples.take(vm, loop.time())
            vm.late_share = 0.0

        return leave_starts_unanswered

    def record_waits_of_starts(self):
        """Return the list to which the times without starts are added."""
        durations_s = []

        class RecordedEvent(asyncio.Event):
            closed_s = None

            def clear(self):
                if self.is_set():
                    self.closed_s = asyncio.get_running_loop().time()
                super().clear()

            def set(self):
                if self.closed_s is not None:
                    now_s = asyncio.get_running_loop().time()
                    durations_s.append(now_s - self.closed_s)
                    self.closed_s = None
                super().set()

        initialise = acknowledgements.Acknowledgements.__init__

        def initialise_recorded(instance, *arguments):
            initialise(instance, *arguments)
            instance.starts_allowed = RecordedEvent()
            instance.starts_allowed.set()

        self.patch(
            acknowledgements.Acknowledgements, "__init__", initialise_recorded
        )
        return durations_s
