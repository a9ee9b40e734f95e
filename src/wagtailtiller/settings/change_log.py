"""Appends operators' changes to the settings log."""

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from wagtailtiller import errors
from wagtailtiller import ids
from wagtailtiller.ports import store
from wagtailtiller.settings import changes

_MAX_ATTEMPTS = 4

AppendError = errors.InvalidSetting | errors.StoreError
AppendResult = Result[changes.Change, AppendError]


async def append(
    store_client: store.Store,
    current: changes.CurrentSettings,
    change: changes.Change,
) -> AppendResult:
    """Check a change and append it, exactly once.

    A lost answer is settled by reading the key back and comparing ids.

    Args:
        store_client: The store.
        current: The settings that the operator saw.
        change: The change; its revision is the next one.

    Returns:
        The change, an invalid setting, or the conflict with another change.
    """
    check_result = changes.apply_change(current, change)
    if check_result.is_error():
        return Error(check_result.error)
    key = changes.log_key(change.revision)
    value = msgspec.json.encode(change)
    outcome: AppendResult = Error(errors.StoreUnavailable("not tried"))
    for _ in range(_MAX_ATTEMPTS):
        write_result = await store_client.write(key, value, store.ABSENT)
        outcome = write_result.map(lambda _: change)
        if not _is_unavailable(outcome):
            return _accept_own_write(outcome, change)
        stored = await _read_back(store_client, key, change)
        if stored is not None:
            return stored
    return outcome


def next_revision(current: changes.CurrentSettings) -> ids.Revision:
    """Return the revision that the next change has."""
    return ids.Revision(current.revision + 1)


def conflicting_change(conflict: errors.Conflict) -> changes.Change | None:
    """Return the change that was there first, if it can be read."""
    if conflict.current is None:
        return None
    return changes.decode(conflict.current).default_value(None)  # type: ignore[arg-type]


def _is_unavailable(outcome: AppendResult) -> bool:
    return outcome.is_error() and isinstance(
        outcome.error, errors.StoreUnavailable
    )


def _accept_own_write(
    outcome: AppendResult, change: changes.Change
) -> AppendResult:
    match outcome:
        case Result(tag="error", error=errors.Conflict() as conflict):
            other = conflicting_change(conflict)
            if other is not None and other.change == change.change:
                return Ok(change)
    return outcome


async def _read_back(
    store_client: store.Store, key: str, change: changes.Change
) -> AppendResult | None:
    """Return the outcome if the key is there, or None to write again."""
    found = await store_client.read(key)
    if found.is_error() or not found.ok.items:
        return None
    item = found.ok.items[0]
    conflict = errors.Conflict(item.key, item.value, item.revision)
    return _accept_own_write(Error(conflict), change)
