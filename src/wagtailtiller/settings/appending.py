"""Appends operators' changes to the settings log."""

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from wagtailtiller import errors
from wagtailtiller import ids
from wagtailtiller.ports import store
from wagtailtiller.settings import changes

_MOST_ATTEMPTS = 4

Rejection = errors.InvalidSetting | errors.StoreError
Appended = Result[changes.Change, Rejection]


async def append(
    target: store.Store, current: changes.Current, change: changes.Change
) -> Appended:
    """Check a change and append it, exactly once.

    A lost answer is settled by reading the key back and comparing ids.

    Args:
        target: The store.
        current: The settings that the operator saw.
        change: The change; its revision is the next one.

    Returns:
        The change, an invalid setting, or the conflict with another change.
    """
    checked = changes.advance(current, change)
    if checked.is_error():
        return Error(checked.error)
    key = changes.log_key(change.revision)
    value = msgspec.json.encode(change)
    outcome: Appended = Error(errors.StoreUnavailable("not tried"))
    for _ in range(_MOST_ATTEMPTS):
        written = await target.write(key, value, store.ABSENT)
        outcome = written.map(lambda _: change)
        if not _is_unavailable(outcome):
            return _recognise(outcome, change)
        found = await _read_back(target, key, change)
        if found is not None:
            return found
    return outcome


def next_revision(current: changes.Current) -> ids.Revision:
    """Return the revision that the next change has."""
    return ids.Revision(current.revision + 1)


def other_change(conflict: errors.Conflict) -> changes.Change | None:
    """Return the change that was there first, if it can be read."""
    if conflict.current is None:
        return None
    return changes.decode(conflict.current).default_value(None)  # type: ignore[arg-type]


def _is_unavailable(outcome: Appended) -> bool:
    return outcome.is_error() and isinstance(
        outcome.error, errors.StoreUnavailable
    )


def _recognise(outcome: Appended, change: changes.Change) -> Appended:
    match outcome:
        case Result(tag="error", error=errors.Conflict() as conflict):
            other = other_change(conflict)
            if other is not None and other.change == change.change:
                return Ok(change)
    return outcome


async def _read_back(
    target: store.Store, key: str, change: changes.Change
) -> Appended | None:
    """Return the outcome if the key is there, or None to write again."""
    found = await target.read(key)
    if found.is_error() or not found.ok.items:
        return None
    item = found.ok.items[0]
    conflict = errors.Conflict(item.key, item.value, item.revision)
    return _recognise(Error(conflict), change)
