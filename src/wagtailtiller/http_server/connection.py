"""The server's side of a connection, with limits on what a client sends.

aiohttp's protocol parses as fast as a client sends, and limits neither the sum
of a head nor the time that it takes. This one decides which bytes the parser
gets, and when; requests and responses are aiohttp's.
"""

import asyncio
import enum
from typing import Any

from aiohttp import hdrs
from aiohttp import http
from aiohttp import web

from wagtailtiller.http_server import framing
from wagtailtiller.http_server import refusals
from wagtailtiller.http_server import table as table_module

# Memory of an open connection, with the objects of its request.
_CONNECTION_BYTES = 12_000
# Pieces of a request that are parsed on arrival; the others wait their turn.
_PIECES_ON_ARRIVAL = 16
# Response bytes that may wait for the client before the server stops writing.
_WRITE_BUFFER_BYTES = 65_536
# A client that keeps to the limit may send its next request at its very end.
_IDLE_MARGIN_S = 1.0
# A refused client may go on sending for so long before the connection is
# closed, because closing it earlier would destroy the response.
_LINGERING_S = 1.0
# Heads and idle times are limited here, and not by aiohttp.
_NO_SIZE_LIMIT = 2**31
_NO_TIME_LIMIT_S = 86_400.0
# Body bytes that are kept until the handler takes them.
_READ_BUFFER_BYTES = 65_536


class _State(enum.Enum):
    OPEN = enum.auto()
    # The rest of what the client sends is ignored.
    REFUSED = enum.auto()
    CLOSED = enum.auto()


class Connection(web.RequestHandler):
    """A connection whose client is cut off when it exceeds a limit.

    Args:
        server: The server that has accepted the connection.
        table: All connections of the process.
        loop: The event loop.

    Attributes:
        held_bytes: Memory that the connection takes.
        since_s: Time of the event loop at which its client began what it has
            not finished yet.
    """

    __slots__ = (
        "held_bytes",
        "since_s",
        "_table",
        "_state",
        "_framing",
        "_unparsed",
        "_parsed_bytes",
        "_has_turn",
        "_pieces_on_arrival",
        "_payload",
        "_answered",
        "_has_been_served",
        "_refusal",
        "_body_scope",
        "_last_data_s",
        "_write_paused_s",
        "_expired",
    )

    def __init__(
        self,
        server: web.Server,
        table: table_module.Table,
        *,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        super().__init__(
            server,
            loop=loop,
            keepalive_timeout=_NO_TIME_LIMIT_S,
            lingering_time=_LINGERING_S,
            read_bufsize=_READ_BUFFER_BYTES,
            # A small body must not become a large one.
            auto_decompress=False,
            max_line_size=_NO_SIZE_LIMIT,
            max_headers=_NO_SIZE_LIMIT,
            max_field_size=_NO_SIZE_LIMIT,
        )
        self.held_bytes = 0
        self.since_s = loop.time()
        self._table = table
        self._state = _State.OPEN
        self._framing = framing.Framing()
        # What has arrived, and how much of it the parser has taken.
        self._unparsed = b""
        self._parsed_bytes = 0
        self._has_turn = False
        self._pieces_on_arrival = _PIECES_ON_ARRIVAL
        self._payload: Any = None
        self._answered = False
        self._has_been_served = False
        self._refusal: refusals.Reason | None = None
        self._body_scope: asyncio.Timeout | None = None
        self._last_data_s = self.since_s
        self._write_paused_s: float | None = None
        self._expired = False

    # The transport's side.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection into the table, or close it."""
        super().connection_made(transport)
        assert self.transport is not None
        self.transport.set_write_buffer_limits(_WRITE_BUFFER_BYTES)
        if self._table.add(self):
            self._update_held_bytes()
        else:
            self._abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release what the connection holds."""
        self._state = _State.CLOSED
        self._drop_unparsed()
        self._table.remove(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived, as far as it is this connection's turn."""
        if self._state is not _State.OPEN or self._close or self._force_close:
            return
        if not data:
            # aiohttp lets the parser go on with what it has kept.
            super().data_received(data)
            return
        self._last_data_s = self._loop.time()
        self._expired = False
        if not self._framing.has_begun and not self._unparsed:
            self.since_s = self._last_data_s
        self._unparsed = self._unparsed[self._parsed_bytes :] + data
        self._parsed_bytes = 0
        self._update_held_bytes()
        if not self._has_turn:
            self._parse_on_arrival()
        self._wait_for_turn()

    def pause_writing(self) -> None:
        """Record since when the client does not read."""
        super().pause_writing()
        # The client has had the request answered; now it has to read.
        self.since_s = self._write_paused_s = self._loop.time()
        self._update_held_bytes()

    def resume_writing(self) -> None:
        """Record that the client reads again."""
        super().resume_writing()
        self._write_paused_s = None
        self._update_held_bytes()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Go on when the handler has taken what was kept for it."""
        super().resume_reading(resume_parser)
        self._wait_for_turn()

    # Parsing.

    def work(self) -> bool:
        """Parse a few thousand bytes of what has arrived.

        Returns:
            Whether a request has begun.
        """
        try:
            return self._parse_few()
        except Exception:
            # Only this connection ends; the event loop logs the error.
            self._abort()
            raise

    def _parse_few(self) -> bool:
        end_bytes = self._parsed_bytes + framing.PIECE_BYTES
        while self._can_parse() and self._parsed_bytes < end_bytes:
            if self._parse_piece():
                return True
        return False

    def has_work(self) -> bool:
        """Return whether there are more bytes that may be parsed now."""
        self._has_turn = self._can_parse()
        if not self._has_turn and not self._unparsed:
            self._continue_reading()
        return self._has_turn

    def _can_parse(self) -> bool:
        return (
            bool(self._unparsed)
            and self._state is _State.OPEN
            and self._framing.phase is not framing.Phase.WHOLE
            and not self._reading_paused
        )

    def _parse_on_arrival(self) -> None:
        while self._pieces_on_arrival and self._can_parse():
            self._pieces_on_arrival -= 1
            self._parse_piece()

    def _wait_for_turn(self) -> None:
        """Read no more until what has arrived is parsed."""
        if not self._unparsed:
            return
        self._pause_transport_reading()
        if not self._has_turn and self._can_parse():
            self._has_turn = True
            self._table.turns.add(self)

    def _continue_reading(self) -> None:
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def _parse_piece(self) -> bool:
        max_header_bytes = self._table.request_limits().max_header_bytes
        if self._framing.is_excessive(max_header_bytes):
            # A newer configuration has lowered the limit.
            self._refuse_excess()
            return False
        piece = self._take_piece(max_header_bytes)
        if self._framing.phase is framing.Phase.HEAD:
            begun = self._parse_head(piece)
        else:
            begun = False
            self._parse_body(piece)
        self._update_held_bytes()
        excessive = self._framing.is_excessive(max_header_bytes)
        if excessive and self._state is _State.OPEN:
            self._refuse_excess()
        return begun

    def _take_piece(self, max_header_bytes: int) -> bytes:
        start = self._parsed_bytes
        window = self._unparsed[start : start + framing.PIECE_BYTES]
        size = self._framing.piece_bytes(window, max_header_bytes)
        self._parsed_bytes += size
        if self._parsed_bytes == len(self._unparsed):
            self._drop_unparsed()
        return window[:size]

    def _drop_unparsed(self) -> None:
        self._unparsed = b""
        self._parsed_bytes = 0

    def _parse_head(self, piece: bytes) -> bool:
        """Parse a piece of a head; return whether it was the last one."""
        self._framing.count_head(piece)
        if not self._parse(piece):
            return False
        message, payload = self._messages[-1]
        self._answered = False
        self._payload = payload
        if payload.is_eof() or not isinstance(message, http.RawRequestMessage):
            # It has no body, or is an error.
            self._framing.end_request()
        elif message.chunked:
            self._framing.start_body(None)
        else:
            length = message.headers.get(hdrs.CONTENT_LENGTH, "0")
            self._framing.start_body(int(length))
        return True

    def _parse_body(self, piece: bytes) -> None:
        malformed = self._parse(piece)
        if malformed:
            self._refuse(refusals.Reason.MALFORMED)
            return
        self._framing.count_body(piece, self._payload.total_bytes)
        if self._answered:
            # The rest of the body is read and ignored.
            self._framing.held_bytes = 0
        if self._payload.is_eof():
            self._framing.end_request()
            self._end_request_if_answered()

    def _parse(self, piece: bytes) -> bool:
        """Parse a piece; return whether it has given a message or an error."""
        message_count = self._request_count
        super().data_received(piece)
        return self._request_count > message_count

    def _refuse_excess(self) -> None:
        in_head = self._framing.phase is framing.Phase.HEAD
        self._refuse(
            refusals.Reason.HEAD_TOO_LARGE
            if in_head
            else refusals.Reason.CHUNKS_TOO_LARGE
        )

    # The handler's side.

    async def read_body(
        self, request: web.BaseRequest
    ) -> bytearray | refusals.Reason:
        """Read the body of the current request.

        Args:
            request: The request.

        Returns:
            The body, or why the request is refused.
        """
        max_bytes = self._table.request_limits().max_body_bytes
        if (request.content_length or 0) > max_bytes:
            return refusals.Reason.BODY_TOO_LARGE
        body = bytearray()
        while True:
            chunk = await self.read_chunk(request)
            if isinstance(chunk, refusals.Reason):
                return chunk
            if not chunk:
                return body
            body += chunk
            if len(body) > max_bytes:
                return refusals.Reason.BODY_TOO_LARGE

    async def read_chunk(
        self, request: web.BaseRequest
    ) -> bytes | refusals.Reason:
        """Read what has arrived of the body of the current request.

        Args:
            request: The request.

        Returns:
            The bytes, which are empty at the end, or why the request is
            refused.
        """
        try:
            async with asyncio.timeout(None) as self._body_scope:
                if self._refusal is None:
                    return await request.content.readany()
        except TimeoutError:
            if self._refusal is None:
                # A time limit of the caller's, around this one.
                raise
        except (web.RequestPayloadError, ConnectionError):
            return self._refusal or refusals.Reason.DISCONNECTED
        finally:
            self._body_scope = None
        return self._refusal

    def reserve(self, count_bytes: int) -> bool:
        """Take memory for the work on the current request, until its end.

        Args:
            count_bytes: How much the work takes.

        Returns:
            Whether there is so much; nobody is cut off for it.
        """
        if not self._table.has_room(count_bytes):
            return False
        self._framing.held_bytes += count_bytes
        self._update_held_bytes()
        return True

    def release_body(self, count_bytes: int) -> None:
        """Record that the handler no longer keeps a part of the body.

        Args:
            count_bytes: Size of the part.
        """
        self._framing.held_bytes -= count_bytes
        self._update_held_bytes()

    def refuse(self, reason: refusals.Reason) -> web.Response:
        """Return the response to a request that a handler refuses.

        Args:
            reason: Why it is refused.
        """
        if reason is not self._refusal:
            self._table.count_cut_off(reason)
        return refusals.response(reason, self._table.request_limits())

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Send the response, and let the next request follow."""
        finished = await super().finish_response(request, resp, start_time)
        self._answered = True
        self._end_request_if_answered()
        return finished

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to a malformed request or after an error."""
        if status >= 500:
            return super().handle_error(request, status, exc, message)
        return self.refuse(refusals.Reason.MALFORMED)

    def _end_request_if_answered(self) -> None:
        if not self._answered or self._framing.phase is not framing.Phase.WHOLE:
            return
        self._has_been_served = True
        self._payload = None
        self._framing.start_head()
        self._pieces_on_arrival = 0 if self._unparsed else _PIECES_ON_ARRIVAL
        self.since_s = self._last_data_s = self._loop.time()
        self._update_held_bytes()
        self._wait_for_turn()

    # The table's side.

    def is_idle(self) -> bool:
        """Return whether its last request was answered, and none follows."""
        return (
            self._has_been_served
            and not self._framing.has_begun
            and not self._unparsed
        )

    def can_be_cut_off(self) -> bool:
        """Return whether this would cut off no request that is whole."""
        return (
            self._framing.phase is not framing.Phase.WHOLE
            or bool(self._unparsed)
            or self._write_paused_s is not None
        )

    def cut_off(self, reason: refusals.Reason) -> None:
        """Refuse what the client has begun, and release the memory.

        Args:
            reason: Why the client is cut off.
        """
        if self._state is _State.REFUSED:
            self._abort()
        elif self._write_paused_s is not None:
            self._table.count_cut_off(reason)
            self._abort()
        elif self._framing.phase is framing.Phase.WHOLE:
            # The request is answered; what follows it is ignored.
            self._table.count_cut_off(reason)
            self._drop_unparsed()
            self._update_held_bytes()
            self.close()
        else:
            self._refuse(reason)

    def check(self, now_s: float) -> None:
        """Cut the client off if it exceeds a time limit.

        A client is cut off only if nothing has come from it until the next
        check, since this process itself may have been late to read.

        Args:
            now_s: Current time of the event loop.
        """
        reason = self._exceeded(now_s)
        if reason is None:
            self._expired = False
        elif not self._expired:
            self._expired = True
        elif self._state is _State.REFUSED:
            self._abort()
        else:
            self.cut_off(reason)

    def _exceeded(self, now_s: float) -> refusals.Reason | None:
        limits = self._table.request_limits()
        idle_s = limits.idle_timeout_ms / 1_000
        if self._state is _State.REFUSED:
            expired = now_s - self.since_s >= _LINGERING_S
            return refusals.Reason.IDLE if expired else None
        if self._write_paused_s is not None:
            expired = now_s - self._write_paused_s >= idle_s
            return refusals.Reason.UNREAD_RESPONSE if expired else None
        if self._unparsed or self._framing.phase is framing.Phase.WHOLE:
            return None
        if self._framing.phase is framing.Phase.BODY:
            expired = now_s - self._last_data_s >= idle_s
            return refusals.Reason.BODY_TIMEOUT if expired else None
        if self._framing.has_begun:
            expired = now_s - self.since_s >= limits.header_timeout_ms / 1_000
            return refusals.Reason.HEAD_TIMEOUT if expired else None
        expired = now_s - self.since_s >= idle_s + _IDLE_MARGIN_S
        return refusals.Reason.IDLE if expired else None

    # Cutting off.

    def _refuse(self, reason: refusals.Reason) -> None:
        """Refuse a request that is not whole."""
        self._table.count_cut_off(reason)
        phase = self._framing.phase
        self._ignore_rest()
        if phase is framing.Phase.BODY and not self._answered:
            # The handler sends the response.
            self._refusal = reason
            if self._body_scope is not None:
                self._body_scope.reschedule(self._loop.time())
            return
        if (
            phase is framing.Phase.HEAD
            and self.transport is not None
            and self._framing.has_begun
            and refusals.has_response(reason)
        ):
            limits = self._table.request_limits()
            self.transport.write(refusals.encode(reason, limits))
            self.transport.write_eof()
            return
        self._abort()

    def _ignore_rest(self) -> None:
        self._state = _State.REFUSED
        self._drop_unparsed()
        # What the parser and the body keep is released with them.
        self._parser = None
        self._payload = None
        self.since_s = self._loop.time()
        self._framing.held_bytes = 0
        self._update_held_bytes()
        self._resume_transport_reading()

    def _abort(self) -> None:
        if self._state is _State.CLOSED:
            return
        self._state = _State.CLOSED
        self._drop_unparsed()
        self._table.remove(self)
        if self.transport is not None:
            self.transport.abort()

    def _update_held_bytes(self) -> None:
        if self._state is _State.CLOSED:
            return
        held_bytes = _CONNECTION_BYTES + self._framing.held_bytes
        # As much may wait in the kernel while the connection is not read.
        held_bytes += 2 * len(self._unparsed)
        if self._write_paused_s is not None:
            held_bytes += _WRITE_BUFFER_BYTES
        self._table.hold(self, held_bytes)
