"""Picks loopback ports below the range that clients are given."""

import itertools
import os
import socket

_FIRST = 12_000
_SPAN = 18_000
_counter = itertools.count(os.getpid() * 97 % _SPAN)


def free_port() -> int:
    """Return a port that nobody listens on now."""
    while True:
        port = _FIRST + next(_counter) % _SPAN
        with socket.socket() as probe:
            if probe.connect_ex(("127.0.0.1", port)) != 0:
                return port
