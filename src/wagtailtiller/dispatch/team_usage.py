"""Decaying slot usage per team, used to enforce quotas."""

import dataclasses
import math

from wagtailtiller import ids

_DECAY_MS = 60_000.0


@dataclasses.dataclass
class _DecayedUsage:
    slot_ms: float
    at_ms: int


class TeamUsage:
    """Slot time used by each team, with exponential decay."""

    def __init__(self) -> None:
        self._usage: dict[ids.TeamId, _DecayedUsage] = {}

    def charge(self, team: ids.TeamId, slot_ms: float, now_ms: int) -> None:
        """Add slot time to a team.

        Args:
            team: Team that used the slot.
            slot_ms: Slot time; a negative value corrects an earlier estimate.
            now_ms: Current time of the dispatcher's clock.
        """
        decayed_ms = self.recent_ms(team, now_ms)
        self._usage[team] = _DecayedUsage(
            max(0.0, decayed_ms + slot_ms), now_ms
        )

    def recent_ms(self, team: ids.TeamId, now_ms: int) -> float:
        """Return the decayed slot time of a team, in milliseconds."""
        usage = self._usage.get(team)
        if usage is None:
            return 0.0
        decay = math.exp((usage.at_ms - now_ms) / _DECAY_MS)
        return usage.slot_ms * decay

    def over_quota(
        self, quotas: dict[ids.TeamId, float], now_ms: int
    ) -> set[ids.TeamId]:
        """Return the teams that used more than their share of slot time.

        Args:
            quotas: Quota of each team that has requests now. The shares of
                all other teams are divided in proportion among these teams.
            now_ms: Current time of the dispatcher's clock.
        """
        if len(quotas) < 2:
            return set()
        decayed_ms = {team: self.recent_ms(team, now_ms) for team in quotas}
        total_used_ms = sum(decayed_ms.values())
        total_quota = sum(quotas.values())
        return {
            team
            for team, quota in quotas.items()
            if decayed_ms[team] * total_quota > quota * total_used_ms
        }
