"""Usage of customers and work beyond their weight, as one owner observes it."""

from collections.abc import Mapping
from collections.abc import Sequence

from chervilcove.core import logs
from chervilcove.core import metrics as metric_values
from chervilcove.dispatch import resources as resource_values
from chervilcove.dispatch import usage
from chervilcove.jobs import configuration
from chervilcove.jobs import table

MAX_LOGGED_CUSTOMERS = 8  # bounds the log line


class ShareMonitor:
    """Observe what the rounds of one owner need to know about shares.

    The usage of the last seconds lives in memory. A new owner begins without
    it and has three quarters of it after 10 s. What was sent beyond a weight is
    computed from the job table.

    Args:
        job_table: Working table of the owner.
        resources: Workers and their resources.
        log: Log of the owner.
        metrics: Metrics of this entry.
    """

    def __init__(
        self,
        *,
        job_table: table.JobTable,
        resources: resource_values.FleetResources,
        log: logs.Log,
        metrics: metric_values.Metrics,
    ):
        self._table = job_table
        self._resources = resources
        self._log = log
        self._metrics = metrics
        self._recent = usage.RecentUsage()
        self._weights: dict[str, float] = {}
        self._was_exceeded = False

    def update(
        self,
        jobs: Sequence[table.Job],
        customers: Mapping[str, configuration.Customer],
        now_ms: int,
    ) -> Mapping[usage.Account, float]:
        """Return the mean part of the pool of accounts in the last seconds.

        Args:
            jobs: Jobs that have not ended.
            customers: Customers in force, by name.
            now_ms: Unix milliseconds.
        """
        self._weights = {
            name: customer.weight
            for name, customer in customers.items()
            if customer.weight
        }
        capacity = usage.sum_capacity(self._resources.by_worker.values())
        running = usage.compute_parts(usage.sum_running(jobs), capacity)
        self._recent.update(running, now_ms)
        return self._recent.parts

    @property
    def recent(self) -> Mapping[usage.Account, float]:
        """Return the parts that `update` last returned."""
        return self._recent.parts

    def is_beyond_weight(self, job: table.Job) -> bool:
        """Return whether the customer of a job sent it beyond its weight."""
        weight = self._weights.get(job.submission.customer)
        if weight is None:
            return False
        return self._table.arrivals.is_beyond(job.submission, weight)

    def is_next_beyond(
        self, customer: configuration.Customer | None, now_ms: int
    ) -> bool:
        """Return whether a job accepted now would be beyond the weight."""
        return customer is not None and (
            self._table.arrivals.compute_wait_ms(
                customer.name, customer.weight, now_ms
            )
            > 0
        )

    def log_beyond(self) -> None:
        """Log which customers have work beyond their weight that waits."""
        if not self._weights and not self._was_exceeded:
            return
        waiting: dict[str, int] = {}
        for job in self._table.open_jobs.values():
            if job.get_state() is table.JobState.QUEUED and (
                self.is_beyond_weight(job)
            ):
                name = job.submission.customer
                waiting[name] = waiting.get(name, 0) + 1
        total = sum(waiting.values())
        self._metrics.set_gauge("customers.beyond_weight", total)
        if waiting or self._was_exceeded:
            most = sorted(waiting, key=lambda name: -waiting[name])
            self._log.info(
                "weight_exceeded",
                jobs=total,
                customers=len(waiting),
                most=",".join(
                    f"{name}:{waiting[name]}"
                    for name in most[:MAX_LOGGED_CUSTOMERS]
                ),
            )
        self._was_exceeded = bool(waiting)
