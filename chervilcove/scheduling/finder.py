"""Best-fit search for free places of a gang.

A gang goes into the smallest free block that holds it. Work without
accelerators goes to workers where the free accelerators keep their share of
processors and memory. Both leave large adjacent shapes free.
"""

from collections.abc import Iterable
from collections.abc import Set
from typing import NamedTuple

from chervilcove.scheduling import core
from chervilcove.scheduling import needs
from chervilcove.scheduling import pool as pools
from chervilcove.scheduling import worker_states
from chervilcove.topology import cells

_MAX_CANDIDATES = 24

Places = tuple[core.TaskPlace, ...]


class ScoredPlaces(NamedTuple):
    """Places with a score of their fit; the lowest score is best."""

    score: tuple
    places: Places


def find_free_places(
    pool: pools.Pool, need: needs.Need, excluded: Set[str]
) -> Places | None:
    """Return the best free places for `need`, None if there are none.

    Args:
        pool: The pool.
        need: Need of the gang.
        excluded: Workers not to use.
    """
    best: ScoredPlaces | None = None
    for centre in need.centres or pool.buckets:
        if centre not in pool.buckets:
            continue
        found = _find_in_centre(pool, centre, need, excluded)
        if found and (best is None or found.score < best.score):
            best = found
    return best.places if best else None


def _find_in_centre(
    pool: pools.Pool, centre: str, need: needs.Need, excluded: Set[str]
) -> ScoredPlaces | None:
    found = None
    if need.total_accelerators <= cells.ACCELERATORS_PER_WORKER:
        found = _find_worker(pool, centre, need, excluded)
    if found or need.span == "worker":
        return found
    found = _find_rack(pool, centre, need, excluded)
    if found or need.span == "rack":
        return found
    return _find_across_racks(pool, centre, need, excluded)


def _list_workers(
    pool: pools.Pool, centre: str, size: int, excluded: Set[str]
) -> Iterable[worker_states.WorkerState]:
    """Yield usable workers with a free cell of `size`, smallest first."""
    for largest, bucket in pool.buckets[centre].items():
        if largest >= size:
            for worker in bucket.values():
                if worker.name not in excluded:
                    yield worker


def _find_worker(
    pool: pools.Pool, centre: str, need: needs.Need, excluded: Set[str]
) -> ScoredPlaces | None:
    best: tuple | None = None
    for bucket in pool.buckets[centre]:
        if bucket < need.accelerators:
            continue
        seen = 0
        for worker in pool.buckets[centre][bucket].values():
            if worker.name in excluded:
                continue
            if not need.fits_whole_gang(
                worker.free_processors, worker.free_memory
            ):
                continue
            masks = need.pick_masks(worker.free_mask, need.tasks)
            if not masks:
                continue
            score = _score_worker(need, worker, masks)
            if best is None or score < best[0]:
                best = score, worker, masks
            seen += 1
            if seen >= _MAX_CANDIDATES:
                break
        if best and not best[0][1]:
            break
    if best is None:
        return None
    score, worker, masks = best
    places = tuple(core.TaskPlace(worker.name, mask) for mask in masks)
    return ScoredPlaces(score, places)


def _score_worker(
    need: needs.Need, worker: worker_states.WorkerState, masks: tuple[int, ...]
) -> tuple:
    left = worker.free_mask.bit_count() - need.total_accelerators
    processors = worker.free_processors - need.tasks * need.processors
    memory = worker.free_memory - need.tasks * need.memory
    # Free accelerators without their share of processors or memory are
    # stranded.
    is_stranding = (
        processors < left * worker.processor_share
        or memory < left * worker.memory_share
    )
    split_size = 0
    if need.accelerators:
        split_size = cells.get_block_size(worker.free_mask, masks[0])
    return 0, int(is_stranding), split_size, left, processors, worker.index


def _find_rack(
    pool: pools.Pool, centre: str, need: needs.Need, excluded: Set[str]
) -> ScoredPlaces | None:
    best: ScoredPlaces | None = None
    for members in _group_by_rack(pool, centre, need, excluded).values():
        if sum(count for _, count in members) < need.tasks:
            continue
        found = _fill_rack(need, members)
        if best is None or found.score < best.score:
            best = found
    return best


def _find_across_racks(
    pool: pools.Pool, centre: str, need: needs.Need, excluded: Set[str]
) -> ScoredPlaces | None:
    """Fill the racks that hold the most tasks first, to use few of them."""
    racks = list(_group_by_rack(pool, centre, need, excluded).values())
    racks.sort(key=lambda members: -sum(count for _, count in members))
    members = [member for rack in racks for member in rack]
    if sum(count for _, count in members) < need.tasks:
        return None
    places: list[core.TaskPlace] = []
    for worker, count in members:
        count = min(count, need.tasks - len(places))
        places += need.make_places(worker, worker.free_mask, count)
        if len(places) == need.tasks:
            break
    return ScoredPlaces((2, len({p.worker for p in places})), tuple(places))


_Members = list[tuple[worker_states.WorkerState, int]]


def _group_by_rack(
    pool: pools.Pool, centre: str, need: needs.Need, excluded: Set[str]
) -> dict[str, _Members]:
    """Return the workers by rack, each with the number of tasks it holds."""
    racks: dict[str, _Members] = {}
    for worker in _list_workers(pool, centre, need.accelerators, excluded):
        count = need.count_free_tasks(worker)
        if count:
            racks.setdefault(worker.rack, []).append((worker, count))
    return racks


def _fill_rack(need: needs.Need, members: _Members) -> ScoredPlaces:
    """Use partly occupied workers first, then as few free ones as needed."""
    members = sorted(members, key=_get_fill_order)
    places: list[core.TaskPlace] = []
    used_whole = 0
    for worker, count in members:
        count = min(count, need.tasks - len(places))
        if count <= 0:
            break
        places += need.make_places(worker, worker.free_mask, count)
        used_whole += worker.free_mask == cells.FULL_MASK
    whole = sum(worker.free_mask == cells.FULL_MASK for worker, _ in members)
    workers = len({place.worker for place in places})
    return ScoredPlaces(
        (1, used_whole, whole - used_whole, workers), tuple(places)
    )


def _get_fill_order(member: tuple[worker_states.WorkerState, int]) -> tuple:
    worker, count = member
    return worker.free_mask == cells.FULL_MASK, -count, worker.index
