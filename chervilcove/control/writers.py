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

from chervilcove.control import ports
from chervilcove.core import errors
from chervilcove.core import metrics as metric_values
from chervilcove.core import tasks

MAX_BATCH_BYTES = 1_000_000  # half of what the ledger takes in one call
APPEND_TIMEOUT_S = 1.2  # a slow ledger answers in 0.25 s; a lost one never
RETRY_S = 0.1  # pause after an append that surely did nothing
BEAT_S = 0.3  # sign of life of an idle owner; see `elections.SILENCE_S`


def read_clock() -> float:
    """Return seconds that also count while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


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
        tries: Appends that surely did nothing before a caller is refused.
    """

    def __init__(
        self,
        *,
        ledger: ports.Ledger,
        metrics: metric_values.Metrics,
        tries: int = 3,
    ):
        super().__init__(name="caller_writer")
        self._ledger = ledger
        self._metrics = metrics
        self._tries = tries
        self._failures = 0
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
            0.2, min(APPEND_TIMEOUT_S, max(x.deadline for x in batch) - now)
        )
        sent_before = [item.was_sent for item in batch]
        for item in batch:
            item.was_sent = True
        outcome = self._ledger.append(
            [(item.key, item.value) for item in batch], timeout_s=timeout_s
        )
        if not errors.is_refusal(outcome):
            self._failures = 0
            for item in batch:
                item.outcome.set(None)
            self._metrics.record_time("ledger.append", time.monotonic() - now)
            return
        self._failures += 1
        is_sure = outcome.kind is errors.Kind.LOG_UNAVAILABLE
        self._metrics.count(f"ledger.append_failed.{outcome.kind.value}")
        if is_sure:
            for item, was_sent in zip(batch, sent_before, strict=True):
                item.was_sent = was_sent
        if self._failures >= self._tries and is_sure:
            for item in batch:
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
    """Hold a record of the owner, and what follows once it is stored."""

    key: str
    value: bytes
    on_stored: Callable[[], None] | None


AnyItem = TypeVar("AnyItem", CallerItem, OwnerItem)


class OwnerWriter(tasks.Task):
    """Append the owner's records in order, each exactly once.

    Args:
        ledger: The job ledger.
        epoch: Epoch of the owner.
        beat: Builds a record that shows that the owner is alive.
        on_deposed: Called once a newer owner is known.
        metrics: Counters.
    """

    def __init__(
        self,
        *,
        ledger: ports.Ledger,
        epoch: int,
        beat: Callable[[], tuple[str, bytes]],
        on_deposed: Callable[[str], None],
        metrics: metric_values.Metrics,
    ):
        super().__init__(name="owner_writer")
        self._ledger = ledger
        self._epoch = epoch
        # The claim itself was number 0.
        self._sequence = 1
        self._beat = beat
        self._on_deposed = on_deposed
        self._metrics = metrics
        self._waiting: list[OwnerItem] = []
        self._wake = event.Event()
        # By `read_clock`: a suspended owner must not renew as if no time
        # had passed.
        self.last_stored = read_clock()

    @property
    def backlog(self) -> int:
        """Return the records that are not stored yet."""
        return len(self._waiting)

    def put(
        self,
        key: str,
        value: bytes,
        on_stored: Callable[[], None] | None = None,
    ) -> None:
        """Append a record; call `on_stored` once it is stored."""
        self._waiting.append(OwnerItem(key, value, on_stored))
        self._wake.set()

    def run(self) -> None:
        """Append what waits, and a beat when nothing does."""
        while not self.is_stopping:
            self._wake.wait(timeout=BEAT_S)
            if self.is_stopping:
                return
            self._wake.clear()
            if not self._waiting:
                key, value = self._beat()
                self._waiting.append(OwnerItem(key, value, None))
            while self._waiting and not self.is_stopping:
                batch = _pick_batch(self._waiting)
                if not self._append(batch):
                    return
                # Never to be appended again, whatever their callers do.
                del self._waiting[: len(batch)]
                for item in batch:
                    if item.on_stored is not None:
                        item.on_stored()

    def _append(self, batch: list[OwnerItem]) -> bool:
        """Append until it is stored; return False once deposed."""
        items = [(item.key, item.value) for item in batch]
        fence = ports.Fence(self._epoch, self._sequence)
        while not self.is_stopping:
            began = time.monotonic()
            outcome = self._ledger.append(
                items, fence=fence, timeout_s=APPEND_TIMEOUT_S
            )
            if not errors.is_refusal(outcome):
                self._sequence += 1
                self.last_stored = read_clock()
                self._metrics.record_time(
                    "ledger.owner_append", time.monotonic() - began
                )
                return True
            self._metrics.count(
                f"ledger.owner_append_failed.{outcome.kind.value}"
            )
            if outcome.kind is errors.Kind.FENCED:
                self._on_deposed(outcome.reason)
                return False
            self.rest(RETRY_S)
        return False


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
