"""Case 4: a task is started again after it ended `done` on a draining minion.

A minion drains, with 9 s left. The store is down for 4.5 s, so that its entry
expires, and the minion's zone is cut off as the store returns. The task ends
`done` meanwhile, under a lease that doesn't lapse.
"""

import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import review_platform as standins  # noqa: E402

# With TROUBLE=0 the script does the same without the disruption.
IS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOB = "00000000000000c4"
TASK = f"{JOB}.0.0.0"
TASK_S = 9.5
DRAIN_AT_S = 3.0  # after the start of the task
REMAINING_S = 9.0  # `drain_ms` and the `linger_ms` of the site file
STORE_DOWN_AT_S = 3.1
STORE_DOWN_S = 4.5  # `platform_down` in the site file
ZONE_CUT_AT_S = 6.1  # 1.5 s before the store is back
ZONE_CUT_S = 4.5  # `zone_cut` has 5 s by default in `fleetbench kinds`
WATCH_S = 22.0


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
    zone = next(one.zone for one in system.entries if one is not owner)
    step = {
        "count": 1,
        "cpu": 8000,
        "mem_mb": 4096,
        "gpu": 8,
        "est_ms": int(TASK_S * 1000),
        "affinity": f"r1-{zone}",
    }
    system.submit(owner, JOB, [step], f"ms={int(TASK_S * 1000)}")
    system.wait_until(lambda: system.starts, 5, "the task does not start")
    began = time.monotonic()
    name = system.starts[0][3]
    minion = next(one for one in system.minions if one.name == name)
    if IS_TROUBLE:
        sleep_until(began + DRAIN_AT_S)
        minion.drain(REMAINING_S)
        sleep_until(began + STORE_DOWN_AT_S)
        system.record.write("store_down", for_s=STORE_DOWN_S)
        system.store.is_down = True
        sleep_until(began + ZONE_CUT_AT_S)
        system.cut_zone(minion.zone, True)
        sleep_until(began + STORE_DOWN_AT_S + STORE_DOWN_S)
        system.record.write("store_back")
        system.store.is_down = False
        sleep_until(began + ZONE_CUT_AT_S + ZONE_CUT_S)
        system.cut_zone(minion.zone, False)
    sleep_until(began + WATCH_S)
    broken = standins.find_overlaps(system.starts, system.ends)
    broken += standins.find_starts_after_done(system)
    for one in broken:
        system.record.write("broken", starts=one)
    if not any(how == "done" for *_, how in system.ends):
        raise TimeoutError("the task did not end")
    system.record.write("verdict", broken=bool(broken))
    return int(bool(broken))


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
