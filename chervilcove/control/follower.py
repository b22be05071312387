"""The follower: keeps the job table up to date with the ledger.

Its table holds what was read from the ledger, and nothing else: callers must
not be told what may still be lost with the owner.
"""

from collections.abc import Callable
import time

import gevent
from gevent import event

from chervilcove.control import clocks
from chervilcove.control import interfaces
from chervilcove.control import readers
from chervilcove.control import sessions
from chervilcove.core import errors
from chervilcove.core import metrics as metric_values
from chervilcove.jobs import records
from chervilcove.jobs import table

# Maximum wait of a read for a record. The start and the end of an outage that
# loses answers are detected well within the 3 s allowed for that.
READ_WAIT_S = 1.0
READ_TIMEOUT_S = 1.9  # the wait, and the time that a slow ledger needs
# Timeout of reads during a ledger outage; a slow ledger answers in 0.25 s.
PROBE_TIMEOUT_S = 0.6
# Pause after a read at an entry that isn't the owner, so that one read returns
# many records. It adds to the age of the state that callers see, which may be
# up to 3 s old.
NON_OWNER_PAUSE_S = 0.2
WATCH_INTERVAL_S = 0.01  # polling interval of a caller that waits for a change
READ_TIMEOUTS = readers.ReadTimeouts(
    wait_s=READ_WAIT_S,
    answer_s=READ_TIMEOUT_S,
    probe_s=PROBE_TIMEOUT_S,
    newest_s=READ_TIMEOUT_S,
)
OWNED_KINDS = (records.Kind.UNIT, records.Kind.END)


class Follower(readers.TopicReader):
    """Read the ledger and apply its records to the job table.

    Args:
        ledger: The job ledger.
        clock: Time that the entries share.
        metrics: Metrics of this entry.
    """

    def __init__(
        self,
        *,
        ledger: interfaces.Ledger,
        clock: clocks.SharedClock,
        metrics: metric_values.Metrics,
    ):
        super().__init__(name="follower", topic=ledger, timeouts=READ_TIMEOUTS)
        self.clock = clock
        self._metrics = metrics
        self.table = table.JobTable()
        self.owner_seen_at = 0.0  # monotonic seconds
        self.worker_count = 0  # as an owner recorded it, 0 if unknown
        # Units with a start that may still be carried out, as recorded.
        self.open_starts: set[str] = set()
        # Earlier owners that may not know that they were replaced, and the
        # monotonic seconds until which they may renew leases.
        self._superseded: dict[records.Process, float] = {}
        # Epoch in which this entry is the owner, else None.
        self.own_epoch: int | None = None
        # Table by which that owner decides, None without one.
        self._working_table: table.JobTable | None = None
        # Newest append of that epoch that was read back from the ledger.
        self.own_sequence = 0
        self._listeners: list[Callable[[], None]] = []
        self._regain_listeners: list[Callable[[], None]] = []
        self._advanced = event.Event()
        self._watcher_count = 0
        self._watched = event.Event()

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Add a callback for applied records and for failed reads."""
        self._listeners.append(listener)

    def add_regain_listener(self, listener: Callable[[], None]) -> None:
        """Add a callback for the first answer after an outage."""
        self._regain_listeners.append(listener)

    def open_working_table(self) -> table.JobTable:
        """Return a copy of the table, to which an owner applies its records.

        Records of callers are added to it as they are read.
        """
        self._working_table = self.table.copy()
        return self._working_table

    def close_working_table(self) -> None:
        """Add nothing more to the working table."""
        self._working_table = None

    def list_renewing_owners(self) -> tuple[records.Process, ...]:
        """Return the owner and earlier owners that may still renew leases."""
        now = time.monotonic()
        found = {
            process
            for process, until in self.get_renewing_owners()
            if now < until
        }
        if not self.table.is_owner_gone():
            found.add(self.table.claim.process)
        return tuple(sorted(found))

    def get_renewing_owners(self) -> list[tuple[records.Process, float]]:
        """Return the replaced owners whose process may still live.

        Returns:
            Each process, and the monotonic seconds until which it may renew
            leases.
        """
        return [
            (process, until)
            for process, until in self._superseded.items()
            if not self.table.has_ended(process)
        ]

    def get_renewals_end(self) -> float:
        """Return the time until which replaced owners may renew leases.

        Returns:
            Monotonic seconds; minus infinity if none does.
        """
        return max(
            (until for _, until in self.get_renewing_owners()),
            default=float("-inf"),
        )

    def get_silence_s(self) -> float:
        """Return the seconds since the ledger last answered."""
        return time.monotonic() - self.last_read

    def sync(self, *, timeout_s: float) -> bool:
        """Wait until all records now in the ledger are applied.

        Returns:
            Whether they were applied within `timeout_s`.
        """
        deadline = time.monotonic() + timeout_s
        chunk = None
        with gevent.Timeout(timeout_s, False):
            chunk = self._topic.read(
                self.next_offset, wait_s=0.0, timeout_s=timeout_s
            )
        if chunk is None:
            return False
        if errors.is_refusal(chunk):
            return chunk.kind is errors.Kind.GONE and self._wait_for(
                self.next_offset + 1, deadline
            )
        return self._wait_for(chunk.end_offset, deadline)

    def wait_until(
        self, is_met: Callable[[], bool], *, timeout_s: float
    ) -> bool:
        """Wait until `is_met`, reading without pauses; return its result."""
        deadline = time.monotonic() + timeout_s
        self._watcher_count += 1
        self._watched.set()
        try:
            while not is_met() and time.monotonic() < deadline:
                gevent.sleep(WATCH_INTERVAL_S)
        finally:
            self._watcher_count -= 1
        return is_met()

    def _pause_reads(self) -> None:
        """Let records accumulate, unless a caller waits for them."""
        if not self._watcher_count:
            self._watched.clear()
            self._watched.wait(timeout=NON_OWNER_PAUSE_S)

    def load_snapshot(self, chunk: interfaces.Chunk) -> None:
        """Rebuild the table from the newest record of each key."""
        self.table = table.JobTable()
        self._superseded = {}
        self.open_starts = set()
        self.is_loaded = True
        self._apply(chunk, is_live=False)
        if self._working_table is not None:
            self._working_table.add_calls(self.table)
        self.owner_seen_at = time.monotonic()
        self.log.info(
            "ledger_loaded",
            offset=self.next_offset,
            jobs=len(self.table.jobs),
            records=len(chunk.records),
            epoch=self.table.epoch,
        )
        self._notify_listeners()

    def apply_appended(self, chunk: interfaces.Chunk) -> None:
        """Apply appended records."""
        self._apply(chunk, is_live=True)
        if self.own_epoch is None and not self.table.is_owner_gone():
            self._pause_reads()

    def on_store_regained(self) -> None:
        """Log that the ledger is reachable again."""
        self.log.info("ledger_regained", offset=self.next_offset)
        for listener in self._regain_listeners:
            listener()

    def on_store_lost(self, refusal: errors.Refusal) -> None:
        """Log that the ledger is unreachable."""
        self.log.warn(
            "ledger_lost", kind=refusal.kind.value, reason=refusal.reason
        )

    def on_read_failed(self, refusal: errors.Refusal) -> None:
        """Count a failed read, and notify the listeners."""
        self._metrics.count(f"ledger.read_failed.{refusal.kind.value}")
        self._notify_listeners()

    def on_records_lapsed(self) -> None:
        """Log that the next records are no longer in the ledger."""
        self.log.warn("ledger_lapsed", offset=self.next_offset)

    def _apply(self, chunk: interfaces.Chunk, *, is_live: bool) -> None:
        for one in chunk.records:
            record = records.decode(one.key, one.value)
            if errors.is_refusal(record):
                self._metrics.count("ledger.unreadable")
                self.log.warn(
                    "record_ignored", offset=one.offset, reason=record.reason
                )
                continue
            if record.kind in records.OWNER_KINDS:
                self.owner_seen_at = time.monotonic()
            if record.kind is records.Kind.BEAT and record.value is not None:
                self._record_heartbeat(record.value)
            if record.kind is records.Kind.CLAIM and record.value is not None:
                self._record_superseded(record.value)
            if record.kind is records.Kind.TIME:
                self._record_owner_time(record.value, is_live=is_live)
            if record.kind is records.Kind.FLEET:
                self.worker_count = record.value or 0
            if record.kind is records.Kind.OPEN_START:
                self._record_open_start(record)
            self.table.apply(record)
            if (
                is_live
                and self._working_table is not None
                and record.kind not in OWNED_KINDS
            ):
                self._working_table.apply(record)
        self.next_offset = chunk.next_offset
        if chunk.records:
            self._advanced.set()
            self._advanced.clear()
            self._notify_listeners()

    def _record_owner_time(
        self, owner_ms: int | None, *, is_live: bool
    ) -> None:
        if owner_ms is not None and self.own_epoch is None:
            self.clock.record_owner_time(
                owner_ms, is_live=is_live and self.is_current
            )

    def _record_superseded(self, claim: records.Claim) -> None:
        """Record until when owners replaced by now may renew leases.

        A time that was recorded by an earlier claim is kept.
        """
        if claim.epoch <= self.table.epoch:
            return
        until = time.monotonic() + sessions.RENEWALS_AFTER_CLAIM_S
        known = dict(self._superseded)
        if self.table.claim is not None:
            # This claim replaces it, maybe for the second time.
            known.pop(self.table.claim.process, None)
        self._superseded = {
            process: known.get(process, until) for process in claim.superseded
        }

    def _record_open_start(self, record: records.Record) -> None:
        if record.value is None:
            self.open_starts.discard(record.name)
        else:
            self.open_starts.add(record.name)

    def _record_heartbeat(self, beat: records.OwnerHeartbeat) -> None:
        if beat.epoch == self.own_epoch:
            self.own_sequence = max(self.own_sequence, beat.sequence)

    def _wait_for(self, offset: int, deadline: float) -> bool:
        while self.next_offset < offset:
            left_s = deadline - time.monotonic()
            if left_s <= 0:
                return False
            self._advanced.wait(timeout=left_s)
        return True

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener()
