"""Readers: follow a topic of the store, whatever becomes of the store."""

import abc
import time
from typing import NamedTuple

from chervilcove.control import interfaces
from chervilcove.core import errors
from chervilcove.core import tasks

RETRY_S = 0.15  # pause after a failed read; 7 reads a second while it is away


class ReadTimeouts(NamedTuple):
    """Hold the times of reads, in seconds.

    Attributes:
        wait_s: How long a read waits for a record.
        answer_s: Time for the answer to a read that waits.
        probe_s: Time for an answer while the store is away.
        newest_s: Time for the answer to a read of the newest records.
    """

    wait_s: float
    answer_s: float
    probe_s: float
    newest_s: float


class TopicReader(tasks.Task):
    """Read the newest record of each key, and then what is appended.

    While the store is away, reads are short: one that is swallowed would
    hide its return for as long as it waits.

    Args:
        name: Name in logs.
        topic: The topic.
        times: Times of its reads.
    """

    def __init__(
        self, *, name: str, topic: interfaces.Ledger, times: ReadTimeouts
    ):
        super().__init__(name=name)
        self._topic = topic
        self._times = times
        self.next_offset = 0
        self.is_loaded = False
        # Monotonic seconds.
        self.last_read = 0.0
        self.reachable_since: float | None = None

    def run(self) -> None:
        """Read until stopped."""
        while not self.is_stopping:
            is_whole = not self.is_loaded
            chunk = self._read_whole() if is_whole else self._read_on()
            if errors.is_refusal(chunk):
                self._note_failure(chunk)
                continue
            self._note_success()
            if is_whole:
                self.load_snapshot(chunk)
            else:
                self.apply_appended(chunk)

    @abc.abstractmethod
    def load_snapshot(self, chunk: interfaces.Chunk) -> None:
        """Begin anew with the newest records; set `is_loaded`."""

    @abc.abstractmethod
    def apply_appended(self, chunk: interfaces.Chunk) -> None:
        """Take what was appended."""

    def on_store_regained(self) -> None:
        """Do what follows once the store answers again."""

    def on_store_lost(self, refusal: errors.Refusal) -> None:
        """Do what follows once the store does not answer."""

    def note_failed(self, refusal: errors.Refusal) -> None:
        """Do what follows each failed read, before the pause."""

    def note_lapsed(self) -> None:
        """Do what follows where the records to read next have lapsed."""

    def _read_whole(self) -> interfaces.Chunk | errors.Refusal:
        return self._topic.read_newest(timeout_s=self._times.newest_s)

    def _read_on(self) -> interfaces.Chunk | errors.Refusal:
        is_away = self.reachable_since is None
        return self._topic.read(
            self.next_offset,
            wait_s=0.0 if is_away else self._times.wait_s,
            timeout_s=self._times.probe_s if is_away else self._times.answer_s,
        )

    def _note_success(self) -> None:
        now = time.monotonic()
        if self.reachable_since is None:
            self.reachable_since = now
            self.on_store_regained()
        self.last_read = now

    def _note_failure(self, refusal: errors.Refusal) -> None:
        if refusal.kind is errors.Kind.GONE:
            self.note_lapsed()
            self.is_loaded = False
            return
        if self.reachable_since is not None:
            self.reachable_since = None
            self.on_store_lost(refusal)
        self.note_failed(refusal)
        self.rest(RETRY_S)
