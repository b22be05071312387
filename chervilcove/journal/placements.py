"""Checks of one placement against the replicated state.

Each replica checks every placement as it applies it, so that a planner with
an outdated or wrong view can't allocate resources that are not available.
"""

from chervilcove.journal import state as states
from chervilcove.scheduling import core as scheduling
from chervilcove.scheduling import maximums
from chervilcove.scheduling import worker_states


def find_violation(
    state: states.State, job: states.Job, placement: scheduling.Placement
) -> str:
    """Return why `placement` is invalid, or an empty string.

    The reason is one word, used in the name of a counter.
    """
    spec = job["spec"]
    if len(placement.places) != spec["tasks"]:
        return "gang_not_whole"
    if job["started"] and not spec["idempotent"]:
        return "may_have_run"
    taken: dict[str, list[int]] = {}
    for place in placement.places:
        if place.mask.bit_count() != spec["accelerators"]:
            return "wrong_size"
        taken.setdefault(place.worker, []).append(place.mask)
    for worker, masks in taken.items():
        violation = _find_worker_violation(state, spec, worker, masks)
        if violation:
            return violation
    if maximums.would_exceed(state.pool, spec):
        return "maximum_exceeded"
    return ""


def _find_worker_violation(
    state: states.State,
    spec: scheduling.JobSpec,
    worker: str,
    masks: list[int],
) -> str:
    room = state.pool.get_worker_state(worker)
    if room is None:
        return "no_such_worker"
    if not room.in_service:
        return "data_centre_out"
    if spec["data_centres"] and room.data_centre not in spec["data_centres"]:
        return "data_centre_not_allowed"
    if worker in state.core["unhealthy"]:
        return "worker_unhealthy"
    if not _are_free(room.free_mask, masks):
        return "accelerator_held"
    if (
        len(masks) * worker_states.to_milliunits(spec["processors"])
        > room.free_processors
    ):
        return "no_processors"
    if (
        len(masks) * worker_states.to_milliunits(spec["memory_gb"])
        > room.free_memory
    ):
        return "no_memory"
    return ""


def _are_free(free: int, masks: list[int]) -> bool:
    for mask in masks:
        if mask < 0 or mask & ~free:
            return False
        free &= ~mask
    return True
