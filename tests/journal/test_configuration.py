import pytest

from chervilcove.core import errors
from tests.journal import utils

TYPES = "data_centre, worker, customer, service, guarantee, team, minion"
LEVELS = "accelerator, pair, quad, worker, rack, data_centre"
WORKER = {
    "type": "worker",
    "name": "new",
    "data_centre": "Giza",
    "rack": "rack-0",
    "address": "127.0.0.1:1",
    "processors": 64,
    "memory_gb": 128,
    "accelerators": 8,
}
GUARANTEE = {
    "type": "guarantee",
    "customer": "a",
    "name": "g",
    "accelerators": 8,
    "adjacent": "worker",
    "count": 1,
    "data_centres": [],
}


class TestAdoption:
    def adopt(self, writer, offset, note, **fields):
        body = {"config_offset": offset, "note": note, **fields}
        return writer.apply(("adopt", body))[0]

    def test_records_are_adopted_in_order_once(self):
        writer = utils.Writer()
        note = utils.make_first_note()
        assert self.adopt(writer, 1, note).kind is errors.Kind.FENCED
        assert self.adopt(writer, 0, note) == 1
        assert self.adopt(writer, 0, note).kind is errors.Kind.FENCED
        assert writer.state.core["config_offset"] == 1
        assert len(writer.state.core["notes"]) == 1

    def test_an_unreadable_record_is_adopted_as_refused(self):
        writer = utils.make_writer()
        assert self.adopt(writer, 1, None).kind is errors.Kind.MALFORMED
        assert writer.state.core["config_offset"] == 2
        assert writer.state.core["notes"][-1]["kind"] == "malformed"
        assert writer.state.core["configuration"]["revision"] == 1

    def test_the_refusal_of_a_stale_note_names_the_winning_note(self):
        writer = utils.make_writer()
        first = utils.make_data_centre_note("Giza", base=1)
        second = {**utils.make_data_centre_note("Maadi", base=1), "id": "late"}
        assert self.adopt(writer, 1, first) == 2
        refusal = self.adopt(writer, 2, second)
        assert refusal.kind is errors.Kind.STALE_REVISION
        assert refusal.detail["winner"] == "note-2"
        assert refusal.detail["winner_author"] == "operator"
        stored = writer.state.core["notes"][-1]["detail"]
        assert stored["winner"] == "note-2"
        data_centres = writer.state.core["configuration"]["data_centres"]
        assert data_centres["Maadi"]["in_service"]
        assert not data_centres["Giza"]["in_service"]

    def test_records_past_retention_are_skipped_only_by_a_flagged_item(self):
        writer = utils.make_writer()
        note = utils.make_data_centre_note("Giza", base=1)
        assert self.adopt(writer, 5, note).kind is errors.Kind.FENCED
        assert self.adopt(writer, 5, note, skips_lapsed=True) == 2
        assert writer.state.core["config_offset"] == 6
        earlier = self.adopt(writer, 3, note, skips_lapsed=True)
        assert earlier.kind is errors.Kind.FENCED

    def test_an_infeasible_note_is_refused_whole(self):
        writer = utils.make_writer()
        guarantee = {
            "type": "guarantee",
            "customer": "a",
            "name": "g",
            "accelerators": 8,
            "adjacent": "worker",
            "count": 50,
            "data_centres": [],
        }
        note = utils.make_note(guarantee, base=1, name="note-2")
        refusal = self.adopt(writer, 1, note)
        assert refusal.kind is errors.Kind.INFEASIBLE_GUARANTEE
        assert writer.state.core["configuration"]["revision"] == 1
        assert writer.state.core["config_offset"] == 2

    def test_the_configuration_is_restored_without_its_records(self):
        writer = utils.make_writer()
        self.adopt(writer, 1, utils.make_data_centre_note("Giza", base=1))
        loaded = utils.states.load_state(writer.state.dump())
        assert loaded.core["configuration"]["revision"] == 2
        assert loaded.core["config_offset"] == 2
        assert not loaded.pool.is_usable("worker-0")


class TestRefusalTexts:
    """Pins texts that are stored in the replicated state.

    A reworded refusal changes the digest of that state. During a rolling
    replacement entries of two builds then report a divergence.
    """

    @pytest.mark.parametrize(
        ("change", "reason"),
        [
            ({"type": "x"}, f"added: type 'x' is none of {TYPES}"),
            (WORKER | {"name": "worker-0"}, "worker 'worker-0' exists already"),
            (
                WORKER | {"name": ""},
                "workers: name must be a string that is not empty",
            ),
            (
                WORKER | {"name": "a/b"},
                "workers: name 'a/b' holds a slash or a control character",
            ),
            (
                WORKER | {"rack": "rack-1"},
                "worker 'new': rack 'rack-1' is elsewhere",
            ),
            (
                WORKER | {"processors": 0},
                "worker 'new': processors is 0, allowed are 1 to 4096",
            ),
            (
                WORKER | {"accelerators": 7},
                "worker 'new': accelerators is 7, allowed are 0, 1, 2, 4, 8",
            ),
            (
                GUARANTEE | {"adjacent": "shelf"},
                "customer 'a': guarantee 'g': adjacent is 'shelf', "
                f"allowed are {LEVELS}",
            ),
            (
                GUARANTEE | {"accelerators": 0},
                "customer 'a': guarantee 'g': "
                "accelerators is 0, at least 1 is needed",
            ),
            (
                GUARANTEE | {"accelerators": 9},
                "customer 'a': guarantee 'g': "
                "one worker has 8 accelerators, not 9",
            ),
            (
                {
                    "type": "customer",
                    "name": "b",
                    "weight": 0.0,
                    "guarantees": [],
                    "teams": [],
                },
                "customer 'b': weight must be above 0",
            ),
        ],
    )
    def test_stored_reason_of_an_invalid_note_is_unchanged(
        self, change, reason
    ):
        writer = utils.make_writer()
        note = utils.make_note(change, base=1, name="note-2")
        assert errors.is_refusal(writer.adopt(note))
        assert writer.state.core["notes"][-1]["reason"] == reason

    def test_stored_reason_of_an_outdated_note_is_unchanged(self):
        writer = utils.make_writer()
        assert errors.is_refusal(writer.adopt(utils.make_first_note()))
        assert writer.state.core["notes"][-1]["reason"] == (
            "note is based on revision 0, revision 1 is in force; "
            "note 'note-1' made it"
        )

    def test_stored_reason_of_many_shortages_is_unchanged(self):
        writer = utils.make_writer()
        guarantees = [
            GUARANTEE | {"name": f"g-{index}", "count": 50}
            for index in range(5)
        ]
        note = utils.make_note(*guarantees, base=1, name="note-2")
        assert errors.is_refusal(writer.adopt(note))
        reason = writer.state.core["notes"][-1]["reason"]
        assert reason.startswith("guarantees can't all be honoured: a/g-4 ")
        assert reason.endswith("; 1 more in the detail")
