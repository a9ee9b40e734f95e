"""Start-time fair queueing over the organisations that share a pool.

Each organisation has a lead: the work that it has started beyond what the
others with waiting work have, divided by its weight. The waiting job with the
lowest start tag goes first; its tag is the lead of its organisation plus the
work of the organisation's jobs before it. Leads fade, so that use of some
seconds ago no longer counts, and an organisation that had no waiting work
begins at the lowest lead, so that it cannot save up a share. The module does no
I/O and reads no clock.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math

from wagtailtiller import ids
from wagtailtiller.ports import catalogue

# Peaks last 5 s: an organisation that has used idle capacity just before one
# gives some of it back, and one that did so in the previous peak does not.
_FADE_MS = 3_000
_DEFAULT_WEIGHT = 1.0
# Leads below this are forgotten: 10 ms of a pool's time.
_MIN_LEAD_MS = 10.0
_MS_PER_S = 1_000
# Jobs arrive unevenly: twice the weight for two seconds is not beyond it.
_BURST_S = 2.0
# All jobs of an organisation without a weight are beyond it.
_NO_WEIGHT_WAIT_MS = 1_000.0


class FairShare:
    """Start tags of the organisations of one pool."""

    def __init__(self) -> None:
        self._weights: dict[ids.OrganisationId, float] = {}
        self._leads: dict[ids.OrganisationId, float] = {}
        self._waiting: set[ids.OrganisationId] = set()
        self._faded_ms = 0

    @property
    def active(self) -> bool:
        """Whether organisations share the pool."""
        return bool(self._weights)

    def set_organisations(
        self,
        organisations: Mapping[ids.OrganisationId, catalogue.Organisation],
    ) -> None:
        """Replace the weights.

        Args:
            organisations: Declared organisations by name.
        """
        total = sum(o.weight for o in organisations.values())
        mean = total / len(organisations) if organisations else 1.0
        # Only the proportions count; with a mean of 1 a lead is in
        # milliseconds of the pool.
        self._weights = {
            name: organisation.weight / mean if mean else _DEFAULT_WEIGHT
            for name, organisation in organisations.items()
        }

    def charge(
        self, organisation: ids.OrganisationId, work_ms: float, now_ms: int
    ) -> None:
        """Count work that an organisation has started.

        Args:
            organisation: Organisation of the job.
            work_ms: Time for which the work occupies the whole pool.
            now_ms: Current time, on the owner's clock.
        """
        if not self._weights:
            return
        self._fade(now_ms)
        self._leads[organisation] = self._leads.get(
            organisation, 0.0
        ) + work_ms / self._weight(organisation)

    def begin(
        self, waiting: Iterable[ids.OrganisationId], now_ms: int
    ) -> "Tags":
        """Return the tags for the jobs that wait now.

        Args:
            waiting: Organisations with waiting jobs.
            now_ms: Current time, on the owner's clock.
        """
        self._fade(now_ms)
        now_waiting = set(waiting)
        known = [self._leads.get(o, 0.0) for o in now_waiting & self._waiting]
        lowest = min(known, default=0.0)
        for organisation in now_waiting - self._waiting:
            lead = self._leads.get(organisation, 0.0)
            self._leads[organisation] = max(lead, lowest)
        self._waiting = now_waiting
        return Tags(
            {o: self._leads.get(o, 0.0) for o in now_waiting},
            {o: self._weight(o) for o in now_waiting},
        )

    def _weight(self, organisation: ids.OrganisationId) -> float:
        weight = self._weights.get(organisation, _DEFAULT_WEIGHT)
        return weight if weight > 0 else _DEFAULT_WEIGHT

    def _fade(self, now_ms: int) -> None:
        factor = math.exp(-max(0, now_ms - self._faded_ms) / _FADE_MS)
        self._faded_ms = now_ms
        self._leads = {
            organisation: lead * factor
            for organisation, lead in self._leads.items()
            if lead * factor > _MIN_LEAD_MS
        }


class Tags:
    """Start tags for one order of the waiting jobs.

    Args:
        leads: Lead by organisation.
        weights: Weight by organisation.
    """

    def __init__(
        self,
        leads: dict[ids.OrganisationId, float],
        weights: dict[ids.OrganisationId, float],
    ) -> None:
        self._next = leads
        self._weights = weights

    def take(self, organisation: ids.OrganisationId, work_ms: float) -> float:
        """Return the start tag of an organisation's next job.

        Args:
            organisation: Organisation of the job.
            work_ms: Time for which the job occupies the whole pool.
        """
        tag = self._next[organisation]
        self._next[organisation] = tag + work_ms / self._weights[organisation]
        return tag


class JobRates:
    """Jobs per second that each organisation's weight still allows.

    Each organisation has a bucket that fills with its weight per second up to
    the jobs of ``_BURST_S``. Each accepted job takes one, also while the pool
    has capacity to spare.
    """

    def __init__(self) -> None:
        self._levels: dict[ids.OrganisationId, tuple[float, int]] = {}

    def wait_ms(
        self, organisation: catalogue.Organisation, now_ms: int
    ) -> float:
        """Return the time until the next job is within the weight.

        Args:
            organisation: Organisation of the job.
            now_ms: Current time, on the owner's clock.
        """
        missing = 1.0 - self._level(organisation, now_ms)
        if organisation.weight <= 0:
            return _NO_WEIGHT_WAIT_MS
        if missing <= 0:
            return 0.0
        return missing / organisation.weight * _MS_PER_S

    def take(self, organisation: catalogue.Organisation, now_ms: int) -> bool:
        """Count an accepted job.

        Args:
            organisation: Organisation of the job.
            now_ms: Current time, on the owner's clock.

        Returns:
            Whether the job is within the weight.
        """
        within = not self.wait_ms(organisation, now_ms)
        level = self._level(organisation, now_ms)
        # Jobs beyond the weight are free while there is capacity, so that they
        # do not count against later ones for long.
        level = max(-_burst(organisation), level - 1.0)
        self._levels[organisation.organisation] = (level, now_ms)
        return within

    def _level(
        self, organisation: catalogue.Organisation, now_ms: int
    ) -> float:
        burst = _burst(organisation)
        level, at_ms = self._levels.get(
            organisation.organisation, (burst, now_ms)
        )
        gained = (now_ms - at_ms) / _MS_PER_S * organisation.weight
        return min(burst, level + gained)


def _burst(organisation: catalogue.Organisation) -> float:
    return max(1.0, organisation.weight * _BURST_S)
