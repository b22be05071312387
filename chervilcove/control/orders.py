"""Orders: starts and stops, sent until their outcome is known."""

from collections.abc import Callable
import time

import gevent
from gevent import lock

from chervilcove.control import fleet as fleets
from chervilcove.control import interfaces
from chervilcove.control import runs
from chervilcove.control import sessions
from chervilcove.core import errors
from chervilcove.core import logs
from chervilcove.core import metrics as metric_values

START_TIMEOUT_S = 0.5  # workers answer in milliseconds
START_TRIES = 4  # of a start without an answer, within a gang's 3 s
START_RETRY_S = 0.1  # pause after a connection that was not made
# Starts under way at one time. A new owner may order hundreds at once, whose
# connections would time out while it opens the others.
START_LANES = 48
# Orders to start are void after this; above the longest idle renewal, as
# the first lease of the run.
START_VALID_MS = 3_500
STOP_TIMEOUT_S = 0.6
STOP_RETRY_S = 0.2
PACE_TIMEOUT_S = 0.6  # workers answer in milliseconds


class Orders:
    """Send the orders of one owner.

    Args:
        epoch: Epoch of the owner, the fence of its orders.
        fleet: Its workers.
        on_deposed: Called when a worker knows a newer owner.
        wake: Makes the owner look at the runs soon.
        metrics: Counters.
    """

    def __init__(
        self,
        *,
        epoch: int,
        fleet: fleets.Fleet,
        on_deposed: Callable[[str], None],
        wake: Callable[[], None],
        metrics: metric_values.Metrics,
    ):
        self._epoch = epoch
        self._fleet = fleet
        self._on_deposed = on_deposed
        self._wake = wake
        self._metrics = metrics
        self._log = logs.Log(source="orders")
        self._ending: set[runs.Run] = set()
        self._orders: set[gevent.Greenlet] = set()
        self._lanes = lock.BoundedSemaphore(START_LANES)
        self._is_over = False

    def kill(self) -> None:
        """Send nothing more."""
        self._is_over = True
        for order in list(self._orders):
            order.kill(block=False)

    def send_starts(self, payload: str, run: runs.Run) -> None:
        """Start all tasks of a run, whose record is stored."""
        run.started = time.monotonic()
        for member in run.members:
            self._spawn(self._send_start, payload, run, member)

    def _send_start(
        self, payload: str, run: runs.Run, member: runs.Member
    ) -> None:
        """Start one task; a start without an answer is sent again.

        The same run is started at most once, so that repeats do no harm; a
        start that stays without an answer is made void by a stop.
        """
        refusal = None
        for _ in range(START_TRIES):
            with self._lanes:
                session = self._fleet.sessions.get(member.place.worker)
                if session is None or run.stop_reason:
                    break
                if member.phase is not runs.Phase.ORDERED:
                    return
                outcome = self._call_start(session, payload, run, member)
            if not errors.is_refusal(outcome):
                session.note_clock(outcome)
                if member.phase is runs.Phase.ORDERED:
                    member.phase = runs.Phase.KNOWN
                    member.since = time.monotonic()
                session.wake()
                if run.stop_reason:
                    self._stop_member(run, member)
                return
            refusal = outcome
            self._metrics.count(f"starts.refused.{outcome.kind.value}")
            if outcome.kind is errors.Kind.FENCED:
                self._on_deposed(f"worker {member.place.worker} is fenced")
                return
            if outcome.kind is errors.Kind.DEADLINE_EXCEEDED:
                session.note_clock(outcome.detail["clock_ms"])
                continue
            if outcome.kind is errors.Kind.CONNECT_FAILED:
                gevent.sleep(START_RETRY_S)
            elif outcome.kind is not errors.Kind.OUTCOME_UNKNOWN:
                break
        if member.phase is not runs.Phase.ORDERED:
            return
        self._log.warn(
            "start_given_up",
            task=member.task,
            run=run.number,
            worker=member.place.worker,
            kind=refusal.kind.value if refusal else "stopped",
            reason=refusal.reason if refusal else run.stop_reason,
        )
        if refusal is not None and refusal.kind is not errors.Kind.GONE:
            # A ticket that lapsed says nothing of the worker.
            self._fleet.health.note_refused(
                member.place.worker, time.monotonic()
            )
        self.stop(run, "a start was given up")
        self._stop_member(run, member)

    def _call_start(
        self,
        session: sessions.Session,
        payload: str,
        run: runs.Run,
        member: runs.Member,
    ) -> int | errors.Refusal:
        expires_ms = session.get_clock_ms() + START_VALID_MS
        session.note_deadline(expires_ms)
        return session.calls.start(
            interfaces.RunCommand(member.task, run.number, self._epoch),
            interfaces.StartOptions(
                payload,
                expires_ms,
                run.resumes_from,
                run.tickets.get(member.place.worker, ""),
            ),
            timeout_s=START_TIMEOUT_S,
        )

    def stop(self, run: runs.Run, reason: str) -> None:
        """Tell a run to end; `send_stops` sends the orders."""
        if run.stop_reason:
            return
        run.stop_reason = reason
        self._ending.add(run)
        self._wake()

    def send_stops(self) -> None:
        """Stop each task of a run that is to end, once it is known.

        One whose start is on its way is stopped by `_send_start`, or here
        as soon as the worker lists it.
        """
        for run in list(self._ending):
            if run.is_over:
                self._ending.discard(run)
                continue
            for member in run.members:
                if member.phase is runs.Phase.KNOWN and not member.is_stop_sent:
                    self._spawn(self._stop_member, run, member)

    def _stop_member(self, run: runs.Run, member: runs.Member) -> None:
        """Stop one task, again and again until the worker confirms it."""
        if member.is_stop_sent:
            return
        member.is_stop_sent = True
        while member.phase is not runs.Phase.ENDED and not self._is_over:
            session = self._fleet.sessions.get(member.place.worker)
            if session is None:
                break
            outcome = session.calls.stop(
                interfaces.RunCommand(member.task, run.number, self._epoch),
                timeout_s=STOP_TIMEOUT_S,
            )
            if not errors.is_refusal(outcome):
                session.note_clock(outcome)
                member.is_void = True
                member.since = time.monotonic()
                session.wake()
                return
            self._metrics.count(f"stops.refused.{outcome.kind.value}")
            if outcome.kind is errors.Kind.FENCED:
                self._on_deposed(f"worker {member.place.worker} is fenced")
                return
            gevent.sleep(STOP_RETRY_S)
        # Without a session: again once there is one.
        member.is_stop_sent = False

    def pace(self, run: runs.Run, member: runs.Member, percent: int) -> None:
        """Let one task work at a share of its speed."""
        member.pace = percent
        self._spawn(self._send_pace, run, member, percent)

    def _send_pace(
        self, run: runs.Run, member: runs.Member, percent: int
    ) -> None:
        session = self._fleet.sessions.get(member.place.worker)
        if session is None:
            member.pace = None
            return
        outcome = session.calls.pace(
            interfaces.RunCommand(member.task, run.number, self._epoch),
            percent,
            timeout_s=PACE_TIMEOUT_S,
        )
        if not errors.is_refusal(outcome):
            session.note_clock(outcome)
            return
        # Told again with the next report of the worker.
        member.pace = None
        self._metrics.count(f"paces.refused.{outcome.kind.value}")
        if outcome.kind is errors.Kind.FENCED:
            self._on_deposed(f"worker {member.place.worker} is fenced")

    def stop_stray(
        self, session: sessions.Session, task: str, number: int
    ) -> None:
        """Stop a run that nobody counts."""
        self._spawn(self._send_stray_stop, session, task, number)

    def _send_stray_stop(
        self, session: sessions.Session, task: str, number: int
    ) -> None:
        session.calls.stop(
            interfaces.RunCommand(task, number, self._epoch),
            timeout_s=STOP_TIMEOUT_S,
        )

    def _spawn(self, function: Callable, *arguments: object) -> None:
        order = gevent.spawn(function, *arguments)
        self._orders.add(order)
        order.link(self._orders.discard)
