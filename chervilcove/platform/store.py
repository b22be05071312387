"""The platform's store: topics that keep the newest record of each key."""

import abc
import base64
from typing import Any
from typing import NamedTuple
from urllib import parse

import msgspec

from chervilcove.control import interfaces
from chervilcove.control import readers
from chervilcove.core import errors
from chervilcove.core import http

CONNECTIONS = 6  # long reads of three topics, and appends beside them
CONNECT_TIMEOUT_S = 0.6  # a store that refuses silently never connects
MAX_READ_KB = 1024  # the store's own default
# Bounds a rebuild whose pages never end; a page has up to 500 keys.
MAX_PAGES = 1_000
OWNER_PRODUCER = "owner"
PARTITION = 0


class _Item(msgspec.Struct):
    """Decode one record of a page."""

    key: str
    value: str | None = None
    offset: int = 0


class _Page(msgspec.Struct):
    """Decode a page of the newest records."""

    items: list[_Item]
    end_offset: int
    has_more: bool = False


class _Appended(msgspec.Struct):
    """Decode the answer to an append."""

    offset: int


class _Conflict(msgspec.Struct):
    """Decode a refused append; `seq` is the sequence that it expected."""

    reason: str = ""
    seq: int | None = None


class Address(NamedTuple):
    """Hold an IP number and a TCP port."""

    host: str
    port: int


def parse_address(text: str) -> Address:
    """Return the address that "IP:port" spells."""
    host, _, port = text.rpartition(":")
    return Address(host, int(port))


def create_peer(address: Address) -> http.HttpPeer:
    """Return a client of the store at `address`."""
    return http.HttpPeer(
        host=address.host,
        port=address.port,
        connections=CONNECTIONS,
        connect_timeout_s=CONNECT_TIMEOUT_S,
        max_idle_s=10.0,
    )


class KeyedTopic(interfaces.Ledger):
    """Read and append one keyed topic.

    Args:
        peer: Client of the store.
        topic: Name of the topic, beginning with "keyed.".
    """

    def __init__(self, *, peer: http.HttpPeer, topic: str):
        self._peer = peer
        self._topic = topic

    def append(
        self,
        items: list[tuple[str, bytes]],
        *,
        fence: interfaces.Fence | None = None,
        timeout_s: float,
    ) -> int | errors.Refusal:
        """Append all `items` or none; return the offset of the first."""
        query: dict[str, Any] = {"topic": self._topic, "part": PARTITION}
        if fence is not None:
            query["producer"] = OWNER_PRODUCER
            query["epoch"] = fence.epoch
            query["seq"] = fence.sequence
        reply = self._call(
            "POST",
            "/log-append",
            query,
            body=b"".join(_frame(key, value) for key, value in items),
            timeout_s=timeout_s,
        )
        if errors.is_refusal(reply):
            return reply
        if reply.status == 200:
            return decode(reply.body, _Appended).offset
        if reply.status == 409:
            return _read_conflict(reply.body, fence)
        return _refuse_status(reply)

    def read(
        self, offset: int, *, wait_s: float, timeout_s: float
    ) -> interfaces.Chunk | errors.Refusal:
        """Return the records from `offset`; wait up to `wait_s` for one."""
        query = {
            "topic": self._topic,
            "part": PARTITION,
            "from": offset,
            "max_kb": MAX_READ_KB,
            "wait_ms": int(wait_s * 1000),
        }
        reply = self._call("GET", "/log-read", query, timeout_s=timeout_s)
        if errors.is_refusal(reply):
            return reply
        if reply.status == 410:
            return errors.refuse(errors.Kind.GONE, "the records have lapsed")
        if reply.status != 200:
            return _refuse_status(reply)
        return _parse_records(reply.body, offset)

    def read_newest(
        self, *, timeout_s: float
    ) -> interfaces.Chunk | errors.Refusal:
        """Return the newest record of each key; read on from its end.

        Pages are no snapshot: reading on from the end that the first page
        names brings whatever changed since.
        """
        records: list[interfaces.KeyedRecord] = []
        end_offset: int | None = None
        query: dict[str, Any] = {"topic": self._topic, "part": PARTITION}
        for _ in range(MAX_PAGES):
            reply = self._call("GET", "/log-newest", query, timeout_s=timeout_s)
            if errors.is_refusal(reply):
                return reply
            if reply.status != 200:
                return _refuse_status(reply)
            page = decode(reply.body, _Page)
            if errors.is_refusal(page):
                return page
            if end_offset is None:
                end_offset = page.end_offset
            records += [
                interfaces.KeyedRecord(
                    item.offset, item.key, base64.b64decode(item.value or "")
                )
                for item in page.items
            ]
            if not page.has_more or not page.items:
                break
            query["after"] = page.items[-1].key
        records.sort()
        return interfaces.Chunk(records, end_offset or 0, end_offset or 0)

    def _call(
        self,
        method: str,
        path: str,
        query: dict[str, Any],
        *,
        body: bytes = b"",
        timeout_s: float,
    ) -> http.Reply | errors.Refusal:
        reply = self._peer.call(
            method,
            f"{path}?{parse.urlencode(query)}",
            body=body,
            headers={"Content-Type": "application/octet-stream"},
            timeout_s=timeout_s,
        )
        if not errors.is_refusal(reply):
            return reply
        # Other idle connections may be as silent as this one.
        self._peer.drop_idle()
        if reply.kind is errors.Kind.CONNECT_FAILED:
            return reply._replace(kind=errors.Kind.LOG_UNAVAILABLE)
        return reply._replace(kind=errors.Kind.OUTCOME_UNKNOWN)


def _frame(key: str, value: bytes) -> bytes:
    name = key.encode()
    content = bytes([len(name)]) + name + value
    return len(content).to_bytes(4, "big") + content


def _parse_records(
    body: bytes, offset: int
) -> interfaces.Chunk | errors.Refusal:
    if len(body) < 16:
        return errors.refuse(errors.Kind.BAD_ANSWER, "no offsets")
    end_offset = int.from_bytes(body[:8], "big")
    records = []
    at = 16
    while at + 4 <= len(body):
        size = int.from_bytes(body[at : at + 4], "big")
        content = body[at + 4 : at + 4 + size]
        if len(content) < size or not size:
            break
        length = content[0]
        key = content[1 : 1 + length].decode("utf-8", "replace")
        records.append(
            interfaces.KeyedRecord(offset, key, content[1 + length :])
        )
        at += 4 + size
        offset += 1
    return interfaces.Chunk(records, offset, end_offset)


def decode(body: bytes, shape: Any) -> Any:
    """Return the JSON in `body` as `shape`, or a refusal."""
    try:
        return msgspec.json.decode(body, type=shape)
    except msgspec.MsgspecError as error:
        return errors.refuse(errors.Kind.BAD_ANSWER, str(error))


def _read_conflict(
    body: bytes, fence: interfaces.Fence | None
) -> int | errors.Refusal:
    conflict = decode(body, _Conflict)
    if errors.is_refusal(conflict):
        return conflict
    if (
        conflict.reason == "seq"
        and fence is not None
        and conflict.seq == fence.sequence + 1
    ):
        return 0  # it was done, and its first answer is forgotten
    return errors.refuse(
        errors.Kind.FENCED,
        f"append refused: {conflict.reason}, expects {conflict.seq}",
    )


def _refuse_status(reply: http.Reply) -> errors.Refusal:
    return errors.refuse(errors.Kind.LOG_UNAVAILABLE, f"status {reply.status}")


class TopicFeed(readers.TopicReader, interfaces.Feed):
    """Keep the newest values of a topic.

    Args:
        topic: The topic.
        name: Name in logs.
        wait_s: Longest wait of a read.
    """

    ANSWER_S = 0.8  # beyond the wait
    NEWEST_S = 2.0

    def __init__(self, *, topic: KeyedTopic, name: str, wait_s: float):
        super().__init__(
            name=name,
            topic=topic,
            timeouts=readers.ReadTimeouts(
                wait_s=wait_s,
                answer_s=wait_s + self.ANSWER_S,
                probe_s=self.ANSWER_S,
                newest_s=self.NEWEST_S,
            ),
        )
        self.values: dict[str, bytes] = {}

    def stop(self, *, timeout_s: float = 0.0) -> None:
        """Stop to read at once."""
        del timeout_s
        self.kill()

    @abc.abstractmethod
    def take_change(self, changed: set[str] | None) -> None:
        """Take the keys that changed, None for all of them."""

    def load_snapshot(self, chunk: interfaces.Chunk) -> None:
        """Begin anew with the newest records."""
        self.values = {}
        self._apply(chunk)
        self.is_loaded = True
        self.take_change(None)

    def apply_appended(self, chunk: interfaces.Chunk) -> None:
        """Take what was appended."""
        self._apply(chunk)
        if chunk.records:
            self.take_change({record.key for record in chunk.records})

    def on_store_regained(self) -> None:
        """Log that the topic is read again."""
        self.log.info("feed_regained")

    def on_store_lost(self, refusal: errors.Refusal) -> None:
        """Log that the topic is not read."""
        self.log.warn("feed_lost", reason=refusal.reason)

    def _apply(self, chunk: interfaces.Chunk) -> None:
        for record in chunk.records:
            if record.value:
                self.values[record.key] = record.value
            else:
                self.values.pop(record.key, None)
        self.next_offset = chunk.next_offset
