"""Jobs that have not begun are missing in the `waiting` of their queue."""

import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "shared-3"))
import world as worlds  # noqa: E402

MINIONS = 12  # one that fails is a share of 0.083; srv_grey has 0.085
SHED_S = 6.5  # srv_grey: for_s 6.5
VISIBLE_MS, CONTACT_MS = 3000, 3000
JOBS = 8
STEPS = [{"count": 1, "cpu": 1000, "mem_mb": 1000, "gpu": 1, "est_ms": 2500}]
FILL = "00000000000000f1"
FILL_STEPS = [
    {
        "count": MINIONS - 1,
        "cpu": 1000,
        "mem_mb": 1000,
        "gpu": 8,
        "est_ms": 90000,
    }
]


def list_begun(world):
    """Return the jobs of which a minion has started a task."""
    return {one["task"].split(".")[0] for one in world.read_events("start")}


def play(world):
    """Play the case; return whether the rule was broken."""
    # All minions but one are at work on a long job.
    world.announce(FILL, FILL_STEPS)
    body = {"spec": json.dumps({"work_ms": 90000}), "steps": FILL_STEPS}
    if world.ask(0, "POST", f"/batch/{FILL}", body)[0] != 200:
        raise worlds.CannotRunError("the long job was not accepted")
    until = time.monotonic() + 10
    busy = set()
    while len(busy) < MINIONS - 1 and time.monotonic() < until:
        busy = {one["worker"] for one in world.read_events("start")}
        time.sleep(0.1)
    if len(busy) < MINIONS - 1:
        raise worlds.CannotRunError("the long job did not begin")
    free = next(
        number for number in range(MINIONS) if f"i-{number:03d}" not in busy
    )
    keys = [f"{entry}:{free}" for entry in range(world.entries)]
    world.note(f"all minions are full but i-{free:03d}")
    if world.trouble:
        layer = {"status": 503, "paths": ["/run-start"]}
        world.control("workers", "set", keys=keys, fault="shed", layer=layer)
        world.note(f"minion i-{free:03d} answers 503 to starts")
    began = time.monotonic()
    accepted = {}
    for number in range(JOBS):
        job = f"{number:016x}"
        world.announce(job, STEPS)
        body = {"spec": json.dumps({"work_ms": 2500}), "steps": STEPS}
        if (
            world.ask(number % world.entries, "POST", f"/usual/{job}", body)[0]
            == 200
        ):
            accepted[job] = time.monotonic()
    time.sleep(max(0.0, began + SHED_S - time.monotonic()))
    if world.trouble:
        world.control("workers", "set", keys=keys, fault="shed", layer=None)
        world.note(f"minion i-{free:03d} takes starts again")
    # Ask once all are in touch again, long after the bound.
    is_broken = False
    until = began + SHED_S + CONTACT_MS / 1000 + 6.0
    time.sleep(CONTACT_MS / 1000)
    while time.monotonic() < until:
        for entry in range(world.entries):
            due = time.monotonic() - VISIBLE_MS / 1000 - 2.0
            status, answer = world.ask(entry, "GET", "/usual/")
            if status != 200:
                continue
            begun = list_begun(world)
            waiting = [
                job
                for job, at in accepted.items()
                if at < due and job not in begun
            ]
            shown = json.loads(answer)["waiting"]
            world.note(f"entry-{entry}: {shown} shown, {len(waiting)} wait")
            if shown < len(waiting) / 2:
                is_broken = True
        time.sleep(1.0)
    return is_broken


if __name__ == "__main__":
    sys.exit(worlds.run(play, workers=MINIONS))
