"""Build the report: counts of jobs and requests, and the nine conditions."""

import collections
from typing import Any

from chervilcove.core import errors
from chervilcove.demo import system as systems
from chervilcove.standins import evidence

# Added to the lease time: calls are slow on a busy machine.
PARTIAL_SLACK_S = 2.0


def build_report(run: Any) -> dict[str, Any]:
    """Return the report of a finished `core.Run` as JSON values."""
    return {
        "deployment": run.deployment.name,
        "seconds": run.seconds,
        "seed": run.seed,
        "jobs": _count_jobs(run),
        "requests": _count_requests(run),
        "conditions": {
            name: finding._asdict()
            for name, finding in evidence.check_all(
                collect_evidence(run)
            ).items()
        },
        "notes_failed": run.script.failed_notes,
        "metrics_received": run.system.sink.received,
        "log_appends": run.system.log.appends,
    }


def collect_evidence(run: Any) -> evidence.Evidence:
    """Return what stand-ins, callers and operators of the run recorded."""
    system = run.system
    workers = run.deployment.list_added("worker")
    return evidence.Evidence(
        now=systems.get_unix_time(),
        observations=[
            observation
            for worker in system.workers.values()
            for observation in worker.observations
        ],
        kills=run.script.kills,
        partial_limit_s=systems.RUN_TTL_S + PARTIAL_SLACK_S,
        centres={item["name"]: item["data_centre"] for item in workers},
        executions=[
            execution
            for minion in system.minions.values()
            for execution in minion.records.list_executions()
        ],
        leaving={
            name: minion.records.leaving_since
            for name, minion in system.minions.items()
            if minion.is_leaving
        },
        outages=run.script.outages,
        reclaims=[
            evidence.Reclaim(call.job, call.asked_at, call.tasks)
            for call in run.load_generator.jobs
            if call.reclaims
        ],
        calls=run.load_generator.tries,
        stops=run.script.stops,
        probes=run.script.probes,
        readings=run.revision_readings,
    )


def render_summary(report: dict[str, Any]) -> str:
    """Return the report as text for the terminal."""
    lines = [
        f"deployment {report['deployment']}, seed {report['seed']}",
        "jobs      " + _render_counts(report["jobs"]),
        "requests  " + _render_counts(report["requests"]),
    ]
    for name, condition in report["conditions"].items():
        lines.append(
            f"{name:44} checked {condition['checked']:6} "
            f"violations {condition['violations']}"
        )
        lines += [f"    {example}" for example in condition["examples"]]
    return "\n".join(lines)


def _render_counts(counts: dict[str, Any]) -> str:
    return ", ".join(f"{name} {count}" for name, count in counts.items())


def _count_jobs(run: Any) -> dict[str, int]:
    counts = collections.Counter(
        submitted=0,
        completed=0,
        failed=0,
        refused=0,
        cancelled=0,
        unfinished=0,
        lost=0,
    )
    for call in run.load_generator.jobs:
        counts["submitted"] += 1
        counts[_classify_job(call, run.job_states)] += 1
    return dict(counts)


def _classify_job(call: Any, states: dict[str, Any]) -> str:
    if call.refusal is not None:
        return "refused"
    state = states.get(call.job)
    if state is None or errors.is_refusal(state):
        return "lost"
    if state["state"] in ("completed", "failed", "cancelled", "refused"):
        return state["state"]
    return "unfinished"


def _count_requests(run: Any) -> dict[str, int]:
    counts = collections.Counter(
        sent=0, answered=0, refused_not_run=0, unknown=0, wrong_or_partial=0
    )
    names = {
        "answered": "answered",
        "not_run": "refused_not_run",
        "unknown": "unknown",
        "wrong": "wrong_or_partial",
    }
    for call in run.load_generator.requests:
        counts["sent"] += 1
        counts[names[call.outcome]] += 1
    return dict(counts)
