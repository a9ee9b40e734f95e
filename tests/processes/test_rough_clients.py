"""Tests of an entry process beside crowds of clients that do not behave.

Each test starts a process of its own and checks what does not depend on the
speed of the machine: the process lives, its memory and its descriptors stay
within the limits of its settings file, and an ordinary request is answered
while the crowd is connected. The crowds and the limits are fixed.
"""

import itertools
import json
import os
import pathlib
import tempfile
import time

import testtools

from support import rough_clients
from support.demo import entry_site

_ENTRY = "e-0"
_HOST = "press.example"
_MEMORY_MB = 160
_MAX_FDS = 700
# Descriptors of these that the platform reserves for files.
_RESERVED_FDS = 200
_LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 262_144,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
}
_CLIENTS = 400
# More than the descriptors of the process.
_CONNECTIONS = 650
# How long the crowd is left to send, and no check.
_PLAY_S = 5.0
# Ends a test that would wait for ever, and no check of how fast anything is.
_PATIENCE_S = 40.0
_KB_PER_MB = 1_024

_job_ids = (f"{number:016x}" for number in itertools.count(1))


def _head(*fields, method="POST", path=None):
    path = path or f"/renders/{next(_job_ids)}"
    lines = [f"{method} {path} HTTP/1.1", f"Host: {_HOST}", *fields]
    return "\r\n".join(lines).encode() + b"\r\n"


def _body_head(length):
    fields = (f"Content-Length: {length}", "Timeout-Ms: 60000")
    return _head(*fields) + b"\r\n"


def _chunked_head():
    return _head("Transfer-Encoding: chunked", "Timeout-Ms: 60000") + b"\r\n"


def _chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def _times(total_bytes, piece):
    return total_bytes // len(piece)


# Far above each limit of the configuration.
_ENDLESS_BYTES = 2_000_000


def _endless(opening, piece):
    return rough_clients.Behaviour(
        opening, piece, _times(_ENDLESS_BYTES, piece)
    )


class Shared:
    """The stand-ins that all tests of the module share."""

    folder: tempfile.TemporaryDirectory
    site: entry_site.EntrySite


def _site(folder):
    return entry_site.EntrySite(
        pathlib.Path(folder.name),
        entries=1,
        machines=1,
        process_limits={"memory_mb": _MEMORY_MB, "max_fds": _MAX_FDS},
        request_limits=_LIMITS,
    )


def setUpModule():
    Shared.folder = tempfile.TemporaryDirectory()
    Shared.site = _site(Shared.folder)
    Shared.site.start()


def tearDownModule():
    Shared.site.stop()
    Shared.folder.cleanup()


class _ProcessTest(testtools.TestCase):
    """Starts an entry process, which is killed at the end."""

    def setUp(self):
        super().setUp()
        self.site = self.start_site()
        self.addCleanup(self.kill, self.site)
        self.assert_ordinary_request_is_answered()

    def start_site(self):
        if Shared.site.processes[_ENTRY].poll() is not None:
            Shared.site.start_entry(_ENTRY)
            Shared.site.wait_until_ready(_ENTRY)
        return Shared.site

    def kill(self, site):
        site.processes[_ENTRY].kill()
        site.processes[_ENTRY].wait()

    def process(self):
        return self.site.processes[_ENTRY]

    def play(self, behaviour, count=_CLIENTS, address=None):
        """Play a crowd and check the process while it is connected."""
        address = address or self.site.caller_address(_ENTRY)
        crowd = rough_clients.Crowd(address, behaviour, count)
        with crowd.playing():
            self.wait(_PLAY_S, lambda: crowd.finished)
            self.assert_sound()
            self.assert_ordinary_request_is_answered()
            self.assert_sound()
        self.assertIsNone(self.process().poll(), "the process has ended")
        return crowd

    def play_until_cut_off(self, behaviour, address=None):
        """Play a crowd each of whose clients has to be cut off."""
        address = address or self.site.caller_address(_ENTRY)
        crowd = rough_clients.Crowd(address, behaviour, _CLIENTS)
        with crowd.playing():
            self.wait(_PATIENCE_S, lambda: not crowd.connected)
            self.assertEqual(0, crowd.connected, "clients are not cut off")
            self.assert_sound()
            self.assert_ordinary_request_is_answered()

    def wait(self, limit_s, condition):
        end_s = time.monotonic() + limit_s
        while not condition() and time.monotonic() < end_s:
            time.sleep(0.05)

    def assert_sound(self):
        self.assertIsNone(self.process().poll(), "the process has ended")
        self.assertLessEqual(self.peak_mb(), _MEMORY_MB)
        descriptors = os.listdir(f"/proc/{self.process().pid}/fd")
        self.assertLessEqual(len(descriptors), _MAX_FDS - _RESERVED_FDS)

    def peak_mb(self):
        status = pathlib.Path(f"/proc/{self.process().pid}/status").read_text()
        row = next(r for r in status.splitlines() if r.startswith("VmHWM:"))
        return int(row.split()[1]) / _KB_PER_MB

    def assert_ordinary_request_is_answered(self):
        step = {"count": 1, "cpu": 100, "mem_mb": 10, "estimate_ms": 50}
        body = {"spec": "work_ms=50", "steps": [step]}
        path = f"/renders/{next(_job_ids)}"
        statuses = []

        def is_accepted():
            statuses.append(self.site.call(_ENTRY, "POST", path, body)[0])
            return statuses[-1] == 200

        self.wait(_PATIENCE_S, is_accepted)
        self.assertEqual(200, statuses[-1], "no answer to a request")


class BodyTest(_ProcessTest):
    def test_bodies_at_once_that_lack_one_byte(self):
        body = b"x" * (_LIMITS["max_body_bytes"] - 1)
        opening = _body_head(_LIMITS["max_body_bytes"]) + body
        self.play(rough_clients.Behaviour(opening))

    def test_bodies_in_pieces_that_lack_their_end(self):
        piece = b"x" * 8_192
        opening = _body_head(_LIMITS["max_body_bytes"])
        count = _times(_LIMITS["max_body_bytes"], piece) - 1
        self.play(rough_clients.Behaviour(opening, piece, count))

    def test_bodies_in_large_chunks_that_lack_their_end(self):
        chunk = _chunk(b"x" * 16_000)
        self.play(rough_clients.Behaviour(_chunked_head(), chunk, 16))

    def test_bodies_in_very_small_chunks_that_lack_their_end(self):
        chunk = _chunk(b"x") * 1_000
        self.play(rough_clients.Behaviour(_chunked_head(), chunk, 60))

    def test_bodies_for_a_path_that_reads_none(self):
        length = _LIMITS["max_body_bytes"]
        head = _head(f"Content-Length: {length}", path="/nowhere/1")
        opening = head + b"\r\n" + b"x" * (length - 1)
        self.play(rough_clients.Behaviour(opening))


class JobTest(_ProcessTest):
    """Whole requests inside the limits, which hold much once accepted.

    Each test has stand-ins of its own, so that no process inherits the jobs of
    another test.
    """

    def start_site(self):
        self.kill(Shared.site)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        site = _site(folder)
        self.addCleanup(site.stop)
        site.start()
        return site

    def test_jobs_of_many_steps(self):
        step = {"count": 1, "cpu": 1, "mem_mb": 1, "estimate_ms": 50}
        self.play_jobs({"spec": "work_ms=50", "steps": [step] * 4_000})

    def test_next_process_holds_the_jobs_that_were_accepted(self):
        """Guards against more stored jobs than the next owner can hold."""
        step = {"count": 1, "cpu": 1, "mem_mb": 1, "estimate_ms": 50}
        self.play_jobs({"spec": "work_ms=50", "steps": [step] * 4_000})
        self.kill(self.site)
        self.site.start_entry(_ENTRY)
        self.site.wait_until_ready(_ENTRY)
        self.assert_ordinary_request_is_answered()
        self.assert_sound()

    def test_jobs_of_many_tasks(self):
        step = {"count": 10_000, "cpu": 1, "mem_mb": 1, "estimate_ms": 50}
        self.play_jobs({"spec": "work_ms=50", "steps": [step]})

    def test_specifications_above_their_limit(self):
        step = {"count": 1, "cpu": 1, "mem_mb": 1, "estimate_ms": 50}
        self.play_jobs({"spec": "x" * 262_000, "steps": [step]})

    def test_questions_about_unknown_jobs(self):
        """Guards against as many calls to the store as there are clients."""
        self.play(
            rough_clients.Behaviour(
                opening_of=lambda: _head(method="GET") + b"\r\n"
            )
        )

    def play_jobs(self, job):
        """Play clients each of which sends one job of its own."""
        body = json.dumps(job).encode()
        self.play(
            rough_clients.Behaviour(
                opening_of=lambda: _body_head(len(body)) + body
            )
        )


class HeadTest(_ProcessTest):
    def test_fields_without_end(self):
        field = b"X-Padding: " + b"x" * 4_000 + b"\r\n"
        self.play_until_cut_off(_endless(_head(), field))

    def test_tiny_fields_without_end(self):
        self.play_until_cut_off(_endless(_head(), b"a:b\r\n" * 1_000))

    def test_request_line_without_end(self):
        self.play_until_cut_off(_endless(b"GET /", b"x" * 4_000))

    def test_empty_lines_without_end(self):
        self.play_until_cut_off(_endless(b"", b"\r\n" * 2_000))

    def test_trailers_without_end(self):
        field = b"X-Padding: " + b"x" * 4_000 + b"\r\n"
        opening = _chunked_head() + _chunk(b"{}") + b"0\r\n"
        self.play_until_cut_off(_endless(opening, field))

    def test_chunk_extension_without_end(self):
        opening = _chunked_head() + b"2;"
        self.play_until_cut_off(_endless(opening, b"x" * 4_000))

    def test_fields_without_end_at_the_ready_address(self):
        field = b"X-Padding: " + b"x" * 4_000 + b"\r\n"
        self.play_until_cut_off(
            _endless(_head(method="GET", path="/v1/ready"), field),
            self.site.ready_address(_ENTRY),
        )

    def test_heads_that_stop(self):
        self.play_until_cut_off(rough_clients.Behaviour(_head()))


class ConnectionTest(_ProcessTest):
    def test_process_stops_beside_a_crowd(self):
        opening = _body_head(1_000) + b"x"
        crowd = rough_clients.Crowd(
            self.site.caller_address(_ENTRY),
            rough_clients.Behaviour(opening),
            _CLIENTS,
        )
        with crowd.playing():
            self.wait(_PLAY_S, lambda: crowd.finished)
            self.process().terminate()
            self.assertEqual(0, self.process().wait(_PATIENCE_S))

    def test_second_crowd_finds_the_same_bounds(self):
        body = b"x" * (_LIMITS["max_body_bytes"] - 1)
        opening = _body_head(_LIMITS["max_body_bytes"]) + body
        for _ in range(2):
            self.play(rough_clients.Behaviour(opening))

    def test_more_silent_connections_than_descriptors(self):
        self.play(rough_clients.Behaviour(), _CONNECTIONS)

    def test_requests_whose_answers_are_never_read(self):
        request = _head(method="GET", path="/renders/") + b"\r\n"
        self.play(rough_clients.Behaviour(b"", request * 20, 100))


class WorkTest(_ProcessTest):
    """Tasks that are at work go on beside a crowd, with one run each."""

    def test_work_goes_on_beside_very_small_chunks(self):
        job = self.submit(work_ms=4_000)
        lasting = self.submit(work_ms=600_000, long_running=True)
        self.wait(_PATIENCE_S, lambda: self.runs(job) and self.runs(lasting))
        chunk = _chunk(b"x") * 1_000
        self.play(rough_clients.Behaviour(_chunked_head(), chunk, 60))
        self.wait(_PATIENCE_S, lambda: all(self.ends(job)))
        self.assertEqual(["done", "done"], self.ends(job))
        self.assertEqual(["", ""], self.ends(lasting))
        self.site.call(_ENTRY, "DELETE", f"/renders/{lasting}")

    def submit(self, work_ms, **fields):
        """Submit a job of two tasks, and return its id."""
        step = {"count": 2, "cpu": 100, "mem_mb": 10, "estimate_ms": work_ms}
        body = {"spec": f"work_ms={work_ms}", "steps": [{**step, **fields}]}
        job = next(_job_ids)
        status, _ = self.site.call(_ENTRY, "POST", f"/renders/{job}", body)
        self.assertEqual(200, status)
        return job

    def runs(self, job):
        return [r for r in self.site.records() if r.task.startswith(job)]

    def ends(self, job):
        """Return how each run of a job has ended; empty if it goes on."""
        return [run.how for run in self.runs(job)]


class LimitTest(_ProcessTest):
    """Requests inside the limits are served, and beyond them refused."""

    def test_largest_field_and_largest_body_are_served(self):
        body = b'{"spec":"","steps":[{"count":1,"cpu":1,"estimate_ms":1}]}'
        body += b" " * (_LIMITS["max_body_bytes"] - len(body))
        field = "X-Padding: " + "x" * 12_000
        status = self.request(field, body)
        self.assertEqual(200, status)

    def test_many_small_fields_are_served(self):
        body = b'{"spec":"","steps":[{"count":1,"cpu":1,"estimate_ms":1}]}'
        fields = "\r\n".join(f"x{n}: y" for n in range(1_000))
        self.assertEqual(200, self.request(fields, body))

    def test_larger_body_is_refused(self):
        body = b'{"spec":"","steps":[{"count":1,"cpu":1,"estimate_ms":1}]}'
        body += b" " * (_LIMITS["max_body_bytes"] + 1 - len(body))
        self.assertEqual(413, self.request("X: y", body))

    def test_longest_specification_is_served_and_a_longer_one_refused(self):
        for size, status in ((4_000, 200), (4_001, 400)):
            job = {"spec": "x" * size, "steps": [{"count": 1}]}
            body = json.dumps(job).encode()
            self.assertEqual(status, self.request("X: y", body))

    def request(self, fields, body):
        head = _head(f"Content-Length: {len(body)}", fields) + b"\r\n"
        return rough_clients.status_of(
            self.site.caller_address(_ENTRY), head + body
        )
