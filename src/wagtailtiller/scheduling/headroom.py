"""What organisations with a limit may still start in a pool."""

from wagtailtiller import ids
from wagtailtiller.jobs import model
from wagtailtiller.scheduling import allocation


class Headroom:
    """Amounts that may still be used, by organisation.

    Args:
        left: Amounts by organisation and resource; organisations without a
            limit are absent, and None stands for a resource without a limit.
    """

    def __init__(
        self, left: dict[ids.OrganisationId, list[int | None]]
    ) -> None:
        self._left = left

    def fitting_count(
        self, organisation: ids.OrganisationId, step: model.Step, count: int
    ) -> int:
        """Return how many of a number of tasks may start.

        Args:
            organisation: Organisation of the tasks.
            step: Step of the tasks.
            count: Number of tasks.
        """
        left = self._left.get(organisation)
        if left is None:
            return count
        for amount, needed in zip(
            left, allocation.needed_by(step), strict=True
        ):
            if amount is not None and needed:
                count = min(count, max(0, amount) // needed)
        return count

    def take_fitting(
        self, organisation: ids.OrganisationId, step: model.Step, count: int
    ) -> int:
        """Take as many of a number of tasks as may start; return how many.

        Args:
            organisation: Organisation of the tasks.
            step: Step of the tasks.
            count: Number of tasks.
        """
        fitting = self.fitting_count(organisation, step, count)
        self.take(organisation, step, fitting)
        return fitting

    def take(
        self, organisation: ids.OrganisationId, step: model.Step, count: int
    ) -> None:
        """Reduce the amounts by those of started tasks.

        Args:
            organisation: Organisation of the tasks.
            step: Step of the tasks.
            count: Number of tasks.
        """
        left = self._left.get(organisation)
        if left is None:
            return
        for number, needed in enumerate(allocation.needed_by(step)):
            amount = left[number]
            if amount is not None:
                left[number] = amount - count * needed
