"""Numbered log events, written as JSON lines to standard output by eliot.

``docs/EVENTS.md`` lists them; a test holds the two together.
"""

import enum
import sys
from typing import Any

import eliot


class Event(enum.Enum):
    """Every event that the programs log."""

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
    TASK_FAILED = 3001
    STATE_UNREADABLE = 3002


class _Log:
    enabled = False


def start_logging() -> None:
    """Send events to standard output; before this, none are kept."""
    eliot.to_file(sys.stdout)
    _Log.enabled = True


def emit(event: Event, **fields: Any) -> None:
    """Log one event.

    Args:
        event: Which one.
        **fields: What it was about; names carry their unit.
    """
    if not _Log.enabled:
        return
    eliot.log_message(
        message_type=f"wagtailtiller:{event.value}",
        event=event.name.lower(),
        **fields,
    )
