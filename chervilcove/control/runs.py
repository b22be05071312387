"""Runs that the owner has ordered, and the room that they hold."""

import enum
import time
from typing import NamedTuple

from chervilcove.dispatch import pacing
from chervilcove.dispatch import relocation
from chervilcove.dispatch import resources as room_values
from chervilcove.jobs import records
from chervilcove.jobs import table


class Phase(enum.Enum):
    """Say what is known of one task of a run."""

    ORDERED = "ordered"  # an order to start may still be carried out
    KNOWN = "known"  # the worker confirmed it, or must list it
    ENDED = "ended"  # it surely does not run and will not


class Member:
    """Hold one task of a run.

    Attributes:
        task: Name of the task, as orders spell it.
        place: The worker and its life.
        placed: The room that it holds.
        phase: What is known of it.
        since: Monotonic seconds; renewals asked later must list it.
        how: How it ended, empty until then.
        is_void: Whether a stop was confirmed, so that no start can follow.
        is_stop_sent: Whether a stop is under way or was confirmed.
        percent: How far it is.
        progress: How far it was over the last seconds.
        load: What its worker says of it; see `ports.RunningTask`.
        pace: Share of its speed that it was told, percent; None while it is
            not known.
    """

    def __init__(
        self, *, task: str, place: records.Place, placed: room_values.Allocation
    ):
        self.task = task
        self.place = place
        self.placed = placed
        self.phase = Phase.ORDERED
        self.since = time.monotonic()
        self.how = ""
        self.is_void = False
        self.is_stop_sent = False
        self.percent = 0.0
        self.progress = relocation.TaskProgress()
        self.load = 0.0
        self.pace: int | None = pacing.FULL_PACE


class Run:
    """Hold a run of one unit.

    Attributes:
        key: The unit.
        number: Number of the run.
        members: Its tasks, one but for a gang.
        checkpoint: Newest checkpoint known.
        resumes_from: Checkpoint that it was started from.
        stop_reason: Why it is stopped, empty while it is not.
        is_recorded_done: Whether its end `done` was written.
        started: Monotonic seconds.
        tickets: Grants of the queue's policy, by worker.
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
        self.resumes_from = checkpoint
        self.stop_reason = ""
        self.is_recorded_done = False
        self.started = time.monotonic()
        self.tickets: dict[str, str] = {}

    @property
    def is_over(self) -> bool:
        """Tell whether no task of it runs or can still start."""
        return all(one.phase is Phase.ENDED for one in self.members)

    def find_member(self, task: str, worker: str) -> Member | None:
        """Return the member `task` on `worker`."""
        for member in self.members:
            if member.task == task and member.place.worker == worker:
                return member
        return None


class Outcome(NamedTuple):
    """Hold what the ends of a run mean for its unit.

    Attributes:
        is_done: Whether the unit is done.
        failed: Numbers of its runs that failed.
    """

    is_done: bool
    failed: tuple[int, ...]


def judge(run: Run, failed: tuple[int, ...]) -> Outcome:
    """Return what the ends of `run` mean; a gang fails as one."""
    hows = {member.how for member in run.members}
    if "done" in hows or run.is_recorded_done:
        return Outcome(True, failed)
    if "failed" in hows:
        return Outcome(False, add_failure(failed, run.number))
    return Outcome(False, failed)


def add_failure(failed: tuple[int, ...], run: int) -> tuple[int, ...]:
    """Return `failed` with `run`, which counts once."""
    return failed if run in failed else (*failed, run)
