"""Tests of a small site of real processes, as callers and operators use it.

All tests of the module share one site, and each restores its initial state.
"""

import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

import testtools

from support.demo import cluster
from support.demo import site

_WAIT_S = 30.0
_TOKEN = "demo-letterers"
_PROCESS_PREFIXES = ("gw", "ctl")
_GOLDEN = pathlib.Path(__file__).parent / "golden"


class Shared:
    """Site that all tests of the module share."""

    folder: tempfile.TemporaryDirectory
    site: cluster.Cluster


def setUpModule():
    Shared.folder = tempfile.TemporaryDirectory()
    Shared.site = cluster.Cluster(
        plan=site.load("kadalpura"),
        folder=pathlib.Path(Shared.folder.name),
        gateways=2,
        controllers=1,
        reboot_ms=300,
    )
    Shared.site.start()


def tearDownModule():
    codes = Shared.site.stop()
    Shared.folder.cleanup()
    assert set(codes.values()) == {0}, codes


def _send(gateway="gw-1", queue="proofs", token=_TOKEN, body=b"x", **headers):
    """Send a request and return the status, headers and body of the response.

    Underscores in the names of ``headers`` stand for hyphens.
    """
    parts = urllib.parse.urlsplit(Shared.site.gateway_urls[gateway])
    connection = http.client.HTTPConnection(parts.hostname, parts.port, 20)
    sent = {"X-Work-Ms": "5"}
    if token:
        sent["Authorization"] = f"Bearer {token}"
    sent |= {name.replace("_", "-"): text for name, text in headers.items()}
    connection.request("POST", f"/q/{queue}/run", body, sent)
    response = connection.getresponse()
    content = response.read()
    connection.close()
    return response.status, response.headers, json.loads(content)


def _wait_for(condition):
    deadline_s = time.monotonic() + _WAIT_S
    while not condition():
        assert time.monotonic() < deadline_s, "condition not met in time"
        time.sleep(0.05)


class CallersTest(testtools.TestCase):
    def assert_invalid(self, answer, status, field):
        self.assertEqual(status, answer[0])
        self.assertEqual("invalid", answer[1]["Wagtail-Outcome"])
        self.assertEqual(field, answer[2]["field"])

    def test_response_passes_through(self):
        status, headers, body = _send(X_Caller_Id="me")
        self.assertEqual((200, "answer"), (status, headers["Wagtail-Outcome"]))
        self.assertEqual("me", body["echo"])
        self.assertEqual("mayilpeeli", body["member"])

    def test_unknown_token_is_rejected(self):
        self.assert_invalid(_send(token="nobody"), 401, "Authorization")

    def test_unknown_queue_is_rejected(self):
        self.assert_invalid(_send(queue="nowhere"), 404, "queue")

    def test_malformed_deadline_is_rejected(self):
        answer = _send(Wagtail_Deadline_Ms="soon")
        self.assert_invalid(answer, 400, "Wagtail-Deadline-Ms")

    def test_too_long_key_is_rejected(self):
        answer = _send(Idempotency_Key="k" * 201)
        self.assert_invalid(answer, 400, "Idempotency-Key")

    def test_deadline_that_cannot_be_met_is_refused_immediately(self):
        start_s = time.monotonic()
        status, headers, body = _send(Wagtail_Deadline_Ms="1")
        self.assertLess(time.monotonic() - start_s, 5.0)
        self.assertEqual((503, "not_run"), (status, body["outcome"]))
        self.assertIn("Retry-After", headers)

    def test_repeated_key_is_not_run_twice(self):
        time.sleep(0.01)
        issued_ms = str(time.time_ns() // 1_000_000)
        fields = {"Idempotency_Key": f"k{issued_ms}"}
        fields["Wagtail_Key_Issued_Ms"] = issued_ms
        statuses = [
            _send(gateway, "plate-exports", **fields)[0]
            for gateway in ("gw-1", "gw-2")
        ]
        self.assertEqual([200, 502], statuses)

    def test_large_body_streams_through(self):
        size = 5_000_000
        self.assertEqual(size, _send(body=b"z" * size)[2]["bytes"])

    def test_truncated_body_leaves_the_gateway_running(self):
        parts = urllib.parse.urlsplit(Shared.site.gateway_urls["gw-1"])
        with socket.create_connection(
            (parts.hostname, parts.port)
        ) as connection:
            connection.sendall(
                b"POST /q/proofs/run HTTP/1.1\r\nHost: x\r\n"
                b"Authorization: Bearer demo-letterers\r\n"
                b"Content-Length: 100\r\n\r\nshort"
            )
        self.assertEqual(200, _send()[0])

    def test_body_above_the_limit_is_refused(self):
        self.assert_invalid(_send(body=b"z" * 67_108_865), 413, "body")

    def test_incomplete_headers_do_not_block_other_callers(self):
        parts = urllib.parse.urlsplit(Shared.site.gateway_urls["gw-1"])
        address = (parts.hostname, parts.port)
        slow_connections = [
            socket.create_connection(address) for _ in range(50)
        ]
        for connection in slow_connections:
            connection.sendall(b"POST /q/proofs/run HTTP/1.1\r\nHost: x\r\nX-")
        self.assertEqual(200, _send()[0])
        for connection in slow_connections:
            connection.close()

    def test_stalled_body_is_answered(self):
        parts = urllib.parse.urlsplit(Shared.site.gateway_urls["gw-1"])
        with socket.create_connection(
            (parts.hostname, parts.port)
        ) as connection:
            connection.settimeout(_WAIT_S)
            connection.sendall(
                b"POST /q/proofs/run HTTP/1.1\r\nHost: x\r\n"
                b"Authorization: Bearer demo-letterers\r\n"
                b"Content-Length: 100\r\n\r\nshort"
            )
            self.assertIn(b" 408 ", connection.recv(4_096))
        self.assertEqual(200, _send()[0])


class ProcessesTest(testtools.TestCase):
    def process_pids(self):
        return {
            name: process.pid
            for name, process in Shared.site.processes.items()
            if name.startswith(_PROCESS_PREFIXES) and process.poll() is None
        }

    def test_no_process_opens_an_io_uring(self):
        for name, pid in self.process_pids().items():
            folder = f"/proc/{pid}/fd"
            links = [os.readlink(f"{folder}/{n}") for n in os.listdir(folder)]
            self.assertEqual([], [x for x in links if "io_uring" in x], name)

    def test_no_process_has_child_processes(self):
        for name, pid in self.process_pids().items():
            children = []
            for task in os.listdir(f"/proc/{pid}/task"):
                path = pathlib.Path(f"/proc/{pid}/task/{task}/children")
                children += path.read_text(encoding="ascii").split()
            self.assertEqual([], children, name)

    def test_no_process_shares_memory(self):
        """No process has a writable shared mapping.

        Read-only shared mappings are allowed: the C library maps its own
        tables that way.
        """
        for name, pid in self.process_pids().items():
            path = pathlib.Path(f"/proc/{pid}/maps")
            shared = [
                line
                for line in path.read_text(encoding="utf-8").splitlines()
                if line.split()[1][1:4:2] == "ws" or "/dev/shm" in line
            ]
            self.assertEqual([], shared, name)

    def test_gateway_finishes_requests_in_flight_at_sigterm(self):
        statuses = []
        senders = [
            threading.Thread(
                target=lambda: statuses.append(
                    _send("gw-2", X_Work_Ms="1500")[0]
                )
            )
            for _ in range(6)
        ]
        for sender in senders:
            sender.start()
        time.sleep(0.5)
        process = Shared.site.processes["gw-2"]
        process.send_signal(signal.SIGTERM)
        for sender in senders:
            sender.join()
        self.assertEqual([200] * 6, statuses)
        self.assertEqual(0, process.wait(_WAIT_S))
        Shared.site.start_gateway("gw-2")
        Shared.site.wait_ready()


class OperatorsTest(testtools.TestCase):
    def ctl(self, *arguments, check=True):
        return Shared.site.ctl(*arguments, check=check)

    def test_wave_maintains_every_vm_of_a_pool(self):
        before = self.boots()
        result = self.ctl("wave", "start", "lettering", "--follow")
        self.assertIn("6 of 6 done", result.stdout)
        for vm, boots in self.boots().items():
            self.assertEqual(before[vm] + 1, boots)

    def test_wagtailctl_opens_no_io_uring_and_starts_no_process(self):
        command = [sys.executable, "-m", "wagtailtiller.ctl.main"]
        command += ["wave", "start", "colouring", "--follow"]
        command += ["--store", Shared.site.store_url]
        command += ["--region", Shared.site.plan.region]
        with subprocess.Popen(command, stdout=subprocess.PIPE) as running:
            running.stdout.readline()
            folder = f"/proc/{running.pid}"
            names = os.listdir(f"{folder}/fd")
            links = [os.readlink(f"{folder}/fd/{name}") for name in names]
            path = pathlib.Path(f"{folder}/task/{running.pid}/children")
            children = path.read_text(encoding="ascii")
            running.communicate(timeout=_WAIT_S)
        self.assertEqual([], [x for x in links if "io_uring" in x])
        self.assertEqual("", children)

    def boots(self):
        listed = json.loads(self.ctl("vm", "--json").stdout)
        return {
            vm: record["boot"]
            for vm, record in listed.items()
            if record["pool"] == "lettering"
        }

    def test_moved_vm_serves_its_new_pool(self):
        self.ctl("vm", "kal-25", "--move-to", "proofing")
        _wait_for(lambda: self.pool_of("kal-25") == "proofing")
        self.ctl("vm", "kal-25", "--move-to", "back-office")
        _wait_for(lambda: self.pool_of("kal-25") == "back-office")

    def pool_of(self, vm):
        return json.loads(self.ctl("vm", vm, "--json").stdout)[vm]["pool"]

    def test_second_of_two_concurrent_changes_is_rejected(self):
        revision = json.loads(self.ctl("status", "--json").stdout)[
            "settings_revision"
        ]
        change = ("queue", "reports", "--expect", str(revision), "--set")
        self.ctl(*change, "deadline_ms=21000", "--why", "first")
        second = self.ctl(*change, "deadline_ms=22000", check=False)
        self.assertEqual(3, second.returncode)
        self.assertIn("21000", second.stderr)

    def test_rejected_setting_suggests_a_similar_name(self):
        result = self.ctl(
            "queue", "reports", "--set", "dedline_ms=1", check=False
        )
        self.assertEqual(2, result.returncode)
        self.assertIn("did you mean 'deadline_ms'", result.stderr)

    def test_operator_session_matches_the_golden_file(self):
        commands = (
            ("explain", "plate-exports"),
            ("queue", "proofs"),
            ("pool", "plates"),
            ("get", "/tree/groups/press/pools/plates"),
            ("pool", "nowhere"),
            ("queue", "proofs", "--set", "deadline_ms=never"),
            ("wave", "begin"),
            ("vm", "kal-01"),
        )
        parts = []
        for command in commands:
            result = self.ctl(*command, check=False)
            shown = "\n".join(
                line
                for line in (result.stdout + result.stderr).splitlines()
                if not line.startswith("// revision")
            )
            parts.append(
                f"$ wagtailctl {' '.join(command)}\n{shown}\n"
                f"exit {result.returncode}\n"
            )
        session = "\n".join(parts)
        path = _GOLDEN / "operator_session.txt"
        if os.environ.get("WRITE_GOLDEN"):
            path.parent.mkdir(exist_ok=True)
            path.write_text(session, encoding="utf-8")
        self.assertEqual(path.read_text(encoding="utf-8"), session)
