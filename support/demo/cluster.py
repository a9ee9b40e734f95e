"""Starts and ends the processes of a site on loopback."""

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
_POLL_S = 0.05


class Cluster:
    """The processes of one site; each writes its output to a file.

    Args:
        plan: The site.
        folder: Where settings and outputs are written.
        gateways: How many gateways to run.
        controllers: How many controllers to run.
        reboot_ms: How long a VM takes to reboot.
        statsd_port: Where gateways send metrics; 0 for nowhere.
    """

    def __init__(
        self,
        plan: site.Site,
        folder: pathlib.Path,
        gateways: int,
        controllers: int,
        reboot_ms: int = 1_500,
        statsd_port: int = 0,
    ) -> None:
        self.plan = plan
        self._folder = folder
        self._reboot_ms = reboot_ms
        self._statsd = f"127.0.0.1:{statsd_port}" if statsd_port else ""
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
        """Start everything and put the settings in force."""
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
        """Start the store, the platform and the endpoints."""
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
        """Start one gateway."""
        own = {
            "gateway": name,
            "region": self.plan.region,
            "data_centre": "demo",
            "caller_address": self.gateway_urls[name].removeprefix("http://"),
            "peer_address": f"127.0.0.1:{self._peer_ports[name]}",
            "store_url": self.store_url,
            "statsd_address": self._statsd,
        }
        path = site.write_json(self._folder / f"{name}.json", own)
        self._spawn(name, "wagtailtiller.gateway.main", "--settings", path)

    def start_controller(self, name: str) -> None:
        """Start one controller."""
        own = {
            "controller": name,
            "region": self.plan.region,
            "data_centre": "demo",
            "store_url": self.store_url,
            "platform_url": self.platform_url,
        }
        path = site.write_json(self._folder / f"{name}.json", own)
        self._spawn(name, "wagtailtiller.controller.main", "--settings", path)

    def wait_ready(self, timeout_s: float = _START_TIMEOUT_S) -> None:
        """Wait until every gateway is healthy and every VM serves."""
        for url in self.gateway_urls.values():
            _wait_for(lambda url=url: get(f"{url}/health") == 200)
        wanted = len(self.plan.vm_ports)
        members = len(self.gateway_urls)

        def complete() -> bool:
            status = json.loads(self.ctl("status", "--json").stdout)
            self.last_status = status
            serving = status["vms"].get("serving", 0)
            return serving == wanted and len(status["gateways"]) == members

        try:
            _wait_for(complete, timeout_s)
        except TimeoutError:
            print(f"not ready: {self.last_status}", file=sys.stderr)
            raise

    def ctl(
        self, *arguments: str, check: bool = True
    ) -> "subprocess.CompletedProcess[str]":
        """Run ``wagtailctl`` and return what it printed."""
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
        """Send a signal to one process."""
        self.processes[name].send_signal(number)

    def stop(self) -> dict[str, int]:
        """End all, gateways first, and return their exit codes."""
        order = sorted(self.processes, key=_stop_order)
        codes = {}
        for name in order:
            process = self.processes[name]
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for name in order:
            process = self.processes[name]
            try:
                codes[name] = process.wait(_STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                codes[name] = process.wait()
        return codes

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
    """Return the status of a GET; 0 when there was no answer."""
    try:
        with urllib.request.urlopen(url, timeout=2) as response:
            return response.status
    except urllib.error.HTTPError as error:
        return error.code
    except OSError:
        return 0


def get_json(url: str) -> Any:
    """Return the JSON that a URL answers with; None when it does not."""
    try:
        with urllib.request.urlopen(url, timeout=5) as response:
            return json.loads(response.read())
    except (OSError, ValueError):
        return None


def post(url: str) -> None:
    """Send an empty POST."""
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
        time.sleep(_POLL_S)
