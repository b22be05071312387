"""HTTP calls to one peer, each tried once, with a typed outcome.

The library's own `request` repeats a request on a stale connection, which
would run non-idempotent work twice; `HttpPeer` uses the library's pool,
request builder and response parser but sends each request exactly once.
A connection that saw any failure is closed and never reused, so that a late
answer cannot reach another request.
"""

from collections.abc import Callable
import select
import time
from typing import Any
from typing import NamedTuple

import gevent
from gevent import socket as gevent_socket
import geventhttpclient
from geventhttpclient import connectionpool
from geventhttpclient import response as http_response
import msgspec

from chervilcove.core import errors

MAX_RESPONSE_BYTES = 64 * 1024 * 1024


class Reply(NamedTuple):
    """Hold a whole HTTP answer.

    Attributes:
        status: HTTP status code.
        headers: Header fields, names in lower case.
        body: The whole body.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    def decode(self) -> Any:
        """Return the JSON body, or a refusal of kind `BAD_ANSWER`."""
        return decode_json(self.body, kind=errors.Kind.BAD_ANSWER)


def read_reply(reply: Reply) -> Any:
    """Return the JSON value of `reply`, or the refusal that it carries."""
    decoded = reply.decode()
    if reply.status >= 400:
        return _read_refusal(reply.status, decoded)
    return decoded


def decode_json(body: bytes, *, kind: errors.Kind) -> Any:
    """Return the value in `body`, or a refusal of `kind`."""
    try:
        return msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return errors.refuse(kind, f"body is not JSON: {error}")


class _Pool(connectionpool.ConnectionPool):
    """Check idle connections by poll(2), which has no limit of 1,024.

    A connection idle for longer than `max_idle_s` is closed instead of
    reused: something between the two ends may have lost track of it.
    """

    def __init__(self, *args: Any, max_idle_s: float, **options: Any):
        super().__init__(*args, **options)
        self._max_idle_s = max_idle_s
        self._idle_since: dict[gevent_socket.socket, float] = {}

    def return_socket(self, sock: gevent_socket.socket) -> None:
        self._idle_since[sock] = time.monotonic()
        super().return_socket(sock)

    def drop_idle(self) -> None:
        while not self._socket_queue.empty():
            sock = self._socket_queue.get(block=False)
            self._idle_since.pop(sock, None)
            sock.close()

    def close(self) -> None:
        self.drop_idle()
        super().close()

    def _is_socket_alive(self, sock: gevent_socket.socket) -> bool:
        idle_s = time.monotonic() - self._idle_since.pop(sock, 0.0)
        if idle_s > self._max_idle_s or sock.fileno() < 0:
            return False
        poller = select.poll()
        poller.register(sock.fileno(), select.POLLIN)
        return not poller.poll(0)

    def after_connect(self, sock: gevent_socket.socket) -> None:
        sock.setsockopt(gevent_socket.IPPROTO_TCP, gevent_socket.TCP_NODELAY, 1)


class _SocketResponse(http_response.HTTPSocketResponse):
    """Read one answer, bounded, and leave the socket to the caller."""

    def __init__(self, sock: gevent_socket.socket, *, method: str):
        self._is_response_complete = False
        super().__init__(sock, method=method)

    def release(self) -> None:
        """Do nothing: `HttpPeer` decides about the connection."""

    def _on_message_begin(self) -> None:
        if self._is_response_complete:
            raise http_response.HTTPProtocolViolationError(
                "bytes after the answer"
            )
        super()._on_message_begin()

    def _on_message_complete(self) -> None:
        super()._on_message_complete()
        self._is_response_complete = self.get_code() >= 200

    def _on_body(self, buf: bytearray) -> None:
        super()._on_body(buf)
        if len(self._body_buffer) > MAX_RESPONSE_BYTES:
            raise http_response.HTTPProtocolViolationError("answer too large")


class HttpPeer:
    """Call one address over a pool of kept connections.

    Args:
        host: IP number.
        port: TCP port.
        connections: Most connections at one time.
        connect_timeout_s: Time allowed to connect, in seconds.
        max_idle_s: Connections idle for longer are not reused, in seconds.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        connections: int = 8,
        connect_timeout_s: float = 1.0,
        max_idle_s: float = 60.0,
    ):
        self._client = geventhttpclient.HTTPClient(host, port=port)
        self._pool = _Pool(
            host,
            port,
            host,
            port,
            size=connections,
            disable_ipv6=True,
            connection_timeout=connect_timeout_s,
            network_timeout=None,  # the deadline of each call bounds it
            max_idle_s=max_idle_s,
        )

    def close(self) -> None:
        """Close all idle connections, for good."""
        self._pool.close()

    def drop_idle(self) -> None:
        """Close all idle connections; later calls open fresh ones."""
        self._pool.drop_idle()

    def call(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout_s: float = 5.0,
        accept: Callable[[Reply], errors.Refusal | None] | None = None,
    ) -> Reply | errors.Refusal:
        """Send one request and return the whole answer.

        Args:
            method: HTTP method.
            path: Path with query.
            body: Content to send.
            headers: Header fields.
            timeout_s: Time allowed for all of it, in seconds.
            accept: Checks the answer before its connection may be reused;
                a refusal that it returns closes the connection and becomes
                the outcome.

        Returns:
            A reply; or a refusal: `CONNECT_FAILED` where nothing was sent,
            `OUTCOME_UNKNOWN` where the request was sent and no answer came,
            `BAD_ANSWER` where the answer was cut or not HTTP.
        """
        head = self._client._build_request(
            method, path, body=body, headers=headers or {}
        )
        content = head.encode("latin-1") + body
        deadline = gevent.Timeout.start_new(timeout_s)
        sock = None
        try:
            sock = self._pool.get_socket()
        except gevent.Timeout as expired:
            if expired is not deadline:
                raise
            return _refuse_connect("time-out")
        except (OSError, RuntimeError) as error:
            return _refuse_connect(str(error))
        finally:
            if sock is None:
                deadline.close()
        try:
            return self._exchange(sock, method, content, accept)
        except gevent.Timeout as expired:
            if expired is not deadline:
                raise
            return errors.refuse(
                errors.Kind.OUTCOME_UNKNOWN, "no answer before the time-out"
            )
        finally:
            deadline.close()

    def call_json(
        self, method: str, path: str, value: Any = None, **options: Any
    ) -> Any:
        """Send `value` as JSON; return the decoded body or a refusal.

        An answer with a status of 400 or more becomes the refusal that its
        body names, or `PEER_REFUSED`.
        """
        body = b"" if value is None else msgspec.json.encode(value)
        reply = self.call(method, path, body=body, **options)
        if errors.is_refusal(reply):
            return reply
        return read_reply(reply)

    def _exchange(
        self,
        sock: gevent_socket.socket,
        method: str,
        content: bytes,
        accept: Callable[[Reply], errors.Refusal | None] | None,
    ) -> Reply | errors.Refusal:
        is_reusable = False
        try:
            sock.sendall(content)
            answer = _SocketResponse(sock, method=method)
            body = bytes(answer.read())
            reply = Reply(answer.get_code(), _read_headers(answer), body)
            refusal = accept(reply) if accept is not None else None
            is_reusable = refusal is None and not answer.should_close()
            return reply if refusal is None else refusal
        except (http_response.HTTPConnectionClosed, OSError) as error:
            return errors.refuse(errors.Kind.OUTCOME_UNKNOWN, str(error))
        except http_response.HTTPParseError as error:
            return errors.refuse(errors.Kind.BAD_ANSWER, str(error))
        finally:
            if is_reusable:
                self._pool.return_socket(sock)
            else:
                self._pool.release_socket(sock)


def _read_headers(answer: _SocketResponse) -> dict[str, str]:
    return {str(name).lower(): str(text) for name, text in answer.items()}


def _refuse_connect(reason: str) -> errors.Refusal:
    return errors.refuse(errors.Kind.CONNECT_FAILED, f"connect: {reason}")


def _read_refusal(status: int, decoded: Any) -> errors.Refusal:
    if isinstance(decoded, dict) and "error" in decoded:
        try:
            kind = errors.Kind(decoded["error"])
        except ValueError:
            kind = errors.Kind.PEER_REFUSED
        return errors.Refusal(
            kind, str(decoded.get("reason", "")), decoded.get("detail") or {}
        )
    return errors.refuse(
        errors.Kind.PEER_REFUSED, f"status {status}", status=status
    )
