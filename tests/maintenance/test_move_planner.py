"""Plays of the move planner under rotating demand, without VMs and network."""

import collections

import testtools

from tests.maintenance import rotating_load

_SEEDS = (1, 2, 3)
_GIVEN = dict(zip(rotating_load.POOLS, (32, 36, 39, 43), strict=True))


class RotatingLoadTest(testtools.TestCase):
    def test_no_pool_gives_machines_back_before_or_during_its_own_phase(self):
        """Load pattern: a peak phase of 5 s comes to one pool after another.

        The planner returned 37 machines in one cycle at 1.8 s, of pools whose
        phases came next.
        """
        for seed in _SEEDS:
            play = rotating_load.Play(seed)
            while play.now_ms < 19_000:
                play.step()
                for index, pool in enumerate(rotating_load.POOLS):
                    if play.now_ms <= 5_000 * index + 4_000:
                        self.assertGreaterEqual(play.size(pool), _GIVEN[pool])

    def test_a_pool_past_its_phase_returns_machines_in_steps(self):
        """Load pattern: the phase of a pool ends; a burst could still follow.

        A step leaves time to recall the machines of the steps before.
        """
        for seed in _SEEDS:
            play = rotating_load.Play(seed)
            play.run(20_000)
            away = collections.Counter(
                (at_ms, source)
                for at_ms, source, target in play.ordered
                if target == rotating_load.STANDBY
            )
            self.assertGreater(sum(away.values()), 30)
            self.assertLessEqual(max(away.values()), 16)
            for pool in rotating_load.POOLS[:2]:
                self.assertLess(play.size(pool), _GIVEN[pool] / 2)

    def test_machines_arrive_ahead_of_a_peak_phase_that_is_known(self):
        """Load pattern: the phases repeat, and the second period is forecast.

        Reaction alone has the machines in place 2.5 s after a phase begins.
        """
        for seed in _SEEDS:
            play = rotating_load.Play(seed)
            for start_ms in (30_000, 35_000, 45_000):
                play.run(start_ms - 5_000)
                pool = rotating_load.POOLS[start_ms // 5_000 % 4]
                ahead = 0.6 * _GIVEN[pool]
                self.assertLess(play.size(pool), ahead)
                play.run(start_ms + 600)
                self.assertGreater(play.size(pool), ahead)

    def test_a_pool_past_its_peak_phase_gives_machines_back_promptly(self):
        """Load pattern: as above; the forecast of the pool is low."""
        left = 0
        for seed in _SEEDS:
            play = rotating_load.Play(seed)
            play.run(32_000)
            left += play.size(rotating_load.POOLS[1])
        # 120 without a forecast.
        self.assertLess(left, 100)

    def test_phases_that_shift_are_met_by_reaction_alone(self):
        """Load pattern: at 60 s all phases are delayed by 2.5 s."""
        for seed in _SEEDS[:2]:
            shifted = rotating_load.Play(seed, shift_ms=(60_000, 2_500))
            shifted.run(60_000)
            before = shifted.outcome.missing_core_s
            shifted.run(80_000)
            missing = shifted.outcome.missing_core_s - before
            reacting = rotating_load.Play(
                seed, shift_ms=(60_000, 2_500), learns=False
            )
            reacting.run(60_000)
            before = reacting.outcome.missing_core_s
            reacting.run(80_000)
            self.assertLess(
                missing, 1.1 * (reacting.outcome.missing_core_s - before)
            )


class ComparisonTest(testtools.TestCase):
    def test_a_day_of_rotating_peaks_is_near_to_perfect_knowledge(self):
        """Load pattern: 34 s with a peak phase of 5 s in each of four pools.

        Compares the planner before seasons, this one, and one that knows the
        rates of the next 2 s from the start (docs/design/MACHINES.md).
        """
        plain, ours, perfect = (
            _mean_outcome(plain=True, learns=False),
            _mean_outcome(),
            _mean_outcome(knows=True),
        )
        self.assertLess(ours["missing_core_s"], 0.6 * plain["missing_core_s"])
        self.assertLess(ours["moves"], 0.85 * plain["moves"])
        self.assertLess(ours["machine_s"], 1.3 * plain["machine_s"])
        self.assertGreater(ours["on_time"], plain["on_time"] + 0.08)
        self.assertGreater(ours["on_time"], perfect["on_time"] - 0.05)


def _mean_outcome(**options):
    outcomes = [
        rotating_load.Play(seed, **options).run(34_000) for seed in _SEEDS
    ]
    means = {
        name: sum(getattr(outcome, name) for outcome in outcomes) / len(_SEEDS)
        for name in ("machine_s", "moves", "missing_core_s", "jobs")
    }
    on_time = sum(outcome.on_time for outcome in outcomes)
    means["on_time"] = on_time / sum(outcome.jobs for outcome in outcomes)
    return means
