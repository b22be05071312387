"""How the lines of a record belong together, and how a break is printed."""

from tests.processes import breaks
from tests.processes import history as histories
from tests.processes import made_up
from tests.processes import twice


class TestRuns:
    def find_sender(self, story):
        (run,) = histories.History(story.events).runs
        return run.get_sender()

    def test_order_to_an_earlier_life(self):
        story = made_up.Story()
        story.order(4.0, "w0", life=1, entry="e1", fence=1)
        story.order(4.9, "w0", life=2, path="run-stop")
        story.worker_up(4.5, "w0", life=2)
        orders = story.events
        story = made_up.Story()
        story.start(5.0, "w0", life=2)
        starts = [each for each in story.events if each["kind"] == "start"]
        (run,) = histories.History(orders + starts).runs
        assert run.get_sender() == "e1"

    def test_order_to_this_life_comes_first(self):
        story = made_up.Story()
        story.order(4.0, "w0", life=1, entry="e1", fence=1)
        story.start(5.0, "w0", life=2, entry="e0")
        assert self.find_sender(story) == "e0"

    def test_refused_order_starts_nothing(self):
        story = made_up.Story()
        story.order(4.0, "w0", entry="e1", fence=1, refused="room")
        story.start(5.0, "w0", entry="e0")
        assert self.find_sender(story) == "e0"

    def test_first_end_counts(self):
        story = made_up.Story()
        story.start(2.0, "w0")
        story.end(6.0, "w0", how="stopped")
        story.end(7.0, "w0", how="done")
        (run,) = histories.History(story.events).runs
        assert (run.end, run.how) == (6.0, "stopped")

    def test_end_without_a_start(self):
        story = made_up.Story()
        story.end(6.0, "w0")
        assert histories.History(story.events).runs == []


class TestPrint:
    def test_a_break_tells_all_that_traces_it(self):
        story = made_up.Story()
        story.run(2.0, 6.0, "w0", how="stopped")
        story.order(5.5, "w0", path="run-stop", entry="e1", fate="late")
        story.add(5.6, "claim", epoch=2, entry="e1", offset=9, resigned=True)
        story.start(5.0, "w1", run=2, entry="e1")
        history = histories.History(story.events)
        (found,) = twice.find_overlaps(history)
        assert breaks.describe(found, history).splitlines() == [
            f"TWICE at 5.000 seed 7: two runs of {made_up.TASK} at the same"
            " time for 1.000 s",
            f"    {made_up.TASK} run 1 on w0 life 1 (z0), fence 1, epoch 1"
            " claimed by e0, start 2.000, end 6.000 stopped, noted 6.100,"
            " run-start 1.990 by e0 fence 1 normal, run-stop 5.500 by e1"
            " fence 2 late",
            f"    {made_up.TASK} run 2 on w1 life 1 (z1), fence 2, start"
            " 5.000, end never, noted never, run-start 4.990 by e1 fence 2"
            " normal",
        ]
