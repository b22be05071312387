"""Input of a scheduling round."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import types
from typing import NamedTuple

from chervilcove.dispatch import headroom
from chervilcove.dispatch import resources as resource_values
from chervilcove.dispatch import stop_costs
from chervilcove.dispatch import usage
from chervilcove.jobs import configuration
from chervilcove.jobs import maximums
from chervilcove.jobs import specs
from chervilcove.jobs import table

CORES_PER_ACCELERATOR = 8.0  # by the price list


class RunningUnit(NamedTuple):
    """A unit that holds resources.

    Attributes:
        allocation: Its allocation.
        is_urgent: Whether its queue has priority 0, so that it may not be
            preempted.
        is_stopping: Whether a stop was ordered.
        is_resumable: Whether it resumes from a checkpoint, so that a stop
            loses almost no work.
        run_s: Seconds for which it has run.
        remaining_s: Estimated seconds to its end; infinity for lasting tasks.
        stop_count: How often the unit was preempted before.
        lost_s: Seconds that a resumable unit loses if it is stopped now, see
            `stop_costs.estimate_lost_s`; None if unknown.
    """

    allocation: resource_values.Allocation
    is_urgent: bool
    is_stopping: bool
    is_resumable: bool
    run_s: float
    remaining_s: float
    stop_count: int = 0
    lost_s: float | None = None

    def compute_loss(self) -> float:
        """Return the core-seconds of work lost if it is stopped now."""
        if not self.is_resumable:
            lost_s = self.run_s + 0.5
        else:
            lost_s = 0.5 if self.lost_s is None else self.lost_s
        cores = count_core_equivalents(self.allocation.need)
        return lost_s * cores * len(self.allocation.workers)


class Preemption(NamedTuple):
    """A decision to empty workers for a gang, which lasts until it starts.

    Attributes:
        allocation: The workers, one for each task of the gang.
        victims: Units that are stopped for it, or should end soon.
        since_ms: Time of the decision, Unix milliseconds.
    """

    allocation: resource_values.Allocation
    victims: tuple[table.UnitKey, ...]
    since_ms: int


class ReclaimBounds(NamedTuple):
    """Time limits that the deployment promises for guaranteed work.

    Attributes:
        reclaim_ms: Time within which guaranteed work must start.
        stop_ms: Longest time that a stop takes.
        checkpoints: Times of tasks that save checkpoints.
    """

    reclaim_ms: int = 2_900
    stop_ms: int = 900
    checkpoints: stop_costs.CheckpointTimes = stop_costs.CheckpointTimes()


class ContentionPolicy(NamedTuple):
    """What a deployment does about contention in a full pool.

    Attributes:
        reserves_for_gangs: Whether gangs that wait get a reservation.
        holds_lowest_starts: Whether work of the lowest priority leaves room
            for expected urgent arrivals.
        orders_by_share: Whether shares of customers count where none of them
            has a weight.
    """

    reserves_for_gangs: bool = True
    holds_lowest_starts: bool = True
    orders_by_share: bool = True

    def counts_shares(
        self, customers: Iterable[configuration.Customer]
    ) -> bool:
        """Return whether the shares of these customers count."""
        return self.orders_by_share or any(one.weight for one in customers)


def _get_no_duration(_job: str, _step: int) -> float | None:
    return None


def _is_never_beyond(_job: table.Job) -> bool:
    return False


def _find_no_enemies(_image: str) -> Mapping[str, float]:
    return {}


class RoundInput(NamedTuple):
    """Everything that a scheduling round reads.

    Attributes:
        now_ms: Unix milliseconds.
        jobs: Jobs that have not ended.
        get_queue: Returns the queue of a job, also of a removed queue.
        customers: Customers in force, by name.
        resources: State of all workers; unchanged after the round.
        running: Units that hold resources.
        duration_factors: Learned ratio of true to declared durations, by queue.
        mean_work: Mean declared core-seconds of a job, by queue.
        is_backing_off: Returns whether a unit backs off after a failure.
        get_grants: Returns the workers that the policy of a queue grants to a
            step, None while they aren't known.
        bounds: Time limits that the deployment promises.
        urgent: Recent urgent arrivals.
        start_due_since: `Plan.start_due_since` of the previous round.
        preemptions: `Plan.preemptions` of the previous round.
        search_retry_at: `Plan.search_retry_at` of the previous round.
        untracked: Tasks that may run although no unit in `running` holds them.
        get_step_duration_s: Returns how long the tasks of a job's step take, as
            others of them have shown; None while that isn't known.
        find_enemies: Returns the images that must be kept apart from an image,
            with the slowdown that they cause.
        contention: What the deployment does about contention.
        leaving: Workers that leave, or left so recently that others may still
            come in their place.
        recent_usage: Mean part of the pool that accounts had lately.
        is_beyond_weight: Returns whether the customer of a job sent it beyond
            its weight.
        list_units: Returns the units that may have tasks on a worker; None to
            read `running` for it.
    """

    now_ms: int
    jobs: Iterable[table.Job]
    get_queue: Callable[[table.Job], configuration.Queue]
    customers: dict[str, configuration.Customer]
    resources: resource_values.FleetResources
    running: Mapping[table.UnitKey, RunningUnit]
    duration_factors: dict[str, float]
    mean_work: dict[str, float]
    is_backing_off: Callable[[table.UnitKey], bool]
    get_grants: Callable[[tuple[str, int, int]], frozenset[str] | None]
    bounds: ReclaimBounds = ReclaimBounds()
    urgent: Iterable[headroom.UrgentArrival] = ()
    start_due_since: Mapping[tuple[str, int, int], int] = (
        types.MappingProxyType({})
    )
    preemptions: Mapping[tuple[str, int, int], Preemption] = (
        types.MappingProxyType({})
    )
    search_retry_at: Mapping[tuple[str, int, int], int] = (
        types.MappingProxyType({})
    )
    untracked: Iterable[maximums.Usage] = ()
    get_step_duration_s: Callable[[str, int], float | None] = _get_no_duration
    find_enemies: Callable[[str], Mapping[str, float]] = _find_no_enemies
    contention: ContentionPolicy = ContentionPolicy()
    leaving: Iterable[resource_values.Worker] = ()
    recent_usage: Mapping[usage.Account, float] = types.MappingProxyType({})
    is_beyond_weight: Callable[[table.Job], bool] = _is_never_beyond
    list_units: Callable[[str], Iterable[table.UnitKey]] | None = None


def count_core_equivalents(need: specs.Resources) -> float:
    """Return the cores of one task, with its accelerators priced as cores."""
    return need.cpu / 1000 + need.accelerators * CORES_PER_ACCELERATOR
