from chervilcove.bench.decisions import targets


def build_report(**changes):
    value = {
        "violations": {"partial_gang": 0},
        "reclaim": {"asked": 4, "honoured": 4, "p99_s": 3.0},
        "urgent_start_s": {"p99": 5.9},
        "completion_s": {"urgent": {"p95": 40.0}, "all": {"mean": 71.0}},
        "unloaded_completion_s": {
            "urgent": {"p95": 39.0},
            "all": {"mean": 50.0},
        },
        "large_gang_wait_s": {"p99": None},
        "fragmentation": 0.2,
        "work_done_ratio": {"of_allowed": 0.97},
        "preempted_work_ratio": 0.021,
        "decision_ms": {"p50": 2.0, "p99": 20.0},
    }
    value.update(changes)
    return value


BASELINES = {
    "a": build_report(
        completion_s={"urgent": {"p95": 100.0}, "all": {"mean": 100.0}},
        fragmentation=0.9,
    ),
    "b": build_report(
        completion_s={"urgent": {"p95": 300.0}, "all": {"mean": 120.0}},
        fragmentation=0.5,
    ),
}


def evaluate_targets(shipped, events=None):
    verdicts = targets.evaluate_targets(
        {"name": "x", "events": events or [{"kind": "data_centre_out"}]},
        {**BASELINES, targets.SHIPPED_POLICY: shipped},
    )
    return {verdict.target: verdict for verdict in verdicts}


class TestTargets:
    def test_each_target_is_relative_to_the_best_baseline(self):
        verdicts = evaluate_targets(build_report())
        passed = {name: verdict.passed for name, verdict in verdicts.items()}
        assert passed == {
            "violations": True,
            "reclaims_not_honoured": True,
            "reclaim_p99_s": True,
            "urgent_start_p99_s": True,
            "urgent_completion_p95": True,
            "mean_completion": False,
            "large_gang_wait_p99": None,
            "fragmentation": True,
            "work_done_of_allowed": True,
            "preempted_work_ratio": False,
            "decision_p99_ms": True,
        }
        assert verdicts["mean_completion"].bound == 70
        assert verdicts["mean_completion"].floor == 50

    def test_single_violation_or_late_reclaim_misses_target(self):
        verdicts = evaluate_targets(
            build_report(
                violations={"partial_gang": 1},
                reclaim={"asked": 4, "honoured": 3, "p99_s": 7.0},
            )
        )
        assert verdicts["violations"].passed is False
        assert verdicts["reclaims_not_honoured"].passed is False
        assert verdicts["reclaim_p99_s"].passed is False

    def test_work_done_target_requires_a_data_centre_outage(self):
        verdicts = evaluate_targets(
            build_report(), events=[{"kind": "rack_lost"}]
        )
        assert "work_done_of_allowed" not in verdicts
        verdicts = evaluate_targets(
            build_report(work_done_ratio={"of_allowed": 0.969})
        )
        assert verdicts["work_done_of_allowed"].passed is False

    def test_overall_figure_is_geometric_mean_of_ratios(self):
        first = evaluate_targets(build_report(fragmentation=0.1)).values()
        second = evaluate_targets(build_report(fragmentation=0.4)).values()
        overall = targets.evaluate_overall([*first, *second])
        found = {verdict.target: verdict for verdict in overall}
        # The ratios are 0.2 and 0.8.
        assert found["fragmentation"].figure == 0.4
        assert found["fragmentation"].passed

    def test_single_scenario_cannot_compensate_for_others(self):
        first = evaluate_targets(build_report(fragmentation=0.0)).values()
        second = evaluate_targets(build_report(fragmentation=0.5)).values()
        overall = targets.evaluate_overall([*first, *second])
        found = {verdict.target: verdict for verdict in overall}
        # The ratios are 0, which counts as MIN_RATIO of 0.1, and 1.
        assert found["fragmentation"].figure == 0.3162

    def test_decision_time_may_grow_linearly_with_workers(self):
        sizes = {
            24: build_report(decision_ms={"p50": 1.0}),
            240: build_report(decision_ms={"p50": 10.0}),
            1000: build_report(decision_ms={"p50": 50.0}),
        }
        verdicts = targets.evaluate_growth(sizes)
        assert [verdict.passed for verdict in verdicts] == [True, False]
