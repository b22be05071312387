"""Tasks start on a minion long after it was known to drain."""

import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "shared-3"))
import world as worlds  # noqa: E402

# The site nln-cluster-grown, but for the number of entries.
MINIONS = 128
ZONES = 4
BOUNDS = {"config_apply_ms": 3000, "max_stretch_ms": 6000}
DRAIN_MS = 3000
RACKS = ("r0-0", "r1-0")  # 8 minions each; 16 of 128 are a share of 0.125
MUTE_S = 4.0  # srv_grey: share 0.14, for_s 6.5
LEAVING = 4  # scale_in: share 0.065, here 0.031
LINGER_S = 10.0  # drain_ms, and linger_ms 7000 of the site file
STEPS = [{"count": 64, "cpu": 1000, "mem_mb": 1000, "gpu": 1, "est_ms": 6800}]


def play(world):
    """Play the case; return whether the rule was broken."""
    muted = [
        number
        for number in range(MINIONS)
        if f"r{number % ZONES}-{number // ZONES // 8}" in RACKS
    ]
    leaving = muted[:LEAVING]
    keys = [
        f"{entry}:{number}"
        for entry in range(world.entries)
        for number in muted
    ]
    if world.trouble:
        world.control(
            "workers", "set", keys=keys, fault="mute", layer={"silent": True}
        )
        world.note(f"{len(muted)} of {MINIONS} minions answer nothing")
    began = time.monotonic()
    for number, rack in enumerate(RACKS):
        job = f"{number:016x}"
        steps = [{**STEPS[0], "requires": rack}]
        world.announce(job, steps)
        body = {"spec": json.dumps({"work_ms": 6800}), "steps": steps}
        if world.ask(0, "POST", f"/usual/{job}", body)[0] != 200:
            raise worlds.CannotRunError("a job was not accepted")
    time.sleep(0.1)
    world.control("workers", "drain", numbers=leaving, seconds=LINGER_S)
    time.sleep(max(0.0, began + MUTE_S - time.monotonic()))
    if world.trouble:
        world.control("workers", "set", keys=keys, fault="mute", layer=None)
        world.note("the minions answer again")
    time.sleep(LINGER_S + 2.0)
    said = {one["worker"]: one["at"] for one in world.read_events("draining")}
    left = {
        one["worker"]: one["at"]
        for one in world.read_events("worker_down")
        if one["how"] == "left"
    }
    done = {
        (one["worker"], one["task"], one["run"])
        for one in world.read_events("end")
        if one["how"] == "done"
    }
    for worker, at in said.items():
        world.note(f"minion {worker}: the store took `draining`", at)
    for worker, at in left.items():
        world.note(f"minion {worker} leaves", at)
    is_broken = False
    lost = 0
    for event in world.read_events("start"):
        at = said.get(event["worker"])
        if at is None:
            continue
        is_done = (event["worker"], event["task"], event["run"]) in done
        world.note(
            f"minion {event['worker']}: start {event['task']} "
            f"run {event['run']}, {event['at'] - at:.2f} s after its report, "
            f"{'done' if is_done else 'work lost'}",
            event["at"],
        )
        if event["at"] - at > DRAIN_MS / 1000 and not event.get("late"):
            is_broken = True
            lost += not is_done
    world.note(f"runs that began too late and whose work is lost: {lost}")
    return is_broken


if __name__ == "__main__":
    sys.exit(worlds.run(play, workers=MINIONS, zones=ZONES, bounds=BOUNDS))
