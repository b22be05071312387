"""View of one entry on which other entries are live.

The platform's instance list lags, so the heartbeats of a peer take precedence
over it. A peer with recent heartbeats is live, listed or not. A peer whose
heartbeats stopped is suspected, whatever the list says. A peer that announced
"leaving" stays leaving until a newer incarnation of it is seen. New peers are
found through the list. This module does no I/O and takes the time as an
argument.
"""

from collections.abc import Iterable
from typing import Any

from chervilcove.core import identifiers
from chervilcove.membership import conf
from chervilcove.membership import messages


class Peer:
    """What this entry knows about another one.

    Attributes:
        name: Name of the peer.
        address: "IP:port" of its HTTP interface, empty if not listed.
        heartbeat: Latest heartbeat, None before the first one.
        last_heard_at: Monotonic time of the latest heartbeat, or of the
            creation of this object before the first one, in seconds.
        listed_state: State in the instance list, empty if not listed.
        listed_incarnation: Incarnation in the list, empty if unknown.
        listed_at: Monotonic time at which the list first showed this
            incarnation, in seconds.
        left_incarnation: Incarnation that announced that it leaves, empty for
            none.
        past_incarnations: Incarnations that a newer one replaced.
    """

    def __init__(self, *, name: str, now: float):
        self.name = name
        self.address = ""
        self.heartbeat: messages.Heartbeat | None = None
        self.last_heard_at = now
        self.listed_state = ""
        self.listed_incarnation = ""
        self.listed_at = now
        self.left_incarnation = ""
        self.past_incarnations: list[str] = []

    def is_live(self, now: float) -> bool:
        """Return whether this peer is considered live."""
        if self.is_leaving():
            return False
        if self._is_restarted():
            return now - self.listed_at < conf.NEW_ENTRY_GRACE_S
        if self.heartbeat is not None:
            return now - self.last_heard_at < conf.SUSPECT_AFTER_S
        is_listed = self.listed_state == messages.LIVE
        return is_listed and now - self.listed_at < conf.NEW_ENTRY_GRACE_S

    def is_leaving(self) -> bool:
        """Return whether the peer or the list announced that it leaves."""
        if self._is_restarted():
            return self.listed_state == messages.LEAVING
        return (
            bool(self.left_incarnation) or self.listed_state == messages.LEAVING
        )

    def is_suspected(self, now: float) -> bool:
        """Return whether this peer is silent but did not announce leaving."""
        return not self.is_leaving() and not self.is_live(now)

    def record_heartbeat(
        self, heartbeat: messages.Heartbeat, now: float
    ) -> None:
        """Record a heartbeat; one of an older incarnation is ignored."""
        last = self.heartbeat
        if last is not None and heartbeat.incarnation != last.incarnation:
            if (
                heartbeat.incarnation in self.past_incarnations
                or heartbeat.started < last.started
            ):
                return
            self._retire_incarnation(last.incarnation)
        elif (
            self.left_incarnation
            and heartbeat.incarnation != self.left_incarnation
        ):
            self._retire_incarnation(self.left_incarnation)
        self.heartbeat = heartbeat
        self.last_heard_at = now
        if heartbeat.state == messages.LEAVING:
            self.left_incarnation = heartbeat.incarnation

    def record_listing(self, instance: dict[str, Any], now: float) -> None:
        """Record the peer's row of the instance list."""
        incarnation = instance.get("incarnation", "")
        is_new = incarnation != self.listed_incarnation
        if not self.listed_state or is_new:
            self.listed_at = now
        self.address = instance["address"]
        self.listed_state = instance["state"]
        self.listed_incarnation = incarnation

    def _is_restarted(self) -> bool:
        """Return whether the list shows an incarnation not yet heard."""
        listed = self.listed_incarnation
        if self.heartbeat is None or not listed or not self.listed_state:
            return False
        if (
            listed == self.heartbeat.incarnation
            or listed in self.past_incarnations
        ):
            return False
        return self.listed_at >= self.last_heard_at

    def _retire_incarnation(self, incarnation: str) -> None:
        self.past_incarnations.append(incarnation)
        del self.past_incarnations[: -conf.MAX_PAST_INCARNATIONS]
        self.left_incarnation = ""


class MembershipView:
    """What one entry knows about all others.

    Args:
        name: Name of this entry.
        region: Region of this entry, empty if unknown.
    """

    def __init__(self, *, name: str, region: str = ""):
        self.is_leaving = False
        self.log_silence_s = 0.0
        self._entry_name = name
        self._region = region
        self.peers: dict[str, Peer] = {}

    def update_instances(
        self, instances: Iterable[dict[str, Any]], now: float
    ) -> None:
        """Record the rows of the instance list."""
        listed = set()
        for instance in instances:
            name = instance["name"]
            if instance["role"] != "entry" or name == self._entry_name:
                continue
            peer = self._get_or_add_peer(name, now)
            if peer is not None:
                listed.add(name)
                peer.record_listing(instance, now)
        for peer in list(self.peers.values()):
            if peer.name not in listed:
                peer.listed_state = ""
                self._forget_if_stale(peer, now)

    def record_heartbeat(
        self, heartbeat: messages.Heartbeat, now: float
    ) -> None:
        """Record a heartbeat of a peer; one of this entry is ignored."""
        if heartbeat.name == self._entry_name:
            return
        peer = self._get_or_add_peer(heartbeat.name, now)
        if peer is not None:
            peer.record_heartbeat(heartbeat, now)

    def list_live(self, now: float) -> list[str]:
        """Return the names of the entries considered live, sorted."""
        live = {peer.name for peer in self.peers.values() if peer.is_live(now)}
        if not self.is_leaving or not live:
            live.add(self._entry_name)
        return sorted(live)

    def list_eligible(self, live: list[str]) -> list[str]:
        """Return those of `live` that read the log, all of them if none does.

        An entry that is disconnected from the log can neither plan nor start
        anything, so the others take over its share. If no entry reads the
        log, moving work gains nothing.
        """
        eligible = [
            name
            for name in live
            if self._get_log_silence_s(name) <= conf.MAX_LOG_SILENCE_S
        ]
        return eligible or live

    def _get_log_silence_s(self, name: str) -> float:
        if name == self._entry_name:
            return self.log_silence_s
        heartbeat = self.peers[name].heartbeat
        return heartbeat.silence_s if heartbeat else 0.0

    def list_suspected(self, now: float) -> list[str]:
        """Return the names of listed peers that are suspected, sorted."""
        return sorted(
            peer.name
            for peer in self.peers.values()
            if peer.listed_state and peer.is_suspected(now)
        )

    def rank_entries(
        self, key: str, live: list[str], region: str = ""
    ) -> list[str]:
        """Return `live` in the order of responsibility for `key`.

        Entries of `region` come first: they can still reach what is in that
        region if the connection between regions is lost.
        """
        ranked = identifiers.rank_members(key, live)
        if not region:
            return ranked
        return sorted(ranked, key=lambda name: self.get_region(name) != region)

    def get_region(self, name: str) -> str:
        """Return the region of an entry, empty if unknown."""
        if name == self._entry_name:
            return self._region
        peer = self.peers.get(name)
        return peer.heartbeat.region if peer and peer.heartbeat else ""

    def get_common_format_level(self, live: list[str], own_level: int) -> int:
        """Return the level that all of `live` support, 0 if one is unknown."""
        levels = [own_level]
        for name in live:
            if name != self._entry_name:
                heartbeat = self.peers[name].heartbeat
                levels.append(heartbeat.format if heartbeat else 0)
        return min(levels)

    def _get_or_add_peer(self, name: str, now: float) -> Peer | None:
        peer = self.peers.get(name)
        if peer is None and len(self.peers) < conf.MAX_PEERS:
            peer = self.peers[name] = Peer(name=name, now=now)
        return peer

    def _forget_if_stale(self, peer: Peer, now: float) -> None:
        if now - max(peer.last_heard_at, peer.listed_at) > conf.FORGET_AFTER_S:
            del self.peers[peer.name]
