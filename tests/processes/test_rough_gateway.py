"""Tests of a gateway beside crowds of clients that do not behave.

As in ``test_rough_clients``: the crowds and the limits are fixed, and nothing
that is checked depends on the speed of the machine.
"""

import pathlib
import tempfile
import time
import urllib.error
import urllib.request

import testtools

from support import rough_clients
from support.demo import cluster
from support.demo import site

_GATEWAY = "gw-1"
_TOKEN = "demo-letterers"
_MEMORY_MB = 160
_BODY_BYTES = 262_144
_CLIENTS = 400
# How long the crowd is left to send, and no check.
_PLAY_S = 5.0
# Ends a test that would wait for ever, and no check of how fast anything is.
_PATIENCE_S = 40.0
_KB_PER_MB = 1_024
_HEAD = (
    b"POST /q/proofs/run HTTP/1.1\r\nHost: x\r\n"
    b"Authorization: Bearer demo-letterers\r\n"
)


class Shared:
    """The site that all tests of the module share."""

    folder: tempfile.TemporaryDirectory
    site: cluster.Cluster


def setUpModule():
    Shared.folder = tempfile.TemporaryDirectory()
    Shared.site = cluster.Cluster(
        plan=site.load("kadalpura"),
        folder=pathlib.Path(Shared.folder.name),
        gateways=1,
        controllers=1,
        gateway_limits={"memory_mb": _MEMORY_MB},
    )
    Shared.site.start()


def tearDownModule():
    codes = Shared.site.stop()
    Shared.folder.cleanup()
    assert set(codes.values()) == {0}, codes


class RoughGatewayTest(testtools.TestCase):
    def test_bodies_that_lack_one_byte(self):
        head = _HEAD + f"Content-Length: {_BODY_BYTES}\r\n\r\n".encode()
        self.play(rough_clients.Behaviour(head + b"x" * (_BODY_BYTES - 1)))

    def test_bodies_in_chunks_that_lack_their_end(self):
        head = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        chunk = b"3e80\r\n" + b"x" * 16_000 + b"\r\n"
        self.play(rough_clients.Behaviour(head, chunk, 16))

    def test_heads_without_end(self):
        field = b"X-Padding: " + b"x" * 4_000 + b"\r\n"
        behaviour = rough_clients.Behaviour(_HEAD, field, 500)
        self.play(behaviour, until_cut_off=True)

    def play(self, behaviour, until_cut_off=False):
        url = Shared.site.gateway_urls[_GATEWAY]
        address = url.removeprefix("http://")
        crowd = rough_clients.Crowd(address, behaviour, _CLIENTS)
        with crowd.playing():
            self.wait(_PLAY_S, lambda: crowd.finished)
            if until_cut_off:
                self.wait(_PATIENCE_S, lambda: not crowd.connected)
                self.assertEqual(0, crowd.connected, "clients are not cut off")
            self.assert_sound()
            self.assert_ordinary_request_is_answered()
            self.assert_sound()

    def wait(self, limit_s, condition):
        end_s = time.monotonic() + limit_s
        while not condition() and time.monotonic() < end_s:
            time.sleep(0.05)

    def assert_sound(self):
        process = Shared.site.processes[_GATEWAY]
        self.assertIsNone(process.poll(), "the process has ended")
        status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
        row = next(r for r in status.splitlines() if r.startswith("VmHWM:"))
        peak_mb = int(row.split()[1]) / _KB_PER_MB
        self.assertLessEqual(peak_mb, _MEMORY_MB)

    def assert_ordinary_request_is_answered(self):
        statuses = []

        def is_answered():
            statuses.append(self.send())
            return statuses[-1] == 200

        self.wait(_PATIENCE_S, is_answered)
        self.assertEqual(200, statuses[-1], "no answer to a request")

    def send(self):
        url = f"{Shared.site.gateway_urls[_GATEWAY]}/q/proofs/run"
        request = urllib.request.Request(url, b"x", method="POST")
        request.add_header("Authorization", f"Bearer {_TOKEN}")
        request.add_header("X-Work-Ms", "5")
        try:
            with urllib.request.urlopen(request, timeout=10) as response:
                return response.status
        except urllib.error.HTTPError as error:
            return error.code
        except (urllib.error.URLError, OSError):
            return 0
