"""Check the nine conditions against observations made outside the system.

The evidence is what workers and minions recorded and what callers and
operators sent and received. No check relies on a success that the system
reports about itself. A condition that the run never exercised is reported as
checked 0 times. All points in time are Unix seconds.
"""

from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

from chervilcove.standins import execution
from chervilcove.standins import minion_records

RECLAIM_LIMIT_S = 5.9
OUT_LIMIT_S = 3.0
LEAVING_EFFECT_LIMIT_S = 3.0
IN_FORCE_LIMIT_S = 2.0
PARTIAL_LIMIT_S = 22.0
EXAMPLES_LIMIT = 5


class Finding(NamedTuple):
    """Result of the check of one condition.

    Attributes:
        checked: Number of cases checked.
        violations: Number of violations found.
        examples: Descriptions of the first violations, one line each.
    """

    checked: int
    violations: int
    examples: tuple[str, ...]


class Kill(NamedTuple):
    """Time at which a worker was killed with all its tasks."""

    worker: str
    at: float


class Outage(NamedTuple):
    """Period in which a data centre was out of service.

    Attributes:
        data_centre: Name of the data centre.
        accepted_at: When the operator read that the outage note was accepted.
        back_at: When the note that brings it back was sent, 0 if none was.
    """

    data_centre: str
    accepted_at: float
    back_at: float = 0.0


class Reclaim(NamedTuple):
    """Job that requested a shape within its customer's guarantee.

    Attributes:
        job: Id of the job.
        asked_at: When the caller submitted the job.
        tasks: Number of tasks of the job.
    """

    job: str
    asked_at: float
    tasks: int


class Call(NamedTuple):
    """One try of a request as its caller saw it.

    Attributes:
        key: Request key, the same for every try of a request.
        entry: Name of the entry that it was sent to.
        sent_at: When the caller sent it.
        ended_at: When the caller had its outcome.
        outcome: "answered", "not_run", "unknown", or "cut" if the
            connection ended without an HTTP answer.
        digest: Digest of the answer, empty for none.
        idempotent: Whether the request may run more than once.
    """

    key: str
    entry: str
    sent_at: float
    ended_at: float
    outcome: str
    digest: str
    idempotent: bool


class PlannedStop(NamedTuple):
    """Planned stop of an entry.

    Attributes:
        entry: Name of the entry.
        asked_at: When it was told to stop.
        exited_at: When its process had exited.
        exit_code: Exit code; 0 for an entry in the process of the test.
    """

    entry: str
    asked_at: float
    exited_at: float
    exit_code: int = 0


class Probe(NamedTuple):
    """Request whose outcome shows whether a note is in force at an entry.

    Attributes:
        entry: Name of the entry that it was sent to.
        accepted_at: When the operator read that the note was accepted.
        sent_at: When the request was sent.
        key: Request key.
        should_run: Whether the request runs if the note is in force.
    """

    entry: str
    accepted_at: float
    sent_at: float
    key: str
    should_run: bool


class Reading(NamedTuple):
    """Configuration revision that an operator read from an entry."""

    entry: str
    at: float
    revision: int


class Evidence(NamedTuple):
    """All observations of one run of the system.

    Attributes:
        now: When the evidence was collected.
        observations: Tasks that ran on the workers.
        kills: Workers that were killed.
        centres: Data centre of each worker, by its name.
        executions: Requests that ran on the minions.
        leaving: When each leaving minion first reported it, by its name.
        outages: Data centres that were taken out of service.
        reclaims: Jobs that requested shapes within a guarantee.
        calls: Tries of requests as their callers saw them.
        stops: Planned stops of entries.
        probes: Requests that show whether a note is in force.
        readings: Configuration revisions read from entries.
        partial_limit_s: Maximum seconds that a gang may run partially.
    """

    now: float
    observations: list[execution.Observation] = []  # noqa: RUF012
    kills: list[Kill] = []  # noqa: RUF012
    centres: dict[str, str] = {}  # noqa: RUF012
    executions: list[minion_records.Execution] = []  # noqa: RUF012
    leaving: dict[str, float] = {}  # noqa: RUF012
    outages: list[Outage] = []  # noqa: RUF012
    reclaims: list[Reclaim] = []  # noqa: RUF012
    calls: list[Call] = []  # noqa: RUF012
    stops: list[PlannedStop] = []  # noqa: RUF012
    probes: list[Probe] = []  # noqa: RUF012
    readings: list[Reading] = []  # noqa: RUF012
    partial_limit_s: float = PARTIAL_LIMIT_S


def check_all(evidence: Evidence) -> dict[str, Finding]:
    """Return the finding of each of the nine conditions by its name."""
    return {name: check(evidence) for name, check in CHECKS.items()}


def check_guarantee_reclaimable(evidence: Evidence) -> Finding:
    """Check that jobs within a guarantee ran with all tasks in time."""
    bad = []
    for reclaim in evidence.reclaims:
        by_attempt: dict[int, dict[int, float]] = {}
        for one in evidence.observations:
            if one["job"] == reclaim.job:
                starts = by_attempt.setdefault(one["attempt"], {})
                starts[one["index"]] = one["started_at"]
        whole = [
            max(starts.values())
            for starts in by_attempt.values()
            if len(starts) == reclaim.tasks
        ]
        waited_s = min(whole, default=evidence.now) - reclaim.asked_at
        if waited_s > RECLAIM_LIMIT_S:
            bad.append(f"{reclaim.job} waited {waited_s:.2f} s")
    return _build_finding(len(evidence.reclaims), bad)


def check_gang_whole(evidence: Evidence) -> Finding:
    """Check that no attempt ran partially for longer than the limit.

    Each task of an attempt may start only once.
    """
    attempts: dict[tuple[str, int], list[execution.Observation]] = {}
    for one in _close_observations(evidence):
        attempts.setdefault((one["job"], one["attempt"]), []).append(one)
    bad = []
    for (job, attempt), tasks in attempts.items():
        partial_s = compute_partial_s(tasks)
        if partial_s > evidence.partial_limit_s:
            bad.append(f"{job}/{attempt} ran partially for {partial_s:.2f} s")
        if len({one["index"] for one in tasks}) < len(tasks):
            bad.append(f"{job}/{attempt} ran a task twice")
    return _build_finding(len(attempts), bad)


def compute_partial_s(tasks: list[execution.Observation]) -> float:
    """Return the longest period in which an attempt ran partially, in seconds.

    An attempt runs partially before all of its tasks have started, and after
    one of them has ended in any way other than "done".
    """
    first = min(one["started_at"] for one in tasks)
    last = max(one["ended_at"] for one in tasks)
    if len(tasks) < tasks[0]["tasks"]:
        return last - first
    whole_from = max(one["started_at"] for one in tasks)
    broken = [one["ended_at"] for one in tasks if one["end"] != "done"]
    whole_until = min(broken, default=last)
    if whole_until <= whole_from:
        return last - first
    return max(whole_from - first, last - whole_until)


def check_data_centre_out(evidence: Evidence) -> Finding:
    """Check that no task started in a data centre out of service."""
    bad = []
    for outage in evidence.outages:
        begin = outage.accepted_at + OUT_LIMIT_S
        end = outage.back_at or evidence.now
        for one in evidence.observations:
            centre = evidence.centres.get(one["worker"])
            if centre != outage.data_centre:
                continue
            if begin < one["started_at"] < end:
                late_s = one["started_at"] - outage.accepted_at
                bad.append(
                    f"{one['job']}/{one['index']} started in {centre} "
                    f"{late_s:.2f} s after it was taken out"
                )
    return _build_finding(len(evidence.outages), bad)


def check_own_answer(evidence: Evidence) -> Finding:
    """Check that a minion produced each answer for the request's own key."""
    made: dict[str, set[str]] = {}
    for one in evidence.executions:
        made.setdefault(one.key, set()).add(one.digest)
    answered = [call for call in evidence.calls if call.outcome == "answered"]
    bad = [
        f"{call.key} got an answer that no minion produced for it"
        for call in answered
        if call.digest not in made.get(call.key, ())
    ]
    return _build_finding(len(answered), bad)


def check_refused_not_run(evidence: Evidence) -> Finding:
    """Check that no request ran whose every try was refused as not run."""
    outcomes: dict[str, set[str]] = {}
    for call in evidence.calls:
        outcomes.setdefault(call.key, set()).add(call.outcome)
    refused = [key for key, seen in outcomes.items() if seen == {"not_run"}]
    ran = {one.key for one in evidence.executions}
    bad = [f"{key} was refused as not run but ran" for key in refused]
    return _build_finding(
        len(refused),
        [text for key, text in zip(refused, bad, strict=True) if key in ran],
    )


def check_at_most_once(evidence: Evidence) -> Finding:
    """Check that non-idempotent requests and jobs ran at most once."""
    keys = {call.key for call in evidence.calls if not call.idempotent}
    counts = dict.fromkeys(keys, 0)
    for one in evidence.executions:
        if one.key in counts:
            counts[one.key] += 1
    bad = [f"{key} ran {n} times" for key, n in counts.items() if n > 1]
    attempts: dict[str, set[int]] = {}
    for one in evidence.observations:
        if not one["idempotent"]:
            attempts.setdefault(one["job"], set()).add(one["attempt"])
    bad += [
        f"{job} ran in attempts {sorted(seen)}"
        for job, seen in attempts.items()
        if len(seen) > 1
    ]
    return _build_finding(len(keys) + len(attempts), bad)


def check_leaving_minion(evidence: Evidence) -> Finding:
    """Check that entries soon stop sending requests to a leaving minion."""
    bad = [
        f"{one.key} started on {one.minion} while it was leaving"
        for one in evidence.executions
        if one.minion in evidence.leaving
        and one.start > evidence.leaving[one.minion] + LEAVING_EFFECT_LIMIT_S
    ]
    return _build_finding(len(evidence.leaving), bad)


def check_planned_stop(evidence: Evidence) -> Finding:
    """Check that planned stops exit cleanly and cut no request in flight."""
    bad = []
    checked = 0
    for stop in evidence.stops:
        if stop.exit_code != 0:
            bad.append(f"{stop.entry} exited with code {stop.exit_code}")
        for call in evidence.calls:
            if call.entry != stop.entry:
                continue
            if not call.sent_at <= stop.asked_at <= call.ended_at:
                continue
            checked += 1
            if call.outcome in ("cut", "unknown"):
                bad.append(f"{call.key} was {call.outcome} at {stop.entry}")
    return _build_finding(checked, bad)


def check_configuration_in_force(evidence: Evidence) -> Finding:
    """Check that accepted notes come into force in time and never revert."""
    ran = {one.key for one in evidence.executions}
    due = [
        probe
        for probe in evidence.probes
        if probe.sent_at >= probe.accepted_at + IN_FORCE_LIMIT_S
    ]
    bad = [
        f"{probe.entry} did not apply a note to {probe.key}"
        for probe in due
        if (probe.key in ran) != probe.should_run
    ]
    bad += _find_reverts(evidence.readings)
    return _build_finding(len(due), bad)


CHECKS: dict[str, Any] = {
    "guarantee_reclaimable": check_guarantee_reclaimable,
    "gang_whole": check_gang_whole,
    "data_centre_out": check_data_centre_out,
    "own_answer": check_own_answer,
    "refused_not_run": check_refused_not_run,
    "at_most_once": check_at_most_once,
    "leaving_minion": check_leaving_minion,
    "planned_stop": check_planned_stop,
    "configuration_in_force": check_configuration_in_force,
}


def _find_reverts(readings: Iterable[Reading]) -> list[str]:
    latest: dict[str, int] = {}
    bad = []
    for reading in sorted(readings, key=lambda one: one.at):
        known = latest.get(reading.entry, 0)
        if reading.revision < known:
            bad.append(
                f"{reading.entry} reverted from revision {known} "
                f"to {reading.revision}"
            )
        latest[reading.entry] = max(known, reading.revision)
    return bad


def _close_observations(evidence: Evidence) -> list[execution.Observation]:
    """End observations that are still open.

    The end is the kill of their worker, or else the time of the evidence.
    """
    killed = {kill.worker: kill.at for kill in evidence.kills}
    closed = []
    for one in evidence.observations:
        if not one["ended_at"]:
            at = killed.get(one["worker"], 0.0)
            ended = at if at > one["started_at"] else evidence.now
            end = "killed" if ended == at else "done"
            one = execution.Observation(
                **{**one, "ended_at": ended, "end": end}
            )
        closed.append(one)
    return closed


def _build_finding(checked: int, bad: list[str]) -> Finding:
    return Finding(checked, len(bad), tuple(bad[:EXAMPLES_LIMIT]))
