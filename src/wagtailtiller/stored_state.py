"""Decoding of values that processes of the system have stored themselves."""

from collections.abc import Callable
from typing import TypeVar

import msgspec

from wagtailtiller import events

_T = TypeVar("_T")


def decode_or_log(
    key: str, value: bytes, decode: Callable[[bytes], _T]
) -> _T | None:
    """Decode a stored value; log it if it cannot be decoded.

    Args:
        key: Key of the value in the store.
        value: The value.
        decode: Decoder that raises ``msgspec.MsgspecError`` for other values.

    Returns:
        The decoded value, or None.
    """
    try:
        return decode(value)
    except msgspec.MsgspecError as error:
        events.emit(events.Event.STATE_UNREADABLE, key=key, reason=str(error))
        return None
