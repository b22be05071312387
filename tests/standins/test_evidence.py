"""Checks of the nine conditions, each on evidence that keeps and breaks it."""

import pytest

from chervilcove.standins import evidence
from chervilcove.standins import execution
from chervilcove.standins import minion_records


def _build_observation(index, start, end, how="done", **changes):
    return execution.Observation(
        **{
            "worker": f"worker-{index}",
            "job": "job-1",
            "attempt": 1,
            "index": index,
            "mask": 1,
            "tasks": 2,
            "idempotent": True,
            "started_at": start,
            "ended_at": end,
            "end": how,
            **changes,
        }
    )


def _build_execution(key, start=1.0, digest="digest-1", minion="minion-1"):
    return minion_records.Execution(
        minion, "entry-1", "try-1", key, "desk", start, start + 1, digest
    )


def _build_call(key="key-1", outcome="answered", **changes):
    call = evidence.Call(
        key, "entry-1", 1.0, 3.0, outcome, "digest-1", idempotent=False
    )
    return call._replace(**changes)


WHOLE = [_build_observation(0, 1.0, 9.0), _build_observation(1, 1.1, 5.0)]
CENTRES = {"worker-0": "Maadi", "worker-1": "Giza"}
OUT = evidence.Outage("Maadi", 10.0, 20.0)
STOP = evidence.PlannedStop("entry-1", 2.0, 4.0)
# Condition, evidence that satisfies it, evidence that violates it once.
CASES = [
    (
        "guarantee_reclaimable",
        {
            "reclaims": [evidence.Reclaim("job-1", 0.0, 2)],
            "observations": WHOLE,
        },
        {
            "reclaims": [evidence.Reclaim("job-1", 0.0, 2)],
            "observations": WHOLE[:1],
        },
    ),
    (
        "gang_whole",
        {"observations": WHOLE},
        {
            "observations": [
                _build_observation(0, 1.0, 90.0),
                _build_observation(1, 1.0, 5.0, "expired"),
            ]
        },
    ),
    (
        "gang_whole",
        {
            "observations": [
                _build_observation(0, 1.0, 20.0),
                _build_observation(1, 1.0, 0.0, ""),
            ],
            "kills": [evidence.Kill("worker-1", 15.0)],
        },
        {
            "observations": [
                _build_observation(0, 1.0, 60.0),
                _build_observation(1, 1.0, 0.0, ""),
            ],
            "kills": [evidence.Kill("worker-1", 15.0)],
        },
    ),
    (
        "gang_whole",
        {"observations": WHOLE},
        {"observations": [_build_observation(0, 1.0, 40.0)]},
    ),
    (
        "gang_whole",
        {"observations": WHOLE},
        {"observations": [*WHOLE, _build_observation(1, 6.0, 7.0)]},
    ),
    (
        "data_centre_out",
        {
            "observations": [
                _build_observation(0, 12.9, 15.0),
                _build_observation(0, 20.1, 25.0),
            ],
            "centres": CENTRES,
            "outages": [OUT],
        },
        {
            "observations": [_build_observation(0, 13.1, 15.0)],
            "centres": CENTRES,
            "outages": [OUT],
        },
    ),
    (
        "own_answer",
        {"calls": [_build_call()], "executions": [_build_execution("key-1")]},
        {"calls": [_build_call()], "executions": [_build_execution("key-2")]},
    ),
    (
        "refused_not_run",
        {
            "calls": [_build_call(outcome="not_run")],
            "executions": [_build_execution("key-2")],
        },
        {
            "calls": [_build_call(outcome="not_run")],
            "executions": [_build_execution("key-1")],
        },
    ),
    (
        "at_most_once",
        {"calls": [_build_call()], "executions": [_build_execution("key-1")]},
        {
            "calls": [_build_call()],
            "executions": [_build_execution("key-1")] * 2,
        },
    ),
    (
        "at_most_once",
        {"observations": [_build_observation(0, 1.0, 2.0, idempotent=False)]},
        {
            "observations": [
                _build_observation(0, 1.0, 2.0, idempotent=False),
                _build_observation(0, 3.0, 4.0, idempotent=False, attempt=2),
            ]
        },
    ),
    (
        "leaving_minion",
        {
            "leaving": {"minion-1": 1.0},
            "executions": [_build_execution("k", 3.9)],
        },
        {
            "leaving": {"minion-1": 1.0},
            "executions": [_build_execution("k", 4.1)],
        },
    ),
    (
        "planned_stop",
        {"stops": [STOP], "calls": [_build_call()]},
        {"stops": [STOP], "calls": [_build_call(outcome="cut")]},
    ),
    (
        "planned_stop",
        {"stops": [STOP], "calls": [_build_call()]},
        {"stops": [STOP._replace(exit_code=1)], "calls": [_build_call()]},
    ),
    (
        "configuration_in_force",
        {
            "probes": [evidence.Probe("entry-1", 1.0, 3.1, "key-1", True)],
            "executions": [_build_execution("key-1")],
        },
        {"probes": [evidence.Probe("entry-1", 1.0, 3.1, "key-1", True)]},
    ),
    (
        "configuration_in_force",
        {
            "probes": [evidence.Probe("entry-1", 1.0, 3.1, "key-1", False)],
            "readings": [
                evidence.Reading("entry-1", 1.0, 1),
                evidence.Reading("entry-2", 2.0, 0),
            ],
        },
        {
            "probes": [evidence.Probe("entry-1", 1.0, 3.1, "key-1", False)],
            "readings": [
                evidence.Reading("entry-1", 1.0, 1),
                evidence.Reading("entry-1", 2.0, 0),
            ],
        },
    ),
]


class TestFindings:
    @pytest.mark.parametrize(("name", "good", "bad"), CASES)
    def test_condition_holds_for_good_and_fails_for_bad_evidence(
        self, name, good, bad
    ):
        satisfied = evidence.check_all(evidence.Evidence(now=100.0, **good))[
            name
        ]
        assert satisfied.checked > 0
        assert satisfied.violations == 0
        violated = evidence.check_all(evidence.Evidence(now=100.0, **bad))[name]
        assert violated.violations == 1
        assert violated.examples

    def test_condition_without_evidence_is_checked_zero_times(self):
        findings = evidence.check_all(evidence.Evidence(now=1.0))
        assert len(findings) == 9
        assert all(one.checked == 0 for one in findings.values())
