"""Sessions: the lease of one worker, renewed by one owner.

A renewal asks the worker to answer as soon as a run ends, so that it is both
the lease and the news. Leases are counted on the worker's own clock, which
may be 2% slow; `expires` is the latest moment, on this entry's clock, at
which a run there can still be alive.
"""

from collections.abc import Callable
import time
from typing import NamedTuple

from gevent import event

from chervilcove.control import interfaces
from chervilcove.core import errors
from chervilcove.core import tasks

LEASE_MS = 6_000  # the most that workers grant
CLOCK_SLACK = 1.03  # workers' clocks are up to 2% slow; 1% for our own
EXPIRY_MARGIN_S = 0.15  # links and rounding
BUSY_WAIT_MS = 1_000  # notices a silent worker within 1.7 s
IDLE_WAIT_MS = 2_000  # the longest wait that workers allow
ANSWER_S = 0.7  # beyond the wait; an answer takes milliseconds
RETRY_S = 0.25  # pause after a failed renewal
SEEN_WAIT_S = 0.5  # most time that ends may take to be stored
# Renewals go on this long without a word of the ledger: with the lease itself,
# running work outlives an outage of 9 s. A successor that can't reach a
# worker waits for as long. They count from when the newest append that is
# stored was sent.
LEASE_WITHOUT_LEDGER_S = 3.0


class Renewal(NamedTuple):
    """Hold what one renewal told.

    Attributes:
        worker: Id of the worker.
        asked: Monotonic seconds at which it was sent.
        holding: The answer.
    """

    worker: str
    asked: float
    holding: interfaces.LeaseReply


class Session(tasks.Task):
    """Renew the lease of one worker.

    Args:
        report: The worker.
        calls: Its interface.
        epoch: Epoch of the owner, its fence.
        expires: Monotonic seconds until which runs of earlier owners may
            be alive there.
        on_renewal: Takes the news.
        on_deposed: Called when the worker knows a newer owner.
        may_renew: Tells whether leases may be extended.
        is_busy: Tells whether the worker has runs of ours.
    """

    def __init__(
        self,
        *,
        report: interfaces.WorkerReport,
        calls: interfaces.WorkerClient,
        epoch: int,
        expires: float,
        on_renewal: Callable[[Renewal], None],
        on_deposed: Callable[[str], None],
        may_renew: Callable[[], bool],
        is_busy: Callable[[str], bool],
    ):
        super().__init__(name=f"session.{report.id}")
        self.report = report
        self.calls = calls
        self.expires = expires
        self.life = report.life
        self.last_seen = 0
        self.last_answer: float | None = None
        self._is_down = False
        self._epoch = epoch
        self._on_renewal = on_renewal
        self._on_deposed = on_deposed
        self._may_renew = may_renew
        self._is_busy = is_busy
        # The worker's clock at a monotonic second of ours.
        self._clock: tuple[float, float] | None = None
        self._wake = event.Event()

    @property
    def is_in_touch(self) -> bool:
        """Tell whether the worker answered its newest renewal."""
        return self.last_answer is not None and not self._is_down

    def get_clock_ms(self) -> int:
        """Return the worker's clock now, never ahead of it by much."""
        if self._clock is None:
            return 0
        seen, clock_ms = self._clock
        return int(clock_ms + (time.monotonic() - seen) * 1000)

    def note_clock(self, clock_ms: int) -> None:
        """Learn the worker's clock from any of its answers."""
        self._clock = (time.monotonic(), clock_ms)

    def note_deadline(self, deadline_ms: int) -> None:
        """Count a lease that was sent, whether it was answered or not."""
        if self._clock is None:
            length_s = LEASE_MS / 1000
        else:
            length_s = (deadline_ms - self.get_clock_ms()) / 1000
        length_s = min(length_s, LEASE_MS / 1000)
        ends = time.monotonic() + length_s * CLOCK_SLACK + EXPIRY_MARGIN_S
        self.expires = max(self.expires, ends)

    def acknowledge(self, number: int) -> None:
        """Let the worker forget ends up to `number`, which are stored."""
        if number > self.last_seen:
            self.last_seen = number
            self._wake.set()

    def wake(self) -> None:
        """Look at the worker soon."""
        self._wake.set()

    def run(self) -> None:
        """Renew until stopped."""
        while not self.is_stopping:
            if not self._may_renew():
                self.rest(RETRY_S)
                continue
            self._renew()

    def _renew(self) -> None:
        is_busy = self._is_busy(self.report.id)
        wait_ms = BUSY_WAIT_MS if is_busy else IDLE_WAIT_MS
        if self.last_answer is None or self._is_down:
            wait_ms = 0  # where it stands comes first
        # Without its clock no lease can be named; the answer tells it. One
        # that does not answer gets none either: its runs are to end.
        until_ms = 0
        if self._clock is not None and not self._is_down:
            until_ms = self.get_clock_ms() + LEASE_MS
            self.note_deadline(until_ms)
        asked = time.monotonic()
        outcome = self.calls.hold(
            fence=self._epoch,
            last_seen=self.last_seen,
            lease_until_ms=until_ms,
            wait_ms=wait_ms,
            timeout_s=wait_ms / 1000 + ANSWER_S,
        )
        if self.is_stopping:
            return
        if errors.is_refusal(outcome):
            self._note_failure(outcome)
            return
        if self._is_down:
            self._is_down = False
            self.log.info("worker_regained", worker=self.report.id)
        if self.last_answer is None:
            # From now on it refuses leases of earlier owners.
            length_s = LEASE_MS / 1000 * CLOCK_SLACK + EXPIRY_MARGIN_S
            self.expires = time.monotonic() + length_s
        self.last_answer = time.monotonic()
        if outcome.life and outcome.life != self.life:
            self.life = outcome.life
            self.last_seen = 0
        self.note_clock(outcome.clock_ms)
        self._wake.clear()
        self._on_renewal(Renewal(self.report.id, asked, outcome))
        if any(end.number > self.last_seen for end in outcome.ended):
            self._wake.wait(timeout=SEEN_WAIT_S)

    def _note_failure(self, refusal: errors.Refusal) -> None:
        if refusal.kind is errors.Kind.FENCED:
            self._on_deposed(f"worker {self.report.id} knows a newer owner")
            self.rest(RETRY_S)
            return
        if not self._is_down:
            self._is_down = True
            self.log.warn(
                "worker_lost",
                worker=self.report.id,
                kind=refusal.kind.value,
                reason=refusal.reason,
            )
        self.rest(RETRY_S)
