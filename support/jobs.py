"""Jobs and queues for tests and measurements."""

from wagtailtiller import ids
from wagtailtiller.jobs import job as job_module
from wagtailtiller.jobs import model
from wagtailtiller.ports import catalogue

POOL = ids.PoolId("renders")
QUEUE = ids.QueueId("proofs")


def queue(
    max_attempts: int = 3, stretch: float = 1.6, slack_ms: int = 600
) -> catalogue.Queue:
    """Return a queue of the pool."""
    return catalogue.Queue(
        QUEUE, "host", "/proofs/", POOL, 0, max_attempts, stretch, slack_ms
    )


def spec(
    *steps: model.Step, repeat_count: int = 0, **fields: int
) -> model.JobSpec:
    """Return a job's content; one step of one task by default."""
    if not steps:
        steps = (step(),)
    return model.JobSpec("payload", steps, repeat_count, **fields)


def step(task_count: int = 1, **fields: object) -> model.Step:
    """Return a step of small tasks."""
    plain = {"cpu_millicores": 1_000, "memory_mb": 100, "estimate_ms": 500}
    return model.Step(task_count, **{**plain, **fields})  # type: ignore


def job(
    name: str, content: model.JobSpec | None = None, epoch: int = 1
) -> job_module.Job:
    """Return a job that was accepted now."""
    return job_module.Job(
        model.JobId(name), QUEUE, content or spec(), 1_000_000, epoch
    )
