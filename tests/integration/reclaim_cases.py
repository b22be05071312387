"""Cases that reclaim a guaranteed shape from a full pool under a fault.

As a program, runs the cases named by its arguments.
"""

import sys
import time
from typing import NamedTuple

import gevent

from chervilcove.standins import evidence
from chervilcove.standins import worker as workers
from tests import waits
from tests.integration import case_runner
from tests.integration import faults
from tests.integration import system as systems

GUARANTEE = {
    "name": "survey",
    "accelerators": 8,
    "adjacent": "worker",
    "count": 2,
    "data_centres": [],
}
LONG_RUN_S = 600.0
RECLAIM_MAX_POLLS = int(2 * evidence.RECLAIM_LIMIT_S / waits.POLL_INTERVAL_S)


def _inject_nothing(target):
    pass


def _block_checkpoints(target):
    for worker in target.system.workers:
        worker.faults = workers.Faults(checkpoint_s=60.0)


def _partition_workers(*names):
    """Return a fault that partitions the named workers permanently."""

    def inject(target):
        for name in names:
            target.system.worker_proxies[name].partition()

    return inject


CASES = {
    "nothing_fails": _inject_nothing,
    "checkpoints_never_end": _block_checkpoints,
    "connections_silent": faults.FAULTS["workers_silent"],
    "log_answers_lost": faults.FAULTS["log_answers_lost"],
    "log_reset": faults.FAULTS["log_reset"],
    "log_cut_off": faults.FAULTS["log_cut_off"],
    "log_slow": faults.FAULTS["log_slow"],
    "entry_killed": faults.FAULTS["entry_killed"],
    "entry_replaced": faults.FAULTS["entry_replaced"],
    "a_worker_cut_off": _partition_workers("worker-0"),
    "two_workers_cut_off": _partition_workers("worker-0", "worker-1"),
    "workers_delayed": faults.FAULTS["worker_delayed"],
    "operators_race": faults.FAULTS["operators_race"],
}


class Outcome(NamedTuple):
    """Findings of one case."""

    findings: dict[str, evidence.Finding]
    error: str = ""


def run(name: str) -> Outcome:
    """Run the case of this name."""
    system = systems.System(guarantees=[GUARANTEE])
    system.start()
    try:
        return Outcome(_run_in_system(system, name))
    except (AssertionError, gevent.Timeout) as error:
        return Outcome({}, f"{type(error).__name__}: {error}")
    finally:
        system.stop()


def _run_in_system(system, name):
    batch_jobs = [
        system.submit(
            customer="families",
            tasks=1,
            accelerators=8,
            urgency="batch",
            payload={"run_s": LONG_RUN_S},
        )
        for _ in system.workers
    ]
    system.wait(
        lambda: (
            sum(len(system.list_running(job)) for job in batch_jobs)
            == len(batch_jobs)
        ),
        describe=lambda: "the batch jobs do not fill the pool",
    )
    CASES[name](faults.FaultTarget(system, batch_jobs[0]))
    asked_at = time.time()
    job = system.submit(
        tasks=1,
        accelerators=8,
        urgency="urgent",
        payload={"run_s": 0.2 * systems.SPEED},
    )
    system.reclaims.append(evidence.Reclaim(job, asked_at, 1))
    system.wait(
        lambda: any(task["job"] == job for task in system.list_observations()),
        max_polls=RECLAIM_MAX_POLLS,
        describe=lambda: f"the urgent job did not start: {system.get_job(job)}",
    )
    return evidence.check_all(system.collect_evidence())


if __name__ == "__main__":
    case_runner.run_cases(run, sys.argv[1:])
