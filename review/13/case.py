"""Sound minions get no work, since the system itself halts what fills there."""

import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
SHARED = FOLDER.parent / "shared-3"
sys.path.insert(0, str(SHARED))
import world as worlds  # noqa: E402

MINIONS = 6
BURST_S = 6.0  # the site file: burst, visit-booking, for_s 6.0; more than once
BURSTS_AT = (0.0, 16.0, 38.0)
TARGET_MS = 100
CALM_TAIL_MS, BURST_TAIL_MS = 40, 180
JOBS, FIRST_JOB_S = 5, 5.0  # in the last burst, from its fifth second on
FINISH_S, WAIT_S = 14.0, 3.0
SERVE = "00000000000000a1"
SERVE_STEPS = [
    {
        "count": MINIONS,
        "cpu": 4000,
        "mem_mb": 1000,
        "anti_affinity": 1,
        "persistent": True,
        "image_ref": "web",
        "target_ms": TARGET_MS,
    }
]
FILL = "00000000000000b1"
FILL_STEPS = [
    {
        "count": MINIONS,
        "cpu": 8000,
        "mem_mb": 1000,
        "anti_affinity": 1,
        "fill_count": 1,
        "image_ref": "batch",
        "est_ms": 100000,
    }
]
JOB_STEPS = [
    {"count": 1, "cpu": 1000, "mem_mb": 1000, "gpu": 1, "est_ms": 2500}
]


def submit(world, job, steps, queue, work_ms):
    """Hand a job in; it must be accepted."""
    world.announce(job, steps)
    body = {"spec": json.dumps({"work_ms": work_ms}), "steps": steps}
    if world.ask(0, "POST", f"/{queue}/{job}", body)[0] != 200:
        raise worlds.CannotRunError("a job was not accepted")


def list_starts(world, job):
    """Return the starts of a job's tasks."""
    return [
        one for one in world.read_events("start") if one["task"].startswith(job)
    ]


def wait_for_starts(world, job, count, seconds):
    """Wait until so many tasks of a job have started; return whether."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if len(list_starts(world, job)) >= count:
            return True
        time.sleep(0.05)
    return False


def play(world):
    """Play the case; return whether the rule was broken."""
    world.control("workers", "tail", ms=CALM_TAIL_MS)
    submit(world, SERVE, SERVE_STEPS, "usual", 1)
    submit(world, FILL, FILL_STEPS, "batch", 100000)
    for job in (SERVE, FILL):
        if not wait_for_starts(world, job, MINIONS, 10):
            raise worlds.CannotRunError("the tasks did not start")
    world.note("each minion has one task that serves and one that fills")
    time.sleep(6.0)
    began = time.monotonic()
    handed_in = []
    for burst_at in BURSTS_AT:
        time.sleep(max(0.0, began + burst_at - time.monotonic()))
        if world.trouble:
            world.control("workers", "tail", ms=BURST_TAIL_MS)
            world.note(f"the tasks that serve are at {BURST_TAIL_MS} ms")
        for number in range(JOBS if burst_at == BURSTS_AT[-1] else 0):
            # Small jobs, for minions with 8 free GPUs each.
            at = began + burst_at + FIRST_JOB_S + number * 0.2
            time.sleep(max(0.0, at - time.monotonic()))
            job = f"{number:016x}"
            submit(world, job, JOB_STEPS, "usual", 2500)
            handed_in.append((job, time.monotonic()))
        time.sleep(max(0.0, began + burst_at + BURST_S - time.monotonic()))
        world.control("workers", "tail", ms=CALM_TAIL_MS)
        world.note(f"the tasks that serve are at {CALM_TAIL_MS} ms")
    # The traffic has ended; nothing else happens from here on.
    asked = time.monotonic() + FINISH_S
    world.note("end of the traffic")
    time.sleep(FINISH_S + WAIT_S + 1.0)
    for event in world.read_events("pace"):
        world.note(
            f"minion {event['worker']}: pace {event['pct']} {event['task']}",
            event["at"],
        )
    is_broken = False
    for job, at in handed_in:
        starts = list_starts(world, job)
        begun = "not begun"
        if starts:
            begun = f"begun {starts[0]['at'] - at:.2f} s later"
        world.note(f"{job}: {begun}", at)
        # Only these jobs take GPUs, and one of 8 on a minion each.
        if not starts or starts[0]["at"] > asked + WAIT_S:
            is_broken = True
    world.note_runs(FILL)
    return is_broken


if __name__ == "__main__":
    sys.exit(
        worlds.run(
            play,
            FOLDER,
            workers=MINIONS,
            minions=(str(SHARED / "minions.py"),),
        )
    )
