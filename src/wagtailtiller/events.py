"""Numbered log events, written by eliot as JSON lines to standard output.

``docs/EVENTS.md`` lists them; a test checks that it matches ``Event``.
"""

import enum
import time
from typing import Any

import eliot
import msgspec

from wagtailtiller import logs
from wagtailtiller import prometheus_metrics


@enum.unique
class Event(enum.Enum):
    """The events that the programs log, with their numbers."""

    GATEWAY_STARTED = 1001
    GATEWAY_STOPPING = 1002
    GATEWAY_STOPPED = 1003
    REQUEST_SAMPLE = 1101
    POOL_TAKEN = 1201
    POOL_RELEASED = 1202
    ROSTER_CHANGED = 1203
    VIEW_CONFIRMATION_CHANGED = 1301
    SETTINGS_IN_FORCE = 1302
    STORE_UNREACHABLE = 1303
    STORE_REACHED = 1304
    STORE_COPY_OUTDATED = 1305
    PEER_CONNECTED = 1401
    PEER_LOST = 1402
    CONTROLLER_STARTED = 2001
    CONTROLLER_STOPPED = 2003
    LEADERSHIP_GAINED = 2101
    LEADERSHIP_LOST = 2102
    FLEET_COMMAND_APPLIED = 2201
    FLEET_COMMAND_REFUSED = 2202
    REBOOT_REQUESTED = 2203
    WAVE_ENDED = 2204
    PLATFORM_UNREACHABLE = 2301
    SETTINGS_COMPACTED = 2401
    ENTRY_STARTED = 4001
    ENTRY_STOPPING = 4002
    ENTRY_STOPPED = 4003
    SETTINGS_RELOADED = 4004
    SESSION_OPENED = 4101
    SESSION_LAPSED = 4102
    SHARD_CLAIMED = 4103
    SHARD_LOST = 4104
    CONFIGURATION_IN_FORCE = 4105
    ENTRY_SKIPPED = 4106
    CLAIM_FAILED = 4107
    TAKEOVER_DELAYED = 4108
    LATENESS_CHANGED = 4110
    HAND_OVER_STARTED = 4111
    HAND_OVER_ENDED = 4112
    HAND_OVER_WITHHELD = 4113
    NODE_LEAVING = 4114
    RESTARTS_CHANGED = 4115
    OWNER_REDIRECTED = 4116
    SHARD_RECLAIMED = 4117
    PEER_CONTACT_CHANGED = 4118
    SHARD_UNOWNED = 4119
    JOB_ACCEPTED = 4201
    JOB_REFUSED = 4202
    JOB_CANCELLED = 4203
    JOB_UNANSWERED = 4204
    JOB_REVISION_CORRECTED = 4205
    JOB_ENDED = 4206
    JOB_RESTORED = 4207
    CALLER_REJECTED = 4208
    JOB_WAITED = 4209
    JOB_IN_OTHER_POOL = 4210
    JOB_WITHOUT_TERMS = 4211
    QUEUE_NOT_SERVED = 4212
    JOBS_MOVED = 4213
    JOB_STORED_WITHOUT_OWNER = 4214
    JOB_WITHDRAWN = 4215
    RUN_STARTED = 4301
    RUN_ENDED = 4302
    RUN_STOPPED = 4303
    RUN_LOST = 4304
    RUN_PACED = 4305
    POLICY_ASKED = 4306
    RUNS_ACKNOWLEDGED = 4307
    TASK_GIVEN_UP = 4308
    RUN_ADOPTED = 4309
    VM_JOINED = 4401
    VM_SILENT = 4402
    VM_ANSWERS = 4403
    VM_EJECTED = 4404
    VM_ENDED = 4405
    VM_LISTING_FAILED = 4406
    VM_SLOW = 4407
    VM_WAIT_OVER = 4408
    MEMBERS_STORED = 4409
    RACK_SUSPECT = 4410
    ESTIMATES_CORRECTED = 4411
    VM_ON_PROBATION = 4412
    VM_PROBATION_ENDED = 4413
    VM_NOT_RESTRICTED = 4414
    VM_RESTARTED = 4415
    MACHINE_ORDERED = 4501
    WAVE_CHANGED = 4502
    ALLOCATION_CHANGED = 4701
    ALLOCATION_UNCERTAIN = 4702
    START_OVER_LIMIT = 4703
    JOB_OVER_LIMIT = 4704
    MACHINES_ASSIGNED = 4601
    MACHINES_RETURNED = 4602
    MACHINES_RECALLED = 4603
    POOL_PHASE_PASSED = 4604
    SEASON_CHANGED = 4605
    MANAGER_STOPPED = 4606
    CLIENTS_CUT_OFF = 4801
    LINES_DROPPED = 4901
    LOOP_LATE = 4902
    TASK_FAILED = 3001
    STATE_UNREADABLE = 3002


# Events that are exempt from the rate limit.
_ESSENTIAL = frozenset(
    {
        Event.ENTRY_STARTED,
        Event.ENTRY_STOPPING,
        Event.ENTRY_STOPPED,
        Event.SETTINGS_RELOADED,
        Event.SESSION_LAPSED,
        Event.SHARD_CLAIMED,
        Event.SHARD_LOST,
        Event.HAND_OVER_STARTED,
        Event.HAND_OVER_ENDED,
        Event.NODE_LEAVING,
        Event.STORE_UNREACHABLE,
        Event.STORE_REACHED,
        Event.TASK_FAILED,
    }
)
_ESSENTIAL_NUMBERS = frozenset(str(event.value) for event in _ESSENTIAL)
_MESSAGE_TYPE_PREFIX = "wagtailtiller:"
_STDOUT_FD = 1


class _LogState:
    writer: logs.LineWriter | None = None


def start_logging(descriptor: int = _STDOUT_FD) -> None:
    """Start to write events; earlier events are discarded.

    Args:
        descriptor: File descriptor that receives the JSON lines.
    """
    _LogState.writer = logs.LineWriter(
        descriptor, _encode_dropped, time.monotonic
    )
    eliot.add_destinations(_write)


def stop_logging() -> None:
    """Write the queued lines until the descriptor would block."""
    if _LogState.writer is not None:
        _LogState.writer.flush()


def emit(event: Event, **fields: Any) -> None:
    """Log and count one event.

    Args:
        event: The event to log.
        **fields: Fields of the log entry; their names carry the unit.
    """
    if _LogState.writer is None:
        return
    name = event.name.lower()
    prometheus_metrics.record_event(name, fields)
    eliot.log_message(
        message_type=f"{_MESSAGE_TYPE_PREFIX}{event.value}",
        event=name,
        **fields,
    )


def _write(message: dict[str, Any]) -> None:
    if _LogState.writer is None:
        return
    message_type = str(message.get("message_type", ""))
    essential = (
        message_type.removeprefix(_MESSAGE_TYPE_PREFIX) in _ESSENTIAL_NUMBERS
    )
    _LogState.writer.put(_encode(message), essential)


def _encode(message: dict[str, Any]) -> bytes:
    return msgspec.json.encode(message, enc_hook=str)


def _encode_dropped(count: int) -> bytes:
    event = Event.LINES_DROPPED
    return _encode(
        {
            "event": event.name.lower(),
            "count": count,
            "timestamp": time.time(),
            "message_type": f"{_MESSAGE_TYPE_PREFIX}{event.value}",
        }
    )
