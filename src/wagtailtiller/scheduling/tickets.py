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
class _StepTickets:
    tickets: dict[ids.VmId, tuple[str, int]]
    denied: set[ids.VmId]
    query_pending: bool = False


class Tickets:
    """Tickets by step and VM; which VMs are barred never changes."""

    def __init__(self) -> None:
        self._steps: dict[StepId, _StepTickets] = {}

    def ticket(
        self, task: model.TaskId, vm: ids.VmId, now_ms: int
    ) -> str | None:
        """Return a ticket that still holds; None if there is none."""
        step_tickets = self._steps.get(step_id(task))
        ticket = (
            step_tickets.tickets.get(vm) if step_tickets is not None else None
        )
        if ticket is None or now_ms > ticket[1] - _MARGIN_MS:
            return None
        return ticket[0]

    def begin_query(
        self, task: model.TaskId, vms: list[ids.VmId], max_vms: int
    ) -> list[ids.VmId]:
        """Return the VMs to ask about; none while an answer is awaited."""
        step_tickets = self._steps.setdefault(
            step_id(task), _StepTickets({}, set())
        )
        if step_tickets.query_pending:
            return []
        chosen = [vm for vm in vms if vm not in step_tickets.denied][:max_vms]
        step_tickets.query_pending = bool(chosen)
        return chosen

    def answered(
        self,
        task: model.TaskId,
        queried_vms: list[ids.VmId],
        tickets: dict[ids.VmId, str],
        until_ms: int,
    ) -> None:
        """Take an answer in."""
        step_tickets = self._steps.setdefault(
            step_id(task), _StepTickets({}, set())
        )
        step_tickets.query_pending = False
        for vm in queried_vms:
            if vm in tickets:
                step_tickets.tickets[vm] = (tickets[vm], until_ms)
            else:
                step_tickets.denied.add(vm)

    def failed(self, task: model.TaskId) -> None:
        """Take in that a question got no answer."""
        step_tickets = self._steps.get(step_id(task))
        if step_tickets is not None:
            step_tickets.query_pending = False

    def discard(self, task: model.TaskId, vm: ids.VmId) -> None:
        """Take in that a VM did not accept a ticket."""
        step_tickets = self._steps.get(step_id(task))
        if step_tickets is not None:
            step_tickets.tickets.pop(vm, None)

    def drop(self, job: model.JobId) -> None:
        """Forget a job."""
        for key in [key for key in self._steps if key[0] == job]:
            del self._steps[key]
