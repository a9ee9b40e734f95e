"""A small deployment on loopback: entry processes and stand-ins.

The entry processes are started with the command of the deploy file. The store,
the workers and the machine service are the project's own stand-ins.
"""

import base64
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import threading
import time
import tomllib
from typing import Any
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).parents[2]
HOST = "press.example"
_READY_S = 25.0
_STORE_DELAY_MS = 4


def free_port() -> int:
    """Return a port that is free on loopback."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Record:
    """Writes what was sent, answered and run, with the time since the start.

    Args:
        path: File to write.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_s = time.monotonic()
        self._lock = threading.Lock()

    def now_s(self) -> float:
        """Return the time since the start."""
        return time.monotonic() - self._started_s

    def write(self, text: str) -> None:
        """Write one line."""
        with self._lock:
            self._file.write(f"{self.now_s():8.3f} {text}\n")
            self._file.flush()


class Site:
    """Entry processes with a store, workers and a machine service.

    Args:
        folder: Folder for settings and logs.
        pools: Names of the pools that have queues; ``spare`` is added.
        entries: Number of entry processes.
        machines: Number of machines in each pool.
        spare: Number of machines in the pool ``spare``; None for as many.
        route: Further fields of each route.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        pools: tuple[str, ...] = ("renders", "plates"),
        entries: int = 3,
        machines: int = 3,
        spare: int | None = None,
        route: dict[str, Any] | None = None,
    ) -> None:
        self.folder = folder
        self.pools = pools
        self.route = route or {}
        self.workers_module = "support.standins.workers"
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.store_port = free_port()
        self.service_port = free_port()
        self.tunnel_port = free_port()
        counts = dict.fromkeys(pools, machines)
        counts["spare"] = machines if spare is None else spare
        self.machines = [
            (f"m-{pool}-{n}", pool, free_port())
            for pool, count in counts.items()
            for n in range(count)
        ]
        network = f"127.{1 + os.getpid() // 250 % 250}.{os.getpid() % 250}"
        self.addresses = {f"e-{n}": f"{network}.{n + 2}" for n in range(entries)}
        self.front_port = free_port()
        self.ready_port = free_port()
        self.peer_port = free_port()
        self.store_links = {name: free_port() for name in self.addresses}
        self.version = 1
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._command = deploy["roles"]["entry"]["run"].split()

    def start(self) -> None:
        """Start everything and wait until the entry processes are ready."""
        self._module(
            "store", "support.standins.store", "--port", str(self.store_port)
        )
        _wait(f"http://127.0.0.1:{self.store_port}/calls")
        self.call_store("POST", f"/fault?mode=slow&delay_ms={_STORE_DELAY_MS}")
        links = self.folder / "links.txt"
        links.write_text(
            "".join(
                f"{port} 127.0.0.1 {self.store_port}\n"
                for port in self.store_links.values()
            )
        )
        self._process(
            "tunnel",
            [
                sys.executable,
                str(ROOT / "review/kit3/tunnel.py"),
                "--port",
                str(self.tunnel_port),
                "--links",
                str(links),
            ],
        )
        _wait(f"http://127.0.0.1:{self.tunnel_port}/open")
        listed = ",".join(f"{n}:{pool}:{p}" for n, pool, p in self.machines)
        self._module(
            "workers",
            self.workers_module,
            "--store",
            f"127.0.0.1:{self.store_port}",
            "--machines",
            listed,
            "--port",
            str(self.service_port),
        )
        _wait(f"http://127.0.0.1:{self.service_port}/v1/machines")
        self.write_key("op/config", self.config())
        for name in self.addresses:
            self.start_entry(name)
        for name in self.addresses:
            _wait(f"http://{self.addresses[name]}:{self.ready_port}/v1/ready")

    def start_entry(self, name: str) -> None:
        """Start one entry process with the command of the deploy file."""
        path = self.folder / f"{name}.yaml"
        path.write_text(json.dumps(self.settings(name)), encoding="utf-8")
        self._process(name, self._command, {"WAGTAILTILLER_BOOT": str(path)})

    def stop(self) -> None:
        """End all processes that were started."""
        for name, process in self.processes.items():
            if name.startswith("e-") and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            if process.poll() is None:
                process.terminate()
        for process in self.processes.values():
            try:
                process.wait(5)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def config(self, extra: tuple[str, ...] = ()) -> dict[str, Any]:
        """Return the configuration, with further queues of the first pool."""
        routes = [
            self._route(f"q-{pool}", f"/{pool}/", pool) for pool in self.pools
        ]
        routes += [
            self._route(f"q-{name}", f"/{name}/", self.pools[0])
            for name in extra
        ]
        return {
            "version": self.version,
            "routes": routes,
            "services": [
                {
                    "name": name,
                    "admission_check": True,
                    "standby": name == "spare",
                }
                for name in (*self.pools, "spare")
            ],
            "limits": {"max_body_bytes": 262_144},
        }

    def _route(self, name: str, prefix: str, pool: str) -> dict[str, Any]:
        return {
            "name": name,
            "host": HOST,
            "prefix": prefix,
            "service": pool,
            "kind": "unsafe",
            "priority": 0,
            "max_attempts": 2,
            "stretch_factor": 2.0,
            "target_latency_ms": 1_000,
            "timeout_ms": 3_000,
            **self.route,
        }

    def settings(self, name: str) -> dict[str, Any]:
        """Return the settings of an entry process."""
        ip = self.addresses[name]
        return {
            "node_name": name,
            "role": "entry",
            "ip": ip,
            "zone": "dc-1",
            "region": "dc",
            "listen": {
                "front": f"{ip}:{self.front_port}",
                "ready": f"{ip}:{self.ready_port}",
            },
            "port_range": [self.peer_port, self.peer_port],
            "limits": {
                "cpu_share": 0.537,
                "cores": 2,
                "memory_mb": 300,
                "max_fds": 4_100,
                "link_mbps": 1_000.0,
            },
            "heartbeat_ms": 1_500,
            "bounds": {
                "contact_ms": 3_000,
                "grace_s": 6,
                "hold_max_ms": 6_000,
                "lease_ms": 3_000,
                "move_s": 1.5,
                "upkeep_s": 2,
                "status_s": 120,
                "fencing": False,
            },
            "control_mode": "call",
            "platform": {
                "address": f"127.0.0.1:{self.store_links[name]}",
                "form": "kv",
            },
            "cloud": {"address": f"127.0.0.1:{self.service_port}"},
        }

    # Callers.

    def call(
        self,
        name: str,
        method: str,
        path: str,
        body: Any = None,
        timeout_ms: int = 3_000,
    ) -> tuple[int, Any]:
        """Send a caller's request to one entry process; status 0: no answer."""
        data = json.dumps(body).encode() if body is not None else None
        url = f"http://{self.addresses[name]}:{self.front_port}{path}"
        request = urllib.request.Request(url, data, method=method)
        request.add_header("Host", HOST)
        request.add_header("Content-Type", "application/json")
        request.add_header("Timeout-Ms", str(timeout_ms))
        try:
            with urllib.request.urlopen(
                request, timeout=timeout_ms / 1_000
            ) as response:
                return response.status, json.loads(response.read() or b"null")
        except urllib.error.HTTPError as error:
            return error.code, json.loads(error.read() or b"null")
        except (urllib.error.URLError, OSError):
            return 0, None

    def ready(self, name: str) -> bool:
        """Return whether an entry process says that it is ready."""
        url = f"http://{self.addresses[name]}:{self.ready_port}/v1/ready"
        try:
            with urllib.request.urlopen(url, timeout=1) as response:
                return response.status == 200
        except (urllib.error.URLError, OSError):
            return False

    # The platform.

    def call_store(self, method: str, path: str, body: Any = None) -> Any:
        """Call the store as the operator does."""
        url = f"http://127.0.0.1:{self.store_port}{path}"
        data = json.dumps(body).encode() if body is not None else None
        request = urllib.request.Request(url, data, method=method)
        with urllib.request.urlopen(request, timeout=4) as response:
            return json.loads(response.read() or b"null")

    def call_workers(self, method: str, path: str) -> Any:
        """Call the stand-in for workers and machines."""
        url = f"http://127.0.0.1:{self.service_port}{path}"
        request = urllib.request.Request(url, method=method)
        with urllib.request.urlopen(request, timeout=4) as response:
            return json.loads(response.read() or b"null")

    def call_tunnel(self, method: str, path: str) -> Any:
        """Call the control port of the relay."""
        url = f"http://127.0.0.1:{self.tunnel_port}{path}"
        request = urllib.request.Request(url, method=method)
        with urllib.request.urlopen(request, timeout=4) as response:
            return json.loads(response.read())

    def write_key(self, key: str, value: Any) -> None:
        """Write a key without a condition, as the operator does."""
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        self.call_store(
            "POST",
            "/v1/kv-txn",
            {
                "precondition": [],
                "writes": [{"key": key, "value": encoded}],
                "remove": [],
            },
        )

    def read_key(self, key: str) -> Any:
        """Return the value of a key; None if it does not exist."""
        try:
            item = self.call_store("GET", f"/v1/kv-key?key={key}")
        except urllib.error.HTTPError:
            return None
        return json.loads(base64.b64decode(item["value"]))

    def owner(self, pool: str) -> str | None:
        """Return the entry process that owns a pool."""
        record = self.read_key(f"wagtail/live/owners/{pool}")
        return record["node"] if record else None

    def runs(self) -> list[dict[str, Any]]:
        """Return every run of every task, as the workers recorded it."""
        return list(self.call_workers("GET", "/records"))

    def _module(self, name: str, module: str, *arguments: str) -> None:
        self._process(name, [sys.executable, "-m", module, *arguments])

    def _process(
        self,
        name: str,
        command: list[str],
        environment: dict[str, str] | None = None,
    ) -> None:
        paths = [str(ROOT / "target/deps"), str(ROOT / "src"), str(ROOT)]
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                command,
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/tmp"),
                    "LANG": "C.UTF-8",
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "PYTHONPATH": os.pathsep.join(paths),
                    **(environment or {}),
                },
                stdout=log,
                stderr=subprocess.STDOUT,
            )


def _wait(url: str) -> None:
    deadline_s = time.monotonic() + _READY_S
    while time.monotonic() < deadline_s:
        try:
            with urllib.request.urlopen(url, timeout=1) as response:
                if response.status == 200:
                    return
        except (urllib.error.URLError, OSError):
            pass
        time.sleep(0.05)
    raise TimeoutError(f"{url} is not ready")
