"""Sessions: one owner renews the lease of one worker by long polling.

The worker answers a renewal as soon as a run ends, so a renewal both extends
the lease and reports changes. Leases are measured on the worker's own clock,
which may be 2% slow. `Session.expires_at` is the latest moment, on this
entry's clock, at which a run on the worker can still be alive.

A worker may start again under its id. Calls for its earlier process may then be
carried out by the present one: deadlines of the earlier clock lie far ahead of
its own, which starts near 0. So a restart raises the fence, and the present
process counts as known once it has answered a renewal with the new fence. Until
then it gets no lease and no starts, and nothing it says counts.
"""

from collections.abc import Callable
import time
from typing import NamedTuple

from gevent import event

from chervilcove.control import answer_times as answer_time_values
from chervilcove.control import fences as fence_values
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
# Pause between renewals of a worker that keeps ends listed, which it answers at
# once. Later ends there are read late by up to this.
KEPT_ENDS_PAUSE_S = 0.1
# Longest time from sending a call without an answer to its execution; the
# interface only says "seconds later".
MAX_CALL_DELAY_S = 12.0
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
        fence: Fence of the renewal.
        asked: Monotonic seconds at which the renewal was sent.
        reply: The answer of the worker.
    """

    worker: str
    fence: int
    asked: float
    reply: interfaces.LeaseReply


class SentCall(NamedTuple):
    """What was known of a worker when a call to it was sent.

    Attributes:
        fence: Fence of the call.
        clock_ms: Time that its clock had certainly reached, 0 if unknown.
    """

    fence: int
    clock_ms: int


class Session(tasks.Task):
    """Renew the lease of one worker.

    Args:
        report: Description of the worker.
        client: Client of the worker.
        fences: Fences of the owner.
        expires_at: Monotonic seconds until which runs of earlier owners may
            be alive on the worker.
        on_renewal: Called with each answer to a renewal.
        on_deposed: Called with a reason when the worker knows a newer owner.
        may_renew: Tells whether leases may be extended now.
        is_busy: Tells whether the worker has runs of this owner.
        answer_times: Answer times of all workers.
        delay_s: Seconds before the first renewal.
        lease_sent_at: Monotonic seconds until which leases may have been sent
            to the worker.
    """

    def __init__(
        self,
        *,
        report: interfaces.WorkerReport,
        client: interfaces.WorkerClient,
        fences: fence_values.WorkerFences,
        expires_at: float,
        on_renewal: Callable[[Renewal], None],
        on_deposed: Callable[[str], None],
        may_renew: Callable[[], bool],
        is_busy: Callable[[str], bool],
        answer_times: answer_time_values.AnswerTimes,
        lease_sent_at: float,
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
        self._has_kept_ends = False
        self._fences = fences
        # Whether the present process has answered a renewal with its fence, so
        # that it refuses calls for earlier processes.
        self.is_process_known = False
        self.lease_sent_at = lease_sent_at
        self._on_renewal = on_renewal
        self._on_deposed = on_deposed
        self._may_renew = may_renew
        self._is_busy = is_busy
        self._answer_times = answer_times
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

        Before it processed the first list of the present process, any
        resources may be taken.
        """
        return (
            self.is_reachable
            and self.is_process_known
            and self.is_understood is True
        )

    @property
    def fence(self) -> int:
        """Return the fence of calls to the present process."""
        return self._fences.get(self.report.id)

    @property
    def late_calls_end(self) -> float:
        """Return when no call that was sent so far can keep a run alive.

        Holds for any process of the worker, also one that is not known.

        Returns:
            Monotonic seconds.
        """
        return self.lease_sent_at + MAX_CALL_DELAY_S + _get_lease_s()

    def estimate_clock_ms(self) -> int:
        """Return a time that the worker's clock has certainly reached.

        Returns:
            Milliseconds, 0 while nothing is known. It lags by the latency of
            the newest answer, and by `CLOCK_SLACK` for the time since then.
        """
        if self._clock is None:
            return 0
        seen, clock_ms = self._clock
        passed_s = (time.monotonic() - seen) / CLOCK_SLACK
        return int(clock_ms + passed_s * 1000)

    def begin_call(self) -> SentCall:
        """Return what is known of the worker, for a call sent now."""
        return SentCall(self.fence, self.estimate_clock_ms())

    def record_answer(self, call: SentCall, clock_ms: int) -> None:
        """Record the worker's clock from its answer to `call`.

        Answers may overtake each other: one to a call from before the present
        process was noticed may be of an earlier one, and is ignored.
        """
        if call.fence != self.fence:
            return
        if clock_ms < call.clock_ms:
            self._begin_process(0)
        self._clock = (time.monotonic(), clock_ms)

    def is_deposing(self, call: SentCall) -> bool:
        """Tell whether the refused fence of `call` shows a newer owner.

        The owner itself has raised the fence if the worker started again.
        """
        return call.fence == self.fence

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
        self.lease_sent_at = time.monotonic()

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

    def set_kept_ends(self, has_kept_ends: bool) -> None:
        """Set whether listed ends wait for more than being stored."""
        if has_kept_ends and not self._has_kept_ends:
            self._wake.set()
        self._has_kept_ends = has_kept_ends

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
        if not self.is_process_known or self._is_unreachable:
            wait_ms = 0  # get the present state of the worker first
        # A lease ends at a time on the worker's clock, which is unknown until
        # its first answer. A worker that is unreachable or isn't understood
        # gets no lease either, so that its runs end.
        until_ms = 0
        if (
            self.is_process_known
            and not self._is_unreachable
            and self.is_understood is not False
        ):
            until_ms = self.estimate_clock_ms() + LEASE_MS
        # The process may be paused at any point, so the permission is checked
        # once the end of the lease is fixed.
        if not self._may_renew():
            self.sleep(RETRY_S)
            return
        if until_ms:
            self.record_lease(until_ms)
        asked = time.monotonic()
        started = self._answer_times.begin_call()
        call = self.begin_call()
        outcome = self.client.renew_lease(
            fence=call.fence,
            # While answers are lost, another process may get the call, whose
            # ends nobody has read.
            last_seen=0 if self._is_unreachable else self.last_seen,
            lease_until_ms=until_ms,
            wait_ms=wait_ms,
            timeout_s=wait_ms / 1000
            + self._answer_times.extend(ANSWER_TIMEOUT_S),
        )
        delay_s = self._answer_times.measure(started) - wait_ms / 1000
        if errors.is_refusal(outcome) or delay_s >= 0:
            # An answer within the wait doesn't tell how long it took.
            self._answer_times.record(self.report.id, delay_s)
        if until_ms:
            self.lease_sent_at = time.monotonic()
        if self.is_stopping:
            return
        if call.fence != self.fence:
            return  # another process was noticed meanwhile
        if errors.is_refusal(outcome):
            self._handle_failure(outcome)
            return
        if self._is_unreachable:
            self._is_unreachable = False
            self.log.info("worker_regained", worker=self.report.id)
        self.last_answer = time.monotonic()
        self._clock = (time.monotonic(), outcome.clock_ms)
        if self._is_of_another_process(outcome, call):
            self._begin_process(outcome.life)
            return
        self.life = outcome.life or self.life
        if not self.is_process_known:
            # From now on the process rejects leases of earlier owners, and
            # those that were meant for earlier processes.
            self.is_process_known = True
            self.expires_at = time.monotonic() + _get_lease_s()
        self._wake.clear()
        self._on_renewal(Renewal(self.report.id, call.fence, asked, outcome))
        if any(end.number > self.last_seen for end in outcome.ended):
            self._wake.wait(
                timeout=KEPT_ENDS_PAUSE_S
                if self._has_kept_ends
                else ACKNOWLEDGE_WAIT_S
            )

    def _is_of_another_process(
        self, reply: interfaces.LeaseReply, call: SentCall
    ) -> bool:
        if reply.life and self.life:
            return reply.life != self.life
        return reply.clock_ms < call.clock_ms

    def _begin_process(self, life: int) -> None:
        """Begin anew with another process of the worker.

        Args:
            life: Start of that process, 0 if unknown.
        """
        self.log.info(
            "worker_restarted",
            worker=self.report.id,
            life=life,
            before=self.life,
            fence=self.fence + 1,
        )
        if not self._fences.advance(self.report.id):
            self._on_deposed(f"worker {self.report.id} restarted too often")
            return
        self.life = life
        self.last_seen = 0
        self.is_process_known = False
        self.is_understood = None
        # Its runs may have got leases by calls for the earlier process.
        self.expires_at = max(self.expires_at, self.late_calls_end)

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


def _get_lease_s() -> float:
    """Return the longest life of a lease from its start, in seconds."""
    return LEASE_MS / 1000 * CLOCK_SLACK + EXPIRY_MARGIN_S
