"""Rules on how runs and jobs end: GANG and LOST.

LOST is judged by what callers were told, and at the end of a record by what
they were not told.
"""

import math

from tests.processes import breaks
from tests.processes import starts

ENDED = ("done", "failed", "cancelled")


def find_lone_members(history):
    """Return breaks of GANG: a run ends `alone`.

    Not judged: after a DELETE for its job was sent; unless its sender was
    certainly in touch from its start to its end; with any disturbance
    anywhere, draining workers included, from `contact_s` before its start to
    its end.
    """
    found = []
    for run in history.runs:
        job = history.jobs.get(run.job)
        if (
            run.how != "alone"
            or (job is not None and job.cancel_sent <= run.end)
            or not history.is_in_touch(run, until=run.end)
            or not history.disturbances.is_calm(run.start, run.end)
        ):
            continue
        members = [
            each
            for each in history.runs_by_unit[history.get_unit(run)]
            if each.number == run.number and each is not run
        ]
        text = f"{run.task} ended alone"
        found.append(breaks.Break("GANG", run.end, text, (run, *members)))
    return found


def find_forgotten_jobs(history):
    """Return breaks of LOST: a GET of an accepted job is answered 410.

    Not judged: within `visible_s` after its acceptance; after a DELETE for it
    was sent; over `status_s` after it was shown as ended or its last run
    ended; by an entry that wasn't certainly in touch.
    """
    found = []
    for job in history.jobs.values():
        accepted = job.find_answer("submit")
        runs = history.runs_by_job.get(job.name, ())
        for answer in job.answers:
            at = answer["at"]
            ended = min(
                max((run.end for run in runs if run.end < at), default=at),
                job.find_answer("", *ENDED),
            )
            if (
                answer["call"] == "get"
                and answer["status"] == 410
                and at > accepted + history.bounds.visible_s
                and at < job.cancel_sent
                and at < ended + history.bounds.status_s
                and history.disturbances.is_undisturbed(answer["entry"], at, at)
            ):
                text = (
                    f"{answer['entry']} doesn't know {job.name}, accepted at"
                    f" {accepted:.3f}"
                )
                found.append(breaks.Break("LOST", at, text, (*runs,)))
                break
    return found


def find_wrong_ends(history):
    """Return breaks of LOST: shown as `failed` or `cancelled` without cause.

    The cause of `cancelled` is that a DELETE was sent before, whatever its
    answer; that of `failed` are `attempts` runs of one task or gang that
    ended `failed` before, noted or not. Not judged: queues whose `attempts`
    isn't known.
    """
    found = []
    for job in history.jobs.values():
        cancelled = job.find_answer("", "cancelled")
        if cancelled < job.cancel_sent:
            text = f"{job.name} is shown as cancelled and nobody did"
            found.append(breaks.Break("LOST", cancelled, text))
        failed = job.find_answer("", "failed")
        attempts = history.bounds.get_attempts(job.queue)
        if math.isinf(failed) or math.isinf(attempts):
            continue
        runs = history.runs_by_job.get(job.name, ())
        units = {history.get_unit(run) for run in runs}
        if not any(
            len(_list_failed_before(history, unit, failed)) >= attempts
            for unit in units
        ):
            text = f"{job.name} is shown as failed without {attempts} failures"
            found.append(breaks.Break("LOST", failed, text, (*runs,)))
    return found


def _list_failed_before(history, unit, at):
    runs = [run for run in history.runs_by_unit[unit] if run.end <= at]
    return starts.list_failed(runs, noted_only=False)


def find_idle_jobs(history):
    """Return breaks of LOST: a job is left alone though all is calm.

    At the end of the record, an accepted job was never shown as ended, and
    nothing of it ran for `idle_s`; or a task that lasts didn't run for
    `idle_s` before the end, or before a DELETE was sent. Not judged: with any
    disturbance anywhere in that time and `contact_s` before; jobs that were
    cancelled, or accepted later; jobs that nobody asked for successfully
    within that time; where more than half of the capacity was in use, or where
    there wasn't room twice over for a task or gang of each of its steps on
    workers that were up and not draining all the while; jobs that demand
    labels or spread.
    """
    found = []
    for job in history.jobs.values():
        end = min(history.last, job.cancel_sent)
        begin = end - history.bounds.idle_s
        is_lasting = any(step.get("persistent") for step in job.steps)
        if (
            job.find_answer("submit") > begin - history.bounds.contact_s
            or job.find_answer("", *ENDED) < end
            or (end < history.last and not is_lasting)
            or not _was_asked(job, begin, end)
            or not history.disturbances.is_calm(begin, end)
            or not _has_room(history, job, begin, end)
        ):
            continue
        runs = history.runs_by_job.get(job.name, ())
        recent = [r for r in runs if r.end >= begin and r.start <= end]
        if not is_lasting:
            idle = [] if recent else [job.name]
        else:
            tasks = [
                unit
                for number, step in enumerate(job.steps)
                if step.get("persistent") and not step.get("after")
                for unit in job.list_units(number)
            ]
            busy = {history.get_unit(run) for run in recent}
            idle = [task for task in tasks if task not in busy]
        found.extend(
            breaks.Break(
                "LOST",
                end,
                f"nothing of {each} ran for {history.bounds.idle_s:.1f} s",
                (*runs,),
            )
            for each in idle
        )
    return found


def _was_asked(job, begin, end):
    return any(
        answer["call"] == "get"
        and begin <= answer["at"] <= end
        and answer["status"] == 200
        for answer in job.answers
    )


def _has_room(history, job, begin, end):
    """Return whether a job surely had room in a span, twice over."""
    if any(
        step.get(name)
        for step in job.steps
        for name in ("requires", "anti_affinity", "same_rack")
    ):
        return False
    free, used, total = [], {}, {}
    for place, worker in history.workers.items():
        if worker["at"] > begin or history.downs.get(place, math.inf) < end:
            continue
        busy = [
            starts.get_need(history.get_step(run) or {})
            for run in history.runs_by_place.get(place, ())
            if run.end >= begin and run.start <= end
        ]
        left = {}
        for name in starts.RESOURCES:
            taken = sum(need[name] for need in busy)
            used[name] = used.get(name, 0) + taken
            total[name] = total.get(name, 0) + worker[name]
            left[name] = worker[name] - taken
        if history.get_draining(place) > end:
            free.append(left)
    if any(2 * used[name] > total[name] for name in used):
        return False
    return all(_fits_twice(step, free) for step in job.steps)


def _fits_twice(step, free):
    need = starts.get_need(step)
    wanted = 2 * (step["count"] if step.get("gang") else 1)
    places = sum(
        max(
            0,
            min(
                (left[name] // need[name] for name in need if need[name]),
                default=wanted,
            ),
        )
        for left in free
    )
    return places >= wanted
