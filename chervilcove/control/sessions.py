"""Sessions: one owner renews the lease of one worker by long polling.

The worker answers a renewal as soon as a run ends, so a renewal both extends
the lease and reports changes. Leases are measured on the worker's own clock,
which may be 2% slow. `Session.expires_at` is the latest moment, on this
entry's clock, at which a run on the worker can still be alive.
"""

from collections.abc import Callable
import time
from typing import NamedTuple

from gevent import event

from chervilcove.control import interfaces
from chervilcove.control import writers
from chervilcove.core import errors
from chervilcove.core import tasks

LEASE_MS = 6_000  # the maximum that workers accept
CLOCK_SLACK = 1.03  # 2% for slow clocks of workers, 1% for this entry's clock
EXPIRY_MARGIN_S = 0.15  # network latency and rounding
BUSY_WAIT_MS = 1_000  # detects a silent worker within 1.7 s
IDLE_WAIT_MS = 2_000  # the maximum that workers accept
ANSWER_TIMEOUT_S = 0.7  # beyond the wait; workers answer in milliseconds
RETRY_S = 0.25  # pause after a failed renewal
ACKNOWLEDGE_WAIT_S = 0.5  # maximum wait for reported ends to be stored
# Renewals continue for this long after the newest stored append was sent. With
# the lease itself, running tasks survive a ledger outage of 9 s.
LEASE_WITHOUT_LEDGER_S = 3.0
# An owner that can't hear that it was replaced renews leases for at most this
# long after the claim that replaced it. Its newest stored append was sent
# before that claim; the answer may have taken up to MAX_APPEND_TIMEOUT_S.
RENEWALS_AFTER_CLAIM_S = LEASE_WITHOUT_LEDGER_S + writers.MAX_APPEND_TIMEOUT_S


class Renewal(NamedTuple):
    """Answer to one renewal.

    Attributes:
        worker: Id of the worker.
        asked: Monotonic seconds at which the renewal was sent.
        reply: The answer of the worker.
    """

    worker: str
    asked: float
    reply: interfaces.LeaseReply


class Session(tasks.Task):
    """Renew the lease of one worker.

    Args:
        report: Description of the worker.
        client: Client of the worker.
        epoch: Epoch of the owner, which fences the renewals.
        expires_at: Monotonic seconds until which runs of earlier owners may
            be alive on the worker.
        on_renewal: Called with each answer to a renewal.
        on_deposed: Called with a reason when the worker knows a newer owner.
        may_renew: Tells whether leases may be extended now.
        is_busy: Tells whether the worker has runs of this owner.
        delay_s: Seconds before the first renewal.
    """

    def __init__(
        self,
        *,
        report: interfaces.WorkerReport,
        client: interfaces.WorkerClient,
        epoch: int,
        expires_at: float,
        on_renewal: Callable[[Renewal], None],
        on_deposed: Callable[[str], None],
        may_renew: Callable[[], bool],
        is_busy: Callable[[str], bool],
        delay_s: float = 0.0,
    ):
        super().__init__(name=f"session.{report.id}")
        self._delay_s = delay_s
        self.report = report
        self.client = client
        self.expires_at = expires_at
        self.life = report.life
        self.last_seen = 0
        self.last_answer: float | None = None
        self._is_unreachable = False
        # Whether the owner could process the newest answer, None before it
        # processed any; the owner sets it.
        self.is_understood: bool | None = None
        self._epoch = epoch
        self._on_renewal = on_renewal
        self._on_deposed = on_deposed
        self._may_renew = may_renew
        self._is_busy = is_busy
        # Monotonic seconds of this entry, and the worker's clock at that time
        # in milliseconds.
        self._clock: tuple[float, float] | None = None
        self._wake = event.Event()

    @property
    def is_reachable(self) -> bool:
        """Tell whether the worker gave an answer to its newest renewal.

        An answer that could not be processed counts as none.
        """
        return (
            self.last_answer is not None
            and not self._is_unreachable
            and self.is_understood is not False
        )

    @property
    def are_runs_known(self) -> bool:
        """Tell whether the owner knows what the worker runs.

        Before it processed the first list, any resources may be taken.
        """
        return self.is_reachable and self.is_understood is True

    def estimate_clock_ms(self) -> int:
        """Return the estimated clock of the worker, 0 while it is unknown.

        It lags by the latency of the newest answer, and is never far ahead.
        """
        if self._clock is None:
            return 0
        seen, clock_ms = self._clock
        return int(clock_ms + (time.monotonic() - seen) * 1000)

    def record_clock(self, clock_ms: int) -> None:
        """Record the worker's clock from one of its answers."""
        self._clock = (time.monotonic(), clock_ms)

    def record_lease(self, deadline_ms: int) -> None:
        """Extend `expires_at` for a lease that is sent, answered or not.

        Args:
            deadline_ms: End of the lease on the worker's clock.
        """
        if self._clock is None:
            length_s = LEASE_MS / 1000
        else:
            length_s = (deadline_ms - self.estimate_clock_ms()) / 1000
        length_s = min(length_s, LEASE_MS / 1000)
        ends = time.monotonic() + length_s * CLOCK_SLACK + EXPIRY_MARGIN_S
        self.expires_at = max(self.expires_at, ends)

    def acknowledge(self, number: int, *, life: int) -> None:
        """Acknowledge ends up to `number`, which are stored by now.

        Args:
            number: Number of the newest of these ends.
            life: Process of the worker that reported them. The next process
                numbers its ends anew.
        """
        if life == self.life and number > self.last_seen:
            self.last_seen = number
            self._wake.set()

    def wake(self) -> None:
        """Send the next renewal without further delay."""
        self._wake.set()

    def run(self) -> None:
        """Renew the lease until stopped.

        A renewal that raises counts as unanswered: runs on a worker that can't
        be understood end with their lease.
        """
        if self._delay_s:
            self.sleep(self._delay_s)
        while not self.is_stopping:
            if not self._may_renew():
                self.sleep(RETRY_S)
                continue
            try:
                self._renew()
            except Exception as error:  # noqa: BLE001
                reason = f"{type(error).__name__}: {error}"
                self._handle_failure(
                    errors.refuse(errors.Kind.INTERNAL, reason)
                )

    def _renew(self) -> None:
        is_busy = self._is_busy(self.report.id)
        wait_ms = BUSY_WAIT_MS if is_busy else IDLE_WAIT_MS
        if self.last_answer is None or self._is_unreachable:
            wait_ms = 0  # get the present state of the worker first
        # A lease ends at a time on the worker's clock, which is unknown until
        # its first answer. A worker that is unreachable or isn't understood
        # gets no lease either, so that its runs end.
        until_ms = 0
        if (
            self._clock is not None
            and not self._is_unreachable
            and self.is_understood is not False
        ):
            until_ms = self.estimate_clock_ms() + LEASE_MS
            self.record_lease(until_ms)
        asked = time.monotonic()
        outcome = self.client.renew_lease(
            fence=self._epoch,
            last_seen=self.last_seen,
            lease_until_ms=until_ms,
            wait_ms=wait_ms,
            timeout_s=wait_ms / 1000 + ANSWER_TIMEOUT_S,
        )
        if self.is_stopping:
            return
        if errors.is_refusal(outcome):
            self._handle_failure(outcome)
            return
        if self._is_unreachable:
            self._is_unreachable = False
            self.log.info("worker_regained", worker=self.report.id)
        if self.last_answer is None:
            # From now on the worker rejects leases of earlier owners.
            length_s = LEASE_MS / 1000 * CLOCK_SLACK + EXPIRY_MARGIN_S
            self.expires_at = time.monotonic() + length_s
        self.last_answer = time.monotonic()
        if outcome.life and outcome.life != self.life:
            self.log.info(
                "worker_restarted",
                worker=self.report.id,
                life=outcome.life,
                before=self.life,
            )
            self.life = outcome.life
            self.last_seen = 0
        self.record_clock(outcome.clock_ms)
        self._wake.clear()
        self._on_renewal(Renewal(self.report.id, asked, outcome))
        if any(end.number > self.last_seen for end in outcome.ended):
            self._wake.wait(timeout=ACKNOWLEDGE_WAIT_S)

    def _handle_failure(self, refusal: errors.Refusal) -> None:
        if refusal.kind is errors.Kind.FENCED:
            self._on_deposed(f"worker {self.report.id} knows a newer owner")
            self.sleep(RETRY_S)
            return
        if not self._is_unreachable:
            self._is_unreachable = True
            self.log.warn(
                "worker_lost",
                worker=self.report.id,
                kind=refusal.kind.value,
                reason=refusal.reason,
            )
        self.sleep(RETRY_S)
