"""Streams of msgpack values between processes of the system."""

import time
from typing import Any

from gevent import socket as gevent_socket
import msgpack

from chervilcove.core import errors

MAX_FRAME_BYTES = 4 * 1024 * 1024
MAX_RECEIVE_BYTES = 64 * 1024

# msgpack raises TypeError for a map whose key is a map or a list.
_DECODE_ERRORS = (
    ValueError,
    TypeError,
    msgpack.UnpackException,
    RecursionError,
)


def encode(value: Any) -> bytes:
    """Return `value` encoded as msgpack."""
    return msgpack.packb(value, use_bin_type=True)


def decode(content: bytes) -> Any:
    """Return the msgpack value in `content`, or a `MALFORMED` refusal."""
    try:
        return msgpack.unpackb(content, raw=False, strict_map_key=False)
    except (
        ValueError,
        TypeError,
        msgpack.UnpackException,
        RecursionError,
    ) as error:
        return errors.refuse(
            errors.Kind.MALFORMED, f"not valid msgpack: {error}"
        )


class FrameReader:
    """Incremental decoder of a stream of msgpack values.

    Args:
        max_frame_bytes: Size limit of one value and of buffered data.
    """

    def __init__(self, *, max_frame_bytes: int = MAX_FRAME_BYTES):
        self._unpacker = msgpack.Unpacker(
            raw=False, max_buffer_size=max_frame_bytes, strict_map_key=False
        )

    def feed(self, content: bytes) -> list[Any] | errors.Refusal:
        """Add `content` and return the values that it completes.

        After a refusal the stream can't be decoded any further.
        """
        try:
            self._unpacker.feed(content)
            return list(self._unpacker)
        except msgpack.BufferFull:
            return errors.refuse(
                errors.Kind.TOO_LARGE, "value exceeds the size limit"
            )
        except _DECODE_ERRORS as error:
            return errors.refuse(
                errors.Kind.MALFORMED, f"not valid msgpack in stream: {error}"
            )


class FrameStream:
    """Sender and receiver of msgpack values on one connected socket.

    Args:
        sock: The socket.
        max_frame_bytes: Size limit of one received value.

    Attributes:
        sent_bytes: Bytes sent so far.
        received_bytes: Bytes received so far.
    """

    def __init__(
        self,
        *,
        sock: gevent_socket.socket,
        max_frame_bytes: int = MAX_FRAME_BYTES,
    ):
        self.sent_bytes = 0
        self.received_bytes = 0
        self._sock = sock
        self._reader = FrameReader(max_frame_bytes=max_frame_bytes)
        self._received: list[Any] = []

    def send(self, value: Any) -> errors.Refusal | None:
        """Send `value`; return a refusal if the connection fails."""
        content = encode(value)
        try:
            self._sock.sendall(content)
            self.sent_bytes += len(content)
        except OSError as error:
            return errors.refuse(errors.Kind.OUTCOME_UNKNOWN, str(error))
        return None

    def receive(self, *, timeout_s: float | None) -> Any | errors.Refusal:
        """Return the next value, or a refusal.

        Args:
            timeout_s: Timeout of the whole value in seconds, None to wait
                forever.

        Returns:
            The value; or `OUTCOME_UNKNOWN` if the connection failed, was
            closed or timed out; or the refusal to decode the stream.
        """
        deadline = None
        if timeout_s is not None:
            deadline = time.monotonic() + timeout_s
        while not self._received:
            left_s = None
            if deadline is not None:
                left_s = max(0.0, deadline - time.monotonic())
            try:
                self._sock.settimeout(left_s)
                content = self._sock.recv(MAX_RECEIVE_BYTES)
            except OSError as error:
                return errors.refuse(errors.Kind.OUTCOME_UNKNOWN, str(error))
            if not content:
                return errors.refuse(
                    errors.Kind.OUTCOME_UNKNOWN, "connection closed by the peer"
                )
            self.received_bytes += len(content)
            values = self._reader.feed(content)
            if errors.is_refusal(values):
                return values
            self._received.extend(values)
        return self._received.pop(0)

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()
