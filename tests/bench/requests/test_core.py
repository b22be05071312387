"""Shortened runs of the request benchmarks, and their verdict."""

import json

import pytest

from chervilcove.bench.requests import core
from chervilcove.bench.requests import cost
from chervilcove.bench.requests import fleets
from chervilcove.bench.requests import goodput
from chervilcove.bench.requests import leaving


@pytest.fixture
def short_durations(monkeypatch):
    for module, name, value in (
        (cost, "ROUNDS", 3),
        (cost, "WARM_UP_ROUNDS", 0),
        (cost, "IDLE_S", 0.1),
        (fleets, "SETTLE_S", 0.05),
        (goodput, "WORK_S", 0.02),
        (goodput, "WARM_UP_S", 0.0),
        (goodput, "WINDOW_S", 0.1),
        (leaving, "TRIAL_COUNT", 1),
        (leaving, "BEFORE_S", 0.1),
        (leaving, "AFTER_S", 0.2),
    ):
        monkeypatch.setattr(module, name, value)


class TestRun:
    def test_run_writes_the_report_it_returns(self, short_durations, tmp_path):
        path = tmp_path / "reports" / "requests.json"
        measured = core.run(seed=1, report=str(path))
        assert json.loads(path.read_text()) == measured
        assert measured["cost"]["failed"] == 0
        assert measured["cost"]["claimed"]["p50_ms"] > 0
        assert sorted(measured["goodput"]["loads"]) == ["10x", "1x", "2x"]
        for load in measured["goodput"]["loads"].values():
            assert load["refused_as_not_run_but_ran"] == 0
        assert len(measured["leaving"]["last_new_work_s"]) == 1

    def test_one_missed_target_fails_the_verdict(self):
        met = {"goodput": {"met": True}, "leaving": {"met": True}}
        assert core.has_met_targets(met)
        assert not core.has_met_targets({**met, "leaving": {"met": False}})
