"""Crowds of clients outside the limits, as bytes on raw connections.

A client sends its opening bytes, then its filler again and again until it has
sent `amount` bytes, the server closes, or the crowd is stopped. It reads
nothing unless `reads` is set.
"""

from typing import NamedTuple

import gevent
from gevent import socket

MIB = 1024 * 1024
BLOCK = 65_536
RETURN_S = 0.02  # pause of a client that comes back


class Behaviour(NamedTuple):
    """What each client of a crowd does.

    Attributes:
        opening: First bytes.
        filler: Bytes sent again and again after them.
        amount: Bytes of filler that each client sends at most.
        pause_s: Pause between two fillers.
        reads: Whether it reads and drops what the server sends.
        buffer_bytes: Size of its receive buffer, 0 for the usual one.
        count: Number of clients.
    """

    opening: bytes
    filler: bytes = b""
    amount: int = 0
    pause_s: float = 0.0
    reads: bool = False
    buffer_bytes: int = 0
    count: int = 60


def _head(line, *fields):
    lines = [line, b"Host: jobs.example", b"X-Chervilcove-Key: key-1", *fields]
    return b"\r\n".join(lines) + b"\r\n"


def _post(*fields):
    return _head(b"POST /batch/00000000000000aa HTTP/1.1", *fields) + b"\r\n"


def _announce(size):
    return _post(b"Content-Length: %d" % size)


def _send_json(body):
    return _announce(len(body)) + body


_CHUNKED = b"Transfer-Encoding: chunked"
_GET = _head(b"GET /batch/ HTTP/1.1") + b"\r\n"
_PAGE = _head(b"GET /status HTTP/1.1") + b"\r\n"
_STATUS = _head(b"GET /v1/status HTTP/1.1") + b"\r\n"


def _ask_explain(body):
    length = b"Content-Length: %d" % len(body)
    return _head(b"POST /v1/explain HTTP/1.1", length) + b"\r\n" + body


BEHAVIOURS = {
    # 8 MB of announced bodies, less one byte each, ended a process: 517 MB.
    "bodies_less_one_byte": Behaviour(
        _announce(8 * MIB), b"x" * BLOCK, 8 * MIB - BLOCK
    ),
    "body_over_the_limit": Behaviour(
        _announce(300_000), b"x" * 30_000, 300_000
    ),
    "announced_8_gb": Behaviour(
        _announce(8 * 1024 * MIB), b"x" * BLOCK, 32 * MIB
    ),
    "chunks_without_end": Behaviour(
        _post(_CHUNKED),
        (b"4000\r\n" + b"x" * 0x4000 + b"\r\n") * 4,
        32 * MIB,
    ),
    "chunks_of_one_byte": Behaviour(
        _post(_CHUNKED), b"1\r\nx\r\n" * 10_000, 8 * MIB
    ),
    # Read one byte at a time without yielding: the process hung.
    "trailers_without_end": Behaviour(
        _post(_CHUNKED) + b"0\r\n", b"A: b\r\n" * 10_000, 16 * MIB
    ),
    "chunk_extension_without_end": Behaviour(
        _post(_CHUNKED) + b"1;a=", b"x" * BLOCK, 16 * MIB
    ),
    "chunk_extensions": Behaviour(
        _post(_CHUNKED), b"1;a=" + b"x" * 8_000 + b"\r\nx\r\n", 16 * MIB
    ),
    "head_over_the_limit": Behaviour(
        _head(b"GET /batch/ HTTP/1.1"),
        b"A: " + b"x" * 4_000 + b"\r\n",
        16 * MIB,
    ),
    "header_line_without_end": Behaviour(
        _head(b"GET /batch/ HTTP/1.1") + b"A: ", b"x" * BLOCK, 16 * MIB
    ),
    "request_line_without_end": Behaviour(b"GET /", b"x" * BLOCK, 16 * MIB),
    "empty_lines_without_end": Behaviour(b"", b"\r\n" * 20_000, 16 * MIB),
    "line_feeds_without_end": Behaviour(b"", b"\n" * BLOCK, 16 * MIB),
    "spaces_without_end": Behaviour(b"", b" " * BLOCK, 16 * MIB),
    "nothing_sent": Behaviour(b""),
    "head_a_byte_at_a_time": Behaviour(
        _head(b"GET /batch/ HTTP/1.1"), b"a", 4_000, pause_s=0.05
    ),
    "body_a_byte_at_a_time": Behaviour(
        _announce(200_000), b"x", 100_000, pause_s=0.05
    ),
    "trailers_a_byte_at_a_time": Behaviour(
        _post(_CHUNKED) + b"0\r\n", b"a", 4_000, pause_s=0.05
    ),
    "bodies_without_end": Behaviour(_announce(200_000), b"x" * 199_999, 1),
    # Megabytes of answers fit into the usual buffers of sockets; the server
    # notices only with small ones that nobody reads.
    "answers_not_read": Behaviour(b"", _GET * 500, 16 * MIB),
    "answers_not_taken": Behaviour(
        b"", _GET * 500, 16 * MIB, buffer_bytes=4_096, count=20
    ),
    "pipelined": Behaviour(b"", _GET * 50, 1 * MIB, reads=True, count=10),
    "deep_json": Behaviour(
        b"", _send_json(b"[" * 200_000), 4 * MIB, reads=True, count=10
    ),
    "huge_numbers": Behaviour(
        b"",
        _send_json(b'{"steps":[{"count":' + b"9" * 200_000 + b"}]}"),
        4 * MIB,
        reads=True,
        count=10,
    ),
    "many_steps": Behaviour(
        b"",
        _send_json(b'{"steps":[' + b'{"count":1},' * 20_000 + b"1]}"),
        4 * MIB,
        reads=True,
        count=10,
    ),
}
# What is tried on the pages of operators, beside the ways above.
OPERATOR_BEHAVIOURS = {
    "status_not_taken": Behaviour(
        b"", _STATUS * 500, 16 * MIB, buffer_bytes=4_096, count=10
    ),
    "page_not_taken": Behaviour(
        b"", _PAGE * 500, 16 * MIB, buffer_bytes=4_096, count=10
    ),
    "status_pipelined": Behaviour(
        b"", _STATUS * 50, 256 * 1024, reads=True, count=10
    ),
    "explain_deep_json": Behaviour(
        b"", _ask_explain(b"[" * 200_000), 4 * MIB, reads=True, count=10
    ),
    "explain_many_steps": Behaviour(
        b"",
        _ask_explain(
            b'{"queue":"r-1","customer":"t","body":{"steps":['
            + b'{"count":1},' * 20_000
            + b'{"count":1}]}}'
        ),
        4 * MIB,
        reads=True,
        count=10,
    ),
    "explain_without_end": Behaviour(
        _head(b"POST /v1/explain HTTP/1.1", _CHUNKED) + b"\r\n",
        (b"4000\r\n" + b"x" * 0x4000 + b"\r\n") * 4,
        16 * MIB,
        count=10,
    ),
}
# What is tried on ports that take no requests of callers.
CORE_BEHAVIOURS = (
    "bodies_less_one_byte",
    "chunks_without_end",
    "trailers_without_end",
    "head_over_the_limit",
    "nothing_sent",
    "head_a_byte_at_a_time",
    "answers_not_taken",
)
# Heads that consist of lines, or of one line, without end.
LINE_BEHAVIOURS = (
    "header_line_without_end",
    "request_line_without_end",
    "empty_lines_without_end",
    "line_feeds_without_end",
    "spaces_without_end",
)
# Behaviours after which the server must close each connection by itself.
SLOW_BEHAVIOURS = (
    "nothing_sent",
    "head_a_byte_at_a_time",
    "body_a_byte_at_a_time",
    "trailers_a_byte_at_a_time",
    "bodies_without_end",
    "answers_not_taken",
)


def mix(ports, behaviours):
    """Return members of a crowd: one client of each behaviour on each port."""
    return [
        (behaviour._replace(count=1), port)
        for behaviour in behaviours
        for port in ports
    ]


class Crowd:
    """Clients that meet the ports of a process at the same time.

    Args:
        members: Behaviours, and the port that each of them meets.
        comes_back: Whether a client begins again when it has sent all, was
            closed or found nobody listening. It then keeps no connection.

    Attributes:
        accepted: Connections that were opened so far.
    """

    def __init__(self, *, members, comes_back=False):
        self._members = members
        self._comes_back = comes_back
        self._socks = set()
        self._senders = []
        self.accepted = 0

    @property
    def count(self):
        return sum(behaviour.count for behaviour, _ in self._members)

    def start(self):
        for behaviour, port in self._members:
            for _ in range(behaviour.count):
                self._senders.append(gevent.spawn(self._run, behaviour, port))

    def wait(self, *, limit_s):
        """Wait until all clients have sent all or were closed."""
        gevent.joinall(self._senders, timeout=limit_s)

    def stop(self):
        gevent.killall(self._senders)
        for sock in self._socks:
            sock.close()

    def _run(self, behaviour, port):
        while True:
            sock = socket.socket()
            self._socks.add(sock)
            try:
                self._send(sock, behaviour, port)
            except OSError:
                pass
            if not self._comes_back:
                return
            self._socks.remove(sock)
            sock.close()
            gevent.sleep(RETURN_S)

    def _send(self, sock, behaviour, port):
        if behaviour.buffer_bytes:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, behaviour.buffer_bytes
            )
        sock.connect(("127.0.0.1", port))
        self.accepted += 1
        if behaviour.reads:
            self._senders.append(gevent.spawn(self._read, sock))
        sock.sendall(behaviour.opening)
        sent = 0
        while sent < behaviour.amount:
            sock.sendall(behaviour.filler)
            sent += len(behaviour.filler)
            # A send that doesn't block doesn't yield either.
            gevent.sleep(behaviour.pause_s)

    @staticmethod
    def _read(sock):
        try:
            while sock.recv(BLOCK):
                pass
        except OSError:
            return
