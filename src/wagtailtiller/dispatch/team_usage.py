"""Decaying slot usage per team, to hold teams to their quotas."""

import dataclasses
import math

from wagtailtiller import ids

_DECAY_MS = 60_000.0


@dataclasses.dataclass
class _DecayedUsage:
    slot_ms: float
    at_ms: int


class TeamUsage:
    """Recent slot time of each team; old usage fades exponentially."""

    def __init__(self) -> None:
        self._usage: dict[ids.TeamId, _DecayedUsage] = {}

    def charge(self, team: ids.TeamId, slot_ms: float, now_ms: int) -> None:
        """Add slot time; a negative amount corrects an earlier estimate."""
        used = self.recent_ms(team, now_ms)
        self._usage[team] = _DecayedUsage(max(0.0, used + slot_ms), now_ms)

    def recent_ms(self, team: ids.TeamId, now_ms: int) -> float:
        """Return a team's faded slot time in milliseconds."""
        usage = self._usage.get(team)
        if usage is None:
            return 0.0
        decay = math.exp((usage.at_ms - now_ms) / _DECAY_MS)
        return usage.slot_ms * decay

    def over_quota(
        self, quotas: dict[ids.TeamId, float], now_ms: int
    ) -> set[ids.TeamId]:
        """Return the teams that have more than their part.

        Args:
            quotas: The quota of each team that wants slots now. The parts of
                teams that want none fall to the others in proportion.
            now_ms: The clock.
        """
        if len(quotas) < 2:
            return set()
        used = {team: self.recent_ms(team, now_ms) for team in quotas}
        total_used = sum(used.values())
        total_quota = sum(quotas.values())
        return {
            team
            for team, quota in quotas.items()
            if used[team] * total_quota > quota * total_used
        }
