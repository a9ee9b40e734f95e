"""Tests of learned run times, team usage and used idempotency keys."""

import testtools

from wagtailtiller.dispatch import estimates
from wagtailtiller.dispatch import team_usage
from wagtailtiller.dispatch import used_keys


class RunTimesTest(testtools.TestCase):
    def test_wrong_declared_run_time_is_soon_outweighed(self):
        times = estimates.RunTimeHistogram(declared_ms=60_000)
        for _ in range(60):
            times.observe(100)
        self.assertLess(times.quantile_ms(0.9), 130)

    def test_follows_a_change_of_the_run_times(self):
        times = estimates.RunTimeHistogram(declared_ms=100)
        for run_ms in [100] * 500 + [1_000] * 800:
            times.observe(run_ms)
        self.assertGreater(times.quantile_ms(0.5), 900)


class TeamUsageTest(testtools.TestCase):
    def test_team_above_its_share_is_over_quota(self):
        usage = team_usage.TeamUsage()
        usage.charge("a", 900, 0)
        usage.charge("b", 100, 0)
        over_quota = usage.over_quota({"a": 50.0, "b": 50.0}, 0)
        self.assertEqual({"a"}, over_quota)

    def test_single_team_is_never_over_quota(self):
        usage = team_usage.TeamUsage()
        usage.charge("a", 900, 0)
        self.assertEqual(set(), usage.over_quota({"a": 1.0}, 0))

    def test_usage_decays(self):
        usage = team_usage.TeamUsage()
        usage.charge("a", 1_000, 0)
        self.assertLess(usage.recent_ms("a", 600_000), 1)


class UsedKeyTableTest(testtools.TestCase):
    def status(self, table, key=1, age_ms=0, now_ms=100_000):
        return table.status("q", key, age_ms, 60_000, now_ms)

    def test_key_is_removed_after_its_window(self):
        table = used_keys.UsedKeyTable()
        table.mark_used("q", 1, 60_000, 0)
        self.assertIs(used_keys.KeyStatus.NEW, self.status(table))
        table.mark_used("q", 2, 60_000, 100_000)
        self.assertEqual(1, len(table))

    def test_key_older_than_its_window_is_uncertain(self):
        table = used_keys.UsedKeyTable()
        verdict = self.status(table, age_ms=59_000)
        self.assertIs(used_keys.KeyStatus.UNCERTAIN, verdict)

    def test_same_key_in_another_queue_is_new(self):
        table = used_keys.UsedKeyTable()
        table.mark_used("other", 1, 60_000, 100_000)
        self.assertIs(used_keys.KeyStatus.NEW, self.status(table))
