"""Jobs that can never be done close all minions to everybody's jobs."""

import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
SHARED = FOLDER.parent / "shared-3"
sys.path.insert(0, str(SHARED))
import world as worlds  # noqa: E402

MINIONS, GPUS = 24, 8
# The site nln-cluster-grown: poison, class reminder-batch, share 0.05, for_s
# 3.0. It may come more than once; here one spell follows the other.
BOUNDS = {"config_apply_ms": 3000, "max_stretch_ms": 6000}
JOBS, SPREAD_S = 60, 25.0  # 2.4 a second; the site has 6.5 of all kinds
POISON_AT = (0.0, 7.0, 20.0)  # three jobs of 60: a share of 0.05
POISON_TASKS, POISON_APART = 48, 2
WORK_MS = 6800
FINISH_S, WAIT_S = 14.0, 3.0
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
STEPS = [
    {"count": 1, "cpu": 40000, "mem_mb": 1000, "gpu": 1, "est_ms": WORK_MS}
]


def submit(world, job, steps, spec):
    """Hand a job in; it must be accepted."""
    world.announce(job, steps)
    body = {"spec": json.dumps(spec), "steps": steps}
    if world.ask(0, "POST", f"/batch/{job}", body)[0] != 200:
        raise worlds.CannotRunError("a job was not accepted")


def play(world):
    """Play the case; return whether the rule was broken."""
    began = time.monotonic()
    due = [(at, True) for at in POISON_AT]
    normal = JOBS - len(POISON_AT)
    due += [
        ((number + 1) * SPREAD_S / normal, False) for number in range(normal)
    ]
    handed_in = []
    for number, (at, is_poison) in enumerate(sorted(due)):
        time.sleep(max(0.0, began + at - time.monotonic()))
        job = f"{number:016x}"
        if is_poison:
            spec = {"work_ms": 1000, "fails": world.trouble}
            submit(world, job, POISON_STEPS, spec)
        else:
            submit(world, job, STEPS, {"work_ms": WORK_MS})
            handed_in.append((job, time.monotonic()))
    # The traffic has ended; nothing else happens from here on.
    asked = time.monotonic() + FINISH_S
    world.note("end of the traffic")
    time.sleep(FINISH_S + WAIT_S + 1.0)
    events = world.read_events("start", "end")
    running = most = 0
    for one in events:
        if one["at"] > asked + WAIT_S:
            break
        running += 1 if one["kind"] == "start" else -1
        if one["at"] <= asked:
            most = running
        most = max(most, running)
    world.note(f"at most {most} of {GPUS * MINIONS} GPUs in use from", asked)
    is_broken = False
    for job, at in handed_in:
        starts = [
            one["at"]
            for one in events
            if one["kind"] == "start" and one["task"].startswith(job)
        ]
        begun = f"begun {starts[0] - at:.2f} s later" if starts else "not begun"
        world.note(f"{job}: {begun}", at)
        waits = not starts or starts[0] > asked + WAIT_S
        if waits and most * 2 < GPUS * MINIONS:
            is_broken = True
    return is_broken


if __name__ == "__main__":
    sys.exit(
        worlds.run(
            play,
            workers=MINIONS,
            zones=4,
            bounds=BOUNDS,
            minions=(str(SHARED / "minions.py"),),
        )
    )
