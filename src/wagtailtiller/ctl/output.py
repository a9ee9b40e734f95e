"""Output formats and exit codes of the command line."""

from collections.abc import Sequence
import enum
import json
from typing import Any

import msgspec

from wagtailtiller import errors
from wagtailtiller.settings import change_log


class ExitCode(enum.IntEnum):
    """Exit codes of ``wagtailctl``; see ``docs/INTERFACE.md``."""

    OK = 0
    INVALID = 2
    CONFLICT = 3
    STORE_UNAVAILABLE = 4
    REFUSED = 5
    NOT_FOUND = 6


_EXIT_CODES: dict[type, ExitCode] = {
    errors.InvalidSetting: ExitCode.INVALID,
    errors.Conflict: ExitCode.CONFLICT,
    errors.StoreUnavailable: ExitCode.STORE_UNAVAILABLE,
    errors.Refused: ExitCode.REFUSED,
}

Row = Sequence[object]


def exit_code(error: object) -> ExitCode:
    """Return the exit code for an error value."""
    return _EXIT_CODES[type(error)]


def describe_error(error: object) -> str:
    """Return the message for an error value.

    The message for a conflict shows the change that was written first.
    """
    if not isinstance(error, errors.Conflict):
        return str(error)
    stored = change_log.conflicting_change(error)
    if stored is None:
        return str(error)
    patch = json.dumps(stored.patch, indent=2)
    return (
        f"conflict: {stored.who} wrote revision {stored.revision} first"
        f" ({stored.why or 'no reason given'}):\n{patch}\n"
        "read the settings again and repeat your change"
    )


def table(headings: Sequence[str], rows: Sequence[Row]) -> str:
    """Format rows as text in aligned columns.

    Args:
        headings: Headings of the columns.
        rows: Rows with as many cells as there are headings.
    """
    cells = [[str(cell) for cell in row] for row in rows]
    lines = [list(headings), *cells]
    widths = [max(len(line[i]) for line in lines) for i in range(len(headings))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def format_json(value: Any) -> str:
    """Format a value as JSON text."""
    plain = msgspec.to_builtins(value)
    return json.dumps(plain, indent=2, ensure_ascii=False)
