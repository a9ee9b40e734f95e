"""The finished occurrences of a job, in little space."""

from collections.abc import Iterable


class FinishedOccurrences:
    """Set of occurrences that finish almost in their order.

    Args:
        first_missing: Lowest index that is not in the set.
        later: Indexes above it that are in the set.

    Attributes:
        first_missing: Lowest index that is not in the set.
    """

    def __init__(
        self, first_missing: int = 0, later: Iterable[int] = ()
    ) -> None:
        self.first_missing = first_missing
        self._later = set(later)

    def __contains__(self, occurrence: int) -> bool:
        return occurrence < self.first_missing or occurrence in self._later

    def add(self, occurrence: int) -> None:
        """Add an occurrence; one that is present changes nothing."""
        if occurrence in self:
            return
        self._later.add(occurrence)
        while self.first_missing in self._later:
            self._later.remove(self.first_missing)
            self.first_missing += 1

    def count(self) -> int:
        """Return the number of occurrences in the set."""
        return self.first_missing + len(self._later)

    def later(self) -> tuple[int, ...]:
        """Return the indexes above ``first_missing``, in order."""
        return tuple(sorted(self._later))
