"""A job that was cancelled runs, since a frozen entry accepts it later."""

import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "shared-3"))
import world as worlds  # noqa: E402

FREEZE_S = 4.0  # the site file: node_freeze, count 1, for_s 4.0
PATIENCE_S = 0.6  # give_up: consumers leave within 900 ms
CANCEL_MS, STOP_MS, CONTACT_MS = 3000, 400, 3000
JOB = "5c0e7a21d94b36f8"
PATH = f"/usual/{JOB}"
STEPS = [{"count": 1, "cpu": 1000, "mem_mb": 100, "gpu": 1, "persistent": True}]


def play(world):
    """Play the case; return whether the rule was broken."""
    owner = world.find_owner()
    frozen = (owner + 1) % world.entries
    other = (owner + 2) % world.entries
    world.note(f"owner entry-{owner}; entry-{frozen} is to freeze")
    world.announce(JOB, STEPS)
    thaw = None
    if world.trouble:
        world.signal(f"entry-{frozen}", signal.SIGSTOP)
        thaw = threading.Timer(
            FREEZE_S, world.signal, (f"entry-{frozen}", signal.SIGCONT)
        )
        thaw.start()
        time.sleep(0.05)
    # The consumer hands its job in, gets no answer and gives up.
    body = {"spec": "x", "steps": STEPS}
    world.ask(frozen, "POST", PATH, body, seconds=PATIENCE_S)
    if not world.trouble:
        time.sleep(1.0)
    # It cancels, so that nothing is left of it.
    acknowledged = None
    for _ in range(10):
        status, _ = world.ask(other, "DELETE", PATH)
        if 200 <= status < 300 or status == 410:
            acknowledged = time.monotonic()
            break
        time.sleep(0.2)
    if acknowledged is None:
        raise worlds.CannotRunError("the cancel was not acknowledged")
    calm_from = acknowledged
    if thaw is not None:
        thaw.join()
        calm_from = time.monotonic() + CONTACT_MS / 1000
    # Calm for far longer than contact_ms, cancel_ms and stop_ms together.
    time.sleep(CONTACT_MS / 1000 + CANCEL_MS / 1000 + STOP_MS / 1000 + 4.0)
    world.ask(other, "GET", PATH)
    ended = {
        (one["task"], one["run"]): one["at"]
        for one in world.read_events("end")
        if one["task"].startswith(JOB)
    }
    is_broken = False
    now = time.monotonic()
    for start in world.read_events("start"):
        if not start["task"].startswith(JOB):
            continue
        late_s = start["at"] - acknowledged
        if late_s > CANCEL_MS / 1000:
            world.note(f"started {late_s:.2f} s after the acknowledgement")
            is_broken = True
        gone = ended.get((start["task"], start["run"]), now)
        # "A task of a cancelled job has to be gone after any such stretch of
        # `cancel_ms` + `stop_ms`", with no disturbance near.
        ran_on_s = gone - calm_from - (CANCEL_MS + STOP_MS) / 1000
        if ran_on_s > 0:
            world.note(f"runs on for {ran_on_s:.2f} s after such a stretch")
            is_broken = True
    return is_broken


if __name__ == "__main__":
    sys.exit(worlds.run(play))
