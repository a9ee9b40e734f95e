"""Capacity: what idle processes cost, and their store calls, by gateways.

Real processes on loopback; processor time and memory are read from /proc,
control bytes from the metrics that the gateways send.
"""

import os
import pathlib
import socket
import tempfile
import threading
import time

from support.demo import cluster
from support.demo import ports
from support.demo import site
from support.measure import tables

_GATEWAYS = (2, 4, 6, 9)
_SETTLE_S = 6.0
_WATCH_S = 10.0
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class _Bytes:
    """Counts the control bytes that gateways report."""

    def __init__(self, port: int) -> None:
        self.total = 0
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(("127.0.0.1", port))
        threading.Thread(target=self._listen, daemon=True).start()

    def _listen(self) -> None:
        while True:
            text = self._socket.recv(4_096).decode()
            for line in text.splitlines():
                name, _, value = line.partition(":")
                if name.endswith("peers.bytes_sent"):
                    self.total += int(value.partition("|")[0])


def processor_s(pid: int) -> float:
    """Return the processor time that a process has used."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = stat.rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def _resident_mb(pid: int) -> float:
    statm = pathlib.Path(f"/proc/{pid}/statm").read_text(encoding="ascii")
    return int(statm.split()[1]) * _PAGE_BYTES / 1e6


def _calls(running: cluster.Cluster) -> dict[str, int]:
    return cluster.get_json(f"{running.store_url}/calls")


def _run(gateways: int) -> list[tuple[object, ...]]:
    statsd_port = ports.free_port()
    counted = _Bytes(statsd_port)
    with tempfile.TemporaryDirectory() as name:
        running = cluster.Cluster(
            plan=site.load("kadalpura"),
            folder=pathlib.Path(name),
            gateways=gateways,
            controllers=2,
            statsd_port=statsd_port,
        )
        try:
            running.start()
            time.sleep(_SETTLE_S)
            return _watch(running, counted)
        finally:
            running.stop()


def _watch(
    running: cluster.Cluster, counted: _Bytes
) -> list[tuple[object, ...]]:
    pids = {
        name: process.pid
        for name, process in running.processes.items()
        if name.startswith(("gw", "ctl"))
    }
    before_s = {name: processor_s(pid) for name, pid in pids.items()}
    calls_before = _calls(running)
    bytes_before = counted.total
    time.sleep(_WATCH_S)
    calls = _calls(running)
    sent = counted.total - bytes_before
    used = {
        name: (processor_s(pid) - before_s[name]) / _WATCH_S
        for name, pid in pids.items()
    }
    rows: list[tuple[object, ...]] = []
    for role, prefix in (("gateway", "gw"), ("controller", "ctl")):
        own = [name for name in pids if name.startswith(prefix)]
        made = _since(calls_before, calls, f"by {role}/")
        store_bytes = _since(calls_before, calls, f"bytes {role}/")
        rows.append(
            (
                len([name for name in pids if name.startswith("gw")]),
                role,
                f"{100 * sum(used[name] for name in own) / len(own):.2f}",
                f"{100 * max(used[name] for name in own):.2f}",
                f"{max(_resident_mb(pids[name]) for name in own):.0f}",
                f"{sent / _WATCH_S / len(own):.0f}" if prefix == "gw" else "",
                f"{store_bytes / _WATCH_S / len(own):.0f}",
                f"{made / _WATCH_S / len(own):.1f}",
            )
        )
    return rows


def _since(before: dict[str, int], after: dict[str, int], prefix: str) -> int:
    return sum(
        count - before.get(who, 0)
        for who, count in after.items()
        if who.startswith(prefix)
    )


def measure(seed: int) -> str:
    """Measure every number of gateways."""
    rows = [row for count in _GATEWAYS for row in _run(count)]
    headings = (
        "gateways",
        "role",
        "core % mean",
        "core % max",
        "memory MB",
        "peers B/s sent",
        "store B/s both ways",
        "store calls/s each",
    )
    return tables.table("Capacity: idle processes", headings, rows)
