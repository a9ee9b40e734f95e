"""How the platform spells tasks."""

from wagtailtiller.jobs import model

_PART_COUNT = 4


def format_task(task: model.TaskId) -> str:
    """Return a task's name on the wire."""
    return f"{task.job}.{task.occurrence}.{task.step}.{task.position}"


def format_step(task: model.TaskId) -> str:
    """Return the name of a task's step on the wire."""
    return f"{task.job}.{task.occurrence}.{task.step}"


def parse_task(name: str) -> model.TaskId | None:
    """Read a task's name; None if it isn't one."""
    parts = name.split(".")
    if len(parts) != _PART_COUNT:
        return None
    try:
        occurrence, step, position = (int(part) for part in parts[1:])
    except ValueError:
        return None
    return model.TaskId(model.JobId(parts[0]), occurrence, step, position)
