"""HTTP server with a routing table, on gevent's WSGI server."""

from collections.abc import Callable
from collections.abc import Iterator
import re
import socket
from typing import Any
from typing import NamedTuple
from urllib import parse

from gevent import event
from gevent import socket as gevent_socket
import msgspec

from chervilcove.core import error_responses
from chervilcove.core import errors
from chervilcove.core import http
from chervilcove.core import logs
from chervilcove.core import metrics as metric_values
from chervilcove.core import traffic as traffic_values
from chervilcove.core import web_connections
from chervilcove.core import web_handler
from chervilcove.core import web_input
from chervilcove.core import web_limits

MAX_BODY_BYTES = 8 * 1024 * 1024
# Processes of the system keep idle connections to each other for up to 60 s.
KEEP_S = 75.0
DEFAULT_CAPACITY = web_limits.Capacity()
MAX_LOGGED_PATH = 200
_BODY_SIZE = "chervilcove.body_size"  # key of the environment of a request
_REASON_PHRASES = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class WebRequest(NamedTuple):
    """HTTP request, as handlers get it.

    Attributes:
        method: HTTP method.
        path: Path without the query.
        parts: Path parameters by name.
        query: Query parameters; the last value of each name.
        headers: Header fields, names in lower case.
        body: Complete body.
    """

    method: str
    path: str
    parts: dict[str, str]
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def decode(self) -> Any:
        """Return the decoded JSON body, or a refusal of kind `MALFORMED`."""
        return http.decode_json(self.body, kind=errors.Kind.MALFORMED)


class WebResponse(NamedTuple):
    """HTTP response, as a handler may return it."""

    status: int
    body: bytes
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()


Handler = Callable[[WebRequest], Any]


class WebServer:
    """HTTP server for a table of routes on one address.

    A handler returns a `WebResponse`, a refusal, or a value to send as JSON.

    Args:
        host: IP address to listen on.
        port: TCP port, 0 for any free port.
        max_body_bytes: Size limit of request bodies. A body declared larger
            is refused without being read.
        name: Name of the port in the log.
        capacity: What all connections together may hold.
        metrics: Receiver of counters of refused clients, None for none.
        listener: Listening socket to accept connections from instead of a
            new one at `host` and `port`; the server closes it.
        traffic: Counts the bytes of the requests, None for nothing.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int = 0,
        max_body_bytes: int = MAX_BODY_BYTES,
        name: str = "",
        capacity: web_limits.Capacity = DEFAULT_CAPACITY,
        metrics: metric_values.Metrics | None = None,
        listener: socket.socket | None = None,
        traffic: traffic_values.Traffic | None = None,
    ):
        self._traffic = traffic
        self._log = logs.Log(source="web")
        self._routes: list[tuple[str, re.Pattern[str], Handler]] = []
        self._table = web_connections.ConnectionTable(
            name=name,
            limits=web_limits.Limits(
                max_body_bytes=max_body_bytes, keep_s=KEEP_S
            ),
            capacity=capacity,
            metrics=metrics,
        )
        self._refuse_size: Callable[[int, str], errors.Refusal | None] = (
            lambda _size, _path: None
        )
        self._open_request_count = 0
        self._is_draining = False
        self._is_idle = event.Event()
        self._is_idle.set()
        self._server = web_handler.LimitedServer(
            (host, port) if listener is None else _adopt_listener(listener),
            self._serve,
            table=self._table,
        )
        self.host = host

    @property
    def name(self) -> str:
        """Return the name of the port."""
        return self._table.name

    @property
    def port(self) -> int:
        """Return the TCP port that the server listens on."""
        return self._server.server_port

    def add_route(self, method: str, pattern: str, handler: Handler) -> None:
        """Route requests that match `pattern`, e.g. "/v1/jobs/{job}"."""
        named = re.sub(r"{(\w+)}", r"(?P<\1>[^/]+)", pattern)
        self._routes.append((method, re.compile(f"^{named}$"), handler))

    @property
    def limits(self) -> web_limits.Limits:
        """Return the limits in force."""
        return self._table.limits

    def set_limits(self, limits: web_limits.Limits) -> None:
        """Apply `limits` to all requests and connections from now on."""
        table = self._table
        table.limits = limits
        # One body always fits.
        table.capacity = table.capacity._replace(
            body_bytes=max(table.capacity.body_bytes, limits.max_body_bytes)
        )

    def set_capacity(self, capacity: web_limits.Capacity) -> None:
        """Apply other limits of all connections together, closing none."""
        self._table.set_capacity(capacity)

    def set_size_refusal(
        self, refuse: Callable[[int, str], errors.Refusal | None]
    ) -> None:
        """Set what refuses bodies that are too large.

        Args:
            refuse: Takes the announced or counted size and the path; returns
                the refusal, None for the usual one.
        """
        self._refuse_size = refuse

    def start(self) -> None:
        """Start listening."""
        self._table.start()
        self._server.start()

    def drain(self, *, timeout_s: float) -> bool:
        """Stop listening and wait for open requests.

        Each connection is closed after its next response.

        Returns:
            Whether all open requests were answered within `timeout_s`.
        """
        self._is_draining = True
        self._server.close()
        return self._is_idle.wait(timeout=timeout_s)

    def stop(self, *, timeout_s: float = 0.0) -> None:
        """Stop listening and abort requests still open after `timeout_s`."""
        self._server.stop(timeout=timeout_s)
        self._table.stop()

    def _serve(
        self, environ: dict, start_response: Callable
    ) -> Iterator[bytes]:
        self._open_request_count += 1
        self._is_idle.clear()
        try:
            yield self._respond(environ, start_response)
        finally:
            self._open_request_count -= 1
            if not self._open_request_count:
                self._is_idle.set()

    def _respond(self, environ: dict, start_response: Callable) -> bytes:
        try:
            outcome = self._dispatch(environ)
        except Exception as error:  # noqa: BLE001
            self._log.error(
                "handler_failed",
                path=environ.get("PATH_INFO", "")[:MAX_LOGGED_PATH],
                error=type(error).__name__,
                reason=error,
            )
            outcome = errors.refuse(
                errors.Kind.INTERNAL,
                "the handler of this request raised an exception",
            )
        response = _build_response(outcome)
        if self._traffic is not None:
            self._traffic.record_served(
                self.name,
                sent=len(response.body),
                received=environ.get(_BODY_SIZE, 0),
            )
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
            *response.headers,
        ]
        if self._is_draining or environ["wsgi.input"].must_close:
            headers.append(("Connection", "close"))
        reason = _REASON_PHRASES.get(response.status, "Status")
        start_response(f"{response.status} {reason}", headers)
        return response.body

    def _dispatch(self, environ: dict) -> Any:
        body = self._read_body(environ)
        if errors.is_refusal(body):
            return body
        environ[_BODY_SIZE] = len(body)
        connection = environ["wsgi.input"].connection
        if not self._table.begin_call(connection):
            self._table.release(connection)
            self._table.report("calls", address=connection.address)
            return errors.refuse(
                errors.Kind.BUSY,
                "too many requests are being executed",
                retry_after_s=1,
            )
        try:
            return self._call_handler(environ, body)
        finally:
            self._table.end_call(connection)

    def _call_handler(self, environ: dict, body: bytes) -> Any:
        path = environ["PATH_INFO"]
        method = environ["REQUEST_METHOD"]
        for route_method, pattern, handler in self._routes:
            match = pattern.match(path)
            if match is None or route_method != method:
                continue
            return handler(_build_request(environ, match.groupdict(), body))
        return errors.refuse(
            errors.Kind.NOT_FOUND,
            f"no route for {method} {path[:MAX_LOGGED_PATH]}",
        )

    def _read_body(self, environ: dict) -> bytes | errors.Refusal:
        body = environ["wsgi.input"]
        if body.is_complete:
            return b""
        try:
            return body.read(self._table.limits)
        except OSError as error:
            return errors.refuse(
                errors.Kind.MALFORMED, f"body could not be read: {error}"
            )
        except web_input.BodyError as error:
            connection = body.connection
            self._table.release(connection)
            self._table.report(error.counter, address=connection.address)
            if error.size:
                refusal = self._refuse_size(error.size, environ["PATH_INFO"])
                if refusal is not None:
                    return refusal
            detail = {}
            if error.kind is errors.Kind.BUSY:
                detail["retry_after_s"] = 1
            return errors.refuse(error.kind, error.reason, **detail)


def _adopt_listener(listener: socket.socket) -> gevent_socket.socket:
    return gevent_socket.socket(
        listener.family, listener.type, fileno=listener.detach()
    )


def _build_request(
    environ: dict, parts: dict[str, str], body: bytes
) -> WebRequest:
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    headers["content-type"] = environ.get("CONTENT_TYPE") or ""
    return WebRequest(
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"],
        parts=parts,
        query=dict(parse.parse_qsl(environ.get("QUERY_STRING", ""))),
        headers=headers,
        body=body,
    )


def _build_response(outcome: Any) -> WebResponse:
    if isinstance(outcome, WebResponse):
        return outcome
    if errors.is_refusal(outcome):
        error_response = error_responses.ERROR_RESPONSES[outcome.kind]
        body = msgspec.json.encode(error_responses.describe(outcome))
        headers: tuple[tuple[str, str], ...] = ()
        if "retry_after_s" in outcome.detail:
            text = str(outcome.detail["retry_after_s"])
            headers = (("Retry-After", text),)
        return WebResponse(error_response.status, body, headers=headers)
    return WebResponse(200, msgspec.json.encode(outcome))
