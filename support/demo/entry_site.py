"""Starts entry processes and the stand-ins that they need on loopback."""

import base64
from collections.abc import Mapping
from collections.abc import Sequence
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
from typing import Any
import urllib.error
import urllib.request

from support.demo import ports
from support.demo import site_links
from support.standins import workers

_ROOT = pathlib.Path(__file__).parents[2]
_READY_TIMEOUT_S = 20.0
_OWNER_TIMEOUT_S = 20.0
_STOP_TIMEOUT_S = 15.0
_POLL_INTERVAL_S = 0.05
_HOST = "press.example"
_POOLS = ("renders", "plates")
_STANDBY = "spare"
_REQUEST_LIMITS = {"max_body_bytes": 262_144}


class EntrySite:
    """Site of entry processes, each of which writes its output to a log file.

    Args:
        folder: Folder for settings files and logs.
        entries: Number of entry processes.
        machines: Number of machines in each pool.
        process_limits: Limits of an entry process in its settings file, such
            as ``memory_mb``; None for the defaults.
        request_limits: Limits of requests in the configuration.

    Attributes:
        processes: Processes by name.
        service_port: Port of the stand-in for workers and machines.
        addresses: IP address of each entry process.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        entries: int = 3,
        machines: int = 2,
        process_limits: Mapping[str, float] | None = None,
        request_limits: Mapping[str, int] = _REQUEST_LIMITS,
    ) -> None:
        self._folder = folder
        self._process_limits = process_limits
        self._request_limits = request_limits
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._store_port = ports.free_port()
        self.service_port = ports.free_port()
        self._machines = [
            (f"m-{pool}-{n}", pool, ports.free_port())
            for pool in (*_POOLS, _STANDBY)
            for n in range(machines)
        ]
        # Entry processes have separate addresses, as on separate VMs. The
        # network depends on the process id because all entry processes use
        # the same ports and two sites may run at the same time.
        network = f"127.{1 + os.getpid() // 250 % 250}.{os.getpid() % 250}"
        self.addresses = {
            f"e-{n}": f"{network}.{n + 2}" for n in range(entries)
        }
        self._caller_port = ports.free_port()
        self._ready_port = ports.free_port()
        self._peer_port = ports.free_port()
        self._links = site_links.SiteLinks(
            {n: f"{ip}:{self._peer_port}" for n, ip in self.addresses.items()},
            {name: port for name, _, port in self._machines},
            self.service_port,
        )

    def start(self) -> None:
        """Start all processes and wait until the entry processes are ready."""
        store = f"127.0.0.1:{self._store_port}"
        views = self._folder / "views.json"
        self._links.write_views(views)
        self._start_module(
            "store",
            ["support.standins.store", "--views", str(views)],
            self._store_port,
        )
        self._wait_until_ready(f"http://{store}/calls")
        links = self._folder / "links.json"
        self._links.write_links(links)
        self._start_module(
            "links",
            ["support.standins.links", "--links", str(links)],
            self._links.port,
        )
        self._wait_until_ready(f"http://127.0.0.1:{self._links.port}/links")
        machines = ",".join(f"{n}:{pool}:{p}" for n, pool, p in self._machines)
        self._start_module(
            "workers",
            [
                "support.standins.workers",
                "--store",
                store,
                "--machines",
                machines,
            ],
            self.service_port,
        )
        self._wait_until_ready(
            f"http://127.0.0.1:{self.service_port}/v1/machines"
        )
        self.write_key("op/config", self._config())
        for name in self.addresses:
            self.start_entry(name)
        for name in self.addresses:
            self.wait_until_ready(name)

    def start_entry(self, name: str) -> None:
        """Start the entry process of the given name."""
        path = self._folder / f"{name}.yaml"
        path.write_text(json.dumps(self._settings(name)), encoding="utf-8")
        environment = {**os.environ, "WAGTAILTILLER_BOOT": str(path)}
        self._start_process(
            name, [sys.executable, "wagtail_entry.py"], environment
        )

    def stop(self) -> dict[str, int]:
        """Stop all processes and return their exit codes by name."""
        exit_codes = {}
        for name in sorted(self.processes, key=_stops_last):
            process = self.processes[name]
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        for name, process in self.processes.items():
            exit_codes[name] = process.wait(_STOP_TIMEOUT_S)
        return exit_codes

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send the signal ``number`` to the process ``name``."""
        self.processes[name].send_signal(number)

    def call(
        self, name: str, method: str, path: str, body: Any = None
    ) -> tuple[int, Any]:
        """Send a caller's request to one entry process.

        Args:
            name: Name of the entry process.
            method: HTTP method.
            path: Path of the request.
            body: Value that is sent as JSON; None for no body.

        Returns:
            The status and the decoded JSON body; status 0 if there is no
            response.
        """
        data = json.dumps(body).encode() if body is not None else None
        request = urllib.request.Request(
            f"http://{self.caller_address(name)}{path}", data, method=method
        )
        request.add_header("Host", _HOST)
        request.add_header("Timeout-Ms", "3000")
        try:
            with urllib.request.urlopen(request, timeout=4) as response:
                return response.status, json.loads(response.read() or b"null")
        except urllib.error.HTTPError as error:
            return error.code, json.loads(error.read() or b"null")
        except (urllib.error.URLError, OSError):
            return 0, None

    def call_workers(self, method: str, path: str) -> Any:
        """Call the stand-in for workers and machines; returns its JSON."""
        url = f"http://127.0.0.1:{self.service_port}{path}"
        request = urllib.request.Request(url, method=method)
        with urllib.request.urlopen(request, timeout=4) as response:
            return json.loads(response.read())

    def write_key(self, key: str, value: Any) -> None:
        """Write a key of the store unconditionally, as an operator does."""
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        body = {
            "precondition": [],
            "writes": [{"key": key, "value": encoded}],
            "remove": [],
        }
        self._call_store("POST", "/v1/kv-txn", body)

    def read_key(self, key: str) -> Any:
        """Return the value of a key of the store; None if it does not exist."""
        try:
            item_body = self._call_store("GET", f"/v1/kv-key?key={key}")
        except urllib.error.HTTPError:
            return None
        return base64.b64decode(item_body["value"])

    def set_store_fault(self, mode: str) -> None:
        """Set the fault mode of the store, such as ``down`` or ``up``."""
        self._call_store("POST", f"/fault?mode={mode}")

    def cut_off(self, entries: Sequence[str], machines: Sequence[str]) -> None:
        """Cut entry processes and machines off from all others.

        Args:
            entries: Names of the entry processes.
            machines: Names of the machines; their VMs do not reach the store.
        """
        self._links.cut_off(entries, machines)
        self.call_workers("POST", f"/partition?machines={','.join(machines)}")

    def restore(self, destinations: Sequence[str] = ()) -> None:
        """Restore the links to some destinations; all if none is given."""
        self._links.restore(destinations)
        if not destinations:
            self.call_workers("POST", "/partition?machines=")

    def owner(self, pool: str) -> str | None:
        """Return the entry process that owns a pool; None for none."""
        value = self.read_key(f"wagtail/live/owners/{pool}")
        return json.loads(value)["node"] if value else None

    def wait_for_owner(self, pool: str) -> str:
        """Wait until a pool has an owner, and return the entry process."""
        deadline_s = time.monotonic() + _OWNER_TIMEOUT_S
        while time.monotonic() < deadline_s:
            owner = self.owner(pool)
            if owner is not None:
                return owner
            time.sleep(_POLL_INTERVAL_S)
        raise TimeoutError(f"no entry process owns {pool}")

    def records(self) -> list[workers.Record]:
        """Return every run of every task, as the VMs recorded it."""
        listed = self.call_workers("GET", "/records")
        return [workers.Record(**row) for row in listed]

    def machines(self, pool: str | None = None) -> list[str]:
        """Return the machines of a pool, or all machines."""
        listed = self.call_workers("GET", "/v1/machines")["machines"]
        return [row["machine"] for row in listed if pool in (None, row["pool"])]

    def idle_machines(self, pool: str) -> list[str]:
        """Return the machines of a pool whose VMs run nothing."""
        listed = self.call_workers("GET", "/v1/machines")["machines"]
        busy = {r.worker for r in self.records() if not r.how}
        return [
            row["machine"]
            for row in listed
            if row["pool"] == pool and row["id"] not in busy
        ]

    def caller_address(self, name: str) -> str:
        """Return the address, as ``ip:port``, for callers of a process."""
        return f"{self.addresses[name]}:{self._caller_port}"

    def ready_address(self, name: str) -> str:
        """Return the address of the readiness check of an entry process."""
        return f"{self.addresses[name]}:{self._ready_port}"

    def ready_url(self, name: str) -> str:
        """Return the URL at which a load balancer checks an entry process."""
        return f"http://{self.ready_address(name)}/v1/ready"

    def wait_until_ready(self, name: str) -> None:
        """Wait until an entry process has passed its readiness check."""
        self._wait_until_ready(self.ready_url(name))

    def _call_store(self, method: str, path: str, body: Any = None) -> Any:
        url = f"http://127.0.0.1:{self._store_port}{path}"
        data = json.dumps(body).encode() if body is not None else None
        request = urllib.request.Request(url, data, method=method)
        with urllib.request.urlopen(request, timeout=4) as response:
            return json.loads(response.read())

    def _config(self) -> dict[str, Any]:
        routes = [
            {
                "name": f"q-{pool}",
                "host": _HOST,
                "prefix": f"/{pool}/",
                "service": pool,
                "kind": "unsafe",
                "priority": 0,
                "max_attempts": 2,
                "stretch_factor": 2.0,
                "target_latency_ms": 1_000,
                "timeout_ms": 3_000,
            }
            for pool in _POOLS
        ]
        services = [
            {"name": name, "admission_check": True, "standby": name == _STANDBY}
            for name in (*_POOLS, _STANDBY)
        ]
        return {
            "version": 1,
            "routes": routes,
            "services": services,
            "limits": dict(self._request_limits),
        }

    def _settings(self, name: str) -> dict[str, Any]:
        ip = self.addresses[name]
        limits = (
            {"limits": self._process_limits} if self._process_limits else {}
        )
        return {
            **limits,
            "node_name": name,
            "ip": ip,
            "zone": "dc-1",
            "listen": {
                "front": f"{ip}:{self._caller_port}",
                "ready": f"{ip}:{self._ready_port}",
            },
            "port_range": [self._peer_port, self._peer_port],
            "bounds": {
                "hold_max_ms": 6_000,
                "grace_s": 6,
                "lease_ms": 1_000,
                "move_s": 0.5,
                "upkeep_s": 0.5,
            },
            "platform": {
                "address": self._links.address(name, site_links.STORE)
            },
            "cloud": {
                "address": self._links.address(name, site_links.MACHINE_SERVICE)
            },
        }

    def _start_module(self, name: str, module: list[str], port: int) -> None:
        arguments = [sys.executable, "-m", *module, "--port", str(port)]
        self._start_process(name, arguments, dict(os.environ))

    def _start_process(
        self, name: str, arguments: list[str], environment: dict[str, str]
    ) -> None:
        log = (self._folder / f"{name}.log").open("ab")
        with log:
            self.processes[name] = subprocess.Popen(
                arguments,
                cwd=_ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def _wait_until_ready(self, url: str) -> None:
        deadline_s = time.monotonic() + _READY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            try:
                with urllib.request.urlopen(url, timeout=1) as response:
                    if response.status == 200:
                        return
            except (urllib.error.URLError, OSError):
                pass
            time.sleep(_POLL_INTERVAL_S)
        raise TimeoutError(f"{url} is not ready")


def _stops_last(name: str) -> bool:
    return name in ("store", "workers", "links")
