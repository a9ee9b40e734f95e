"""Starts and stops the processes of a site on loopback."""

from collections.abc import Mapping
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
from support.demo import site

_ROOT = pathlib.Path(__file__).parents[2]
_START_TIMEOUT_S = 20.0
_STOP_TIMEOUT_S = 40.0
_POLL_INTERVAL_S = 0.05


class Cluster:
    """Processes of one site, each of which writes its output to a log file.

    Args:
        plan: Site to run.
        folder: Folder for settings files and logs.
        gateways: Number of gateways.
        controllers: Number of controllers.
        reboot_ms: Duration of a VM's reboot in milliseconds.
        statsd_port: Port to which gateways send statsd metrics; 0 for none.
        gateway_limits: Settings of each gateway in addition, such as
            ``memory_mb``.

    Attributes:
        plan: Site that is running.
        processes: Processes by name.
        last_status: Last status that ``wait_ready`` read.
        store_url: URL of the store.
        platform_url: URL of the platform.
        gateway_urls: URLs for callers, by gateway.
    """

    def __init__(
        self,
        plan: site.Site,
        folder: pathlib.Path,
        gateways: int,
        controllers: int,
        reboot_ms: int = 1_500,
        statsd_port: int = 0,
        gateway_limits: Mapping[str, int] | None = None,
    ) -> None:
        self.plan = plan
        self._folder = folder
        self._reboot_ms = reboot_ms
        self._gateway_limits = gateway_limits or {}
        self._statsd_address = f"127.0.0.1:{statsd_port}" if statsd_port else ""
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.last_status: dict[str, Any] = {}
        self.store_url = _url(ports.free_port())
        self.platform_url = _url(ports.free_port())
        self.gateway_urls = {
            f"gw-{n + 1}": _url(ports.free_port()) for n in range(gateways)
        }
        self._peer_ports = {
            name: ports.free_port() for name in self.gateway_urls
        }
        self._controllers = [f"ctl-{n + 1}" for n in range(controllers)]

    def start(self) -> None:
        """Start all processes, apply the settings and wait until ready."""
        self.start_standins()
        settings_file = site.write_json(
            self._folder / "settings.json", self.plan.settings
        )
        self.ctl("apply", settings_file, "--why", "initial settings")
        for name in self._controllers:
            self.start_controller(name)
        for name in self.gateway_urls:
            self.start_gateway(name)
        self.wait_ready()

    def start_standins(self) -> None:
        """Start the stand-ins of the store, the platform and the endpoints."""
        store_port = self.store_url.rsplit(":", 1)[1]
        self._spawn("store", "support.standins.store", "--port", store_port)
        vms = ",".join(f"{v}={p}" for v, p in self.plan.vm_ports.items())
        platform_port = self.platform_url.rsplit(":", 1)[1]
        self._spawn(
            "fleet",
            "support.standins.fleet",
            "--port",
            platform_port,
            "--vms",
            vms,
            "--reboot-ms",
            str(self._reboot_ms),
        )
        _wait_for(lambda: get_json(f"{self.store_url}/calls") is not None)
        _wait_for(lambda: bool(get_json(f"{self.platform_url}/v1/vms")))

    def start_gateway(self, name: str) -> None:
        """Start the gateway of the given name."""
        gateway_settings = {
            **self._gateway_limits,
            "gateway": name,
            "region": self.plan.region,
            "data_centre": "demo",
            "caller_address": self.gateway_urls[name].removeprefix("http://"),
            "peer_address": f"127.0.0.1:{self._peer_ports[name]}",
            "store_url": self.store_url,
            "statsd_address": self._statsd_address,
        }
        path = site.write_json(self._folder / f"{name}.json", gateway_settings)
        self._spawn(name, "wagtailtiller.gateway.main", "--settings", path)

    def start_controller(self, name: str) -> None:
        """Start the controller of the given name."""
        controller_settings = {
            "controller": name,
            "region": self.plan.region,
            "data_centre": "demo",
            "store_url": self.store_url,
            "platform_url": self.platform_url,
        }
        path = site.write_json(
            self._folder / f"{name}.json", controller_settings
        )
        self._spawn(name, "wagtailtiller.controller.main", "--settings", path)

    def wait_ready(self, timeout_s: float = _START_TIMEOUT_S) -> None:
        """Wait until every gateway is healthy and every VM is serving.

        Args:
            timeout_s: Longest time to wait, in seconds.

        Raises:
            TimeoutError: If the site is not ready in time.
        """
        for url in self.gateway_urls.values():
            _wait_for(lambda url=url: get(f"{url}/health") == 200)
        expected_vms = len(self.plan.vm_ports)
        expected_gateways = len(self.gateway_urls)

        def is_ready() -> bool:
            status = json.loads(self.ctl("status", "--json").stdout)
            self.last_status = status
            serving = status["vms"].get("serving", 0)
            return (
                serving == expected_vms
                and len(status["gateways"]) == expected_gateways
            )

        try:
            _wait_for(is_ready, timeout_s)
        except TimeoutError:
            print(f"not ready: {self.last_status}", file=sys.stderr)
            raise

    def ctl(
        self, *arguments: str, check: bool = True
    ) -> "subprocess.CompletedProcess[str]":
        """Run ``wagtailctl`` and return its exit code and output.

        Args:
            *arguments: Command-line arguments.
            check: Whether to raise an error unless the exit code is 0.

        Raises:
            subprocess.CalledProcessError: If ``check`` is set and the exit
                code is not 0.
        """
        command = [sys.executable, "-m", "wagtailtiller.ctl.main", *arguments]
        if arguments[0] != "validate":
            command += ["--store", self.store_url]
            command += ["--region", self.plan.region, "--who", "demo"]
        return subprocess.run(
            command,
            check=check,
            capture_output=True,
            text=True,
            env=_environment(),
        )

    def signal(self, name: str, number: int) -> None:
        """Send the signal ``number`` to the process ``name``."""
        self.processes[name].send_signal(number)

    def stop(self) -> dict[str, int]:
        """Stop all processes, gateways first, and return their exit codes."""
        names = sorted(self.processes, key=_stop_order)
        exit_codes = {}
        for name in names:
            process = self.processes[name]
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for name in names:
            process = self.processes[name]
            try:
                exit_codes[name] = process.wait(_STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                exit_codes[name] = process.wait()
        return exit_codes

    def _spawn(self, name: str, module: str, *arguments: str) -> None:
        output = (self._folder / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdout=output,
            stderr=subprocess.STDOUT,
            env=_environment(),
        )
        output.close()


def get(url: str) -> int:
    """Return the status of a GET request; 0 if there is no response."""
    try:
        with urllib.request.urlopen(url, timeout=2) as response:
            return response.status
    except urllib.error.HTTPError as error:
        return error.code
    except OSError:
        return 0


def get_json(url: str) -> Any:
    """Return the JSON document at a URL; None if there is none."""
    try:
        with urllib.request.urlopen(url, timeout=5) as response:
            return json.loads(response.read())
    except (OSError, ValueError):
        return None


def post(url: str) -> None:
    """Send a POST request with an empty body."""
    request = urllib.request.Request(url, method="POST")
    urllib.request.urlopen(request, timeout=5).close()


def _url(port: int) -> str:
    return f"http://127.0.0.1:{port}"


def _environment() -> dict[str, str]:
    paths = (str(_ROOT / "src"), str(_ROOT))
    return os.environ | {"PYTHONPATH": os.pathsep.join(paths)}


def _stop_order(name: str) -> int:
    return ("gw", "ct", "fl", "st").index(name[:2])


def _wait_for(condition: Any, timeout_s: float = _START_TIMEOUT_S) -> None:
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline_s:
            raise TimeoutError("the processes did not become ready")
        time.sleep(_POLL_INTERVAL_S)
