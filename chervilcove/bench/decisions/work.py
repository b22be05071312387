"""Measure the work kept and the most work that the capacity allows."""

import bisect
from collections.abc import Iterable
from typing import Any

from chervilcove.bench.decisions import record as records
from chervilcove.bench.decisions import shapes
from chervilcove.scheduling import core

_NOT_PREEMPTED = frozenset(
    {
        core.Reason.COMPLETED,
        core.Reason.CANCELLED,
        core.Reason.WORKER_LOST,
        core.Reason.TASK_LOST,
        core.Reason.TASK_FAILED,
        "running",
    }
)
SETTLE_S = 600.0


def is_preempted(run: records.Run) -> bool:
    """Return whether the policy preempted a run that had started."""
    return run.started_at is not None and run.outcome not in _NOT_PREEMPTED


def sum_kept(runs: Iterable[records.Run]) -> float:
    """Return the accelerator-seconds of kept work."""
    return sum(run.kept_s * run.accelerators for run in runs)


def find_preempted_ratio(runs: list[records.Run]) -> float:
    """Return the loss from preemption as a share of kept and lost work.

    Only the loss from preemption counts as lost work here.
    """
    lost = sum(
        run.lost_s * run.accelerators for run in runs if is_preempted(run)
    )
    return _divide(lost, sum_kept(runs) + lost)


def find_lost_ratio(runs: list[records.Run]) -> float:
    """Return the loss from any cause as a share of kept plus lost work."""
    lost = sum(run.lost_s * run.accelerators for run in runs)
    return _divide(lost, sum_kept(runs) + lost)


def measure_kept(record: records.Record, begin: float, end: float) -> float:
    """Return the accelerator-seconds of work kept from `begin` to `end`."""
    total = 0.0
    for run in record.runs:
        if run.started_at is None:
            continue
        since = max(run.started_at, begin)
        until = min(run.started_at + run.kept_s, end)
        total += max(until - since, 0.0) * run.accelerators
    return total


def measure_capacity(record: records.Record, begin: float, end: float) -> float:
    """Return the accelerator-seconds in service from `begin` to `end`."""
    total = 0.0
    for since, until, count in _list_capacities(record, end):
        total += max(min(until, end) - max(since, begin), 0.0) * count
    return total


def summarise_outages(
    scenario: dict[str, Any],
    pairs: list[tuple[records.Record, records.Record]],
) -> dict[str, Any]:
    """Compare runs with outages with their twins without outages.

    Returns:
        `ratio`, the kept work relative to the twin's, in the window from the
        first outage to `SETTLE_S` after the last return; and `of_allowed`,
        the kept work relative to the most that the remaining capacity
        allows. Both are None if the scenario has no outage.
    """
    window = find_outage_window(scenario)
    if window is None or not pairs:
        return {"ratio": None, "of_allowed": None}
    begin, end = window
    # Work done before the window but lost within it counts as a loss of the
    # policy.
    done = sum(
        measure_kept(record, 0.0, end) - measure_kept(twin, 0.0, begin)
        for record, twin in pairs
    )
    whole = sum(measure_kept(twin, begin, end) for _, twin in pairs)
    allowed = sum(
        _measure_allowed(record, twin, begin, end) for record, twin in pairs
    )
    return {
        "ratio": round(_divide(done, whole), 4),
        "of_allowed": round(_divide(done, allowed), 4),
    }


def find_outage_window(scenario: dict[str, Any]) -> tuple[float, float] | None:
    """Return the window in which outages are measured, or None.

    It lasts from the first outage event to `SETTLE_S` after the last one, at
    most until the horizon, in seconds.
    """
    times = [
        event["at_s"]
        for event in scenario["events"]
        if event["kind"].startswith(("data_centre_", "rack_"))
    ]
    if not times:
        return None
    return min(times), min(max(times) + SETTLE_S, scenario["horizon_s"])


def _measure_allowed(
    record: records.Record,
    twin: records.Record,
    begin: float,
    end: float,
) -> float:
    """Return the most work that the remaining capacity allows.

    Let A(t) be the work that the twin has kept by time t and C(t) the
    capacity in service up to t. Work cannot be done earlier than in the twin,
    and after any time s it cannot exceed the capacity. The result is
    therefore the minimum over s of A(s) + C(end) - C(s).
    """
    step = max((end - begin) / 240.0, 1.0)
    points = [begin]
    while points[-1] + step < end:
        points.append(points[-1] + step)
    points.append(end)
    return min(
        measure_kept(twin, begin, point) + measure_capacity(record, point, end)
        for point in points
    )


def _list_capacities(
    record: records.Record, end: float
) -> list[tuple[float, float, int]]:
    """Return (since, until, usable accelerators in service) intervals."""
    if record.capacities is None:
        record.capacities = [
            (pool_state.at, _count_in_service(pool_state))
            for pool_state in record.pool_states
        ]
    result = []
    for index, (since, count) in enumerate(record.capacities):
        until = end
        if index + 1 < len(record.capacities):
            until = record.capacities[index + 1][0]
        result.append((since, until, count))
    return result


def _count_in_service(pool_state: records.PoolState) -> int:
    free_workers = shapes.list_empty_workers(
        pool_state.configuration, pool_state.lost | pool_state.failing
    )
    return sum(free_worker.mask.bit_count() for free_worker in free_workers)


def list_kept_curve(record: records.Record, points: list[float]) -> list[float]:
    """Return the accelerator-seconds of work kept by each time in `points`."""
    rate_changes: list[tuple[float, int]] = []
    for run in record.runs:
        if run.started_at is not None and run.accelerators:
            rate_changes.append((run.started_at, run.accelerators))
            kept_until = run.started_at + run.kept_s
            rate_changes.append((kept_until, -run.accelerators))
    rate_changes.sort()
    times = [at for at, _ in rate_changes]
    curve = []
    rate = 0
    total = 0.0
    index = 0
    at = 0.0
    for point in points:
        last = bisect.bisect_right(times, point)
        while index < last:
            total += rate * (times[index] - at)
            at = times[index]
            rate += rate_changes[index][1]
            index += 1
        total += rate * (point - at)
        at = point
        curve.append(total)
    return curve


def _divide(part: float, whole: float) -> float:
    return part / whole if whole else 0.0
