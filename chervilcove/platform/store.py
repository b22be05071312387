"""HTTP client of the platform's store, and feeds of its keyed topics.

A keyed topic keeps the newest record of each key.
"""

import abc
from typing import Any
from typing import NamedTuple
from urllib import parse

import msgspec

from chervilcove.control import interfaces
from chervilcove.control import readers
from chervilcove.core import errors
from chervilcove.core import http
from chervilcove.core import traffic as traffic_values
from chervilcove.platform import snapshots

CONNECTIONS = 12  # long polls of three topics, and tries of appends
# A store that drops connection requests instead of refusing them would block
# until the timeout.
CONNECT_TIMEOUT_S = 0.6
MAX_READ_KB = 512  # twice the largest record
# Longest time of a read whose bytes keep arriving. The store keeps records for
# twice as long or more.
READ_LIMIT_S = 10.0
OWNER_PRODUCER = "owner"
PARTITION = 0


class _AppendResponse(msgspec.Struct):
    """Response to an append; `offset` is that of the first record."""

    offset: int


class _Conflict(msgspec.Struct):
    """Response to a refused append.

    Attributes:
        reason: Why the store refused the append.
        seq: Sequence number that the store expected.
    """

    reason: str = ""
    seq: int | None = None


class Address(NamedTuple):
    """IP address and TCP port of a service."""

    host: str
    port: int


def parse_address(text: str) -> Address:
    """Return the address in `text`, which has the form "IP:port".

    Raises:
        ValueError: The port is missing or not a number from 0 to 65535.
    """
    host, _, digits = text.rpartition(":")
    port = int(digits)
    if not 0 <= port < 2**16:
        raise ValueError(f"no such port: {port}")
    return Address(host, port)


def create_peer(
    address: Address, *, traffic: traffic_values.Traffic | None = None
) -> http.HttpPeer:
    """Return a client of the store at `address`."""
    return http.HttpPeer(
        host=address.host,
        port=address.port,
        connections=CONNECTIONS,
        connect_timeout_s=CONNECT_TIMEOUT_S,
        max_idle_s=10.0,
        traffic=traffic,
    )


class KeyedTopic(interfaces.Ledger):
    """Read and append one keyed topic.

    Args:
        peer: Client of the store.
        topic: Name of the topic; starts with "keyed.".
    """

    def __init__(self, *, peer: http.HttpPeer, topic: str):
        self._peer = peer
        self._topic = topic
        self._call_prefix = topic.removeprefix("keyed.") + "_"
        self._snapshots = snapshots.SnapshotReader(
            topic=topic,
            get_page=self._get_page,
            read_appended=lambda offset, timeout_s: self.read(
                offset, wait_s=0.0, timeout_s=timeout_s
            ),
        )

    def append(
        self,
        items: list[tuple[str, bytes]],
        *,
        fence: interfaces.Fence | None = None,
        timeout_s: float,
    ) -> int | errors.Refusal:
        """Append all `items` atomically; return the offset of the first."""
        query: dict[str, Any] = {"topic": self._topic, "part": PARTITION}
        if fence is not None:
            query["producer"] = OWNER_PRODUCER
            query["epoch"] = fence.epoch
            query["seq"] = fence.sequence
        reply = self._call(
            "POST",
            "/log-append",
            query,
            body=b"".join(_encode_record(key, value) for key, value in items),
            timeout_s=timeout_s,
        )
        if errors.is_refusal(reply):
            return reply
        if reply.status == 200:
            answer = decode(reply.body, _AppendResponse)
            if errors.is_refusal(answer):
                return answer._replace(kind=errors.Kind.OUTCOME_UNKNOWN)
            return answer.offset
        if reply.status == 409:
            return _parse_conflict(reply.body, fence)
        return _refuse_unexpected_status(reply)

    def read(
        self, offset: int, *, wait_s: float, timeout_s: float
    ) -> interfaces.Chunk | errors.Refusal:
        """Return the records from `offset`; wait up to `wait_s` for one.

        An entry that fell behind reads much at once, and a small link takes
        seconds for it.

        Args:
            offset: Offset of the first record.
            wait_s: Longest time that the store waits for a record, in seconds.
            timeout_s: Longest time without a byte of the answer, in seconds.
        """
        query = {
            "topic": self._topic,
            "part": PARTITION,
            "from": offset,
            "max_kb": MAX_READ_KB,
            "wait_ms": int(wait_s * 1000),
        }
        reply = self._call(
            "GET",
            "/log-read",
            query,
            timeout_s=timeout_s,
            limit_s=max(READ_LIMIT_S, timeout_s),
        )
        if errors.is_refusal(reply):
            return reply
        if reply.status == 410:
            return errors.refuse(
                errors.Kind.GONE, "the requested records are no longer stored"
            )
        if reply.status != 200:
            return _refuse_unexpected_status(reply)
        return _parse_records(reply.body, offset)

    def read_newest(
        self, *, timeout_s: float
    ) -> interfaces.Chunk | errors.Refusal:
        """Return the newest record of each key.

        The caller continues to read from `next_offset` of the result and so
        gets all changes since. After a refusal, the next call goes on where
        this one ended.

        Args:
            timeout_s: Longest time without a byte of an answer, in seconds.
        """
        return self._snapshots.read(timeout_s=timeout_s)

    def _get_page(
        self, request: snapshots.PageRequest
    ) -> http.Reply | errors.Refusal:
        return self._call(
            "GET",
            "/log-newest",
            {"topic": self._topic, "part": PARTITION, **request.query},
            timeout_s=request.timeout_s,
            limit_s=request.limit_s,
        )

    def _call(
        self,
        method: str,
        path: str,
        query: dict[str, Any],
        *,
        body: bytes = b"",
        timeout_s: float,
        limit_s: float | None = None,
    ) -> http.Reply | errors.Refusal:
        reply = self._peer.call(
            method,
            f"{path}?{parse.urlencode(query)}",
            body=body,
            headers={"Content-Type": "application/octet-stream"},
            timeout_s=timeout_s,
            limit_s=limit_s,
            name=self._call_prefix + path.removeprefix("/log-"),
        )
        if not errors.is_refusal(reply):
            return reply
        # Other idle connections may be unresponsive as well.
        self._peer.drop_idle()
        if reply.kind is errors.Kind.CONNECT_FAILED:
            return reply._replace(kind=errors.Kind.LOG_UNAVAILABLE)
        return reply._replace(kind=errors.Kind.OUTCOME_UNKNOWN)


def _encode_record(key: str, value: bytes) -> bytes:
    encoded_key = key.encode()
    content = bytes([len(encoded_key)]) + encoded_key + value
    return len(content).to_bytes(4, "big") + content


def _parse_records(
    body: bytes, offset: int
) -> interfaces.Chunk | errors.Refusal:
    if len(body) < 16:
        return errors.refuse(errors.Kind.BAD_ANSWER, "response has no offsets")
    end_offset = int.from_bytes(body[:8], "big")
    records = []
    position = 16
    while position + 4 <= len(body):
        size = int.from_bytes(body[position : position + 4], "big")
        content = body[position + 4 : position + 4 + size]
        if len(content) < size or not size:
            break
        key_size = content[0]
        key = content[1 : 1 + key_size].decode("utf-8", "replace")
        records.append(
            interfaces.KeyedRecord(offset, key, content[1 + key_size :])
        )
        position += 4 + size
        offset += 1
    return interfaces.Chunk(records, offset, end_offset)


def decode(body: bytes, shape: Any) -> Any:
    """Return the JSON in `body` decoded as type `shape`, or a refusal."""
    try:
        return msgspec.json.decode(body, type=shape)
    except (msgspec.MsgspecError, RecursionError) as error:
        return errors.refuse(errors.Kind.BAD_ANSWER, str(error))


def _parse_conflict(
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
        # The append was stored, but the store no longer has its response, so
        # the offset is unknown.
        return 0
    return errors.refuse(
        errors.Kind.FENCED,
        f"append refused: {conflict.reason}, expected sequence {conflict.seq}",
    )


def _refuse_unexpected_status(reply: http.Reply) -> errors.Refusal:
    return errors.refuse(
        errors.Kind.LOG_UNAVAILABLE, f"store answered status {reply.status}"
    )


class TopicFeed(readers.TopicReader, interfaces.Feed):
    """Feed that keeps the newest value of each key of a topic.

    Args:
        topic: The topic.
        name: Name in logs.
        wait_s: Maximum wait of a read for a record.
    """

    RESPONSE_TIMEOUT_S = 0.8  # in addition to the wait of the read
    SNAPSHOT_TIMEOUT_S = 2.0

    def __init__(self, *, topic: KeyedTopic, name: str, wait_s: float):
        super().__init__(
            name=name,
            topic=topic,
            timeouts=readers.ReadTimeouts(
                wait_s=wait_s,
                answer_s=wait_s + self.RESPONSE_TIMEOUT_S,
                probe_s=self.RESPONSE_TIMEOUT_S,
                newest_s=self.SNAPSHOT_TIMEOUT_S,
            ),
        )
        self.values: dict[str, bytes] = {}

    def stop(self, *, timeout_s: float = 0.0) -> None:
        """Stop reading at once, without waiting for an open read."""
        del timeout_s
        self.kill()

    @abc.abstractmethod
    def handle_changes(self, changed: set[str] | None) -> None:
        """Process the changed keys; None if any key may have changed."""

    def load_snapshot(self, chunk: interfaces.Chunk) -> None:
        """Replace all values by those of the newest records."""
        self.values = {}
        self._apply(chunk)
        self.is_loaded = True
        self.handle_changes(None)

    def apply_appended(self, chunk: interfaces.Chunk) -> None:
        """Apply appended records."""
        self._apply(chunk)
        if chunk.records:
            self.handle_changes({record.key for record in chunk.records})

    def on_store_regained(self) -> None:
        """Log that reads succeed again."""
        self.log.info("feed_regained")

    def on_store_lost(self, refusal: errors.Refusal) -> None:
        """Log that a read failed."""
        self.log.warn("feed_lost", reason=refusal.reason)

    def _apply(self, chunk: interfaces.Chunk) -> None:
        for record in chunk.records:
            if record.value:
                self.values[record.key] = record.value
            else:
                self.values.pop(record.key, None)
        self.next_offset = chunk.next_offset
