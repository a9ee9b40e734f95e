"""Judges a run from the callers' and the endpoints' own records.

Nothing here comes from the gateways, and no code is shared with them.
"""

import collections
from collections.abc import Iterable
import dataclasses

from support.demo import caller
from support.standins import fleet


@dataclasses.dataclass(frozen=True)
class Verdict:
    """Counts of what happened and of what must never happen.

    Attributes:
        sent: Requests that callers sent.
        answered: Requests that got the endpoint's answer.
        not_run: Requests refused as certainly not run.
        unknown: Requests that may have run.
        invalid: Requests rejected as wrong.
        lost: Requests that got no outcome at all.
        doubled: Non-idempotent requests that were started more than once.
        false_not_run: Requests that ran although the caller was told not.
        cut_off: Runs that a planned stop ended.
        crossed: Answers that belonged to another request or member.
        budget_breaches: Times that planned stops exceeded a pool's budget.
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
        """Whether nothing happened that must never happen."""
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
    """Judge a run.

    Args:
        calls: What the callers recorded.
        runs: What the endpoints recorded.
        outages: When VMs were down, from the platform.
        pools: The pool of each VM.
        budgets: How many VMs each pool may lose.
    """
    told = collections.Counter(call.outcome for call in calls)
    starts = collections.Counter(run.caller for run in runs)
    doubled = sum(
        starts[call.caller] > 1 for call in calls if not call.idempotent
    )
    false_not_run = sum(
        starts[call.caller] > 0
        for call in calls
        if call.outcome is caller.Outcome.NOT_RUN and not call.idempotent
    )
    cut_off = sum(
        run.end is fleet.RunEnd.CUT_OFF and run.planned_stop for run in runs
    )
    return Verdict(
        sent=len(calls),
        answered=told[caller.Outcome.ANSWER],
        not_run=told[caller.Outcome.NOT_RUN],
        unknown=told[caller.Outcome.UNKNOWN],
        invalid=told[caller.Outcome.INVALID],
        lost=told[caller.Outcome.LOST],
        doubled=doubled,
        false_not_run=false_not_run,
        cut_off=cut_off,
        crossed=sum(call.crossed for call in calls),
        budget_breaches=_breaches(outages, pools, budgets),
    )


def _breaches(
    outages: Iterable[fleet.Outage],
    pools: dict[str, str],
    budgets: dict[str, int],
) -> int:
    """Count planned stops that began while the pool's budget was spent."""
    breaches = 0
    every = list(outages)
    for outage in every:
        if not outage.planned:
            continue
        pool = pools[outage.vm]
        down = {
            other.vm
            for other in every
            if pools[other.vm] == pool
            and other.started_ms <= outage.started_ms
            and (other.ended_ms == 0 or other.ended_ms > outage.started_ms)
        }
        breaches += len(down) > budgets[pool]
    return breaches
