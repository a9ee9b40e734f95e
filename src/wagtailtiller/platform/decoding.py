"""Decodes JSON that other programs have written.

A message that cannot be decoded is an error value and never an exception: one
malformed message must not stop the process.
"""

from typing import TypeVar

from expression import Error
from expression import Ok
from expression import Result
import msgspec

_T = TypeVar("_T")


def decode(value: bytes | bytearray, value_type: type[_T]) -> Result[_T, str]:
    """Decode a JSON document.

    Args:
        value: The document.
        value_type: Type of the decoded value; unknown fields are skipped.

    Returns:
        The decoded value, or the reason why it cannot be decoded.
    """
    try:
        return Ok(msgspec.json.decode(value, type=value_type))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Error(str(error))
    except RecursionError:
        # Also values of unknown fields can be nested too deeply.
        return Error("nested too deeply")
