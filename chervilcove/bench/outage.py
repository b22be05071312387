"""Benchmarks of outages, kills and planned stops of entries.

The product starts no processes, so the entries run in this process and a kill
ends an entry without a drain; tests/integration kills real processes. Times
are read from the records of the stand-ins.
"""

import itertools
import json
import pathlib
import random
import time
from typing import Any

import gevent

from chervilcove.core import errors
from chervilcove.core import http
from chervilcove.core import identifiers
from chervilcove.demo import deployments
from chervilcove.demo import system as systems
from chervilcove.standins import log

DEPLOYMENT = "nile-limescale"
ENTRY_COUNT = 4
DATA_CENTRE = "Maadi"
CENTRE_OUT_TRIAL_COUNT = 5
CENTRE_OUT_TARGET_S = 3.0
SUBMIT_INTERVAL_S = 0.05
SETTLE_S = 4.0
LONG_RUN_S = 600.0
GANG_COUNT = 12
OUTAGE_S = 20.0
BACKLOG_JOB_COUNT = 60
APPEND_WINDOW_S = 1.0
APPENDS_TARGET_PER_S = 300
IN_FLIGHT_COUNT = 12
WORK_MS = 600.0


class Testbed:
    """Run a demo deployment and submit work to it.

    Args:
        seed: Seed of the choice of entries to stop.
    """

    def __init__(self, *, seed: int):
        deployment = deployments.load_deployment(DEPLOYMENT)
        self.system = systems.System(deployment=deployment)
        self.timing = deployment.settings["leases"]
        self.balancer = systems.Balancer(system=self.system)
        self.customer = deployment.list_added("customer")[-1]
        self.service = deployment.list_added("service")[0]["name"]
        self._random = random.Random(seed)
        self._numbers = itertools.count(1)

    def start(self) -> None:
        """Start the system and submit its first configuration note.

        Raises:
            RuntimeError: The note was refused.
        """
        self.system.start(entry_count=ENTRY_COUNT)
        note = self.system.build_first_note()
        answer = self.balancer.call_json("POST", "/v1/notes", note)
        if errors.is_refusal(answer):
            raise RuntimeError(
                f"entry refused the first configuration note: {answer.reason}"
            )

    def stop(self) -> None:
        """Stop the system."""
        self.system.stop()

    def submit(
        self,
        *,
        tasks: int,
        accelerators: int,
        run_s: float,
        data_centre: str = "",
    ) -> Any:
        """Submit a job and return its id, or a refusal.

        The job may run in any data centre if `data_centre` is empty.
        """
        spec = {
            "key": f"bench-{next(self._numbers)}",
            "customer": self.customer["name"],
            "team": self.customer["teams"][0]["name"],
            "urgency": "batch",
            "tasks": tasks,
            "accelerators": accelerators,
            "declared_run_s": run_s,
            "data_centres": [data_centre] if data_centre else [],
            "payload": {"run_s": run_s},
        }
        answer = self.balancer.call_json("POST", "/v1/jobs", spec)
        return answer if errors.is_refusal(answer) else answer["job"]

    def set_data_centre_in_service(self, in_service: bool) -> float:
        """Take `DATA_CENTRE` out of service or back into it.

        Returns:
            The time at which the change was accepted, in Unix seconds.

        Raises:
            RuntimeError: The change was refused.
        """
        configuration = self.balancer.call_json("GET", "/v1/configuration")
        change = {"type": "data_centre", "name": DATA_CENTRE}
        note = {
            "id": identifiers.create_id("note"),
            "author": "bench",
            "base_revision": configuration["revision"],
            "added": [],
            "changed": [{**change, "in_service": in_service}],
            "withdrawn": [],
        }
        answer = self.balancer.call_json("POST", "/v1/notes", note)
        if errors.is_refusal(answer):
            raise RuntimeError(
                f"entry refused the data centre change: {answer.reason}"
            )
        return time.time()

    def choose_entry(self) -> str:
        """Return the name of a random entry."""
        return self._random.choice(sorted(self.system.entries))

    def list_observations(self, data_centre: str = "") -> list[Any]:
        """Return the task records of the workers in a data centre, or all."""
        data_centres = {
            spec["name"]: spec["data_centre"]
            for spec in self.system.deployment.list_added("worker")
        }
        return [
            observation
            for name, worker in self.system.workers.items()
            for observation in worker.observations
            if not data_centre or data_centres[name] == data_centre
        ]

    def start_gangs(self) -> set[tuple[str, int]]:
        """Start long gangs on two workers each.

        Returns:
            The job and attempt of each gang, once all their tasks run.
        """
        jobs = [
            self.submit(tasks=2, accelerators=4, run_s=LONG_RUN_S)
            for _ in range(GANG_COUNT)
        ]
        submitted = {job for job in jobs if not errors.is_refusal(job)}
        self.system.wait(
            lambda: (
                sum(self._count_running(submitted).values())
                == 2 * len(submitted)
            )
        )
        return set(self._count_running(submitted))

    def _count_running(self, jobs: set[str]) -> dict[tuple[str, int], int]:
        """Return the number of running tasks by job and attempt."""
        counts: dict[tuple[str, int], int] = {}
        for observation in self.list_observations():
            if observation["job"] in jobs and not observation["ended_at"]:
                key = (observation["job"], observation["attempt"])
                counts[key] = counts.get(key, 0) + 1
        return counts

    def count_lost(self, gangs: set[tuple[str, int]]) -> int:
        """Return the number of `gangs` with a task that ended."""
        return len(
            {
                (observation["job"], observation["attempt"])
                for observation in self.list_observations()
                if observation["ended_at"]
            }
            & gangs
        )

    def list_renewals(self) -> dict[tuple[str, int], float]:
        """Return the time since which all workers of a gang were renewed.

        This is the earliest of the last renewals on the gang's workers, by job
        and attempt.
        """
        renewed_at: dict[tuple[str, int], float] = {}
        for worker in self.system.workers.values():
            for key, at in worker.list_renewals().items():
                renewed_at[key] = min(at, renewed_at.get(key, at))
        return renewed_at


def measure_data_centre_removal(testbed: Testbed) -> dict[str, Any]:
    """Measure the time from a data centre's removal to its last start."""
    lags_s = []
    submitter = gevent.spawn(_submit_short_jobs, testbed)
    for _ in range(CENTRE_OUT_TRIAL_COUNT):
        gevent.sleep(1.0)
        accepted_at = testbed.set_data_centre_in_service(False)
        gevent.sleep(SETTLE_S)
        start_lags_s = [
            observation["started_at"] - accepted_at
            for observation in testbed.list_observations(DATA_CENTRE)
        ]
        lags_s.append(max(start_lags_s, default=0.0))
        testbed.set_data_centre_in_service(True)
    submitter.kill()
    start_count = len(testbed.list_observations(DATA_CENTRE))
    return {
        "last_start_s": [round(lag_s, 3) for lag_s in lags_s],
        "starts_seen": start_count,
        "target_s": CENTRE_OUT_TARGET_S,
        "met": start_count > 0 and max(lags_s) <= CENTRE_OUT_TARGET_S,
    }


def measure_kill(testbed: Testbed) -> dict[str, Any]:
    """Measure the time from an entry's kill to the renewal of all gangs."""
    gangs = testbed.start_gangs()
    gevent.sleep(testbed.timing["renew_s"])
    killed_at = time.time()
    testbed.system.kill_entry(testbed.choose_entry())
    target_s = testbed.timing["run_ttl_s"]
    testbed.system.wait(
        lambda: _count_renewed(testbed, gangs, killed_at) == len(gangs),
        timeout_s=target_s + 2.0,
    )
    renewed_at = testbed.list_renewals()
    waits_s = [
        renewed_at[gang] - killed_at for gang in gangs if gang in renewed_at
    ]
    lost = testbed.count_lost(gangs)
    return {
        "gangs": len(gangs),
        "renewed": _count_renewed(testbed, gangs, killed_at),
        "last_renewal_s": round(max(waits_s, default=0.0), 3),
        "lost": lost,
        "target_s": target_s,
        "met": not lost and 0 < max(waits_s, default=0.0) <= target_s,
    }


def measure_drain(testbed: Testbed) -> dict[str, Any]:
    """Measure a planned stop and count the in-flight requests it answers."""
    name = testbed.choose_entry()
    calls = [
        gevent.spawn(_send_request, testbed, name, index)
        for index in range(IN_FLIGHT_COUNT)
    ]
    gevent.sleep(WORK_MS / 2_000.0)
    started = time.monotonic()
    testbed.system.drain_entry(name)
    elapsed_s = time.monotonic() - started
    gevent.joinall(calls)
    answered = sum(call.value == 200 for call in calls)
    return {
        "in_flight": IN_FLIGHT_COUNT,
        "answered": answered,
        "stop_s": round(elapsed_s, 3),
        "met": answered == IN_FLIGHT_COUNT,
    }


def measure_log_outage(testbed: Testbed) -> dict[str, Any]:
    """Measure the gangs that a log outage costs, and the recovery after it.

    The recovery is measured by the time to accept the backlog of jobs and by
    the rate of appends.
    """
    gangs = testbed.start_gangs()
    testbed.system.log.faults = log.Faults(down=True)
    submitters = [
        gevent.spawn(_submit_until_accepted, testbed)
        for _ in range(BACKLOG_JOB_COUNT)
    ]
    gevent.sleep(OUTAGE_S)
    lost = testbed.count_lost(gangs)
    testbed.system.log.faults = log.Faults()
    recovery_started = time.monotonic()
    rates = _sample_appends(testbed, submitters)
    return {
        "outage_s": OUTAGE_S,
        "gangs": len(gangs),
        "lost": lost + testbed.count_lost(gangs),
        "backlog_jobs": BACKLOG_JOB_COUNT,
        "backlog_taken_s": round(time.monotonic() - recovery_started, 3),
        "most_appends_per_s": max(rates, default=0),
        "target_appends_per_s": APPENDS_TARGET_PER_S,
        "met": not lost and max(rates, default=0) <= APPENDS_TARGET_PER_S,
    }


BENCHMARKS = {
    "centre_out": measure_data_centre_removal,
    "kill": measure_kill,
    "drain": measure_drain,
    "log_outage": measure_log_outage,
}


def run(*, seed: int, report: str) -> dict[str, Any]:
    """Run all benchmarks, each in a new system.

    Args:
        seed: Seed of the choice of entries to stop.
        report: Path of the JSON report to write, empty for none.

    Returns:
        The report.
    """
    measured: dict[str, Any] = {"seed": seed}
    for name, measure in BENCHMARKS.items():
        testbed = Testbed(seed=seed)
        testbed.start()
        try:
            measured[name] = measure(testbed)
        finally:
            testbed.stop()
    if report:
        path = pathlib.Path(report)
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(json.dumps(measured, indent=2) + "\n")
    return measured


def has_met_targets(measured: dict[str, Any]) -> bool:
    """Return whether every benchmark met its target."""
    return all(measured[name]["met"] for name in BENCHMARKS)


def _submit_short_jobs(testbed: Testbed) -> None:
    while True:
        gevent.spawn(
            testbed.submit,
            tasks=1,
            accelerators=1,
            run_s=0.5,
            data_centre=DATA_CENTRE,
        )
        gevent.sleep(SUBMIT_INTERVAL_S)


def _submit_until_accepted(testbed: Testbed) -> None:
    while errors.is_refusal(testbed.submit(tasks=1, accelerators=1, run_s=0.5)):
        gevent.sleep(0.5)


def _count_renewed(
    testbed: Testbed, gangs: set[tuple[str, int]], since: float
) -> int:
    renewed_at = testbed.list_renewals()
    return sum(renewed_at.get(gang, 0.0) > since for gang in gangs)


def _sample_appends(testbed: Testbed, submitters: list[Any]) -> list[int]:
    rates = []
    while not all(submitter.ready() for submitter in submitters):
        appends_before = testbed.system.log.appends
        gevent.sleep(APPEND_WINDOW_S)
        rates.append(testbed.system.log.appends - appends_before)
    return rates


def _send_request(testbed: Testbed, entry: str, index: int) -> int:
    routed = testbed.balancer.call_entry(
        entry,
        "POST",
        f"/v1/services/{testbed.service}/requests",
        body=json.dumps({"work_ms": WORK_MS}).encode(),
        headers={
            "X-Customer": testbed.customer["name"],
            "X-Idempotent": "true" if index % 2 else "false",
            "X-Request-Key": f"drain-{index}",
        },
        timeout_s=15.0,
    )
    outcome = routed.outcome
    return outcome.status if isinstance(outcome, http.Reply) else 0
