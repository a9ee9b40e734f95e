"""The names of tasks and steps on the wire."""

from wagtailtiller.jobs import model

_PART_COUNT = 4


def format_task(task: model.TaskId) -> str:
    """Return the name of a task on the wire."""
    return f"{task.job}.{task.occurrence}.{task.step}.{task.position}"


def format_step(task: model.TaskId) -> str:
    """Return the name of a task's step on the wire."""
    return f"{task.job}.{task.occurrence}.{task.step}"


def parse_task(name: str) -> model.TaskId | None:
    """Parse the name of a task.

    Args:
        name: The name on the wire.

    Returns:
        The id of the task, or None if the name is malformed.
    """
    parts = name.split(".")
    if len(parts) != _PART_COUNT:
        return None
    try:
        occurrence, step, position = (int(part) for part in parts[1:])
    except ValueError:
        return None
    return model.TaskId(model.JobId(parts[0]), occurrence, step, position)
