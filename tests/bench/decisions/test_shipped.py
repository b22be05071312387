"""Tests of the shipped policy in scenarios that broke earlier policies."""

from chervilcove.bench.decisions import core
from chervilcove.bench.decisions import measures
from chervilcove.bench.decisions import scenarios
from chervilcove.scheduling import conf
from chervilcove.scheduling import policy
from tests.bench.decisions import examples


class TestStarvation:
    def test_large_gangs_that_never_ran_start_before_those_that_did(self):
        events = [
            examples.submit(
                index,
                f"gang-{index}",
                tasks=2,
                adjacent="rack",
                run_s=50_000,
                declared_run_s=50_000,
            )
            for index in range(4)
        ]
        scenario = examples.build_scenario(events, drain_s=100_000)
        trial = core.run_trial(scenario, policy.GuaranteePolicy, 1)
        first = {}
        for run in trial.record.runs:
            first.setdefault(run.job, run.placed_at)
        assert len(first) == 4
        turn_s = (
            conf.COMPLETION_SETTINGS.starve_limit_s
            + conf.COMPLETION_SETTINGS.least_run_s
        )
        assert max(first.values()) <= 4 * turn_s


class TestReclaimStorm:
    def test_all_reclaims_are_honoured(self):
        scenario = scenarios.load_scenario(
            "bench/scenarios/nile-reclaim-storm.jsonc"
        )
        trial = core.run_trial(scenario, policy.GuaranteePolicy, 1)
        report = measures.summarise(scenario, [trial])
        assert report["reclaim"]["asked"] >= 20
        assert report["reclaim"]["honoured"] == report["reclaim"]["asked"]
        assert sum(report["violations"].values()) == 0
        assert report["jobs"]["unfinished"] == 0


class TestReturnOfDataCentre:
    def test_claims_behind_a_starved_gang_start_without_another_event(self):
        scenario = examples.build_scenario(
            [
                {
                    "at_s": 0,
                    "kind": "data_centre_out",
                    "data_centre": "Giza",
                    "notice_s": 5,
                },
                examples.submit(
                    10, "f", customer="families", tasks=2, adjacent="rack"
                ),
                examples.submit(20, "a", idempotent=False),
                {
                    "at_s": 1000,
                    "kind": "data_centre_back",
                    "data_centre": "Giza",
                },
            ],
            horizon_s=1500,
            customers=examples.build_two_customers(),
        )
        trial = core.run_trial(scenario, policy.GuaranteePolicy, 1)
        assert trial.reclaim_audit.request_count == 1
        assert trial.reclaim_audit.late == 0
