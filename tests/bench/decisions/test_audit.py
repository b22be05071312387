"""Policies that violate each condition on purpose; the audit must count it."""

import pytest

from chervilcove.bench.decisions import audit
from chervilcove.bench.decisions import core
from chervilcove.scheduling import baselines
from chervilcove.scheduling import core as scheduling
from tests.bench.decisions import examples


class _ChangesPlacements(baselines.FifoFirstFit):
    """Changes each placement of a valid policy."""

    def decide(self, *, pool, queue, now):
        plan = super().decide(pool=pool, queue=queue, now=now)
        placements = tuple(
            self.change_placement(placement, pool)
            for placement in plan.placements
        )
        return plan._replace(placements=placements)

    def change_placement(self, placement, pool):
        raise NotImplementedError


class DropsTaskPolicy(_ChangesPlacements):
    def change_placement(self, placement, pool):
        return placement._replace(places=placement.places[:-1])


class DoubleBookingPolicy(_ChangesPlacements):
    def change_placement(self, placement, pool):
        first = scheduling.TaskPlace("giza-r1-w1", 0xFF)
        return placement._replace(places=(first,) * len(placement.places))


class SpreadGangPolicy(_ChangesPlacements):
    def change_placement(self, placement, pool):
        places = (
            scheduling.TaskPlace("giza-r1-w1", 0x0F),
            scheduling.TaskPlace("giza-r1-w2", 0x0F),
        )
        return placement._replace(places=places)


class OutOfServiceStartPolicy(scheduling.Policy):
    def decide(self, *, pool, queue, now):
        return scheduling.Plan(
            placements=tuple(
                scheduling.Placement(
                    job.spec["id"],
                    job.attempts + 1,
                    "",
                    (scheduling.TaskPlace("giza-r1-w1", 0xFF),),
                )
                for job in queue
            )
        )


class OverCommitPolicy(OutOfServiceStartPolicy):
    def decide(self, *, pool, queue, now):
        plan = super().decide(pool=pool, queue=queue, now=now)
        return plan._replace(
            placements=tuple(
                placement._replace(
                    places=(scheduling.TaskPlace("giza-r1-w1", 0),)
                )
                for placement in plan.placements
            )
        )


class IgnoresQuotaPolicy(_ChangesPlacements):
    """Places the jobs that the quota makes wait."""

    def decide(self, *, pool, queue, now):
        plan = super().decide(pool=pool, queue=queue, now=now)
        places = (scheduling.TaskPlace("giza-r1-w2", 0xFF),)
        extra = tuple(
            scheduling.Placement(wait.job, 1, "", places) for wait in plan.waits
        )
        return plan._replace(placements=plan.placements + extra)

    def change_placement(self, placement, pool):
        return placement


class AlwaysPreemptsPolicy(baselines.FifoFirstFit):
    """Stops all running gangs as soon as a job waits.

    Every placement is marked with `slot`, the guaranteed slot that it claims
    to use; empty for none.
    """

    slot = ""

    def decide(self, *, pool, queue, now):
        if pool.gangs and now < 60:
            return scheduling.Plan(
                preemptions=tuple(
                    scheduling.Preemption(
                        gang.job, gang.attempt, "defragmented", ""
                    )
                    for gang in pool.gangs.values()
                )
            )
        plan = super().decide(pool=pool, queue=queue, now=now)
        return plan._replace(
            placements=tuple(
                placement._replace(slot=self.slot)
                for placement in plan.placements
            )
        )


class PreemptsSlotsPolicy(AlwaysPreemptsPolicy):
    slot = "surveys/0"


CASES = [
    (
        "partial_gang",
        DropsTaskPolicy,
        [examples.submit(0, "a", tasks=2, adjacent="rack")],
        {},
    ),
    (
        "double_booking",
        DoubleBookingPolicy,
        [examples.submit(0, "a"), examples.submit(5, "b")],
        {},
    ),
    (
        "wrong_place",
        SpreadGangPolicy,
        [examples.submit(0, "a", tasks=2, accelerators=4)],
        {},
    ),
    (
        "over_commit",
        OverCommitPolicy,
        [
            examples.submit(
                0, "a", accelerators=0, processors=10, adjacent="data_centre"
            ),
            examples.submit(
                5, "b", accelerators=0, processors=10, adjacent="data_centre"
            ),
        ],
        {},
    ),
    (
        "out_data_centre_start",
        OutOfServiceStartPolicy,
        [
            {
                "at_s": 0,
                "kind": "data_centre_out",
                "data_centre": "Giza",
                "notice_s": 100,
            },
            examples.submit(10, "a", run_s=20),
        ],
        {},
    ),
    (
        "reclaim_late",
        baselines.FifoFirstFit,
        [
            examples.submit(0, "f", customer="families"),
            examples.submit(0, "g", customer="families"),
            examples.submit(10, "a"),
        ],
        {"customers": examples.build_two_customers()},
    ),
    (
        "run_twice",
        AlwaysPreemptsPolicy,
        [
            examples.submit(0, "a", idempotent=False, checkpointable=False),
            examples.submit(20, "b"),
        ],
        {},
    ),
    (
        "slot_preempted",
        PreemptsSlotsPolicy,
        [examples.submit(0, "a"), examples.submit(20, "b")],
        {},
    ),
    (
        "slot_preempted",
        AlwaysPreemptsPolicy,
        [
            examples.submit(0, "a"),
            examples.submit(20, "b", customer="families"),
        ],
        {"customers": examples.build_two_customers()},
    ),
    (
        "quota_exceeded",
        IgnoresQuotaPolicy,
        [examples.submit(0, "a"), examples.submit(5, "b")],
        {
            "customers": [
                {"name": "hotels", "teams": [{"name": "all", "quota": 8}]}
            ]
        },
    ),
]


class TestConditions:
    @pytest.mark.parametrize(
        ("condition", "policy", "events", "changes"), CASES
    )
    def test_violation_of_each_condition_is_counted(
        self, condition, policy, events, changes
    ):
        scenario = examples.build_scenario(events, **changes)
        trial = core.run_trial(scenario, policy, 1)
        found = audit.count_violations(trial.record, trial.reclaim_audit)
        assert found[condition] > 0, found

    def test_every_condition_has_a_violating_policy(self):
        assert {case[0] for case in CASES} == set(audit.CONDITIONS)

    @pytest.mark.parametrize(
        "policy", [baselines.FifoFirstFit, baselines.BackfillBestFit]
    )
    def test_valid_policies_violate_only_reclaim_limit(self, policy):
        for condition, _, events, changes in CASES:
            scenario = examples.build_scenario(events, **changes)
            trial = core.run_trial(scenario, policy, 1)
            found = audit.count_violations(trial.record, trial.reclaim_audit)
            broken = {key for key, count in found.items() if count}
            assert broken <= {"reclaim_late"}, condition


class TestReclaims:
    def test_request_is_honoured_when_job_starts_in_time(self):
        scenario = examples.build_scenario(
            [
                examples.submit(0, "f", customer="families"),
                examples.submit(10, "a"),
            ],
            customers=examples.build_two_customers(),
        )
        trial = core.run_trial(scenario, baselines.FifoFirstFit, 1)
        assert trial.reclaim_audit.waits_s == pytest.approx([1.5])
        assert trial.reclaim_audit.late == 0

    def test_job_beyond_guarantee_makes_no_request(self):
        scenario = examples.build_scenario(
            [
                examples.submit(0, "a"),
                examples.submit(0, "b", run_s=300),
                examples.submit(10, "c"),
            ],
            customers=examples.build_two_customers(),
        )
        trial = core.run_trial(scenario, baselines.FifoFirstFit, 1)
        assert trial.reclaim_audit.request_count == 1

    def test_no_request_is_late_while_guarantees_do_not_fit(self):
        scenario = examples.build_scenario(
            [
                examples.submit(0, "a"),
                {
                    "at_s": 10,
                    "kind": "data_centre_out",
                    "data_centre": "Giza",
                    "notice_s": 10,
                },
                {
                    "at_s": 110,
                    "kind": "data_centre_back",
                    "data_centre": "Giza",
                },
            ],
            customers=examples.build_two_customers(),
        )
        trial = core.run_trial(scenario, baselines.FifoFirstFit, 1)
        assert trial.reclaim_audit.late == 0
        assert trial.reclaim_audit.infeasible_s == pytest.approx(100)
