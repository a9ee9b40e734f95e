"""Reads the settings file (YAML) that the platform writes for a process."""

import os
import pathlib
from typing import Annotated

from expression import Error
from expression import Ok
from expression import Result
import msgspec
import yaml

from wagtailtiller import errors
from wagtailtiller import ids
from wagtailtiller.entry import settings
from wagtailtiller.http_server import limits as limits_module

# Must be the same port as in deploy/system.toml.
_METRICS_PORT = 9464
PATH_ENV_VAR = "WAGTAILTILLER_BOOT"


_Positive = Annotated[float, msgspec.Meta(gt=0)]
_PositiveCount = Annotated[int, msgspec.Meta(gt=0)]
_Share = Annotated[float, msgspec.Meta(gt=0, le=1)]


class _Listen(msgspec.Struct):
    # Addresses for callers (``front``) and for the load balancer's readiness
    # check (``ready``).
    front: str
    ready: str


class _Bounds(msgspec.Struct):
    hold_max_ms: int = 6_000
    drain_ms: int = 2_000
    grace_s: float = 6.0
    status_s: float = 120.0
    lease_ms: int = 3_000


class _Limits(msgspec.Struct):
    # A core of this VM is ``cores`` times as fast as a standard core, and the
    # process may use the share ``cpu_share`` of it.
    cpu_share: float = 0.5
    cores: float = 1.0
    link_mbps: float = 10.0
    # Those of a small VM.
    memory_mb: _Positive = 200
    max_fds: _PositiveCount = 4_100


class _Service(msgspec.Struct):
    address: str


class _SettingsFile(msgspec.Struct):
    node_name: str
    ip: str
    zone: str
    listen: _Listen
    # The first and last port for calls between the entry processes.
    port_range: tuple[int, int]
    bounds: _Bounds
    # The key-value store.
    platform: _Service
    # The machine service.
    cloud: _Service | None = None
    advice: str | None = None
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # A setting of the product, which the platform passes on.
    overload_control: bool = False
    # Settings of the product: the parts of the memory and of the descriptors
    # that clients may use, and of the memory that accepted jobs may take.
    client_memory_share: _Share = limits_module.DEFAULT_MEMORY_SHARE
    client_descriptor_share: _Share = limits_module.DEFAULT_DESCRIPTOR_SHARE
    job_memory_share: _Share = 0.3


def load() -> Result[settings.EntrySettings, errors.InvalidSetting]:
    """Read the settings file that the environment variable names."""
    path = os.environ.get(PATH_ENV_VAR, "")
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        content = yaml.safe_load(text)
    except (OSError, yaml.YAMLError) as error:
        fault = errors.InvalidSetting(path, str(error), "expected a YAML file")
        return Error(fault)
    return decode(content)


def decode(
    content: object,
) -> Result[settings.EntrySettings, errors.InvalidSetting]:
    """Translate the content of a settings file.

    Args:
        content: The content, as plain values.

    Returns:
        The settings, or an error that says which field is wrong.
    """
    try:
        file = msgspec.convert(content, _SettingsFile)
    except msgspec.ValidationError as error:
        fault = errors.InvalidSetting("settings", content, str(error))
        return Error(fault)
    bounds = file.bounds
    return Ok(
        settings.EntrySettings(
            node=ids.NodeId(file.node_name),
            data_centre=ids.DataCentreId(file.zone),
            caller_address=file.listen.front,
            ready_address=file.listen.ready,
            peer_address=f"{file.ip}:{file.port_range[0]}",
            metrics_address=f"{file.ip}:{_METRICS_PORT}",
            store_address=file.platform.address,
            machines_address=file.cloud.address if file.cloud else "",
            policy_address=file.advice or "",
            vm_lease_ms=bounds.hold_max_ms,
            machine_lease_ms=bounds.lease_ms,
            job_kept_ms=int(bounds.status_s * 1_000),
            stop_within_ms=int(bounds.grace_s * 1_000),
            capacity=settings.Capacity(
                int(file.limits.cpu_share * file.limits.cores * 1_000),
                file.limits.link_mbps,
            ),
            client_limits=limits_module.of_process(
                file.limits.memory_mb,
                file.limits.max_fds,
                file.client_memory_share,
                file.client_descriptor_share,
            ),
            max_job_calls=limits_module.max_own_calls(
                file.limits.max_fds, file.client_descriptor_share
            ),
            max_job_bytes=int(
                limits_module.available_bytes(file.limits.memory_mb)
                * file.job_memory_share
            ),
            overload_control=file.overload_control,
        )
    )
