"""Case 6: a task that has ended runs again in the next process of its minion.

Twenty-four short tasks on six minions. The first try to start one of them gets
no answer and is carried out late. All tasks have ended by then, and their ends
are taken note of. Its minion was cut off, crashed and started again under its
id.
"""

import json
import pathlib
import time

import gevent
import world as worlds

JOB = "00000000000000aa"
MINION = 0
MINIONS = 6
EACH = 4  # tasks on each minion
WORK_MS = 1_000
LATE_S = 7.0
CUT_AFTER_S = 3.5
CUT_S = 5.5
WATCH_S = 14.0


def find_starts_after_done(events):
    """Return the starts of tasks after a noted end as done, for the record."""
    ends, done, found = {}, {}, []
    for event in events:
        if event["kind"] == "end" and event["how"] == "done":
            key = (event["worker"], event["life"], event["number"])
            ends[key] = event["task"]
        elif event["kind"] == "ends_noted":
            for number in event["numbers"]:
                task = ends.get((event["worker"], event["life"], number))
                if task is not None:
                    done.setdefault(task, event["at"])
        elif event["kind"] == "start" and event["task"] in done:
            after_s = event["at"] - done[event["task"]]
            found.append(
                f"TWICE: task {event['task']} started again on"
                f" {event['worker']}, {after_s:.1f} s after its end as done"
                " was taken note of"
            )
    return found


def play(world, is_disturbed):
    """Return the breaks of TWICE."""
    links = [f"{entry}:{MINION}" for entry in world.place.list_entries()]
    gevent.sleep(5.0)
    if is_disturbed:
        world.workers.call(
            "set",
            keys=links,
            fault="late",
            layer={
                "late": 1.0,
                "late_s": [LATE_S, LATE_S],
                "most": 1,
                "paths": ["/run-start"],
            },
        )
    step = {
        "count": EACH * MINIONS,
        "cpu": 1_000,
        "mem_mb": 2_000,
        "gpu": 1,
        "est_ms": WORK_MS,
        "anti_affinity": EACH,
    }
    body = {"spec": json.dumps({"work_ms": WORK_MS}), "steps": [step]}
    began = time.monotonic()
    if world.submit(1, JOB, body)[0] != 200:
        raise worlds.FailedCaseError("the job was not accepted")
    gevent.sleep(began + CUT_AFTER_S - time.monotonic())
    if world.call(0, "GET", "/usual/" + JOB)[1].get("state") != "done":
        raise worlds.FailedCaseError("the job is not done yet")
    if is_disturbed:
        world.workers.call("set", keys=links, fault="late", layer=None)
        world.workers.call(
            "set", keys=links, fault="cut", layer={"silent": True}
        )
        world.workers.call("reset", keys=links)
        world.note("cut", minion=MINION)
        world.workers.call("crash", numbers=[MINION])
        gevent.sleep(0.5)
        world.workers.call("boot", numbers=[MINION])
        gevent.sleep(CUT_S - 0.5)
        world.workers.call("set", keys=links, fault="cut", layer=None)
        world.note("healed", minion=MINION)
    gevent.sleep(began + WATCH_S - time.monotonic())
    return find_starts_after_done(world.read_events())


if __name__ == "__main__":
    worlds.run_case(
        play, case=pathlib.Path(__file__).parent, entries=2, workers=MINIONS
    )
