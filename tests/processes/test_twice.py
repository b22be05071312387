"""Each sentence of TWICE, by records that break it and that just don't."""

import pytest

from tests.processes import history as histories
from tests.processes import made_up
from tests.processes import twice

SPECULATIVE = ({"count": 1, "cpu": 1_000, "speculative": True},)
GANG = ({"count": 2, "cpu": 1_000, "gang": True},)
MEMBERS = (f"{made_up.JOB}.0.0.0", f"{made_up.JOB}.0.0.1")


def judge(rule, story):
    return rule(histories.History(story.events))


class TestOverlaps:
    def judge(self, story):
        return judge(twice.find_overlaps, story)

    def test_two_at_once(self):
        story = made_up.Story()
        story.run(2.0, 6.0, "w0")
        story.run(5.999, 9.0, "w1", run=2, entry="e1")
        (found,) = self.judge(story)
        assert found.rule == "TWICE"
        assert found.at == 5.999
        assert [run.worker for run in found.runs] == ["w0", "w1"]

    def test_one_after_the_other(self):
        story = made_up.Story()
        story.run(2.0, 6.0, "w0", how="stopped")
        story.run(6.0, 9.0, "w1", run=2)
        assert self.judge(story) == []

    def test_first_never_ends(self):
        story = made_up.Story()
        story.start(2.0, "w0")
        story.start(50.0, "w1", run=2)
        assert len(self.judge(story)) == 1

    @pytest.mark.parametrize(("at", "count"), [(5.0, 0), (5.1, 1)])
    def test_first_lapses(self, at, count):
        story = made_up.Story()
        story.start(2.0, "w0")
        story.lapse(at, "w0")
        story.end(at + 0.1, "w0", how="lapsed")
        story.start(5.0, "w1", run=2)
        assert len(self.judge(story)) == count

    @pytest.mark.parametrize(("at", "count"), [(5.0, 0), (5.1, 1)])
    def test_worker_of_the_first_crashes(self, at, count):
        story = made_up.Story()
        story.start(2.0, "w0")
        story.add(at, "worker_down", worker="w0", life=1, how="crash")
        story.start(5.0, "w1", run=2)
        assert len(self.judge(story)) == count

    def test_lapse_of_another_life_counts_for_nothing(self):
        story = made_up.Story()
        story.worker_up(3.0, "w1", life=2)
        story.start(4.0, "w1", life=2)
        story.lapse(4.5, "w1", life=1)
        story.start(5.0, "w0", run=2)
        assert len(self.judge(story)) == 1

    def test_worker_starts_again_without_a_word(self):
        story = made_up.Story()
        story.start(2.0, "w0")
        story.worker_up(4.0, "w0", life=2)
        story.start(5.0, "w1", run=2)
        assert self.judge(story) == []

    def test_late_start_on_the_next_life(self):
        story = made_up.Story()
        story.add(3.0, "worker_down", worker="w0", life=1, how="crash")
        story.worker_up(3.3, "w0", life=2)
        story.start(4.0, "w1", run=2)
        story.start(5.0, "w0", run=1, life=2, late=True)
        assert len(self.judge(story)) == 1

    def test_copies_may_run_at_once(self):
        story = made_up.Story(steps=SPECULATIVE)
        story.run(2.0, 6.0, "w0")
        story.run(3.0, 6.0, "w1", run=2)
        assert self.judge(story) == []

    def test_members_of_a_gang_run_at_once(self):
        story = made_up.Story(steps=GANG)
        for worker, task in zip(["w0", "w1"], MEMBERS, strict=True):
            story.run(2.0, 6.0, worker, task=task, gang=True)
        assert self.judge(story) == []

    def test_member_runs_twice(self):
        story = made_up.Story(steps=GANG)
        story.run(2.0, 6.0, "w0", task=MEMBERS[0], gang=True)
        story.run(5.0, 6.0, "w1", run=2, task=MEMBERS[0], gang=True)
        assert len(self.judge(story)) == 1

    def test_nothing_counts_after_the_shutdown(self):
        story = made_up.Story()
        story.start(2.0, "w0")
        story.add(5.0, "shutdown")
        story.start(5.1, "w1", run=2)
        assert self.judge(story) == []


class TestStartsAfterDone:
    def judge(self, story):
        return judge(twice.find_starts_after_done, story)

    def test_noted_later(self):
        story = made_up.Story()
        story.start(2.0, "w0")
        number = story.end(6.0, "w0")
        story.start(6.5, "w1", run=2)
        story.note(8.0, "w0", number)
        (found,) = self.judge(story)
        assert (found.rule, found.at) == ("TWICE", 6.5)

    def test_noted_before(self):
        story = made_up.Story()
        story.run(2.0, 6.0, "w0")
        story.start(6.2, "w1", run=2)
        assert len(self.judge(story)) == 1

    def test_late_start_counts(self):
        story = made_up.Story()
        story.run(2.0, 6.0, "w0")
        story.start(6.5, "w1", run=2, late=True)
        assert len(self.judge(story)) == 1

    def test_never_noted(self):
        story = made_up.Story()
        story.start(2.0, "w0")
        story.end(6.0, "w0")
        story.start(6.5, "w1", run=2)
        assert self.judge(story) == []

    def test_other_number_noted(self):
        story = made_up.Story()
        story.start(2.0, "w0")
        number = story.end(6.0, "w0")
        story.start(6.5, "w1", run=2)
        story.note(8.0, "w0", number + 1)
        assert self.judge(story) == []

    @pytest.mark.parametrize(
        ("lapse", "worker", "count"),
        [
            (7.0, "w0", 0),  # between the end and the note
            (8.5, "w0", 1),  # the note stands for good
            (5.0, "w1", 1),
            (7.0, "w1", 1),
        ],
    )
    def test_lapse(self, lapse, worker, count):
        story = made_up.Story()
        story.start(2.0, "w0")
        number = story.end(6.0, "w0")
        story.lapse(lapse, worker)
        story.note(8.0, "w0", number)
        story.start(9.0, "w1", run=2)
        assert len(self.judge(story)) == count

    def test_note_of_another_life(self):
        story = made_up.Story()
        story.start(2.0, "w0")
        number = story.end(6.0, "w0")
        story.add(6.1, "worker_down", worker="w0", life=1, how="crash")
        story.worker_up(6.2, "w0", life=2)
        story.note(8.0, "w0", number, life=2)
        story.start(9.0, "w1", run=2)
        assert self.judge(story) == []

    @pytest.mark.parametrize("how", ["failed", "stopped", "broken", "alone"])
    def test_other_ends(self, how):
        story = made_up.Story()
        story.run(2.0, 6.0, "w0", how=how)
        story.start(6.5, "w1", run=2)
        assert self.judge(story) == []

    def test_copy_is_allowed(self):
        story = made_up.Story(steps=SPECULATIVE)
        story.run(2.0, 6.0, "w0")
        story.start(6.5, "w1", run=2)
        assert self.judge(story) == []

    def test_copy_that_began_before(self):
        story = made_up.Story()
        story.run(2.0, 6.0, "w0")
        story.start(6.0, "w1", run=2)
        assert self.judge(story) == []

    def test_end_of_a_member_stands_for_its_gang(self):
        story = made_up.Story(steps=GANG)
        story.run(2.0, 6.0, "w0", task=MEMBERS[0], gang=True)
        story.start(2.0, "w1", task=MEMBERS[1], gang=True)
        story.add(5.5, "worker_down", worker="w1", life=1, how="crash")
        story.worker_up(5.6, "w1", life=2)
        story.start(7.0, "w1", run=2, task=MEMBERS[1], life=2, gang=True)
        (found,) = self.judge(story)
        assert [run.task for run in found.runs] == list(MEMBERS)

    def test_other_tasks_of_a_step_start_later(self):
        story = made_up.Story(steps=({"count": 2, "cpu": 1_000},))
        story.run(2.0, 6.0, "w0", task=MEMBERS[0])
        story.start(7.0, "w0", task=MEMBERS[1])
        assert self.judge(story) == []


class TestStartsAfterNote:
    def judge(self, story):
        return judge(twice.find_starts_after_note, story)

    @pytest.mark.parametrize("steps", [made_up.SINGLE, SPECULATIVE])
    @pytest.mark.parametrize(("at", "count"), [(7.1, 0), (7.101, 1)])
    def test_noted(self, steps, at, count):
        story = made_up.Story(steps=steps)
        story.run(2.0, 6.0, "w0")
        story.start(at, "w1", run=2)
        found = self.judge(story)
        assert len(found) == count
        assert all(each.at == at for each in found)

    @pytest.mark.parametrize(("at", "count"), [(7.3, 0), (7.301, 1)])
    def test_shown(self, at, count):
        story = made_up.Story()
        story.start(2.0, "w0")
        story.end(6.0, "w0")
        story.answer(6.3, "get", "done", entry="e1")
        story.start(at, "w1", run=2)
        assert len(self.judge(story)) == count

    @pytest.mark.parametrize(
        ("worker", "entry", "at", "count"),
        [
            ("w0", "e1", 8.0, 1),
            ("w1", "e1", 8.0, 0),
            ("w0", "e0", 8.0, 0),
            ("w0", "e0", 5.9, 1),
        ],
    )
    def test_harmed_order(self, worker, entry, at, count):
        story = made_up.Story()
        story.run(2.0, 5.0, "w0")
        story.order(at, worker, path="hold", entry=entry, fate="reset")
        story.start(9.0, "w1", run=2)
        assert len(self.judge(story)) == count

    def test_first_answer_counts(self):
        story = made_up.Story()
        for at in (6.3, 8.9):
            story.answer(at, "get", "done")
        story.start(9.0, "w1", run=2)
        assert len(self.judge(story)) == 1

    @pytest.mark.parametrize(
        ("state", "status"), [("running", 200), ("done", 504)]
    )
    def test_not_shown(self, state, status):
        story = made_up.Story()
        story.answer(6.3, "get", state, status=status)
        story.start(9.0, "w1", run=2)
        assert self.judge(story) == []

    def test_noted_after_the_lease_lapsed(self):
        story = made_up.Story()
        story.start(2.0, "w0")
        number = story.end(6.0, "w0")
        story.lapse(6.5, "w0")
        story.note(7.0, "w0", number)
        story.start(12.0, "w1", run=2)
        assert self.judge(story) == []

    def test_late_start_is_exempt(self):
        story = made_up.Story()
        story.run(2.0, 6.0, "w0")
        story.start(9.0, "w1", run=2, late=True)
        assert self.judge(story) == []

    @pytest.mark.parametrize(
        ("fault", "count"),
        [
            ((8.0, 8.5, "e0"), 0),
            ((8.0, 9.0, "e0>w1"), 0),
            ((3.0, 5.9, "e0"), 1),  # over before contact_s
            ((3.0, 6.0, "e0"), 0),
            ((3.0, None, "e0"), 0),
            ((8.0, 8.5, "store"), 0),
            ((8.0, 8.5, "something"), 0),
            ((8.0, 8.5, "z1"), 0),  # the entry may be there
            ((8.0, 8.5, "e1"), 1),
            ((8.0, 8.5, "w0"), 1),
            ((8.0, 8.5, "w1"), 0),  # the order may have been held up
            ((8.0, 8.5, "e0-w0"), 0),
            ((8.0, 8.5, "xe0 w0"), 1),
            ((8.0, 8.5, "e01 w0"), 1),
            ((9.1, 9.5, "e0"), 1),
        ],
    )
    def test_sender_is_in_touch(self, fault, count):
        story = made_up.Story()
        story.run(2.0, 6.0, "w0")
        story.fault(*fault)
        story.start(9.0, "w1", run=2)
        assert len(self.judge(story)) == count

    def test_zone_of_the_sender_is_known(self):
        story = made_up.Story()
        story.add(0.1, "entry_up", entry="e0", pid=1, boot=1, zone="z0")
        story.run(2.0, 6.0, "w1")
        story.fault(8.0, 8.5, "z1")
        story.start(9.0, "w0", run=2)
        assert len(self.judge(story)) == 1

    @pytest.mark.parametrize(
        ("worker", "count"), [("w1x2", 0), ("w1", 0), ("w12", 1), ("x2", 1)]
    )
    def test_fault_of_a_worker_that_may_have_a_new_id(self, worker, count):
        story = made_up.Story()
        story.worker_up(0.5, worker)
        story.run(2.0, 6.0, "w0")
        story.fault(8.0, 8.5, "w1")
        story.start(9.0, worker, run=2)
        assert len(self.judge(story)) == count

    @pytest.mark.parametrize(("at", "count"), [(6.0, 0), (5.9, 1)])
    def test_sender_started_lately(self, at, count):
        story = made_up.Story()
        story.run(2.0, 5.0, "w0")
        story.add(at, "entry_up", entry="e1", pid=2, boot=2)
        story.start(9.0, "w1", run=2, entry="e1")
        assert len(self.judge(story)) == count

    @pytest.mark.parametrize(("fence", "count"), [(1, 0), (2, 1)])
    def test_sender_of_several_tries(self, fence, count):
        story = made_up.Story()
        story.run(2.0, 6.0, "w0")
        story.start(9.0, "w1", run=2)
        story.order(9.1, "w1", run=2, entry="e1", fence=fence)
        assert len(self.judge(story)) == count

    def test_sender_is_not_recorded(self):
        story = made_up.Story()
        story.run(2.0, 6.0, "w0")
        story.start(9.0, "w1", run=2)
        orders = [each for each in story.events if each["kind"] != "order"]
        assert twice.find_starts_after_note(histories.History(orders)) == []

    def test_one_member_of_a_gang(self):
        story = made_up.Story(steps=GANG)
        story.run(2.0, 6.0, "w0", task=MEMBERS[0], gang=True)
        story.start(9.0, "w1", run=2, task=MEMBERS[1], gang=True)
        assert len(self.judge(story)) == 1
