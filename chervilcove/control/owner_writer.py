"""Writer of the owner's records, and of those that other entries relay to it.

Answers of the ledger may be lost or late for seconds, and an owner that is not
heard is replaced. An append that isn't answered soon is therefore sent again,
while the first one may still be answered: it carries the same number, so that
the ledger executes it once.
"""

import collections
from collections.abc import Callable
import time
from typing import NamedTuple

import gevent
from gevent import event

from chervilcove.control import clocks
from chervilcove.control import interfaces
from chervilcove.control import isolation
from chervilcove.control import writers
from chervilcove.core import errors
from chervilcove.core import metrics as metric_values
from chervilcove.core import tasks
from chervilcove.jobs import records

HEARTBEAT_INTERVAL_S = 0.2  # of an idle owner; see `elections.OWNER_TIMEOUT_S`
TIME_INTERVAL_S = 1.0  # between records of the owner's time
# An append is sent again after this time, or after the multiple of the usual
# time of an answer, if that is longer: a slow ledger isn't slowed down further.
MIN_RESEND_S = 0.08
# Added to that time for the bytes of the append, at 0.5 Mbit/s. Sent again
# before it has passed the link, an append delays itself.
RESEND_BYTES_PER_S = 62_500
TYPICAL_TIME_FACTOR = 4.0
DELAYED_S = 0.5  # appends that take longer are logged
# Most unanswered tries of one append at a time; each has a connection.
MAX_TRIES = 5
MAX_BACKLOG = 500  # records that wait; with more, the owner starts nothing


class OwnerItem(NamedTuple):
    """A record of the owner, and a callback for when it is stored.

    An item with an empty key is only a callback: it is called once all items
    before it are stored.
    """

    key: str
    value: bytes
    on_stored: Callable[[], None] | None


class OwnerWriter(tasks.Task):
    """Append the owner's records in order, each exactly once.

    Each append ends with a heartbeat record that holds its sequence number.
    Part of the answers to writes may be lost for seconds. The entry reads the
    ledger anyway, so reading that record back confirms the append as well.

    Args:
        ledger: The job ledger.
        epoch: Epoch of the owner.
        claim_sent_at: Boot clock at which its claim was first sent, seconds.
        clock: Time that the entries share.
        on_deposed: Called with a reason once a newer owner is known.
        metrics: Metrics of this entry.
        link_mbps: Rate of the link in Mbit/s, 0 for unknown.
    """

    def __init__(
        self,
        *,
        ledger: interfaces.Ledger,
        epoch: int,
        claim_sent_at: float,
        clock: clocks.SharedClock,
        on_deposed: Callable[[str], None],
        metrics: metric_values.Metrics,
        link_mbps: float = 0.0,
    ):
        super().__init__(name="owner_writer")
        self._ledger = ledger
        self._batch_bytes = writers.compute_batch_bytes(link_mbps)
        self._epoch = epoch
        # The claim itself had sequence number 0.
        self._sequence = 1
        self._read_back = 0  # newest sequence number read back
        self._is_read_back = event.Event()
        self._is_regained = event.Event()
        self._clock = clock
        self._time_written_at = float("-inf")  # on the boot clock
        self._on_deposed = on_deposed
        self._metrics = metrics
        self._isolation = isolation.FaultIsolation(
            log=self.log, metrics=metrics
        )
        self._timeouts = writers.AppendTimeouts()
        self._waiting: list[OwnerItem] = []
        self._in_flight_count = 0  # first items of `_waiting` being appended
        self._closed = event.Event()
        self._wake = event.Event()
        # Time, on the boot clock, at which the newest stored append was first
        # sent; the claim is the first one. Counting from the answer would let
        # an owner that reads it late, as after a suspension, renew leases for
        # too long.
        self.stored_append_sent_at = claim_sent_at

    @property
    def backlog(self) -> int:
        """Return the number of records that are not stored yet."""
        return len(self._waiting)

    @property
    def is_behind(self) -> bool:
        """Return whether so much waits for the ledger that nothing starts."""
        return self.backlog > MAX_BACKLOG

    def record_read_back(self, sequence: int) -> None:
        """Record the newest sequence number read from the ledger."""
        self._read_back = max(self._read_back, sequence)
        if self._read_back >= self._sequence:
            self._is_read_back.set()

    def record_regained(self) -> None:
        """Send the present append again, as the ledger answers again.

        Otherwise it would wait for the time-out of a call that was sent while
        the ledger was silent, and other entries would replace the owner.
        """
        self._is_regained.set()

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

    def write(
        self, items: list[tuple[str, bytes]], *, timeout_s: float
    ) -> errors.Refusal | None:
        """Append records for callers, and wait until they are stored.

        Returns:
            None once all are stored; `LOG_UNAVAILABLE` if none was sent to the
            ledger, so that they never will be; `OUTCOME_UNKNOWN` otherwise.
        """
        stored = event.Event()
        for key, value in items[:-1]:
            self.enqueue(key, value)
        last = OwnerItem(*items[-1], stored.set)
        self._waiting.append(last)
        self._wake.set()
        gevent.wait([stored, self._closed], timeout=timeout_s, count=1)
        if stored.is_set():
            return None
        start = _find(self._waiting, last) - len(items) + 1
        if start >= self._in_flight_count:
            del self._waiting[start : start + len(items)]
            return errors.refuse(
                errors.Kind.LOG_UNAVAILABLE, "the owner's append is waiting"
            )
        return errors.refuse(
            errors.Kind.OUTCOME_UNKNOWN, "the ledger did not answer in time"
        )

    def kill(self) -> None:
        """Stop immediately; callers learn that nothing more is appended."""
        super().kill()
        self._closed.set()

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
                batch = writers.pick_batch(
                    self._waiting, max_bytes=self._batch_bytes
                )
                self._in_flight_count = len(batch)
                keyed = [item for item in batch if item.key]
                if (keyed or not batch) and not self._append(keyed):
                    return
                # Removed before the callbacks run, so that these records are
                # never appended again, whatever the callbacks do.
                self._in_flight_count = 0
                del self._waiting[: len(batch)]
                for item in batch:
                    if item.on_stored is not None:
                        self._isolation.attempt(item.key, item.on_stored)

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
        first_sent = clocks.read_boot_clock_s()
        began = time.monotonic()
        tries = _Tries(
            send=lambda: self._ledger.append(
                items,
                fence=interfaces.Fence(self._epoch, self._sequence),
                timeout_s=writers.MAX_APPEND_TIMEOUT_S,
            ),
            wakers=(self._is_read_back, self._is_regained),
        )
        self._is_read_back.clear()
        failures: collections.Counter[str] = collections.Counter()
        size = sum(len(key) + len(value) for key, value in items)
        least_s = MIN_RESEND_S + size / RESEND_BYTES_PER_S
        try:
            while not self.is_stopping:
                outcome = self._try_once(tries, least_s)
                if not errors.is_refusal(outcome):
                    self._sequence += 1
                    self.stored_append_sent_at = first_sent
                    took_s = time.monotonic() - began
                    self._metrics.record_time("ledger.owner_append", took_s)
                    if took_s > DELAYED_S:
                        self.log.warn(
                            "append_delayed",
                            sequence=self._sequence - 1,
                            records=len(items),
                            tries=tries.count,
                            took_ms=int(took_s * 1000),
                            failures=",".join(
                                f"{kind}:{count}"
                                for kind, count in failures.items()
                            ),
                        )
                    return True
                failures[outcome.kind.value] += 1
                self._metrics.count(
                    f"ledger.owner_append_failed.{outcome.kind.value}"
                )
                if outcome.kind is errors.Kind.FENCED:
                    self._on_deposed(outcome.reason)
                    return False
                if outcome.kind is not errors.Kind.OUTCOME_UNKNOWN:
                    self.sleep(writers.RETRY_S)
            return False
        finally:
            tries.end()

    def _try_once(
        self, tries: "_Tries", least_s: float
    ) -> int | None | errors.Refusal:
        """Send the append once more, and wait for an answer to any try.

        Args:
            tries: The tries so far.
            least_s: Least time until the next try, in seconds.

        Returns:
            The answer; None if the records were read back; `OUTCOME_UNKNOWN`
            if it is time for the next try.
        """
        if self._is_regained.is_set():
            self._is_regained.clear()
            tries.end()
        tries.send_next()
        answer = tries.wait(
            timeout_s=self._timeouts.get_resend_s(
                tries.count,
                least_s=least_s,
                factor=TYPICAL_TIME_FACTOR,
            )
        )
        if self._read_back >= self._sequence:
            # The answer mostly follows soon; its time is worth knowing.
            answer = answer or tries.wait(
                timeout_s=self._timeouts.get_grace_s(), ignores_events=True
            )
            if answer is None or errors.is_refusal(answer.outcome):
                self._metrics.count("ledger.owner_append_read_back")
                return None
        if answer is None:
            return errors.refuse(errors.Kind.OUTCOME_UNKNOWN, "no answer yet")
        if not errors.is_refusal(answer.outcome):
            self._timeouts.record_answer(answer.took_s)
        return answer.outcome

    def _build_time_record(self) -> list[tuple[str, bytes]]:
        """Return the record of the owner's time, if it is to be written."""
        now_s = clocks.read_boot_clock_s()
        if now_s - self._time_written_at < TIME_INTERVAL_S:
            return []
        self._time_written_at = now_s
        self._clock.steer()
        value = records.encode_value(self._clock.get_now_ms())
        return [(records.build_key(records.Kind.TIME), value)]


class _Answer(NamedTuple):
    """Answer to one try, and the seconds that it took."""

    outcome: int | errors.Refusal
    took_s: float


class _Tries:
    """Tries of one append that are waited for at the same time.

    Args:
        send: Sends the append once and returns its outcome.
        wakers: Events that end a wait.
    """

    def __init__(
        self,
        *,
        send: Callable[[], int | errors.Refusal],
        wakers: tuple[event.Event, ...],
    ):
        self._send = send
        self._wakers = wakers
        self._calls: list[gevent.Greenlet] = []
        self.count = 0

    def send_next(self) -> None:
        """Send the append again, instead of the oldest try if too many wait."""
        self.count += 1
        if len(self._calls) >= MAX_TRIES:
            self._calls.pop(0).kill(block=False)
        self._calls.append(gevent.spawn(self._send_timed))

    def wait(
        self, *, timeout_s: float, ignores_events: bool = False
    ) -> _Answer | None:
        """Return an answer to any try; None after the time or an event.

        Unknown outcomes are no answers: another try may still be answered.
        """
        wakers = () if ignores_events else self._wakers
        deadline = time.monotonic() + timeout_s
        while True:
            left_s = deadline - time.monotonic()
            if not self._calls and not wakers:
                return None
            gevent.wait(
                [*self._calls, *wakers], timeout=max(0.0, left_s), count=1
            )
            for call in [one for one in self._calls if one.ready()]:
                self._calls.remove(call)
                answer = call.value
                if answer is not None and not _is_unknown(answer.outcome):
                    return answer
            if left_s <= 0 or any(one.is_set() for one in wakers):
                return None

    def end(self) -> None:
        """Wait for no try any longer."""
        for call in self._calls:
            call.kill(block=False)
        self._calls = []

    def _send_timed(self) -> _Answer:
        began = time.monotonic()
        outcome = self._send()
        return _Answer(outcome, time.monotonic() - began)


def _is_unknown(outcome: int | errors.Refusal) -> bool:
    return (
        errors.is_refusal(outcome)
        and outcome.kind is errors.Kind.OUTCOME_UNKNOWN
    )


def _find(waiting: list[OwnerItem], item: OwnerItem) -> int:
    """Return the position of `item` itself, not of an equal one."""
    for position, one in enumerate(waiting):
        if one is item:
            return position
    return -1
