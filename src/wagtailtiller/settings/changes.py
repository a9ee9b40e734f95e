"""Changes to the settings document: an append-only log of merge patches.

Each accepted change is one key in the store that is created only if absent.
The store thereby orders concurrent operators, and an accepted change cannot be
overwritten. The log also serves as the audit trail. Patches follow JSON Merge
Patch (RFC 7396).
"""

from typing import Any

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from wagtailtiller import errors
from wagtailtiller import ids
from wagtailtiller.settings import catalogue
from wagtailtiller.settings import schema
from wagtailtiller.settings import validation

LOG_PREFIX = "state/settings/"
ARCHIVE_PREFIX = "audit/settings/"
SNAPSHOT_KEY = "state/settings-snapshot"

JsonObject = dict[str, Any]


class Change(msgspec.Struct, frozen=True):
    """One accepted change.

    Attributes:
        revision: Position in the log, counted from 1.
        change: Unique id chosen by the writer; a repeated write of the same
            id has no effect.
        who: The operator's name.
        why: The operator's reason.
        at_ms: Time of writing, in wall-clock milliseconds.
        patch: The merge patch to apply.
    """

    revision: ids.Revision
    change: ids.ChangeId
    who: str
    why: str
    at_ms: int
    patch: JsonObject


class SettingsSnapshot(msgspec.Struct, frozen=True):
    """The document as of a revision, so that older changes can be archived.

    Attributes:
        revision: Revision of the last change that the document includes.
        plain: The document as decoded JSON.
    """

    revision: ids.Revision
    plain: JsonObject


class CurrentSettings(msgspec.Struct, frozen=True):
    """The settings in force at a revision.

    Attributes:
        revision: Revision of the last change that is applied.
        plain: The document as decoded JSON.
        document: The typed document.
        catalogue: The resolved settings.
    """

    revision: ids.Revision
    plain: JsonObject
    document: schema.Document
    catalogue: catalogue.Catalogue


EMPTY = CurrentSettings(ids.Revision(0), {}, schema.Document(), catalogue.EMPTY)


def log_key(revision: ids.Revision) -> str:
    """Return the store key of the change with this revision."""
    return f"{LOG_PREFIX}{revision:012d}"


def apply_merge_patch(target: Any, patch: Any) -> Any:
    """Apply a JSON merge patch (RFC 7396, section 2).

    Args:
        target: Decoded JSON; it is not modified.
        patch: The merge patch; None removes a key.

    Returns:
        The patched copy.
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
    """Return the merge patch that turns one document into another.

    Args:
        old: Decoded JSON that the patch is applied to.
        new: Decoded JSON that the patch results in.
    """
    if not isinstance(old, dict) or not isinstance(new, dict):
        return new
    patch: JsonObject = {key: None for key in old if key not in new}
    for key, value in new.items():
        if key not in old:
            patch[key] = value
        elif old[key] != value:
            patch[key] = create_merge_patch(old[key], value)
    return patch


def validate_and_resolve(
    revision: ids.Revision, plain: JsonObject
) -> Result[CurrentSettings, errors.InvalidSetting]:
    """Validate a document and resolve its inherited values.

    Args:
        revision: Revision of the document.
        plain: The document as decoded JSON.

    Returns:
        The settings, or the first value that is not valid.
    """
    return validation.check_document(plain).map(
        lambda document: CurrentSettings(
            revision, plain, document, catalogue.resolve(document)
        )
    )


def resolve_accepted(
    revision: ids.Revision, plain: JsonObject
) -> Result[CurrentSettings, errors.InvalidSetting]:
    """Resolve a document that was validated when it was accepted.

    Only the types are checked again, not the references between nodes. If a
    type does not fit, the whole document is validated to report the path of
    the invalid value.

    Args:
        revision: Revision of the document.
        plain: The document as decoded JSON.

    Returns:
        The settings, or the first value that is not valid.
    """
    try:
        document = msgspec.convert(plain, schema.Document)
    except msgspec.ValidationError:
        return validate_and_resolve(revision, plain)
    resolved = catalogue.resolve(document)
    return Ok(CurrentSettings(revision, plain, document, resolved))


def apply_change(
    current: CurrentSettings, change: Change
) -> Result[CurrentSettings, errors.InvalidSetting]:
    """Apply the next change of the log and validate the result.

    Args:
        current: The settings before the change.
        change: The change; its revision must follow that of ``current``.

    Returns:
        The settings after the change, or the first value that is not valid.

    Raises:
        InvariantError: The revision of the change is not the next one.
    """
    if change.revision != current.revision + 1:
        raise errors.InvariantError(
            f"settings change {change.revision} does not follow"
            f" revision {current.revision}"
        )
    return validate_and_resolve(
        change.revision, apply_merge_patch(current.plain, change.patch)
    )


def replay(
    current: CurrentSettings, changes: list[Change]
) -> Result[CurrentSettings, errors.InvalidSetting]:
    """Apply logged changes in order, up to the first missing revision.

    Args:
        current: The settings to start from.
        changes: Accepted changes in any order; those up to the revision of
            ``current`` are skipped.

    Returns:
        The settings after the last applied change, or the first value that
        is not valid.
    """
    plain = current.plain
    revision = current.revision
    for change in sorted(changes, key=lambda change: change.revision):
        if change.revision != revision + 1:
            continue
        plain = apply_merge_patch(plain, change.patch)
        revision = change.revision
    if revision == current.revision:
        return Ok(current)
    return resolve_accepted(revision, plain)


def decode(value: bytes) -> Result[Change, errors.InvalidSetting]:
    """Decode a change as it is stored under its log key."""
    try:
        return Ok(msgspec.json.decode(value, type=Change))
    except msgspec.MsgspecError as error:
        return Error(errors.InvalidSetting("/", "", str(error)))
