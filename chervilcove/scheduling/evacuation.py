"""Evacuation of gangs from places that are out of service.

Guaranteed work moves first, then urgent work, then the work with the most
accelerator-seconds at stake. Work that can't be checkpointed and is about to
end stays until it ends, as does all work that must not run twice. Nothing
moves back when a place returns to service.
"""

from chervilcove.scheduling import core
from chervilcove.scheduling import pool as pools
from chervilcove.scheduling import rounds


def evacuate(round_: rounds.Round) -> None:
    """Preempt displaced gangs in order of value, up to the round's limit."""
    allocations = [
        round_.pool.allocations[job] for job in round_.pool.displaced
    ]
    movable = [
        allocation
        for allocation in allocations
        if _must_move(round_, allocation)
    ]
    movable.sort(
        key=lambda allocation: _get_evacuation_order(round_, allocation)
    )
    for allocation in movable[: round_.settings.most_moved]:
        round_.preempt(allocation.gang.job, _get_reason(round_, allocation))


def _must_move(round_: rounds.Round, allocation: pools.GangAllocation) -> bool:
    gang = allocation.gang
    if not gang.idempotent:
        return False
    if gang.checkpointable:
        return True
    remaining_s = round_.pool.history.estimate_remaining_s(
        gang=gang, now=round_.now
    )
    return remaining_s > round_.settings.run_out_s


def _get_evacuation_order(
    round_: rounds.Round, allocation: pools.GangAllocation
) -> tuple:
    gang = allocation.gang
    at_stake = allocation.accelerators * (round_.now - gang.since)
    is_urgent = gang.urgency == core.Urgency.URGENT
    return not allocation.in_slot, not is_urgent, -at_stake, gang.job


def _get_reason(round_: rounds.Round, allocation: pools.GangAllocation) -> str:
    pool = round_.pool
    for place in allocation.gang.places:
        worker = pool.get_worker_state(place.worker)
        if worker is not None and not worker.in_service:
            return core.Reason.DATA_CENTRE_OUT
    return core.Reason.WORKER_LOST
