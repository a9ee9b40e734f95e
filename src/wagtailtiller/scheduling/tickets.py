"""Tickets of the placement policy: which VMs may run which steps."""

import dataclasses

from wagtailtiller import ids
from wagtailtiller.jobs import model

# A ticket is not used this close to its expiry.
_MARGIN_MS = 150

StepId = tuple[model.JobId, int, int]


def step_id(task: model.TaskId) -> StepId:
    """Return the id of the step that a task belongs to."""
    return (task.job, task.occurrence, task.step)


@dataclasses.dataclass(slots=True)
class _StepTickets:
    tickets: dict[ids.VmId, tuple[str, int]]
    denied: set[ids.VmId]
    query_pending: bool = False


class Tickets:
    """Tickets by step and VM.

    A VM that the policy has denied for a step stays denied.
    """

    def __init__(self) -> None:
        self._steps: dict[StepId, _StepTickets] = {}

    def ticket(
        self, task: model.TaskId, vm: ids.VmId, now_ms: int
    ) -> str | None:
        """Return a valid ticket for a task on a VM; None if there is none.

        Args:
            task: Task to be started.
            vm: VM on which the task is to start.
            now_ms: Current time, on the owner's clock.
        """
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
        """Begin a policy query about the step of a task.

        Args:
            task: Task to be started.
            vms: VMs in the order of preference.
            max_vms: Largest number of VMs to ask about.

        Returns:
            VMs to ask about; empty while another query is pending.
        """
        step_tickets = self._steps.setdefault(
            step_id(task), _StepTickets({}, set())
        )
        if step_tickets.query_pending:
            return []
        chosen = [vm for vm in vms if vm not in step_tickets.denied][:max_vms]
        step_tickets.query_pending = bool(chosen)
        return chosen

    def record_answer(
        self,
        task: model.TaskId,
        queried_vms: list[ids.VmId],
        tickets: dict[ids.VmId, str],
        until_ms: int,
    ) -> None:
        """Record the answer to a policy query.

        Args:
            task: Task that the query was about.
            queried_vms: VMs that the query was about.
            tickets: Tickets for the VMs that the policy allows.
            until_ms: Time at which the tickets expire, on the owner's clock.
        """
        step_tickets = self._steps.setdefault(
            step_id(task), _StepTickets({}, set())
        )
        step_tickets.query_pending = False
        for vm in queried_vms:
            if vm in tickets:
                step_tickets.tickets[vm] = (tickets[vm], until_ms)
            else:
                step_tickets.denied.add(vm)

    def record_query_failure(self, task: model.TaskId) -> None:
        """Record that a query about a task has failed."""
        step_tickets = self._steps.get(step_id(task))
        if step_tickets is not None:
            step_tickets.query_pending = False

    def discard(self, task: model.TaskId, vm: ids.VmId) -> None:
        """Discard a ticket that a VM did not accept."""
        step_tickets = self._steps.get(step_id(task))
        if step_tickets is not None:
            step_tickets.tickets.pop(vm, None)

    def remove_occurrence(self, job: model.JobId, occurrence: int) -> None:
        """Remove all data about an occurrence of a job."""
        for key in [key for key in self._steps if key[:2] == (job, occurrence)]:
            del self._steps[key]

    def remove_job(self, job: model.JobId) -> None:
        """Remove all data about a job."""
        for key in [key for key in self._steps if key[0] == job]:
            del self._steps[key]
