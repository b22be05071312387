"""Runs that the owner has started, and the resources that they hold."""

import enum
import time
from typing import NamedTuple

from chervilcove.dispatch import departures
from chervilcove.dispatch import pacing
from chervilcove.dispatch import relocation
from chervilcove.dispatch import resources as resource_values
from chervilcove.jobs import crash_limits
from chervilcove.jobs import records
from chervilcove.jobs import table


class Phase(enum.Enum):
    """What the owner knows about one task of a run."""

    ORDERED = "ordered"  # a start command may still take effect
    KNOWN = "known"  # confirmed by the worker, which must list it if it runs
    ENDED = "ended"  # certain not to run, now or later


class Member:
    """One task of a run.

    Attributes:
        task: Name of the task, as in commands.
        place: The worker, and the start of its present process.
        placed: Resources that the task holds.
        phase: What the owner knows about the task.
        changed_at: Monotonic seconds at which the worker confirmed the start
            or a stop. If a renewal sent later doesn't list the task, the
            task is lost.
        outcome: How the task ended (`done`, `failed`, `stopped`, `lost`, ...;
            see `interfaces.EndedRun`), empty until then.
        is_stop_confirmed: Whether the worker confirmed a stop, after which it
            rejects starts of this run.
        is_stop_sent: Whether a stop is being sent or was confirmed.
        has_open_start: Whether a start of it may still be carried out: one got
            no answer, or an earlier owner sent it.
        is_listed: Whether the worker has listed the task as running.
        has_begun: Whether the worker has shown that it started the task: by
            its answer to the start, or by listing the task or its end.
        has_crashed_worker: Whether the worker's process ended under the task.
        percent: Progress in percent.
        progress: Progress over the last seconds.
        standstill_recorded_at: Monotonic seconds at which a standstill of it
            was last recorded.
        load: Load that the worker reports; see `interfaces.RunningTask`.
        pace: Percentage of full speed last sent to the worker, None while it
            is unknown.
        checkpoint: Newest checkpoint that the worker reported for the task.
    """

    def __init__(
        self,
        *,
        task: str,
        place: records.Place,
        placed: resource_values.Allocation,
    ):
        self.task = task
        self.place = place
        self.placed = placed
        self.phase = Phase.ORDERED
        self.changed_at = time.monotonic()
        self.outcome = ""
        self.is_stop_confirmed = False
        self.is_stop_sent = False
        self.has_open_start = False
        self.is_listed = False
        self.has_begun = False
        self.has_crashed_worker = False
        self.percent = 0.0
        self.progress = relocation.TaskProgress()
        self.standstill_recorded_at = float("-inf")
        self.load = 0.0
        self.pace: int | None = pacing.FULL_PACE
        self.checkpoint = ""

    def is_settled_at(self, asked: float) -> bool:
        """Tell whether a complete list without the task shows its end.

        Args:
            asked: Monotonic seconds at which the list was asked for.
        """
        is_settled = self.phase is Phase.KNOWN or self.is_stop_confirmed
        return is_settled and asked > self.changed_at

    def record_absence(self, life: int) -> str:
        """Record that a process of the worker doesn't list the task.

        Args:
            life: Start of that process, 0 if unknown.

        Returns:
            What shows that the task has ended, for the log.
        """
        has_restarted = (life or self.place.life) != self.place.life
        self.has_crashed_worker = has_restarted and (
            self.phase is Phase.KNOWN or self.has_open_start
        )
        return "worker_restarted" if has_restarted else "not_listed"


class Run:
    """One run of a unit.

    Attributes:
        key: The unit.
        number: Number of the run.
        members: Tasks of the run; several only for a gang.
        checkpoint: Newest known checkpoint.
        saved_at: Monotonic seconds at which a new checkpoint became known, None
            if none did in this run.
        resumes_from: Checkpoint that the run was started from.
        stop_reason: Why the run is being stopped, empty while it is not.
        restarts: Whether it is being stopped so that its unit starts again.
        is_recorded_done: Whether the unit was recorded as done.
        started: Monotonic seconds of the start.
        is_stored: Whether the record of the run was stored, so that its starts
            may be sent.
        is_begin_recorded: Whether the record of the unit shows that the run
            has begun.
        is_adopted: Whether an earlier owner started it, so that its start is
            only estimated.
        tickets: Tickets that the queue's policy granted, by worker.
        departure: What was decided when a worker of it began to leave; None
            before.
        departure_checked_at: Monotonic seconds of the newest such decision.
    """

    def __init__(
        self,
        *,
        key: table.UnitKey,
        number: int,
        members: list[Member],
        checkpoint: str,
    ):
        self.key = key
        self.number = number
        self.members = members
        self.checkpoint = checkpoint
        self.saved_at: float | None = None
        self.resumes_from = checkpoint
        self.stop_reason = ""
        self.restarts = False
        self.is_recorded_done = False
        self.started = time.monotonic()
        self.is_stored = False
        self.is_begin_recorded = False
        self.is_adopted = False
        self.tickets: dict[str, str] = {}
        self.departure: departures.Action | None = None
        self.departure_checked_at = float("-inf")

    @property
    def is_gang(self) -> bool:
        """Tell whether its tasks work only together."""
        return len(self.members) > 1

    @property
    def has_begun(self) -> bool:
        """Tell whether a worker has shown that it started one of the tasks."""
        return any(one.has_begun for one in self.members)

    @property
    def has_ended(self) -> bool:
        """Tell whether no task runs or can still start."""
        return all(one.phase is Phase.ENDED for one in self.members)

    def estimate_start(self, percent: float, duration_s: float) -> None:
        """Move the start of an adopted run back, as its progress suggests.

        Args:
            percent: Progress of one of its tasks.
            duration_s: Expected duration of the run.
        """
        ran_s = duration_s * percent / 100
        self.started = min(self.started, time.monotonic() - ran_s)

    def record_checkpoint(self, member: Member, checkpoint: str) -> None:
        """Record the checkpoint of a lease reply, empty for none."""
        if not checkpoint:
            return
        if checkpoint not in (member.checkpoint, self.resumes_from):
            self.saved_at = time.monotonic()
        member.checkpoint = checkpoint
        self.checkpoint = checkpoint

    def find_member(self, task: str, worker: str) -> Member | None:
        """Return the member for `task` on `worker`, None if there is none."""
        for member in self.members:
            if member.task == task and member.place.worker == worker:
                return member
        return None


class UnitOutcome(NamedTuple):
    """Effect of an ended run on its unit.

    Attributes:
        is_done: Whether the unit is done.
        failed: Numbers of the failed runs of the unit.
    """

    is_done: bool
    failed: tuple[int, ...]


def compute_unit_outcome(run: Run, failed: tuple[int, ...]) -> UnitOutcome:
    """Compute the outcome for the unit; failed gang members count once.

    Args:
        run: The ended run.
        failed: Numbers of the runs of the unit that failed before.
    """
    outcomes = {member.outcome for member in run.members}
    if "done" in outcomes or run.is_recorded_done:
        return UnitOutcome(True, failed)
    if "failed" in outcomes:
        return UnitOutcome(False, add_failure(failed, run.number))
    return UnitOutcome(False, failed)


def list_crashes(
    run: Run, before: tuple[crash_limits.Crash, ...], *, is_lasting: bool
) -> tuple[crash_limits.Crash, ...]:
    """Return the crashes of workers under a unit, those of `run` included.

    A lasting task outlives many workers, so only crashes at its start count.

    Args:
        run: Newest run of the unit.
        before: Crashes recorded before.
        is_lasting: Whether the unit is a lasting task.
    """
    crashes = [crash for crash in before if crash.run != run.number]
    for index, member in enumerate(run.members):
        was_running = member.is_listed or run.is_adopted
        if member.has_crashed_worker and not (is_lasting and was_running):
            crashes.append(
                crash_limits.Crash(
                    run.number, index, member.place.worker, was_running
                )
            )
    return tuple(crashes)


def add_failure(failed: tuple[int, ...], run: int) -> tuple[int, ...]:
    """Return `failed` with `run` added, unless it is in there already."""
    return failed if run in failed else (*failed, run)
