"""Writers that batch records into appends, with one append in flight.

The ledger spends 2 ms on an append and answers in 8 ms, but accepts many
records in one. A burst of 200 accepted jobs thus becomes a few appends.
"""

from collections.abc import Callable
import time
from typing import NamedTuple
from typing import TypeVar

import gevent
from gevent import event

from chervilcove.control import clocks
from chervilcove.control import interfaces
from chervilcove.core import errors
from chervilcove.core import metrics as metric_values
from chervilcove.core import tasks
from chervilcove.jobs import records

MAX_BATCH_BYTES = 1_000_000  # half of what the ledger accepts in one call
MAX_APPEND_TIMEOUT_S = 1.2  # bounds the wait for an answer that was lost
# In the specified worst case the ledger is 80 times slower than usual and
# answers in 0.32 s.
MIN_APPEND_TIMEOUT_S = 0.4
# Answers that take more than this multiple of the typical time count as lost.
TYPICAL_TIME_FACTOR = 4.0
MIN_GRACE_S = 0.05  # an answer and a read of its records take 8 ms each
# Weight, in the typical time, of an answer that is faster than typical.
FASTER_ANSWER_WEIGHT = 0.3
RETRY_S = 0.1  # pause after a failed append
HEARTBEAT_INTERVAL_S = 0.2  # of an idle owner; see `elections.OWNER_TIMEOUT_S`
TIME_INTERVAL_S = 1.0  # between records of the owner's time


class AppendTimeouts:
    """Adapt the timeouts of appends to the ledger's answer times.

    Half of the answers to writes may be lost for seconds, or all of them may
    take sixty times longer. With one append in flight, each lost answer delays
    all waiting records, while a repeated append does no harm.
    """

    def __init__(self):
        self._typical_s = 0.0

    def record_answer(self, took_s: float) -> None:
        """Update the typical time; a slower answer replaces it at once."""
        if took_s >= self._typical_s:
            self._typical_s = took_s
        else:
            self._typical_s += FASTER_ANSWER_WEIGHT * (took_s - self._typical_s)

    def get_timeout_s(self, losses: int) -> float:
        """Return the timeout after `losses` lost answers in a row."""
        first_s = max(
            MIN_APPEND_TIMEOUT_S, TYPICAL_TIME_FACTOR * self._typical_s
        )
        return min(MAX_APPEND_TIMEOUT_S, first_s * 2**losses)

    def get_grace_s(self) -> float:
        """Return the seconds to wait for an answer after a read-back."""
        return max(MIN_GRACE_S, self._typical_s)


class CallerItem:
    """A record whose caller waits for it to be stored.

    Attributes:
        key: Key of the record.
        value: Value of the record.
        deadline: Monotonic seconds by which the caller must be answered.
        was_sent: Whether an append in flight or with an unknown outcome may
            have stored the record.
        outcome: Set once it is known: None if stored, or a refusal.
    """

    def __init__(self, *, key: str, value: bytes, deadline: float):
        self.key = key
        self.value = value
        self.deadline = deadline
        self.was_sent = False
        self.outcome: event.AsyncResult = event.AsyncResult()


class CallerWriter(tasks.Task):
    """Append the records of callers, which may safely be written twice.

    Args:
        ledger: The job ledger.
        metrics: Metrics of this entry.
        is_read_back: Tells whether a record with a key was read from the
            ledger, which confirms it even if the answer was lost.
        tries: Failed appends in a row after which callers are refused.
    """

    def __init__(
        self,
        *,
        ledger: interfaces.Ledger,
        metrics: metric_values.Metrics,
        is_read_back: Callable[[str], bool],
        tries: int = 3,
    ):
        super().__init__(name="caller_writer")
        self._is_read_back = is_read_back
        self._ledger = ledger
        self._metrics = metrics
        self._tries = tries
        self._failures = 0
        self._lost_answers = 0  # in a row
        self._timeouts = AppendTimeouts()
        self._waiting: list[CallerItem] = []
        self._wake = event.Event()

    def write(
        self, key: str, value: bytes, *, timeout_s: float
    ) -> errors.Refusal | None:
        """Append one record, and wait until its outcome is known.

        Returns:
            None once the record is stored; `LOG_UNAVAILABLE` if it certainly
            never will be; `OUTCOME_UNKNOWN` if it may be, now or later.
        """
        item = CallerItem(
            key=key, value=value, deadline=time.monotonic() + timeout_s
        )
        self._waiting.append(item)
        self._wake.set()
        try:
            return item.outcome.get(timeout=timeout_s)
        except gevent.Timeout:
            if item in self._waiting:
                self._waiting.remove(item)
            if self._is_read_back(key):
                return None
            return _refuse_unstored(item, "the ledger did not answer in time")

    def run(self) -> None:
        """Append waiting records until stopped."""
        while not self.is_stopping:
            self._wake.wait(timeout=1.0)
            self._wake.clear()
            while self._waiting:
                self._append_batch()

    def _append_batch(self) -> None:
        batch = _pick_batch(self._waiting)
        del self._waiting[: len(batch)]
        now = time.monotonic()
        timeout_s = max(
            0.2,
            min(
                self._timeouts.get_timeout_s(self._lost_answers),
                max(item.deadline for item in batch) - now,
            ),
        )
        sent_before = [item.was_sent for item in batch]
        for item in batch:
            item.was_sent = True
        outcome = self._ledger.append(
            [(item.key, item.value) for item in batch], timeout_s=timeout_s
        )
        if not errors.is_refusal(outcome):
            self._failures = 0
            self._lost_answers = 0
            for item in batch:
                item.outcome.set(None)
            took_s = time.monotonic() - now
            self._timeouts.record_answer(took_s)
            self._metrics.record_time("ledger.append", took_s)
            return
        self._failures += 1
        is_sure = outcome.kind is errors.Kind.LOG_UNAVAILABLE
        self._lost_answers = 0 if is_sure else self._lost_answers + 1
        self._metrics.count(f"ledger.append_failed.{outcome.kind.value}")
        if is_sure:
            for item, was_sent in zip(batch, sent_before, strict=True):
                item.was_sent = was_sent
        for item in batch:
            if not item.outcome.ready() and self._is_read_back(item.key):
                item.outcome.set(None)
        if self._failures >= self._tries and is_sure:
            for item in batch:
                if not item.outcome.ready():
                    item.outcome.set(_refuse_unstored(item, outcome.reason))
            return
        self._waiting[:0] = [
            item
            for item in batch
            if not item.outcome.ready() and item.deadline > time.monotonic()
        ]
        self.sleep(RETRY_S)


def _refuse_unstored(item: CallerItem, reason: str) -> errors.Refusal:
    if item.was_sent:
        return errors.refuse(errors.Kind.OUTCOME_UNKNOWN, reason)
    return errors.refuse(errors.Kind.LOG_UNAVAILABLE, reason)


class OwnerItem(NamedTuple):
    """A record of the owner, and a callback for when it is stored.

    An item with an empty key is only a callback: it is called once all items
    before it are stored.
    """

    key: str
    value: bytes
    on_stored: Callable[[], None] | None


AnyItem = TypeVar("AnyItem", CallerItem, OwnerItem)


class OwnerWriter(tasks.Task):
    """Append the owner's records in order, each exactly once.

    Each append ends with a heartbeat record that holds its sequence number.
    Part of the answers to writes may be lost for seconds. The entry reads the
    ledger anyway, so reading that record back confirms the append as well.

    Args:
        ledger: The job ledger.
        epoch: Epoch of the owner.
        clock: Time that the entries share.
        on_deposed: Called with a reason once a newer owner is known.
        metrics: Metrics of this entry.
    """

    def __init__(
        self,
        *,
        ledger: interfaces.Ledger,
        epoch: int,
        clock: clocks.SharedClock,
        on_deposed: Callable[[str], None],
        metrics: metric_values.Metrics,
    ):
        super().__init__(name="owner_writer")
        self._ledger = ledger
        self._epoch = epoch
        # The claim itself had sequence number 0.
        self._sequence = 1
        self._read_back = 0  # newest sequence number read back
        self._is_read_back = event.Event()
        self._clock = clock
        self._time_written_at = float("-inf")  # on the boot clock
        self._on_deposed = on_deposed
        self._metrics = metrics
        self._timeouts = AppendTimeouts()
        self._waiting: list[OwnerItem] = []
        self._wake = event.Event()
        # Time, on the boot clock, at which the newest stored append was first
        # sent. Counting from the answer would let an owner that reads it late,
        # as after a suspension, renew leases for too long.
        self.stored_append_sent_at = clocks.read_boot_clock_s()

    @property
    def backlog(self) -> int:
        """Return the number of records that are not stored yet."""
        return len(self._waiting)

    def record_read_back(self, sequence: int) -> None:
        """Record the newest sequence number read from the ledger."""
        self._read_back = max(self._read_back, sequence)
        if self._read_back >= self._sequence:
            self._is_read_back.set()

    def enqueue(
        self,
        key: str,
        value: bytes,
        on_stored: Callable[[], None] | None = None,
    ) -> None:
        """Queue a record; call `on_stored` once it is stored."""
        self._waiting.append(OwnerItem(key, value, on_stored))
        self._wake.set()

    def call_when_stored(self, callback: Callable[[], None]) -> None:
        """Call `callback` once all records queued before are stored."""
        if self._waiting:
            self.enqueue("", b"", callback)
        else:
            callback()

    def run(self) -> None:
        """Append queued records, and heartbeats while there are none."""
        while not self.is_stopping:
            self._wake.wait(timeout=HEARTBEAT_INTERVAL_S)
            if self.is_stopping:
                return
            self._wake.clear()
            is_idle = not self._waiting
            while (self._waiting or is_idle) and not self.is_stopping:
                is_idle = False
                batch = _pick_batch(self._waiting)
                keyed = [item for item in batch if item.key]
                if (keyed or not batch) and not self._append(keyed):
                    return
                # Removed before the callbacks run, so that these records are
                # never appended again, whatever the callbacks do.
                del self._waiting[: len(batch)]
                for item in batch:
                    if item.on_stored is not None:
                        item.on_stored()

    def _append(self, batch: list[OwnerItem]) -> bool:
        """Append a batch, with retries until it is stored.

        Returns:
            Whether it was stored; False once deposed or stopped.
        """
        beat = records.OwnerHeartbeat(self._epoch, self._sequence)
        items = [
            *((item.key, item.value) for item in batch),
            *self._build_time_record(),
            (
                records.build_key(records.Kind.BEAT),
                records.encode_value(beat),
            ),
        ]
        losses = 0
        first_sent = clocks.read_boot_clock_s()
        while not self.is_stopping:
            began = time.monotonic()
            outcome = self._append_once(
                items, self._timeouts.get_timeout_s(losses)
            )
            if not errors.is_refusal(outcome):
                self._sequence += 1
                self.stored_append_sent_at = first_sent
                took_s = time.monotonic() - began
                self._timeouts.record_answer(took_s)
                self._metrics.record_time("ledger.owner_append", took_s)
                return True
            if outcome.kind is errors.Kind.OUTCOME_UNKNOWN:
                losses += 1
            self._metrics.count(
                f"ledger.owner_append_failed.{outcome.kind.value}"
            )
            if outcome.kind is errors.Kind.FENCED:
                self._on_deposed(outcome.reason)
                return False
            self.sleep(RETRY_S)
        return False

    def _build_time_record(self) -> list[tuple[str, bytes]]:
        """Return the record of the owner's time, if it is to be written."""
        now_s = clocks.read_boot_clock_s()
        if now_s - self._time_written_at < TIME_INTERVAL_S:
            return []
        self._time_written_at = now_s
        self._clock.steer()
        value = records.encode_value(self._clock.get_now_ms())
        return [(records.build_key(records.Kind.TIME), value)]

    def _append_once(
        self, items: list[tuple[str, bytes]], timeout_s: float
    ) -> int | None | errors.Refusal:
        """Append, and wait for the answer or until the records are read back.

        Returns:
            The answer, or None if the records were read back.
        """
        self._is_read_back.clear()
        call = gevent.spawn(
            self._ledger.append,
            items,
            fence=interfaces.Fence(self._epoch, self._sequence),
            timeout_s=timeout_s,
        )
        try:
            gevent.wait([call, self._is_read_back], count=1)
            # After a read-back, the answer mostly follows soon.
            call.join(timeout=self._timeouts.get_grace_s())
            if self._read_back < self._sequence:
                return call.get()
            if not call.ready():
                self._metrics.count("ledger.owner_append_read_back")
            return None
        finally:
            call.kill(block=False)


def _pick_batch(waiting: list[AnyItem]) -> list[AnyItem]:
    """Return the first items of `waiting`, as many as fit in one append."""
    batch: list[AnyItem] = []
    size = 0
    for item in waiting:
        if size >= MAX_BATCH_BYTES:
            break
        batch.append(item)
        size += len(item.key) + len(item.value)
    return batch
