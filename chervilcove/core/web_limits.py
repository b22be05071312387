"""Limits of one HTTP server: per request, and for all its connections.

Load pattern: clients that the operator doesn't control, and that send bodies,
heads or connections without end. docs/design/clients.md gives the reason for
each figure.
"""

import resource
from typing import NamedTuple

# Share of the machine's memory and descriptors that clients may use. The rest
# is for the state of the fleet and the sessions with workers.
MEMORY_SHARE = 1 / 8  # for connections, and as much again for bodies
DESCRIPTOR_SHARE = 1 / 4
# Memory of one connection: its greenlet, buffer, head and a small body.
CONNECTION_BYTES = 65_536
UNKNOWN_CONNECTIONS = 1_024
DEFAULT_CONNECTIONS = 4_096
UNKNOWN_BODY_BYTES = 16 * 1024 * 1024
MIN_CONNECTIONS = 4
# A body of 8 MiB has this much in chunk lines if its chunks have 1 KiB.
MAX_FRAMING_BYTES = 65_536
# The kernel otherwise keeps up to 2.6 MB of responses (measured on loopback)
# for each client that doesn't read them.
SEND_BUFFER_BYTES = 65_536
# Calls leave places for requests that are being read, so that there is always
# a connection that can be closed to make room.
CALL_SHARE = 7 / 8


class Limits(NamedTuple):
    """Limits of one request and one connection.

    Attributes:
        max_header_bytes: Size of a request line with its header fields; also
            of the extensions and trailers of a chunked body.
        max_body_bytes: Size of a body.
        header_timeout_s: Time from the first byte of a head to its end.
        idle_timeout_s: Time from a new connection to its first byte, of a
            whole body, and of sending a response.
        keep_s: Time between two requests on one connection.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    keep_s: float = 15.0

    @property
    def max_framing_bytes(self) -> int:
        """Return the limit of chunk lines and trailers of one body."""
        return self.max_header_bytes + min(
            self.max_body_bytes // 8, MAX_FRAMING_BYTES
        )


class Capacity(NamedTuple):
    """What all connections of one server may hold together.

    Attributes:
        connections: Open connections.
        body_bytes: Bytes of bodies above 16 KiB that are read or executed.
    """

    connections: int = DEFAULT_CONNECTIONS
    body_bytes: int = UNKNOWN_BODY_BYTES

    @property
    def calls(self) -> int:
        """Return the limit of requests that are executed at a time."""
        return max(1, int(self.connections * CALL_SHARE))

    @property
    def calls_of_one_caller(self) -> int:
        """Return the limit of such requests from one address."""
        return max(1, self.calls * 7 // 8)


def find_max_fds(stated: int = 0) -> int:
    """Return how many descriptors this process may open, 0 if unbounded.

    Args:
        stated: Number in the settings, 0 if unknown.
    """
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if allowed == resource.RLIM_INFINITY:
        return stated
    return min(stated or allowed, allowed)


def bound_connections(count: int, *, share: float) -> int:
    """Return `count`, less where the system allows few descriptors.

    Args:
        count: Connections of one server.
        share: Share of the descriptors that this server may use.
    """
    max_fds = find_max_fds()
    if not max_fds:
        return count
    return max(MIN_CONNECTIONS, min(count, int(max_fds * share)))


def compute_capacity(
    *, memory_mb: int, max_fds: int, share: float, max_body_bytes: int
) -> Capacity:
    """Return the capacity of one of the servers of a process.

    Args:
        memory_mb: Memory of the machine, 0 if unknown.
        max_fds: Descriptors that the process may open, 0 if unknown.
        share: Share of this server in what clients may use.
        max_body_bytes: Largest body; one always fits.
    """
    connections = UNKNOWN_CONNECTIONS
    body_bytes = UNKNOWN_BODY_BYTES
    if memory_mb:
        body_bytes = int(memory_mb * 1024 * 1024 * MEMORY_SHARE)
        connections = min(connections, body_bytes // CONNECTION_BYTES)
    if max_fds:
        connections = min(connections, int(max_fds * DESCRIPTOR_SHARE))
    return Capacity(
        max(MIN_CONNECTIONS, int(connections * share)),
        max(max_body_bytes, int(body_bytes * share)),
    )
