"""Reading of requests within limits, with a yield now and then.

The request body of pywsgi reads chunk lines and trailers byte by byte and
without end. A read of buffered or waiting data doesn't yield to other
greenlets, so that one such client stopped the process. This module reads whole
lines of limited length, and yields after a fixed number of bytes.
"""

import io
import re
import time
from typing import Any

import gevent

from chervilcove.core import errors
from chervilcove.core import web_connections
from chervilcove.core import web_limits

PIECE_BYTES = 16_384
# Copying so much takes some 10 us, a yield as long. Chunk lines cost more; 256
# of them take about 1 ms.
YIELD_BYTES = 262_144
YIELD_LINES = 256
MAX_LINE_BYTES = 8_192  # as for request lines
# A refused client can read its refusal only after it has sent its body.
MAX_SKIPPED_BYTES = 1024 * 1024
# Chunk lines: 16 digits, a line end, and any extension.
_SIZE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r\n]*)?\r\n")
_TRAILER = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[^\r\n]*\r\n")


class SocketReader(io.RawIOBase):
    """Raw stream of a connection's socket that yields now and then.

    Args:
        connection: The connection.
    """

    def __init__(self, *, connection: web_connections.Connection):
        super().__init__()
        self._connection = connection
        self._sock = connection.sock
        self._left = YIELD_BYTES

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: Any) -> int:
        """Read into `buffer`; return the bytes read, 0 at the end."""
        connection = self._connection
        if connection.is_closing:
            return 0
        size = self._sock.recv_into(buffer)
        connection.reads += 1
        if connection.phase <= web_connections.KEPT:
            connection.phase = web_connections.HEAD
            connection.since = time.monotonic()
        self._left -= size
        if self._left <= 0:
            self._left = YIELD_BYTES
            gevent.sleep(0)
        return size


class HeadReader:
    """Reader of header lines that are limited together.

    Args:
        stream: Stream to read from.
        max_bytes: Limit of all lines.
    """

    def __init__(self, *, stream: io.BufferedReader, max_bytes: int):
        self._stream = stream
        self._left = max_bytes

    def readline(self, _size: int = -1) -> bytes:
        """Return the next line.

        Raises:
            HeadTooLargeError: The lines exceed the limit.
        """
        line = self._stream.readline(self._left + 1)
        self._left -= len(line)
        if self._left < 0:
            raise HeadTooLargeError
        return line


class HeadTooLargeError(ValueError):
    """The head of a request exceeds its limit."""


class BodyError(Exception):
    """A body can't be read.

    Args:
        kind: Error kind of the refusal.
        reason: Explanation for people.
        counter: Reason in counters and the log.
        size: Size of a body that is too large, 0 of others.
    """

    def __init__(
        self, *, kind: errors.Kind, reason: str, counter: str, size: int = 0
    ):
        super().__init__(reason)
        self.size = size
        self.kind = kind
        self.reason = reason
        self.counter = counter


class Body:
    """Body of one request.

    Args:
        stream: Stream to read from.
        length: Announced length, None if none was announced.
        is_chunked: Whether it comes in chunks.
        is_expected: Whether the client waits for leave to send it.
        connection: Its connection.
        table: Table that counts its bytes.

    Attributes:
        is_complete: Whether the next request follows in the stream.
    """

    __slots__ = (
        "_is_expected",
        "_left",
        "_line_count",
        "_stream",
        "_table",
        "connection",
        "is_chunked",
        "is_complete",
        "length",
    )

    def __init__(
        self,
        *,
        stream: io.BufferedReader,
        length: int | None,
        is_chunked: bool,
        is_expected: bool,
        connection: web_connections.Connection,
        table: web_connections.ConnectionTable,
    ):
        self.length = length or 0
        self.is_chunked = is_chunked
        self.is_complete = not is_chunked and not length
        self.connection = connection
        self._is_expected = is_expected
        self._left = self.length
        self._line_count = 0
        self._stream = stream
        self._table = table

    @property
    def must_close(self) -> bool:
        """Return whether no other request can follow on the connection."""
        return not self.is_complete and (
            self.is_chunked
            or self._is_expected
            or self._left > MAX_SKIPPED_BYTES
        )

    def read(self, limits: web_limits.Limits) -> bytes:
        """Return the complete body.

        Raises:
            BodyError: It is malformed or too large, or there is no room.
            OSError: The connection failed.
        """
        if self.is_complete:
            return b""
        if self.length > limits.max_body_bytes:
            raise _refuse_size(self.length, limits.max_body_bytes)
        if self._is_expected:
            self._is_expected = False
            self.connection.sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
        if self.is_chunked:
            body = self._read_chunks(limits)
        elif self.length <= PIECE_BYTES:
            body = self._stream.read(self.length)
            self._left -= len(body)
        else:
            content = bytearray()
            self._take(content, self.length)
            body = bytes(content)
        if not self.is_chunked and self._left:
            raise _refuse_malformed("body is shorter than Content-Length")
        self.is_complete = True
        return body

    def _discard(self) -> None:
        """Drop the rest of the body after the response, within limits.

        pywsgi calls it. A client that is still sending would otherwise lose
        the response to a reset connection.
        """
        if self.is_complete or self._is_expected:
            return
        if not self.is_chunked and self._left > MAX_SKIPPED_BYTES:
            return
        connection = self.connection
        connection.phase = web_connections.BODY
        left = MAX_SKIPPED_BYTES if self.is_chunked else self._left
        while left > 0:
            content = self._stream.read1(min(PIECE_BYTES, left))
            if not content:
                return
            left -= len(content)
        self.is_complete = not self.is_chunked

    def _take(self, content: bytearray, size: int) -> None:
        """Add the next `size` bytes to `content`."""
        while size > 0:
            piece = self._stream.read1(min(4 * PIECE_BYTES, size))
            if not piece:
                raise _refuse_malformed("body is shorter than announced")
            if not self._table.hold(self.connection, len(piece)):
                raise BodyError(
                    kind=errors.Kind.BUSY,
                    reason="too many bodies are being read",
                    counter="body_room",
                )
            content += piece
            size -= len(piece)
            self._left -= len(piece)

    def _read_chunks(self, limits: web_limits.Limits) -> bytes:
        content = bytearray()
        framing = limits.max_framing_bytes
        while True:
            line, framing = self._read_line(framing)
            match = _SIZE.fullmatch(line)
            if match is None:
                raise _refuse_malformed("a chunk has no valid size")
            size = int(match[1], 16)
            if not size:
                break
            if len(content) + size > limits.max_body_bytes:
                raise _refuse_size(len(content) + size, limits.max_body_bytes)
            self._take(content, size)
            end, framing = self._read_line(framing)
            if end != b"\r\n":
                raise _refuse_malformed("a chunk is longer than its size")
        while line != b"\r\n":
            line, framing = self._read_line(framing)
            if line != b"\r\n" and not _TRAILER.fullmatch(line):
                raise _refuse_malformed("a trailer is not valid")
        return bytes(content)

    def _read_line(self, left: int) -> tuple[bytes, int]:
        """Return the next line and the bytes left for others."""
        limit = min(left, MAX_LINE_BYTES)
        line = self._stream.readline(limit + 1)
        self._line_count += 1
        if self._line_count % YIELD_LINES == 0:
            gevent.sleep(0)
        if len(line) > limit:
            raise BodyError(
                kind=errors.Kind.TOO_LARGE,
                reason="chunk lines and trailers exceed their limit",
                counter="framing_size",
            )
        if not line.endswith(b"\r\n"):
            raise _refuse_malformed("a line of a chunked body has no end")
        return line, left - len(line)


def _refuse_size(size: int, limit: int) -> BodyError:
    return BodyError(
        kind=errors.Kind.TOO_LARGE,
        reason=f"body of {size} bytes exceeds the limit of {limit} bytes",
        counter="body_size",
        size=size,
    )


def _refuse_malformed(reason: str) -> BodyError:
    return BodyError(
        kind=errors.Kind.MALFORMED, reason=reason, counter="malformed"
    )
