"""Which VMs a placement policy allows for which steps."""

import dataclasses

from wagtailtiller import ids
from wagtailtiller.jobs import model

# A ticket is not used in the last moments of its time.
_MARGIN_MS = 150

StepId = tuple[model.JobId, int, int]


def step_id(task: model.TaskId) -> StepId:
    """Return the step that a task belongs to."""
    return (task.job, task.occurrence, task.step)


@dataclasses.dataclass(slots=True)
class _StepBook:
    tickets: dict[ids.VmId, tuple[str, int]]
    barred: set[ids.VmId]
    asked: bool = False


class Tickets:
    """Tickets by step and VM; which VMs are barred never changes."""

    def __init__(self) -> None:
        self._books: dict[StepId, _StepBook] = {}

    def ticket(
        self, task: model.TaskId, vm: ids.VmId, now_ms: int
    ) -> str | None:
        """Return a ticket that still holds; None if there is none."""
        book = self._books.get(step_id(task))
        found = book.tickets.get(vm) if book is not None else None
        if found is None or now_ms > found[1] - _MARGIN_MS:
            return None
        return found[0]

    def question(
        self, task: model.TaskId, vms: list[ids.VmId], most: int
    ) -> list[ids.VmId]:
        """Return the VMs to ask about; none while an answer is awaited."""
        book = self._books.setdefault(step_id(task), _StepBook({}, set()))
        if book.asked:
            return []
        chosen = [vm for vm in vms if vm not in book.barred][:most]
        book.asked = bool(chosen)
        return chosen

    def answered(
        self,
        task: model.TaskId,
        asked: list[ids.VmId],
        tickets: dict[ids.VmId, str],
        until_ms: int,
    ) -> None:
        """Take an answer in."""
        book = self._books.setdefault(step_id(task), _StepBook({}, set()))
        book.asked = False
        for vm in asked:
            if vm in tickets:
                book.tickets[vm] = (tickets[vm], until_ms)
            else:
                book.barred.add(vm)

    def failed(self, task: model.TaskId) -> None:
        """Take in that a question got no answer."""
        book = self._books.get(step_id(task))
        if book is not None:
            book.asked = False

    def reject(self, task: model.TaskId, vm: ids.VmId) -> None:
        """Take in that a VM did not accept a ticket."""
        book = self._books.get(step_id(task))
        if book is not None:
            book.tickets.pop(vm, None)

    def drop(self, job: model.JobId) -> None:
        """Forget a job."""
        for key in [key for key in self._books if key[0] == job]:
            del self._books[key]
