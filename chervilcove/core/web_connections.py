"""Places of connections at one server, and which are closed first.

Load pattern: clients that open connections and never finish a request. Each
connection has a phase with a deadline. One greenlet checks all deadlines, so
that an ordinary request starts no timers. When all places are taken, the
connection that has been longest without a whole request makes room.
"""

import collections
import enum
import socket as sockets
import time

import gevent
from gevent import socket as gevent_socket

from chervilcove.core import logs
from chervilcove.core import metrics as metric_values
from chervilcove.core import web_limits

SWEEP_INTERVAL_S = 0.5
LOG_INTERVAL_S = 10.0
# Ordinary requests are read within this time; connections that take longer are
# closed before those that wait for their next request.
PROMPT_S = 1.0
# Closed connections keep their descriptors until their greenlets run.
MAX_CLOSING = 16


class Phase(enum.IntEnum):
    """What a connection waits for."""

    NEW = 0  # the first byte of its first request
    KEPT = 1  # the first byte of its next request
    HEAD = 2  # the rest of a head
    BODY = 3  # the rest of a body
    CALL = 4  # the execution of a request
    ANSWER = 5  # the client, to receive a response


# Plain names: access to members of an enumeration costs more.
NEW, KEPT, HEAD, BODY, CALL, ANSWER = Phase

_REASONS = {
    NEW: "idle",
    KEPT: "idle",
    HEAD: "head_time",
    BODY: "body_time",
    ANSWER: "answer_time",
}


class Caller:
    """What one address uses of a server."""

    __slots__ = ("calls", "connections")

    def __init__(self):
        self.connections = 0
        self.calls = 0


class Connection:
    """State of one connection.

    Attributes:
        sock: Its socket.
        address: IP address of the client.
        caller: What this address uses.
        phase: What it waits for.
        since: When the phase began, monotonic seconds.
        held_bytes: Bytes of its body that count for the server.
        reads: Number of reads from the socket.
        is_closing: Whether the server has ended it.
    """

    __slots__ = (
        "address",
        "caller",
        "held_bytes",
        "is_closing",
        "phase",
        "reads",
        "since",
        "sock",
    )

    def __init__(
        self, *, sock: gevent_socket.socket, address: str, caller: Caller
    ):
        self.sock = sock
        self.address = address
        self.caller = caller
        self.phase = NEW
        self.since = time.monotonic()
        self.held_bytes = 0
        self.reads = 0
        self.is_closing = False


class ConnectionTable:
    """All connections of one server.

    Args:
        name: Name of the server in the log.
        limits: Limits of one connection.
        capacity: Limits of all connections together.
        metrics: Receiver of counters, None for none.
    """

    def __init__(
        self,
        *,
        name: str,
        limits: web_limits.Limits,
        capacity: web_limits.Capacity,
        metrics: metric_values.Metrics | None = None,
    ):
        self.limits = limits
        self._apply_capacity(capacity)
        # Lower capacity, and when it takes effect, monotonic seconds.
        self._lower: tuple[float, web_limits.Capacity] | None = None
        self.name = name
        self._metrics = metrics
        self._log = logs.Log(source="web")
        self._connections: dict[gevent_socket.socket, Connection] = {}
        self._callers: dict[str, Caller] = {}
        self._held_bytes = 0
        self._call_count = 0
        self._closing_count = 0
        self._unlogged: collections.Counter[str] = collections.Counter()
        self._logged_at: dict[str, float] = {}
        self._sweeper: gevent.Greenlet | None = None

    def set_capacity(self, capacity: web_limits.Capacity) -> None:
        """Apply other limits of all connections together.

        Higher limits hold at once. Lower ones hold once every body that is
        being read now has ended, as they would close its connection.
        """
        self._apply_capacity(
            web_limits.Capacity(
                *map(max, zip(self.capacity, capacity, strict=True))
            )
        )
        self._lower = (
            time.monotonic() + self.limits.idle_timeout_s,
            capacity,
        )

    def start(self) -> None:
        """Start to check deadlines."""
        if self._sweeper is None:
            self._sweeper = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop checking deadlines."""
        if self._sweeper is not None:
            self._sweeper.kill(block=False)
            self._sweeper = None

    def admit(self, sock: gevent_socket.socket, address: str) -> bool:
        """Give a new connection a place; return whether there is one."""
        if (
            len(self._connections) - self._closing_count
            >= self.capacity.connections
            and not self._make_place()
        ):
            return False
        caller = self._callers.setdefault(address, Caller())
        caller.connections += 1
        self._connections[sock] = Connection(
            sock=sock, address=address, caller=caller
        )
        return True

    def get(self, sock: gevent_socket.socket) -> Connection:
        """Return the connection that was admitted with `sock`."""
        return self._connections[sock]

    def leave(self, connection: Connection) -> None:
        """Free the place of a connection that has ended."""
        del self._connections[connection.sock]
        self.release(connection)
        if connection.is_closing:
            self._closing_count -= 1
        caller = connection.caller
        caller.connections -= 1
        if not caller.connections:
            del self._callers[connection.address]

    def hold(self, connection: Connection, size: int) -> bool:
        """Count `size` more bytes of a body; return whether there is room.

        The client that has been sending its body for the longest time makes
        room. If that is this one, there is no room for it.
        """
        while self._held_bytes + size > self.capacity.body_bytes:
            victim = min(
                (
                    each
                    for each in self._connections.values()
                    if each.phase == BODY
                    and not each.is_closing
                    and (each.held_bytes or each is connection)
                ),
                key=lambda each: each.since,
                default=connection,
            )
            if victim is connection:
                return False
            self.close(victim, "body_room")
            self.release(victim)
        self._held_bytes += size
        connection.held_bytes += size
        return True

    def release(self, connection: Connection) -> None:
        """Stop counting the body of a connection."""
        self._held_bytes -= connection.held_bytes
        connection.held_bytes = 0

    def begin_call(self, connection: Connection) -> bool:
        """Count a request that is executed; return whether it may be."""
        caller = connection.caller
        if (
            self._call_count >= self._max_calls
            or caller.calls >= self._max_calls_of_caller
        ):
            return False
        self._call_count += 1
        caller.calls += 1
        connection.phase = CALL
        return True

    def end_call(self, connection: Connection) -> None:
        """Stop counting a request, and its body."""
        self._call_count -= 1
        connection.caller.calls -= 1
        if connection.held_bytes:
            self.release(connection)

    def close(self, connection: Connection, reason: str) -> None:
        """End a connection: its reads find its end, its writes fail."""
        self.report(reason, address=connection.address)
        connection.is_closing = True
        self._closing_count += 1
        try:
            connection.sock.shutdown(sockets.SHUT_RDWR)
        except OSError:
            pass  # the client has closed it already

    def report(self, reason: str, *, address: str) -> None:
        """Count a client that was refused or closed, and log some.

        There is at most one line per reason and `LOG_INTERVAL_S`; it names
        the latest client and the number since the line before.
        """
        if self._metrics is not None:
            self._metrics.count(f"web.refused.{reason}")
        if reason == "idle":
            return  # clients may keep connections and never use them again
        self._unlogged[reason] += 1
        now = time.monotonic()
        if now - self._logged_at.get(reason, -LOG_INTERVAL_S) < LOG_INTERVAL_S:
            return
        self._logged_at[reason] = now
        self._log.warn(
            "clients_refused",
            port=self.name,
            reason=reason,
            count=self._unlogged.pop(reason),
            client=address,
            connections=len(self._connections),
            body_bytes=self._held_bytes,
            calls=self._call_count,
        )

    def sweep(self, now: float) -> None:
        """Close all connections whose phase has lasted too long."""
        limits = self.limits
        if self._lower is not None and now >= self._lower[0]:
            # One body always fits.
            lower, self._lower = self._lower[1], None
            self._apply_capacity(
                lower._replace(
                    body_bytes=max(lower.body_bytes, limits.max_body_bytes)
                )
            )
        longest_s = {
            NEW: limits.idle_timeout_s,
            KEPT: limits.keep_s,
            HEAD: limits.header_timeout_s,
            BODY: limits.idle_timeout_s,
            ANSWER: limits.idle_timeout_s,
        }
        for connection in list(self._connections.values()):
            phase = connection.phase
            if phase == CALL or connection.is_closing:
                continue
            if now - connection.since > longest_s[phase]:
                self.close(connection, _REASONS[phase])

    def _apply_capacity(self, capacity: web_limits.Capacity) -> None:
        self.capacity = capacity
        self._max_calls = capacity.calls
        self._max_calls_of_caller = capacity.calls_of_one_caller

    def _run(self) -> None:
        while True:
            gevent.sleep(SWEEP_INTERVAL_S)
            self.sweep(time.monotonic())

    def _make_place(self) -> bool:
        """Close the connection that is the first to make room, if any.

        These are, in order: those of an address that has more than half of
        all places; those that have been without a whole request for over
        `PROMPT_S`; those between two requests; the others. Of equal ones, it
        is the one that has been waiting for the longest time. A connection
        whose request is executed is never closed.
        """
        if self._closing_count >= MAX_CLOSING:
            return False
        now = time.monotonic()
        half = self.capacity.connections / 2

        def rank(each: Connection) -> tuple[bool, int, float]:
            order = 2
            if each.phase == KEPT:
                order = 1
            elif now - each.since > PROMPT_S:
                order = 0
            return (each.caller.connections <= half, order, each.since)

        victim = min(
            (
                each
                for each in self._connections.values()
                if each.phase != CALL and not each.is_closing
            ),
            key=rank,
            default=None,
        )
        if victim is None:
            return False
        self.close(victim, "place")
        return True
