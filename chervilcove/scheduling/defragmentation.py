"""Moves of running work that free adjacent places for large gangs.

A move happens only if it saves more waiting than the work that it loses.
"""

from collections.abc import Callable
from collections.abc import Set

from chervilcove.scheduling import core
from chervilcove.scheduling import finder
from chervilcove.scheduling import needs
from chervilcove.scheduling import pool as pools
from chervilcove.scheduling import preemption
from chervilcove.scheduling import rounds
from chervilcove.scheduling import worker_states
from chervilcove.topology import cells


def make_move_rule(
    round_: rounds.Round, need: needs.Need
) -> rounds.PreemptionRule:
    """Return a rule for moves in favour of a large gang.

    It allows to preempt smaller borrowing gangs that can be checkpointed,
    aren't urgent and have had their minimum run time.
    """

    def is_movable(allocation: pools.GangAllocation) -> bool:
        gang = allocation.gang
        return (
            not allocation.is_nonpreemptible
            and gang.checkpointable
            and gang.urgency != core.Urgency.URGENT
            and allocation.accelerators < need.total_accelerators
            and round_.now - gang.since >= round_.settings.least_run_s
        )

    return is_movable


def make_starved_rule(
    round_: rounds.Round, need: needs.Need
) -> rounds.PreemptionRule:
    """Return a rule for moves in favour of a gang that waits too long.

    It allows to preempt borrowing gangs that aren't urgent and have had their
    minimum run time. Gangs at least as large as the starved one must also be
    checkpointable.
    """

    def is_movable(allocation: pools.GangAllocation) -> bool:
        gang = allocation.gang
        is_smaller = allocation.accelerators < need.total_accelerators
        return (
            not allocation.is_nonpreemptible
            and (gang.checkpointable or is_smaller)
            and gang.urgency != core.Urgency.URGENT
            and round_.now - gang.since >= round_.settings.least_run_s
        )

    return is_movable


def find_moves(
    round_: rounds.Round, need: needs.Need, avoided: Set[str], gain_s: float
) -> preemption.PreemptionOption | None:
    """Return an option whose victims all have another free place.

    Args:
        round_: The round.
        need: Need of the job that waits.
        avoided: Workers not to use.
        gain_s: Waiting time that the move is expected to save, seconds.

    Returns:
        The option, None if there is none or if it isn't worth its cost.
    """
    rule = make_move_rule(round_, need)
    found = preemption.find_option(round_, need, rule, avoided)
    if found is None or not found.victims:
        return found
    gain = need.total_accelerators * gain_s
    if found.cost * round_.settings.defragment_gain > gain:
        return None
    gangs = [round_.pool.allocations[job].gang for job in found.victims]
    workers = {place.worker for place in found.places} | avoided
    if round_.check_without(found.victims, _make_check(round_, gangs, workers)):
        return found
    return None


def _make_check(
    round_: rounds.Round, gangs: list[core.Gang], excluded: Set[str]
) -> Callable[[], bool]:
    def find_all() -> bool:
        for gang in gangs:
            need = _make_need(round_.pool, gang)
            places = finder.find_free_places(round_.pool, need, excluded)
            if places is None:
                return False
            round_.allocate_tentatively(gang._replace(places=places, slot=""))
        return True

    return find_all


def _make_need(pool: pools.Pool, gang: core.Gang) -> needs.Need:
    """Return the need of a running gang.

    Its span is the narrowest level that holds the gang now, so that a new
    place is at least as adjacent as the current one.
    """
    places = [pool.get_worker_state(place.worker) for place in gang.places]
    used = [worker for worker in places if worker is not None]
    span = "data_centre"
    if len({worker.rack for worker in used}) == 1:
        span = "rack"
    if len({worker.name for worker in used}) == 1:
        span = "worker"
    return needs.Need(
        len(gang.places),
        gang.places[0].mask.bit_count(),
        worker_states.to_milliunits(gang.processors),
        worker_states.to_milliunits(gang.memory_gb),
        span,
        cells.ACCELERATORS_PER_WORKER,
        tuple(sorted({worker.data_centre for worker in used})),
    )
