"""Input and output types of the scheduling core.

The package is pure: it reads no clock, opens no socket, uses no random source
and does not import gevent.
"""

import abc
import enum
from typing import Any
from typing import NamedTuple
from typing import NotRequired
from typing import TypedDict

from chervilcove.core import errors


class Urgency(enum.StrEnum):
    """Classes of work, the most urgent first."""

    URGENT = "urgent"
    NORMAL = "normal"
    BATCH = "batch"


class Reason(enum.StrEnum):
    """Reasons for a wait, a preemption, a move or an end."""

    NO_ROOM = "no_room"
    FRAGMENTED = "fragmented"
    QUOTA = "quota"
    MAXIMUM = "maximum"
    BEHIND_OTHERS = "behind_others"
    RESERVED = "reserved"
    DATA_CENTRE_OUT = "data_centre_out"
    RECLAIMED = "reclaimed"
    URGENT_WORK = "urgent_work"
    DEFRAGMENTED = "defragmented"
    WORKER_LOST = "worker_lost"
    TASK_LOST = "task_lost"
    TASK_FAILED = "task_failed"
    START_FAILED = "start_failed"
    BACK_OFF = "back_off"
    NEVER_FITS = "never_fits"
    NEVER_RUNS = "never_runs"
    CANCELLED = "cancelled"
    COMPLETED = "completed"
    LOG_UNAVAILABLE = "log_unavailable"


# Reasons after which a job never runs again.
FINAL_REASONS = (
    Reason.NEVER_FITS,
    Reason.NEVER_RUNS,
    Reason.CANCELLED,
    Reason.COMPLETED,
)


class JobSpec(TypedDict):
    """A gang job as submitted by its caller.

    Attributes:
        id: Identifier given by the entry that accepted it.
        key: Caller's idempotency key, unique within the customer.
        customer: Customer name.
        team: Team name within the customer.
        kind: Kind of work; run times are learned by customer and kind.
        urgency: Value of `Urgency`.
        tasks: Number of tasks, 1 to 64.
        accelerators: Accelerators of one task: 0, 1, 2, 4 or 8.
        processors: Cores of one task.
        memory_gb: Memory of one task in gigabytes.
        adjacent: Level within which the whole gang must be placed, as in a
            guarantee.
        data_centres: Allowed data centres; empty for all.
        declared_run_s: Declared run time, seconds.
        idempotent: Whether started work may safely run a second time.
        checkpointable: Whether a stop keeps the work done so far.
        payload: Content passed to the worker.
    """

    id: str
    key: str
    customer: str
    team: str
    kind: str
    urgency: str
    tasks: int
    accelerators: int
    processors: float
    memory_gb: float
    adjacent: str
    data_centres: list[str]
    declared_run_s: float
    idempotent: bool
    checkpointable: bool
    payload: NotRequired[dict[str, Any]]


class TaskPlace(NamedTuple):
    """Worker and accelerators of one task.

    Attributes:
        worker: Worker name.
        mask: Bit i is set where the task holds accelerator i.
    """

    worker: str
    mask: int


class Gang(NamedTuple):
    """A gang that holds places.

    Attributes:
        job: Job id.
        attempt: Number of this attempt, from 1.
        customer: Customer name.
        team: Team name.
        kind: Kind of work.
        urgency: Value of `Urgency`.
        slot: Guaranteed slot that it runs in, empty if it borrows.
        places: One place per task.
        processors: Cores of one task.
        memory_gb: Memory of one task.
        checkpointable: Whether a stop keeps the work done so far.
        idempotent: Whether it may run again once it has started.
        since: Log time of its placement, seconds.
        declared_s: Declared run time, seconds, 0 if unknown.
    """

    job: str
    attempt: int
    customer: str
    team: str
    kind: str
    urgency: str
    slot: str
    places: tuple[TaskPlace, ...]
    processors: float
    memory_gb: float
    checkpointable: bool
    idempotent: bool
    since: float
    declared_s: float = 0.0


class QueuedJob(NamedTuple):
    """A job that waits for places.

    Attributes:
        spec: The job.
        submitted_at: Log time of its submission, seconds.
        attempts: Attempts made so far.
        attained: Accelerator-seconds spent on it so far.
        not_before: Log time of the next attempt at the earliest, seconds.
    """

    spec: JobSpec
    submitted_at: float
    attempts: int
    attained: float
    not_before: float


class Placement(NamedTuple):
    """The start of a queued job on its places."""

    job: str
    attempt: int
    slot: str
    places: tuple[TaskPlace, ...]


class Preemption(NamedTuple):
    """The stop of a gang, whose job returns to the queue.

    Attributes:
        job: Job to stop.
        attempt: Attempt to stop.
        reason: Value of `Reason`.
        beneficiary: Job that gets the places, empty for none.
    """

    job: str
    attempt: int
    reason: str
    beneficiary: str


class Wait(NamedTuple):
    """The reason why a job waits, with a detail in words."""

    job: str
    reason: str
    detail: str


class JobRefusal(NamedTuple):
    """The end of a job that can never run."""

    job: str
    refusal: errors.Refusal


class Plan(NamedTuple):
    """The decisions of one round.

    The preemptions of a plan must be applied before its placements.

    Attributes:
        placements: Jobs that start.
        preemptions: Gangs that stop.
        refusals: Jobs that end because they can never run.
        waits: Reasons why the other jobs wait.
        is_partial: Whether the round skipped jobs because of its limits, or
            another round may start more; one should follow soon.
    """

    placements: tuple[Placement, ...] = ()
    preemptions: tuple[Preemption, ...] = ()
    refusals: tuple[JobRefusal, ...] = ()
    waits: tuple[Wait, ...] = ()
    is_partial: bool = False

    @property
    def is_empty(self) -> bool:
        """Tell whether the plan starts, stops and ends no job."""
        return not (self.placements or self.preemptions or self.refusals)


class Policy(abc.ABC):
    """Decides which jobs start, stop and wait."""

    @abc.abstractmethod
    def decide(self, *, pool: Any, queue: list[QueuedJob], now: float) -> Plan:
        """Return the decisions of the next round.

        Args:
            pool: The `pool.Pool` with all gangs that hold places.
            queue: Waiting jobs in order of submission.
            now: Log time, seconds.
        """
