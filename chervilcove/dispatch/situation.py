"""What a round of decisions reads: the situation as it stands."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import types
from typing import NamedTuple

from chervilcove.dispatch import headroom
from chervilcove.dispatch import rooms as room_values
from chervilcove.jobs import configuration
from chervilcove.jobs import specs
from chervilcove.jobs import table

ACCELERATOR_CORES = 8.0  # cores that an accelerator counts as, users' prices


class Running(NamedTuple):
    """Describe a unit that holds room.

    Attributes:
        placed: The room.
        is_urgent: Whether it may not be preempted.
        is_stopping: Whether it was told to stop.
        is_resumable: Whether a stopped run loses next to nothing.
        run_s: Seconds that it has run.
        left_s: Seconds that it may still take.
    """

    placed: room_values.Placed
    is_urgent: bool
    is_stopping: bool
    is_resumable: bool
    run_s: float
    left_s: float

    def compute_loss(self) -> float:
        """Return the core-seconds lost if it is stopped now."""
        lost_s = 0.5 if self.is_resumable else self.run_s + 0.5
        cores = count_cores(self.placed.need)
        return lost_s * cores * len(self.placed.workers)


class Bounds(NamedTuple):
    """Hold what the deployment promises.

    Attributes:
        reclaim_ms: Time in which guaranteed work must have begun.
        stop_ms: Longest time that a stop takes.
    """

    reclaim_ms: int = 2_900
    stop_ms: int = 900


class Situation(NamedTuple):
    """Hold everything that a round reads.

    Attributes:
        now_ms: Unix milliseconds.
        jobs: Jobs that are open.
        get_queue: Returns the queue of a job, also of a removed one.
        customers: Customers in force, by name.
        rooms: Room on workers; the same after the round.
        running: Units that hold room.
        factors: Learned ratio of true to declared durations, by queue.
        mean_work: Mean declared core-seconds of a job, by queue.
        is_resting: Tells whether a unit waits after a failure.
        get_grants: Returns the workers that the policy of a queue grants to
            a step, None while they aren't known.
        bounds: What the deployment promises.
        urgent: Urgent arrivals of late.
        due_since: What the last round's plan says.
    """

    now_ms: int
    jobs: Iterable[table.Job]
    get_queue: Callable[[table.Job], configuration.Queue]
    customers: dict[str, configuration.Customer]
    rooms: room_values.Rooms
    running: dict[table.UnitKey, Running]
    factors: dict[str, float]
    mean_work: dict[str, float]
    is_resting: Callable[[table.UnitKey], bool]
    get_grants: Callable[[tuple[str, int, int]], frozenset[str] | None]
    bounds: Bounds = Bounds()
    urgent: Iterable[headroom.Arrival] = ()
    due_since: Mapping[tuple[str, int, int], int] = types.MappingProxyType({})


def count_cores(need: specs.Need) -> float:
    """Return the cores that the users' prices count for one task."""
    return need.cpu / 1000 + need.accelerators * ACCELERATOR_CORES
