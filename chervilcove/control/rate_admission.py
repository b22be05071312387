"""Refusal of jobs at an entry, for what their customer sent before."""

import collections
import time
from typing import NamedTuple

from chervilcove.control import follower as followers
from chervilcove.core import errors
from chervilcove.core import logs
from chervilcove.core import metrics as metric_values
from chervilcove.dispatch import admission
from chervilcove.jobs import arrivals
from chervilcove.jobs import configuration
from chervilcove.jobs import specs

# Age up to which a measured backlog is used again. Entries read the ledger
# every 0.2 s, so that it changes little in between.
MAX_BACKLOG_AGE_S = 0.2
LOG_INTERVAL_S = 1.0  # between the log lines about one customer
# Sent jobs that are remembered. Records are read back within a second, and an
# entry sends at most some hundreds in that time.
MAX_SENT = 2_000
SYNC_TIMEOUT_S = 0.7  # to read the ledger to its end for one refusal


class RateState(NamedTuple):
    """What a customer sent beyond its weight, for operators.

    Attributes:
        accepted: Accepted jobs beyond the weight, in this minute and the last.
        refused: Jobs that this entry refused since it started.
    """

    accepted: int
    refused: int


class RateAdmission:
    """Refuse jobs that can't be in time for their customer's own backlog.

    Args:
        follower: Holds the job table.
        metrics: Metrics of this entry.
    """

    def __init__(
        self,
        *,
        follower: followers.Follower,
        metrics: metric_values.Metrics,
    ):
        self._follower = follower
        self._metrics = metrics
        self._log = logs.Log(source="desk")
        self._backlogs: dict[
            tuple[str, int], tuple[float, admission.Backlog]
        ] = {}
        # Jobs whose record this entry sent, which may be stored but not read.
        self._sent: dict[str, None] = {}
        self._refused: collections.Counter[str] = collections.Counter()
        self._logged: dict[str, tuple[float, int]] = {}

    def check(
        self,
        *,
        job: str,
        spec: specs.JobSpec,
        queue: configuration.Queue,
        customer: configuration.Customer,
    ) -> errors.Refusal | None:
        """Return a refusal for a job that is not known yet, or None.

        A refused job must never run. A job that was submitted before and may be
        stored isn't refused, so the ledger is read to its end first. Nothing is
        refused while it can't be read.
        """
        if job in self._sent:
            return None
        refusal = self.find_refusal(
            job=job, spec=spec, queue=queue, customer=customer
        )
        if refusal is None:
            return None
        if not self._follower.sync(timeout_s=SYNC_TIMEOUT_S) or (
            job in self._follower.table.jobs or job in self._sent
        ):
            return None
        self._record_refusal(customer.name, refusal)
        return refusal

    def find_refusal(
        self,
        *,
        job: str,
        spec: specs.JobSpec,
        queue: configuration.Queue,
        customer: configuration.Customer,
    ) -> errors.Refusal | None:
        """Return a refusal for a job that was never sent, or None.

        The refusal is neither counted nor logged.
        """
        if not customer.weight or not self._follower.is_current:
            return None
        wait_ms = self._compute_wait_ms(customer)
        if wait_ms <= 0:
            return None
        return admission.check_backlog(
            job=job,
            spec=spec,
            queue=queue,
            weight=customer.weight,
            backlog=self._measure_backlog(customer, queue.priority),
            wait_ms=wait_ms,
        )

    def record_sending(self, job: str) -> None:
        """Record that a job is about to be sent to the ledger."""
        self._sent[job] = None
        if len(self._sent) > MAX_SENT:
            del self._sent[next(iter(self._sent))]

    def record_submitted(
        self,
        job: str,
        customer: configuration.Customer | None,
        refusal: errors.Refusal | None,
    ) -> None:
        """Record the outcome of a write, None for an accepted job."""
        if refusal is not None:
            if refusal.kind is not errors.Kind.OUTCOME_UNKNOWN:
                self._sent.pop(job, None)
        elif customer is not None and self._compute_wait_ms(customer) > 0:
            self._metrics.count("jobs.beyond_weight")

    def describe(self, customer: configuration.Customer) -> RateState:
        """Return what a customer sent beyond its weight."""
        beyond = self._follower.table.arrivals.list_beyond(
            customer.name, customer.weight, self._get_since_ms()
        )
        return RateState(len(beyond), self._refused[customer.name])

    def _compute_wait_ms(self, customer: configuration.Customer) -> float:
        return self._follower.table.arrivals.compute_wait_ms(
            customer.name, customer.weight, self._follower.clock.get_now_ms()
        )

    def _measure_backlog(
        self, customer: configuration.Customer, priority: int
    ) -> admission.Backlog:
        now = time.monotonic()
        key = (customer.name, priority)
        measured_at, backlog = self._backlogs.get(key, (None, None))
        if measured_at is not None and now - measured_at < MAX_BACKLOG_AGE_S:
            return backlog
        job_table = self._follower.table
        known = (
            job_table.jobs.get(job)
            for job in job_table.arrivals.list_beyond(
                customer.name, customer.weight, self._get_since_ms()
            )
        )
        # Jobs of another priority don't wait for these.
        backlog = admission.measure_backlog(
            (
                job
                for job in known
                if job is not None and job.submission.priority == priority
            ),
            self._follower.clock.get_now_ms(),
        )
        self._backlogs[key] = (now, backlog)
        return backlog

    def _get_since_ms(self) -> int:
        return self._follower.clock.get_now_ms() - arrivals.PERIOD_MS

    def _record_refusal(self, customer: str, refusal: errors.Refusal) -> None:
        """Count a refusal; log those of a customer once a second."""
        self._metrics.count(f"calls.refused.{refusal.kind.value}")
        self._refused[customer] += 1
        logged_at, logged = self._logged.get(customer, (float("-inf"), 0))
        now = time.monotonic()
        if now - logged_at < LOG_INTERVAL_S:
            return
        self._logged[customer] = (now, self._refused[customer])
        self._log.info(
            "rate_exceeded",
            customer=customer,
            refused=self._refused[customer] - logged,
            waiting=refusal.detail["waiting"],
            retry_after_s=refusal.detail["retry_after_s"],
        )
