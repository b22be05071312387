"""Speeds of workers, learned from how long tasks take beside their siblings.

The load that this answers: a pool in which some workers take half or twice the
time of the others, and a worker that turns slow for seconds. Declared durations
are off by large factors from job to job, but the tasks of one step take about
equally long. A worker is therefore judged by its tasks against their siblings
on other workers, by their present rate of progress while they run and by their
duration once they have ended.

One long task in thirty must not count as a slow worker, so the median over the
newest tasks of a worker decides. What its running tasks show goes first: they
tell within two or three reports that it has turned slow, or recovered.

All tasks of a step are compared again whenever one of them is reported: the
fast workers end theirs first, before there is anything to compare with. The
durations of siblings are corrected by the time factors of their workers. A pool
whose workers all turn slow at once would keep factors above 1.0 after it has
recovered, so all factors are divided by that of the median worker.
"""

import bisect
import collections
from collections.abc import Iterable
from collections.abc import Sequence
import enum
import math
import statistics
from typing import NamedTuple

MIN_SIBLINGS = 3  # tasks on other workers that a comparison needs
MIN_TASKS = 2  # tasks of a worker that a time factor needs
MAX_TASKS = 7  # newest tasks of a worker that count
# Age at which what a task showed is forgotten, seconds.
MAX_AGE_S = 90.0
# A worker is fast or slow if its tasks take so much less or more time than
# those of the median worker. Smaller differences are within the scatter of the
# tasks, and not worth another placement.
FAST_FACTOR = 0.72
SLOW_FACTOR = 1.45
# Above it a task uses up the time within which its job is in time, which is
# three times the critical path on most queues. Such a worker comes last for
# all work.
DEGRADED_FACTOR = 2.5
# One task counts at most this much, either way.
MAX_RATIO = 4.0
MAX_STEPS = 2_000  # steps whose tasks are kept; bounds the state
# Age up to which the rate of a running task is its present one, seconds. A
# worker reports each second.
LIVE_AGE_S = 3.0
MIN_WORKERS = 4  # workers with a known factor that a median worker needs
# Steps are compared again at this interval, and so many at a time at most. The
# comparison of a step takes 40 us, and it is part of a scheduling round.
COMPARE_INTERVAL_S = 0.2
MAX_COMPARED_STEPS = 50
# Time after which the factors of all workers are computed again, as samples
# have grown old. It takes 5 ms with 1,000 workers.
REFRESH_INTERVAL_S = 1.0

StepKey = tuple[str, int]


class SpeedClass(enum.IntEnum):
    """Speed of a worker against the median worker."""

    FAST = 0
    USUAL = 1
    SLOW = 2
    DEGRADED = 3  # too slow for most jobs to end in time


class _Sample(NamedTuple):
    """What one task showed about its worker.

    Attributes:
        ratio: Its duration over that of its siblings.
        at_s: Monotonic seconds.
        is_live: Whether the task was still running.
    """

    ratio: float
    at_s: float
    is_live: bool


class _Sibling(NamedTuple):
    """Duration of one task of a step.

    Attributes:
        worker: Where it runs or ran.
        duration_s: Its duration in seconds, infinity while it stands still.
        at_s: Monotonic seconds.
        is_live: Whether the task was still running.
    """

    worker: str
    duration_s: float
    at_s: float
    is_live: bool


class WorkerSpeeds:
    """Learn the time factor of each worker of one pool of machines.

    A time factor is the duration of tasks on a worker over that on the median
    worker.
    """

    def __init__(self):
        # By step and task, oldest first.
        self._durations: dict[StepKey, dict[str, _Sibling]] = {}
        # Number of tasks that ended since the last comparison, by step with
        # reports since then, oldest first.
        self._changed: dict[StepKey, int] = {}
        # Workers with samples since their factor was computed.
        self._sampled: set[str] = set()
        # Duration on the median worker in seconds, None if unknown.
        self._medians: dict[StepKey, float | None] = {}
        # By worker and task, oldest first.
        self._samples: dict[str, dict[str, _Sample]] = {}
        # By worker; over the median worker once divided by `_median_factor`.
        self._factors: dict[str, float] = {}
        self._median_factor = 1.0
        # Times of the newest updates by a record and by a reader.
        self._recorded_s = -math.inf
        self._read_s = -math.inf
        self._refreshed_s = -math.inf

    def record(
        self,
        *,
        worker: str,
        step: StepKey,
        task: str,
        duration_s: float,
        now_s: float,
        is_live: bool,
    ) -> None:
        """Record how long a task takes on a worker.

        Args:
            worker: The machine of the worker, or its id.
            step: Job and number of the step.
            task: Name of the task.
            duration_s: Its duration, or that at its present rate; infinity if
                it stands still, which tells nothing about its siblings.
            now_s: Monotonic seconds.
            is_live: Whether it still runs.
        """
        if not duration_s > 0.0:
            return
        siblings = self._durations.setdefault(step, {})
        siblings.pop(task, None)
        siblings[task] = _Sibling(worker, duration_s, now_s, is_live)
        self._changed[step] = self._changed.get(step, 0) + (not is_live)
        if self._changed[step] >= MAX_TASKS:
            self._compare(step)  # before the oldest tasks are dropped
        if len(siblings) > 2 * MAX_TASKS:
            del siblings[next(iter(siblings))]
        if len(self._durations) > MAX_STEPS:
            self._forget_step(next(iter(self._durations)))
        if now_s - self._recorded_s >= COMPARE_INTERVAL_S:
            self._recorded_s = now_s
            self._update(now_s)

    def get_step_duration_s(self, step: StepKey) -> float | None:
        """Return how long a task of a step takes on the median worker.

        Returns:
            None while too few of its tasks have shown it.
        """
        return self._medians.get(step)

    def get_factor(self, worker: str, now_s: float) -> float:
        """Return the time factor of a worker, 1.0 while it is unknown."""
        if now_s - self._read_s >= COMPARE_INTERVAL_S:
            self._read_s = now_s
            self._update(now_s)
        factor = self._factors.get(worker)
        return 1.0 if factor is None else factor / self._median_factor

    def get_class(self, worker: str, now_s: float) -> SpeedClass:
        """Return how fast a worker is."""
        factor = self.get_factor(worker, now_s)
        if factor < FAST_FACTOR:
            return SpeedClass.FAST
        if factor > DEGRADED_FACTOR:
            return SpeedClass.DEGRADED
        if factor > SLOW_FACTOR:
            return SpeedClass.SLOW
        return SpeedClass.USUAL

    def forget_job(self, job: str) -> None:
        """Discard the steps of a job that has ended."""
        for step in [one for one in self._durations if one[0] == job]:
            if step in self._changed:
                self._compare(step)
            self._forget_step(step)

    def _forget_step(self, step: StepKey) -> None:
        del self._durations[step]
        self._changed.pop(step, None)
        self._medians.pop(step, None)

    def _update(self, now_s: float) -> None:
        """Compare the steps that have changed, and let old samples lapse."""
        for step in list(self._changed)[:MAX_COMPARED_STEPS]:
            self._compare(step)
        if now_s - self._refreshed_s >= REFRESH_INTERVAL_S:
            self._refreshed_s = now_s
            self._sampled = set(self._samples)
        if not self._sampled:
            return
        for worker in self._sampled:
            factor = _compute_factor(self._samples[worker].values(), now_s)
            if factor is None:
                self._factors.pop(worker, None)
            else:
                self._factors[worker] = factor
            newest_s = max(one.at_s for one in self._samples[worker].values())
            if now_s - newest_s >= MAX_AGE_S:
                del self._samples[worker]
        self._sampled = set()
        self._median_factor = (
            statistics.median(self._factors.values())
            if len(self._factors) >= MIN_WORKERS
            else 1.0
        )

    def _compare(self, step: StepKey) -> None:
        """Compare each task of a step with those on other workers."""
        del self._changed[step]
        siblings = self._durations[step]
        usual_s = {
            task: one.duration_s
            * self._median_factor
            / self._factors.get(one.worker, self._median_factor)
            for task, one in siblings.items()
            if one.duration_s < math.inf
        }
        ordered = sorted(usual_s.values())
        self._medians[step] = (
            _get_median(ordered) if len(ordered) >= MIN_SIBLINGS else None
        )
        if len(ordered) < MIN_SIBLINGS:
            return
        own: dict[str, list[float]] = collections.defaultdict(list)
        for task, duration_s in usual_s.items():
            own[siblings[task].worker].append(duration_s)
        medians = {}
        for task, one in siblings.items():
            worker = one.worker
            if worker not in medians:
                others = ordered.copy()
                for duration_s in own.get(worker, ()):
                    del others[bisect.bisect_left(others, duration_s)]
                medians[worker] = (
                    _get_median(others) if len(others) >= MIN_SIBLINGS else None
                )
            if medians[worker] is not None:
                ratio = one.duration_s / medians[worker]
                self._add_sample(task, one, ratio)
                self._sampled.add(worker)

    def _add_sample(self, task: str, sibling: _Sibling, ratio: float) -> None:
        """Add or replace the sample of a task; the newest ones are kept."""
        ratio = max(1.0 / MAX_RATIO, min(MAX_RATIO, ratio))
        sample = _Sample(ratio, sibling.at_s, sibling.is_live)
        samples = self._samples.setdefault(sibling.worker, {})
        before = samples.get(task)
        if before is not None and before.at_s == sample.at_s:
            samples[task] = sample
            return
        samples.pop(task, None)
        if len(samples) >= MAX_TASKS:
            oldest = next(iter(samples))
            if samples[oldest].at_s > sample.at_s:
                return
            del samples[oldest]
        samples[task] = sample


def _get_median(ordered: Sequence[float]) -> float:
    middle = len(ordered) // 2
    if len(ordered) % 2:
        return ordered[middle]
    return (ordered[middle - 1] + ordered[middle]) / 2


def _compute_factor(samples: Iterable[_Sample], now_s: float) -> float | None:
    """Return the factor that tasks of a worker show, None for too few."""
    recent = [one for one in samples if now_s - one.at_s < MAX_AGE_S]
    live = [
        one.ratio
        for one in recent
        if one.is_live and now_s - one.at_s < LIVE_AGE_S
    ]
    ratios = live if len(live) > MIN_TASKS else [one.ratio for one in recent]
    if len(ratios) < MIN_TASKS:
        return None
    if len(ratios) == MIN_TASKS:
        # Of two, the one that says less: the other may be a long task.
        return min(ratios, key=lambda ratio: abs(ratio - 1.0))
    return statistics.median(ratios)
