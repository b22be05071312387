"""Log lines about long waits, headroom and the maximum of customers."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from chervilcove.core import logs
from chervilcove.core import metrics as metric_values
from chervilcove.dispatch import resources as resource_values
from chervilcove.jobs import configuration
from chervilcove.jobs import table

MIN_LOGGED_WAIT_MS = 3_000  # a job may wait for 3 s with nothing running
MAX_LOGGED_JOBS = 3  # jobs per call; bounds the size of the log


class HeadroomLog:
    """Log when headroom is first kept for urgent work, resized or released.

    Only a change of its size is logged, since the workers on which it is kept
    change with each task that ends.

    Args:
        log: The log to write to.

    Attributes:
        placed: Headroom that is kept now, None for none.
    """

    def __init__(self, *, log: logs.Log):
        self._log = log
        self.placed: resource_values.Allocation | None = None

    def record(
        self, placed: resource_values.Allocation | None, *, arrivals: int
    ) -> None:
        """Record the headroom that a scheduling round kept.

        Args:
            placed: The headroom, None for none.
            arrivals: Number of urgent jobs that the decision is based on.
        """
        before, self.placed = self.placed, placed
        if _get_size(before) == _get_size(placed):
            return
        if placed is None:
            self._log.info("room_released", arrivals=arrivals)
            return
        self._log.info(
            "room_kept",
            tasks=len(placed.workers),
            need=",".join(str(each) for each in placed.need),
            workers=",".join(sorted(set(placed.workers))),
            arrivals=arrivals,
        )


class HeldBack(NamedTuple):
    """Tasks of one customer that wait for its maximum.

    Attributes:
        count: Number of tasks.
        since_ms: Since when some wait, Unix milliseconds.
    """

    count: int
    since_ms: int


class HeldBackLog:
    """Log when customers begin and cease to wait for their maximum.

    Args:
        log: The log to write to.
        metrics: Metrics of this entry.

    Attributes:
        customers: Customers that are held back, by name.
    """

    def __init__(self, *, log: logs.Log, metrics: metric_values.Metrics):
        self._log = log
        self._metrics = metrics
        self.customers: dict[str, HeldBack] = {}

    def record(self, counts: Mapping[str, int], now_ms: int) -> None:
        """Record how many tasks of each customer a round held back."""
        for name in self.customers.keys() - counts.keys():
            since_ms = self.customers[name].since_ms
            self._log.info(
                "maximum_left", customer=name, held_ms=now_ms - since_ms
            )
        for name in counts.keys() - self.customers.keys():
            self._log.info("maximum_reached", customer=name, tasks=counts[name])
        if counts or self.customers:
            total = sum(counts.values())
            self._metrics.set_gauge("customers.held_back", total)
        self.customers = {
            name: HeldBack(
                count,
                self.customers[name].since_ms
                if name in self.customers
                else now_ms,
            )
            for name, count in counts.items()
        }


def _get_size(placed: resource_values.Allocation | None) -> tuple | None:
    return placed and (placed.need, len(placed.workers))


def log_longest_waits(
    *,
    log: logs.Log,
    jobs: Iterable[table.Job],
    runs: Iterable[table.UnitKey],
    resources: resource_values.FleetResources,
    get_queue: Callable[[table.Job], configuration.Queue],
    headroom: resource_values.Allocation | None,
    now_ms: int,
) -> None:
    """Log the longest-waiting jobs with the resources that are free.

    Args:
        log: The log to write to.
        jobs: Jobs that have not ended.
        runs: Units that hold resources.
        resources: Workers and their free resources.
        get_queue: Returns the queue of a job.
        headroom: Headroom that is kept for urgent work, None for none.
        now_ms: Unix milliseconds.
    """
    found = []
    for job in jobs:
        since_ms = max(job.submission.accepted_ms, job.spec.first_due_ms)
        if now_ms - since_ms < MIN_LOGGED_WAIT_MS or job.active:
            continue
        ready_step = next(job.list_ready_steps(now_ms), None)
        if ready_step is not None:
            found.append((now_ms - since_ms, job, ready_step))
    found.sort(key=lambda wait: -wait[0])
    for waited_ms, job, (occurrence, number) in found[:MAX_LOGGED_JOBS]:
        step = job.spec.steps[number]
        candidates = resources.list_schedulable(
            get_queue(job).service, step.label
        )
        log.info(
            "job_waits",
            job=job.id,
            turn=f"{occurrence}.{number}",
            waited_ms=waited_ms,
            state=job.get_state().value,
            count=step.count,
            gang=step.is_gang,
            same_rack=step.same_rack,
            data_rack=step.data_rack,
            need=",".join(str(each) for each in step.need),
            runs=sum(key.job == job.id for key in runs),
            open_workers=len(candidates),
            fitting_workers=sum(room.fits(step.need) for room in candidates),
            free_accelerators=sum(room.accelerators for room in candidates),
            kept_workers=len(set(headroom.workers)) if headroom else 0,
            workers=len(resources.by_worker),
        )
