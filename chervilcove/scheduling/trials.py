"""Trials: one job on each worker that is due for one after its failures."""

from collections.abc import Callable
from collections.abc import Iterable

from chervilcove.scheduling import core
from chervilcove.scheduling import needs
from chervilcove.scheduling import rounds
from chervilcove.scheduling import worker_states


def place_trials(
    round_: rounds.Round,
    ready: Iterable[core.QueuedJob],
    may_start: Callable[[core.QueuedJob], bool],
) -> set[str]:
    """Place one job as a trial on each worker that is due for one.

    Args:
        round_: The round.
        ready: Jobs in the order in which they are served.
        may_start: Tells whether a job waits and may start now.

    Returns:
        The jobs that were placed.
    """
    placed: set[str] = set()
    for name in round_.pool.health.list_trial_workers(round_.now):
        worker = round_.pool.get_worker_state(name)
        if worker is None or worker.worker_allocations or not worker.in_service:
            continue
        for job in ready:
            job_id = job.spec["id"]
            if job_id in placed or not _is_trial(job) or not may_start(job):
                continue
            if _place_on(round_, job, worker):
                placed.add(job_id)
                break
    return placed


def _place_on(
    round_: rounds.Round,
    job: core.QueuedJob,
    worker: worker_states.WorkerState,
) -> bool:
    need = needs.make_need(job.spec)
    places = need.make_places(worker, worker.free_mask, need.tasks)
    is_fit = need.count_free_tasks(worker) >= need.tasks
    return is_fit and bool(places) and round_.place(job, places)


def _is_trial(job: core.QueuedJob) -> bool:
    spec = job.spec
    is_urgent = spec["urgency"] == core.Urgency.URGENT
    return spec["idempotent"] and not is_urgent
