"""Appends operators' changes to the settings log in the store."""

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
    """Validate a change and append it exactly once.

    If the store's response to a write is lost, the key is read back and the
    change ids are compared, to find out whether the write took effect.

    Args:
        store_client: Client of the store that holds the settings log.
        current: The settings that the operator saw.
        change: The change; its revision must follow that of ``current``.

    Returns:
        The appended change; ``InvalidSetting`` if the new settings are not
        valid; ``Conflict`` if another change has the same revision; or
        ``StoreUnavailable`` if no attempt got a response.

    Raises:
        InvariantError: The revision of the change is not the next one.
    """
    check_result = changes.apply_change(current, change)
    if check_result.is_error():
        return Error(check_result.error)
    key = changes.log_key(change.revision)
    value = msgspec.json.encode(change)
    outcome: AppendResult = Error(
        errors.StoreUnavailable("no write was attempted")
    )
    for _ in range(_MAX_ATTEMPTS):
        write_result = await store_client.write(key, value, store.ABSENT)
        outcome = write_result.map(lambda _: change)
        if not _is_unavailable(outcome):
            return _accept_own_write(outcome, change)
        read_back = await _read_back(store_client, key, change)
        if read_back is not None:
            return read_back
    return outcome


def next_revision(current: changes.CurrentSettings) -> ids.Revision:
    """Return the revision that the next change must have."""
    return ids.Revision(current.revision + 1)


def conflicting_change(conflict: errors.Conflict) -> changes.Change | None:
    """Return the change that was stored first, or None if it is unreadable."""
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
            stored = conflicting_change(conflict)
            if stored is not None and stored.change == change.change:
                return Ok(change)
    return outcome


async def _read_back(
    store_client: store.Store, key: str, change: changes.Change
) -> AppendResult | None:
    """Return the outcome if the key exists, or None to write again."""
    result = await store_client.read(key)
    if result.is_error() or not result.ok.items:
        return None
    item = result.ok.items[0]
    conflict = errors.Conflict(item.key, item.value, item.revision)
    return _accept_own_write(Error(conflict), change)
