"""Handler of connections for pywsgi that keeps to limits of bytes and time."""

from collections.abc import Callable
import io
import socket as sockets
import time
from typing import Any

import gevent
from gevent import pywsgi
from gevent import socket as gevent_socket

from chervilcove.core import web_connections
from chervilcove.core import web_input
from chervilcove.core import web_limits

MAX_JOINED_BYTES = 65_536
# Sockets that are accepted before other greenlets run.
MAX_ACCEPT = 8
_HEAD_TOO_LARGE = (
    "431",
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n",
)
_MALFORMED = (
    "400",
    b"HTTP/1.1 400 Bad Request\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n",
)
_NO_PLACE = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)


class LimitedHandler(pywsgi.WSGIHandler):
    """Handler of one connection."""

    def __init__(self, sock: Any, address: tuple, server: "LimitedServer"):
        self._table = server.table
        self._connection = server.table.get(sock)
        reader = web_input.SocketReader(connection=self._connection)
        super().__init__(sock, address, server, rfile=io.BufferedReader(reader))
        self._head_left = 0
        self._phase = web_connections.NEW

    def read_requestline(self) -> str:
        """Return the next request line, "" at the end of the connection."""
        connection = self._connection
        if connection.is_closing:
            return ""
        connection.since = time.monotonic()
        connection.phase = self._phase
        self._phase = web_connections.KEPT
        limit = self._table.limits.max_header_bytes
        reads = connection.reads
        line = self.rfile.readline(min(pywsgi.MAX_REQUEST_LINE, limit))
        if connection.reads == reads and line:
            # Pipelined requests are handled without a read that could yield.
            connection.phase = web_connections.HEAD
            gevent.sleep(0)
        if len(line) >= pywsgi.MAX_REQUEST_LINE:
            self._report("line_size")
        self._head_left = limit - len(line)
        return line.decode("latin-1")

    def MessageClass(self, stream: io.BufferedReader, *_: Any) -> Any:  # noqa: N802
        """Return the header fields that `stream` continues with."""
        reader = web_input.HeadReader(stream=stream, max_bytes=self._head_left)
        return pywsgi.headers_factory(reader)

    def get_environ(self) -> dict[str, Any]:
        """Return the environment of a request whose head has been read."""
        environ = super().get_environ()
        connection = self._connection
        connection.phase = web_connections.BODY
        connection.since = time.monotonic()
        self.wsgi_input = environ["wsgi.input"] = web_input.Body(
            stream=self.rfile,
            length=self.content_length,
            is_chunked=self.wsgi_input.chunked_input,
            is_expected=environ.get("HTTP_EXPECT", "").lower()
            == "100-continue",
            connection=connection,
            table=self._table,
        )
        return environ

    def handle_one_response(self) -> None:
        """Execute a request and send its response."""
        super().handle_one_response()
        if not self.wsgi_input.is_complete:
            self.close_connection = True

    def _write_with_headers(self, data: bytes) -> None:
        """Send the head of a response and its body by one system call.

        This saves about what the limits cost for an ordinary request.
        """
        if len(data) > MAX_JOINED_BYTES or self.provided_content_length is None:
            super()._write_with_headers(data)
            return
        self.headers_sent = True
        self.finalize_headers()
        lines = [b"HTTP/1.1 " + self.status]
        lines += [b": ".join(field) for field in self.response_headers]
        self._sendall(b"\r\n".join([*lines, b"", data or b""]))

    def _sendall(self, data: bytes) -> None:
        connection = self._connection
        if connection.phase != web_connections.ANSWER:
            connection.phase = web_connections.ANSWER
            connection.since = time.monotonic()
        super()._sendall(data)

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        if isinstance(ex, web_input.HeadTooLargeError):
            self._report("head_size")
            return _HEAD_TOO_LARGE
        self._report("malformed")
        return _MALFORMED

    def _log_error(self, t: Any, v: Any, tb: Any) -> None:
        """Count an unexpected error; a traceback for each would be endless."""
        if not issubclass(t, OSError):  # otherwise the client has gone
            self._report("broken")

    def _report(self, reason: str) -> None:
        self._table.report(reason, address=self._connection.address)


class LimitedServer(pywsgi.WSGIServer):
    """WSGI server whose connections have places in a table.

    Nagle's algorithm is disabled: the last segment of a response is sent
    without waiting for acknowledgements of earlier ones.

    Args:
        listener: Address to listen on.
        application: WSGI application.
        table: Places of connections.
    """

    handler_class = LimitedHandler
    max_accept = MAX_ACCEPT

    def __init__(
        self,
        listener: tuple[str, int],
        application: Callable,
        *,
        table: web_connections.ConnectionTable,
    ):
        super().__init__(listener, application, log=None, error_log=None)
        self.table = table

    def init_socket(self) -> None:
        """Bind the listener; connections take over its options."""
        super().init_socket()
        self.socket.setsockopt(
            sockets.SOL_SOCKET,
            sockets.SO_SNDBUF,
            web_limits.SEND_BUFFER_BYTES,
        )

    def do_handle(self, sock: gevent_socket.socket, address: tuple) -> None:
        """Handle a new connection, or refuse it if there is no place."""
        if self.table.admit(sock, address[0]):
            super().do_handle(sock, address)
            return
        self.table.report("connections", address=address[0])
        try:
            # A non-blocking send; the buffer of a new socket has room.
            sock._sock.send(_NO_PLACE)
        except OSError:
            pass
        sock.close()

    def handle(self, sock: gevent_socket.socket, address: tuple) -> None:
        """Serve a connection until it ends."""
        connection = self.table.get(sock)
        try:
            sock.setsockopt(sockets.IPPROTO_TCP, sockets.TCP_NODELAY, 1)
            super().handle(sock, address)
        except OSError:
            pass  # the client has gone
        except Exception:  # noqa: BLE001
            self.table.report("broken", address=connection.address)
        finally:
            self.table.leave(connection)
            sock.close()
