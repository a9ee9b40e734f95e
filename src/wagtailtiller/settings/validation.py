"""Parses and validates settings text.

The first invalid value is reported with its path. The text is JSON with
comments; the other extensions of JSON5 (trailing commas, single quotes,
unquoted keys) are accepted as well.
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

CheckResult = Result[schema.Document, errors.InvalidSetting]
JsonObject = dict[str, Any]


def read_text(text: str) -> Result[JsonObject, errors.InvalidSetting]:
    """Parse JSON with comments.

    Args:
        text: The text of a settings file.

    Returns:
        The top-level object, or an error if the text is not valid JSON5 or
        its top level is not an object.
    """
    try:
        plain = pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        return Error(
            errors.InvalidSetting(
                "/", str(error), "expected JSON with comments"
            )
        )
    if not isinstance(plain, dict):
        return Error(errors.InvalidSetting("/", plain, "expected an object"))
    return Ok(plain)


def read_document(text: str) -> CheckResult:
    """Parse and validate the text of a settings document."""
    return read_text(text).bind(check_document)


def check_document(plain: JsonObject) -> CheckResult:
    """Validate a document against the schema, then check its references.

    Args:
        plain: The document as decoded JSON.

    Returns:
        The typed document, or the first value that is not valid.
    """
    error = find_error(plain, schema.Document, "")
    if error is not None:
        return Error(error)
    document = msgspec.convert(plain, schema.Document)
    error = _check_references(document)
    if error is not None:
        return Error(error)
    return Ok(document)


def find_error(
    value: Any, expected_type: Any, path: str
) -> errors.InvalidSetting | None:
    """Find the first value that does not fit its type.

    Args:
        value: Decoded JSON.
        expected_type: The type that the value must fit.
        path: Path of the value in the document, such as ``/tree/values``.

    Returns:
        The error, or None if the whole value fits.
    """
    expected_type = _strip_unset(expected_type)
    if isinstance(expected_type, type) and issubclass(
        expected_type, msgspec.Struct
    ):
        return _check_struct(value, expected_type, path)
    if typing.get_origin(expected_type) is dict:
        return _check_mapping(value, typing.get_args(expected_type), path)
    try:
        msgspec.convert(value, expected_type)
    except msgspec.ValidationError as error:
        return errors.InvalidSetting(path or "/", value, _expected_text(error))
    return None


def _check_struct(
    value: Any, expected_type: type[msgspec.Struct], path: str
) -> errors.InvalidSetting | None:
    if not isinstance(value, dict):
        return errors.InvalidSetting(path or "/", value, "expected an object")
    hints = _type_hints(expected_type)
    for key, child in value.items():
        if key not in hints:
            return _unknown_key(key, list(hints), path)
        error = find_error(child, hints[key], f"{path}/{key}")
        if error is not None:
            return error
    for field in msgspec.structs.fields(expected_type):
        if field.required and field.name not in value:
            return errors.InvalidSetting(
                f"{path}/{field.name}", None, "this key is required"
            )
    return None


@functools.cache
def _type_hints(expected_type: type[msgspec.Struct]) -> dict[str, Any]:
    return typing.get_type_hints(expected_type, include_extras=True)


def _check_mapping(
    value: Any, expected_types: tuple[Any, ...], path: str
) -> errors.InvalidSetting | None:
    if not isinstance(value, dict):
        return errors.InvalidSetting(path or "/", value, "expected an object")
    key_type, child_type = expected_types
    for key, child in value.items():
        error = find_error(key, key_type, f"{path}/{key}")
        error = error or find_error(child, child_type, f"{path}/{key}")
        if error is not None:
            return error
    return None


def _unknown_key(
    key: str, known: list[str], path: str
) -> errors.InvalidSetting:
    matches = difflib.get_close_matches(key, known, n=1)
    allowed = "known keys are " + ", ".join(sorted(known))
    return errors.InvalidSetting(
        f"{path}/{key}", key, allowed, matches[0] if matches else ""
    )


def _strip_unset(expected_type: Any) -> Any:
    if typing.get_origin(expected_type) not in (types.UnionType, typing.Union):
        return expected_type
    args = [
        a for a in typing.get_args(expected_type) if a is not msgspec.UnsetType
    ]
    return typing.Union[tuple(args)]  # noqa: UP007


def _expected_text(error: msgspec.ValidationError) -> str:
    text = str(error).split(" - at ")[0]
    return text[:1].lower() + text[1:]


def _check_references(
    document: schema.Document,
) -> errors.InvalidSetting | None:
    pools: dict[str, str] = {}
    error = _check_group(document.tree, "/tree", pools, {}, document)
    return error or _check_vms(document, pools)


def _check_group(
    group: schema.GroupNode,
    path: str,
    pools: dict[str, str],
    queues: dict[str, str],
    document: schema.Document,
) -> errors.InvalidSetting | None:
    error = _check_owner(group.values, path, document)
    for name, pool in group.pools.items():
        pool_path = f"{path}/pools/{name}"
        error = error or _check_owner(pool.values, pool_path, document)
        error = error or _register_unique(name, pool_path, pools, "pool name")
        for queue_name, queue in pool.queues.items():
            queue_path = f"{pool_path}/queues/{queue_name}"
            error = error or _check_owner(queue.values, queue_path, document)
            error = error or _register_unique(
                queue_name, queue_path, queues, "queue name"
            )
    for name, child in group.groups.items():
        error = error or _check_group(
            child, f"{path}/groups/{name}", pools, queues, document
        )
    return error


def _register_unique(
    name: str, path: str, registered: dict[str, str], label: str
) -> errors.InvalidSetting | None:
    if name in registered:
        allowed = f"the {label} is already used by {registered[name]}"
        return errors.InvalidSetting(path, name, allowed)
    registered[name] = path
    return None


def _check_owner(
    values: schema.Values, path: str, document: schema.Document
) -> errors.InvalidSetting | None:
    owner = values.owner
    if owner is msgspec.UNSET or owner == "" or owner in document.members:
        return None
    return errors.InvalidSetting(
        f"{path}/values/owner", owner, "expected the name of a member"
    )


def _check_vms(
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
        error = _register_unique(
            vm.address, f"{path}/address", addresses, "address"
        )
        if error is not None:
            return error
    return None


def _unknown_reference(
    path: str, field: str, value: str, known: list[str]
) -> errors.InvalidSetting:
    matches = difflib.get_close_matches(value, known, n=1)
    return errors.InvalidSetting(
        f"{path}/{field}",
        value,
        f"expected the name of a {field} in this document",
        matches[0] if matches else "",
    )
