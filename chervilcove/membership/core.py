"""Who the entries are, as this one sees it, and who looks after what."""

from collections.abc import Callable
import math
import time
from typing import Any

from chervilcove.core import metrics as metric_values
from chervilcove.core import tasks
from chervilcove.core import web
from chervilcove.membership import conf
from chervilcove.membership import messages
from chervilcove.membership import peers
from chervilcove.membership import view as views


class Membership(tasks.Task):
    """Keep the view of the entries.

    Args:
        name: Name of this entry.
        host: IP number of the instance list.
        port: Its TCP port.
        incarnation: Identifier of this process start.
        data_centre: Data centre that holds this entry.
        region: Region of the data centre.
        peer_host: IP number to listen on for other entries.
        peer_port: TCP port, 0 for any.
        format_level: Format level that this program supports.
        get_report: Tells how far the replica is.
        metrics: Receiver of counters.
    """

    def __init__(
        self,
        *,
        name: str,
        host: str,
        port: int,
        incarnation: str = "",
        data_centre: str = "",
        region: str = "",
        peer_host: str = "127.0.0.1",
        peer_port: int = 0,
        format_level: int = 1,
        get_report: Callable[
            [], messages.ReplicaProgress
        ] = messages.ReplicaProgress,
        metrics: metric_values.Metrics | None = None,
    ):
        super().__init__(name="membership")
        self._me = name
        self._metrics = metrics or metric_values.Metrics()
        self._get_report = get_report
        self._view = views.View(name=name, region=region)
        self._heartbeat = messages.Heartbeat(
            name=name,
            incarnation=incarnation or name,
            started=time.time(),
            state=messages.LIVE,
            data_centre=data_centre,
            region=region,
            format=format_level,
        )
        self._live: list[str] = [name]
        self._able: list[str] = [name]
        self._instances: list[dict[str, Any]] = []
        self._ranks: dict[tuple[str, str], int] = {}
        self._ranked: list[tuple[str, str]] = []
        self._links: dict[str, peers.PeerLink] = {}
        self._server = peers.PeerServer(
            host=peer_host,
            port=peer_port,
            hear=self._hear,
            speak=self._speak,
            metrics=self._metrics,
        )
        self._poller = peers.InstanceListPoller(
            host=host, port=port, take=self._take_list, metrics=self._metrics
        )

    def start(self) -> None:
        """Start to listen, to poll the list and to exchange heartbeats."""
        self._server.start()
        self._poller.start()
        super().start()

    def stop(self, *, timeout_s: float = 1.0) -> None:
        """Stop all of it."""
        self._poller.stop(timeout_s=0.0)
        super().stop(timeout_s=timeout_s)
        for link in self._links.values():
            link.stop()
        self._server.stop()

    def kill(self) -> None:
        """End at once, as the end of the process would."""
        for task in (self._poller, *self._links.values()):
            task.kill()
        super().kill()
        self._server.stop()

    def run(self) -> None:
        """Take messages; look at the view anew at least every `STEP_S`."""
        while not self.is_stopping:
            message = self.receive(timeout_s=conf.STEP_S)
            now = time.monotonic()
            if isinstance(message, messages.Heard):
                self._view.hear(message.heartbeat, now)
            elif isinstance(message, messages.Listed):
                self._view.update_list(message.instances, now)
                self._update_links()
            self._refresh(now)

    def add_routes(self, server: web.WebServer) -> None:
        """Offer the peer address on the entry's HTTP interface."""
        server.add_route("GET", "/v1/peer", self._show_peer)

    def list_live_entries(self) -> list[str]:
        """Return the names of the entries believed live."""
        return list(self._live)

    def list_instances(self) -> list[dict[str, Any]]:
        """Return the rows of the instance list as last read."""
        return list(self._instances)

    def is_owner(self, key: str, region: str = "") -> bool:
        """Tell whether this entry looks after `key`, as far as it knows."""
        return self.get_rank(key, region) == 0

    def get_rank(self, key: str, region: str = "") -> int:
        """Return this entry's place in the order of responsibility.

        Args:
            key: What is to be looked after.
            region: Region whose entries go first, empty for none.
        """
        known = self._ranks.get((key, region))
        if known is not None:
            return known
        order = self._view.order(key, self._able, region)
        rank = order.index(self._me) if self._me in order else len(order)
        if len(self._ranks) >= conf.RANKS_LIMIT:
            self._ranks.clear()
        self._ranks[key, region] = rank
        return rank

    def get_common_format_level(self) -> int:
        """Return the format level that all live entries support."""
        return self._view.get_format(self._live, self._heartbeat.format)

    def leave(self) -> None:
        """Tell all peers that this entry leaves, and give up its duties."""
        self._heartbeat = self._heartbeat._replace(state=messages.LEAVING)
        self._view.is_leaving = True
        self._refresh(time.monotonic())
        for link in self._links.values():
            link.wake()

    def count_heartbeat_bytes(self) -> int:
        """Return the bytes of heartbeats on the connections open to peers."""
        links = sum(link.count_bytes() for link in self._links.values())
        return links + self._server.count_bytes()

    def describe(self) -> dict[str, Any]:
        """Return what operators want to see of the peers."""
        now = time.monotonic()
        return {
            "live": self.list_live_entries(),
            "suspected": self._view.list_suspected(now),
            "peers": {
                peer.name: {
                    "is_leaving": peer.is_leaving(),
                    "heard_s_ago": round(now - peer.heard_at, 1),
                    "heartbeat": peer.beat._asdict() if peer.beat else None,
                }
                for peer in self._view.peers.values()
            },
        }

    def _refresh(self, now: float) -> None:
        live = self._view.list_live(now)
        if live != self._live:
            gone = sorted(set(self._live) - set(live))
            come = sorted(set(live) - set(self._live))
            self.log.info("entries_changed", gone=gone, come=come)
            self._metrics.count("membership.changed")
            self._live = live
            self._metrics.set_gauge("membership.live", len(live))
        self._view.silence_s = self._get_report().silence_s
        self._able = self._view.list_able(live)
        known = [(name, self._view.get_region(name)) for name in self._able]
        if known != self._ranked:
            self._ranked = known
            self._ranks.clear()

    def _update_links(self) -> None:
        wanted = {
            peer.name: peer.address
            for peer in self._view.peers.values()
            if peer.listed_state
        }
        for name, link in list(self._links.items()):
            if wanted.get(name) != link.address:
                link.stop()
                del self._links[name]
        for name, address in wanted.items():
            if name not in self._links:
                self._links[name] = self._open_link(name, address)

    def _open_link(self, name: str, address: str) -> peers.PeerLink:
        link = peers.PeerLink(
            name=name,
            address=address,
            hear=self._hear,
            speak=self._speak,
            get_age_s=self._get_age_s,
            metrics=self._metrics,
        )
        link.start()
        return link

    def _get_age_s(self, name: str) -> float:
        peer = self._view.peers.get(name)
        if peer is None or peer.beat is None:
            return math.inf
        return time.monotonic() - peer.heard_at

    def _hear(self, heartbeat: messages.Heartbeat) -> None:
        if not self.post(messages.Heard(heartbeat)):
            self._metrics.count("membership.refused.inbox_full")

    def _take_list(self, instances: list[dict[str, Any]]) -> None:
        self._instances = instances
        if not self.post(messages.Listed(instances)):
            self._metrics.count("membership.refused.inbox_full")

    def _speak(self) -> messages.Heartbeat:
        report = self._get_report()
        return self._heartbeat._replace(
            offset=report.offset,
            mark=report.mark,
            digest=report.digest[: messages.DIGEST_LENGTH],
            silence_s=round(report.silence_s, 1),
        )

    def _show_peer(self, request: web.WebRequest) -> Any:
        return {
            "name": self._me,
            "incarnation": self._heartbeat.incarnation,
            "address": self._server.address,
        }
