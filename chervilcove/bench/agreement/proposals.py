"""Latency of proposals and notes, and the number of appends they take."""

import time
from typing import Any

import gevent

from chervilcove.bench.agreement import sizes
from chervilcove.bench.agreement import system
from chervilcove.bench.agreement import utils
from chervilcove.core import errors
from chervilcove.core import identifiers
from chervilcove.journal import records
from chervilcove.journal import snapshots

ENTRY_COUNT = 6
WORKER_COUNT = 24
JOB_COUNT = 60
NOTE_COUNT = 40
CLAIM_COUNT = 1_200
CLAIM_CONCURRENCY = 8
JOB_RUN_S = 0.2
TIMEOUT_S = 60.0
IDLE_WINDOW_S = 2.0


def measure() -> dict[str, Any]:
    """Measure notes, claims and jobs on entries that share one log.

    The time that a joining entry takes to become ready is measured in a
    system of its own.
    """
    shared = system.System(entries=ENTRY_COUNT, workers=WORKER_COUNT)
    shared.start()
    try:
        figures = {
            "notes": _measure_notes(shared),
            "claims": _measure_claims(shared),
            "jobs": _measure_jobs(shared),
        }
    finally:
        shared.stop()
    figures["joiner"] = _measure_joiner()
    return figures


def _measure_notes(shared: system.System) -> dict[str, Any]:
    """Measure the time from a note's submission until all entries apply it.

    The time until the note is accepted is measured as well.
    """
    accepted = utils.Times()
    in_force = utils.Times()
    for number in range(NOTE_COUNT):
        entry = shared.entries[number % ENTRY_COUNT]
        revision = entry.replica.state.core["configuration"]["revision"]
        note = shared.build_change(number, revision)
        started = time.monotonic()
        answer = shared.call(entry, "POST", "/v1/notes", note)
        if errors.is_refusal(answer):
            raise RuntimeError(answer.reason)
        accepted.add(time.monotonic() - started)
        utils.wait_until(
            lambda target_revision=answer["revision"]: all(
                other.replica.state.core["configuration"]["revision"]
                >= target_revision
                for other in shared.entries
            ),
            timeout_s=TIMEOUT_S,
        )
        in_force.add(time.monotonic() - started)
    return {"accepted": accepted.describe(), "in_force": in_force.describe()}


def _measure_claims(shared: system.System) -> dict[str, Any]:
    times = utils.Times()
    appends_before = shared.log.appends
    claims_per_greenlet = CLAIM_COUNT // ENTRY_COUNT // CLAIM_CONCURRENCY

    def propose_claims(entry: Any, index: int) -> None:
        for number in range(claims_per_greenlet):
            body = records.ClaimItem(
                customer="customer-0",
                service="desk",
                key=f"{entry.name}-{index}-{number}",
                digest="0" * 32,
                owner=entry.incarnation,
            )
            started = time.monotonic()
            outcome = entry.replica.propose(
                [records.Item("claim", body)], timeout_s=TIMEOUT_S
            )
            if outcome != ["claimed"]:
                raise RuntimeError(str(outcome))
            times.add(time.monotonic() - started)

    started = time.monotonic()
    greenlets = [
        gevent.spawn(propose_claims, entry, index)
        for entry in shared.entries
        for index in range(CLAIM_CONCURRENCY)
    ]
    gevent.joinall(greenlets, raise_error=True)
    elapsed_s = time.monotonic() - started
    claim_count = claims_per_greenlet * ENTRY_COUNT * CLAIM_CONCURRENCY
    return {
        **times.describe(),
        "claims_per_s": claim_count / elapsed_s,
        "appends_per_claim": (shared.log.appends - appends_before)
        / claim_count,
    }


def _measure_jobs(shared: system.System) -> dict[str, Any]:
    """Measure the appends per job and, for comparison, of an idle system."""
    appends_before = shared.log.appends
    started = time.monotonic()
    gevent.sleep(IDLE_WINDOW_S)
    idle_per_s = (shared.log.appends - appends_before) / (
        time.monotonic() - started
    )
    appends_before = shared.log.appends
    started = time.monotonic()
    names = []
    for number in range(JOB_COUNT):
        entry = shared.entries[number % ENTRY_COUNT]
        job = shared.build_job(number, run_s=JOB_RUN_S)
        answer = shared.call(entry, "POST", "/v1/jobs", job)
        if errors.is_refusal(answer):
            raise RuntimeError(answer.reason)
        names.append(answer["job"])
    jobs = shared.entries[0].replica.state.core["jobs"]
    utils.wait_until(
        lambda: all(
            name in jobs and jobs[name]["finished_at"] for name in names
        ),
        timeout_s=TIMEOUT_S,
    )
    elapsed_s = time.monotonic() - started
    appends = shared.log.appends - appends_before
    states = [jobs[name]["state"] for name in names]
    return {
        "completed": states.count("completed"),
        "jobs": JOB_COUNT,
        "appends_per_job": appends / JOB_COUNT,
        "idle_appends_per_s": idle_per_s,
        "elapsed_s": elapsed_s,
    }


def _measure_joiner() -> dict[str, Any]:
    """Measure the time from an entry's start to ready, at the design size."""
    state = sizes.build_writer().state
    content = state.dump()
    mark = state.core["offset"]
    digest = identifiers.digest(content)
    parts = snapshots.split(content)
    shared = system.System(entries=0, workers=0)
    shared.log.begin(records.DECISIONS, mark + 1)
    shared.start()
    for index, part in enumerate(parts):
        chunk = snapshots.encode_chunk(
            mark=mark, digest=digest, index=index, count=len(parts), part=part
        )
        shared.log.append(records.SNAPSHOTS, chunk)
    try:
        started = time.monotonic()
        joiner = shared.add_entry()
        utils.wait_until(
            lambda: joiner.replica.is_following, timeout_s=TIMEOUT_S
        )
        elapsed_s = time.monotonic() - started
        return {
            "ready_ms": elapsed_s * 1000,
            "snapshot_bytes": len(content),
            "jobs": len(joiner.replica.state.core["jobs"]),
        }
    finally:
        shared.stop()
