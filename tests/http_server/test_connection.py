"""Tests of the limits on what a client sends, with any split of any bytes."""

import asyncio

import hypothesis
from hypothesis import strategies
import testtools

from support import http_exchange
from wagtailtiller.http_server import limits
from wagtailtiller.http_server import refusals
from wagtailtiller.ports import catalogue

_LIMITS = catalogue.RequestLimits(max_header_bytes=400, max_body_bytes=600)
_HOST = b"Host: h\r\n"
# Memory that one connection may hold under these limits: the connection, a head
# of the shortest fields with what the parser makes of them, the same again for
# trailers, a body, and twice what arrives at once.
_SHORTEST_FIELD_BYTES = 4
_FIELD_MEMORY_BYTES = 400
_MAX_ARRIVAL_BYTES = 4_096
_MAX_HELD_BYTES = (
    12_000
    + 2 * 400 * (1 + _FIELD_MEMORY_BYTES // _SHORTEST_FIELD_BYTES)
    + 2 * _MAX_ARRIVAL_BYTES
    + 65_536
)


def _request(head_bytes, body=b"", chunk_bytes=0):
    """Return a request with a head of exactly so many bytes."""
    if chunk_bytes:
        fields = _HOST + b"Transfer-Encoding: chunked\r\n"
    else:
        fields = _HOST + f"Content-Length: {len(body)}\r\n".encode()
    line = b"POST / HTTP/1.1\r\n"
    padding = head_bytes - len(line) - len(fields) - len(b"X: \r\n\r\n")
    head = line + fields + b"X: " + b"y" * padding + b"\r\n\r\n"
    return head + (_chunked(body, chunk_bytes) if chunk_bytes else body)


def _chunked(body, chunk_bytes, trailers=b""):
    starts = range(0, len(body), chunk_bytes)
    parts = [body[start : start + chunk_bytes] for start in starts]
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
    return chunks + b"0\r\n" + trailers + b"\r\n"


def _split(data, sizes):
    """Return the data in chunks of the given sizes, in turn."""
    chunks = []
    while data:
        size = sizes[len(chunks) % len(sizes)]
        chunks.append(data[:size])
        data = data[size:]
    return chunks


def _exchange(data, sizes=(100_000,)):
    return http_exchange.exchange(_split(data, sizes), _LIMITS)


class LimitTest(testtools.TestCase):
    def assert_statuses(self, statuses, data):
        """Check the responses, for bytes that come at once and one by one."""
        for sizes in ((100_000,), (1,), (7,)):
            outcome = _exchange(data, sizes)
            self.assertEqual(statuses, outcome.statuses, sizes)
            self.assertLessEqual(outcome.largest_bytes, _MAX_HELD_BYTES, sizes)

    def test_largest_head_and_body_are_served(self):
        self.assert_statuses([200], _request(400, b"x" * 600))
        self.assert_statuses([200], _request(400, b"x" * 600, chunk_bytes=1))

    def test_larger_head_is_refused(self):
        self.assert_statuses([431], _request(401))

    def test_larger_body_is_refused(self):
        self.assert_statuses([413], _request(400, b"x" * 601))
        self.assert_statuses([413], _request(400, b"x" * 601, chunk_bytes=5))

    def test_head_without_end_is_refused(self):
        self.assert_statuses([431], b"GET /" + b"x" * 1_000)
        self.assert_statuses([431], b"GET / HTTP/1.1\r\n" + b"a:\r\n" * 1_000)
        self.assert_statuses([431], b"\r\n" * 1_000)

    def test_chunk_extension_without_end_is_refused(self):
        head = _request(400, chunk_bytes=1).partition(b"0\r\n")[0]
        self.assert_statuses([431], head + b"2;" + b"x" * 1_000)

    def test_trailers_without_end_are_refused(self):
        head = _request(400, chunk_bytes=1).partition(b"0\r\n")[0]
        body = b"1\r\nx\r\n0\r\n" + b"a:b\r\n" * 1_000
        self.assert_statuses([431], head + body)

    def test_few_trailers_are_served(self):
        head = _request(400, chunk_bytes=1).partition(b"0\r\n")[0]
        trailers = b"X: " + b"y" * 300 + b"\r\n"
        self.assert_statuses([200], head + _chunked(b"abc", 2, trailers))

    def test_requests_without_waiting_are_served_in_order(self):
        requests = _request(400, b"one") + _request(400, b"two", 1)
        requests += _request(400, b"three") + b"\r\n" + _request(300)
        self.assert_statuses([200, 200, 200, 200], requests)
        bodies = _exchange(requests).bodies
        self.assertEqual([b"one", b"two", b"three", b""], bodies)

    def test_limit_counts_for_each_request(self):
        requests = _request(400, b"one", 1) + _request(401)
        self.assert_statuses([200, 431], requests)

    def test_malformed_request_is_refused(self):
        self.assert_statuses([400], b"no request\r\n\r\n")

    def test_malformed_chunk_is_refused(self):
        head = _request(400, chunk_bytes=1).partition(b"0\r\n")[0]
        self.assert_statuses([400], head + b"no size\r\n")


class SplitTest(testtools.TestCase):
    """The outcome depends on the bytes, and not on how they arrive."""

    @hypothesis.settings(max_examples=150, deadline=None, derandomize=True)
    @hypothesis.given(
        strategies.lists(
            strategies.one_of(
                strategies.sampled_from(
                    [
                        b"GET / HTTP/1.1\r\n",
                        b"POST / HTTP/1.1\r\n",
                        _HOST,
                        b"Content-Length: 3\r\n",
                        b"Transfer-Encoding: chunked\r\n",
                        b"Upgrade: websocket\r\nConnection: upgrade\r\n",
                        b"\r\n",
                        b"abc",
                        b"1\r\nx\r\n",
                        b"0\r\n",
                        b"3;" + b"e" * 300 + b"\r\nabc\r\n",
                        b"a:b\r\n" * 60,
                        b"X: " + b"y" * 350 + b"\r\n",
                        _request(400, b"whole"),
                        _request(380, b"whole", 2),
                    ]
                ),
                strategies.binary(max_size=20),
            ),
            max_size=12,
        ),
        strategies.lists(
            strategies.integers(1, _MAX_ARRIVAL_BYTES), min_size=1, max_size=5
        ),
    )
    def test_any_split_of_any_bytes(self, parts, sizes):
        data = b"".join(parts)
        at_once = _exchange(data, (_MAX_ARRIVAL_BYTES,))
        split = _exchange(data, sizes)
        one_by_one = _exchange(data, (1,))
        for outcome in (split, one_by_one):
            self.assertEqual(at_once.statuses, outcome.statuses)
            self.assertEqual(at_once.bodies, outcome.bodies)
        for outcome in (at_once, split, one_by_one):
            self.assertLessEqual(outcome.largest_bytes, _MAX_HELD_BYTES)


class SumTest(testtools.TestCase):
    """What many clients hold together is bounded."""

    def test_largest_requests_without_end_make_room(self):
        max_held_bytes = 200_000

        async def main():
            server = http_exchange.Exchange(
                catalogue.RequestLimits(),
                limits.ClientLimits(max_held_bytes, 100),
            )
            clients = [server.connect() for _ in range(12)]
            head = _request(400, b"x" * 50_000)
            for client, _ in clients:
                await server.send(client, _split(head[:-1], (4_096,)))
                self.assertLessEqual(server.table.held_bytes, max_held_bytes)
            ordinary, transport = server.connect()
            await server.send(ordinary, [_request(400, b"y" * 2_000)])
            self.assertIn(b"HTTP/1.1 200", transport.written)
            refused = [t for _, t in clients if b" 503 " in t.written]
            self.assertGreater(len(refused), 0)
            for client, _ in (*clients, (ordinary, None)):
                client.connection_lost(None)
            self.assertEqual(0, server.table.held_bytes)
            self.assertEqual(0, server.table.connection_count)

        asyncio.run(main())

    def test_whole_request_is_answered_after_what_follows_it_is_dropped(self):
        """Guards against an answer that is cut off for later requests."""

        async def main():
            server = http_exchange.Exchange(catalogue.RequestLimits())
            server.may_answer.clear()
            client, transport = server.connect()
            await server.send(
                client, [_request(400, b"one"), _request(400, b"x" * 20_000)]
            )
            self.assertTrue(client.can_be_cut_off())
            client.cut_off(refusals.Reason.NO_MEMORY)
            self.assertLess(client.held_bytes, 20_000)
            for seconds in (10, 20):
                client.check(asyncio.get_running_loop().time() + seconds)
            self.assertFalse(transport.closed)
            server.may_answer.set()
            await server.send(client, [b""])
            self.assertEqual(1, transport.written.count(b"HTTP/1.1 200"))
            self.assertEqual([b"one"], server.bodies)
            client.connection_lost(None)

        asyncio.run(main())

    def test_answer_that_is_being_read_outlasts_bodies_that_stall(self):
        """Guards against a long answer that its request's age cuts off."""
        max_held_bytes = 200_000

        async def main():
            server = http_exchange.Exchange(
                catalogue.RequestLimits(),
                limits.ClientLimits(max_held_bytes, 100),
            )
            reading, transport = server.connect()
            await server.send(reading, [_request(400, b"y" * 2_000)])
            stalled = [server.connect() for _ in range(3)]
            for client, _ in stalled:
                body = _request(400, b"x" * 30_000)[:-1]
                await server.send(client, _split(body, (4_096,)))
                client.since_s -= 1
            reading.since_s -= 3_600
            reading.pause_writing()
            for _ in range(2):
                client, _ = server.connect()
                body = _request(400, b"x" * 20_000)[:-1]
                await server.send(client, _split(body, (4_096,)))
                stalled.append((client, None))
            self.assertFalse(transport.closed)
            for client, _ in (*stalled, (reading, None)):
                client.connection_lost(None)

        asyncio.run(main())

    def test_silent_connections_make_room(self):
        async def main():
            server = http_exchange.Exchange(
                catalogue.RequestLimits(),
                limits.ClientLimits(10_000_000, 20),
            )
            silent = [server.connect() for _ in range(40)]
            ordinary, transport = server.connect()
            await server.send(ordinary, [_request(400)])
            self.assertIn(b"HTTP/1.1 200", transport.written)
            self.assertLessEqual(server.table.connection_count, 20)
            for client, _ in (*silent, (ordinary, None)):
                client.connection_lost(None)

        asyncio.run(main())
