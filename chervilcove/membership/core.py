"""Membership task: which entries are live, and which is responsible."""

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
    """Track which entries are live, by heartbeats and the instance list.

    Args:
        name: Name of this entry.
        host: IP address of the platform's instance list.
        port: TCP port of the instance list.
        incarnation: Identifier of the start of this process.
        data_centre: Data centre of this entry.
        region: Region of the data centre.
        peer_host: IP address to listen on for other entries.
        peer_port: TCP port to listen on, 0 for any.
        format_level: Format level that this program supports.
        get_replica_progress: Returns the progress of the replica.
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
        get_replica_progress: Callable[
            [], messages.ReplicaProgress
        ] = messages.ReplicaProgress,
        metrics: metric_values.Metrics | None = None,
    ):
        super().__init__(name="membership")
        self._entry_name = name
        self._metrics = metrics or metric_values.Metrics()
        self._get_replica_progress = get_replica_progress
        self._view = views.MembershipView(name=name, region=region)
        self._heartbeat = messages.Heartbeat(
            name=name,
            incarnation=incarnation or name,
            started=time.time(),
            state=messages.LIVE,
            data_centre=data_centre,
            region=region,
            format=format_level,
        )
        self._live_entries: list[str] = [name]
        self._eligible: list[str] = [name]
        self._instances: list[dict[str, Any]] = []
        self._rank_cache: dict[tuple[str, str], int] = {}
        self._ranked_regions: list[tuple[str, str]] = []
        self._clients: dict[str, peers.PeerClient] = {}
        self._server = peers.PeerServer(
            host=peer_host,
            port=peer_port,
            on_heartbeat=self._on_heartbeat,
            get_heartbeat=self._build_heartbeat,
            metrics=self._metrics,
        )
        self._poller = peers.InstanceListPoller(
            host=host,
            port=port,
            on_instances=self._on_instances,
            metrics=self._metrics,
        )

    def start(self) -> None:
        """Start to listen, poll the instance list and exchange heartbeats."""
        self._server.start()
        self._poller.start()
        super().start()

    def stop(self, *, timeout_s: float = 1.0) -> None:
        """Stop polling, heartbeats and the server."""
        self._poller.stop(timeout_s=0.0)
        super().stop(timeout_s=timeout_s)
        for client in self._clients.values():
            client.stop()
        self._server.stop()

    def kill(self) -> None:
        """Stop at once, as if the process was killed."""
        for task in (self._poller, *self._clients.values()):
            task.kill()
        super().kill()
        self._server.stop()

    def run(self) -> None:
        """Handle messages; refresh at least every `REFRESH_INTERVAL_S`."""
        while not self.is_stopping:
            message = self.receive(timeout_s=conf.REFRESH_INTERVAL_S)
            now = time.monotonic()
            if isinstance(message, messages.HeartbeatReceived):
                self._view.record_heartbeat(message.heartbeat, now)
            elif isinstance(message, messages.InstancesReceived):
                self._view.update_instances(message.instances, now)
                self._update_clients()
            self._refresh(now)

    def add_routes(self, server: web.WebServer) -> None:
        """Add the route that returns the peer address to `server`."""
        server.add_route("GET", "/v1/peer", self._show_peer)

    def list_live_entries(self) -> list[str]:
        """Return the names of the entries considered live."""
        return list(self._live_entries)

    def list_instances(self) -> list[dict[str, Any]]:
        """Return the rows of the instance list as last polled."""
        return list(self._instances)

    def is_owner(self, key: str, region: str = "") -> bool:
        """Return whether this entry considers itself responsible for `key`."""
        return self.get_rank(key, region) == 0

    def get_rank(self, key: str, region: str = "") -> int:
        """Return this entry's rank among those responsible, 0 for the first.

        Args:
            key: Key of the work or object.
            region: Region whose entries rank first, empty for none.
        """
        known = self._rank_cache.get((key, region))
        if known is not None:
            return known
        order = self._view.rank_entries(key, self._eligible, region)
        rank = (
            order.index(self._entry_name)
            if self._entry_name in order
            else len(order)
        )
        if len(self._rank_cache) >= conf.MAX_CACHED_RANKS:
            self._rank_cache.clear()
        self._rank_cache[key, region] = rank
        return rank

    def get_common_format_level(self) -> int:
        """Return the format level that all live entries support."""
        return self._view.get_common_format_level(
            self._live_entries, self._heartbeat.format
        )

    def leave(self) -> None:
        """Announce to all peers that this entry leaves; give up its keys."""
        self._heartbeat = self._heartbeat._replace(state=messages.LEAVING)
        self._view.is_leaving = True
        self._refresh(time.monotonic())
        for client in self._clients.values():
            client.wake()

    def count_heartbeat_bytes(self) -> int:
        """Return the heartbeat bytes on open connections to peers."""
        clients = sum(client.count_bytes() for client in self._clients.values())
        return clients + self._server.count_bytes()

    def describe(self) -> dict[str, Any]:
        """Return the state of the peers for operators."""
        now = time.monotonic()
        return {
            "live": self.list_live_entries(),
            "suspected": self._view.list_suspected(now),
            "peers": {
                peer.name: {
                    "is_leaving": peer.is_leaving(),
                    "heard_s_ago": round(now - peer.last_heard_at, 1),
                    "heartbeat": peer.heartbeat._asdict()
                    if peer.heartbeat
                    else None,
                }
                for peer in self._view.peers.values()
            },
        }

    def _refresh(self, now: float) -> None:
        live = self._view.list_live(now)
        if live != self._live_entries:
            gone = sorted(set(self._live_entries) - set(live))
            come = sorted(set(live) - set(self._live_entries))
            self.log.info("entries_changed", gone=gone, come=come)
            self._metrics.count("membership.changed")
            self._live_entries = live
            self._metrics.set_gauge("membership.live", len(live))
        self._view.log_silence_s = self._get_replica_progress().silence_s
        self._eligible = self._view.list_eligible(live)
        known = [(name, self._view.get_region(name)) for name in self._eligible]
        if known != self._ranked_regions:
            self._ranked_regions = known
            self._rank_cache.clear()

    def _update_clients(self) -> None:
        wanted = {
            peer.name: peer.address
            for peer in self._view.peers.values()
            if peer.listed_state
        }
        for name, client in list(self._clients.items()):
            if wanted.get(name) != client.address:
                client.stop()
                del self._clients[name]
        for name, address in wanted.items():
            if name not in self._clients:
                self._clients[name] = self._open_client(name, address)

    def _open_client(self, name: str, address: str) -> peers.PeerClient:
        client = peers.PeerClient(
            name=name,
            address=address,
            on_heartbeat=self._on_heartbeat,
            get_heartbeat=self._build_heartbeat,
            get_heartbeat_age_s=self._get_heartbeat_age_s,
            metrics=self._metrics,
        )
        client.start()
        return client

    def _get_heartbeat_age_s(self, name: str) -> float:
        peer = self._view.peers.get(name)
        if peer is None or peer.heartbeat is None:
            return math.inf
        return time.monotonic() - peer.last_heard_at

    def _on_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        if not self.post(messages.HeartbeatReceived(heartbeat)):
            self._metrics.count("membership.refused.inbox_full")

    def _on_instances(self, instances: list[dict[str, Any]]) -> None:
        self._instances = instances
        if not self.post(messages.InstancesReceived(instances)):
            self._metrics.count("membership.refused.inbox_full")

    def _build_heartbeat(self) -> messages.Heartbeat:
        progress = self._get_replica_progress()
        return self._heartbeat._replace(
            offset=progress.offset,
            mark=progress.mark,
            digest=progress.digest[: messages.DIGEST_LENGTH],
            silence_s=round(progress.silence_s, 1),
        )

    def _show_peer(self, request: web.WebRequest) -> Any:
        return {
            "name": self._entry_name,
            "incarnation": self._heartbeat.incarnation,
            "address": self._server.address,
        }
