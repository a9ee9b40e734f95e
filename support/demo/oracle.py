"""Checks a site under load by the records of callers and endpoints.

It uses no data from the gateways and shares no code with them.
"""

import collections
from collections.abc import Iterable
import dataclasses

from support.demo import caller
from support.standins import fleet


@dataclasses.dataclass(frozen=True)
class Verdict:
    """Counts of outcomes and of errors.

    Attributes:
        sent: Requests that callers sent.
        answered: Requests that received the endpoint's response.
        not_run: Requests whose callers were told that they had not run.
        unknown: Requests that may have run.
        invalid: Requests rejected as invalid.
        lost: Requests without an outcome.
        doubled: Non-idempotent requests that were started more than once.
        false_not_run: Non-idempotent requests that ran although their caller
            was told that they had not.
        cut_off: Runs that a planned stop cut off.
        crossed: Responses that belonged to another request or member.
        budget_breaches: Planned stops that exceeded a pool's budget.
    """

    sent: int
    answered: int
    not_run: int
    unknown: int
    invalid: int
    lost: int
    doubled: int
    false_not_run: int
    cut_off: int
    crossed: int
    budget_breaches: int

    def clean(self) -> bool:
        """Return whether there are no errors."""
        return not any(
            (
                self.lost,
                self.doubled,
                self.false_not_run,
                self.cut_off,
                self.crossed,
                self.budget_breaches,
            )
        )


def judge(
    calls: list[caller.CallRecord],
    runs: list[fleet.RunRecord],
    outages: list[fleet.Outage],
    pools: dict[str, str],
    budgets: dict[str, int],
) -> Verdict:
    """Return the verdict on a site under load.

    Args:
        calls: Records of the callers.
        runs: Records of the endpoints.
        outages: Periods in which VMs were down, as the platform recorded them.
        pools: Pool of each VM.
        budgets: Number of VMs of each pool that may be down at once.
    """
    outcomes = collections.Counter(call.outcome for call in calls)
    start_counts = collections.Counter(run.caller for run in runs)
    doubled = sum(
        start_counts[call.caller] > 1 for call in calls if not call.idempotent
    )
    false_not_run = sum(
        start_counts[call.caller] > 0
        for call in calls
        if call.outcome is caller.Outcome.NOT_RUN and not call.idempotent
    )
    cut_off = sum(
        run.end is fleet.RunEnd.CUT_OFF and run.planned_stop for run in runs
    )
    return Verdict(
        sent=len(calls),
        answered=outcomes[caller.Outcome.ANSWER],
        not_run=outcomes[caller.Outcome.NOT_RUN],
        unknown=outcomes[caller.Outcome.UNKNOWN],
        invalid=outcomes[caller.Outcome.INVALID],
        lost=outcomes[caller.Outcome.LOST],
        doubled=doubled,
        false_not_run=false_not_run,
        cut_off=cut_off,
        crossed=sum(call.crossed for call in calls),
        budget_breaches=_count_breaches(outages, pools, budgets),
    )


def _count_breaches(
    outages: Iterable[fleet.Outage],
    pools: dict[str, str],
    budgets: dict[str, int],
) -> int:
    """Count the planned stops that exceeded the budget of their pool."""
    breaches = 0
    all_outages = list(outages)
    for outage in all_outages:
        if not outage.planned:
            continue
        pool = pools[outage.vm]
        down = {
            other.vm
            for other in all_outages
            if pools[other.vm] == pool
            and other.started_ms <= outage.started_ms
            and (other.ended_ms == 0 or other.ended_ms > outage.started_ms)
        }
        breaches += len(down) > budgets[pool]
    return breaches
