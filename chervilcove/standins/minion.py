"""Stand-in for a minion, the backend server of a service.

Published protocol (HTTP):

* `POST /v1/requests` with the header fields X-Request-Id (unique for each
  try), X-Entry, X-Service, X-Request-Key, X-Urgency and X-Deadline-Ms (time
  remaining). The body is opaque; this stand-in reads `{"work_ms": M,
  "answer_bytes": N}` from it. Status 200 echoes X-Request-Id and has
  X-Content-Digest; status 503 with `X-Ran: no` means that the request was not
  executed; its body is `{"error": "busy"}` or `{"error": "draining"}`.
* `GET /v1/health` answers with the same header fields and executes nothing.
* Every answer has X-Minion-Load ("busy/slots"), X-Minion-State ("live" or
  "leaving") and X-Incarnation (a number that grows with each start).
* `GET /v1/observations`, `POST /v1/drain`, `POST /v1/faults`: for tests only.
"""

from collections.abc import Callable
from collections.abc import Iterator
import socket
import time
from typing import Any

import gevent
from gevent import event
from gevent import pywsgi
import msgspec

from chervilcove.core import identifiers
from chervilcove.standins import minion_faults
from chervilcove.standins import minion_records

DEFAULT_WORK_MS = 5.0
LISTEN_BACKLOG = 1024
_JSON = "application/json"


class _Work(msgspec.Struct):
    """Execution time and answer size that a request asks for."""

    work_ms: float = DEFAULT_WORK_MS
    answer_bytes: int = 0


class _Handler(pywsgi.WSGIHandler):
    """Pass the connection to the application in the environment."""

    def get_environ(self) -> dict[str, Any]:
        environ = super().get_environ()
        environ["minion.connection"] = self.server.numbers[self.socket]
        environ["minion.socket"] = self.socket
        return environ


class _Server(pywsgi.WSGIServer):
    """Number each connection and record its start and end."""

    def __init__(self, *args: Any, minion: "Minion", **options: Any):
        super().__init__(*args, **options)
        self._minion = minion
        self.numbers: dict[Any, int] = {}

    def handle(self, sock: Any, address: tuple) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.numbers[sock] = self._minion.open_connection()
        try:
            super().handle(sock, address)
        finally:
            self._minion.close_connection(self.numbers.pop(sock))


class Minion:
    """Serve requests with a fixed number of slots.

    Args:
        name: Unique name.
        host: IP address to listen on.
        port: TCP port, 0 for any free one.
        slots: Maximum number of requests executed concurrently.
        connections: Open connections above which requests get "busy".
        incarnation: Number of this start, 0 for the Unix time in ms.
    """

    def __init__(
        self,
        *,
        name: str,
        host: str = "127.0.0.1",
        port: int = 0,
        slots: int = 8,
        connections: int = 64,
        incarnation: int = 0,
    ):
        self.name = name
        self.host = host
        self.slots = slots
        self.connections = connections
        self.incarnation = incarnation or int(time.time() * 1000)
        self.records = minion_records.Records()
        self.faults = minion_faults.Faults()
        self.busy = 0
        self.is_leaving = False
        self._refuses = True
        self._in_flight = 0
        self._is_idle = event.Event()
        self._is_idle.set()
        self._unblocked = event.Event()
        self._silent_connections: set[int] = set()
        self._open_connections: dict[int, minion_records.Connection] = {}
        self._accepted_count = 0
        self._last_answer: tuple[str, bytes] | None = None
        self._server = _Server(
            (host, port),
            self._serve,
            minion=self,
            handler_class=_Handler,
            backlog=LISTEN_BACKLOG,
            log=None,
            error_log=None,
        )

    @property
    def address(self) -> str:
        """Return "IP:port"."""
        return f"{self.host}:{self._server.server_port}"

    def start(self) -> None:
        """Start serving."""
        self._server.start()

    def stop(self) -> None:
        """Close all connections immediately, as if the process was killed."""
        self._server.stop(timeout=0)
        for sock in list(self._server.numbers):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def leave(self, *, refuses: bool = True) -> None:
        """Report the state "leaving" from now on; finish work in flight.

        Args:
            refuses: Whether new requests are refused. If false, they are
                executed and the records show which entries still send them.
        """
        if not self.is_leaving:
            self.is_leaving = True
            self._refuses = refuses
            self.records.leaving_since = time.time()

    def retire(self, *, linger_s: float, timeout_s: float) -> bool:
        """Leave, then stop; return whether requests in flight were finished.

        Args:
            linger_s: Minimum time to report "leaving", in seconds.
            timeout_s: Maximum wait for requests in flight, in seconds.
        """
        self.leave()
        gevent.sleep(linger_s)
        is_idle = self.wait_idle(timeout_s=timeout_s)
        self.stop()
        return is_idle

    def wait_idle(self, *, timeout_s: float) -> bool:
        """Wait until no request is in flight; return False on timeout."""
        return self._is_idle.wait(timeout=timeout_s)

    def set_faults(self, **switches: Any) -> None:
        """Change the given fields of `faults`."""
        self.faults = self.faults._replace(**switches)
        if not self.faults.is_frozen and not self.faults.is_stuck:
            unblocked, self._unblocked = self._unblocked, event.Event()
            unblocked.set()

    def silence_connections(self) -> None:
        """Never answer again on the open connections; serve new ones."""
        self._silent_connections.update(self._open_connections)

    def open_connection(self) -> int:
        """Record an accepted connection; return its number."""
        number = self._accepted_count
        self._accepted_count += 1
        connection = minion_records.Connection(number, time.time(), 0.0, 0)
        self._open_connections[number] = connection
        self.records.record_connection(connection)
        self.records.most_connections = max(
            self.records.most_connections, len(self._open_connections)
        )
        return number

    def close_connection(self, number: int) -> None:
        """Record the end of connection `number`."""
        connection = self._open_connections.pop(number)
        self._silent_connections.discard(number)
        self.records.record_connection(connection._replace(closed=time.time()))

    def _serve(
        self, environ: dict, start_response: Callable
    ) -> Iterator[bytes]:
        self._count_request(environ["minion.connection"])
        self._wait_for_faults(environ)
        self._in_flight += 1
        self._is_idle.clear()
        try:
            yield from self._route(environ, start_response)
        finally:
            self._in_flight -= 1
            if not self._in_flight:
                self._is_idle.set()

    def _route(self, environ: dict, start_response: Callable) -> list[bytes]:
        body = environ["wsgi.input"].read()
        route = (environ["REQUEST_METHOD"], environ["PATH_INFO"])
        if route == ("POST", "/v1/requests"):
            return self._serve_request(environ, start_response, body)
        if route == ("GET", "/v1/health"):
            return self._answer(environ, start_response, 200, b"{}")
        if route == ("GET", "/v1/observations"):
            content = msgspec.json.encode(self.records.describe())
            return self._answer(environ, start_response, 200, content)
        if route == ("POST", "/v1/drain"):
            self.leave()
            return self._answer(environ, start_response, 200, b"{}")
        if route == ("POST", "/v1/faults"):
            return self._serve_faults(environ, start_response, body)
        return self._answer(environ, start_response, 404, b"{}")

    def _count_request(self, number: int) -> None:
        connection = self._open_connections[number]
        connection = connection._replace(requests=connection.requests + 1)
        self._open_connections[number] = connection
        self.records.record_connection(connection)

    def _wait_for_faults(self, environ: dict) -> None:
        if environ["minion.connection"] in self._silent_connections:
            event.Event().wait()
        is_request = environ["PATH_INFO"] == "/v1/requests"
        is_fault_change = environ["PATH_INFO"] == "/v1/faults"
        while (self.faults.is_frozen and not is_fault_change) or (
            self.faults.is_stuck and is_request
        ):
            self._unblocked.wait()

    def _serve_request(
        self, environ: dict, start_response: Callable, body: bytes
    ) -> list[bytes]:
        if self._consume_fault("cut_before"):
            return self._cut(environ, start_response)
        if self.is_leaving and self._refuses:
            return self._refuse(environ, start_response, "draining")
        is_over_limit = len(self._open_connections) > self.connections
        if self.busy >= self.slots or is_over_limit:
            return self._refuse(environ, start_response, "busy")
        try:
            work = msgspec.json.decode(body, type=_Work)
        except msgspec.DecodeError:
            work = _Work()
        content = self._execute(environ, work)
        return self._answer_request(environ, start_response, content)

    def _execute(self, environ: dict, work: _Work) -> bytes:
        number = self.records.record_start(
            minion_records.Execution(
                minion=self.name,
                entry=environ.get("HTTP_X_ENTRY", ""),
                request_id=environ.get("HTTP_X_REQUEST_ID", ""),
                key=environ.get("HTTP_X_REQUEST_KEY", ""),
                service=environ.get("HTTP_X_SERVICE", ""),
                start=time.time(),
                end=0.0,
                digest="",
            )
        )
        self.busy += 1
        self.records.most_running = max(self.records.most_running, self.busy)
        try:
            gevent.sleep(work.work_ms / 1000.0)
        finally:
            self.busy -= 1
        content = self._build_content(environ, work)
        self.records.record_end(
            number, end=time.time(), digest=identifiers.digest(content)
        )
        return content

    def _build_content(self, environ: dict, work: _Work) -> bytes:
        head = msgspec.json.encode(
            {
                "key": environ.get("HTTP_X_REQUEST_KEY", ""),
                "minion": self.name,
            }
        )
        return head + b" " * max(0, work.answer_bytes - len(head))

    def _answer_request(
        self, environ: dict, start_response: Callable, content: bytes
    ) -> list[bytes]:
        if self._consume_fault("late"):
            gevent.sleep(self.faults.late_s)
        if self._consume_fault("cut_after"):
            return self._cut(environ, start_response)
        if self._consume_fault("failing"):
            return self._answer(environ, start_response, 500, b"{}")
        if self._consume_fault("truncated"):
            return self._answer(
                environ,
                start_response,
                200,
                content,
                replaced={"Connection": "close"},
                sent=content[: len(content) // 2],
            )
        if self._consume_fault("wrong_digest"):
            changed = b"X" + content[1:]
            return self._answer(
                environ, start_response, 200, content, sent=changed
            )
        if self._consume_fault("crossed"):
            return self._answer_crossed(environ, start_response, content)
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        self._last_answer = (request_id, content)
        if self._consume_fault("doubled"):
            return self._answer_twice(environ, start_response, content)
        return self._answer(environ, start_response, 200, content)

    def _answer_crossed(
        self, environ: dict, start_response: Callable, content: bytes
    ) -> list[bytes]:
        request_id, other = self._last_answer or ("request-other", content)
        return self._answer(
            environ,
            start_response,
            200,
            other,
            replaced={"X-Request-Id": request_id},
        )

    def _answer_twice(
        self, environ: dict, start_response: Callable, content: bytes
    ) -> list[bytes]:
        parts = self._answer(environ, start_response, 200, content)
        again = (
            b"HTTP/1.1 200 OK\r\nContent-Length: "
            + str(len(content)).encode()
            + b"\r\n\r\n"
            + content
        )
        return [*parts, again]

    def _serve_faults(
        self, environ: dict, start_response: Callable, body: bytes
    ) -> list[bytes]:
        value = msgspec.json.decode(body)
        if value.pop("silence_connections", False):
            self.silence_connections()
        self.set_faults(**value)
        return self._answer(environ, start_response, 200, b"{}")

    def _consume_fault(self, name: str) -> bool:
        remaining = self.faults.consume(name)
        if remaining is None:
            return False
        self.faults = remaining
        return True

    def _cut(self, environ: dict, start_response: Callable) -> list[bytes]:
        environ["minion.socket"].shutdown(socket.SHUT_RDWR)
        start_response("500 Cut", [("Connection", "close")])
        return [b"cut"]

    def _refuse(
        self, environ: dict, start_response: Callable, reason: str
    ) -> list[bytes]:
        self.records.not_run[reason] += 1
        content = msgspec.json.encode({"error": reason})
        replaced = {"X-Ran": "no"}
        if len(self._open_connections) > self.connections:
            replaced["Connection"] = "close"
        return self._answer(
            environ, start_response, 503, content, replaced=replaced
        )

    def _answer(
        self,
        environ: dict,
        start_response: Callable,
        status: int,
        content: bytes,
        *,
        replaced: dict[str, str] | None = None,
        sent: bytes | None = None,
    ) -> list[bytes]:
        headers = {
            "Content-Type": _JSON,
            "Content-Length": str(len(content)),
            "X-Request-Id": environ.get("HTTP_X_REQUEST_ID", ""),
            "X-Content-Digest": identifiers.digest(content),
            "X-Minion-Load": f"{self.busy}/{self.slots}",
            "X-Minion-State": "leaving" if self.is_leaving else "live",
            "X-Incarnation": str(self.incarnation),
            **(replaced or {}),
        }
        start_response(f"{status} Status", list(headers.items()))
        return [content if sent is None else sent]
