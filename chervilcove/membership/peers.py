"""Heartbeats between entries, over streams of msgpack."""

from collections.abc import Callable
import socket as sockets

from gevent import server
from gevent import socket as gevent_socket

from chervilcove.core import errors
from chervilcove.core import frames
from chervilcove.core import http
from chervilcove.core import metrics as metric_values
from chervilcove.core import tasks
from chervilcove.membership import conf
from chervilcove.membership import messages

# Workers come with the configuration, so they are not asked for.
ROLES = "entry,minion"
# Share of a period within which a peer counts as heard.
HEARD_SHARE = 0.9

Hear = Callable[[messages.Heartbeat], None]
Speak = Callable[[], messages.Heartbeat]


class PeerServer:
    """Answer each heartbeat of another entry with one's own.

    Args:
        host: IP number to listen on.
        port: TCP port, 0 for any.
        hear: Takes what a peer said.
        speak: Gives what this entry says.
        metrics: Receiver of counters.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        hear: Hear,
        speak: Speak,
        metrics: metric_values.Metrics,
    ):
        self._hear = hear
        self._speak = speak
        self._metrics = metrics
        self._streams: set[frames.FrameStream] = set()
        self._server = server.StreamServer(
            (host, port), self._serve, spawn=conf.PEERS_LIMIT * 2
        )

    @property
    def address(self) -> str:
        """Return "IP:port"."""
        return f"{self._server.server_host}:{self._server.server_port}"

    def start(self) -> None:
        """Start to listen."""
        self._server.start()

    def stop(self) -> None:
        """Stop to listen and close all connections."""
        self._server.stop(timeout=0)

    def count_bytes(self) -> int:
        """Return the bytes sent and received on open connections."""
        return sum(one.sent_bytes + one.received_bytes for one in self._streams)

    def _serve(self, sock: gevent_socket.socket, address: tuple) -> None:
        stream = frames.FrameStream(sock=sock)
        self._streams.add(stream)
        try:
            self._answer(stream)
        finally:
            self._streams.discard(stream)

    def _answer(self, stream: frames.FrameStream) -> None:
        while True:
            value = stream.receive(timeout_s=conf.IDLE_CONNECTION_S)
            if errors.is_refusal(value):
                return
            beat = messages.read_heartbeat(value)
            if errors.is_refusal(beat):
                self._metrics.count("membership.refused.malformed")
                return
            self._hear(beat)
            if stream.send(self._speak()) is not None:
                return


class PeerLink(tasks.Task):
    """Exchange heartbeats with one peer.

    Open connections can go silent for good while new ones work, so the
    first heartbeat without an answer is sent again at once over a fresh
    connection, to the address that the peer then offers. A peer that was
    heard in this period, on its own link, is not asked: so one exchange a
    period serves both.

    Args:
        name: Name of the peer.
        address: "IP:port" of the peer's HTTP interface.
        hear: Takes what the peer said.
        speak: Gives what this entry says.
        get_age_s: Gives the time since the peer was heard.
        metrics: Receiver of counters.
    """

    def __init__(
        self,
        *,
        name: str,
        address: str,
        hear: Hear,
        speak: Speak,
        get_age_s: Callable[[str], float],
        metrics: metric_values.Metrics,
    ):
        super().__init__(name=f"peer-{name}", inbox_limit=1)
        self.address = address
        self._hear = hear
        self._speak = speak
        self._get_age_s = get_age_s
        self._peer = name
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
        """Send a heartbeat at once."""
        self.post(True)

    def count_bytes(self) -> int:
        """Return the bytes sent and received on the open connection."""
        if self._stream is None:
            return 0
        return self._stream.sent_bytes + self._stream.received_bytes

    def stop(self, *, timeout_s: float = 0.0) -> None:
        """End the task and close its connections."""
        super().stop(timeout_s=timeout_s)
        self._close()
        self._http.close()

    def run(self) -> None:
        """Send a heartbeat once every `HEARTBEAT_S`, or when woken."""
        is_woken = None
        while not self.is_stopping:
            age_s = self._get_age_s(self._peer)
            if is_woken or age_s >= conf.HEARTBEAT_INTERVAL_S * HEARD_SHARE:
                self._beat()
            is_woken = self.receive(timeout_s=conf.HEARTBEAT_INTERVAL_S)

    def _beat(self) -> None:
        was_open = self._stream is not None
        beat = self._exchange()
        if errors.is_refusal(beat) and was_open:
            self._metrics.count("membership.retried.fresh_connection")
            beat = self._exchange()
        if errors.is_refusal(beat):
            self._metrics.count(f"membership.missed.{beat.kind.value}")
            return
        self._hear(beat)

    def _exchange(self) -> messages.Heartbeat | errors.Refusal:
        refusal = self._connect()
        if refusal is None:
            refusal = self._stream.send(self._speak())
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
        offer = self._http.call_json(
            "GET", "/v1/peer", timeout_s=conf.ANSWER_TIMEOUT_S
        )
        if errors.is_refusal(offer):
            return offer
        try:
            host, port = offer["address"].rsplit(":", 1)
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
        host: IP number of the list.
        port: Its TCP port.
        take: Takes the instances of each answer.
        metrics: Receiver of counters.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        take: Callable[[list], None],
        metrics: metric_values.Metrics,
    ):
        super().__init__(name="instance-list")
        self._peer = http.HttpPeer(host=host, port=port, connections=2)
        self._take = take
        self._metrics = metrics

    def run(self) -> None:
        """Poll once every `POLL_S`."""
        while not self.is_stopping:
            self._poll()
            self.rest(conf.POLL_INTERVAL_S)

    def _poll(self) -> None:
        answer = self._peer.call_json(
            "GET",
            f"/v1/instances?roles={ROLES}",
            timeout_s=conf.POLL_TIMEOUT_S,
        )
        if errors.is_refusal(answer):
            self._metrics.count(f"membership.retried.list.{answer.kind.value}")
            return
        instances = answer.get("instances") if isinstance(answer, dict) else 0
        if not isinstance(instances, list):
            self._metrics.count("membership.refused.list")
            return
        self._take([one for one in instances if _is_instance(one)])


def _is_instance(value: object) -> bool:
    fields = ("name", "role", "address", "state")
    if not isinstance(value, dict):
        return False
    if not all(isinstance(value.get(field), str) for field in fields):
        return False
    host, _, port = value["address"].rpartition(":")
    return bool(host) and port.isdecimal()
