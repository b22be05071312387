"""Start, stop and pace commands to workers, retried on unknown outcomes."""

from collections.abc import Callable
import time

import gevent

from chervilcove.control import fleet as fleets
from chervilcove.control import interfaces
from chervilcove.control import open_starts as open_start_values
from chervilcove.control import runs
from chervilcove.control import sessions
from chervilcove.control import start_checks
from chervilcove.control import start_places
from chervilcove.control import start_window as start_windows
from chervilcove.core import errors
from chervilcove.core import logs
from chervilcove.core import metrics as metric_values

START_TIMEOUT_S = 0.5  # workers answer in milliseconds
START_TRIES = 4
START_RETRY_S = 0.1  # pause after a failed connection
# A new owner may start hundreds of runs at once; without this limit the first
# connections time out while the others are opened.
MAX_CONCURRENT_STARTS = 48
# Workers reject start commands that arrive after this time. It serves as the
# first lease of the run, so it must exceed the longest idle renewal.
START_VALID_MS = 3_500
ABANDONED_START = "a start was abandoned"  # reason of a stop
STOP_TIMEOUT_S = 0.6
STOP_RETRY_S = 0.2
PACE_TIMEOUT_S = 0.6  # workers answer in milliseconds


class CommandSender:
    """Send the commands of one owner to the workers.

    Args:
        fleet: Workers of the owner.
        open_starts: Units with a start that may still be carried out.
        on_deposed: Called with a reason when a worker knows a newer owner.
        wake: Requests a scheduling round.
        may_start: Tells whether the owner was heard by the ledger so recently
            that nobody can have taken its runs for lost.
        get_evacuated: Returns the data centres that get no tasks.
        on_unsent: Called with a run and a task of it whose start was never
            sent, and never will be.
        metrics: Metrics of this entry.
        link_mbps: Rate of the link of this entry in Mbit/s, 0 for unknown.
    """

    def __init__(
        self,
        *,
        fleet: fleets.Fleet,
        open_starts: open_start_values.OpenStarts,
        on_deposed: Callable[[str], None],
        wake: Callable[[], None],
        may_start: Callable[[], bool],
        get_evacuated: Callable[[], frozenset[str]],
        on_unsent: Callable[[runs.Run, runs.Member], None],
        metrics: metric_values.Metrics,
        link_mbps: float = 0.0,
    ):
        self._fleet = fleet
        self._open_starts = open_starts
        self._on_deposed = on_deposed
        self._wake = wake
        self._may_start = may_start
        self._on_unsent = on_unsent
        self._start_checks = start_checks.StartChecks(
            worker_sessions=fleet.sessions,
            get_report=lambda worker: fleet.reports.get(worker),
            resources=fleet.resources,
            health=fleet.health,
            get_evacuated=get_evacuated,
        )
        self._metrics = metrics
        self._log = logs.Log(source="orders")
        self._stopping_runs: set[runs.Run] = set()
        # Stops of runs that aren't tracked, by worker, task and run.
        self._stray_stops: set[tuple[str, str, int]] = set()
        self._greenlets: set[gevent.Greenlet] = set()
        self._start_places = start_places.StartPlaces(
            size=MAX_CONCURRENT_STARTS
        )
        self._start_window = start_windows.StartWindow(link_mbps=link_mbps)
        # Tasks whose first start is under way, or waits for its turn.
        self._starting: set[runs.Member] = set()
        # Whether a round had more to start than the window allowed.
        self._is_window_full = False
        self._is_killed = False

    def kill(self) -> None:
        """Cancel all commands that are being sent."""
        self._is_killed = True
        for greenlet in list(self._greenlets):
            greenlet.kill(block=False)

    @property
    def start_window(self) -> int:
        """Return how many starts may be under way."""
        return self._start_window.size

    def count_allowed_starts(self, ordered: int) -> int:
        """Return how many more tasks may be started now.

        Args:
            ordered: Number of tasks whose start is not to be sent yet, as its
                record isn't stored.
        """
        return self._start_window.size - ordered - len(self._starting)

    def record_full_window(self) -> None:
        """Request a round once more starts are allowed."""
        self._is_window_full = True

    def send_starts(self, payload: str, run: runs.Run) -> None:
        """Start all tasks of a run whose record is already stored."""
        run.is_stored = True
        run.started = time.monotonic()
        self._starting.update(run.members)
        for member in run.members:
            self._spawn(self._send_start_in_window, payload, run, member)

    def _send_start_in_window(
        self, payload: str, run: runs.Run, member: runs.Member
    ) -> None:
        try:
            self._send_start(payload, run, member)
        finally:
            self._start_places.end_start(member.place.worker, member.task)
            self._leave_window(member)

    def _leave_window(self, member: runs.Member) -> None:
        self._starting.discard(member)
        if self._is_window_full:
            self._is_window_full = False
            self._wake()

    def _send_start(
        self, payload: str, run: runs.Run, member: runs.Member
    ) -> None:
        """Start one task, and retry while no answer arrives.

        Retries are safe, since a process of a worker starts the same run at
        most once; see `open_starts` for later processes. A start that is never
        answered is followed by a stop, after which the process rejects that
        run.
        """
        worker = member.place.worker
        refusal: errors.Refusal | None = None
        obstacle = ""
        # Whether the worker may have got a start.
        was_sent = False
        for count in range(START_TRIES):
            with self._start_places.take(
                worker,
                is_repeated=count > 0,
                on_silence=lambda: self._leave_window(member),
            ):
                if member.phase is not runs.Phase.ORDERED:
                    return
                obstacle = self._start_checks.find_obstacle(
                    run, member, may_be_there=was_sent
                )
                if obstacle or _is_gang_late(run):
                    break
                session = self._fleet.sessions[worker]
                call = session.begin_call()
                if not self._may_start():
                    # The process was paused, or the ledger is away.
                    obstacle = "the ledger has not heard the owner for too long"
                    break
                started = self._fleet.answer_times.begin_call()
                outcome = self._call_start(session, call, payload, run, member)
                session.lease_sent_at = time.monotonic()
                delay_s = self._fleet.answer_times.measure(started)
                self._metrics.record_time("starts.answer", delay_s)
                self._fleet.answer_times.record(worker, delay_s)
                if not count:
                    self._start_window.record(
                        worker, delay_s, under_way=len(self._starting)
                    )
                    # Silent workers must not keep others from their starts.
                    self._leave_window(member)
            if not errors.is_refusal(outcome):
                self._start_places.record_answer(worker)
                if call.fence != session.fence:
                    # It may be of the process that was noticed meanwhile.
                    member.has_open_start = True
                session.record_answer(call, outcome)
                member.has_begun = True
                if member.phase is runs.Phase.ORDERED:
                    member.phase = runs.Phase.KNOWN
                    member.changed_at = time.monotonic()
                session.wake()
                if run.stop_reason:
                    self._spawn(self._stop_member, run, member)
                return
            refusal = outcome
            self._metrics.count(f"starts.refused.{outcome.kind.value}")
            if outcome.kind is errors.Kind.CONNECT_FAILED:
                gevent.sleep(START_RETRY_S)
                continue
            was_sent = True
            if outcome.kind is errors.Kind.OUTCOME_UNKNOWN:
                member.has_open_start = True
                self._start_places.record_silence(worker, member.task)
                self._log.info(
                    "start_unanswered",
                    task=member.task,
                    run=run.number,
                    worker=worker,
                    life=member.place.life,
                    tries=count + 1,
                )
                self._open_starts.record_unanswered(run.key.format())
                continue
            self._start_places.record_answer(worker)
            if outcome.kind is errors.Kind.FENCED:
                if session.is_deposing(call):
                    self._on_deposed(f"worker {worker} is fenced")
                    return
                continue  # ends, as the worker has restarted
            if outcome.kind is errors.Kind.DEADLINE_EXCEEDED:
                session.record_answer(call, outcome.detail["clock_ms"])
                continue
            break
        if member.phase is not runs.Phase.ORDERED:
            return
        self._give_up_start(run, member, obstacle, refusal, was_sent=was_sent)

    def _give_up_start(
        self,
        run: runs.Run,
        member: runs.Member,
        obstacle: str,
        refusal: errors.Refusal | None,
        *,
        was_sent: bool,
    ) -> None:
        """Stop a run of which a task could not be started.

        Args:
            run: The run.
            member: The task.
            obstacle: Why the start was not sent again, empty if it was.
            refusal: Outcome of the last try, None if there was none.
            was_sent: Whether the worker may have got a start.
        """
        worker = member.place.worker
        self._log.warn(
            "start_given_up",
            task=member.task,
            run=run.number,
            worker=worker,
            kind=refusal.kind.value if refusal else "stopped",
            reason=obstacle or (refusal.reason if refusal else ""),
            was_sent=was_sent,
        )
        if (
            refusal is not None
            and refusal.kind is not errors.Kind.GONE
            and obstacle in ("", ABANDONED_START)
        ):
            # An expired ticket and other obstacles are no fault of the worker.
            self._fleet.record_unresponsive(worker)
        if not was_sent and not member.has_open_start:
            self._on_unsent(run, member)
            return
        self.stop(run, obstacle or ABANDONED_START)
        # Until the worker answers, which may be never. The start itself holds
        # no place in the window meanwhile.
        self._spawn(self._stop_member, run, member)

    def _call_start(
        self,
        session: sessions.Session,
        call: sessions.SentCall,
        payload: str,
        run: runs.Run,
        member: runs.Member,
    ) -> int | errors.Refusal:
        expires_ms = call.clock_ms + START_VALID_MS
        session.record_lease(expires_ms)
        return session.client.start(
            interfaces.RunCommand(member.task, run.number, call.fence),
            interfaces.StartOptions(
                payload,
                expires_ms,
                run.resumes_from,
                run.tickets.get(member.place.worker, ""),
            ),
            timeout_s=self._compute_start_timeout_s(run),
        )

    def _compute_start_timeout_s(self, run: runs.Run) -> float:
        timeout_s = self._fleet.answer_times.extend(START_TIMEOUT_S)
        if not run.is_gang:
            return timeout_s
        return min(
            timeout_s,
            max(START_TIMEOUT_S, start_checks.get_gang_time_left_s(run)),
        )

    def stop(
        self, run: runs.Run, reason: str, *, restarts: bool = False
    ) -> None:
        """Mark a run to be stopped; `send_stops` sends the commands.

        Args:
            run: The run.
            reason: Why, for the log.
            restarts: Whether its unit should start again as soon as it can.
        """
        if run.stop_reason:
            return
        run.stop_reason = reason
        run.restarts = restarts
        self._stopping_runs.add(run)
        self._wake()

    def send_stops(self) -> None:
        """Send stops to the confirmed tasks of runs that are to be stopped.

        A task whose start command is still being sent is stopped by
        `_send_start`, or here once the worker lists it.
        """
        for run in list(self._stopping_runs):
            if run.has_ended:
                self._stopping_runs.discard(run)
                continue
            for member in run.members:
                if member.phase is runs.Phase.KNOWN and not member.is_stop_sent:
                    self._spawn(self._stop_member, run, member)

    def _stop_member(self, run: runs.Run, member: runs.Member) -> None:
        """Stop one task, and retry until the worker confirms it."""
        if member.is_stop_sent:
            return
        member.is_stop_sent = True
        while member.phase is not runs.Phase.ENDED and not self._is_killed:
            session = self._fleet.sessions.get(member.place.worker)
            if session is None:
                break
            call = session.begin_call()
            started = self._fleet.answer_times.begin_call()
            outcome = session.client.stop(
                interfaces.RunCommand(member.task, run.number, call.fence),
                timeout_s=self._fleet.answer_times.extend(STOP_TIMEOUT_S),
            )
            self._fleet.answer_times.record(
                member.place.worker, self._fleet.answer_times.measure(started)
            )
            if not errors.is_refusal(outcome):
                session.record_answer(call, outcome)
                member.is_stop_confirmed = True
                member.changed_at = time.monotonic()
                session.wake()
                return
            self._metrics.count(f"stops.refused.{outcome.kind.value}")
            if outcome.kind is errors.Kind.FENCED and session.is_deposing(call):
                self._on_deposed(f"worker {member.place.worker} is fenced")
                return
            gevent.sleep(STOP_RETRY_S)
        # The worker has no session; `send_stops` retries once it has one.
        member.is_stop_sent = False

    def set_pace(
        self, run: runs.Run, member: runs.Member, percent: int
    ) -> None:
        """Limit one task to a percentage of its full speed."""
        member.pace = percent
        self._spawn(self._send_pace, run, member, percent)

    def _send_pace(
        self, run: runs.Run, member: runs.Member, percent: int
    ) -> None:
        session = self._fleet.sessions.get(member.place.worker)
        if session is None:
            member.pace = None
            return
        call = session.begin_call()
        outcome = session.client.set_pace(
            interfaces.RunCommand(member.task, run.number, call.fence),
            percent,
            timeout_s=self._fleet.answer_times.extend(PACE_TIMEOUT_S),
        )
        if not errors.is_refusal(outcome):
            session.record_answer(call, outcome)
            return
        # Unset, so that the pace is sent again after the next renewal.
        member.pace = None
        self._metrics.count(f"paces.refused.{outcome.kind.value}")
        if outcome.kind is errors.Kind.FENCED and session.is_deposing(call):
            self._on_deposed(f"worker {member.place.worker} is fenced")

    def stop_stray_run(
        self, session: sessions.Session, task: str, number: int
    ) -> None:
        """Stop a run that the owner does not track.

        Workers list it with each answer; one stop is under way at a time.
        """
        key = (session.report.id, task, number)
        if key not in self._stray_stops:
            self._stray_stops.add(key)
            self._spawn(self._send_stray_stop, session, task, number)

    def _send_stray_stop(
        self, session: sessions.Session, task: str, number: int
    ) -> None:
        try:
            session.client.stop(
                interfaces.RunCommand(task, number, session.fence),
                timeout_s=self._fleet.answer_times.extend(STOP_TIMEOUT_S),
            )
        finally:
            self._stray_stops.discard((session.report.id, task, number))

    def _spawn(self, function: Callable, *arguments: object) -> None:
        greenlet = gevent.spawn(function, *arguments)
        self._greenlets.add(greenlet)
        greenlet.link(self._greenlets.discard)


def _is_gang_late(run: runs.Run) -> bool:
    """Return whether the members of a gang wait no longer for the others."""
    return run.is_gang and start_checks.get_gang_time_left_s(run) <= 0
