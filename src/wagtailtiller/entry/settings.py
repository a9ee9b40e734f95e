"""The settings of an entry process, fixed while it runs."""

import msgspec

from wagtailtiller import ids
from wagtailtiller.http_server import limits


class Capacity(msgspec.Struct, frozen=True):
    """What the entry VM of a process offers; the default is a small VM.

    Attributes:
        cpu_millicores: Processor capacity, in thousandths of a core.
        link_mbps: Bandwidth of the network link, in Mbit/s.
    """

    cpu_millicores: int = 500
    link_mbps: float = 10.0


class EntrySettings(msgspec.Struct, frozen=True):
    """Settings of an entry process; addresses are ``ip:port``.

    Attributes:
        node: The name of the process.
        data_centre: The data centre in which the process runs.
        caller_address: Address at which the process serves callers.
        ready_address: Address of the load balancer's readiness check.
        peer_address: Address at which the process serves its peers.
        metrics_address: Address at which the process serves metrics.
        store_address: Address of the key-value store.
        machines_address: Address of the machine service; empty for none.
        policy_address: Address of the placement policy service; empty for
            none.
        vm_lease_ms: The longest lease that VMs accept.
        machine_lease_ms: Time within which two processes must not order the
            same machine.
        job_kept_ms: How long a job remains known after its end.
        stop_within_ms: How long a graceful shutdown may take before the
            process is killed.
        capacity: What the entry VM offers to this process.
        client_limits: What all clients together may make the process hold.
        max_job_calls: Calls to the store that callers' requests may have open.
        max_job_bytes: Memory that accepted jobs may take in the owner of their
            pool.
        overload_control: Whether jobs are ordered and admitted by what a delay
            or a refusal costs their callers.
    """

    node: ids.NodeId
    data_centre: ids.DataCentreId
    caller_address: str
    ready_address: str
    peer_address: str
    metrics_address: str
    store_address: str
    machines_address: str
    policy_address: str
    vm_lease_ms: int
    machine_lease_ms: int
    job_kept_ms: int
    stop_within_ms: int
    capacity: Capacity = Capacity()
    client_limits: limits.ClientLimits = limits.of_process(200, 4_100)
    max_job_calls: int = 400
    max_job_bytes: int = 36_000_000
    overload_control: bool = False
