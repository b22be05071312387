"""What a run did, and what was recorded and logged near a break."""

import collections
import pathlib
import re

TASK = re.compile(r"\b[0-9a-f]{16}\.\d+\.\d+\.\d+\b")
BEFORE_S = 12.0  # longest time that a call is kept
AFTER_S = 1.0
MOST_TASKS = 5
FAULT_KINDS = ("claim", "fault", "entry_down")
WORKER_KINDS = ("worker_up", "worker_down", "lease_lapsed")
OMITTED = ("at", "kind", "spec", "layer")
LINE_LENGTH = 240


def summarize(events):
    """Return one line that counts what happened."""

    def count(kind, describe, among=lambda event: True):
        counts = collections.Counter(
            describe(event)
            for event in events
            if event["kind"] == kind and among(event)
        )
        return ",".join(f"{name}:{number}" for name, number in counts.items())

    kinds = collections.Counter(event["kind"] for event in events)
    is_late = lambda event: event["fate"] == "late"  # noqa: E731
    return (
        f"starts={kinds['start']} claims={kinds['claim']}"
        f" faults={kinds['fault'] // 2} jobs={kinds['job']}"
        f" ends={count('end', lambda event: event['how'])}"
        f" late={count('order', lambda event: event['path'], is_late)}"
        f" answers={count('answer', lambda e: (e['call'], e['status']))}"
    )


def find_tasks(text):
    """Return the first tasks that the judge names."""
    return list(dict.fromkeys(TASK.findall(text)))[:MOST_TASKS]


def describe_task(task, events, folder):
    """Return lines about a task: orders, faults nearby, logs of entries."""
    starts = [
        event
        for event in events
        if event["kind"] == "start" and event["task"] == task
    ]
    lines = [f"{task}, seconds since the first event:"]
    if starts:
        first = starts[0]["at"] - BEFORE_S
        last = starts[-1]["at"] + AFTER_S
        places = {event["worker"] for event in starts}
        lines += [
            _format(event, events[0]["at"])
            for event in events
            if first <= event["at"] <= last and _is_near(event, task, places)
        ]
    units = (f"={task} ", f"={task.rpartition('.')[0]} ")
    for log in sorted(pathlib.Path(folder).glob("entry-*.log")):
        lines += [
            f"  {log.stem}: {line[:LINE_LENGTH]}"
            for line in log.read_text(errors="replace").splitlines()
            if any(unit in f"{line} " for unit in units)
        ]
    return lines


def _is_near(event, task, places):
    if event["kind"] in FAULT_KINDS or event.get("task") == task:
        return True
    is_change = event["kind"] in WORKER_KINDS or event.get("fate") == "late"
    return is_change and event.get("worker") in places


def _format(event, begin):
    fields = " ".join(
        f"{name}={value}"
        for name, value in event.items()
        if name not in OMITTED
    )
    return f"  {event['at'] - begin:8.3f} {event['kind']} {fields}"
