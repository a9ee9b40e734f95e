"""Tests of the division of a limit between pools."""

from hypothesis import given
from hypothesis import strategies as st
import testtools

from wagtailtiller.scheduling import fair_shares


def _shares(limit, turn=0, **claims):
    return fair_shares.fair_shares(
        limit, {p: fair_shares.Claim(*c) for p, c in claims.items()}, turn
    )


class FairSharesTest(testtools.TestCase):
    def test_small_demands_are_met_and_large_ones_share_the_rest(self):
        self.assertEqual(
            {"a": 10, "b": 45, "c": 45}, _shares(100, a=(10,), b=(90,), c=(60,))
        )

    def test_what_nobody_demands_goes_to_pools_with_work(self):
        self.assertEqual(
            {"a": 45, "b": 55, "c": 0}, _shares(100, a=(10,), b=(20,), c=(0,))
        )

    def test_pools_take_turns_if_a_share_is_too_small_for_a_task(self):
        """Guards against four pools that all hold a part of a task."""
        served = set()
        for turn in range(4):
            shares = _shares(10, turn, a=(9, 7), b=(9, 7), c=(9, 7), d=(9, 7))
            served |= {pool for pool, share in shares.items() if share >= 7}
            self.assertLessEqual(sum(shares.values()), 10)
        self.assertEqual({"a", "b", "c", "d"}, served)

    @given(
        st.integers(0, 1_000),
        st.dictionaries(
            st.sampled_from("abcdef"),
            st.builds(
                fair_shares.Claim, st.integers(0, 2_000), st.integers(0, 300)
            ),
        ),
        st.integers(0, 9),
    )
    def test_sum_is_within_the_limit_and_no_share_is_negative(
        self, limit, claims, turn
    ):
        shares = fair_shares.fair_shares(limit, claims, turn)
        self.assertLessEqual(sum(shares.values()), limit)
        self.assertTrue(all(share >= 0 for share in shares.values()))
