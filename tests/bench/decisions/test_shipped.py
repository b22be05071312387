"""The shipped policy in scenarios that have broken a policy before."""

from chervilcove.bench.decisions import core
from chervilcove.bench.decisions import measures
from chervilcove.bench.decisions import scenarios
from chervilcove.scheduling import conf
from chervilcove.scheduling import policy
from tests.bench.decisions import examples


class TestStarvation:
    def test_large_gangs_that_have_not_run_go_before_those_that_have(self):
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
    def test_all_holders_get_their_shapes_in_time(self):
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
    def test_claims_behind_a_starved_gang_do_not_wait_for_the_next_event(self):
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
            customers=examples.two_customers(),
        )
        trial = core.run_trial(scenario, policy.GuaranteePolicy, 1)
        assert trial.ledger.asked == 1
        assert trial.ledger.late == 0
