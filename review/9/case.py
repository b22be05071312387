"""Case 9: jobs that wait for a full minion keep others from being granted any.

Six minions, and a queue with a policy. The policy lets the steps of some jobs
run on the first minion only, those of all others on the other five. The first
minion is full. Ten jobs wait for it. Then comes a job that may run on the five
others, which are idle.
"""

import json
import pathlib
import time

import gevent
import judge
import world as worlds

from tests.processes import layout

ADVICE = {
    "decide_ms": 300,
    "each_ms": 10,
    "valid_ms": 3_000,
}
WAITING = 10
SPACING_S = 0.48  # below 2.2 jobs a second
LONG_MS = 90_000
LAST = "00000000000000bb"


def describe(work_ms, gpu):
    """Return a job of one task."""
    step = {"count": 1, "cpu": 4_000, "mem_mb": 8_000, "gpu": gpu}
    return {
        "spec": json.dumps({"work_ms": work_ms}),
        "steps": [{**step, "est_ms": work_ms}],
    }


def build_config():
    """Return the first config; its queue `/usual/` has a policy."""
    config = layout.build_config()
    for route in config["routes"]:
        if route["name"] == "usual":
            route["advice"] = ADVICE
    return config


def play(world, is_disturbed):
    """Return the breaks of LOST."""
    began = time.monotonic()
    if world.submit(0, f"a{0:015x}", describe(LONG_MS, 8))[0] != 200:
        raise worlds.FailedCaseError("the first job was not accepted")
    gevent.sleep(4.0)
    if is_disturbed:
        for number in range(1, WAITING + 1):
            world.submit(number % 2, f"a{number:015x}", describe(500, 1))
            gevent.sleep(SPACING_S)
    if world.submit(1, LAST, describe(500, 1))[0] != 200:
        raise worlds.FailedCaseError("the last job was not accepted")
    judged_from = time.monotonic() + judge.FINISH_S
    while time.monotonic() < judged_from + 15.0:
        gevent.sleep(1.0)
        state = world.call(0, "GET", "/usual/" + LAST)[1].get("state")
        if state == "done":
            return []
    return [
        f"LOST: nothing of job {LAST} ran for {until - since:.1f} s, from"
        f" {since - began:.1f} s on, with room for it"
        for since, until in judge.find_idle_spans(
            world.read_events(),
            job=LAST,
            without="i-000",
            begin=judged_from,
            end=time.monotonic(),
        )
    ]


if __name__ == "__main__":
    worlds.run_case(
        play,
        case=pathlib.Path(__file__).parent,
        entries=2,
        workers=6,
        config=build_config(),
        advice=ADVICE,
    )
