"""Defragmentation: move work aside where that pays for the work lost."""

from collections.abc import Callable
from collections.abc import Set

from chervilcove.scheduling import core
from chervilcove.scheduling import finder
from chervilcove.scheduling import needs
from chervilcove.scheduling import pool as pools
from chervilcove.scheduling import preemption
from chervilcove.scheduling import rooms
from chervilcove.scheduling import rounds
from chervilcove.topology import cells


def make_move_rule(
    round_: rounds.Round, need: needs.Need
) -> rounds.PreemptionRule:
    """Let smaller work go that can be checkpointed and has run a while."""

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
    """Let all go that borrows, isn't urgent and has run a while.

    Of gangs as large as the starved one, only those that keep their work.
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
    """Return a clearing whose victims all find another place at once.

    Args:
        round_: The round.
        need: Need of the job that waits.
        avoided: Workers not to use.
        gain_s: Time that the move is expected to save that job, seconds.
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
    """Return a need at least as narrow as where the gang runs now."""
    places = [pool.get_room(place.worker) for place in gang.places]
    used = [worker for worker in places if worker is not None]
    span = "data_centre"
    if len({worker.rack for worker in used}) == 1:
        span = "rack"
    if len({worker.name for worker in used}) == 1:
        span = "worker"
    return needs.Need(
        len(gang.places),
        gang.places[0].mask.bit_count(),
        rooms.to_units(gang.processors),
        rooms.to_units(gang.memory_gb),
        span,
        cells.ACCELERATORS,
        tuple(sorted({worker.centre for worker in used})),
    )
