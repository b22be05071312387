"""Rules on who asked for a start, by records that break them or just don't."""

import pytest

from tests.processes import history as histories
from tests.processes import made_up
from tests.processes import starts

TASKS = tuple(f"{made_up.JOB}.0.0.{number}" for number in range(2))
SECOND = f"{made_up.JOB}.0.1.0"


def judge(rule, story):
    found = rule(histories.History(story.events))
    return [each.at for each in found]


class TestUnaskedStarts:
    def judge(self, story):
        return judge(starts.find_unasked_starts, story)

    @pytest.mark.parametrize(
        ("task", "count"),
        [
            (TASKS[0], 0),
            (TASKS[1], 1),
            (SECOND, 1),
            (f"{made_up.JOB}.1.0.0", 1),
            ("00000000000000ab.0.0.0", 1),
            (f"{made_up.JOB}.0.a.0", 1),
            (f"{made_up.JOB}.0.0.a", 1),
            ("nonsense", 1),
        ],
    )
    def test_task(self, task, count):
        story = made_up.Story()
        story.start(5.0, "w0", task=task, late=True)
        assert self.judge(story) == [5.0] * count

    @pytest.mark.parametrize(("at", "count"), [(5.0, 0), (4.99, 1)])
    def test_before_it_was_sent(self, at, count):
        story = made_up.Story()
        story.job("00000000000000bb", made_up.SINGLE, at=5.0)
        story.start(at, "w0", task="00000000000000bb.0.0.0")
        assert self.judge(story) == [at] * count

    @pytest.mark.parametrize(("spec", "count"), [("a", 0), ("b", 1)])
    def test_spec(self, spec, count):
        job = "00000000000000bb"
        story = made_up.Story()
        steps = list(made_up.SINGLE)
        story.add(1.0, "job", job=job, queue="/batch/", steps=steps, spec="a")
        story.start(5.0, "w0", task=f"{job}.0.0.0", spec=spec)
        assert self.judge(story) == [5.0] * count

    @pytest.mark.parametrize(
        ("at", "fields", "count"),
        [
            (8.0, {}, 0),
            (8.01, {}, 1),
            (8.01, {"late": True}, 0),
        ],
    )
    def test_after_cancel(self, at, fields, count):
        story = made_up.Story()
        story.answer(5.0, "delete")
        story.start(at, "w0", **fields)
        assert self.judge(story) == [at] * count

    @pytest.mark.parametrize("status", [0, 410, 503, 504])
    def test_cancel_without_success(self, status):
        story = made_up.Story()
        story.answer(5.0, "delete", status=status)
        story.start(9.0, "w0")
        assert self.judge(story) == []

    @pytest.mark.parametrize(("target", "count"), [("e0", 0), ("e1", 1)])
    def test_sender_is_in_touch(self, target, count):
        story = made_up.Story()
        story.answer(5.0, "delete")
        story.fault(5.0, 6.1, target)
        story.start(9.0, "w0")
        assert self.judge(story) == [9.0] * count


class TestRunsAfterCancel:
    def judge(self, story):
        found = judge(starts.find_runs_after_cancel, story)
        return [round(at, 3) for at in found]

    @pytest.mark.parametrize(("end", "count"), [(8.9, 0), (8.91, 1)])
    def test_bound(self, end, count):
        story = made_up.Story()
        story.answer(5.0, "delete")
        story.start(4.0, "w0")
        story.end(end, "w0", how="stopped")
        assert self.judge(story) == [8.9] * count

    @pytest.mark.parametrize(("last", "count"), [(8.9, 0), (8.91, 1)])
    def test_run_without_end(self, last, count):
        story = made_up.Story()
        story.answer(5.0, "delete")
        story.start(4.0, "w0")
        story.add(last, "shutdown")
        assert self.judge(story) == [8.9] * count

    @pytest.mark.parametrize(
        ("fault", "count"),
        [((0.5, 1.99), 1), ((0.5, 2.0), 0), ((8.9, 9.0), 0), ((8.91, 9.0), 1)],
    )
    def test_disturbance_near(self, fault, count):
        story = made_up.Story()
        story.answer(5.0, "delete")
        story.start(4.0, "w0")
        story.fault(*fault, "w1")
        story.add(12.0, "shutdown")
        assert self.judge(story) == [8.9] * count

    def test_changes_of_the_config_are_no_disturbance(self):
        story = made_up.Story()
        story.answer(5.0, "delete")
        story.start(4.0, "w0")
        story.fault(6.0, 6.1, "store", name="config_change")
        story.add(12.0, "shutdown")
        assert self.judge(story) == [8.9]

    def test_lapse_elsewhere_is_a_disturbance(self):
        story = made_up.Story()
        story.answer(5.0, "delete")
        story.start(4.0, "w0")
        story.lapse(6.0, "w1")
        story.add(12.0, "shutdown")
        assert self.judge(story) == []

    @pytest.mark.parametrize(("end", "count"), [(15.9, 0), (15.91, 1)])
    def test_late_start(self, end, count):
        story = made_up.Story()
        story.answer(5.0, "delete")
        story.start(9.0, "w0", late=True)
        story.end(end, "w0", how="stopped")
        assert self.judge(story) == [15.9] * count


class TestDrain:
    def judge(self, story):
        return judge(starts.find_starts_on_draining, story)

    @pytest.mark.parametrize(
        ("at", "worker", "fields", "count"),
        [
            (10.0, "w0", {}, 0),
            (10.01, "w0", {}, 1),
            (10.01, "w1", {}, 0),
            (10.01, "w0", {"late": True}, 0),
        ],
    )
    def test_bound(self, at, worker, fields, count):
        story = made_up.Story()
        story.add(8.0, "draining", worker="w0")
        story.start(at, worker, **fields)
        assert self.judge(story) == [at] * count

    def test_next_life_does_not_drain(self):
        story = made_up.Story()
        story.add(8.0, "draining", worker="w0")
        story.add(9.0, "worker_down", worker="w0", life=1, how="left")
        story.worker_up(9.5, "w0", life=2)
        story.start(12.0, "w0", life=2)
        assert self.judge(story) == []

    @pytest.mark.parametrize(
        ("begin", "end", "target", "count"),
        [
            (4.0, 4.9, "e0", 1),
            (4.0, 5.0, "e0", 0),
            (4.0, 5.0, "store", 0),
            (4.0, 5.0, "e1 w1", 1),
            (4.0, 5.0, "e1 w0", 0),
        ],
    )
    def test_sender_in_touch_all_the_while(self, begin, end, target, count):
        story = made_up.Story()
        story.add(8.0, "draining", worker="w0")
        story.fault(begin, end, target)
        story.start(15.0, "w0")
        assert self.judge(story) == [15.0] * count


class TestRefused:
    JOB = "00000000000000cc"

    def judge(self, story):
        return judge(starts.find_starts_of_refused, story)

    @pytest.mark.parametrize(
        ("statuses", "count"),
        [
            ([503], 1),
            ([400], 1),
            ([429, 503, 404], 1),
            ([503, 200], 0),
            ([503, 0], 0),
            ([503, 502], 0),
            ([504, 503], 0),
            ([], 0),
        ],
    )
    def test_statuses(self, statuses, count):
        story = made_up.Story()
        steps = list(made_up.SINGLE)
        story.add(1.0, "job", job=self.JOB, queue="/batch/", steps=steps)
        for number, status in enumerate(statuses):
            story.answer(2.0 + number, "submit", job=self.JOB, status=status)
        story.start(9.0, "w0", task=f"{self.JOB}.0.0.0", late=True)
        assert self.judge(story) == [9.0] * count

    @pytest.mark.parametrize(("calls", "count"), [(1, 1), (2, 0)])
    def test_attempt_under_way(self, calls, count):
        story = made_up.Story()
        steps = list(made_up.SINGLE)
        story.add(1.0, "job", job=self.JOB, queue="/batch/", steps=steps)
        for _ in range(calls):
            story.add(1.1, "call", job=self.JOB, entry="e0", call="submit")
        story.answer(2.0, "submit", job=self.JOB, status=503)
        story.start(9.0, "w0", task=f"{self.JOB}.0.0.0")
        assert self.judge(story) == [9.0] * count
