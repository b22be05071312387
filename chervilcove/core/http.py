"""HTTP client for one peer, without retries and with typed outcomes.

`geventhttpclient` resends a request if a kept connection turns out to be
stale, which could run non-idempotent work twice. `HttpPeer` uses the
library's connection pool, request builder and response parser, but sends each
request at most once. A connection is closed after any failure and never
reused, so that a late response can't be taken for the one to another request.
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
from geventhttpclient import header
from geventhttpclient import response as http_response
import msgspec

from chervilcove.core import errors
from chervilcove.core import traffic as traffic_values

MAX_RESPONSE_BYTES = 64 * 1024 * 1024


class Reply(NamedTuple):
    """Complete HTTP response.

    Attributes:
        status: HTTP status code.
        headers: Header fields, names in lower case.
        body: Complete body.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    def decode(self) -> Any:
        """Return the decoded JSON body, or a refusal of kind `BAD_ANSWER`."""
        return decode_json(self.body, kind=errors.Kind.BAD_ANSWER)


def read_reply(reply: Reply) -> Any:
    """Return the decoded JSON body of `reply`, or the refusal in it."""
    decoded = reply.decode()
    if reply.status >= 400:
        return _read_refusal(reply.status, decoded)
    return decoded


def decode_json(body: bytes, *, kind: errors.Kind) -> Any:
    """Return the decoded JSON value in `body`, or a refusal of `kind`."""
    try:
        return msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return errors.refuse(kind, f"body is not JSON: {error}")


class _Pool(connectionpool.ConnectionPool):
    """Connection pool that discards connections that were idle too long.

    A network device between the two ends may have dropped the state of a
    connection that was idle for longer than `max_idle_s`. Idle connections
    are checked with poll(2) because select(2) fails for file descriptors
    above 1,023.
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
    """Response parser with a size limit that doesn't release its socket."""

    def __init__(self, sock: gevent_socket.socket, *, method: str):
        self._is_response_complete = False
        super().__init__(sock, method=method)

    def release(self) -> None:
        """Do nothing; `HttpPeer` reuses or closes the connection."""

    def _on_message_begin(self) -> None:
        if self._is_response_complete:
            raise http_response.HTTPProtocolViolationError(
                "data after the end of the response"
            )
        super()._on_message_begin()

    def _on_message_complete(self) -> None:
        super()._on_message_complete()
        self._is_response_complete = self.get_code() >= 200

    def _on_body(self, buf: bytearray) -> None:
        super()._on_body(buf)
        if len(self._body_buffer) > MAX_RESPONSE_BYTES:
            raise http_response.HTTPProtocolViolationError("response too large")


class _RequestBuilder(geventhttpclient.HTTPClient):
    """Builder of requests without header fields that no peer reads."""

    DEFAULT_HEADERS = header.Headers()


class HttpPeer:
    """HTTP client for one address with a pool of persistent connections.

    Args:
        host: IP address.
        port: TCP port.
        connections: Maximum number of concurrent connections.
        connect_timeout_s: Timeout of a connection attempt in seconds.
        max_idle_s: Idle time in seconds after which a connection is no longer
            reused.
        traffic: Counts the bytes of the calls, None for nothing.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        connections: int = 8,
        connect_timeout_s: float = 1.0,
        max_idle_s: float = 60.0,
        traffic: traffic_values.Traffic | None = None,
    ):
        self._traffic = traffic
        self._client = _RequestBuilder(host, port=port)
        self._pool = _Pool(
            host,
            port,
            host,
            port,
            size=connections,
            disable_ipv6=True,
            connection_timeout=connect_timeout_s,
            network_timeout=None,  # `call` applies its own timeout
            max_idle_s=max_idle_s,
        )

    def close(self) -> None:
        """Close all idle connections and the pool."""
        self._pool.close()

    def set_connect_timeout(self, timeout_s: float) -> None:
        """Set the timeout of connection attempts from now on, in seconds."""
        self._pool.connection_timeout = timeout_s

    def drop_idle(self) -> None:
        """Close all idle connections; later calls open new ones."""
        self._pool.drop_idle()

    def call(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout_s: float = 5.0,
        limit_s: float | None = None,
        accept: Callable[[Reply], errors.Refusal | None] | None = None,
        name: str = "other",
    ) -> Reply | errors.Refusal:
        """Send one request and return the complete response.

        Args:
            method: HTTP method.
            path: Path with query.
            body: Request body.
            headers: Header fields.
            timeout_s: Timeout of the whole call, connecting included, in
                seconds; with `limit_s`, longest time without a byte of the
                response.
            limit_s: Timeout of the whole call in seconds, for a response that
                may be large. None for `timeout_s`.
            accept: Checks the response before its connection may be reused.
                If it returns a refusal, the connection is closed and the
                refusal is returned.
            name: Name of the call in the counters of traffic.

        Returns:
            The reply; or a refusal: `CONNECT_FAILED` if nothing was sent,
            `OUTCOME_UNKNOWN` if the request may have been sent but no
            response arrived, `BAD_ANSWER` if the response was truncated or
            isn't valid HTTP.
        """
        head = self._client._build_request(
            method, path, body=body, headers=headers or {}
        )
        content = head.encode("latin-1") + body
        deadline = gevent.Timeout.start_new(limit_s or timeout_s)
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
            if limit_s is not None:
                sock.settimeout(timeout_s)
            return self._exchange(sock, method, content, accept, name)
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
        """Send `value` as JSON and return the decoded body, or a refusal.

        A response with a status of 400 or more becomes the refusal described
        in its body, or `PEER_REFUSED` if the body describes none.
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
        name: str,
    ) -> Reply | errors.Refusal:
        is_reusable = False
        began = time.monotonic()
        sent_at = None
        received = 0
        try:
            sock.sendall(content)
            sent_at = time.monotonic()
            response = _SocketResponse(sock, method=method)
            body = bytes(response.read())
            reply = Reply(response.get_code(), _read_headers(response), body)
            received = _measure(reply)
            refusal = accept(reply) if accept is not None else None
            is_reusable = refusal is None and not response.should_close()
            return reply if refusal is None else refusal
        except (http_response.HTTPConnectionClosed, OSError) as error:
            return errors.refuse(errors.Kind.OUTCOME_UNKNOWN, str(error))
        except http_response.HTTPParseError as error:
            return errors.refuse(errors.Kind.BAD_ANSWER, str(error))
        finally:
            if self._traffic is not None:
                self._traffic.record_call(
                    name,
                    sent=len(content),
                    received=received,
                    send_wait_s=(sent_at or time.monotonic()) - began,
                )
            if is_reusable:
                sock.settimeout(None)
                self._pool.return_socket(sock)
            else:
                self._pool.release_socket(sock)


def _read_headers(response: _SocketResponse) -> dict[str, str]:
    return {str(name).lower(): str(text) for name, text in response.items()}


def _measure(reply: Reply) -> int:
    """Return the size of a response in bytes, all but its status line."""
    return len(reply.body) + sum(
        len(name) + len(text) + len(": \r\n")
        for name, text in reply.headers.items()
    )


def _refuse_connect(reason: str) -> errors.Refusal:
    return errors.refuse(
        errors.Kind.CONNECT_FAILED, f"connection failed: {reason}"
    )


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
        errors.Kind.PEER_REFUSED,
        f"peer answered with status {status}",
        status=status,
    )
