import pytest

from chervilcove.bench.decisions import core
from chervilcove.bench.decisions import harness
from chervilcove.bench.decisions import measures
from chervilcove.scheduling import baselines
from chervilcove.scheduling import core as scheduling
from tests.bench.decisions import examples


def run(scenario, factory):
    trial = core.run_trial(scenario, factory, 1)
    return trial, measures.summarise(scenario, [trial])


def get_end_times(trial):
    return {name: job_end.at for name, job_end in trial.record.job_ends.items()}


class PreemptingPolicy(baselines.FifoFirstFit):
    """Stops job "a" once when job "b" waits and gives its places to "b"."""

    def decide(self, *, pool, queue, now):
        gang = pool.gangs.get("a")
        waiting = [job for job in queue if job.spec["id"] == "b"]
        if gang is None or not waiting:
            return super().decide(pool=pool, queue=queue, now=now)
        return scheduling.Plan(
            preemptions=(
                scheduling.Preemption("a", gang.attempt, "urgent_work", "b"),
            ),
            placements=(scheduling.Placement("b", 1, "", gang.places),),
        )


class TestTimes:
    EVENTS = [
        examples.submit(0, "a"),
        examples.submit(
            10, "b", tasks=2, adjacent="rack", run_s=50, declared_run_s=50
        ),
        examples.submit(20, "c", urgency="urgent", run_s=10, declared_run_s=10),
    ]

    def test_fifo_starts_jobs_in_order_of_submission(self):
        scenario = examples.build_scenario(self.EVENTS)
        trial, report = run(scenario, baselines.FifoFirstFit)
        assert get_end_times(trial) == pytest.approx(
            {"a": 101.5, "b": 153.0, "c": 164.5}
        )
        assert report["completion_s"]["all"]["mean"] == pytest.approx(
            (101.5 + 143 + 144.5) / 3, abs=1e-3
        )
        assert report["large_gang_wait_s"]["p50"] == 93.0
        assert report["urgent_start_s"]["max"] == 134.5

    def test_backfill_starts_short_job_early(self):
        scenario = examples.build_scenario(self.EVENTS)
        trial, report = run(scenario, baselines.BackfillBestFit)
        assert get_end_times(trial) == pytest.approx(
            {"a": 101.5, "b": 153.0, "c": 31.5}
        )
        assert report["urgent_start_s"]["max"] == 1.5

    def test_fragmentation_counts_unusable_free_accelerators(self):
        scenario = examples.build_scenario(self.EVENTS)
        _, report = run(scenario, baselines.FifoFirstFit)
        assert report["fragmentation"] == pytest.approx((101.75 - 10.25) / 200)
        assert report["fragmentation_adjacency"] == 0

    def test_same_seed_gives_same_runs(self):
        scenario = core.scenarios.load_scenario(
            "bench/scenarios/nile-day.jsonc"
        )
        scenario["horizon_s"] = 10000
        records = [
            harness.Harness(
                scenario=scenario,
                policy=baselines.BackfillBestFit(),
                seed=3,
            ).run()
            for _ in range(2)
        ]
        assert records[0].runs
        assert records[0].runs == records[1].runs


class TestPreemption:
    EVENTS = [
        examples.submit(0, "a"),
        examples.submit(0, "filler"),
        examples.submit(50, "b", run_s=10),
    ]

    def test_preempted_gang_keeps_work_and_releases_places_after_stop(self):
        scenario = examples.build_scenario(self.EVENTS)
        trial, report = run(scenario, PreemptingPolicy)
        runs = {(r.job, r.attempt): r for r in trial.record.runs}
        assert runs["a", 1].kept_s == pytest.approx(50.25 - 1.5)
        assert runs["a", 1].lost_s == pytest.approx(2.25)
        # Ordered to stop at 50.25 s, stopped at 52.5 s; "b" starts 1 s later.
        assert runs["b", 1].started_at == pytest.approx(53.5)
        kept = 8 * (100 + 100 + 10)
        assert report["preempted_work_ratio"] == pytest.approx(
            8 * 2.25 / (kept + 8 * 2.25), abs=1e-4
        )

    def test_preempted_gang_without_checkpoint_loses_its_work(self):
        events = [
            examples.submit(0, "a", checkpointable=False),
            *self.EVENTS[1:],
        ]
        trial, _ = run(examples.build_scenario(events), PreemptingPolicy)
        first = next(r for r in trial.record.runs if r.job == "a")
        assert first.kept_s == 0
        assert first.lost_s == pytest.approx(48.75 + 2.25)


class TestFaults:
    def test_lost_rack_loses_work_since_last_checkpoint(self):
        scenario = examples.build_scenario(
            [
                examples.submit(0, "a", run_s=1000, declared_run_s=1000),
                {"at_s": 701.5, "kind": "rack_lost", "rack": "giza-r1"},
                {"at_s": 900, "kind": "rack_back", "rack": "giza-r1"},
            ],
            horizon_s=2000,
        )
        trial, report = run(scenario, baselines.FifoFirstFit)
        lost = trial.record.runs[0]
        assert (lost.outcome, lost.kept_s) == ("worker_lost", 600)
        assert get_end_times(trial)["a"] == pytest.approx(901.5 + 400)
        # The lost 100 s are repeated within the window, which ends at 1500 s.
        assert report["work_done_ratio"] == {"ratio": 1, "of_allowed": 1}

    def test_non_idempotent_job_does_not_run_again_after_worker_loss(self):
        scenario = examples.build_scenario(
            [
                examples.submit(0, "a", idempotent=False),
                {"at_s": 50, "kind": "rack_lost", "rack": "giza-r1"},
                {"at_s": 60, "kind": "rack_back", "rack": "giza-r1"},
            ]
        )
        trial, report = run(scenario, baselines.FifoFirstFit)
        assert len(trial.record.runs) == 1
        assert report["jobs"]["lost"] == 1
        assert report["completion_s"]["normal"]["n"] == 0
        assert report["violations"]["run_twice"] == 0

    def test_gang_on_failing_worker_is_retried_with_backoff(self):
        scenario = examples.build_scenario(
            [
                {"at_s": 0, "kind": "workers_fail", "workers": ["giza-r1-w1"]},
                examples.submit(1, "a"),
                {
                    "at_s": 26,
                    "kind": "workers_mend",
                    "workers": ["giza-r1-w1"],
                },
            ]
        )
        trial, _ = run(scenario, baselines.FifoFirstFit)
        # Fails at 5.5 s and 15.0 s; the backoff is 5 s, then 10 s. The worker
        # is mended at 26 s and the next decision round is at 26.25 s.
        starts = [r.started_at for r in trial.record.runs]
        assert starts == pytest.approx([2.5, 12.0, 26.5])
        assert get_end_times(trial)["a"] == pytest.approx(126.5)

    def test_faulty_job_is_refused_at_failure_limit(self):
        scenario = examples.build_scenario(
            [examples.submit(0, "a", faulty=True)],
            platform={"failure_limit": 3},
        )
        trial, report = run(scenario, baselines.FifoFirstFit)
        assert len(trial.record.runs) == 3
        assert trial.record.job_ends["a"].outcome == "never_runs"
        assert report["jobs"]["refused"] == 1

    def test_valid_job_refused_at_failure_limit_counts_until_end(self):
        names = ["giza-r1-w1", "giza-r1-w2"]
        scenario = examples.build_scenario(
            [
                {"at_s": 0, "kind": "workers_fail", "workers": names},
                examples.submit(0, "a"),
            ],
            platform={"failure_limit": 3},
        )
        _, report = run(scenario, baselines.FifoFirstFit)
        assert report["jobs"]["lost"] == 1
        assert report["completion_s"]["normal"]["mean"] == 1000
        assert report["large_gang_wait_s"]["n"] == 0

    def test_job_that_never_fits_is_refused_at_once(self):
        scenario = examples.build_scenario(
            [
                examples.submit(0, "a", tasks=3, adjacent="rack"),
                examples.submit(0, "b"),
            ]
        )
        trial, report = run(scenario, baselines.FifoFirstFit)
        assert trial.record.job_ends["a"].outcome == "never_fits"
        assert report["completion_s"]["all"]["n"] == 1

    def test_cancelled_job_frees_places_and_is_not_measured(self):
        scenario = examples.build_scenario(
            [
                examples.submit(0, "a", tasks=2, adjacent="rack"),
                examples.submit(1, "b"),
                {"at_s": 50, "kind": "cancel", "job": "a"},
            ]
        )
        trial, report = run(scenario, baselines.FifoFirstFit)
        assert get_end_times(trial)["b"] == pytest.approx(50 + 2.25 + 1 + 100)
        assert report["completion_s"]["all"]["n"] == 1

    def test_gangs_run_until_end_of_data_centre_notice(self):
        scenario = examples.build_scenario(
            [
                examples.submit(0, "a"),
                {
                    "at_s": 20,
                    "kind": "data_centre_out",
                    "data_centre": "Giza",
                    "notice_s": 30,
                },
                examples.submit(25, "b"),
                {
                    "at_s": 80,
                    "kind": "data_centre_back",
                    "data_centre": "Giza",
                },
            ]
        )
        trial, report = run(scenario, baselines.FifoFirstFit)
        assert trial.record.runs[0].stopped_at == 50
        assert min(r.started_at for r in trial.record.runs[1:]) == 81.5
        assert sum(report["violations"].values()) == 0
