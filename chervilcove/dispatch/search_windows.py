"""Which workers a search for room looks at in a large pool.

A search reads what runs on each worker that it looks at. With a thousand
workers and 27 tasks on each, that took most of a round. In pools of more than
`FULL_SEARCH_WORKERS`, a search looks at a window: whole racks with about
`WINDOW_WORKERS` workers. The searches that follow look at others.
"""

from collections.abc import Sequence
import zlib

from chervilcove.dispatch import placement
from chervilcove.dispatch import resources as resource_values

# The largest pool in service has 540 workers. Windows cost some work: in drawn
# rounds of 1,000 workers, 24% more tasks were stopped (1,814 instead of 1,462).
FULL_SEARCH_WORKERS = 600
# Rounds with 70 waiting steps in a full pool of 1,000 workers took 451 ms at
# p50 without windows, 172 ms with windows of this size.
WINDOW_WORKERS = 300
# A window can hold a step this many times over when empty, as part of what runs
# there may not be stopped.
MIN_CAPACITY_FACTOR = 2
TURN_MS = 100  # as long as a search without result isn't repeated

Pool = list[resource_values.WorkerResources]


def get_turn(now_ms: int) -> int:
    """Return the turn of the searches of a round, by its time."""
    return now_ms // TURN_MS


def get_fixed_turn(step_key: tuple[str, int, int]) -> int:
    """Return the turn of a step, the same in each round."""
    return zlib.crc32(repr(step_key).encode())


def limit_pools(
    pools: Sequence[Pool], request: placement.PlacementRequest, turn: int
) -> list[Pool]:
    """Return the pools to search: all, or whole racks from them.

    Args:
        pools: Sets of workers that are searched apart from each other.
        request: Request that needs workers for all of its tasks.
        turn: Number that selects the workers.
    """
    if sum(map(len, pools)) <= FULL_SEARCH_WORKERS:
        return list(pools)
    if len(pools) > 1:
        return _take(pools, request, turn)
    racks = resource_values.group_by_rack(pools[0])
    near = racks.pop(request.step.data_rack, [])
    parts = [
        rack[first : first + WINDOW_WORKERS]
        for _, rack in sorted(racks.items())
        for first in range(0, len(rack), WINDOW_WORKERS)
    ]
    chosen = {
        one.worker.id for part in _take(parts, request, turn) for one in part
    }
    chosen.update(one.worker.id for one in near)
    return [[one for one in pools[0] if one.worker.id in chosen]]


def _take(
    parts: Sequence[Pool], request: placement.PlacementRequest, turn: int
) -> list[Pool]:
    """Return parts that follow each other, enough of them for the request."""
    if not parts:
        return []
    per_turn = max(1, WINDOW_WORKERS * len(parts) // sum(map(len, parts)))
    first = turn * per_turn % len(parts)
    wanted = MIN_CAPACITY_FACTOR * request.count
    taken: list[Pool] = []
    worker_count = fitting = 0
    for part in [*parts[first:], *parts[:first]]:
        if fitting >= wanted and worker_count + len(part) > WINDOW_WORKERS:
            break
        taken.append(part)
        worker_count += len(part)
        fitting += sum(
            resource_values.count_fitting(
                one.worker.capacity, request.step.need, request.count
            )
            for one in part
        )
    return taken
