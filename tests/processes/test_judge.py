"""The judge as a whole, on folders of records."""

import inspect
import json
import random

import pytest

from tests.processes import history as histories
from tests.processes import judge
from tests.processes import made_up
from tests.processes import record


def write(folder, story):
    """Write a story as two programs would, each its own file."""
    for number in range(2):
        lines = [json.dumps(each) for each in story.events[number::2]]
        path = folder / f"program-{number}.jsonl"
        path.write_text("\n".join(lines) + "\n")


class TestRules:
    def test_calm_record_has_no_break(self):
        story = made_up.Story()
        story.run(2.0, 6.0, "w0")
        story.answer(6.5, "get", "done")
        story.add(30.0, "shutdown")
        assert judge.judge(histories.History(story.events)) == []

    def test_empty_record_has_no_break(self):
        assert judge.judge(histories.History([])) == []

    def test_breaks_of_all_rules_in_the_order_of_their_times(self):
        story = made_up.Story()
        story.run(2.0, 6.0, "w0")
        story.run(4.0, 7.0, "w1", run=2)
        story.answer(5.0, "get", "cancelled")
        story.start(3.0, "w0", task="00000000000000bb.0.0.0")
        found = judge.judge(histories.History(story.events))
        assert [each.rule for each in found] == ["UNASKED", "TWICE", "LOST"]
        assert [each.at for each in found] == [3.0, 4.0, 5.0]

    def test_each_rule_says_what_it_does_not_judge(self):
        for rule in judge.RULES:
            assert "ot judged:" in " ".join(inspect.getdoc(rule).split())

    def test_order_of_the_files_makes_no_difference(self):
        story = made_up.Story()
        story.run(2.0, 6.0, "w0")
        story.run(4.0, 7.0, "w1", run=2)
        shuffled = list(story.events)
        random.Random(1).shuffle(shuffled)
        shuffled.sort(key=lambda event: event["at"])
        first, second = (
            judge.judge(histories.History(events))
            for events in (story.events, shuffled)
        )
        assert [each[:3] for each in first] == [each[:3] for each in second]

    def test_plan_changes_bounds(self):
        story = made_up.Story(bounds={"retake_s": 5.0, "other": 1})
        bounds = histories.History(story.events).bounds
        assert bounds == histories.Bounds(retake_s=5.0)


class TestMain:
    def test_break(self, tmp_path, capsys):
        story = made_up.Story()
        story.run(2.0, 6.0, "w0")
        story.start(4.0, "w1", run=2)
        story.end(7.0, "w1", run=2)
        write(tmp_path, story)
        assert judge.main([str(tmp_path)]) == 1
        printed = capsys.readouterr().out.splitlines()
        assert printed[0].startswith("TWICE at 4.000 seed 7: ")
        assert len(printed) == 4
        assert printed[-1] == (
            "seed=7 starts=2 late=0 by_sender_in_touch=1 done_and_noted=1"
            " jobs=1 cancelled=0 epochs=1 breaks=1"
        )

    def test_no_break(self, tmp_path, capsys):
        story = made_up.Story()
        story.run(2.0, 6.0, "w0")
        write(tmp_path, story)
        assert judge.main([str(tmp_path)]) == 0
        assert capsys.readouterr().out.count("\n") == 1

    def test_no_folder(self, tmp_path, capsys):
        with pytest.raises(SystemExit) as ended:
            judge.main([str(tmp_path / "none")])
        assert ended.value.code == 2
        assert "is no folder" in capsys.readouterr().err


class TestRecord:
    def test_events_of_all_files_in_order(self, tmp_path):
        first = record.Recorder(tmp_path, "a")
        second = record.Recorder(tmp_path, "b")
        first.write("one", value=1)
        second.write("two")
        first.write("three")
        events = record.read_folder(tmp_path)
        assert [event["kind"] for event in events] == ["one", "two", "three"]
        assert events[0]["value"] == 1
        assert events[0]["at"] <= events[1]["at"] <= events[2]["at"]
