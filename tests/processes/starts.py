"""Rules on starts: LIMIT, BUDGET, ORDER, UNASKED, DRAIN and REFUSED."""

import math

from tests.processes import breaks

RESOURCES = ("cpu", "mem_mb", "gpu")
UNKNOWN_STATUSES = (0, 502, 504)


def get_need(step):
    """Return what a task of a step takes of each resource."""
    need = {name: step.get(name, 0) for name in RESOURCES}
    if step.get("fill_count"):
        need["cpu"] = 0
    return need


def find_overfull_workers(history):
    """Return breaks of LIMIT: a start brings a worker over its capacity.

    Counts all that runs there until its end is recorded, also what is being
    stopped; late starts count too. Not judged: workers with `guards`, and
    tasks that no job names (UNASKED).
    """
    found = []
    for place, runs in history.runs_by_place.items():
        worker = history.workers.get(place)
        if worker is None or worker.get("guards"):
            continue
        running = []
        for run in runs:
            running = [each for each in running if each.end > run.start]
            step = history.get_step(run)
            if step is None:
                continue
            running.append(run)
            needs = [get_need(history.get_step(each)) for each in running]
            over = [
                f"{name} {sum(need[name] for need in needs)} of {worker[name]}"
                for name in RESOURCES
                if get_need(step)[name]
                and sum(need[name] for need in needs) > worker[name]
            ]
            if over:
                text = f"{run.worker} is over its capacity: {', '.join(over)}"
                found.append(
                    breaks.Break("LIMIT", run.start, text, (*running,))
                )
    return found


def find_starts_beyond_budget(history):
    """Return breaks of BUDGET: a start after `attempts` failed runs.

    Only `failed` ends count that are noted, then or later, with no lapse of
    the lease between; several members of one run of a gang count once. For
    `speculative` steps a start breaks it over a second after the last of these
    was noted, and not if it was late or its sender not certainly in touch.
    Not judged: lasting steps; queues whose `attempts` isn't known.
    """
    found = []
    for runs in history.runs_by_unit.values():
        step = history.get_step(runs[0])
        if step is None or step.get("persistent"):
            continue
        queue = history.jobs[runs[0].job].queue
        attempts = history.bounds.get_attempts(queue)
        failed = list_failed(runs)
        if len(failed) < attempts:
            continue
        last = failed[attempts - 1]
        is_copied = bool(step.get("speculative"))
        noted = sorted(run.noted for run in failed)[attempts - 1]
        for run in runs:
            if is_copied:
                if (
                    run.is_late
                    or run.start <= noted + history.bounds.retake_s
                    or not history.is_in_touch(run)
                ):
                    continue
            elif run.start <= last.end:
                continue
            text = f"start of {run.task} after {attempts} failed runs"
            found.append(
                breaks.Break("BUDGET", run.start, text, (*failed, run))
            )
    return found


def list_failed(runs, *, noted_only=True):
    """Return one run for each number that failed, in the order of the ends."""
    failed = {}
    for run in sorted(runs, key=lambda run: run.end):
        if run.how == "failed" and (not noted_only or run.noted < math.inf):
            failed.setdefault(run.number, run)
    return list(failed.values())


def find_starts_out_of_order(history):
    """Return breaks of ORDER: a start before the steps in `after` are done.

    Any recorded end `done` of a task counts, noted or not; that of one member
    stands for its gang. Late starts are judged too. Not judged: the times of
    scheduled jobs.
    """
    found = []
    for run in history.runs:
        step = history.get_step(run)
        if step is None:
            continue
        job = history.jobs[run.job]
        missing = [
            unit
            for earlier in step.get("after", ())
            for unit in job.list_units(earlier)
            if not any(
                each.how == "done" and each.end <= run.start
                for each in history.runs_by_unit.get(unit, ())
            )
        ]
        if missing:
            text = f"start of {run.task} before {missing[0]} was done"
            others = history.runs_by_unit.get(missing[0], ())
            found.append(breaks.Break("ORDER", run.start, text, (*others, run)))
    return found


def find_unasked_starts(history):
    """Return breaks of UNASKED: starts that no caller asked for.

    That is a task of a job that wasn't sent before, or that the job doesn't
    have, or with another `spec` if `start` and `job` lines have one; or a
    start over `cancel_s` after a DELETE of its job succeeded. Not judged: for
    the latter, late starts and those whose sender wasn't certainly in touch;
    a DELETE that was never acknowledged; checkpoints.
    """
    found = []
    for run in history.runs:
        text = _find_unasked(history, run)
        if text:
            found.append(breaks.Break("UNASKED", run.start, text, (run,)))
    return found


def _find_unasked(history, run):
    job = history.jobs.get(run.job)
    if job is None or job.at > run.start:
        return f"start of {run.task}, whose job nobody had sent"
    if job.get_step(run.task) is None:
        return f"start of {run.task}, which its job doesn't have"
    if None not in (job.spec, run.spec) and job.spec != run.spec:
        return f"start of {run.task} with the spec {run.spec!r}"
    cancelled = job.find_answer("delete")
    if (
        run.start > cancelled + history.bounds.cancel_s
        and not run.is_late
        and history.is_in_touch(run)
    ):
        return (
            f"start of {run.task} {run.start - cancelled:.3f} s after its"
            f" cancel was acknowledged at {cancelled:.3f}"
        )
    return ""


def find_runs_after_cancel(history):
    """Return breaks of UNASKED: a task runs on after its job was cancelled.

    It must have ended `cancel_s` and `stop_s` after the DELETE succeeded; if
    it started late, after `contact_s` from its start at the earliest. Not
    judged: other runs that start over `cancel_s` after the cancel; with any
    disturbance anywhere from `contact_s` before the cancel to the bound;
    bounds after the end of the record.
    """
    found = []
    for run in history.runs:
        job = history.jobs.get(run.job)
        cancelled = math.inf if job is None else job.find_answer("delete")
        begin = cancelled
        if run.is_late:
            begin = max(begin, run.start + history.bounds.contact_s)
        elif run.start > cancelled + history.bounds.cancel_s:
            continue
        bound = begin + history.bounds.cancel_s + history.bounds.stop_s
        if bound < min(run.end, history.last) and history.disturbances.is_calm(
            cancelled, bound
        ):
            text = (
                f"{run.task} runs on at {bound:.3f}, its cancel was"
                f" acknowledged at {cancelled:.3f}"
            )
            found.append(breaks.Break("UNASKED", bound, text, (run,)))
    return found


def find_starts_on_draining(history):
    """Return breaks of DRAIN: a start over `drain_s` after `draining`.

    Not judged: late starts; starts whose sender wasn't certainly in touch all
    the time from `contact_s` before the worker said so, which includes a store
    without disturbance.
    """
    found = []
    for run in history.runs:
        began = history.get_draining(run.place)
        if (
            run.start <= began + history.bounds.drain_s
            or run.is_late
            or not history.is_in_touch(run, since=began)
        ):
            continue
        text = (
            f"start of {run.task} on {run.worker} {run.start - began:.3f} s"
            f" after it was draining at {began:.3f}"
        )
        found.append(breaks.Break("DRAIN", run.start, text, (run,)))
    return found


def find_starts_of_refused(history):
    """Return breaks of REFUSED: a start of a job that was always rejected.

    Not judged: jobs of which any attempt was accepted, had no answer, 502 or
    504, or was still under way when the record ends.
    """
    found = []
    for job in history.jobs.values():
        statuses = [
            answer.get("status") or 0
            for answer in job.answers
            if answer["call"] == "submit"
        ]
        sent = job.calls["submit"] or len(statuses)
        if not statuses or sent != len(statuses):
            continue
        if any(each < 400 or each in UNKNOWN_STATUSES for each in statuses):
            continue
        for run in history.runs_by_job.get(job.name, ()):
            text = f"start of {run.task}, whose job was refused: {statuses}"
            found.append(breaks.Break("REFUSED", run.start, text, (run,)))
    return found
