import pytest

from chervilcove.core import errors
from tests import cluster


class TestEndToEnd:
    @pytest.fixture
    def system(self):
        system = cluster.Cluster()
        system.start()
        yield system
        system.stop()

    def test_a_note_and_a_job_sent_to_different_entries_take_effect(
        self, system
    ):
        first, second = system.peers
        accepted = first.call_json(
            "POST", "/v1/notes", system.build_first_note(), timeout_s=15
        )
        assert accepted == {"accepted": True, "revision": 1}
        late = second.call_json(
            "POST", "/v1/notes", system.build_first_note(), timeout_s=15
        )
        assert late.kind is errors.Kind.STALE_REVISION

        submitted = first.call_json(
            "POST",
            "/v1/jobs",
            {
                "key": "survey-1",
                "customer": "hotels",
                "tasks": 4,
                "accelerators": 4,
                "payload": {"run_s": 1.0, "result": "hard water"},
            },
            timeout_s=15,
        )
        job = second.call_json(
            "GET", f"/v1/jobs/{submitted['job']}?wait_s=20", timeout_s=25
        )
        assert job["state"] == "completed"
        assert job["result"] == "hard water"
        observations = system.list_observations()
        assert sorted(one["index"] for one in observations) == [0, 1, 2, 3]
        assert {one["end"] for one in observations} == {"done"}

    def test_a_key_used_at_two_entries_runs_once(self, system):
        first, second = system.peers
        first.call_json(
            "POST", "/v1/notes", system.build_first_note(), timeout_s=15
        )
        path = f"/v1/services/{cluster.SERVICE}/requests"
        headers = {
            "X-Customer": "hotels",
            "X-Idempotent": "false",
            "X-Request-Key": "booking-1",
        }
        options = {"headers": headers, "timeout_s": 15}
        response = first.call_json("POST", path, {"room": 7}, **options)
        assert response["key"] == "booking-1"
        repeated = second.call_json("POST", path, {"room": 7}, **options)
        assert repeated == response
        other = second.call_json("POST", path, {"room": 8}, **options)
        assert other.kind is errors.Kind.DUPLICATE_KEY
        executions = system.minion.records.list_executions()
        assert [one.key for one in executions] == ["booking-1"]
