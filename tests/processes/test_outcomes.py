"""Rules on ends of runs and jobs, by records that break them or just don't."""

import pytest

from tests.processes import history as histories
from tests.processes import made_up
from tests.processes import outcomes

GANG = ({"count": 2, "cpu": 1_000, "gang": True},)
LASTING = ({"count": 2, "cpu": 1_000, "persistent": True},)
MEMBERS = tuple(f"{made_up.JOB}.0.0.{number}" for number in range(2))


def judge(rule, story):
    found = rule(histories.History(story.events))
    return [each.at for each in found]


class TestGang:
    def make_story(self):
        story = made_up.Story(steps=GANG)
        story.run(5.0, 8.0, "w0", how="alone", task=MEMBERS[0], gang=True)
        return story

    def judge(self, story):
        return judge(outcomes.find_lone_members, story)

    def test_alone(self):
        assert self.judge(self.make_story()) == [8.0]

    def test_names_the_other_members(self):
        story = self.make_story()
        story.start(6.0, "w1", task=MEMBERS[1], gang=True)
        (found,) = outcomes.find_lone_members(histories.History(story.events))
        assert [run.task for run in found.runs] == list(MEMBERS)

    @pytest.mark.parametrize("how", ["broken", "stopped", "lapsed"])
    def test_other_ends(self, how):
        story = made_up.Story(steps=GANG)
        story.run(5.0, 8.0, "w0", how=how, task=MEMBERS[0], gang=True)
        assert self.judge(story) == []

    @pytest.mark.parametrize(("sent", "count"), [(8.0, 0), (8.01, 1)])
    def test_cancel(self, sent, count):
        story = self.make_story()
        call = {"job": made_up.JOB, "entry": "e0", "call": "delete"}
        story.add(sent, "call", **call)
        story.answer(sent + 0.1, "delete", status=0)
        assert self.judge(story) == [8.0] * count

    def test_cancel_whose_sending_is_not_recorded(self):
        story = self.make_story()
        story.answer(12.9, "delete", status=0)
        assert self.judge(story) == []

    @pytest.mark.parametrize(
        ("begin", "end", "count"),
        [(0.5, 1.99, 1), (0.5, 2.0, 0), (8.0, 9.0, 0), (8.01, 9.0, 1)],
    )
    @pytest.mark.parametrize("target", ["e0", "e1", "w1", "store"])
    def test_disturbance_near(self, begin, end, count, target):
        story = self.make_story()
        story.fault(begin, end, target)
        assert self.judge(story) == [8.0] * count

    @pytest.mark.parametrize(("down", "count"), [(1.9, 1), (6.0, 0)])
    def test_worker_that_drains(self, down, count):
        story = self.make_story()
        story.add(1.0, "draining", worker="w1")
        story.add(down, "worker_down", worker="w1", life=1, how="left")
        assert self.judge(story) == [8.0] * count

    def test_new_worker_is_no_disturbance(self):
        story = self.make_story()
        story.worker_up(6.0, "w9")
        assert self.judge(story) == [8.0]

    @pytest.mark.parametrize("fate", ["late", "no_answer", "reset"])
    def test_harmed_order_is_a_disturbance(self, fate):
        story = self.make_story()
        story.order(6.0, "w1", path="hold", entry="e1", fate=fate)
        assert self.judge(story) == []

    def test_sender_is_unknown(self):
        story = self.make_story()
        story.order(5.5, "w0", task=MEMBERS[0], entry="e1", fence=1)
        assert self.judge(story) == []


class TestForgottenJobs:
    def judge(self, story):
        return judge(outcomes.find_forgotten_jobs, story)

    @pytest.mark.parametrize(("at", "count"), [(4.1, 0), (4.2, 1)])
    def test_after_acceptance(self, at, count):
        story = made_up.Story()  # accepted at 1.1
        story.answer(at, "get", status=410)
        assert self.judge(story) == [at] * count

    def test_never_accepted(self):
        story = made_up.Story()
        job = "00000000000000cc"
        story.add(1.0, "job", job=job, queue="/batch/", steps=[])
        story.answer(2.0, "submit", job=job, status=504)
        story.answer(9.0, "get", job=job, status=410)
        assert self.judge(story) == []

    @pytest.mark.parametrize(("sent", "count"), [(8.9, 0), (9.1, 1)])
    def test_cancel_was_sent(self, sent, count):
        story = made_up.Story()
        call = {"job": made_up.JOB, "entry": "e0", "call": "delete"}
        story.add(sent, "call", **call)
        story.answer(9.0, "get", status=410)
        assert self.judge(story) == [9.0] * count

    @pytest.mark.parametrize(("at", "count"), [(127.9, 1), (128.0, 0)])
    def test_long_after_its_end(self, at, count):
        story = made_up.Story()
        story.run(2.0, 8.0, "w0")
        story.answer(9.0, "get", "done")
        story.answer(at, "get", status=410)
        assert self.judge(story) == [at] * count

    @pytest.mark.parametrize(("target", "count"), [("e0", 0), ("e1", 1)])
    def test_entry_in_touch(self, target, count):
        story = made_up.Story()
        story.fault(5.0, 7.0, target)
        story.answer(9.0, "get", status=410)
        assert self.judge(story) == [9.0] * count


class TestWrongEnds:
    def judge(self, story):
        return judge(outcomes.find_wrong_ends, story)

    @pytest.mark.parametrize(("sent", "count"), [(8.9, 0), (9.1, 1)])
    def test_cancelled(self, sent, count):
        story = made_up.Story()
        call = {"job": made_up.JOB, "entry": "e0", "call": "delete"}
        story.add(sent, "call", **call)
        story.answer(9.0, "get", "cancelled")
        assert self.judge(story) == [9.0] * count

    def test_cancelled_by_nobody(self):
        story = made_up.Story()
        story.answer(9.0, "get", "cancelled")
        assert self.judge(story) == [9.0]

    @pytest.mark.parametrize(
        ("hows", "count"),
        [
            (["failed", "failed", "failed"], 0),
            (["failed", "failed", "lapsed"], 1),
            (["failed", "failed"], 1),
            (["failed", "stopped", "failed", "failed"], 0),
        ],
    )
    def test_failed(self, hows, count):
        story = made_up.Story()
        for number, how in enumerate(hows, start=1):
            at = float(2 * number)
            story.start(at, "w0", number)
            story.end(at + 1, "w0", number, how)
        story.answer(20.0, "get", "failed")
        assert self.judge(story) == [20.0] * count

    @pytest.mark.parametrize(("at", "count"), [(6.9, 1), (7.0, 0)])
    def test_failed_before_the_last_failure(self, at, count):
        story = made_up.Story()
        for number in range(1, 4):
            story.run(2.0 * number, 2.0 * number + 1, "w0", number, "failed")
        story.answer(at, "get", "failed")
        assert self.judge(story) == [at] * count

    def test_one_task_that_failed_is_enough(self):
        story = made_up.Story(steps=({"count": 2},))
        for number in range(1, 4):
            at = 2.0 * number
            story.run(at, at + 1, "w0", number, "failed", task=MEMBERS[0])
        story.run(2.0, 6.0, "w1", task=MEMBERS[1])
        story.answer(20.0, "get", "failed")
        assert self.judge(story) == []

    def test_failures_of_two_tasks_do_not_add_up(self):
        story = made_up.Story(steps=({"count": 2},))
        for task, times in zip(MEMBERS, (2, 1), strict=True):
            for number in range(1, times + 1):
                at = 2.0 * number
                story.run(at, at + 1, "w0", number, "failed", task=task)
        story.answer(20.0, "get", "failed")
        assert self.judge(story) == [20.0]


class TestIdleJobs:
    def make_story(self, **options):
        story = made_up.Story(**options)
        story.answer(29.0, "get", "queued")
        story.add(30.0, "shutdown")
        return story

    def judge(self, story):
        return judge(outcomes.find_idle_jobs, story)

    def test_never_ran(self):
        assert self.judge(self.make_story()) == [30.0]

    @pytest.mark.parametrize(("end", "count"), [(19.9, 1), (20.0, 0)])
    def test_ran_lately(self, end, count):
        story = self.make_story()
        story.run(15.0, end, "w0", how="stopped")
        assert self.judge(story) == [30.0] * count

    @pytest.mark.parametrize("state", ["done", "failed", "cancelled"])
    def test_was_shown_as_ended(self, state):
        story = self.make_story()
        story.answer(28.0, "get", state, entry="e1")
        assert self.judge(story) == []

    def test_was_cancelled(self):
        story = self.make_story()
        story.answer(25.0, "delete", status=504)
        assert self.judge(story) == []

    @pytest.mark.parametrize(("at", "count"), [(16.8, 1), (17.0, 0)])
    def test_accepted_lately(self, at, count):
        story = made_up.Story(steps=())
        story.answer(2.0, "get", "done")
        job = "00000000000000bb"
        story.job(job, made_up.SINGLE, at=at)
        story.answer(29.0, "get", "queued", job=job)
        story.add(30.0, "shutdown")
        assert self.judge(story) == [30.0] * count

    @pytest.mark.parametrize(("at", "count"), [(19.9, 0), (20.0, 1)])
    def test_nobody_asked_lately(self, at, count):
        story = made_up.Story()
        story.answer(at, "get", "running")
        story.answer(29.0, "get", status=503)
        story.add(30.0, "shutdown")
        assert self.judge(story) == [30.0] * count

    @pytest.mark.parametrize(
        ("begin", "end", "count"),
        [(10.0, 16.9, 1), (10.0, 17.0, 0), (29.9, None, 0)],
    )
    def test_calm(self, begin, end, count):
        story = self.make_story()
        story.fault(begin, end, "w1")
        assert self.judge(story) == [30.0] * count

    @pytest.mark.parametrize(("cpu", "count"), [(2_000, 1), (2_001, 0)])
    def test_half_of_the_capacity_in_use(self, cpu, count):
        story = self.make_story()
        job = "00000000000000bb"
        story.job(job, ({"count": 2, "cpu": cpu},))
        for number in range(2):
            task = f"{job}.0.0.{number}"
            story.start(2.0, f"w{number}", task=task)
        assert self.judge(story) == [30.0] * count

    @pytest.mark.parametrize(
        ("step", "count"),
        [
            ({"count": 5, "gpu": 4}, 1),
            ({"count": 1, "gpu": 5}, 0),
            ({"count": 1, "cpu": 1, "mem_mb": 1, "gpu": 5}, 0),
            ({"count": 2, "gpu": 2, "gang": True}, 1),
            ({"count": 2, "gpu": 3, "gang": True}, 0),
            ({"count": 1, "gpu": 1, "requires": "a"}, 0),
        ],
    )
    def test_room_twice_over(self, step, count):
        story = self.make_story(steps=(step,))
        assert self.judge(story) == [30.0] * count

    @pytest.mark.parametrize(
        ("begin", "end", "gpu", "count"),
        [
            (2.0, 19.9, 4, 1),
            (2.0, 21.0, 2, 1),
            (2.0, 21.0, 3, 0),
            (29.0, 40.0, 3, 0),
            (30.1, 40.0, 3, 1),
        ],
    )
    def test_what_ran_meanwhile_takes_room(self, begin, end, gpu, count):
        story = self.make_story(steps=({"count": 1, "gpu": 2},))
        job = "00000000000000bb"
        story.job(job, ({"count": 1, "gpu": gpu},))
        story.run(begin, end, "w0", task=f"{job}.0.0.0")
        story.worker_up(0.1, "w1", gpu=2)
        assert self.judge(story) == [30.0] * count

    def test_room_on_draining_workers_does_not_count(self):
        story = self.make_story(steps=({"count": 1, "gpu": 4},))
        story.add(5.0, "draining", worker="w0")
        story.add(16.0, "worker_down", worker="w0", life=1, how="left")
        assert self.judge(story) == []

    def test_each_task_that_lasts(self):
        story = self.make_story(steps=LASTING)
        story.start(2.0, "w0", task=MEMBERS[0])
        story.run(2.0, 19.9, "w1", how="failed", task=MEMBERS[1])
        assert self.judge(story) == [30.0]

    def test_tasks_that_last_run(self):
        story = self.make_story(steps=LASTING)
        story.start(2.0, "w0", task=MEMBERS[0])
        story.run(2.0, 20.0, "w1", how="failed", task=MEMBERS[1])
        assert self.judge(story) == []

    @pytest.mark.parametrize(("end", "count"), [(13.9, 1), (14.0, 0)])
    def test_tasks_that_last_until_the_cancel(self, end, count):
        story = made_up.Story(steps=LASTING)
        story.start(2.0, "w0", task=MEMBERS[0])
        story.run(2.0, end, "w1", how="failed", task=MEMBERS[1])
        story.answer(23.0, "get", "running")
        call = {"job": made_up.JOB, "entry": "e0", "call": "delete"}
        story.add(24.0, "call", **call)
        story.answer(24.2, "get", "cancelled")
        story.add(30.0, "shutdown")
        assert self.judge(story) == [24.0] * count
