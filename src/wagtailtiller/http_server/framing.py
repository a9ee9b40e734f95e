"""Divides the bytes of a connection into pieces that a parser may take.

The parser finds out what the bytes mean. A piece never reaches beyond the end
of a head or a body, so that the size of each is known exactly, however the
bytes arrive.
"""

import enum

# Bytes that are parsed at once, which bounds how long it takes.
PIECE_BYTES = 4_096
# Memory that a parsed header field takes in addition to its bytes.
_FIELD_BYTES = 400
_BLANK_LINE = b"\r\n\r\n"
_LINE_END = b"\r\n"


class Phase(enum.Enum):
    """What the next bytes of a connection belong to."""

    HEAD = "head"
    BODY = "body"
    # The request is whole. Later bytes belong to the next one, which waits for
    # the end of this one.
    WHOLE = "whole"


class Framing:
    """Counts the bytes of the current request of one connection.

    Attributes:
        phase: What the next bytes belong to.
        held_bytes: Memory that the parsed part of the request takes.
    """

    __slots__ = (
        "phase",
        "held_bytes",
        "_head_bytes",
        "_has_line",
        "_last_bytes",
        "_body_left_bytes",
        "_body_bytes",
        "_chunk_bytes",
        "_chunk_held_bytes",
    )

    def __init__(self) -> None:
        self.start_head()

    @property
    def has_begun(self) -> bool:
        """Whether a byte of the request has been parsed."""
        return self.phase is not Phase.HEAD or self._head_bytes > 0

    def start_head(self) -> None:
        """Begin the next request."""
        self.phase = Phase.HEAD
        self.held_bytes = 0
        self._head_bytes = 0
        # Whether the request line has begun.
        self._has_line = False
        self._last_bytes = b""
        # Bytes that follow in a body without chunks; None in one with chunks.
        self._body_left_bytes: int | None = None
        self._body_bytes = 0
        # Bytes of a body with chunks since its latest content, without line
        # ends.
        self._chunk_bytes = 0
        self._chunk_held_bytes = 0

    def start_body(self, length_bytes: int | None) -> None:
        """Begin the body of the request.

        Args:
            length_bytes: Size of the body; None if it consists of chunks.
        """
        self.phase = Phase.BODY
        self._body_left_bytes = length_bytes

    def end_request(self) -> None:
        """Record that the request is whole."""
        self.phase = Phase.WHOLE

    def is_excessive(self, max_header_bytes: int) -> bool:
        """Return whether the head or the framing of chunks is too large.

        Args:
            max_header_bytes: Largest head. Chunk extensions and trailers
                together have the same limit between two bytes of content.
        """
        if self.phase is Phase.HEAD:
            return self._head_bytes >= max_header_bytes
        return self._chunk_bytes > max_header_bytes

    def piece_bytes(self, data: bytes, max_header_bytes: int) -> int:
        """Return how many bytes the parser may take next, at least one.

        Args:
            data: The next bytes, from one to ``PIECE_BYTES``.
            max_header_bytes: Largest head.
        """
        size = len(data)
        if self.phase is Phase.HEAD:
            size = min(size, max_header_bytes - self._head_bytes)
            return self._end_of_blank_line(data[:size])
        if self._body_left_bytes is not None:
            return max(min(size, self._body_left_bytes), 1)
        if not self._chunk_bytes and not _may_end_chunks(data):
            return size
        line_end = data.find(b"\n")
        return size if line_end < 0 else line_end + 1

    def count_head(self, piece: bytes) -> None:
        """Count a piece of the head.

        Args:
            piece: The bytes that the parser has taken.
        """
        self._head_bytes += len(piece)
        line = piece if self._has_line else piece.lstrip(_LINE_END)
        if not line:
            return
        self._has_line = True
        self.held_bytes += _parsed_bytes(line)
        self._last_bytes = (self._last_bytes + line)[1 - len(_BLANK_LINE) :]

    def count_body(self, piece: bytes, body_bytes: int) -> None:
        """Count a piece of the body.

        Args:
            piece: The bytes that the parser has taken.
            body_bytes: All content that it has found in the body.
        """
        if self._body_left_bytes is not None:
            self._body_left_bytes -= len(piece)
        if body_bytes > self._body_bytes:
            self.held_bytes += body_bytes - self._body_bytes
            self.held_bytes -= self._chunk_held_bytes
            self._body_bytes = body_bytes
            self._chunk_bytes = 0
            self._chunk_held_bytes = 0
            return
        self._chunk_bytes += len(piece.translate(None, _LINE_END))
        # What looks like the size of a chunk may be a field of the trailers.
        held_bytes = _parsed_bytes(piece)
        self._chunk_held_bytes += held_bytes
        self.held_bytes += held_bytes

    def _end_of_blank_line(self, data: bytes) -> int:
        """Return the end of the first blank line, or of the data."""
        # Empty lines before a request are no end of it.
        line = data if self._has_line else data.lstrip(_LINE_END)
        position = (self._last_bytes + line).find(_BLANK_LINE)
        if position < 0:
            return len(data)
        end = position + len(_BLANK_LINE) - len(self._last_bytes)
        return len(data) - len(line) + end


def _may_end_chunks(data: bytes) -> bool:
    """Return whether the last chunk or a chunk extension may begin here."""
    return data.startswith(b"0") or b"\n0" in data or b";" in data


def _parsed_bytes(piece: bytes) -> int:
    """Return the memory that the header fields in a piece take."""
    return len(piece) + piece.count(b"\n") * _FIELD_BYTES
