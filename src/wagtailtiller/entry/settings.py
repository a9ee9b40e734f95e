"""What one entry process is told at its start."""

import msgspec

from wagtailtiller import ids


class EntrySettings(msgspec.Struct, frozen=True):
    """Settings of an entry process; addresses are ``ip:port``.

    Attributes:
        node: Its name.
        data_centre: Where it runs.
        caller_address: Where it listens for callers.
        ready_address: Where the balancer asks whether it takes requests.
        peer_address: Where it listens for the other processes.
        metrics_address: Where meters are served.
        store_address: The key-value store.
        machines_address: The machine service; empty for none.
        policy_address: The placement policy service; empty for none.
        vm_lease_ms: The longest lease that VMs grant.
        machine_lease_ms: Two processes must not order one machine within it.
        move_ms: How long a machine's move takes.
        upkeep_ms: How long a machine's upkeep takes.
        stop_run_ms: How long a run may take to stop.
        away_ms: A task that has been away so long counts as away.
        job_kept_ms: How long a job is known after its end.
        stop_within_ms: How long a stop may take before a kill.
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
    move_ms: int
    upkeep_ms: int
    stop_run_ms: int
    away_ms: int
    job_kept_ms: int
    stop_within_ms: int
