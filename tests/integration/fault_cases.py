"""Table of fault cases.

As a program, runs the cases named by its arguments.
"""

import sys
from typing import NamedTuple

import gevent

from chervilcove.standins import evidence
from tests.integration import case_runner
from tests.integration import faults
from tests.integration import system as systems

GANG_RUN_S = 1.5
LONG_GANG_RUN_S = 4.0
FAULT_DURATION_S = 1.2
# Long enough that entries refuse requests which need a claim.
CLAIM_REFUSAL_FAULT_DURATION_S = 7.0
REQUEST_PAUSE_S = 0.05

GANG = "gang_whole"
ONCE = "at_most_once"
OUT = "data_centre_out"
OWN = "own_answer"
NOT_RUN = "refused_not_run"
LEAVING = "leaving_minion"
QUEUED = "queued"
RUNNING = "running"


class Case(NamedTuple):
    """Faults, the state of the gang when they start, and checked conditions."""

    faults: tuple[str, ...]
    point: str
    conditions: tuple[str, ...]

    @property
    def name(self):
        return "+".join(self.faults) + f"-{self.point}"


def _case(names, point, *conditions):
    return Case(tuple(names.split()), point, conditions)


CASES = [
    _case("log_down", QUEUED, GANG, ONCE, OWN),
    _case("log_down", RUNNING, GANG, ONCE, OWN),
    _case("log_slow", QUEUED, GANG, ONCE, OWN),
    _case("log_answers_lost", QUEUED, GANG, ONCE, OWN),
    _case("log_answers_lost", RUNNING, GANG, ONCE, OWN),
    _case("log_silent", RUNNING, GANG, ONCE),
    _case("log_cut_off", QUEUED, GANG, ONCE),
    _case("log_cut_off", RUNNING, GANG, ONCE),
    _case("log_one_way", RUNNING, GANG, ONCE),
    _case("log_reset", RUNNING, GANG, ONCE),
    _case("log_cut_mid_frame", RUNNING, GANG, ONCE),
    _case("log_delayed", QUEUED, GANG, ONCE, OWN),
    _case("worker_cut_off", QUEUED, GANG, ONCE, OWN),
    _case("worker_cut_off", RUNNING, GANG, ONCE, OWN),
    _case("worker_refusing", QUEUED, GANG, ONCE),
    _case("worker_silent", QUEUED, GANG, ONCE),
    _case("worker_silent", RUNNING, GANG, ONCE),
    _case("worker_reset", QUEUED, GANG, ONCE),
    _case("worker_reset", RUNNING, GANG, ONCE),
    _case("worker_delayed", QUEUED, GANG, ONCE),
    _case("worker_deaf", RUNNING, GANG, ONCE),
    _case("worker_mute", QUEUED, GANG, ONCE),
    _case("worker_mute", RUNNING, GANG, ONCE),
    _case("worker_answers_lost", QUEUED, GANG, ONCE),
    _case("worker_answers_lost", RUNNING, GANG, ONCE),
    _case("worker_cut_mid_frame", QUEUED, GANG, ONCE),
    _case("worker_held", QUEUED, GANG, ONCE),
    _case("worker_held", RUNNING, GANG, ONCE),
    _case("worker_gone", RUNNING, GANG, ONCE),
    _case("worker_gone_deaf", RUNNING, GANG, ONCE),
    _case("worker_gone_mute", RUNNING, GANG, ONCE),
    _case("worker_killed", RUNNING, GANG, ONCE),
    _case("worker_failing", QUEUED, GANG, ONCE),
    _case("workers_silent", RUNNING, GANG, ONCE),
    _case("rack_lost", RUNNING, GANG, ONCE),
    _case("entry_killed", QUEUED, GANG, ONCE, OWN),
    _case("entry_killed", RUNNING, GANG, ONCE, OWN),
    _case("entry_replaced", RUNNING, GANG, ONCE, OWN),
    _case("list_down", RUNNING, GANG, ONCE),
    _case("centre_out", QUEUED, GANG, OUT, ONCE),
    _case("centre_out_and_back", RUNNING, GANG, OUT, ONCE),
    _case("centre_out_twice", RUNNING, GANG, OUT, ONCE),
    _case("centre_out_and_submits", RUNNING, GANG, OUT, ONCE),
    _case("operators_race", RUNNING, GANG, ONCE),
    _case("cancelled", RUNNING, GANG, ONCE),
    _case("cancel_wave", RUNNING, GANG, ONCE),
    _case("minion_killed", RUNNING, GANG, ONCE, OWN),
    _case("minion_answers_lost", RUNNING, GANG, ONCE, OWN),
    _case("minion_cut_mid_frame", RUNNING, GANG, ONCE, OWN),
    _case("minion_leaving", RUNNING, GANG, ONCE, OWN, LEAVING),
    _case("minion_silent", RUNNING, GANG, ONCE, OWN),
    # Pairs of faults.
    _case("minion_leaving entry_killed", RUNNING, GANG, OWN, LEAVING),
    _case("minion_leaving log_down", RUNNING, GANG, OWN, NOT_RUN, LEAVING),
    _case("log_down entry_killed", RUNNING, GANG, ONCE),
    _case("log_down worker_killed", RUNNING, GANG, ONCE),
    _case("log_down worker_silent", RUNNING, GANG, ONCE),
    _case("log_answers_lost entry_killed", QUEUED, GANG, ONCE),
    _case("log_answers_lost worker_mute", QUEUED, GANG, ONCE),
    _case("log_cut_off worker_reset", RUNNING, GANG, ONCE),
    _case("log_slow centre_out_and_submits", RUNNING, GANG, OUT, ONCE),
    _case("log_down worker_gone", RUNNING, GANG, ONCE),
    _case("entry_killed worker_gone_mute", RUNNING, GANG, ONCE),
    _case("log_slow worker_killed", RUNNING, GANG, ONCE),
    _case("log_cut_off centre_out", QUEUED, GANG, OUT, ONCE),
    _case("entry_killed worker_killed", RUNNING, GANG, ONCE),
    _case("entry_killed worker_silent", RUNNING, GANG, ONCE),
    _case("entry_killed centre_out_and_submits", RUNNING, GANG, OUT, ONCE),
    _case("entry_replaced log_answers_lost", RUNNING, GANG, ONCE),
    _case("list_down worker_silent", RUNNING, GANG, ONCE),
    _case("worker_held entry_killed", QUEUED, GANG, ONCE),
    _case("worker_mute cancelled", RUNNING, GANG, ONCE),
    _case("centre_out rack_lost", QUEUED, GANG, OUT, ONCE),
]


class Outcome(NamedTuple):
    """Findings of one case, and the final states of its two jobs."""

    findings: dict[str, evidence.Finding]
    jobs: list[str]
    error: str = ""


def _run_case(case):
    system = systems.System()
    system.start()
    try:
        return _run_in_system(system, case)
    except (AssertionError, gevent.Timeout) as error:
        return Outcome({}, [], f"{type(error).__name__}: {error}")
    finally:
        system.stop()


def _run_in_system(system, case):
    is_long = any("gone" in name for name in case.faults)
    run_s = LONG_GANG_RUN_S if is_long else GANG_RUN_S
    payload = {"run_s": run_s * systems.SPEED, "result": "ok"}
    job = system.submit(payload=payload)
    if case.point == RUNNING:
        system.wait(lambda: len(system.list_running(job)) == 2)
    callers = gevent.spawn(_send_requests, system)
    target = faults.FaultTarget(system, job)
    for name in case.faults:
        faults.FAULTS[name](target)
    once = gevent.spawn(
        system.submit,
        idempotent=False,
        tasks=2,
        accelerators=1,
        payload={"run_s": 0.5 * systems.SPEED},
    )
    gevent.sleep(
        CLAIM_REFUSAL_FAULT_DURATION_S
        if NOT_RUN in case.conditions
        else FAULT_DURATION_S
    )
    faults.heal(system)
    once.join()
    assert once.value is not None, "the second job was not accepted"
    jobs = [job, once.value]
    system.wait(
        lambda: all(system.is_finished(each) for each in jobs),
        describe=lambda: (
            f"unfinished: {[system.get_job(each) for each in jobs]}"
        ),
    )
    callers.kill()
    findings = evidence.check_all(system.collect_evidence())
    return Outcome(findings, [system.get_job(each)["state"] for each in jobs])


def _send_requests(system):
    number = 0
    while True:
        number += 1
        names = list(system.entries)
        system.read_revisions()
        gevent.spawn(
            system.send,
            entry=names[number % len(names)],
            key=f"request-{number}",
            idempotent=number % 2 == 0,
        )
        gevent.sleep(REQUEST_PAUSE_S)


def run(name: str) -> Outcome:
    """Run the case of this name."""
    return _run_case(next(case for case in CASES if case.name == name))


if __name__ == "__main__":
    case_runner.run_cases(run, sys.argv[1:])
