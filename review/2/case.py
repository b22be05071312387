"""Case 2: a task starts again over a second after its job was shown as done.

The store is down for 4.5 s. Meanwhile tasks end `done`, the owner shows their
jobs as `done`, and then the owner's zone loses power, with its minions.
"""

import os
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import review_platform as standins  # noqa: E402

# With TROUBLE=0 the script does the same without the disruption.
IS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOBS = [f"00000000000c2{number:03x}" for number in range(8)]
TASK_S = 6.0
STORE_DOWN_AT_S = 5.0  # after the jobs are submitted
STORE_DOWN_S = 4.5  # `platform_down` in the site file
POWER_LOST_AT_S = 7.2
POWER_LOST_S = 5.0  # `zone_loss`, the default of `fleetbench kinds`
BACK_WITHIN_S = 1.5  # machines and servers come back within 1.5 s
CONTACT_S = 3.0  # `contact_ms`
SHOWN_S = 1.0  # "over a second after"
WATCH_S = 30.0


def main():
    """Return 1 if the rule was broken, 0 if it held."""
    system = standins.Deployment(
        FOLDER,
        zones=("giza", "heliopolis", "maadi", "shubra"),
        entries=1,
        minions=2,
    )
    try:
        system.wait_ready()
        return play(system)
    finally:
        system.stop()


def play(system):
    """Play the day; return the exit code."""
    owner = system.find_owner()
    began = time.monotonic()
    # A task of 8 accelerators each, so that each minion gets one.
    step = {"count": 1, "cpu": 8000, "mem_mb": 4096, "gpu": 8, "est_ms": 6000}
    for job in JOBS:
        system.submit(owner, job, [step], f"ms={int(TASK_S * 1000)}")
    shown = {}  # seconds at which a job was first shown as done
    threading.Thread(
        target=ask_all, args=(system, owner, shown), daemon=True
    ).start()
    store_back_at = float("-inf")
    if IS_TROUBLE:
        sleep_until(began + STORE_DOWN_AT_S)
        system.record.write("store_down", for_s=STORE_DOWN_S)
        system.store.is_down = True
        sleep_until(began + POWER_LOST_AT_S)
        system.record.write("zone_loss", zone=owner.zone, for_s=POWER_LOST_S)
        owner.kill()
        lost = [one for one in system.minions if one.zone == owner.zone]
        for minion in lost:
            minion.crash()
        sleep_until(began + STORE_DOWN_AT_S + STORE_DOWN_S)
        system.store.is_down = False
        store_back_at = system.record.write("store_back")
        sleep_until(began + POWER_LOST_AT_S + POWER_LOST_S + BACK_WITHIN_S / 2)
        owner.start()
        for minion in lost:
            minion.restart()
    sleep_until(began + WATCH_S)
    return judge(system, owner, shown, store_back_at)


def ask_all(system, entry, shown):
    """Ask `entry` for each job until it is shown as done."""
    while len(shown) < len(JOBS) and entry.process.poll() is None:
        for job in JOBS:
            if job not in shown and system.ask(entry, job, 0.5) == "done":
                shown[job] = system.record.now()
        time.sleep(0.05)


def judge(system, killed, shown, store_back_at):
    """Return 1 if a task of a job shown as done was started again.

    A start counts from `contact_ms` after the return of the store, if its fence
    is the epoch of an entry without disturbance, not of the one that lost power.
    """
    owner = system.find_owner()
    if owner is None or (owner is killed and IS_TROUBLE):
        raise TimeoutError("the owner is not an entry without disturbance")
    if not shown:
        raise TimeoutError("no job was shown as done")
    _, epoch = owner.read_owner()
    broken = False
    for at, task, run, minion in system.starts:
        seen_at = shown.get(task.split(".")[0], float("inf"))
        is_in_touch = (
            at > store_back_at + CONTACT_S and system.fences[task, run] == epoch
        )
        if at > seen_at + SHOWN_S and is_in_touch:
            system.record.write(
                "broken",
                task=task,
                run=run,
                minion=minion,
                started_at=round(at, 3),
                shown_done_at=round(seen_at, 3),
                owner=owner.name,
                epoch=epoch,
            )
            broken = True
    system.record.write("verdict", broken=broken, shown=len(shown))
    return int(broken)


def sleep_until(at):
    """Sleep until `at`, monotonic seconds."""
    time.sleep(max(0.0, at - time.monotonic()))


if __name__ == "__main__":
    try:
        CODE = main()
    except Exception as error:  # noqa: BLE001
        print(f"could not run: {error!r}", file=sys.stderr)
        CODE = 2
    sys.exit(CODE)
