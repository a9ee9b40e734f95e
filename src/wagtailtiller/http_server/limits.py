"""What all clients together may make a process hold."""

import msgspec

# Descriptors that the platform reserves for files.
_FILE_DESCRIPTORS = 200
_BYTES_PER_MB = 1_000_000

# Memory that the process takes without clients and jobs, in MB. A process with
# little more still serves them.
_OWN_MEMORY_MB = 80
_MIN_AVAILABLE_SHARE = 0.25

DEFAULT_MEMORY_SHARE = 0.4
DEFAULT_DESCRIPTOR_SHARE = 0.75


class ClientLimits(msgspec.Struct, frozen=True):
    """Limits of the connections of one process.

    Attributes:
        max_held_bytes: Memory that connections and unanswered requests may
            take.
        max_connections: Number of connections that may be open.
    """

    max_held_bytes: int
    max_connections: int


def available_bytes(memory_mb: float) -> int:
    """Return the memory that clients and jobs may share.

    Args:
        memory_mb: Memory above which the process is killed, in MB.
    """
    available_mb = max(
        memory_mb - _OWN_MEMORY_MB, memory_mb * _MIN_AVAILABLE_SHARE
    )
    return int(available_mb * _BYTES_PER_MB)


def of_process(
    memory_mb: float,
    max_fds: int,
    memory_share: float = DEFAULT_MEMORY_SHARE,
    descriptor_share: float = DEFAULT_DESCRIPTOR_SHARE,
) -> ClientLimits:
    """Return the part of a process's limits that its clients may use.

    Args:
        memory_mb: Memory above which the process is killed, in MB.
        max_fds: Number of descriptors that it may have.
        memory_share: Part of the available memory that is for clients.
        descriptor_share: Part of the descriptors for connections that is for
            clients; the others are for the store, for VMs and for peers.
    """
    connection_fds = _connection_fds(max_fds)
    return ClientLimits(
        max_held_bytes=int(available_bytes(memory_mb) * memory_share),
        max_connections=max(int(connection_fds * descriptor_share), 1),
    )


def max_own_calls(max_fds: int, descriptor_share: float) -> int:
    """Return how many calls clients may cause the process to have open.

    They may take half of the connections that are not for clients.

    Args:
        max_fds: Number of descriptors that the process may have.
        descriptor_share: Part of the descriptors for connections that is for
            clients.
    """
    own_fds = _connection_fds(max_fds) * (1 - descriptor_share)
    return max(int(own_fds / 2), 1)


def _connection_fds(max_fds: int) -> int:
    return max(max_fds - _FILE_DESCRIPTORS, 1)
