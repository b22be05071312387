"""Refusal of jobs that wait behind too many of their own customer.

Load pattern: one customer goes on sending several times its usual number of
jobs while those that it sent before fill all starts that are left for it.
Callers that are refused at once can retry when their job can be served; those
that are accepted would only learn later that it is too late.

Only the jobs that a customer sent beyond its weight and that can still be in
time count. Late ones rank behind a new job, and no job of another customer is a
reason to refuse. A job within its customer's weight is never refused.
"""

from collections.abc import Iterable
import math
from typing import NamedTuple
import zlib

from chervilcove.core import errors
from chervilcove.dispatch import ranking
from chervilcove.jobs import configuration
from chervilcove.jobs import specs
from chervilcove.jobs import table

# True durations differ from declared ones by a factor of up to 2.5, measured
# from job to job. A job is refused only if it is late even with that error.
MAX_DURATION_ERROR = 2.5
# The rate at which jobs start is taken from those that were accepted while the
# backlog has waited. Fewer jobs or a shorter time tell too little of it.
MIN_WAITING = 5
MIN_WAITED_MS = 500
MIN_RETRY_AFTER_S = 1  # Retry-After has whole seconds
MAX_RETRY_AFTER_S = 60  # a new period of the rate begins within that time


class Backlog(NamedTuple):
    """Jobs that a customer sent beyond its weight.

    Attributes:
        waiting: Number of those that wait and can still be in time. Those that
            are late rank behind and delay no new job.
        waited_ms: How long the oldest of them has waited, milliseconds.
        started: Jobs beyond the weight that were accepted within twice that
            time and have started. If all wait for as long as the oldest, they
            started within `waited_ms`; if the backlog grows, in a longer time,
            so that the rate isn't underestimated.
    """

    waiting: int = 0
    waited_ms: int = 0
    started: int = 0


def measure_backlog(jobs: Iterable[table.Job], now_ms: int) -> Backlog:
    """Return the backlog of one customer.

    Args:
        jobs: Recent jobs of one priority that it sent beyond its weight, also
            those that have ended.
        now_ms: Unix milliseconds.
    """
    jobs = list(jobs)
    waiting = [
        job.submission.accepted_ms
        for job in jobs
        if job.get_state() is table.JobState.QUEUED
        and now_ms - job.submission.accepted_ms <= _compute_slack_ms(job)
    ]
    if not waiting:
        return Backlog()
    waited_ms = max(0, now_ms - min(waiting))
    started = sum(
        job.submission.accepted_ms >= now_ms - 2 * waited_ms
        and job.get_state() is not table.JobState.QUEUED
        for job in jobs
    )
    return Backlog(len(waiting), waited_ms, started)


def check_backlog(
    *,
    job: str,
    spec: specs.JobSpec,
    queue: configuration.Queue,
    weight: float,
    backlog: Backlog,
    wait_ms: float,
) -> errors.Refusal | None:
    """Return a refusal if a job can't be in time for certain, else None.

    Args:
        job: Id of the job; spreads the retries of callers.
        spec: Description of the job.
        queue: Queue of the job.
        weight: Jobs a second that its customer may send, 0 for any number.
        backlog: What the customer sent beyond that.
        wait_ms: Time until a job is within the weight, milliseconds.
    """
    if (
        not weight
        or wait_ms <= 0
        or backlog.waiting < MIN_WAITING
        or backlog.waited_ms < MIN_WAITED_MS
    ):
        return None
    if spec.is_scheduled or spec.is_lasting:
        return None
    started_per_s = backlog.started / (backlog.waited_ms / 1000)
    expected_ms = backlog.waiting / max(weight, started_per_s) * 1000
    slack_ms = _estimate_slack_ms(
        spec, queue.stretch, queue.target_ms, MAX_DURATION_ERROR
    )
    if expected_ms <= slack_ms:
        return None
    spread_ms = min(expected_ms, MAX_RETRY_AFTER_S * 1000 - wait_ms)
    retry_s = (wait_ms + _draw_part(job) * max(0.0, spread_ms)) / 1000
    return errors.refuse(
        errors.Kind.RATE_EXCEEDED,
        f"{backlog.waiting} jobs that the customer sent beyond"
        f" {weight:g} a second wait already",
        waiting=backlog.waiting,
        retry_after_s=max(
            MIN_RETRY_AFTER_S, min(math.ceil(retry_s), MAX_RETRY_AFTER_S)
        ),
    )


def _compute_slack_ms(job: table.Job) -> float:
    submission = job.submission
    return _estimate_slack_ms(
        submission.spec, submission.stretch, submission.target_ms, 1.0
    )


def _estimate_slack_ms(
    spec: specs.JobSpec, stretch: float, target_ms: int, error: float
) -> float:
    """Return how long a job can wait and still end in time.

    Args:
        spec: Description of the job.
        stretch: Factor of the completion objective.
        target_ms: Constant part of the completion objective, milliseconds.
        error: Ratio of true to declared durations.
    """
    durations_ms = [
        max(step.estimate_ms, ranking.MIN_ESTIMATE_MS) * error
        for step in spec.steps
    ]
    path_ms = ranking.compute_critical_path_ms(spec.steps, durations_ms)
    return (stretch - 1.0) * path_ms + target_ms


def _draw_part(job: str) -> float:
    """Return a number from 0 to 1 that differs between jobs."""
    return zlib.crc32(job.encode()) / 2**32
