import gevent
import pytest

from chervilcove.core import frames
from chervilcove.entry import adopter as adopters
from chervilcove.entry import planner as planners
from chervilcove.journal import records
from chervilcove.scheduling import baselines
from chervilcove.scheduling import core as scheduling
from tests.journal import test_replica
from tests.journal import utils

system = test_replica.system
wait = test_replica.wait


def add_adopter(system, replica, rank):
    adopter = adopters.Adopter(
        replica=replica,
        log_client=replica._client,
        get_rank=lambda key: rank,
        metrics=replica.metrics,
    )
    adopter.start()
    system.parts.insert(0, adopter)
    return adopter


def add_planner(system, replica, rank, policy=None):
    planner = planners.Planner(
        replica=replica,
        policy=policy or baselines.FifoFirstFit(),
        get_rank=lambda key: rank,
        metrics=replica.metrics,
    )
    planner.start()
    system.parts.insert(0, planner)
    return planner


class NoPlacementPolicy(scheduling.Policy):
    """Place nothing and give each job a reason to wait."""

    def decide(self, *, pool, queue, now):
        waits = [scheduling.Wait(job.spec["id"], "quota", "") for job in queue]
        return scheduling.Plan(waits=tuple(waits))


def append_notes(system, *notes):
    for note in notes:
        system.log.append(records.CONFIGURATION, frames.encode(note))


def list_note_outcomes(replica):
    return [
        (note["config_offset"], note["kind"] or note["revision"])
        for note in replica.state.core["notes"]
    ]


class TestAdopter:
    NOTES = (
        utils.make_first_note(),
        utils.make_data_centre_note("Giza", base=1),
        {**utils.make_data_centre_note("Maadi", base=1), "id": "late"},
        {"id": "no note"},
        utils.make_data_centre_note("Giza", base=2, in_service=True),
    )
    OUTCOMES = (
        (0, 1),
        (1, 2),
        (2, "stale_revision"),
        (3, "malformed"),
        (4, 3),
    )

    @pytest.fixture(autouse=True)
    def _shorten_timeouts(self, monkeypatch):
        monkeypatch.setattr(adopters, "READ_WAIT_S", 0.1)
        monkeypatch.setattr(adopters, "TAKEOVER_DELAY_S", 0.2)

    def test_each_record_is_adopted_once_in_order(self, system):
        replica = system.add("one")
        add_adopter(system, replica, 0)
        append_notes(system, *self.NOTES)
        wait(lambda: len(list_note_outcomes(replica)) == 5)
        assert list_note_outcomes(replica) == list(self.OUTCOMES)

    def test_two_entries_that_both_rank_first_adopt_each_note_once(
        self, system
    ):
        one, two = system.add("one"), system.add("two")
        append_notes(system, *self.NOTES)
        add_adopter(system, one, 0)
        add_adopter(system, two, 0)
        wait(
            lambda: (
                len(list_note_outcomes(one))
                == len(list_note_outcomes(two))
                == 5
            )
        )
        assert (
            list_note_outcomes(one)
            == list_note_outcomes(two)
            == list(self.OUTCOMES)
        )
        system.wait_equal()

    def test_next_in_rank_adopts_if_the_first_makes_no_progress(self, system):
        two = system.add("two")
        append_notes(system, *self.NOTES)
        add_adopter(system, two, 1)
        wait(lambda: len(list_note_outcomes(two)) == 5)

    def test_no_note_is_skipped_after_a_lost_response_and_an_outage(
        self, system
    ):
        replica = system.add("one")
        add_adopter(system, replica, 0)
        append_notes(system, self.NOTES[0])
        wait(lambda: len(list_note_outcomes(replica)) == 1)
        system.set_faults(lost_answers=1)
        append_notes(system, self.NOTES[1])
        wait(lambda: len(list_note_outcomes(replica)) == 2)
        system.set_faults(down=True)
        append_notes(system, *self.NOTES[2:])
        gevent.sleep(0.3)
        system.set_faults(down=False)
        wait(lambda: len(list_note_outcomes(replica)) == 5)
        assert list_note_outcomes(replica) == list(self.OUTCOMES)

    def test_expired_records_are_counted_and_the_rest_is_adopted(self, system):
        replica = system.add("one")
        append_notes(system, *self.NOTES)
        system.log.truncate(records.CONFIGURATION, 2)
        add_adopter(system, replica, 0)
        wait(lambda: replica.state.core["config_offset"] == 5)
        assert replica.metrics.list_counts()["adopter.lapsed"] >= 2
        offsets = [offset for offset, _ in list_note_outcomes(replica)]
        assert offsets == [2, 3, 4]

    def test_a_stream_that_lost_its_tail_is_counted(self, system):
        replica = system.add("one")
        add_adopter(system, replica, 0)
        append_notes(system, *self.NOTES)
        wait(lambda: len(list_note_outcomes(replica)) == 5)
        # The log loses its newest record.
        stream = system.log._get(records.CONFIGURATION)
        stream.records.pop()
        stream.next -= 1
        wait(lambda: replica.metrics.list_counts().get("adopter.went_back"))
        assert list_note_outcomes(replica) == list(self.OUTCOMES)


class TestPlanner:
    @pytest.fixture(autouse=True)
    def _shorten_timeouts(self, monkeypatch):
        monkeypatch.setattr(planners, "MAX_PLAN_INTERVAL_S", 0.05)
        monkeypatch.setattr(planners, "TAKEOVER_DELAY_S", 0.6)
        monkeypatch.setattr(planners, "WAIT_REASONS_INTERVAL_S", 0.1)

    def test_next_in_rank_plans_if_the_first_makes_no_progress(self, system):
        replica = system.add("two")
        test_replica.adopt(replica)
        test_replica.submit(replica, "job-1")
        add_planner(system, replica, 1)
        jobs = replica.state.core["jobs"]
        wait(lambda: jobs["job-1"]["state"] == "placed")

    def test_next_in_rank_waits_while_the_first_appends_wait_reasons(
        self, system, monkeypatch
    ):
        monkeypatch.setattr(planners, "TAKEOVER_DELAY_S", 3.0)
        one, two = system.add("one"), system.add("two")
        test_replica.adopt(one)
        test_replica.submit(one, "job-1")
        add_planner(system, one, 0, NoPlacementPolicy())
        add_planner(system, two, 1)
        gevent.sleep(3.5)
        assert one.state.core["jobs"]["job-1"]["state"] == "queued"

    def test_wait_reasons_reach_every_entry(self, system):
        one, two = system.add("one"), system.add("two")
        test_replica.adopt(one)
        test_replica.submit(one, "job-1")
        test_replica.submit(one, "job-2")
        add_planner(system, one, 0)
        jobs = one.state.core["jobs"]
        wait(lambda: jobs["job-2"]["state"] == "placed")
        for index in range(3, 7):
            test_replica.submit(one, f"job-{index}")
        wait(lambda: two.state.core["waits"])
        reasons = {note.reason for note in two.state.core["waits"].values()}
        assert reasons <= set(scheduling.Reason)

    def test_two_planners_place_each_job_once(self, system):
        one, two = system.add("one"), system.add("two")
        test_replica.adopt(one)
        for index in range(4):
            test_replica.submit(one, f"job-{index}")
        add_planner(system, one, 0)
        add_planner(system, two, 0)
        jobs = one.state.core["jobs"]
        wait(lambda: all(job["state"] == "placed" for job in jobs.values()))
        system.wait_equal()
        assert {job["attempt"] for job in jobs.values()} == {1}


class TestChooseWaitsToPublish:
    def test_only_new_or_old_reasons_are_chosen_up_to_the_limit(
        self, monkeypatch
    ):
        monkeypatch.setattr(planners, "MAX_WAIT_REASONS_PER_RECORD", 2)
        writer = utils.make_writer()
        waits = {}
        for index in range(4):
            writer.submit(f"job-{index}")
            waits[f"job-{index}"] = scheduling.Wait(
                f"job-{index}", "no_room", ""
            )
        chosen = []
        for _ in range(3):
            changed = planners.choose_waits_to_publish(writer.state, waits)
            chosen.append([wait.job for wait in changed])
            writer.apply(("waits", {"changed": changed}))
        assert chosen == [["job-0", "job-1"], ["job-2", "job-3"], []]
        late = writer.state.core["time"] + planners.WAIT_REASON_REFRESH_S + 10
        writer.apply(("waits", {"changed": []}), time=late)
        assert len(planners.choose_waits_to_publish(writer.state, waits)) == 2
