"""Picks loopback ports below the ephemeral range of client sockets."""

import itertools
import os
import socket

_FIRST_PORT = 12_000
_PORT_COUNT = 18_000
_counter = itertools.count(os.getpid() * 97 % _PORT_COUNT)


def free_port() -> int:
    """Return a port on which no process is listening."""
    while True:
        port = _FIRST_PORT + next(_counter) % _PORT_COUNT
        with socket.socket() as probe:
            if probe.connect_ex(("127.0.0.1", port)) != 0:
                return port
