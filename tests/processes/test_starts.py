"""Rules on starts, by records that break them and that just don't."""

import pytest

from tests.processes import history as histories
from tests.processes import made_up
from tests.processes import starts

TASKS = tuple(f"{made_up.JOB}.0.0.{number}" for number in range(2))
SECOND = f"{made_up.JOB}.0.1.0"
LASTING = ({"count": 1, "cpu": 1_000, "persistent": True},)
SPECULATIVE = ({"count": 1, "cpu": 1_000, "speculative": True},)


def judge(rule, story):
    found = rule(histories.History(story.events))
    return [each.at for each in found]


class TestLimit:
    def judge(self, story):
        return judge(starts.find_overfull_workers, story)

    @pytest.mark.parametrize(
        ("step", "count"),
        [
            ({"cpu": 2_000}, 0),
            ({"cpu": 2_001}, 1),
            ({"mem_mb": 2_000}, 0),
            ({"mem_mb": 2_001}, 1),
            ({"gpu": 2}, 0),
            ({"gpu": 3}, 1),
            ({"cpu": 2_001, "fill_count": 1}, 0),
            ({"gpu": 3, "fill_count": 1}, 1),
        ],
    )
    def test_sum_of_two(self, step, count):
        story = made_up.Story(steps=({"count": 2, **step},))
        story.start(2.0, "w0", task=TASKS[0])
        story.start(3.0, "w0", task=TASKS[1], late=True)
        assert self.judge(story) == [3.0] * count

    @pytest.mark.parametrize(("end", "count"), [(3.0, 0), (3.1, 1)])
    def test_what_is_being_stopped_counts(self, end, count):
        story = made_up.Story(steps=({"count": 2, "gpu": 4},))
        story.start(2.0, "w0", task=TASKS[0])
        story.order(2.5, "w0", path="run-stop", task=TASKS[0])
        story.end(end, "w0", how="stopped", task=TASKS[0])
        story.start(3.0, "w0", task=TASKS[1])
        assert self.judge(story) == [3.0] * count

    def test_other_worker(self):
        story = made_up.Story(steps=({"count": 2, "gpu": 4},))
        story.start(2.0, "w0", task=TASKS[0])
        story.start(3.0, "w1", task=TASKS[1])
        assert self.judge(story) == []

    def test_other_life(self):
        story = made_up.Story(steps=({"count": 2, "gpu": 4},))
        story.start(2.0, "w0", task=TASKS[0])
        story.worker_up(2.5, "w0", life=2)
        story.start(3.0, "w0", task=TASKS[1], life=2)
        assert self.judge(story) == []

    def test_worker_that_guards(self):
        story = made_up.Story(steps=({"count": 2, "gpu": 4},), guards=True)
        story.start(2.0, "w0", task=TASKS[0])
        story.start(3.0, "w0", task=TASKS[1])
        assert self.judge(story) == []


class TestBudget:
    def judge(self, story):
        return judge(starts.find_starts_beyond_budget, story)

    def fail(self, story, times, **fields):
        for number in range(1, times + 1):
            at = 2.0 * number
            story.run(at, at + 1, "w0", number, "failed", **fields)

    @pytest.mark.parametrize(("times", "count"), [(2, 0), (3, 1)])
    def test_start_after_failures(self, times, count):
        story = made_up.Story()
        self.fail(story, times)
        story.start(9.0, "w1", run=9, late=True)
        assert self.judge(story) == [9.0] * count

    @pytest.mark.parametrize(
        ("attempts", "count"),
        [(3, 0), (2, 1), ({"/batch/": 2}, 1), ({"/other/": 2}, 0)],
    )
    def test_attempts_of_the_queue(self, attempts, count):
        story = made_up.Story(bounds={"attempts": attempts})
        self.fail(story, 2)
        story.start(9.0, "w1", run=9)
        assert self.judge(story) == [9.0] * count

    @pytest.mark.parametrize(("at", "count"), [(7.0, 0), (7.01, 1)])
    def test_run_that_began_before_the_last_end(self, at, count):
        story = made_up.Story()
        self.fail(story, 3)
        story.start(at, "w1", run=9)
        assert self.judge(story) == [at] * count

    @pytest.mark.parametrize("how", ["stopped", "lapsed", "broken"])
    def test_other_ends_count_for_nothing(self, how):
        story = made_up.Story()
        self.fail(story, 2)
        story.run(6.0, 7.0, "w0", 3, how)
        story.start(9.0, "w1", run=9)
        assert self.judge(story) == []

    def test_end_that_is_never_noted(self):
        story = made_up.Story()
        self.fail(story, 2)
        story.start(6.0, "w0", 3)
        story.end(7.0, "w0", 3, "failed")
        story.start(9.0, "w1", run=9)
        assert self.judge(story) == []

    @pytest.mark.parametrize(("lapse", "count"), [(7.5, 0), (8.5, 1)])
    def test_lapse_between_end_and_note(self, lapse, count):
        story = made_up.Story()
        self.fail(story, 2)
        story.start(6.0, "w0", 3)
        number = story.end(7.0, "w0", 3, "failed")
        story.lapse(lapse, "w0")
        story.note(8.0, "w0", number)
        story.start(9.0, "w1", run=9)
        assert self.judge(story) == [9.0] * count

    def test_lasting_tasks_have_no_limit(self):
        story = made_up.Story(steps=LASTING)
        self.fail(story, 5)
        story.start(20.0, "w1", run=9)
        assert self.judge(story) == []

    @pytest.mark.parametrize(
        ("at", "fields", "count"),
        [
            (8.1, {}, 0),
            (8.101, {}, 1),
            (8.101, {"late": True}, 0),
        ],
    )
    def test_copies(self, at, fields, count):
        story = made_up.Story(steps=SPECULATIVE)
        self.fail(story, 3)
        story.start(at, "w1", run=9, **fields)
        assert self.judge(story) == [at] * count

    def test_copy_by_an_entry_out_of_touch(self):
        story = made_up.Story(steps=SPECULATIVE)
        self.fail(story, 3)
        story.fault(8.0, 9.0, "e0")
        story.start(10.0, "w1", run=9)
        assert self.judge(story) == []

    @pytest.mark.parametrize(("times", "count"), [(2, 0), (3, 2)])
    def test_members_that_fail_in_one_run_count_once(self, times, count):
        story = made_up.Story(steps=({"count": 2, "gang": True},))
        for task in TASKS[:2]:
            self.fail(story, times, task=task, gang=True)
        for task in TASKS[:2]:
            story.start(9.0, "w1", run=9, task=task, gang=True)
        assert self.judge(story) == [9.0] * count


class TestOrder:
    STEPS = ({"count": 2, "cpu": 1}, {"count": 1, "cpu": 1, "after": [0]})

    def judge(self, story):
        return judge(starts.find_starts_out_of_order, story)

    @pytest.mark.parametrize(("at", "count"), [(6.0, 0), (5.99, 1)])
    def test_last_task_before(self, at, count):
        story = made_up.Story(steps=self.STEPS)
        story.run(2.0, 4.0, "w0", task=TASKS[0])
        story.run(2.0, 6.0, "w1", task=TASKS[1])
        story.start(at, "w0", task=SECOND, late=True)
        assert self.judge(story) == [at] * count

    @pytest.mark.parametrize("how", ["failed", "stopped", "lapsed"])
    def test_other_end(self, how):
        story = made_up.Story(steps=self.STEPS)
        story.run(2.0, 4.0, "w0", task=TASKS[0])
        story.run(2.0, 6.0, "w1", how=how, task=TASKS[1])
        story.start(9.0, "w0", task=SECOND)
        assert self.judge(story) == [9.0]

    def test_task_that_never_ran(self):
        story = made_up.Story(steps=self.STEPS)
        story.run(2.0, 4.0, "w0", task=TASKS[0])
        story.start(9.0, "w0", task=SECOND)
        assert self.judge(story) == [9.0]

    @pytest.mark.parametrize(("ends", "count"), [(0, 1), (1, 0)])
    def test_one_member_stands_for_its_gang(self, ends, count):
        steps = ({"count": 2, "gang": True}, {"count": 1, "after": [0]})
        story = made_up.Story(steps=steps)
        story.start(2.0, "w1", task=TASKS[1], gang=True)
        story.start(2.0, "w0", task=TASKS[0], gang=True)
        if ends:
            story.end(6.0, "w0", task=TASKS[0])
        story.start(9.0, "w0", task=SECOND)
        assert self.judge(story) == [9.0] * count

    def test_steps_without_after(self):
        story = made_up.Story(steps=({"count": 1}, {"count": 1}))
        story.start(2.0, "w0", task=SECOND)
        assert self.judge(story) == []
