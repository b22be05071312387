"""TCP proxy that injects faults between a client and a server."""

import socket as sockets
import struct

import gevent
from gevent import event
from gevent import server
from gevent import socket

CHUNK_BYTES = 65536
LINGER_RESET = struct.pack("ii", 1, 0)


class _Connection:
    """A connection through the proxy, with its two sockets."""

    def __init__(self, client, upstream):
        self.client = client
        self.upstream = upstream
        self.silent = False

    def close(self, *, reset=False):
        for sock in (self.client, self.upstream):
            if reset:
                sock.setsockopt(
                    sockets.SOL_SOCKET, sockets.SO_LINGER, LINGER_RESET
                )
            sock.close()


class Proxy:
    """Forward connections to one address, subject to faults.

    Attributes (all may be changed at any time):
        delay_s: Delay of each chunk, in each direction.
        refusing: Whether new connections are reset.
        dropping_up: Whether bytes to the server are dropped.
        dropping_down: Whether bytes to the client are dropped.
        cut_after: Number of bytes of the next answer that are forwarded before
            its connection is reset, None for no cut.
        lost_answers: Number of answers to drop, whose connections are closed.
        holding: Whether chunks wait until `heal`.
        mark: Bytes to watch for on the way to the server. The first chunk that
            contains them calls `on_mark`.
        on_mark: Function without arguments, called once.
    """

    def __init__(self, address: str):
        self.target = address
        self.reset_faults()
        self._connections: set[_Connection] = set()
        self._heal_event = event.Event()
        self._server = server.StreamServer(("127.0.0.1", 0), self._serve)

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._server.server_port}"

    def start(self):
        self._server.start()

    def stop(self):
        self._server.stop()
        self.reset_connections()

    def reset_faults(self):
        self.delay_s = 0.0
        self.refusing = False
        self.dropping_up = False
        self.dropping_down = False
        self.cut_after = None
        self.lost_answers = 0
        self.holding = False
        self.mark = None
        self.on_mark = None

    def heal(self):
        """End all faults, except that silenced connections stay silent."""
        self.reset_faults()
        released, self._heal_event = self._heal_event, event.Event()
        released.set()

    def silence(self):
        """Hang all open connections permanently; new connections work."""
        for connection in self._connections:
            connection.silent = True

    def reset_connections(self):
        for connection in list(self._connections):
            connection.close(reset=True)
        self._connections.clear()

    def partition(self):
        """Drop all bytes in both directions, without closing connections."""
        self.dropping_up = True
        self.dropping_down = True

    def _serve(self, client, _):
        host, port = self.target.split(":")
        if self.refusing:
            client.setsockopt(
                sockets.SOL_SOCKET, sockets.SO_LINGER, LINGER_RESET
            )
            client.close()
            return
        try:
            upstream = socket.create_connection((host, int(port)))
        except OSError:
            client.close()
            return
        connection = _Connection(client, upstream)
        self._connections.add(connection)
        up = gevent.spawn(self._forward, connection, client, upstream, True)
        down = gevent.spawn(self._forward, connection, upstream, client, False)
        gevent.wait([up, down], count=1)
        connection.close()
        self._connections.discard(connection)

    def _forward(self, connection, source, target, is_up):
        try:
            while chunk := source.recv(CHUNK_BYTES):
                if not self._forward_chunk(connection, target, chunk, is_up):
                    return
        except OSError:
            return

    def _forward_chunk(self, connection, target, chunk, is_up):
        if is_up and self.mark and self.mark in chunk:
            self.mark = None
            self.on_mark()
        if self.delay_s:
            gevent.sleep(self.delay_s)
        if self.holding:
            self._heal_event.wait()
        if connection.silent:
            event.Event().wait()
        if self.dropping_up if is_up else self.dropping_down:
            return True
        if not is_up and self.lost_answers > 0:
            self.lost_answers -= 1
            return False
        if not is_up and self.cut_after is not None:
            target.sendall(chunk[: self.cut_after])
            self.cut_after = None
            connection.close(reset=True)
            return False
        target.sendall(chunk)
        return True
