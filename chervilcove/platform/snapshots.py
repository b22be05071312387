"""Snapshots of a keyed topic: the newest record of each key, page by page.

After a loss of power all entries read the whole topic at once. They share what
the store can send, and the links of the smallest ones take seconds for a page.
A call that is given up costs the store as much as one that is answered. So each
one is given more time than the one before it, a page may take long while its
bytes arrive, and a page that failed is all that is read again.

The pages are not one consistent snapshot: the caller goes on with the records
that were appended since the first page. The store drops these after a while, so
a reader whose pages take long reads them between two pages.
"""

import base64
from collections.abc import Callable
import time
from typing import Any
from typing import NamedTuple

import msgspec

from chervilcove.control import interfaces
from chervilcove.core import errors
from chervilcove.core import http
from chervilcove.core import logs

# Ends a snapshot read whose pages never end. A page has up to 500 keys.
MAX_PAGES = 1_000
PAGE_TRIES = 3  # of each page, before the store counts as away
PAGE_LIMIT_S = 30.0  # for a page whose bytes keep arriving
# Limit of the factor by which tries without an answer raise the time-out.
MAX_TIMEOUT_FACTOR = 4
# Between reads of appended records. The store keeps records for 20 s or more.
APPENDED_INTERVAL_S = 5.0


class _Item(msgspec.Struct):
    """JSON format of one record of a page; `value` is in base64."""

    key: str
    value: str | None = None
    offset: int = 0


class _Page(msgspec.Struct):
    """JSON format of a page of the newest records."""

    items: list[_Item]
    end_offset: int
    has_more: bool = False


class _Progress:
    """What was read of a snapshot so far.

    Attributes:
        records: Records of the pages, and those appended meanwhile.
        after: Last key of the newest page.
        next_offset: All records before it are in `records`, or newer ones of
            their keys on the pages; None before the first page.
        end_offset: End of the topic at the newest page.
        pages: Number of pages.
        size: Size of the pages, bytes.
        failures: Number of tries of pages without an answer.
        timeout_factor: Factor of the time-out of the next try.
        began: Monotonic seconds of the first call.
        appended_at: Monotonic seconds of the newest read of appended records.
    """

    def __init__(self):
        self.records: list[interfaces.KeyedRecord] = []
        self.after: str | None = None
        self.next_offset: int | None = None
        self.end_offset = 0
        self.pages = 0
        self.size = 0
        self.failures = 0
        self.timeout_factor = 1
        self.began = self.appended_at = time.monotonic()


class PageRequest(NamedTuple):
    """Request for one page.

    Attributes:
        query: Query parameters beside topic and partition.
        timeout_s: Longest time without a byte of the answer, in seconds.
        limit_s: Longest time of the whole call, in seconds.
    """

    query: dict[str, Any]
    timeout_s: float
    limit_s: float


class SnapshotReader:
    """Read snapshots of one topic; go on after a failure.

    Args:
        topic: Name of the topic, for the log.
        get_page: Requests a page.
        read_appended: Returns the records from an offset, without waiting;
            takes the offset and a timeout in seconds.
    """

    def __init__(
        self,
        *,
        topic: str,
        get_page: Callable[[PageRequest], http.Reply | errors.Refusal],
        read_appended: Callable[
            [int, float], interfaces.Chunk | errors.Refusal
        ],
    ):
        self._topic = topic
        self._get_page = get_page
        self._read_appended = read_appended
        self._log = logs.Log(source="snapshot")
        self._progress: _Progress | None = None

    def read(self, *, timeout_s: float) -> interfaces.Chunk | errors.Refusal:
        """Return the newest record of each key.

        After a refusal, the next call continues with the page that failed.

        Args:
            timeout_s: Longest time without a byte of an answer, in seconds;
                longer after tries without one.
        """
        if self._progress is None:
            self._progress = _Progress()
        progress = self._progress
        while progress.pages < MAX_PAGES:
            refusal = self._read_appended_in_time(progress, timeout_s)
            if refusal is not None:
                return refusal
            page = self._read_page(progress, timeout_s)
            if errors.is_refusal(page):
                return page
            if not page.has_more or not page.items:
                break
        self._progress = None
        self._log.info(
            "snapshot_read",
            topic=self._topic,
            pages=progress.pages,
            bytes=progress.size,
            records=len(progress.records),
            failures=progress.failures,
            took_ms=int((time.monotonic() - progress.began) * 1000),
        )
        progress.records.sort()
        return interfaces.Chunk(
            progress.records, progress.next_offset or 0, progress.end_offset
        )

    def _read_page(
        self, progress: _Progress, timeout_s: float
    ) -> _Page | errors.Refusal:
        query = {} if progress.after is None else {"after": progress.after}
        reply: http.Reply | errors.Refusal = errors.refuse(
            errors.Kind.OUTCOME_UNKNOWN, "not called"
        )
        # Part of the answers may be lost.
        for _ in range(PAGE_TRIES):
            try_timeout_s = timeout_s * progress.timeout_factor
            asked = time.monotonic()
            reply = self._get_page(
                PageRequest(query, try_timeout_s, PAGE_LIMIT_S)
            )
            if not errors.is_refusal(reply):
                if time.monotonic() - asked < try_timeout_s / 2:
                    progress.timeout_factor = max(
                        1, progress.timeout_factor // 2
                    )
                break
            progress.failures += 1
            if reply.kind is not errors.Kind.OUTCOME_UNKNOWN:
                break
            progress.timeout_factor = min(
                MAX_TIMEOUT_FACTOR, progress.timeout_factor * 2
            )
        if errors.is_refusal(reply):
            return reply
        page = _parse_page(reply)
        if errors.is_refusal(page):
            return page
        progress.pages += 1
        progress.size += len(reply.body)
        progress.end_offset = max(progress.end_offset, page.end_offset)
        if progress.next_offset is None:
            progress.next_offset = page.end_offset
        if page.items:
            progress.after = page.items[-1].key
        try:
            progress.records += [
                interfaces.KeyedRecord(
                    item.offset, item.key, base64.b64decode(item.value or "")
                )
                for item in page.items
            ]
        except ValueError as error:
            self._progress = None
            return errors.refuse(errors.Kind.BAD_ANSWER, str(error))
        return page

    def _read_appended_in_time(
        self, progress: _Progress, timeout_s: float
    ) -> errors.Refusal | None:
        """Read appended records before the store drops them."""
        now = time.monotonic()
        if (
            progress.next_offset is None
            or now - progress.appended_at < APPENDED_INTERVAL_S
        ):
            return None
        chunk = self._read_appended(progress.next_offset, timeout_s)
        if errors.is_refusal(chunk):
            if chunk.kind is errors.Kind.GONE:
                self._log.warn(
                    "snapshot_lapsed",
                    topic=self._topic,
                    pages=progress.pages,
                    offset=progress.next_offset,
                )
                self._progress = None
            return chunk
        progress.records += chunk.records
        progress.next_offset = chunk.next_offset
        progress.end_offset = max(progress.end_offset, chunk.end_offset)
        if chunk.next_offset >= chunk.end_offset:
            progress.appended_at = now
        return None


def _parse_page(reply: http.Reply) -> _Page | errors.Refusal:
    if reply.status != 200:
        return errors.refuse(
            errors.Kind.LOG_UNAVAILABLE,
            f"store answered status {reply.status}",
        )
    try:
        return msgspec.json.decode(reply.body, type=_Page)
    except (msgspec.MsgspecError, RecursionError) as error:
        return errors.refuse(errors.Kind.BAD_ANSWER, str(error))
