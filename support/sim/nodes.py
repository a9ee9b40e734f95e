"""Names of nodes and of the processes that run on them."""

from collections.abc import Collection


def node_name(process: str) -> str:
    """Return the name of the node that an instance of a process runs on."""
    return process.partition("#")[0]


def is_partitioned(process: str, partitioned: Collection[str]) -> bool:
    """Return whether a process is cut off.

    Args:
        process: Instance of a process.
        partitioned: Instances of processes that are cut off, and names of nodes
            whose instances all are.
    """
    return process in partitioned or node_name(process) in partitioned
