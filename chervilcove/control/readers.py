"""Readers that follow a topic of the store, also through its outages."""

import abc
import time
from typing import NamedTuple

from chervilcove.control import clocks
from chervilcove.control import interfaces
from chervilcove.core import errors
from chervilcove.core import tasks

RETRY_S = 0.15  # pause after a failed read; up to 7 reads/s in an outage


class ReadTimeouts(NamedTuple):
    """Timeouts of reads, in seconds.

    Attributes:
        wait_s: Maximum wait of a read for a record.
        answer_s: Timeout of a read that waits, including the wait.
        probe_s: Timeout of a read while the store is unreachable.
        newest_s: Timeout of a read of the newest records.
    """

    wait_s: float
    answer_s: float
    probe_s: float
    newest_s: float


class TopicReader(tasks.Task):
    """Read the newest record of each key, then follow appended records.

    While the store is unreachable, reads don't wait for records. Otherwise a
    read whose answer is lost would delay the detection of the store's return
    by its whole wait.

    Args:
        name: Name in logs.
        topic: The topic.
        timeouts: Timeouts of the reads.
    """

    def __init__(
        self, *, name: str, topic: interfaces.Ledger, timeouts: ReadTimeouts
    ):
        super().__init__(name=name)
        self._topic = topic
        self._timeouts = timeouts
        self.next_offset = 0
        self.is_loaded = False
        # End of the topic at the last page of the snapshot, and the offsets of
        # records in it that are newer than its first page, by key.
        self._snapshot_end = 0
        self._newer_offsets: dict[str, int] = {}
        # Monotonic seconds.
        self.last_read = 0.0
        self.reachable_since: float | None = None
        # Boot clock, seconds: all records as old as this were applied.
        self.caught_up_at = float("-inf")

    @property
    def is_current(self) -> bool:
        """Tell whether all records as old as the snapshot were applied.

        Its pages are read one after the other. What was appended meanwhile to
        keys of earlier pages follows with the appended records.
        """
        return self.is_loaded and self.next_offset >= self._snapshot_end

    def run(self) -> None:
        """Read the topic until stopped."""
        while not self.is_stopping:
            is_whole = not self.is_loaded
            wait_s = 0.0 if is_whole else self._get_wait_s()
            asked_at = clocks.read_boot_clock_s()
            chunk = (
                self._read_snapshot()
                if is_whole
                else self._read_appended(wait_s)
            )
            # The store answers within the wait. A process that was paused may
            # read the answer long after that.
            answered_at = min(clocks.read_boot_clock_s(), asked_at + wait_s)
            if errors.is_refusal(chunk):
                self._handle_failure(chunk)
                continue
            self._handle_success()
            if is_whole:
                self._snapshot_end = chunk.end_offset
                self._newer_offsets = {
                    one.key: one.offset
                    for one in chunk.records
                    if one.offset >= chunk.next_offset
                }
                self.load_snapshot(chunk)
            else:
                self.apply_appended(self._drop_superseded(chunk))
            if self.is_current and self.next_offset >= chunk.end_offset:
                self.caught_up_at = answered_at
                self.on_caught_up()

    @abc.abstractmethod
    def load_snapshot(self, chunk: interfaces.Chunk) -> None:
        """Replace the state by the newest records; set `is_loaded`."""

    @abc.abstractmethod
    def apply_appended(self, chunk: interfaces.Chunk) -> None:
        """Apply appended records."""

    def on_caught_up(self) -> None:
        """Handle that all records at the time of the read were applied."""

    def on_store_regained(self) -> None:
        """Handle the first answer after an outage."""

    def on_store_lost(self, refusal: errors.Refusal) -> None:
        """Handle the first failed read of an outage."""

    def on_read_failed(self, refusal: errors.Refusal) -> None:
        """Handle each failed read, before the pause."""

    def on_records_lapsed(self) -> None:
        """Handle that the next records are no longer in the topic."""

    def _read_snapshot(self) -> interfaces.Chunk | errors.Refusal:
        return self._topic.read_newest(timeout_s=self._timeouts.newest_s)

    def _get_wait_s(self) -> float:
        return 0.0 if self.reachable_since is None else self._timeouts.wait_s

    def _read_appended(
        self, wait_s: float
    ) -> interfaces.Chunk | errors.Refusal:
        return self._topic.read(
            self.next_offset,
            wait_s=wait_s,
            timeout_s=self._timeouts.answer_s
            if wait_s
            else self._timeouts.probe_s,
        )

    def _drop_superseded(self, chunk: interfaces.Chunk) -> interfaces.Chunk:
        """Leave out records older than those of the snapshot."""
        if not self._newer_offsets:
            return chunk
        kept = [
            one
            for one in chunk.records
            if one.offset >= self._newer_offsets.get(one.key, 0)
        ]
        if chunk.next_offset >= self._snapshot_end:
            self._newer_offsets = {}
        return chunk._replace(records=kept)

    def _handle_success(self) -> None:
        now = time.monotonic()
        if self.reachable_since is None:
            self.reachable_since = now
            self.on_store_regained()
        self.last_read = now

    def _handle_failure(self, refusal: errors.Refusal) -> None:
        if refusal.kind is errors.Kind.GONE:
            self.on_records_lapsed()
            self.is_loaded = False
            return
        if self.reachable_since is not None:
            self.reachable_since = None
            self.on_store_lost(refusal)
        self.on_read_failed(refusal)
        self.sleep(RETRY_S)
