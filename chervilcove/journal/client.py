"""Client of the platform's log service."""

from typing import Any
from typing import NamedTuple

from chervilcove.core import errors
from chervilcove.core import frames
from chervilcove.core import http
from chervilcove.journal import conf

# Statuses that the log protocol returns only if the record was not appended.
_NOT_APPENDED_STATUSES = frozenset({400, 404, 413, 429, 503})


class Record(NamedTuple):
    """One record of a stream.

    Attributes:
        offset: Position in the stream, from 0.
        time: Time at which the log service appended it, seconds since the
            Unix epoch.
        content: The bytes appended.
    """

    offset: int
    time: float
    content: bytes


class Page(NamedTuple):
    """Records returned by one read.

    Attributes:
        first: Offset of the oldest record retained.
        next: Offset that the next append gets.
        records: Records in order of offset.
    """

    first: int
    next: int
    records: list[Record]


class Head(NamedTuple):
    """Bounds of a stream, with the fields as in `Page`."""

    first: int
    next: int


class LogClient:
    """Client that appends to streams and reads from them.

    Args:
        host: IP address of the log service.
        port: TCP port.
    """

    def __init__(self, *, host: str, port: int):
        self._peer = http.HttpPeer(host=host, port=port, connections=16)

    def append(self, stream: str, content: bytes) -> int | errors.Refusal:
        """Append one record and return its offset.

        Returns:
            The offset; `LOG_UNAVAILABLE` or `CONNECT_FAILED` if the record
            was certainly not appended; `OUTCOME_UNKNOWN` or another refusal
            if it may have been.
        """
        path = f"/v1/streams/{stream}/records"
        reply = self._peer.call(
            "POST", path, body=content, timeout_s=conf.APPEND_TIMEOUT_S
        )
        if errors.is_refusal(reply):
            return reply
        if reply.status in _NOT_APPENDED_STATUSES:
            return _refuse(reply.status)
        value = reply.decode()
        if errors.is_refusal(value):
            return errors.refuse(errors.Kind.OUTCOME_UNKNOWN, value.reason)
        try:
            return int(value["offset"])
        except (KeyError, TypeError, ValueError):
            return errors.refuse(
                errors.Kind.OUTCOME_UNKNOWN,
                f"log service answered {reply.status} without an offset",
            )

    def read(
        self, stream: str, *, offset: int, limit: int = 500, wait_s: float = 0
    ) -> Page | errors.Refusal:
        """Return records from `offset` on.

        Args:
            stream: Name of the stream.
            offset: Offset of the first record wanted.
            limit: Maximum number of records.
            wait_s: Maximum time that the log service waits for a record to be
                appended if there is none (long poll).
        """
        path = (
            f"/v1/streams/{stream}/records"
            f"?offset={offset}&limit={limit}&wait_ms={int(wait_s * 1000)}"
        )
        timeout_s = wait_s + conf.READ_TIMEOUT_S
        reply = self._peer.call("GET", path, timeout_s=timeout_s)
        if errors.is_refusal(reply):
            return reply
        if reply.status != 200:
            return _refuse(reply.status)
        return _parse_page(frames.decode(reply.body))

    def read_head(self, stream: str) -> Head | errors.Refusal:
        """Return the offsets of the oldest and the next record."""
        value = self._peer.call_json(
            "GET", f"/v1/streams/{stream}", timeout_s=conf.READ_TIMEOUT_S
        )
        if errors.is_refusal(value):
            return value
        try:
            return Head(first=int(value["first"]), next=int(value["next"]))
        except (KeyError, TypeError, ValueError) as error:
            return errors.refuse(errors.Kind.BAD_ANSWER, f"head: {error}")

    def close(self) -> None:
        """Close all connections."""
        self._peer.close()


def count_lapsed_records(page: Page, offset: int) -> int:
    """Return how many records from `offset` on are no longer retained.

    If the records asked for are past retention, the log service returns the
    oldest ones it has. A reader that applied these would skip the missing
    records without noticing.
    """
    start = page.records[0].offset if page.records else page.first
    return max(page.first - offset, start - offset, 0)


def _parse_page(value: Any) -> Page | errors.Refusal:
    if errors.is_refusal(value):
        return value
    try:
        return Page(
            first=int(value["first"]),
            next=int(value["next"]),
            records=[Record(*record) for record in value["records"]],
        )
    except (KeyError, TypeError, ValueError) as error:
        return errors.refuse(errors.Kind.BAD_ANSWER, f"page: {error}")


def _refuse(status: int) -> errors.Refusal:
    return errors.refuse(
        errors.Kind.LOG_UNAVAILABLE, f"log service answered {status}"
    )
