"""What a pool asks its owner process to do."""

import dataclasses

from wagtailtiller import ids
from wagtailtiller.jobs import job


@dataclasses.dataclass(frozen=True)
class Start:
    """Order the start of a run."""

    vm: ids.VmId
    run: job.Run
    payload: str
    queue: ids.QueueId


@dataclasses.dataclass(frozen=True)
class Stop:
    """Order the stop of a run."""

    vm: ids.VmId
    run: job.Run
    reason: str


@dataclasses.dataclass(frozen=True)
class StopUnknown:
    """Order the stop of a run that nothing is to be known of."""

    vm: ids.VmId
    run: job.Run


Command = Start | Stop | StopUnknown
