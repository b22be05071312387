"""Compute the measures of the report from the records of one policy."""

from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

import numpy

from chervilcove.bench.decisions import audit
from chervilcove.bench.decisions import reclaims
from chervilcove.bench.decisions import record as records
from chervilcove.bench.decisions import shapes
from chervilcove.bench.decisions import work
from chervilcove.scheduling import core

_DIGITS = 4
_URGENCIES = ("urgent", "normal", "batch", None)
_COMPLETION_KEYS = ("mean", "p50", "p95", "p99")
_EXCLUDED_OUTCOMES = frozenset({core.Reason.NEVER_FITS, core.Reason.TASK_LOST})


class Trial(NamedTuple):
    """One run of a scenario with one policy.

    Attributes:
        seed: Seed of the workload.
        record: Observations of the run.
        reclaim_audit: Outcomes of the requests for guaranteed shapes.
        twin: The same run without outages, or None if the scenario has none.
    """

    seed: int
    record: records.Record
    reclaim_audit: reclaims.ReclaimAudit
    twin: records.Record | None


def summarise(scenario: dict[str, Any], trials: list[Trial]) -> dict[str, Any]:
    """Return the measures of one policy over all its trials."""
    runs = [run for trial in trials for run in trial.record.runs]
    decisions = [
        1000 * value for trial in trials for value in trial.record.decision_s
    ]
    violations = _sum_counts(
        audit.count_violations(trial.record, trial.reclaim_audit)
        for trial in trials
    )
    start_delays = [
        value
        for trial in trials
        for value in list_start_delays(trial, "urgent")
    ]
    return {
        "jobs": _sum_counts(_count_jobs(trial) for trial in trials),
        "completion_s": _summarise_completion(trials),
        "unloaded_completion_s": _summarise_unloaded(scenario, trials),
        "large_gang_wait_s": _compute_statistics(
            _list_large_waits(scenario, trials), ("p50", "p99")
        ),
        "fragmentation": _round(_average_samples(scenario, trials, "unusable")),
        "fragmentation_adjacency": _round(
            _average_samples(scenario, trials, "scattered")
        ),
        "work_done_ratio": work.summarise_outages(
            scenario,
            [(trial.record, trial.twin) for trial in trials if trial.twin],
        ),
        "work_done_accelerator_s": _round(work.sum_kept(runs)),
        "utilisation": _round(_measure_utilisation(scenario, trials)),
        "reclaim": _summarise_reclaims(trials),
        "urgent_start_s": _compute_statistics(
            start_delays, ("p50", "p99", "max")
        ),
        "preempted_work_ratio": _round(work.find_preempted_ratio(runs)),
        "lost_work_ratio": _round(work.find_lost_ratio(runs)),
        "preemptions": sum(work.is_preempted(run) for run in runs),
        "decision_ms": _compute_statistics(decisions, ("p50", "p99", "max")),
        "violations": violations,
    }


def list_completion_times(
    trial: Trial, urgency: str | None = None
) -> list[float]:
    """Return the seconds from submission to completion of each job.

    Jobs that the scenario cancels, that can never run, or that are not
    idempotent and were lost with their worker are excluded. Every other job
    that did not complete counts with the time until the end limit, so that a
    policy cannot improve its figures by dropping work.
    """
    values = []
    for job in _list_measured(trial.record, urgency):
        job_end = trial.record.job_ends.get(job.spec["id"])
        if job_end is not None and job_end.outcome == core.Reason.COMPLETED:
            values.append(job_end.at - job.submitted_at)
        else:
            values.append(trial.record.end_limit - job.submitted_at)
    return values


def list_start_delays(trial: Trial, urgency: str) -> list[float]:
    """Return the seconds from submission to the first start of each job.

    A job that never started counts with the time until the end limit.
    """
    first_starts = _find_first_starts(trial.record)
    return [
        first_starts.get(job.spec["id"], trial.record.end_limit)
        - job.submitted_at
        for job in _list_measured(trial.record, urgency)
    ]


def _list_measured(record: records.Record, urgency: str | None) -> list:
    return [
        job
        for job in record.jobs.values()
        if urgency in (None, job.spec["urgency"])
        and job.cancelled_at is None
        and not job.faulty
        and not _is_excluded(record, job.spec["id"])
        and job.submitted_at >= record.measure_from
    ]


def _is_excluded(record: records.Record, job: str) -> bool:
    job_end = record.job_ends.get(job)
    return job_end is not None and job_end.outcome in _EXCLUDED_OUTCOMES


def _find_first_starts(
    record: records.Record, skip_failed: bool = False
) -> dict[str, float]:
    """Return the time of the first start of each job.

    Runs that ended with a failed task are ignored if `skip_failed` is true.
    """
    first_starts: dict[str, float] = {}
    for run in record.runs:
        if run.started_at is None:
            continue
        if skip_failed and run.outcome == core.Reason.TASK_FAILED:
            continue
        known = first_starts.get(run.job, run.started_at)
        first_starts[run.job] = min(known, run.started_at)
    return first_starts


def _summarise_unloaded(
    scenario: dict[str, Any], trials: list[Trial]
) -> dict[str, Any]:
    """Return statistics of completion times on an unloaded platform.

    There, every job starts as soon as the fixed delays of agreement and
    start allow.
    """
    platform = scenario["platform"]
    delay_s = platform["agreement_s"] + platform["start_s"]
    result = {}
    for urgency in _URGENCIES:
        values = [
            job.run_s + delay_s
            for trial in trials
            for job in _list_measured(trial.record, urgency)
        ]
        result[urgency or "all"] = _compute_statistics(values, _COMPLETION_KEYS)
    return result


def _summarise_completion(trials: list[Trial]) -> dict[str, Any]:
    result = {}
    for urgency in _URGENCIES:
        values = [
            value
            for trial in trials
            for value in list_completion_times(trial, urgency)
        ]
        result[urgency or "all"] = _compute_statistics(values, _COMPLETION_KEYS)
    return result


def _list_large_waits(
    scenario: dict[str, Any], trials: list[Trial]
) -> list[float]:
    values = []
    for trial in trials:
        first_starts = _find_first_starts(trial.record, skip_failed=True)
        for job in _list_measured(trial.record, None):
            size = shapes.count_accelerators(job.spec)
            if size < scenario["large_accelerators"]:
                continue
            start = first_starts.get(job.spec["id"], trial.record.end_limit)
            values.append(start - job.submitted_at)
    return values


def list_sample_shares(
    scenario: dict[str, Any], record: records.Record, field: str
) -> list[tuple[float, float, float]]:
    """Return (begin, end, share of free accelerators) for each sample.

    `field` is the field of `Sample` whose share is computed. Times are in
    seconds; intervals outside the measured period are cut off.
    """
    begin = scenario["measure_from_s"]
    end = scenario["horizon_s"]
    result = []
    samples = record.samples
    for index, sample in enumerate(samples):
        until = end
        if index + 1 < len(samples):
            until = min(samples[index + 1].at, end)
        since = max(sample.at, begin)
        if until <= since:
            continue
        share = getattr(sample, field) / sample.free if sample.free else 0.0
        result.append((since, until, share))
    return result


def _average_samples(
    scenario: dict[str, Any], trials: list[Trial], field: str
) -> float:
    span = scenario["horizon_s"] - scenario["measure_from_s"]
    total = sum(
        (until - since) * share
        for trial in trials
        for since, until, share in list_sample_shares(
            scenario, trial.record, field
        )
    )
    return total / (span * len(trials))


def _measure_utilisation(
    scenario: dict[str, Any], trials: list[Trial]
) -> float:
    """Return the kept work as a share of the capacity in service."""
    done = 0.0
    capacity = 0.0
    begin, end = scenario["measure_from_s"], scenario["horizon_s"]
    for trial in trials:
        done += work.measure_kept(trial.record, begin, end)
        capacity += work.measure_capacity(trial.record, begin, end)
    return done / capacity if capacity else 0.0


def _count_jobs(trial: Trial) -> dict[str, int]:
    """Count the jobs by outcome."""
    counts = dict.fromkeys(
        ("submitted", "completed", "cancelled", "refused", "unfinished"), 0
    )
    counts["lost"] = 0
    for name, job in trial.record.jobs.items():
        counts["submitted"] += 1
        job_end = trial.record.job_ends.get(name)
        if job_end is None:
            counts["unfinished"] += 1
        elif job_end.outcome in ("completed", "cancelled"):
            counts[job_end.outcome] += 1
        elif job.faulty or job_end.outcome == core.Reason.NEVER_FITS:
            counts["refused"] += 1
        else:
            counts["lost"] += 1
    return counts


def _summarise_reclaims(trials: list[Trial]) -> dict[str, Any]:
    waits = [value for trial in trials for value in trial.reclaim_audit.waits_s]
    late = sum(trial.reclaim_audit.late for trial in trials)
    return {
        "asked": len(waits),
        "honoured": len(waits) - late,
        "p99_s": _compute_statistics(waits, ("p99",))["p99"],
        "not_judged_s": _round(
            sum(t.reclaim_audit.infeasible_s for t in trials)
        ),
    }


def _sum_counts(counts: Iterable[dict[str, int]]) -> dict[str, int]:
    total: dict[str, int] = {}
    for count in counts:
        for key, value in count.items():
            total[key] = total.get(key, 0) + value
    return total


def _compute_statistics(
    values: list[float], keys: tuple[str, ...]
) -> dict[str, float | None]:
    """Return the requested statistics of `values`.

    Args:
        values: Sample, possibly empty.
        keys: "mean", "max" or percentiles such as "p95". Without values,
            each statistic is None.
    """
    if not values:
        return {"n": 0, **dict.fromkeys(keys)}
    result: dict[str, float | None] = {"n": len(values)}
    for key in keys:
        if key == "mean":
            figure = float(numpy.mean(values))
        elif key == "max":
            figure = max(values)
        else:
            figure = float(numpy.percentile(values, float(key[1:])))
        result[key] = _round(figure)
    return result


def _round(value: float) -> float:
    return round(value, _DIGITS)
