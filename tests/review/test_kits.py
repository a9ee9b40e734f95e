"""Tests that a service of ``review/`` does what its case asks of it."""

import json
import os
import subprocess
import sys
import threading
import time
import urllib.error
import urllib.request

import testtools

from support.demo import ports
from tests.review import usage

_MACHINE = "m-renders-0"
_TIMEOUT_S = 10.0
_TASK = "00000000000000d1.0.0"


class LateWorkersTest(testtools.TestCase):
    """The service of review/11 and review/12, without entry processes."""

    def setUp(self):
        super().setUp()
        store_port, self.port, self.vm_port = (
            ports.free_port() for _ in range(3)
        )
        self.start("support.standins.store", "--port", str(store_port))
        self.wait_until_served(store_port, "/calls")
        self.start(
            "review.kit3.late_workers",
            *("--store", f"127.0.0.1:{store_port}"),
            *("--machines", f"{_MACHINE}:renders:{self.vm_port}"),
            *("--port", str(self.port)),
        )
        self.wait_until_served(self.port, "/v1/machines")

    def start(self, module, *arguments):
        process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            cwd=usage.ROOT,
            env={**os.environ, "PYTHONPATH": f"{usage.ROOT}/src"},
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)

    def wait_until(self, condition):
        deadline_s = time.monotonic() + _TIMEOUT_S
        while not condition():
            self.assertLess(time.monotonic(), deadline_s, "not in time")
            time.sleep(0.02)

    def wait_until_served(self, port, path):
        self.wait_until(lambda: self.call(port, "GET", path) is not None)

    def call(self, port, method, path, body=None, **headers):
        """Return the decoded answer; None if there is none."""
        data = None if body is None else json.dumps(body).encode()
        request = urllib.request.Request(
            f"http://127.0.0.1:{port}{path}", data, headers, method=method
        )
        try:
            with urllib.request.urlopen(request, timeout=5) as response:
                return json.loads(response.read())
        except (urllib.error.URLError, OSError):
            return None

    def send_start(self):
        body = {
            "task": _TASK,
            "run": 1,
            "spec": "work_ms=60",
            "deadline_ms": 600_000,
            "fence_token": 5,
        }
        instance = {"Expected-Instance": f"i-{_MACHINE}-1"}
        self.call(self.vm_port, "POST", "/v1/run-start", body, **instance)

    def test_start_that_is_held_back_is_listed_and_carried_out_late(self):
        """Guards against cases that end with "no start was held back"."""
        path = f"/late?machine={_MACHINE}&path=start"
        self.assertEqual({}, self.call(self.port, "POST", path))
        threading.Thread(target=self.send_start, daemon=True).start()
        self.wait_until(
            lambda: (
                self.call(self.port, "GET", "/late") == [[_MACHINE, "start"]]
            )
        )
        path = (
            f"/return?machine={_MACHINE}&dark_ms=100&register_ms=20&start_ms=10"
        )
        self.assertEqual({}, self.call(self.port, "POST", path))
        self.wait_until(lambda: self.call(self.port, "GET", "/records"))
        (run,) = self.call(self.port, "GET", "/records")
        self.assertEqual((_TASK, 1), (run["task"], run["run"]))
        (carried_out,) = (
            line
            for line in self.call(self.port, "GET", "/log")
            if line["what"].startswith("carried out")
        )
        self.assertTrue(carried_out["what"].endswith(": 200"))
