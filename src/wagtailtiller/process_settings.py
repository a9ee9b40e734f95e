"""Settings of a process, read from a file when it starts."""

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
        gateway: Name of the gateway, unique in the region.
        region: Region that the gateway serves.
        data_centre: Data centre that it runs in.
        caller_address: Address on which it listens for callers, as
            ``ip:port``.
        peer_address: Address on which it listens for other gateways, as
            ``ip:port``.
        store_url: URL of the platform's key-value service.
        statsd_address: Address of the statsd server as ``ip:port``; empty to
            send no metrics.
        session_ttl_ms: Time after its last renewal at which the session
            expires.
        balancer_notice_ms: Time that the load balancer needs to notice a
            failing health check; a stopping gateway accepts callers for this
            long.
        body_timeout_ms: Longest pause of a caller while it sends a body.
        sample_every: One in this many requests is logged.
        memory_mb: Memory of the process, in MB; callers may use a quarter.
        max_descriptors: Descriptors of the process; connections of callers
            may take three quarters, less those for files.
        max_header_bytes: Largest head of a caller's request.
        header_timeout_ms: Longest time that the head may take.
        idle_timeout_ms: How long a connection stays open between requests.
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
    memory_mb: schema.PositiveCount = 256
    max_descriptors: schema.PositiveCount = 4_096
    max_header_bytes: schema.PositiveCount = 16_384
    header_timeout_ms: schema.DurationMs = 3_000
    idle_timeout_ms: schema.DurationMs = 75_000


class ControllerSettings(
    msgspec.Struct, forbid_unknown_fields=True, frozen=True
):
    """Settings of a controller process.

    Attributes:
        controller: Name of the controller, unique in the region.
        region: Region whose fleet it manages.
        data_centre: Data centre that it runs in.
        store_url: URL of the platform's key-value service.
        platform_url: URL of the platform's VM interface.
        statsd_address: Address of the statsd server as ``ip:port``; empty to
            send no metrics.
        lease_ttl_ms: Time after its last renewal at which leadership expires.
        poll_ms: Interval between two polls of the platform's VM list.
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
        path: Path of the file, which holds JSON with comments.
        kind: Type to read, ``GatewaySettings`` or ``ControllerSettings``.

    Returns:
        The settings, or the first value that is not valid.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as error:
        invalid_setting = errors.InvalidSetting(
            path, str(error), "expected a readable file"
        )
        return Error(invalid_setting)
    return validation.read_text(text).bind(
        lambda plain: _check_and_convert(plain, kind)
    )


def _check_and_convert(
    plain: validation.JsonObject, kind: type[_T]
) -> Result[_T, errors.InvalidSetting]:
    invalid_setting = validation.find_error(plain, kind, "")
    if invalid_setting is not None:
        return Error(invalid_setting)
    return Ok(msgspec.convert(plain, kind))
