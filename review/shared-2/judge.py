"""Checks of RULES.md that several cases use, by what minions have seen."""

import math
from typing import NamedTuple

IDLE_S = 3.0  # LOST: "for 3 s, a job has nothing running"
FINISH_S = 14.0  # bound `finish_s`
RESOURCES = ("cpu", "mem_mb", "gpu")


class Span(NamedTuple):
    """A run of a task on a minion, or the life of a minion."""

    name: str
    worker: str
    begin: float
    end: float


def list_lives(events):
    """Return the lives of the minions, and what each can hold."""
    lives, sizes = {}, {}
    for event in events:
        if event["kind"] == "worker_up":
            key = (event["worker"], event["life"])
            lives[key] = Span("", event["worker"], event["at"], math.inf)
            sizes[event["worker"]] = [event[name] for name in RESOURCES]
        elif event["kind"] == "worker_down":
            key = (event["worker"], event["life"])
            lives[key] = lives[key]._replace(end=event["at"])
    return lives, sizes


def list_runs(events):
    """Return all runs on minions; one that a crash ended ends with it."""
    lives, _ = list_lives(events)
    runs = {}
    for event in events:
        if event["kind"] == "start":
            key = (event["worker"], event["life"], event["task"], event["run"])
            end = lives[event["worker"], event["life"]].end
            runs[key] = Span(event["task"], event["worker"], event["at"], end)
        elif event["kind"] == "end":
            key = (event["worker"], event["life"], event["task"], event["run"])
            if key in runs:
                runs[key] = runs[key]._replace(end=event["at"])
    return list(runs.values())


def list_needs(events):
    """Return what a task of each step needs, by job and step."""
    return {
        (event["job"], number): [step.get(name, 0) for name in RESOURCES]
        for event in events
        if event["kind"] == "job"
        for number, step in enumerate(event["steps"])
    }


def find_idle_spans(events, *, job, label="", without="", begin, end):
    """Return spans in which a job of one step should run and doesn't.

    In each, the job has nothing running, minions that have its label could
    hold all its tasks twice over, and under half of the capacity of all
    minions is in use. The minion `without` may not run it.
    """
    runs = list_runs(events)
    moments = sorted(
        {begin, end}
        | {
            at
            for run in runs
            for at in (run.begin, run.end)
            if begin < at < end
        }
        | {
            at
            for life in list_lives(events)[0].values()
            for at in (life.begin, life.end)
            if begin < at < end
        }
    )
    spans = []
    for since, until in zip(moments, moments[1:], strict=False):
        middle = (since + until) / 2
        if not _should_run(events, runs, job, label, without, middle):
            continue
        if spans and spans[-1][1] == since:
            spans[-1] = (spans[-1][0], until)
        else:
            spans.append((since, until))
    return [span for span in spans if span[1] - span[0] >= IDLE_S]


def _should_run(events, runs, job, label, without, at):
    needs = list_needs(events)
    (step,) = next(
        event["steps"]
        for event in events
        if event["kind"] == "job" and event["job"] == job
    )
    lives, sizes = list_lives(events)
    up = {life.worker for life in lives.values() if life.begin <= at < life.end}
    used = {worker: [0] * len(RESOURCES) for worker in up}
    for run in runs:
        if not run.begin <= at < run.end or run.worker not in up:
            continue
        owner, _, number, _ = run.name.split(".")
        if owner == job:
            return False
        need = needs[owner, int(number)]
        used[run.worker] = [
            one + other
            for one, other in zip(used[run.worker], need, strict=True)
        ]
    for index in range(len(RESOURCES)):
        taken = sum(one[index] for one in used.values())
        total = sum(sizes[worker][index] for worker in up)
        if total and 2 * taken >= total:
            return False
    need = needs[job, 0]
    fitting = sum(
        min(
            (sizes[worker][index] - used[worker][index]) // need[index]
            for index in range(len(RESOURCES))
            if need[index]
        )
        for worker in up
        if worker != without
        and (not label or label in list_labels(events, worker))
    )
    return fitting >= 2 * step["count"]


def list_labels(events, worker):
    """Return the labels of a minion; its rack is that of its zone."""
    zone = next(
        event["zone"]
        for event in events
        if event["kind"] == "worker_up" and event["worker"] == worker
    )
    return ("a", f"r{zone[1:]}-0")


def find_idle_tasks(events, *, job, begin, end, after_s=6.0):
    """Return (task, since, until) where a task that lasts should run, idle.

    "From 6 s after its last run" on, for 3 s; the caller knows that the span
    is calm, and that there is room for the job twice over.
    """
    (step,) = next(
        event["steps"]
        for event in events
        if event["kind"] == "job" and event["job"] == job
    )
    found = []
    for index in range(step["count"]):
        name = f"{job}.0.0.{index}"
        runs = sorted(
            (run.begin, run.end)
            for run in list_runs(events)
            if run.name == name
        )
        ends = [*(until for _, until in runs)]
        begins = [*(since for since, _ in runs[1:]), end]
        for since, until in zip(ends, begins, strict=True):
            since = max(since + after_s, begin)
            if min(until, end) - since >= IDLE_S:
                found.append((name, since, min(until, end)))
    return found
