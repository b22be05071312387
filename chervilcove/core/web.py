"""HTTP server with a routing table, on gevent's WSGI server."""

from collections.abc import Callable
from collections.abc import Iterator
import re
import socket
from typing import Any
from typing import NamedTuple
from urllib import parse

from gevent import event
from gevent import pywsgi
import msgspec

from chervilcove.core import error_responses
from chervilcove.core import errors
from chervilcove.core import http
from chervilcove.core import logs

MAX_BODY_BYTES = 8 * 1024 * 1024
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


class _NoDelayServer(pywsgi.WSGIServer):
    """WSGI server that disables Nagle's algorithm.

    The last segment of a response is then sent without waiting for
    acknowledgements of earlier ones.
    """

    def handle(self, sock: socket.socket, address: tuple) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(sock, address)


class WebServer:
    """HTTP server for a table of routes on one address.

    A handler returns a `WebResponse`, a refusal, or a value to send as JSON.

    Args:
        host: IP address to listen on.
        port: TCP port, 0 for any free port.
        max_body_bytes: Size limit of request bodies. A body declared larger
            is refused without being read.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int = 0,
        max_body_bytes: int = MAX_BODY_BYTES,
    ):
        self._log = logs.Log(source="web")
        self._routes: list[tuple[str, re.Pattern[str], Handler]] = []
        self._max_body_bytes = max_body_bytes
        self._open_request_count = 0
        self._is_draining = False
        self._is_idle = event.Event()
        self._is_idle.set()
        self._server = _NoDelayServer(
            (host, port), self._serve, log=None, error_log=None
        )
        self.host = host

    @property
    def port(self) -> int:
        """Return the TCP port that the server listens on."""
        return self._server.server_port

    def add_route(self, method: str, pattern: str, handler: Handler) -> None:
        """Route requests that match `pattern`, e.g. "/v1/jobs/{job}"."""
        named = re.sub(r"{(\w+)}", r"(?P<\1>[^/]+)", pattern)
        self._routes.append((method, re.compile(f"^{named}$"), handler))

    def start(self) -> None:
        """Start listening."""
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
                path=environ.get("PATH_INFO"),
                error=type(error).__name__,
                reason=error,
            )
            outcome = errors.refuse(
                errors.Kind.INTERNAL,
                "the handler of this request raised an exception",
            )
        response = _build_response(outcome)
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
            *response.headers,
        ]
        if self._is_draining:
            headers.append(("Connection", "close"))
        reason = _REASON_PHRASES.get(response.status, "Status")
        start_response(f"{response.status} {reason}", headers)
        return response.body

    def _dispatch(self, environ: dict) -> Any:
        body = self._read_body(environ)
        if errors.is_refusal(body):
            return body
        path = environ["PATH_INFO"]
        method = environ["REQUEST_METHOD"]
        for route_method, pattern, handler in self._routes:
            match = pattern.match(path)
            if match is None or route_method != method:
                continue
            return handler(_build_request(environ, match.groupdict(), body))
        return errors.refuse(
            errors.Kind.NOT_FOUND, f"no route for {method} {path}"
        )

    def _read_body(self, environ: dict) -> bytes | errors.Refusal:
        try:
            length = int(environ.get("CONTENT_LENGTH") or 0)
        except ValueError:
            return errors.refuse(
                errors.Kind.MALFORMED, "Content-Length is not a number"
            )
        if length > self._max_body_bytes:
            return errors.refuse(
                errors.Kind.TOO_LARGE,
                f"body of {length} bytes exceeds the limit of "
                f"{self._max_body_bytes} bytes",
            )
        try:
            body = environ["wsgi.input"].read(self._max_body_bytes + 1)
        except OSError as error:
            return errors.refuse(
                errors.Kind.MALFORMED, f"body could not be read: {error}"
            )
        if len(body) > self._max_body_bytes:
            return errors.refuse(
                errors.Kind.TOO_LARGE,
                "body exceeds the size limit",
            )
        if len(body) < length:
            return errors.refuse(
                errors.Kind.MALFORMED, "body is shorter than Content-Length"
            )
        return body


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
