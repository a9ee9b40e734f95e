"""Factories of jobs and queues for tests and measurements."""

from wagtailtiller import ids
from wagtailtiller.jobs import job as job_module
from wagtailtiller.jobs import model
from wagtailtiller.ports import catalogue

POOL = ids.PoolId("renders")
QUEUE = ids.QueueId("proofs")


def queue(
    max_attempts: int = 3, stretch: float = 1.6, slack_ms: int = 600
) -> catalogue.Queue:
    """Return a queue of the pool ``POOL``.

    Args:
        max_attempts: Number of failed attempts of a task after which its job
            fails.
        stretch: Factor of a job's target duration.
        slack_ms: Constant part of the target duration.
    """
    return catalogue.Queue(
        QUEUE, "host", "/proofs/", POOL, 0, max_attempts, stretch, slack_ms
    )


def spec(
    *steps: model.Step, repeat_count: int = 0, **fields: int
) -> model.JobSpec:
    """Return the specification of a job.

    Args:
        *steps: Steps of the job; one step of one task by default.
        repeat_count: Number of occurrences; 0 for a single one.
        **fields: Other fields of ``JobSpec``.
    """
    if not steps:
        steps = (step(),)
    return model.JobSpec("payload", steps, repeat_count, **fields)


def step(task_count: int = 1, **fields: object) -> model.Step:
    """Return a step of small tasks.

    Args:
        task_count: Number of tasks.
        **fields: Other fields of ``Step``, which replace the defaults.
    """
    defaults = {"cpu_millicores": 1_000, "memory_mb": 100, "estimate_ms": 500}
    return model.Step(task_count, **{**defaults, **fields})  # type: ignore


def job(
    name: str, content: model.JobSpec | None = None, epoch: int = 1
) -> job_module.Job:
    """Return a job that was accepted at 1,000,000 ms.

    Args:
        name: Id of the job.
        content: Specification of the job; that of ``spec()`` by default.
        epoch: Epoch of the owner that accepted it.
    """
    return job_module.Job(
        model.JobId(name), QUEUE, content or spec(), 1_000_000, epoch
    )
