"""HTTP server of the stand-ins, which can leave calls unanswered."""

import json
import socket as sockets
import struct
from typing import NamedTuple
from urllib import parse

import gevent
from gevent import server
from gevent import socket

from chervilcove.core import errors
from chervilcove.core import http
from tests.processes import links

LINGER_RESET = struct.pack("ii", 1, 0)


class Call(NamedTuple):
    """One HTTP call.

    Attributes:
        key: Link on which it came.
        fate: Name of its fate, see `links.Fate`.
    """

    method: str
    path: str
    query: dict
    headers: dict
    body: bytes
    key: str
    fate: str = "normal"


class Server:
    """Serve calls on several addresses, each of which is one link.

    Args:
        keys: Key of the link for each address (host, port).
        handle: Called with a `Call`; returns status and content (bytes, or a
            value to send as JSON).
        table: The links.
    """

    def __init__(self, *, keys, handle, table):
        self._keys = keys
        self._handle = handle
        self._table = table
        self._servers = []
        self._connections = {}
        self._late = set()

    def start(self):
        """Listen on all addresses; raise OSError if one is in use."""
        for address, key in self._keys.items():
            listener = server.StreamServer(
                address,
                lambda sock, _, key=key: self._serve(sock, key),
                backlog=64,
            )
            listener.start()
            self._servers.append(listener)

    def stop(self):
        """Stop listening and reset all connections; late calls go on."""
        for listener in self._servers:
            listener.stop(timeout=0)
        self._servers = []
        self.reset_connections()

    def reset_connections(self, key=None):
        """Reset the open connections, of one link if given."""
        for sock, its_key in list(self._connections.items()):
            if key in (None, its_key):
                _reset(sock)

    def _serve(self, sock, key):
        if self._table.is_reset(key):
            _reset(sock)
            return
        sock.setsockopt(sockets.IPPROTO_TCP, sockets.TCP_NODELAY, 1)
        self._connections[sock] = key
        reader = sock.makefile("rb")
        try:
            while self._serve_call(sock, reader, key):
                pass
        except OSError:
            pass
        finally:
            self._connections.pop(sock, None)
            reader.close()
            sock.close()

    def _serve_call(self, sock, reader, key):
        call = _read_call(reader, key)
        if call is None:
            return False
        fate = self._table.draw(key, call.path, call.body)
        if fate.name == "reset":
            _reset(sock)
            return False
        if fate.name == "silent":
            return self._hang(reader)
        if fate.name == "late":
            late = call._replace(fate="late")
            gevent.spawn_later(fate.delay_s, self._handle, late)
            return self._hang(reader)
        if fate.delay_s:
            gevent.sleep(fate.delay_s)
            if not self._servers:  # what was called is gone
                return False
        if fate.name == "status":
            status, content = fate.status, {}
        else:
            answer = self._handle(call._replace(fate=fate.name))
            if answer is None:
                return self._hang(reader)
            status, content = answer
        if fate.delay_s:
            gevent.sleep(fate.delay_s)
        if fate.name == "no_answer" or self._table.is_silent(key):
            return self._hang(reader)
        sock.sendall(_encode(status, content))
        return True

    def _hang(self, reader):
        while reader.read1(65536):
            pass
        return False


class Control:
    """Control interface of a stand-in: one JSON object per call.

    Args:
        host: Address to listen on.
        port: TCP port.
        commands: Function for each command; it gets the other fields.
    """

    def __init__(self, *, host, port, commands):
        self._commands = commands
        self._server = Server(
            keys={(host, port): "control"},
            handle=self._handle,
            table=links.Links(seed=0),
        )

    def start(self):
        """Start to listen."""
        self._server.start()

    def _handle(self, call):
        value = json.loads(call.body)
        result = self._commands[value.pop("command")](**value)
        return 200, {"result": result}


class Remote:
    """Client of a control interface.

    Args:
        host: Address of the stand-in.
        port: TCP port.
    """

    def __init__(self, *, host, port):
        self._peer = http.HttpPeer(host=host, port=port)

    def call(self, command, **fields):
        """Run a command; raise OSError if the stand-in doesn't answer."""
        body = json.dumps({"command": command, **fields}).encode()
        reply = self._peer.call("POST", "/control", body=body, timeout_s=10)
        if errors.is_refusal(reply):
            raise OSError(reply.reason)
        return json.loads(reply.body)["result"]


def _reset(sock):
    try:
        sock.setsockopt(sockets.SOL_SOCKET, sockets.SO_LINGER, LINGER_RESET)
        # Wakes the greenlet that reads, which then closes the socket.
        sock.shutdown(socket.SHUT_RD)
    except OSError:
        pass


def _read_call(reader, key):
    first = reader.readline(65536).split()
    if len(first) != 3:
        return None
    headers = {}
    while line := reader.readline(65536).strip():
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.lower()] = value.strip()
    body = reader.read(int(headers.get("content-length", "0")))
    url = parse.urlsplit(first[1].decode("latin-1"))
    query = dict(parse.parse_qsl(url.query))
    return Call(first[0].decode(), url.path, query, headers, body, key)


def _encode(status, content):
    if not isinstance(content, bytes):
        content = json.dumps(content, separators=(",", ":")).encode()
    head = f"HTTP/1.1 {status} Status\r\nContent-Length: {len(content)}\r\n"
    return f"{head}Content-Type: application/json\r\n\r\n".encode() + content
