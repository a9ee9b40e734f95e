"""Recognises that the entry processes are being restarted one after another."""

import dataclasses

from wagtailtiller import events
from wagtailtiller import ids

# Restarts in turn are a few seconds apart.
_MAX_GAP_MS = 10_000
# A single process that leaves says nothing about the others.
_MIN_LEAVING = 2


@dataclasses.dataclass
class _Start:
    """The latest start of a process, as this process has seen it.

    Attributes:
        incarnation: Id of the start.
        seen_ms: Time on this process's monotonic clock at which it was first
            seen; None if it had started before this process looked.
    """

    incarnation: str
    seen_ms: int | None


class RestartTracker:
    """Tells which processes have been restarted in the current series.

    A series consists of announcements of leaving that follow one another
    within seconds. All times are of this process's own clock.
    """

    def __init__(self) -> None:
        self._starts: dict[ids.NodeId, _Start] = {}
        self._leaving: set[ids.NodeId] = set()
        self._began_ms = 0
        self._last_leaving_ms: int | None = None
        self._logged = False

    def record_start(
        self, node: ids.NodeId, incarnation: str, seen_ms: int | None
    ) -> None:
        """Record that a process is listed.

        Args:
            node: Name of the process.
            incarnation: Id of its start; a known one changes nothing.
            seen_ms: Current time on the monotonic clock; None if the process
                may have run for long.
        """
        known = self._starts.get(node)
        if known is None or known.incarnation != incarnation:
            self._starts[node] = _Start(incarnation, seen_ms)

    def record_leaving(self, node: ids.NodeId, now_ms: int) -> None:
        """Record that a process has announced that it will stop.

        Args:
            node: Name of the process.
            now_ms: Current time on the monotonic clock.
        """
        if not self._in_series(now_ms):
            self._leaving.clear()
            self._began_ms = now_ms
        self._leaving.add(node)
        self._last_leaving_ms = now_ms

    def restarted(self, now_ms: int) -> frozenset[ids.NodeId]:
        """Return the processes that have started since the series began.

        Args:
            now_ms: Current time on the monotonic clock.

        Returns:
            The names of the processes; empty if no restarts are under way.
        """
        under_way = (
            self._in_series(now_ms) and len(self._leaving) >= _MIN_LEAVING
        )
        self._log_change(under_way)
        if not under_way:
            return frozenset()
        return frozenset(
            node
            for node, start in self._starts.items()
            if start.seen_ms is not None and start.seen_ms >= self._began_ms
        )

    def _in_series(self, now_ms: int) -> bool:
        return (
            self._last_leaving_ms is not None
            and now_ms - self._last_leaving_ms <= _MAX_GAP_MS
        )

    def _log_change(self, under_way: bool) -> None:
        if under_way == self._logged:
            return
        self._logged = under_way
        events.emit(
            events.Event.RESTARTS_CHANGED,
            under_way=under_way,
            left=len(self._leaving),
        )
