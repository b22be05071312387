"""What is printed about a break."""

from tests.processes import report

TASK = "00000000000000aa.0.0.1"
PLACE = {"worker": "i-1", "life": 1, "task": TASK, "run": 1}
EVENTS = [
    {"at": 0.0, "kind": "fault", "name": "too-early"},
    {"at": 90.0, "kind": "fault", "name": "cut-1", "layer": {}},
    {"at": 90.5, "kind": "lease_lapsed", "worker": "i-2", "life": 1},
    {"at": 99.0, "kind": "order", "path": "hold", "fate": "late", **PLACE},
    {"at": 100.0, "kind": "start", "spec": "text", **PLACE},
    {"at": 101.0, "kind": "end", "how": "done", **PLACE},
    {"at": 102.0, "kind": "fault", "name": "too-late"},
]


class TestReport:
    def test_tasks_that_the_judge_names(self):
        text = f"TWICE at 1.0: two runs of {TASK} at once\n  {TASK} run 2"
        assert report.find_tasks(text) == [TASK]

    def test_what_was_near(self, tmp_path):
        log = "a unit=00000000000000aa.0.0 run=1\na unit=00000000000000aa.0\n"
        (tmp_path / "entry-0.log").write_text(log)
        lines = report.describe_task(TASK, EVENTS, tmp_path)
        kinds = [line.split()[1] for line in lines[1:-1]]
        assert kinds == ["fault", "order", "start", "end"]
        assert "spec" not in "".join(lines)
        assert lines[-1] == "  entry-0: a unit=00000000000000aa.0.0 run=1"

    def test_summary(self):
        assert report.summarize(EVENTS) == (
            "starts=1 claims=0 faults=1 jobs=0 ends=done:1 late=hold:1 answers="
        )
