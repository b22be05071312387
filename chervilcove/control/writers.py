"""Writers that batch records into appends, with one append in flight.

The ledger spends 2 ms on an append and answers in 8 ms, but accepts many
records in one. A burst of 200 accepted jobs thus becomes a few appends.
"""

from collections.abc import Callable
import time
from typing import TypeVar

import gevent
from gevent import event

from chervilcove.control import interfaces
from chervilcove.core import errors
from chervilcove.core import metrics as metric_values
from chervilcove.core import tasks

# A batch that a link doesn't carry within MAX_APPEND_TIMEOUT_S would never be
# stored. This one needs half a second at 0.5 Mbit/s.
MAX_BATCH_BYTES = 32_000
# On a link of known rate, an append takes no longer than this to pass it: the
# owner's heartbeat is the last of its records.
BATCH_S = 0.15
MIN_BATCH_BYTES = 4_000
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
# Tries after which the pause before the next one grows.
RESENDS_BEFORE_BACK_OFF = 4


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

    def get_resend_s(
        self, tries: int, *, least_s: float, factor: float
    ) -> float:
        """Return the seconds after which an append is sent again.

        Args:
            tries: Number of tries so far.
            least_s: The least time, for a ledger that answers as usual.
            factor: Multiple of the typical time that is waited for at least.
        """
        spacing_s = max(least_s, factor * self._typical_s)
        doublings = max(0, tries - RESENDS_BEFORE_BACK_OFF)
        return min(MAX_APPEND_TIMEOUT_S, spacing_s * 2**doublings)

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
        relay: Appends records through the owner, as `RecordRelay.append`;
            None if this entry always appends on its own.
        tries: Failed appends in a row after which callers are refused.
        link_mbps: Rate of the link in Mbit/s, 0 for unknown.
    """

    def __init__(
        self,
        *,
        ledger: interfaces.Ledger,
        metrics: metric_values.Metrics,
        is_read_back: Callable[[str], bool],
        relay: Callable[..., errors.Refusal | None] | None = None,
        tries: int = 3,
        link_mbps: float = 0.0,
    ):
        super().__init__(name="caller_writer")
        self._is_read_back = is_read_back
        self._ledger = ledger
        self._metrics = metrics
        self._relay = relay
        self._tries = tries
        self._batch_bytes = compute_batch_bytes(link_mbps)
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
        batch = pick_batch(self._waiting, max_bytes=self._batch_bytes)
        del self._waiting[: len(batch)]
        now = time.monotonic()
        left_s = max(item.deadline for item in batch) - now
        sent_before = [item.was_sent for item in batch]
        for item in batch:
            item.was_sent = True
        outcome = self._append_items(
            [(item.key, item.value) for item in batch], left_s
        )
        if not errors.is_refusal(outcome):
            self._failures = 0
            self._lost_answers = 0
            for item in batch:
                item.outcome.set(None)
            self._metrics.record_time("ledger.append", time.monotonic() - now)
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

    def _append_items(
        self, items: list[tuple[str, bytes]], left_s: float
    ) -> int | None | errors.Refusal:
        """Append through the owner, or else on its own.

        Args:
            items: Keys and values of the records.
            left_s: Seconds until the last of the callers gives up.
        """
        if self._relay is not None:
            outcome = self._relay(items, timeout_s=max(0.2, left_s))
            if not (
                errors.is_refusal(outcome)
                and outcome.kind is errors.Kind.CONNECT_FAILED
            ):
                return outcome
        began = time.monotonic()
        outcome = self._ledger.append(
            items,
            timeout_s=max(
                0.2,
                min(self._timeouts.get_timeout_s(self._lost_answers), left_s),
            ),
        )
        if not errors.is_refusal(outcome):
            self._timeouts.record_answer(time.monotonic() - began)
        return outcome


def _refuse_unstored(item: CallerItem, reason: str) -> errors.Refusal:
    if item.was_sent:
        return errors.refuse(errors.Kind.OUTCOME_UNKNOWN, reason)
    return errors.refuse(errors.Kind.LOG_UNAVAILABLE, reason)


Item = TypeVar("Item")


def compute_batch_bytes(link_mbps: float) -> int:
    """Return the size of the largest batch for a link, 0 for unknown."""
    if not link_mbps:
        return MAX_BATCH_BYTES
    passing = int(link_mbps * 1e6 / 8 * BATCH_S)
    return max(MIN_BATCH_BYTES, min(MAX_BATCH_BYTES, passing))


def pick_batch(
    waiting: list[Item], *, max_bytes: int = MAX_BATCH_BYTES
) -> list[Item]:
    """Return the first items of `waiting`, as many as fit in one append.

    Args:
        waiting: Items with the attributes `key` and `value`.
        max_bytes: Size after which no item is added.
    """
    batch: list[Item] = []
    size = 0
    for item in waiting:
        if size >= max_bytes:
            break
        batch.append(item)
        size += len(item.key) + len(item.value)
    return batch
