"""One job that can never be done closes all minions to everybody's jobs."""

import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
SHARED = FOLDER.parent / "shared-3"
sys.path.insert(0, str(SHARED))
import world as worlds  # noqa: E402

MINIONS = 24
# The site file: poison, share 0.05 to 0.062 of the jobs, for_s 3.0; the width
# of `reminder-batch` is 94 at most, and part of its jobs are kept apart.
POISON_TASKS, POISON_APART = 48, 2
JOBS = 19  # beside the one that can't be done: a share of 0.05
SPREAD_S = 3.0
WAIT_S = 3.0  # LOST: for 3 s, a job has nothing running
POISON = "00000000000000f1"
POISON_STEPS = [
    {
        "count": POISON_TASKS,
        "cpu": 1000,
        "mem_mb": 1000,
        "gpu": 1,
        "est_ms": 1000,
        "anti_affinity": POISON_APART,
    }
]
STEPS = [{"count": 1, "cpu": 1000, "mem_mb": 1000, "gpu": 1, "est_ms": 2500}]


def submit(world, job, steps, queue, spec):
    """Hand a job in; it must be accepted."""
    world.announce(job, steps)
    body = {"spec": json.dumps(spec), "steps": steps}
    if world.ask(0, "POST", f"/{queue}/{job}", body)[0] != 200:
        raise worlds.CannotRunError("a job was not accepted")


def play(world):
    began = time.monotonic()
    spec = {"work_ms": 1000, "fails": world.trouble}
    submit(world, POISON, POISON_STEPS, "batch", spec)
    handed_in = []
    for number in range(JOBS):
        at = began + (number + 1) * SPREAD_S / JOBS
        time.sleep(max(0.0, at - time.monotonic()))
        job = f"{number:016x}"
        submit(world, job, STEPS, "usual", {"work_ms": 2500})
        handed_in.append((job, time.monotonic()))
    time.sleep(9.0)
    world.note_runs(POISON)
    events = world.read_events("start", "end")
    is_broken = False
    for job, at in handed_in:
        starts = [
            one["at"]
            for one in events
            if one["kind"] == "start" and one["task"].startswith(job)
        ]
        begun = starts[0] if starts else time.monotonic()
        # The GPUs in use when it had waited for 3 s, of 8 on each minion.
        running = 0
        for one in events:
            if one["at"] <= at + WAIT_S:
                running += 1 if one["kind"] == "start" else -1
        world.note(
            f"{job}: nothing running for {begun - at:.2f} s; after 3 s "
            f"{running} of {8 * MINIONS} GPUs in use",
            at,
        )
        if begun - at > WAIT_S and running * 2 < 8 * MINIONS:
            is_broken = True
    return is_broken


if __name__ == "__main__":
    sys.exit(
        worlds.run(
            play,
            FOLDER,
            workers=MINIONS,
            zones=4,
            minions=(str(SHARED / "minions.py"),),
        )
    )
