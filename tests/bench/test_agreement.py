import pytest

from chervilcove.bench.agreement import followers
from chervilcove.bench.agreement import heartbeats
from chervilcove.bench.agreement import proposals
from chervilcove.bench.agreement import sizes


class TestMeasures:
    @pytest.fixture(autouse=True)
    def _shrink_loads(self, monkeypatch):
        for name, value in {
            "WORKER_COUNT": 50,
            "RUNNING_JOB_COUNT": 20,
            "FINISHED_JOB_COUNT": 10,
        }.items():
            monkeypatch.setattr(sizes, name, value)
        for name, value in {
            "ENTRY_COUNT": 2,
            "WORKER_COUNT": 2,
            "JOB_COUNT": 2,
            "NOTE_COUNT": 2,
            "CLAIM_COUNT": 16,
            "IDLE_WINDOW_S": 0.1,
        }.items():
            monkeypatch.setattr(proposals, name, value)
        monkeypatch.setattr(followers, "RECORD_COUNT", 5)
        monkeypatch.setattr(heartbeats, "ENTRY_COUNTS", (2,))
        monkeypatch.setattr(heartbeats, "DURATION_S", 1.5)

    def test_a_snapshot_of_the_state_loads_to_an_equal_state(self):
        figures = sizes.measure()
        assert figures["is_equal_after_load"]
        assert figures["submit"]["count"] == 30

    def test_all_proposals_complete_and_a_joiner_has_all_jobs(self):
        figures = proposals.measure()
        assert figures["jobs"]["completed"] == 2
        assert figures["claims"]["count"] == 16
        assert figures["notes"]["in_force"]["count"] == 2
        assert figures["joiner"]["jobs"] == 30

    def test_followers_receive_every_record_in_each_mode(self):
        figures = followers.measure(seed=1)
        assert {mode["count"] for mode in figures.values()} == {5}

    def test_the_bytes_of_heartbeats_are_counted(self):
        assert heartbeats.measure()["2"]["payload_bytes_per_s"] > 0
