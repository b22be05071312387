"""Writers: group records into appends, with one append in flight.

Load pattern: the ledger takes 2 ms an append and answers in 8 ms, but takes
many records in one. A burst of 200 accepted jobs is a few appends.
"""

from collections.abc import Callable
import time
from typing import NamedTuple
from typing import TypeVar

import gevent
from gevent import event

from chervilcove.control import interfaces
from chervilcove.core import errors
from chervilcove.core import metrics as metric_values
from chervilcove.core import tasks
from chervilcove.jobs import records

MAX_BATCH_BYTES = 1_000_000  # half of what the ledger takes in one call
APPEND_TIMEOUT_S = 1.2  # most time for an answer; a lost one never comes
# Least time for an answer: a ledger that is 80 times as slow as usual, the
# users' worst, answers in 0.32 s.
FIRST_TIMEOUT_S = 0.4
TIMES_USUAL = 4.0  # answers later than so many usual ones count as lost
LEAST_GRACE_S = 0.05  # an answer and a read of it take some 8 ms each
USUAL_WEIGHT = 0.3  # of an answer that comes sooner than the usual one
RETRY_S = 0.1  # pause after an append that surely did nothing
BEAT_S = 0.2  # sign of life of an idle owner; see `elections.SILENCE_S`


def read_clock() -> float:
    """Return seconds that also count while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class AnswerTimes:
    """Tell how long an answer of the ledger is waited for.

    Load pattern: half of the answers to writes are lost for seconds, or all
    of them take sixty times as long. One append is in flight at a time, so
    that each lost answer holds up all that waits; a repeat does no harm.
    """

    def __init__(self):
        self._usual_s = 0.0

    def note(self, took_s: float) -> None:
        """Learn from an answer; a later one than usual counts in full."""
        if took_s >= self._usual_s:
            self._usual_s = took_s
        else:
            self._usual_s += USUAL_WEIGHT * (took_s - self._usual_s)

    def get_timeout_s(self, losses: int) -> float:
        """Return the seconds to wait after `losses` answers in a row."""
        first_s = max(FIRST_TIMEOUT_S, TIMES_USUAL * self._usual_s)
        return min(APPEND_TIMEOUT_S, first_s * 2**losses)

    def get_grace_s(self) -> float:
        """Return the seconds by which an answer may follow its effect."""
        return max(LEAST_GRACE_S, self._usual_s)


class CallerItem:
    """Hold a record that a caller waits for.

    Attributes:
        key: Key of the record.
        value: Its value.
        deadline: Monotonic seconds at which the caller gets its answer.
        was_sent: Whether an append with it may have been done, or may be
            while it is under way.
        outcome: Set once it is known: None or a refusal.
    """

    def __init__(self, *, key: str, value: bytes, deadline: float):
        self.key = key
        self.value = value
        self.deadline = deadline
        self.was_sent = False
        self.outcome: event.AsyncResult = event.AsyncResult()


class CallerWriter(tasks.Task):
    """Append the records of callers; writing one twice does no harm.

    Args:
        ledger: The job ledger.
        metrics: Counters.
        is_read_back: Tells whether a record of this key was read in the
            ledger, so that an answer which is lost is not missed.
        tries: Appends that surely did nothing before a caller is refused.
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
        self._losses = 0  # answers lost in a row
        self._times = AnswerTimes()
        self._waiting: list[CallerItem] = []
        self._wake = event.Event()

    def write(
        self, key: str, value: bytes, *, timeout_s: float
    ) -> errors.Refusal | None:
        """Append one record and wait for it.

        Returns:
            None once it is stored; `LOG_UNAVAILABLE` where it surely never
            will be; `OUTCOME_UNKNOWN` where it may be, now or later.
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
            return _give_up(item, "no answer of the ledger in time")

    def run(self) -> None:
        """Append what waits until stopped."""
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
                self._times.get_timeout_s(self._losses),
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
            self._losses = 0
            for item in batch:
                item.outcome.set(None)
            took_s = time.monotonic() - now
            self._times.note(took_s)
            self._metrics.record_time("ledger.append", took_s)
            return
        self._failures += 1
        is_sure = outcome.kind is errors.Kind.LOG_UNAVAILABLE
        self._losses = 0 if is_sure else self._losses + 1
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
                    item.outcome.set(_give_up(item, outcome.reason))
            return
        self._waiting[:0] = [
            item
            for item in batch
            if not item.outcome.ready() and item.deadline > time.monotonic()
        ]
        self.rest(RETRY_S)


def _give_up(item: CallerItem, reason: str) -> errors.Refusal:
    if item.was_sent:
        return errors.refuse(errors.Kind.OUTCOME_UNKNOWN, reason)
    return errors.refuse(errors.Kind.LOG_UNAVAILABLE, reason)


class OwnerItem(NamedTuple):
    """Hold a record of the owner, and what follows once it is stored.

    One with an empty key is no record: all before it are to be stored.
    """

    key: str
    value: bytes
    on_stored: Callable[[], None] | None


AnyItem = TypeVar("AnyItem", CallerItem, OwnerItem)


class OwnerWriter(tasks.Task):
    """Append the owner's records in order, each exactly once.

    Each append ends with a beat that tells its number. Load pattern: a share
    of the answers to writes is lost for seconds. The owner reads the ledger
    anyway, and goes on once it reads its beat there.

    Args:
        ledger: The job ledger.
        epoch: Epoch of the owner.
        on_deposed: Called once a newer owner is known.
        metrics: Counters.
    """

    def __init__(
        self,
        *,
        ledger: interfaces.Ledger,
        epoch: int,
        on_deposed: Callable[[str], None],
        metrics: metric_values.Metrics,
    ):
        super().__init__(name="owner_writer")
        self._ledger = ledger
        self._epoch = epoch
        # The claim itself was number 0.
        self._sequence = 1
        self._read_back = 0  # newest number that was read in the ledger
        self._is_read_back = event.Event()
        self._on_deposed = on_deposed
        self._metrics = metrics
        self._times = AnswerTimes()
        self._waiting: list[OwnerItem] = []
        self._wake = event.Event()
        # By `read_clock`, when the newest append that is stored was first
        # sent: an answer that is read late, as after a suspension, does not
        # make an owner renew as if no time had passed.
        self.last_stored = read_clock()

    @property
    def backlog(self) -> int:
        """Return the records that are not stored yet."""
        return len(self._waiting)

    def note_read_back(self, sequence: int) -> None:
        """Learn the newest number that was read in the ledger."""
        self._read_back = max(self._read_back, sequence)
        if self._read_back >= self._sequence:
            self._is_read_back.set()

    def put(
        self,
        key: str,
        value: bytes,
        on_stored: Callable[[], None] | None = None,
    ) -> None:
        """Append a record; call `on_stored` once it is stored."""
        self._waiting.append(OwnerItem(key, value, on_stored))
        self._wake.set()

    def call_when_stored(self, callback: Callable[[], None]) -> None:
        """Call `callback` once all records put before are stored."""
        if self._waiting:
            self.put("", b"", callback)
        else:
            callback()

    def run(self) -> None:
        """Append what waits, and a beat when nothing does."""
        while not self.is_stopping:
            self._wake.wait(timeout=BEAT_S)
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
                # Never to be appended again, whatever their callers do.
                del self._waiting[: len(batch)]
                for item in batch:
                    if item.on_stored is not None:
                        item.on_stored()

    def _append(self, batch: list[OwnerItem]) -> bool:
        """Append until it is stored; return False once deposed."""
        beat = records.OwnerHeartbeat(self._epoch, self._sequence)
        items = [
            *((item.key, item.value) for item in batch),
            (
                records.build_key(records.Kind.BEAT),
                records.encode_value(beat),
            ),
        ]
        losses = 0
        first_sent = read_clock()
        while not self.is_stopping:
            began = time.monotonic()
            outcome = self._append_once(
                items, self._times.get_timeout_s(losses)
            )
            if not errors.is_refusal(outcome):
                self._sequence += 1
                self.last_stored = first_sent
                took_s = time.monotonic() - began
                self._times.note(took_s)
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
            self.rest(RETRY_S)
        return False

    def _append_once(
        self, items: list[tuple[str, bytes]], timeout_s: float
    ) -> int | None | errors.Refusal:
        """Append, until the answer comes or the records are read back.

        Returns:
            The answer, None if the records were read back without one.
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
            # Mostly the answer is on its way, too.
            call.join(timeout=self._times.get_grace_s())
            if self._read_back < self._sequence:
                return call.get()
            if not call.ready():
                self._metrics.count("ledger.owner_append_read_back")
            return None
        finally:
            call.kill(block=False)


def _pick_batch(waiting: list[AnyItem]) -> list[AnyItem]:
    """Return the first of `waiting`: as many as one append takes."""
    batch: list[AnyItem] = []
    size = 0
    for item in waiting:
        if size >= MAX_BATCH_BYTES:
            break
        batch.append(item)
        size += len(item.key) + len(item.value)
    return batch
