"""Exchange of heartbeats between entries over msgpack streams."""

from collections.abc import Callable
import socket as sockets
import time

import gevent
from gevent import pool as gevent_pool
from gevent import server
from gevent import socket as gevent_socket

from chervilcove.core import errors
from chervilcove.core import frames
from chervilcove.core import http
from chervilcove.core import metrics as metric_values
from chervilcove.core import tasks
from chervilcove.core import web_connections
from chervilcove.core import web_handler
from chervilcove.core import web_limits
from chervilcove.membership import conf
from chervilcove.membership import messages

# Workers come from the configuration, so they are not polled.
POLLED_ROLES = "entry,minion"
# A heartbeat younger than this fraction of the interval is recent.
RECENT_HEARTBEAT_FRACTION = 0.9

OnHeartbeat = Callable[[messages.Heartbeat], None]
GetHeartbeat = Callable[[], messages.Heartbeat]


class _HeartbeatServer(server.StreamServer):
    """Stream server whose connections have places in a table."""

    max_accept = web_handler.MAX_ACCEPT

    def __init__(
        self,
        listener: tuple[str, int],
        handle: Callable,
        *,
        table: web_connections.ConnectionTable,
    ):
        # A pool, so that a stop ends the open connections.
        super().__init__(listener, handle, spawn=gevent_pool.Pool())
        self._table = table

    def do_handle(self, sock: gevent_socket.socket, address: tuple) -> None:
        if self._table.admit(sock, address[0]):
            super().do_handle(sock, address)
            return
        self._table.report("connections", address=address[0])
        sock.close()


class PeerServer:
    """Answer each heartbeat of another entry with this entry's heartbeat.

    Args:
        host: IP address to listen on.
        port: TCP port to listen on, 0 for any.
        on_heartbeat: Called with each heartbeat of a peer.
        get_heartbeat: Returns the heartbeat of this entry.
        metrics: Receiver of counters.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        on_heartbeat: OnHeartbeat,
        get_heartbeat: GetHeartbeat,
        metrics: metric_values.Metrics,
    ):
        self._on_heartbeat = on_heartbeat
        self._get_heartbeat = get_heartbeat
        self._metrics = metrics
        self._streams: set[frames.FrameStream] = set()
        self._table = web_connections.ConnectionTable(
            name="heartbeats",
            limits=web_limits.Limits(
                idle_timeout_s=conf.IDLE_CONNECTION_TIMEOUT_S,
                keep_s=conf.IDLE_CONNECTION_TIMEOUT_S,
            ),
            capacity=web_limits.Capacity(
                connections=web_limits.bound_connections(
                    conf.MAX_PEERS * 2, share=conf.PEER_SHARE
                )
            ),
            metrics=metrics,
        )
        self._server = _HeartbeatServer(
            (host, port), self._serve, table=self._table
        )

    @property
    def address(self) -> str:
        """Return the address that the server listens on, as "IP:port"."""
        return f"{self._server.server_host}:{self._server.server_port}"

    def start(self) -> None:
        """Start listening."""
        self._table.start()
        self._server.start()

    def stop(self) -> None:
        """Stop listening and close all connections."""
        self._server.stop(timeout=0)
        self._table.stop()

    def count_bytes(self) -> int:
        """Return the bytes sent and received on open connections."""
        return sum(one.sent_bytes + one.received_bytes for one in self._streams)

    def _serve(self, sock: gevent_socket.socket, address: tuple) -> None:
        connection = self._table.get(sock)
        stream = frames.FrameStream(
            sock=sock, max_frame_bytes=conf.MAX_HEARTBEAT_BYTES
        )
        self._streams.add(stream)
        try:
            self._answer(stream, connection)
        finally:
            self._streams.discard(stream)
            self._table.leave(connection)
            sock.close()

    def _answer(
        self,
        stream: frames.FrameStream,
        connection: web_connections.Connection,
    ) -> None:
        while not connection.is_closing:
            value = stream.receive(timeout_s=conf.IDLE_CONNECTION_TIMEOUT_S)
            if errors.is_refusal(value):
                return
            heartbeat = messages.read_heartbeat(value)
            if errors.is_refusal(heartbeat):
                self._metrics.count("membership.refused.malformed")
                return
            self._on_heartbeat(heartbeat)
            connection.since = time.monotonic()
            connection.phase = web_connections.ANSWER
            if stream.send(self._get_heartbeat()) is not None:
                return
            connection.since = time.monotonic()
            connection.phase = web_connections.KEPT
            # Heartbeats that are sent without a pause don't block others.
            gevent.sleep(0)


class PeerClient(tasks.Task):
    """Exchange heartbeats with one peer.

    An open connection can stop responding permanently while new ones work.
    An unanswered heartbeat is therefore repeated at once over a new connection,
    to the address that the peer then returns. No heartbeat is sent to a peer
    whose own heartbeat arrived within this interval, so that one exchange per
    interval serves both entries.

    Args:
        name: Name of the peer.
        address: "IP:port" of the peer's HTTP interface.
        on_heartbeat: Called with each heartbeat of the peer.
        get_heartbeat: Returns the heartbeat of this entry.
        get_heartbeat_age_s: Returns the time since the last heartbeat of a
            peer, in seconds.
        metrics: Receiver of counters.
    """

    def __init__(
        self,
        *,
        name: str,
        address: str,
        on_heartbeat: OnHeartbeat,
        get_heartbeat: GetHeartbeat,
        get_heartbeat_age_s: Callable[[str], float],
        metrics: metric_values.Metrics,
    ):
        super().__init__(name=f"peer-{name}", inbox_limit=1)
        self.address = address
        self._on_heartbeat = on_heartbeat
        self._get_heartbeat = get_heartbeat
        self._get_heartbeat_age_s = get_heartbeat_age_s
        self._peer_name = name
        self._metrics = metrics
        self._stream: frames.FrameStream | None = None
        host, port = address.rsplit(":", 1)
        self._http = http.HttpPeer(
            host=host,
            port=int(port),
            connections=1,
            connect_timeout_s=conf.CONNECT_TIMEOUT_S,
        )

    def wake(self) -> None:
        """Send a heartbeat at once, unless a wake-up is queued."""
        self.post(True)

    def count_bytes(self) -> int:
        """Return the bytes sent and received on the open connection."""
        if self._stream is None:
            return 0
        return self._stream.sent_bytes + self._stream.received_bytes

    def stop(self, *, timeout_s: float = 0.0) -> None:
        """Stop the task and close its connections."""
        super().stop(timeout_s=timeout_s)
        self._close()
        self._http.close()

    def run(self) -> None:
        """Send a heartbeat every `HEARTBEAT_INTERVAL_S`, or when woken."""
        is_woken = None
        while not self.is_stopping:
            age_s = self._get_heartbeat_age_s(self._peer_name)
            if (
                is_woken
                or age_s
                >= conf.HEARTBEAT_INTERVAL_S * RECENT_HEARTBEAT_FRACTION
            ):
                self._refresh_peer()
            is_woken = self.receive(timeout_s=conf.HEARTBEAT_INTERVAL_S)

    def _refresh_peer(self) -> None:
        was_open = self._stream is not None
        heartbeat = self._exchange()
        if errors.is_refusal(heartbeat) and was_open:
            self._metrics.count("membership.retried.fresh_connection")
            heartbeat = self._exchange()
        if errors.is_refusal(heartbeat):
            self._metrics.count(f"membership.missed.{heartbeat.kind.value}")
            return
        self._on_heartbeat(heartbeat)

    def _exchange(self) -> messages.Heartbeat | errors.Refusal:
        refusal = self._connect()
        if refusal is None:
            refusal = self._stream.send(self._get_heartbeat())
        value = refusal
        if refusal is None:
            value = self._stream.receive(timeout_s=conf.ANSWER_TIMEOUT_S)
        if not errors.is_refusal(value):
            value = messages.read_heartbeat(value)
        if errors.is_refusal(value):
            self._close()
        return value

    def _connect(self) -> errors.Refusal | None:
        if self._stream is not None:
            return None
        answer = self._http.call_json(
            "GET", "/v1/peer", timeout_s=conf.ANSWER_TIMEOUT_S
        )
        if errors.is_refusal(answer):
            return answer
        try:
            host, port = answer["address"].rsplit(":", 1)
            sock = gevent_socket.create_connection(
                (host, int(port)), timeout=conf.CONNECT_TIMEOUT_S
            )
        except (OSError, KeyError, TypeError, ValueError) as error:
            return errors.refuse(errors.Kind.CONNECT_FAILED, str(error))
        sock.setsockopt(sockets.IPPROTO_TCP, sockets.TCP_NODELAY, 1)
        self._stream = frames.FrameStream(sock=sock)
        return None

    def _close(self) -> None:
        if self._stream is not None:
            self._stream.close()
            self._stream = None


class InstanceListPoller(tasks.Task):
    """Poll the platform's list of instances.

    Args:
        host: IP address of the list.
        port: TCP port of the list.
        on_instances: Called with the instances of each answer.
        metrics: Receiver of counters.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        on_instances: Callable[[list], None],
        metrics: metric_values.Metrics,
    ):
        super().__init__(name="instance-list")
        self._peer = http.HttpPeer(host=host, port=port, connections=2)
        self._on_instances = on_instances
        self._metrics = metrics

    def run(self) -> None:
        """Poll every `POLL_INTERVAL_S`."""
        while not self.is_stopping:
            self._poll()
            self.sleep(conf.POLL_INTERVAL_S)

    def _poll(self) -> None:
        answer = self._peer.call_json(
            "GET",
            f"/v1/instances?roles={POLLED_ROLES}",
            timeout_s=conf.POLL_TIMEOUT_S,
        )
        if errors.is_refusal(answer):
            self._metrics.count(f"membership.retried.list.{answer.kind.value}")
            return
        instances = answer.get("instances") if isinstance(answer, dict) else 0
        if not isinstance(instances, list):
            self._metrics.count("membership.refused.list")
            return
        self._on_instances([one for one in instances if _is_instance(one)])


def _is_instance(value: object) -> bool:
    fields = ("name", "role", "address", "state")
    if not isinstance(value, dict):
        return False
    if not all(isinstance(value.get(field), str) for field in fields):
        return False
    host, _, port = value["address"].rpartition(":")
    return bool(host) and port.isdecimal()
