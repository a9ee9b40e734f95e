"""Tests of the learning of periodic arrivals, without a network, by load."""

import random

import testtools

from wagtailtiller import ids
from wagtailtiller.maintenance import season

_POOLS = [ids.PoolId(f"pool-{n}") for n in range(4)]
_CYCLE_MS = 200
_LEAD_MS = 2_500
_JOB_CORE_MS = 30_000
_PEAK_PER_S = (44.0, 11.2, 54.8, 14.0)
_PEAK_MS = 5_000


class _Arrivals:
    """Feeds a learner with Poisson arrivals.

    Args:
        seed: Seed of the arrivals.
        per_s: Returns the rate per second of a pool's index at a time in ms.
    """

    def __init__(self, seed, per_s):
        self._rng = random.Random(seed)
        self._per_s = per_s
        self.now_ms = 0
        self.jobs = [0] * len(_POOLS)
        self.learner = season.SeasonLearner(0)
        self.confidences = []

    def run(self, until_ms, silent=False):
        """Feed cycles until a time; without samples if ``silent``."""
        while self.now_ms < until_ms:
            for index, pool in enumerate(_POOLS):
                mean = self._per_s(index, self.now_ms) * _CYCLE_MS / 1_000
                self.jobs[index] += self._poisson(mean)
                if not silent:
                    jobs = self.jobs[index]
                    self.learner.add(
                        pool, self.now_ms, jobs, jobs * _JOB_CORE_MS
                    )
            self.now_ms += _CYCLE_MS
            self.confidences.append(self.learner.confidence)

    def forecast(self, index, lead_ms=_LEAD_MS):
        return self.learner.forecast_cores(_POOLS[index], self.now_ms, lead_ms)

    def _poisson(self, mean):
        count = 0
        left = self._rng.expovariate(1.0)
        while left < mean:
            count += 1
            left += self._rng.expovariate(1.0)
        return count


def _rotating(index, at_ms):
    in_peak = at_ms // _PEAK_MS % len(_POOLS) == index
    return _PEAK_PER_S[index] * (1.0 if in_peak else 0.0125)


def _steady(index, at_ms):
    return _PEAK_PER_S[index] / 4


class SeasonLearnerTest(testtools.TestCase):
    def test_rotating_peaks_are_known_before_the_second_phase_repeats(self):
        for seed in range(5):
            arrivals = _Arrivals(seed, _rotating)
            arrivals.run(20_000)
            self.assertIsNone(arrivals.forecast(1))
            arrivals.run(24_000)
            self.assertTrue(arrivals.learner.is_confident())
            need = _PEAK_PER_S[1] * _JOB_CORE_MS / 1_000
            self.assertGreater(arrivals.forecast(1), 0.6 * need)
            self.assertLess(arrivals.forecast(1), 2 * need)
            other_need = _PEAK_PER_S[2] * _JOB_CORE_MS / 1_000
            self.assertLess(arrivals.forecast(2), 0.2 * other_need)
            arrivals.run(60_000)
            self.assertEqual(40, arrivals.learner.period_bins)

    def test_a_phase_that_ends_is_forecast_to_end(self):
        arrivals = _Arrivals(1, _rotating)
        arrivals.run(45_600)
        need = _PEAK_PER_S[0] * _JOB_CORE_MS / 1_000
        self.assertLess(arrivals.forecast(0), 0.1 * need)
        next_need = _PEAK_PER_S[1] * _JOB_CORE_MS / 1_000
        self.assertGreater(arrivals.forecast(1), 0.5 * next_need)

    def test_even_arrivals_are_not_taken_for_a_season(self):
        # A forecast from chance would move machines for nothing.
        for seed in range(10):
            arrivals = _Arrivals(seed, _steady)
            arrivals.run(100_000)
            self.assertLess(
                max(arrivals.confidences), season.CONFIDENCE_THRESHOLD
            )

    def test_a_phase_that_shifts_lowers_the_confidence_within_a_period(self):
        for delay_ms in (2_500, 5_000, 9_000):

            def shifted(index, at_ms, delay_ms=delay_ms):
                if at_ms >= 60_000:
                    at_ms -= delay_ms
                return _rotating(index, at_ms)

            arrivals = _Arrivals(1, shifted)
            arrivals.run(60_000)
            self.assertTrue(arrivals.learner.is_confident())
            del arrivals.confidences[:]
            arrivals.run(80_000)
            self.assertLess(
                min(arrivals.confidences), season.CONFIDENCE_THRESHOLD
            )
            arrivals.run(120_000)
            self.assertTrue(arrivals.learner.is_confident())
            self.assertEqual(40, arrivals.learner.period_bins)

    def test_a_burst_in_a_period_does_not_hide_the_season(self):
        def with_burst(index, at_ms):
            burst = index == 2 and 31_000 <= at_ms < 36_000
            return _rotating(index, at_ms) * (2.5 if burst else 1.0)

        arrivals = _Arrivals(1, with_burst)
        arrivals.run(36_000)
        self.assertTrue(arrivals.learner.is_confident())

    def test_a_gap_in_the_samples_does_not_look_like_a_burst(self):
        # The owner of a pool, or the store, does not answer for 3 s.
        arrivals = _Arrivals(1, _rotating)
        arrivals.run(47_000)
        arrivals.run(50_000, silent=True)
        arrivals.run(52_000)
        self.assertTrue(arrivals.learner.is_confident())
        self.assertEqual(40, arrivals.learner.period_bins)

    def test_a_new_owner_that_counts_from_zero_is_recognised(self):
        arrivals = _Arrivals(1, _rotating)
        arrivals.run(43_000)
        arrivals.jobs[0] = 0
        arrivals.run(50_000)
        self.assertTrue(arrivals.learner.is_confident())

    def test_a_successor_with_another_steady_clock_has_the_forecast(self):
        # The machine manager dies ahead of a peak phase.
        arrivals = _Arrivals(1, _rotating)
        arrivals.run(43_000)
        stored = arrivals.learner.season()
        behind_ms = 40_000
        successor = season.SeasonLearner(behind_ms)
        successor.restore(stored, 45_000 - behind_ms)
        pool = _POOLS[2]
        now_ms = 48_000 - behind_ms
        need = _PEAK_PER_S[2] * _JOB_CORE_MS / 1_000
        for index, each in enumerate(_POOLS):
            successor.add(each, 45_000 - behind_ms, 7 * index, 1.0)
        self.assertGreater(
            successor.forecast_cores(pool, now_ms, _LEAD_MS), 0.5 * need
        )
        self.assertLess(successor.forecast_cores(pool, now_ms, 500), need / 4)

    def test_a_restored_season_that_no_longer_holds_is_dropped(self):
        arrivals = _Arrivals(1, _rotating)
        arrivals.run(43_000)
        stored = arrivals.learner.season()
        later = _Arrivals(2, lambda index, at: _rotating(index, at + 7_000))
        later.learner.restore(stored, 0)
        later.run(20_000)
        self.assertLess(min(later.confidences), season.CONFIDENCE_THRESHOLD)

    def test_a_stored_season_of_uneven_or_odd_length_is_ignored(self):
        for lengths in ((40, 39), (1,), (500,), ()):
            pools = {
                _POOLS[n]: season.PoolSeason([1] * length, 1.0)
                for n, length in enumerate(lengths)
            }
            learner = season.SeasonLearner(0)
            learner.restore(season.Season(0, 1.0, pools), 0)
            self.assertFalse(learner.is_confident())

    def test_a_pool_that_the_stored_season_does_not_have_is_forecast_idle(self):
        # A pool was declared after the season was stored.
        arrivals = _Arrivals(1, _rotating)
        arrivals.run(43_000)
        stored = arrivals.learner.season()
        successor = season.SeasonLearner(0)
        new_pool = ids.PoolId("new")
        successor.add(new_pool, 45_000, 0, 0.0)
        successor.restore(stored, 45_000)
        self.assertEqual(
            0.0, successor.forecast_cores(new_pool, 45_200, _LEAD_MS)
        )

    def test_arrivals_that_end_lower_the_confidence_within_three_seconds(self):
        # Machines would be moved for each phase of a day that has ended.
        arrivals = _Arrivals(
            1, lambda index, at: _rotating(index, at) if at < 50_000 else 0.0
        )
        arrivals.run(50_000)
        self.assertTrue(arrivals.learner.is_confident())
        arrivals.run(53_000)
        self.assertFalse(arrivals.learner.is_confident())

    def test_only_material_changes_are_stored(self):
        # Each cycle would otherwise write to the store.
        arrivals = _Arrivals(1, _rotating)
        arrivals.run(41_000)
        stored = arrivals.learner.season()
        arrivals.run(57_200)
        now = arrivals.learner.season()
        self.assertFalse(season.differs_materially(now, stored))
        moved = season.Season(now.first_bin + 6, 1.0, now.pools)
        self.assertTrue(season.differs_materially(moved, stored))
        self.assertTrue(season.differs_materially(now, None))

    def test_memory_stays_bounded_over_many_periods_and_pools(self):
        learner = season.SeasonLearner(0)
        for cycle in range(1_500):
            for number in range(40):
                learner.add(
                    ids.PoolId(f"p{number}"), cycle * _CYCLE_MS, cycle, cycle
                )
        self.assertEqual(season.MAX_POOLS, len(learner._pools))
        for arrivals in learner._pools.values():
            self.assertEqual(season.HISTORY_BINS, len(arrivals.counts))
