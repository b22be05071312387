import gevent
import pytest

from chervilcove.core import errors
from chervilcove.journal import conf
from tests import cluster


class TestNotes:
    @pytest.fixture
    def system(self):
        system = cluster.Cluster()
        system.start()
        yield system
        system.stop()

    def submit(self, peer, note):
        return peer.call_json("POST", "/v1/notes", note, timeout_s=25)

    def test_of_two_concurrent_notes_one_wins_and_the_other_gets_its_id(
        self, system
    ):
        notes = [
            {**system.build_first_note(), "id": f"note-{index}"}
            for index in range(2)
        ]
        submissions = [
            gevent.spawn(self.submit, peer, note)
            for peer, note in zip(system.peers, notes, strict=True)
        ]
        responses = [one.get(timeout=25) for one in submissions]
        refused = [one for one in responses if errors.is_refusal(one)]
        assert len(refused) == 1
        winner = notes[1 - responses.index(refused[0])]["id"]
        assert refused[0].kind is errors.Kind.STALE_REVISION
        assert refused[0].detail["winner"] == winner
        late = self.submit(system.peers[0], {**notes[0], "id": "late"})
        assert late.detail["winner"] == winner

    def test_a_lost_response_of_the_log_is_resolved_by_the_note_id(
        self, system, monkeypatch
    ):
        monkeypatch.setattr(conf, "APPEND_TIMEOUT_S", 0.5)
        system.log.faults = system.log.faults._replace(cut_answers=1)
        response = self.submit(system.peers[0], system.build_first_note())
        assert response == {"accepted": True, "revision": 1}
