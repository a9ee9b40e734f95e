"""Errors of the package.

Functions that can fail return ``expression.Result`` with one of these types
as its error. Only ``InvariantError`` is raised: it means that the process can
no longer trust its own state and must stop.
"""

import dataclasses
from typing import Any

from wagtailtiller import ids


class InvariantError(Exception):
    """An internal invariant is violated."""


@dataclasses.dataclass(frozen=True)
class InvalidSetting:
    """A settings value that is not valid.

    Attributes:
        path: Path in the settings document, such as ``/pools/a/slots``.
        value: The value that was found there.
        allowed: Description of the accepted values.
        hint: The closest known name for an unknown key, or an empty string.
    """

    path: str
    value: Any
    allowed: str
    hint: str = ""

    def __str__(self) -> str:
        text = f"{self.path}: {self.value!r} is not allowed; {self.allowed}"
        if self.hint:
            text += f"; did you mean {self.hint!r}?"
        return text


@dataclasses.dataclass(frozen=True)
class Conflict:
    """A write failed because another writer changed the key first.

    Attributes:
        key: The key that was to be written.
        current: The current value of the key; None if the key is absent.
        revision: The store revision of the current value.
    """

    key: str
    current: bytes | None
    revision: ids.Revision

    def __str__(self) -> str:
        return (
            f"{self.key}: changed by another writer (revision {self.revision})"
        )


@dataclasses.dataclass(frozen=True)
class StoreUnavailable:
    """The store did not return a usable response.

    Attributes:
        reason: Description of the failure.
        may_apply: Whether the outcome of a write is unknown: it may have
            taken effect or may still do so.
    """

    reason: str
    may_apply: bool = True

    def __str__(self) -> str:
        return f"store unavailable: {self.reason}"


@dataclasses.dataclass(frozen=True)
class PlatformUnavailable:
    """The platform did not return a usable response.

    Attributes:
        reason: Description of the failure.
    """

    reason: str

    def __str__(self) -> str:
        return f"platform unavailable: {self.reason}"


@dataclasses.dataclass(frozen=True)
class Refused:
    """A fleet command was rejected by one of the fleet's rules.

    Attributes:
        rule: Short name of the rule, such as ``budget``.
        detail: Description of the violation.
    """

    rule: str
    detail: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.detail}"


StoreError = Conflict | StoreUnavailable
