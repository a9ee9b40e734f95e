"""Decodes the documents of the platform.

Other programs write to the platform's store too. A document that cannot be
decoded yields None, and the caller logs and skips it.
"""

from typing import Annotated
from typing import Any
from typing import TypeVar

import msgspec

from wagtailtiller import ids
from wagtailtiller.jobs import model
from wagtailtiller.platform import decoding
from wagtailtiller.ports import catalogue
from wagtailtiller.ports import machines
from wagtailtiller.ports import vms

CONFIG_PREFIX = "op/"
CONFIG_KEY = "op/config"
WAVE_PREFIX = "op/wave/"
VM_PREFIX = "servers/"
STATUS_WAVE_PREFIX = "status/wave/"

_MAX_SPEC_BYTES = 4_000
_MAX_WAVE_S = 366 * 86_400.0

_T = TypeVar("_T")

# Far above what a task can use, and small enough for sums over all tasks.
_Amount = Annotated[int, msgspec.Meta(ge=0, le=1_000_000_000)]
_Occurrences = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
# Up to the year 9999, for Unix times in milliseconds.
_TimeMs = Annotated[int, msgspec.Meta(ge=0, le=253_402_300_800_000)]


class _Capacity(msgspec.Struct, frozen=True):
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class _Worker(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    capacity: _Capacity
    labels: list[str]
    born: int = 0
    # How much longer the worker remains slow after its start.
    cold_left_ms: int = 0
    # While the worker drains: the minimum time before it leaves.
    remaining_ms: int | None = None
    machine: str = ""


class _Machine(msgspec.Struct):
    machine: str
    pool: str
    state: str
    zone: str
    labels: list[str]
    capacity: _Capacity
    id: str | None = None


class _Route(msgspec.Struct):
    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch_factor: float = 1.0
    target_latency_ms: int = 0
    timeout_ms: int = 0
    advice: Any = None
    # Callers need no key of a tenant.
    public: bool = False


class _Service(msgspec.Struct):
    name: str
    # The workers refuse tasks that do not fit.
    admission_check: bool = False
    # The machines are off and cost nothing.
    standby: bool = False


class _Advice(msgspec.Struct):
    decide_ms: int = 0
    each_ms: int = 0
    valid_ms: int = 0


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    weight: float = 1.0
    # Not a count, but the resources that running tasks may use.
    max_count: _Capacity = _Capacity()


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: dict[str, Any] = {}
    # Absent where callers need no keys.
    tenants: list[_Tenant] | None = None


class _Wave(msgspec.Struct):
    wave: int
    machines: list[str]
    duration_s: float
    max_count: int


class _Step(msgspec.Struct):
    count: int
    cpu: _Amount = 0
    mem_mb: _Amount = 0
    gpu: _Amount = 0
    estimate_ms: _Amount = 0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    requires: str = ""
    affinity: str = ""
    anti_affinity: _Amount = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: _Amount = 0
    fills: bool = False
    may_miss: _Amount | None = None


class _Job(msgspec.Struct):
    spec: str
    steps: tuple[_Step, ...]
    repeats: _Occurrences = 0
    start_at_ms: _TimeMs = 0
    interval_ms: _TimeMs = 0


def decode_worker(vm: str, value: bytes) -> vms.VmReport | None:
    """Decode the registration of a VM, which the platform calls a worker.

    Args:
        vm: The id of the VM, from the key of the registration.
        value: The registration, as JSON.

    Returns:
        The report of the VM, or None if it cannot be decoded.
    """
    document = _decode(value, _Worker)
    if document is None or document.state not in ("ready", "draining"):
        return None
    return vms.VmReport(
        vm=ids.VmId(vm),
        pool=ids.PoolId(document.service),
        address=document.address,
        data_centre=ids.DataCentreId(document.zone),
        phase=vms.VmPhase(document.state),
        capacity=_to_resources(document.capacity),
        labels=tuple(document.labels),
        born_ms=document.born,
        slow_for_ms=document.cold_left_ms,
        leaves_in_ms=document.remaining_ms or 0,
        machine=ids.MachineId(document.machine),
    )


def decode_machine(entry: Any) -> machines.Machine | None:
    """Decode one entry of the list of machines.

    Args:
        entry: The entry, as plain values.

    Returns:
        The machine, or None if the entry cannot be decoded.
    """
    try:
        document = msgspec.convert(entry, _Machine)
        state = machines.MachineState(document.state)
    except (msgspec.ValidationError, ValueError):
        return None
    return machines.Machine(
        machine=ids.MachineId(document.machine),
        pool=ids.PoolId(document.pool),
        state=state,
        data_centre=ids.DataCentreId(document.zone),
        labels=tuple(document.labels),
        capacity=_to_resources(document.capacity),
        vm=ids.VmId(document.id or ""),
    )


def decode_config(value: bytes) -> catalogue.Catalogue | None:
    """Decode the operators' configuration.

    Args:
        value: The configuration, as JSON.

    Returns:
        The catalogue, or None if the configuration cannot be decoded.
    """
    document = _decode(value, _Config)
    if document is None:
        return None
    return catalogue.Catalogue(
        version=document.version,
        queues=tuple(_to_queue(route) for route in document.routes),
        pools=tuple(
            catalogue.Pool(
                ids.PoolId(service.name),
                service.admission_check,
                service.standby,
            )
            for service in document.services
        ),
        limits=_to_request_limits(document.limits),
        organisations=_to_organisations(document.tenants),
        organisations_by_key={
            catalogue.digest(key): ids.OrganisationId(tenant.name)
            for tenant in document.tenants or ()
            for key in tenant.api_keys
        },
    )


def decode_wave(value: bytes) -> machines.Wave | None:
    """Decode a request to maintain machines.

    Args:
        value: The request, as JSON.

    Returns:
        The wave, or None if the request cannot be decoded.
    """
    document = _decode(value, _Wave)
    if document is None or document.duration_s > _MAX_WAVE_S:
        return None
    return machines.Wave(
        wave=ids.WaveId(str(document.wave)),
        machines=tuple(ids.MachineId(name) for name in document.machines),
        duration_ms=int(document.duration_s * 1_000),
        max_out=document.max_count,
    )


def encode_wave_status(wave_id: ids.WaveId, completed: bool) -> bytes:
    """Encode the status of a wave for the operators.

    Args:
        wave_id: The wave, whose id must be a number.
        completed: Whether the wave is completed.

    Returns:
        The status, as JSON.
    """
    state = "completed" if completed else "running"
    return msgspec.json.encode({"wave": int(wave_id), "state": state})


def decode_job(body: bytes | bytearray) -> model.JobSpec | str:
    """Decode a caller's job.

    Args:
        body: The body of the request, as JSON.

    Returns:
        The specification of the job, or an error message.
    """
    decoded = decoding.decode(body, _Job)
    if decoded.is_error():
        return decoded.error
    document = decoded.ok
    if len(document.spec.encode(errors="replace")) > _MAX_SPEC_BYTES:
        return f"spec: must have at most {_MAX_SPEC_BYTES} bytes"
    spec = model.JobSpec(
        payload=document.spec,
        steps=tuple(_to_step(step) for step in document.steps),
        repeat_count=document.repeats,
        first_due_ms=document.start_at_ms,
        interval_ms=document.interval_ms,
    )
    return spec.validation_error() or spec


def _to_request_limits(limits: dict[str, Any]) -> catalogue.RequestLimits:
    known = {
        name: limits[name]
        for name in catalogue.RequestLimits.__struct_fields__
        if _is_limit(limits.get(name))
    }
    return catalogue.RequestLimits(**known)


def _is_limit(value: Any) -> bool:
    return isinstance(value, int) and value > 0


def _to_policy(advice: Any) -> catalogue.PlacementPolicy | None:
    if not isinstance(advice, dict):
        return None
    try:
        document = msgspec.convert(advice, _Advice, strict=False)
    except msgspec.ValidationError:
        # The policy applies even if its times cannot be read.
        document = _Advice()
    return catalogue.PlacementPolicy(
        document.decide_ms, document.each_ms, document.valid_ms
    )


def _to_queue(route: _Route) -> catalogue.Queue:
    return catalogue.Queue(
        queue=ids.QueueId(route.name),
        host=route.host.lower(),
        prefix=route.prefix,
        pool=ids.PoolId(route.service),
        priority=route.priority,
        max_attempts=route.max_attempts,
        stretch=route.stretch_factor,
        # Added to the stretched duration of the critical path.
        slack_ms=route.target_latency_ms,
        policy=_to_policy(route.advice),
        public=route.public,
    )


def _to_organisations(
    tenants: list[_Tenant] | None,
) -> dict[ids.OrganisationId, catalogue.Organisation] | None:
    if tenants is None:
        return None
    organisations = [
        catalogue.Organisation(
            organisation=ids.OrganisationId(tenant.name),
            weight=tenant.weight,
            limit=_to_resources(tenant.max_count),
        )
        for tenant in tenants
    ]
    return {
        organisation.organisation: organisation
        for organisation in organisations
    }


def _to_step(step: _Step) -> model.Step:
    return model.Step(
        task_count=step.count,
        cpu_millicores=step.cpu,
        memory_mb=step.mem_mb,
        gpu_count=step.gpu,
        estimate_ms=step.estimate_ms,
        after=step.after,
        checkpointing=step.checkpointing,
        gang=step.gang,
        same_rack=step.same_rack,
        required_label=step.requires,
        near_rack=step.affinity,
        max_per_vm=step.anti_affinity,
        speculative=step.speculative,
        long_running=step.long_running,
        image=step.image,
        tail_target_ms=step.target_ms,
        filler=step.fills,
        max_unavailable=step.may_miss,
    )


def _to_resources(capacity: _Capacity) -> vms.Resources:
    return vms.Resources(capacity.cpu, capacity.mem_mb, capacity.gpu)


def _decode(value: bytes, document_type: type[_T]) -> _T | None:
    return decoding.decode(value, document_type).default_value(None)
