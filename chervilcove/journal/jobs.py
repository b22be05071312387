"""Handlers of items about jobs."""

from typing import NamedTuple

from chervilcove.charts import core as charts
from chervilcove.core import errors
from chervilcove.journal import placements
from chervilcove.journal import records
from chervilcove.journal import state as states
from chervilcove.journal import submissions
from chervilcove.scheduling import core as scheduling

MAX_FAILURES = 5
BACK_OFF_S = 1.0
MAX_BACK_OFF_S = 60.0

_CHART = charts.load_chart("job")


class PlanOutcome(NamedTuple):
    """Effect of a plan.

    Attributes:
        changes: Number of decisions applied.
        skips: Decisions not applied, each as job and reason.
    """

    changes: int
    skips: tuple[tuple[str, str], ...]


def apply_submit(
    state: states.State, offset: int, body: records.Submit
) -> str | errors.Refusal:
    """Add a job to the queue and return its id.

    A known idempotency key returns the id of the earlier job if the content is
    the same.
    """
    core = state.core
    spec = body["spec"]
    known = submissions.check_submit(state, spec)
    if known is not None:
        return known
    core["keys"][f"{spec['customer']}/{spec['key']}"] = spec["id"]
    core["jobs"][spec["id"]] = _create_job(spec, core["time"])
    _record_event(state, offset, spec["id"], "submitted", "", "")
    state.index_job(spec["id"])
    return spec["id"]


def apply_cancel(
    state: states.State, offset: int, body: records.Cancel
) -> str | errors.Refusal:
    """Cancel a queued job, or request the stop of a placed one."""
    job = state.core["jobs"].get(body["job"])
    if job is None:
        return errors.refuse(errors.Kind.UNKNOWN_JOB, f"no job {body['job']!r}")
    target = _advance(state, offset, body["job"], "cancel", "cancelled", "")
    if errors.is_refusal(target):
        return target
    _release(state, body["job"], scheduling.Reason.CANCELLED, "")
    return job["state"]


def apply_plan(
    state: states.State, offset: int, body: records.PlanItem
) -> PlanOutcome | errors.Refusal:
    """Apply the decisions of one scheduling round.

    The plan is void if another record changed places after its basis. Each
    decision is checked again here, whichever entry proposed it, and skipped
    if it is invalid.
    """
    core = state.core
    core["planned"] = offset
    if not _is_current(core, body):
        return errors.refuse(
            errors.Kind.STALE_REVISION,
            f"plan on basis {body['basis']}, basis is {core['basis']}",
        )
    reasons = [_refuse_job(state, offset, each) for each in body["refusals"]]
    reasons += [_preempt(state, offset, each) for each in body["preemptions"]]
    reasons += [_place(state, offset, each) for each in body["placements"]]
    core["basis"] = offset
    decided = [*body["refusals"], *body["preemptions"], *body["placements"]]
    skips = tuple(
        (each.job, reason)
        for each, reason in zip(decided, reasons, strict=True)
        if reason
    )
    return PlanOutcome(len(reasons) - len(skips), skips)


def _is_current(core: states.Core, body: records.PlanItem) -> bool:
    return body["basis"] == core["basis"]


def apply_waits(
    state: states.State, offset: int, body: records.Waits
) -> int | errors.Refusal:
    """Store the reasons why queued jobs wait; return how many were stored."""
    core = state.core
    core["planned"] = offset
    stored = 0
    for wait in body["changed"]:
        if wait.job in state.queue:
            core["waits"][wait.job] = states.WaitReason(
                wait.reason, wait.detail, core["time"]
            )
            stored += 1
    return stored


def apply_starting(
    state: states.State, offset: int, body: records.Starting
) -> str | errors.Refusal:
    """Record that the tasks of a placed attempt may start from now on.

    No task of an attempt starts before this record. An attempt that ends
    without it therefore never ran, even if its workers can't be reached.
    """
    job = _find_attempt(state, body["job"], body["attempt"])
    if errors.is_refusal(job):
        return job
    if job["state"] != "placed":
        return errors.refuse(
            errors.Kind.FENCED, f"job {body['job']} is {job['state']}"
        )
    if not job["started"]:
        job["started"] = True
        _record_event(state, offset, body["job"], "starting", "", "")
    return job["state"]


def apply_started(
    state: states.State, offset: int, body: records.Started
) -> str | errors.Refusal:
    """Record that all tasks of an attempt run.

    The attempt counts as run even if the job is being stopped.
    """
    job = _find_attempt(state, body["job"], body["attempt"])
    if errors.is_refusal(job):
        return job
    job["started"] = True
    job["ran"] = True
    return _advance(state, offset, body["job"], "start", "", "")


def apply_ended(
    state: states.State, offset: int, body: records.Ended
) -> str | errors.Refusal:
    """End an attempt and return the job's new state, which may be "queued"."""
    job = _find_attempt(state, body["job"], body["attempt"])
    if errors.is_refusal(job):
        return job
    event = _choose_event(job, body)
    if errors.is_refusal(_CHART.advance(job["state"], event)):
        return errors.refuse(
            errors.Kind.FENCED,
            f"a job that is {job['state']} does not allow {event}",
        )
    _release(state, body["job"], body["reason"], body["worker"])
    job["kept_s"] = max(job["kept_s"], body["kept_s"])
    if body["outcome"] == "failed":
        job["failures"] += 1
    if body["outcome"] == "completed":
        job["result"] = body["result"]
    return _advance(
        state, offset, body["job"], event, body["reason"], body["worker"]
    )


def _choose_event(job: states.Job, body: records.Ended) -> str:
    outcome = body["outcome"]
    if outcome == "completed":
        return "complete"
    ran = job["started"] and outcome != "not_started"
    if (ran or job["ran"]) and not job["spec"]["idempotent"]:
        return "fail"
    if job["failures"] + (outcome == "failed") >= MAX_FAILURES:
        return "fail"
    return "requeue"


def _find_attempt(
    state: states.State, name: str, attempt: int
) -> states.Job | errors.Refusal:
    job = state.core["jobs"].get(name)
    if job is None:
        return errors.refuse(errors.Kind.UNKNOWN_JOB, f"no job {name!r}")
    if job["attempt"] != attempt or job["finished_at"]:
        return errors.refuse(
            errors.Kind.FENCED,
            f"attempt {attempt} of {name} is over",
            attempt=job["attempt"],
        )
    return job


def _release(state: states.State, name: str, reason: str, worker: str) -> None:
    gang = state.pool.remove_gang(name)
    if gang is None:
        return
    job = state.core["jobs"][name]
    now = state.core["time"]
    accelerators = sum(place.mask.bit_count() for place in gang.places)
    job["attained"] += accelerators * (now - job["placed_at"])
    state.pool.observe_end(gang=gang, reason=reason, worker=worker, now=now)


def _refuse_job(
    state: states.State, offset: int, refused: scheduling.JobRefusal
) -> str:
    if refused.job not in state.core["jobs"]:
        return "unknown_job"
    target = _advance(
        state,
        offset,
        refused.job,
        "refuse",
        refused.refusal.kind.value,
        refused.refusal.reason,
    )
    return "not_waiting" if errors.is_refusal(target) else ""


def _preempt(
    state: states.State, offset: int, preemption: scheduling.Preemption
) -> str:
    job = _find_attempt(state, preemption.job, preemption.attempt)
    if errors.is_refusal(job):
        return "attempt_over"
    target = _advance(
        state,
        offset,
        preemption.job,
        "preempt",
        preemption.reason,
        preemption.beneficiary,
    )
    if errors.is_refusal(target):
        return "not_running"
    _release(state, preemption.job, preemption.reason, "")
    return ""


def _place(
    state: states.State, offset: int, placement: scheduling.Placement
) -> str:
    job = state.core["jobs"].get(placement.job)
    if job is None or job["state"] != "queued":
        return "not_waiting"
    if placement.attempt != job["attempt"] + 1:
        return "attempt_over"
    violation = placements.find_violation(state, job, placement)
    if violation:
        return violation
    job["attempt"] = placement.attempt
    job["fence"] = offset
    job["slot"] = placement.slot
    job["places"] = tuple(placement.places)
    job["started"] = False
    job["ran"] = False
    job["placed_at"] = state.core["time"]
    workers = sorted({place.worker for place in placement.places})
    _advance(
        state, offset, placement.job, "place", "", "on " + ", ".join(workers)
    )
    state.pool.add_gang(states.to_gang(job))
    return ""


def _create_job(spec: scheduling.JobSpec, now: float) -> states.Job:
    return states.Job(
        spec=spec,
        state=_CHART.initial,
        submitted_at=now,
        finished_at=0.0,
        attempt=0,
        fence=-1,
        slot="",
        places=(),
        started=False,
        ran=False,
        placed_at=0.0,
        kept_s=0.0,
        attained=0.0,
        not_before=0.0,
        failures=0,
        reason="",
        result=None,
        history=[],
    )


def _advance(
    state: states.State,
    offset: int,
    name: str,
    event: str,
    reason: str,
    detail: str,
) -> str | errors.Refusal:
    job = state.core["jobs"][name]
    target = _CHART.advance(job["state"], event)
    if errors.is_refusal(target):
        return target
    job["state"] = target
    job["reason"] = reason
    if event == "requeue":
        job["started"] = False
        _back_off(state, job)
    if target != "queued":
        state.core["waits"].pop(name, None)
    if _CHART.is_final(target):
        job["finished_at"] = state.core["time"]
        state.core["jobs"][name] = state.core["jobs"].pop(name)
    _record_event(state, offset, name, event, reason, detail)
    state.index_job(name)
    _delete_expired_jobs(state)
    return target


def _back_off(state: states.State, job: states.Job) -> None:
    if not job["failures"]:
        return
    pause_s = min(BACK_OFF_S * 2 ** (job["failures"] - 1), MAX_BACK_OFF_S)
    job["not_before"] = state.core["time"] + pause_s


def _record_event(
    state: states.State,
    offset: int,
    name: str,
    event: str,
    reason: str,
    detail: str,
) -> None:
    history = state.core["jobs"][name]["history"]
    history.append(
        states.HistoryEvent(
            offset, state.core["time"], event, str(reason), detail
        )
    )
    del history[: -states.HISTORY_LIMIT]


def _delete_expired_jobs(state: states.State) -> None:
    jobs = state.core["jobs"]
    horizon = state.core["time"] - states.FINISHED_JOB_LIFETIME_S
    while state.finished:
        name = next(iter(state.finished))
        exceeds_limit = len(state.finished) > states.FINISHED_JOBS_LIMIT
        if not exceeds_limit and jobs[name]["finished_at"] > horizon:
            return
        del state.finished[name]
        spec = jobs.pop(name)["spec"]
        state.core["keys"].pop(f"{spec['customer']}/{spec['key']}", None)
