"""The follower: keeps the job table in step with the ledger."""

from collections.abc import Callable
import time

import gevent
from gevent import event

from chervilcove.control import interfaces
from chervilcove.control import readers
from chervilcove.core import errors
from chervilcove.core import metrics as metric_values
from chervilcove.jobs import records
from chervilcove.jobs import table

# A read waits this long for a record: an outage that swallows answers is
# noticed, and its end found, well within the 3 s that the users allow.
READ_WAIT_S = 1.0
READ_TIMEOUT_S = 1.9  # above the wait by what a slow ledger takes to answer
# Time for an answer while the ledger is away; a slow one takes 0.25 s.
PROBE_TIMEOUT_S = 0.6
# Pause after a read at an entry that does not decide, so that one read brings
# many records; callers see a state that is older by as much, 3 s are allowed.
BYSTANDER_PAUSE_S = 0.2
WATCH_STEP_S = 0.01  # between looks of a caller that waits for a change
TIMES = readers.ReadTimeouts(
    wait_s=READ_WAIT_S,
    answer_s=READ_TIMEOUT_S,
    probe_s=PROBE_TIMEOUT_S,
    newest_s=READ_TIMEOUT_S,
)
OWNED_KINDS = (records.Kind.UNIT, records.Kind.END)


class Follower(readers.TopicReader):
    """Read the ledger and apply its records.

    Args:
        ledger: The job ledger.
        metrics: Counters.
    """

    def __init__(
        self, *, ledger: interfaces.Ledger, metrics: metric_values.Metrics
    ):
        super().__init__(name="follower", topic=ledger, times=TIMES)
        self._metrics = metrics
        self.table = table.JobTable()
        self.last_owner_sign = 0.0  # monotonic seconds
        # Epoch of this entry's own decisions: their records were applied
        # when they were written.
        self.own_epoch: int | None = None
        # Newest append of that epoch that was read back.
        self.own_sequence = 0
        self._listeners: list[Callable[[], None]] = []
        self._advanced = event.Event()
        self._watchers = 0
        self._watched = event.Event()

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call `listener` after records were applied or reads failed."""
        self._listeners.append(listener)

    def get_silence_s(self) -> float:
        """Return the seconds since the ledger last answered."""
        return time.monotonic() - self.last_read

    def sync(self, *, timeout_s: float) -> bool:
        """Wait until everything in the ledger by now is applied."""
        deadline = time.monotonic() + timeout_s
        chunk = self._topic.read(
            self.next_offset, wait_s=0.0, timeout_s=timeout_s
        )
        if errors.is_refusal(chunk):
            return chunk.kind is errors.Kind.GONE and self._wait_for(
                self.next_offset + 1, deadline
            )
        return self._wait_for(chunk.end_offset, deadline)

    def wait_until(
        self, is_met: Callable[[], bool], *, timeout_s: float
    ) -> bool:
        """Follow without pauses until `is_met`; tell whether it is.

        An entry that decides changes the table without a read, so this looks
        at the table and does not wait for reads.
        """
        deadline = time.monotonic() + timeout_s
        self._watchers += 1
        self._watched.set()
        try:
            while not is_met() and time.monotonic() < deadline:
                gevent.sleep(WATCH_STEP_S)
        finally:
            self._watchers -= 1
        return is_met()

    def _pause(self) -> None:
        """Let records gather, unless a caller waits for them."""
        if not self._watchers:
            self._watched.clear()
            self._watched.wait(timeout=BYSTANDER_PAUSE_S)

    def load_snapshot(self, chunk: interfaces.Chunk) -> None:
        """Build the table anew from the newest record of each key."""
        self.table = table.JobTable()
        self.own_epoch = None
        self._apply(chunk)
        self.is_loaded = True
        self.last_owner_sign = time.monotonic()
        self.log.info(
            "ledger_loaded",
            offset=self.next_offset,
            jobs=len(self.table.jobs),
            records=len(chunk.records),
            epoch=self.table.epoch,
        )
        self._tell()

    def apply_appended(self, chunk: interfaces.Chunk) -> None:
        """Apply what was appended."""
        self._apply(chunk)
        if self.own_epoch is None and not self.table.is_owner_gone():
            self._pause()

    def on_store_regained(self) -> None:
        """Log that the ledger answers again."""
        self.log.info("ledger_regained", offset=self.next_offset)

    def on_store_lost(self, refusal: errors.Refusal) -> None:
        """Log that the ledger does not answer."""
        self.log.warn(
            "ledger_lost", kind=refusal.kind.value, reason=refusal.reason
        )

    def note_failed(self, refusal: errors.Refusal) -> None:
        """Count a failed read, and tell the listeners."""
        self._metrics.count(f"ledger.read_failed.{refusal.kind.value}")
        self._tell()

    def note_lapsed(self) -> None:
        """Log that the records to read next have lapsed."""
        self.log.warn("ledger_lapsed", offset=self.next_offset)

    def _apply(self, chunk: interfaces.Chunk) -> None:
        for one in chunk.records:
            record = records.decode(one.key, one.value)
            if errors.is_refusal(record):
                self._metrics.count("ledger.unreadable")
                self.log.warn(
                    "record_ignored", offset=one.offset, reason=record.reason
                )
                continue
            if record.kind in records.OWNER_KINDS:
                self.last_owner_sign = time.monotonic()
            if self.own_epoch is not None and record.kind in OWNED_KINDS:
                continue
            if record.kind is records.Kind.BEAT and record.value is not None:
                self._note_beat(record.value)
            self.table.apply(record)
        self.next_offset = chunk.next_offset
        if chunk.records:
            self._advanced.set()
            self._advanced.clear()
            self._tell()

    def _note_beat(self, beat: records.OwnerHeartbeat) -> None:
        if beat.epoch == self.own_epoch:
            self.own_sequence = max(self.own_sequence, beat.sequence)

    def _wait_for(self, offset: int, deadline: float) -> bool:
        while self.next_offset < offset:
            left_s = deadline - time.monotonic()
            if left_s <= 0:
                return False
            self._advanced.wait(timeout=left_s)
        return True

    def _tell(self) -> None:
        for listener in self._listeners:
            listener()
