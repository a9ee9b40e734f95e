"""Reads settings text and reports the first thing wrong with it by path.

The text is JSON with comments; JSON5's other liberties (trailing commas,
single quotes, unquoted keys) are accepted as well.
"""

import difflib
import functools
import types
import typing
from typing import Any

from expression import Error
from expression import Ok
from expression import Result
import msgspec
import pyjson5

from wagtailtiller import errors
from wagtailtiller.settings import schema

Checked = Result[schema.Document, errors.InvalidSetting]
Plain = dict[str, Any]


def read_text(text: str) -> Result[Plain, errors.InvalidSetting]:
    """Parse JSON with comments into plain values."""
    try:
        plain = pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        return Error(
            errors.InvalidSetting("/", str(error), "JSON with comments")
        )
    if not isinstance(plain, dict):
        return Error(errors.InvalidSetting("/", plain, "an object"))
    return Ok(plain)


def read_document(text: str) -> Checked:
    """Parse and check a whole settings document."""
    return read_text(text).bind(check_document)


def check_document(plain: Plain) -> Checked:
    """Check plain values against the schema and the rules between them."""
    fault = first_fault(plain, schema.Document, "")
    if fault is not None:
        return Error(fault)
    document = msgspec.convert(plain, schema.Document)
    fault = _first_broken_reference(document)
    if fault is not None:
        return Error(fault)
    return Ok(document)


def first_fault(
    value: Any, kind: Any, path: str
) -> errors.InvalidSetting | None:
    """Find the first value that does not fit its type.

    Args:
        value: Plain values.
        kind: The type that they must fit.
        path: Where they stand, such as ``/tree/values``.

    Returns:
        The fault, or None when all fits.
    """
    kind = _without_unset(kind)
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return _fault_in_struct(value, kind, path)
    if typing.get_origin(kind) is dict:
        return _fault_in_mapping(value, typing.get_args(kind), path)
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        return errors.InvalidSetting(path or "/", value, _allowed(error))
    return None


def _fault_in_struct(
    value: Any, kind: type[msgspec.Struct], path: str
) -> errors.InvalidSetting | None:
    if not isinstance(value, dict):
        return errors.InvalidSetting(path or "/", value, "expected an object")
    hints = _hints(kind)
    for key, child in value.items():
        if key not in hints:
            return _unknown_key(key, list(hints), path)
        fault = first_fault(child, hints[key], f"{path}/{key}")
        if fault is not None:
            return fault
    for field in msgspec.structs.fields(kind):
        if field.required and field.name not in value:
            return errors.InvalidSetting(
                f"{path}/{field.name}", None, "this key is required"
            )
    return None


@functools.cache
def _hints(kind: type[msgspec.Struct]) -> dict[str, Any]:
    return typing.get_type_hints(kind, include_extras=True)


def _fault_in_mapping(
    value: Any, kinds: tuple[Any, ...], path: str
) -> errors.InvalidSetting | None:
    if not isinstance(value, dict):
        return errors.InvalidSetting(path or "/", value, "expected an object")
    key_kind, child_kind = kinds
    for key, child in value.items():
        fault = first_fault(key, key_kind, f"{path}/{key}")
        fault = fault or first_fault(child, child_kind, f"{path}/{key}")
        if fault is not None:
            return fault
    return None


def _unknown_key(
    key: str, known: list[str], path: str
) -> errors.InvalidSetting:
    near = difflib.get_close_matches(key, known, n=1)
    allowed = "known keys are " + ", ".join(sorted(known))
    return errors.InvalidSetting(
        f"{path}/{key}", key, allowed, near[0] if near else ""
    )


def _without_unset(kind: Any) -> Any:
    if typing.get_origin(kind) not in (types.UnionType, typing.Union):
        return kind
    args = [a for a in typing.get_args(kind) if a is not msgspec.UnsetType]
    return typing.Union[tuple(args)]  # noqa: UP007


def _allowed(error: msgspec.ValidationError) -> str:
    text = str(error).split(" - at ")[0]
    return text[:1].lower() + text[1:]


def _first_broken_reference(
    document: schema.Document,
) -> errors.InvalidSetting | None:
    pools: dict[str, str] = {}
    fault = _fault_in_names(document.tree, "/tree", pools, {}, document)
    return fault or _fault_in_vms(document, pools)


def _fault_in_names(
    group: schema.GroupNode,
    path: str,
    pools: dict[str, str],
    queues: dict[str, str],
    document: schema.Document,
) -> errors.InvalidSetting | None:
    fault = _fault_in_owner(group.values, path, document)
    for name, pool in group.pools.items():
        here = f"{path}/pools/{name}"
        fault = fault or _fault_in_owner(pool.values, here, document)
        fault = fault or _claim(name, here, pools, "pool")
        for queue_name, queue in pool.queues.items():
            where = f"{here}/queues/{queue_name}"
            fault = fault or _fault_in_owner(queue.values, where, document)
            fault = fault or _claim(queue_name, where, queues, "queue")
    for name, child in group.groups.items():
        fault = fault or _fault_in_names(
            child, f"{path}/groups/{name}", pools, queues, document
        )
    return fault


def _claim(
    name: str, path: str, taken: dict[str, str], what: str
) -> errors.InvalidSetting | None:
    if name in taken:
        allowed = f"the {what} name is taken by {taken[name]}"
        return errors.InvalidSetting(path, name, allowed)
    taken[name] = path
    return None


def _fault_in_owner(
    values: schema.Values, path: str, document: schema.Document
) -> errors.InvalidSetting | None:
    owner = values.owner
    if owner is msgspec.UNSET or owner == "" or owner in document.members:
        return None
    return errors.InvalidSetting(
        f"{path}/values/owner", owner, "expected the name of a member"
    )


def _fault_in_vms(
    document: schema.Document, pools: dict[str, str]
) -> errors.InvalidSetting | None:
    addresses: dict[str, str] = {}
    for name, vm in document.vms.items():
        path = f"/vms/{name}"
        if vm.pool not in pools:
            return _unknown_reference(path, "pool", vm.pool, list(pools))
        if vm.data_centre not in document.data_centres:
            known = list(document.data_centres)
            return _unknown_reference(
                path, "data_centre", vm.data_centre, known
            )
        fault = _claim(vm.address, f"{path}/address", addresses, "address")
        if fault is not None:
            return fault
    return None


def _unknown_reference(
    path: str, field: str, value: str, known: list[str]
) -> errors.InvalidSetting:
    near = difflib.get_close_matches(value, known, n=1)
    return errors.InvalidSetting(
        f"{path}/{field}",
        value,
        f"expected the name of a {field} in this document",
        near[0] if near else "",
    )
