"""Process settings: what one process is told at its start, from a file."""

import pathlib
from typing import TypeVar

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from wagtailtiller import errors
from wagtailtiller import ids
from wagtailtiller.settings import schema
from wagtailtiller.settings import validation

_T = TypeVar("_T", bound=msgspec.Struct)


class GatewaySettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of a gateway process.

    Attributes:
        gateway: Its name, unique in the region.
        region: The region that it serves.
        data_centre: Where it runs.
        caller_address: Where it listens for callers, as ``ip:port``.
        peer_address: Where it listens for other gateways, as ``ip:port``.
        store_url: The platform's key-value service.
        statsd_address: Where metrics go, as ``ip:port``; empty for nowhere.
        session_ttl_ms: How long its session outlives its last renewal.
        balancer_notice_ms: How long the balancer takes to notice that the
            health check fails, before a stopping gateway refuses callers.
        body_timeout_ms: How long a caller may pause while it sends a body.
        sample_every: One in this many requests is logged.
    """

    gateway: ids.GatewayId
    region: ids.RegionId
    data_centre: ids.DataCentreId
    caller_address: schema.Address
    peer_address: schema.Address
    store_url: str
    statsd_address: str = ""
    session_ttl_ms: schema.DurationMs = 3_000
    balancer_notice_ms: schema.Count = 500
    body_timeout_ms: schema.DurationMs = 5_000
    sample_every: schema.PositiveCount = 1_000


class ControllerSettings(
    msgspec.Struct, forbid_unknown_fields=True, frozen=True
):
    """Settings of a controller process.

    Attributes:
        controller: Its name, unique in the region.
        region: The region whose fleet it manages.
        data_centre: Where it runs.
        store_url: The platform's key-value service.
        platform_url: The platform's VM interface.
        statsd_address: Where metrics go; empty for nowhere.
        lease_ttl_ms: How long leadership outlives its last renewal.
        poll_ms: Time between two looks at the platform's list.
    """

    controller: ids.ControllerId
    region: ids.RegionId
    data_centre: ids.DataCentreId
    store_url: str
    platform_url: str
    statsd_address: str = ""
    lease_ttl_ms: schema.DurationMs = 3_000
    poll_ms: schema.DurationMs = 1_000


def load(path: str, kind: type[_T]) -> Result[_T, errors.InvalidSetting]:
    """Read and check a process settings file.

    Args:
        path: The file, JSON with comments.
        kind: ``GatewaySettings`` or ``ControllerSettings``.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as error:
        fault = errors.InvalidSetting(path, str(error), "a readable file")
        return Error(fault)
    return validation.read_text(text).bind(lambda plain: _convert(plain, kind))


def _convert(
    plain: validation.JsonObject, kind: type[_T]
) -> Result[_T, errors.InvalidSetting]:
    fault = validation.find_error(plain, kind, "")
    if fault is not None:
        return Error(fault)
    return Ok(msgspec.convert(plain, kind))
