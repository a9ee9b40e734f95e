"""Changes to the settings document: an append-only log of merge patches.

Each accepted change is one key in the store, created only if absent, so the
store orders racing operators and nothing accepted can revert. The log is the
audit trail. Patches follow JSON Merge Patch (RFC 7396).
"""

from typing import Any

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from wagtailtiller import errors
from wagtailtiller import ids
from wagtailtiller.settings import catalogue
from wagtailtiller.settings import reading
from wagtailtiller.settings import schema

LOG_PREFIX = "state/settings/"
ARCHIVE_PREFIX = "audit/settings/"
SNAPSHOT_KEY = "state/settings-snapshot"

Plain = dict[str, Any]


class Change(msgspec.Struct, frozen=True):
    """One accepted change.

    Attributes:
        revision: Its place in the log, counted from 1.
        change: A unique id chosen by the writer; a repeat has no effect.
        who: The operator.
        why: The operator's reason.
        at_ms: When it was written, in wall-clock milliseconds.
        patch: What it changes, as a merge patch.
    """

    revision: ids.Revision
    change: ids.ChangeId
    who: str
    why: str
    at_ms: int
    patch: Plain


class Base(msgspec.Struct, frozen=True):
    """The document as of a revision, so that older changes can be archived."""

    revision: ids.Revision
    plain: Plain


class CurrentSettings(msgspec.Struct, frozen=True):
    """The settings in force at a revision, in all their forms."""

    revision: ids.Revision
    plain: Plain
    document: schema.Document
    catalogue: catalogue.Catalogue


EMPTY = CurrentSettings(ids.Revision(0), {}, schema.Document(), catalogue.EMPTY)


def log_key(revision: ids.Revision) -> str:
    """Return the store key of a change."""
    return f"{LOG_PREFIX}{revision:012d}"


def apply_merge_patch(target: Any, patch: Any) -> Any:
    """Apply a merge patch and return the result; the inputs stay as they are.

    Source: RFC 7396, section 2.
    """
    if not isinstance(patch, dict):
        return patch
    result = dict(target) if isinstance(target, dict) else {}
    for key, value in patch.items():
        if value is None:
            result.pop(key, None)
        else:
            result[key] = apply_merge_patch(result.get(key), value)
    return result


def create_merge_patch(old: Any, new: Any) -> Any:
    """Return the merge patch that turns one document into another."""
    if not isinstance(old, dict) or not isinstance(new, dict):
        return new
    patch: Plain = {key: None for key in old if key not in new}
    for key, value in new.items():
        if key not in old:
            patch[key] = value
        elif old[key] != value:
            patch[key] = create_merge_patch(old[key], value)
    return patch


def from_plain(
    revision: ids.Revision, plain: Plain
) -> Result[CurrentSettings, errors.InvalidSetting]:
    """Check plain values and settle them."""
    return reading.check_document(plain).map(
        lambda document: CurrentSettings(
            revision, plain, document, catalogue.resolve(document)
        )
    )


def resolve_accepted(
    revision: ids.Revision, plain: Plain
) -> Result[CurrentSettings, errors.InvalidSetting]:
    """Settle plain values that were checked when they were accepted."""
    try:
        document = msgspec.convert(plain, schema.Document)
    except msgspec.ValidationError:
        return from_plain(revision, plain)
    resolved = catalogue.resolve(document)
    return Ok(CurrentSettings(revision, plain, document, resolved))


def apply_change(
    current: CurrentSettings, change: Change
) -> Result[CurrentSettings, errors.InvalidSetting]:
    """Apply the next change of the log.

    Raises:
        InvariantError: The change is not the next one.
    """
    if change.revision != current.revision + 1:
        raise errors.InvariantError(
            f"settings change {change.revision} after {current.revision}"
        )
    return from_plain(
        change.revision, apply_merge_patch(current.plain, change.patch)
    )


def fold(
    current: CurrentSettings, changes: list[Change]
) -> Result[CurrentSettings, errors.InvalidSetting]:
    """Apply the changes that follow, in order, up to the first gap."""
    plain = current.plain
    revision = current.revision
    for change in sorted(changes, key=lambda each: each.revision):
        if change.revision != revision + 1:
            continue
        plain = apply_merge_patch(plain, change.patch)
        revision = change.revision
    if revision == current.revision:
        return Ok(current)
    return resolve_accepted(revision, plain)


def decode(value: bytes) -> Result[Change, errors.InvalidSetting]:
    """Decode a change as stored."""
    try:
        return Ok(msgspec.json.decode(value, type=Change))
    except msgspec.MsgspecError as error:
        return Error(errors.InvalidSetting("/", "", str(error)))
