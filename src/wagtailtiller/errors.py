"""The failures that the package reports, as values.

Functions that can fail return ``expression.Result`` with one of these in its
error side. ``InvariantError`` alone is raised: it means that the process can
no longer trust its own state and must stop.
"""

import dataclasses
from typing import Any

from wagtailtiller import ids


class InvariantError(Exception):
    """A rule that the code itself guarantees was found broken."""


@dataclasses.dataclass(frozen=True)
class InvalidSetting:
    """A settings value that cannot be accepted.

    Attributes:
        path: Where in the settings document, such as ``/pools/a/slots``.
        value: What was found there.
        allowed: What would have been accepted.
        hint: The nearest known name for an unknown key, or an empty string.
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
    """Somebody else wrote first.

    Attributes:
        key: The key that both wanted to write.
        current: The value that stands there now, or None when absent.
        revision: The store revision of that value.
    """

    key: str
    current: bytes | None
    revision: ids.Revision

    def __str__(self) -> str:
        return f"{self.key}: changed meanwhile (revision {self.revision})"


@dataclasses.dataclass(frozen=True)
class StoreUnavailable:
    """The store gave no usable answer.

    Attributes:
        reason: What happened.
        may_apply: A write may have taken effect, or may do so later.
    """

    reason: str
    may_apply: bool = True

    def __str__(self) -> str:
        return f"store unavailable: {self.reason}"


@dataclasses.dataclass(frozen=True)
class PlatformUnavailable:
    """The platform gave no usable answer."""

    reason: str

    def __str__(self) -> str:
        return f"platform unavailable: {self.reason}"


@dataclasses.dataclass(frozen=True)
class Refused:
    """A fleet command that the fleet's rules do not permit now.

    Attributes:
        rule: The short name of the rule, such as ``budget``.
        detail: What stood in the way.
    """

    rule: str
    detail: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.detail}"


StoreError = Conflict | StoreUnavailable
