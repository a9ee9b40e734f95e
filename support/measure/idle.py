"""Capacity: cost and store calls of idle processes by number of gateways.

The processes are real and run on loopback. Processor time and memory are read
from /proc, and the bytes between gateways from the gateways' metrics.
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

_GATEWAY_COUNTS = (2, 4, 6, 9)
_SETTLE_S = 6.0
_MEASURE_S = 10.0
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class _ByteCounter:
    """Counts the bytes that gateways report to have sent to their peers."""

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
    """Return the processor time that a process has used, in seconds."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = stat.rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def _resident_mb(pid: int) -> float:
    statm = pathlib.Path(f"/proc/{pid}/statm").read_text(encoding="ascii")
    return int(statm.split()[1]) * _PAGE_BYTES / 1e6


def _get_calls(running: cluster.Cluster) -> dict[str, int]:
    return cluster.get_json(f"{running.store_url}/calls")


def _measure_site(gateways: int) -> list[tuple[object, ...]]:
    statsd_port = ports.free_port()
    byte_counter = _ByteCounter(statsd_port)
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
            return _measure_processes(running, byte_counter)
        finally:
            running.stop()


def _measure_processes(
    running: cluster.Cluster, byte_counter: _ByteCounter
) -> list[tuple[object, ...]]:
    pids = {
        name: process.pid
        for name, process in running.processes.items()
        if name.startswith(("gw", "ctl"))
    }
    cpu_before_s = {name: processor_s(pid) for name, pid in pids.items()}
    calls_before = _get_calls(running)
    bytes_before = byte_counter.total
    time.sleep(_MEASURE_S)
    calls_after = _get_calls(running)
    sent_bytes = byte_counter.total - bytes_before
    usage = {
        name: (processor_s(pid) - cpu_before_s[name]) / _MEASURE_S
        for name, pid in pids.items()
    }
    rows: list[tuple[object, ...]] = []
    for role, prefix in (("gateway", "gw"), ("controller", "ctl")):
        names = [name for name in pids if name.startswith(prefix)]
        call_count = _count_since(calls_before, calls_after, f"by {role}/")
        store_bytes = _count_since(calls_before, calls_after, f"bytes {role}/")
        rows.append(
            (
                len([name for name in pids if name.startswith("gw")]),
                role,
                f"{100 * sum(usage[name] for name in names) / len(names):.2f}",
                f"{100 * max(usage[name] for name in names):.2f}",
                f"{max(_resident_mb(pids[name]) for name in names):.0f}",
                f"{sent_bytes / _MEASURE_S / len(names):.0f}"
                if prefix == "gw"
                else "",
                f"{store_bytes / _MEASURE_S / len(names):.0f}",
                f"{call_count / _MEASURE_S / len(names):.1f}",
            )
        )
    return rows


def _count_since(
    before: dict[str, int], after: dict[str, int], prefix: str
) -> int:
    return sum(
        count - before.get(key, 0)
        for key, count in after.items()
        if key.startswith(prefix)
    )


def measure(seed: int) -> str:
    """Measure every number of gateways and return the table.

    Args:
        seed: Unused.
    """
    rows = [row for count in _GATEWAY_COUNTS for row in _measure_site(count)]
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
