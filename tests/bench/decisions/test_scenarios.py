import pathlib

import pytest

from chervilcove.bench.decisions import core
from chervilcove.bench.decisions import scenarios
from chervilcove.bench.decisions import workload
from chervilcove.core import errors
from tests.bench.decisions import examples

FILES = core.list_scenario_files()


def read(**changes):
    value = {
        "name": "example",
        "about": "An example.",
        "horizon_s": 100,
        "pool": {
            "data_centres": [{"name": "Giza", "racks": [2]}],
            "processors": 16,
            "memory_gb": 32,
        },
        "customers": [{"name": "hotels", "teams": [{"name": "a", "quota": 8}]}],
    }
    value.update(changes)
    return scenarios.read_scenario(value, origin="x.jsonc")


class TestFiles:
    @pytest.mark.parametrize("path", FILES)
    def test_each_file_is_valid(self, path):
        scenario = scenarios.load_scenario(path)
        assert not errors.is_refusal(scenario), scenario.reason
        assert scenario["name"] == pathlib.Path(path).stem

    def test_both_deployments_have_their_current_sizes(self):
        for name, centres, racks in (
            ("nile-day", 4, {6}),
            ("hooghly-day", 3, {8}),
        ):
            scenario = scenarios.load_scenario(f"bench/scenarios/{name}.jsonc")
            pool = scenario["pool"]
            sizes = [size for c in pool["data_centres"] for size in c["racks"]]
            assert len(pool["data_centres"]) == centres
            assert sum(sizes) == 24
            assert set(sizes) == racks
            assert len(scenario["customers"]) == 4


class TestFaults:
    @pytest.mark.parametrize(
        ("changes", "expected"),
        [
            ({"horizon_s": -1}, "horizon_s: found -1, allowed is a number"),
            ({"horizon_s": True}, "horizon_s: found True"),
            ({"horison_s": 5}, "horison_s: unknown key, allowed are name"),
            ({"customers": []}, "customers: found [], allowed is a list of"),
            (
                {
                    "events": [
                        examples.submit(1, "a", team="a"),
                        examples.submit(2, "a", team="a"),
                    ]
                },
                "events[1].job.id: found 'a' again",
            ),
            (
                {
                    "customers": 2
                    * [{"name": "hotels", "teams": [{"name": "a", "quota": 8}]}]
                },
                "customers: found 'hotels' twice",
            ),
            ({"pool": 3}, "pool: found 3, allowed is an object"),
            ({"weighs": "x"}, "weighs: found 'x', allowed is one of"),
            (
                {"events": [{"at_s": 1, "kind": "fire"}]},
                "events[0].kind: found 'fire', allowed is one of submit",
            ),
            (
                {
                    "events": [
                        {
                            "at_s": 1,
                            "kind": "data_centre_out",
                            "data_centre": "Gizeh",
                        }
                    ]
                },
                "events[0].data_centre: found 'Gizeh', allowed is one of Giza",
            ),
            (
                {"events": [{"at_s": 1, "kind": "rack_lost", "rack": "r"}]},
                "events[0].rack: found 'r', allowed is one of giza-r1",
            ),
            (
                {
                    "events": [
                        {
                            "at_s": 1,
                            "kind": "workers_fail",
                            "workers": ["w"],
                        }
                    ]
                },
                "events[0].workers: found 'w', allowed is one of giza-r1-w1",
            ),
            (
                {
                    "events": [
                        examples.submit(1, "a", customer="x", team="a"),
                    ]
                },
                "events[0].job.customer: found 'x', allowed is one of hotels",
            ),
            (
                {
                    "events": [
                        {
                            "at_s": 1,
                            "kind": "note",
                            "withdrawn": [{"type": "worker", "name": "w"}],
                        }
                    ]
                },
                "events[0]: worker 'w' does not exist",
            ),
            (
                {"events": [{"at_s": 1, "kind": "cancel", "job": "a"}]},
                "events[0].job: found 'a', allowed is the id of a submitted",
            ),
            (
                {
                    "customers": [
                        {
                            "name": "hotels",
                            "teams": [{"name": "a", "quota": 8}],
                            "guarantees": [
                                {
                                    "name": "g",
                                    "accelerators": 16,
                                    "adjacent": "worker",
                                    "count": 1,
                                }
                            ],
                        }
                    ]
                },
                "customers[0].guarantees[0].accelerators: found 16, allowed",
            ),
        ],
    )
    def test_fault_names_key_and_allowed_values(self, changes, expected):
        refusal = read(**changes)
        assert errors.is_refusal(refusal)
        assert f"x.jsonc: {expected}" in refusal.reason

    def test_all_faults_are_reported_at_once(self):
        refusal = read(horizon_s=0, drain_s="x", weighs=1)
        assert len(refusal.detail["faults"]) == 3

    @pytest.mark.parametrize(
        ("text", "kind"),
        [
            ("{", errors.Kind.MALFORMED),
            ("", errors.Kind.MALFORMED),
            ("[1]", errors.Kind.INVALID_VALUE),
            ('{"base": "nowhere.jsonc"}', errors.Kind.NOT_FOUND),
            ('{"base": "x.jsonc"}', errors.Kind.INVALID_VALUE),
            ('{"base": 3}', errors.Kind.INVALID_VALUE),
        ],
    )
    def test_unreadable_file_is_refused(self, tmp_path, text, kind):
        path = tmp_path / "x.jsonc"
        path.write_text(text)
        outcome = scenarios.load_scenario(str(path))
        assert errors.is_refusal(outcome)
        assert outcome.kind is kind


class TestWorkload:
    def draw(self, seed):
        scenario = scenarios.load_scenario(
            "bench/scenarios/hooghly-off-by-ten.jsonc"
        )
        configuration = scenarios.build_configuration(scenario)
        return workload.draw_jobs(scenario, configuration, seed)

    def test_same_seed_draws_same_jobs(self):
        assert self.draw(1) == self.draw(1)
        assert self.draw(1) != self.draw(2)

    def test_declared_run_times_are_off_by_factor_of_up_to_ten(self):
        factors = [
            job.spec["declared_run_s"] / job.run_s
            for job in self.draw(1)
            if job.spec["kind"] == "slow-tile"
        ]
        assert min(factors) < 0.2
        assert max(factors) > 5
        assert all(0.099 < factor < 10.01 for factor in factors)

    def test_cancel_wave_is_drawn_with_the_workload(self):
        scenario = scenarios.load_scenario(
            "bench/scenarios/nile-cancel-waves.jsonc"
        )
        configuration = scenarios.build_configuration(scenario)
        jobs = workload.draw_jobs(scenario, configuration, 1)
        cancelled = [job for job in jobs if job.cancelled_at is not None]
        assert 50 < len(cancelled) < len(jobs)
        assert all(job.cancelled_at > job.submitted_at for job in cancelled)


class TestReferencePage:
    PAGE = pathlib.Path("docs/ref/scenarios.md").read_text()

    def test_example_is_a_valid_scenario(self, tmp_path):
        example = self.PAGE.split("```jsonc\n")[1].split("```")[0]
        path = tmp_path / "two-workers.jsonc"
        path.write_text(example)
        scenario = scenarios.load_scenario(str(path))
        assert not errors.is_refusal(scenario), scenario.reason
        factory = core.find_policy("fifo-first-fit", scenario)
        report, _ = core.run_scenario(scenario, {"fifo": factory}, [1])
        assert report["policies"]["fifo"]["reclaim"]["asked"] == 1

    def test_every_key_and_event_is_documented(self):
        refusal = scenarios.read_scenario(
            {
                "pool": {"x": 1},
                "platform": {"x": 1},
                "customers": [{"x": 1}],
                "arrivals": [{"x": 1}],
                "events": [{"kind": "x"}],
                "x": 1,
            }
        )
        listed = [
            fault.split("allowed are ")[1]
            for fault in refusal.detail["faults"]
            if "allowed are " in fault
        ]
        listed += [
            fault.split("one of ")[1]
            for fault in refusal.detail["faults"]
            if "events[0].kind" in fault
        ]
        assert len(listed) == 6
        for key in ", ".join(listed).split(", "):
            assert f"`{key}`" in self.PAGE, key
