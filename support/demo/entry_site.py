"""Starts entry processes with the stand-ins around them, on loopback."""

import base64
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

_ROOT = pathlib.Path(__file__).parents[2]
_READY_S = 20.0
_STOP_S = 15.0
_POLL_S = 0.05
_HOST = "press.example"
_POOLS = ("renders", "plates")
_STANDBY = "spare"


class EntrySite:
    """A site of entry processes; each writes its output to a file.

    Args:
        folder: Where settings and outputs are written.
        entries: How many entry processes to run.
        machines: How many machines each pool has.
    """

    def __init__(
        self, folder: pathlib.Path, entries: int = 3, machines: int = 2
    ) -> None:
        self._folder = folder
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._store_port = ports.free_port()
        self.service_port = ports.free_port()
        self._machines = [
            (f"m-{pool}-{n}", pool, ports.free_port())
            for pool in (*_POOLS, _STANDBY)
            for n in range(machines)
        ]
        # An address of its own for each, as on separate VMs.
        # Two sites at once must not share one, since some ports are fixed.
        net = f"127.{1 + os.getpid() // 250 % 250}.{os.getpid() % 250}"
        self.addresses = {f"e-{n}": f"{net}.{n + 2}" for n in range(entries)}
        self._caller_port = ports.free_port()
        self._ready_port = ports.free_port()
        self._peer_port = ports.free_port()

    def start(self) -> None:
        """Start everything and wait until the entries take requests."""
        store = f"127.0.0.1:{self._store_port}"
        self._spawn("store", ["support.standins.store"], self._store_port)
        self._wait(f"http://{store}/calls")
        machines = ",".join(f"{n}:{pool}:{p}" for n, pool, p in self._machines)
        self._spawn(
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
        self._wait(f"http://127.0.0.1:{self.service_port}/v1/machines")
        self.put("op/config", self._config())
        for name in self.addresses:
            self.start_entry(name)
        for name in self.addresses:
            self._wait(self.ready_url(name))

    def start_entry(self, name: str) -> None:
        """Start one entry process."""
        path = self._folder / f"{name}.yaml"
        path.write_text(json.dumps(self._settings(name)), encoding="utf-8")
        environment = {**os.environ, "WAGTAILTILLER_BOOT": str(path)}
        self._run(name, [sys.executable, "wagtail_entry.py"], environment)

    def stop(self) -> dict[str, int]:
        """Stop everything; return the entries' exit codes."""
        codes = {}
        for name in sorted(self.processes, key=_last_of_all):
            process = self.processes[name]
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        for name, process in self.processes.items():
            codes[name] = process.wait(_STOP_S)
        return codes

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process."""
        self.processes[name].send_signal(number)

    def call(
        self, name: str, method: str, path: str, body: Any = None
    ) -> tuple[int, Any]:
        """Call one entry process as a client; status 0: no answer."""
        address = f"{self.addresses[name]}:{self._caller_port}"
        data = json.dumps(body).encode() if body is not None else None
        request = urllib.request.Request(
            f"http://{address}{path}", data, method=method
        )
        request.add_header("Host", _HOST)
        request.add_header("Timeout-Ms", "3000")
        try:
            with urllib.request.urlopen(request, timeout=4) as answer:
                return answer.status, json.loads(answer.read() or b"null")
        except urllib.error.HTTPError as error:
            return error.code, json.loads(error.read() or b"null")
        except (urllib.error.URLError, OSError):
            return 0, None

    def service(self, method: str, path: str) -> Any:
        """Call the stand-in of workers and machines."""
        url = f"http://127.0.0.1:{self.service_port}{path}"
        request = urllib.request.Request(url, method=method)
        with urllib.request.urlopen(request, timeout=4) as answer:
            return json.loads(answer.read())

    def put(self, key: str, value: Any) -> None:
        """Write a key as the operator does."""
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        body = {
            "precondition": [],
            "writes": [{"key": key, "value": encoded}],
            "remove": [],
        }
        self._store_call("POST", "/v1/kv-txn", body)

    def item(self, key: str) -> Any:
        """Read a key's value; None if it does not exist."""
        try:
            found = self._store_call("GET", f"/v1/kv-key?key={key}")
        except urllib.error.HTTPError:
            return None
        return base64.b64decode(found["value"])

    def fault_store(self, mode: str) -> None:
        """Switch a fault of the store."""
        self._store_call("POST", f"/fault?mode={mode}")

    def owner(self, pool: str) -> str | None:
        """Return which entry process owns a pool."""
        value = self.item(f"wagtail/live/owners/{pool}")
        return json.loads(value)["node"] if value else None

    def ready_url(self, name: str) -> str:
        """Return where the balancer asks one entry process."""
        address = f"{self.addresses[name]}:{self._ready_port}"
        return f"http://{address}/v1/ready"

    def _store_call(self, method: str, path: str, body: Any = None) -> Any:
        url = f"http://127.0.0.1:{self._store_port}{path}"
        data = json.dumps(body).encode() if body is not None else None
        request = urllib.request.Request(url, data, method=method)
        with urllib.request.urlopen(request, timeout=4) as answer:
            return json.loads(answer.read())

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
            "limits": {"max_body_bytes": 262_144},
        }

    def _settings(self, name: str) -> dict[str, Any]:
        ip = self.addresses[name]
        return {
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
            "platform": {"address": f"127.0.0.1:{self._store_port}"},
            "cloud": {"address": f"127.0.0.1:{self.service_port}"},
        }

    def _spawn(self, name: str, module: list[str], port: int) -> None:
        arguments = [sys.executable, "-m", *module, "--port", str(port)]
        self._run(name, arguments, dict(os.environ))

    def _run(
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

    def _wait(self, url: str) -> None:
        end_s = time.monotonic() + _READY_S
        while time.monotonic() < end_s:
            try:
                with urllib.request.urlopen(url, timeout=1) as answer:
                    if answer.status == 200:
                        return
            except (urllib.error.URLError, OSError):
                pass
            time.sleep(_POLL_S)
        raise TimeoutError(f"{url} is not ready")


def _last_of_all(name: str) -> bool:
    return name in ("store", "workers")
