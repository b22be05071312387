"""Compare the figures of the shipped policy with their targets."""

import statistics
from typing import Any
from typing import NamedTuple

SHIPPED_POLICY = "guarantee"
START_LIMIT_S = 5.9
DECISION_LIMIT_MS = 20.0
MIN_RATIO = 0.1


class Target(NamedTuple):
    """A bound on one measure of the report.

    Attributes:
        name: Key in the report.
        path: Keys that lead to the figure in a policy's report.
        bound: Upper bound, or lower bound if `is_lower_bound` is true.
        relative: Whether `bound` is a factor of the best baseline's figure.
        is_lower_bound: Whether the figure must be at least the bound.
        required_event: Kind of event that a scenario must have for the
            target to apply, or None if it always applies.
    """

    name: str
    path: tuple[str, ...]
    bound: float
    relative: bool = False
    is_lower_bound: bool = False
    required_event: str | None = None


class Verdict(NamedTuple):
    """Result of one target in one scenario.

    Attributes:
        scenario: Name of the scenario.
        target: Name of the target.
        figure: Figure of the shipped policy, None if not measured.
        baseline: Figure of the best baseline, None if the target is not
            relative or the figure was not measured.
        bound: Absolute bound of the figure, None if the target is relative
            and no baseline was measured.
        floor: Figure on an unloaded platform, where every job starts without
            waiting; None if the measure has no such limit.
        passed: Whether the target is met; None if it was not measured.
    """

    scenario: str
    target: str
    figure: float | None
    baseline: float | None
    bound: float | None
    floor: float | None
    passed: bool | None


TARGETS = (
    Target("reclaim_p99_s", ("reclaim", "p99_s"), START_LIMIT_S),
    Target("urgent_start_p99_s", ("urgent_start_s", "p99"), START_LIMIT_S),
    Target(
        "urgent_completion_p95",
        ("completion_s", "urgent", "p95"),
        0.4,
        relative=True,
    ),
    Target(
        "mean_completion", ("completion_s", "all", "mean"), 0.7, relative=True
    ),
    Target(
        "large_gang_wait_p99", ("large_gang_wait_s", "p99"), 0.5, relative=True
    ),
    Target("fragmentation", ("fragmentation",), 0.5, relative=True),
    Target(
        "work_done_of_allowed",
        ("work_done_ratio", "of_allowed"),
        0.97,
        is_lower_bound=True,
        required_event="data_centre_out",
    ),
    Target("preempted_work_ratio", ("preempted_work_ratio",), 0.02),
    Target("decision_p99_ms", ("decision_ms", "p99"), DECISION_LIMIT_MS),
)


def evaluate_targets(
    scenario: dict[str, Any], policies: dict[str, dict[str, Any]]
) -> list[Verdict]:
    """Return one verdict for each target that applies to `scenario`.

    The verdicts on violations and late reclaims come first, then those of
    `TARGETS` in order. Without the shipped policy there are none.
    """
    if SHIPPED_POLICY not in policies:
        return []
    name = scenario["name"]
    shipped = policies[SHIPPED_POLICY]
    baselines = [
        report
        for policy, report in policies.items()
        if policy != SHIPPED_POLICY
    ]
    broken = sum(shipped["violations"].values())
    reclaim = shipped["reclaim"]
    late = reclaim["asked"] - reclaim["honoured"]
    verdicts = [
        Verdict(name, "violations", broken, None, 0, None, broken == 0),
        Verdict(
            name,
            "reclaims_not_honoured",
            late,
            None,
            0,
            None,
            late == 0 if reclaim["asked"] else None,
        ),
    ]
    verdicts.extend(
        _evaluate_target(name, target, shipped, baselines)
        for target in TARGETS
        if target.required_event is None
        or _has_event(scenario, target.required_event)
    )
    return verdicts


def _has_event(scenario: dict[str, Any], kind: str) -> bool:
    return any(event["kind"] == kind for event in scenario["events"])


def _evaluate_target(
    scenario: str,
    target: Target,
    shipped: dict[str, Any],
    baselines: list[dict[str, Any]],
) -> Verdict:
    figure = _get_figure(shipped, target.path)
    baseline_figures = [
        _get_figure(report, target.path) for report in baselines
    ]
    baseline_figures = [
        value for value in baseline_figures if value is not None
    ]
    best_baseline = min(baseline_figures) if baseline_figures else None
    bound: float | None = target.bound
    if target.relative:
        bound = (
            None
            if best_baseline is None
            else round(target.bound * best_baseline, 4)
        )
    else:
        best_baseline = None
    passed = None
    if figure is not None and bound is not None:
        passed = figure >= bound if target.is_lower_bound else figure <= bound
    floor = None
    if target.path[0] == "completion_s":
        floor = _get_figure(
            shipped, ("unloaded_completion_s", *target.path[1:])
        )
    return Verdict(
        scenario, target.name, figure, best_baseline, bound, floor, passed
    )


def evaluate_overall(verdicts: list[Verdict]) -> list[Verdict]:
    """Return one verdict for each relative target over all scenarios.

    The figure is the geometric mean of the ratios to the best baseline.
    Ratios below `MIN_RATIO` count as `MIN_RATIO`, so that a single scenario
    cannot compensate for many. Scenarios with a baseline of 0 are skipped.
    """
    result = []
    for target in TARGETS:
        if not target.relative:
            continue
        ratios = [
            max(verdict.figure / verdict.baseline, MIN_RATIO)
            for verdict in verdicts
            if verdict.target == target.name
            and verdict.figure is not None
            and verdict.baseline
        ]
        if not ratios:
            continue
        mean = round(statistics.geometric_mean(ratios), 4)
        result.append(
            Verdict(
                f"{len(ratios)} scenarios, ratio",
                target.name,
                mean,
                1.0,
                target.bound,
                None,
                mean <= target.bound,
            )
        )
    return result


def evaluate_growth(
    reports: dict[int, dict[str, Any]],
) -> list[Verdict]:
    """Check that the decision time grows at most linearly with the workers.

    Args:
        reports: Reports of the shipped policy by number of workers.
    """
    verdicts = []
    sizes = sorted(reports)
    for small, large in zip(sizes, sizes[1:], strict=False):
        before = _get_figure(reports[small], ("decision_ms", "p50"))
        after = _get_figure(reports[large], ("decision_ms", "p50"))
        if not before or after is None:
            continue
        growth = round(after / before, 4)
        bound = round(large / small, 4)
        verdicts.append(
            Verdict(
                f"{small} to {large} workers",
                "decision_growth",
                growth,
                None,
                bound,
                None,
                growth <= bound,
            )
        )
    return verdicts


def _get_figure(report: dict[str, Any], path: tuple[str, ...]) -> Any:
    value: Any = report
    for key in path:
        value = value[key]
    return value
