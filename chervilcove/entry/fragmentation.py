"""Fragmentation: share of free accelerators that waiting jobs can't use."""

from collections.abc import Iterable

from chervilcove.scheduling import core as scheduling
from chervilcove.scheduling import pool as pools

_GROUP_KEYS = {"rack": ("data_centre", "rack"), "data_centre": ("data_centre",)}


def count_free_accelerators(pool: pools.Pool) -> int:
    """Return the number of free accelerators on usable workers."""
    return sum(mask.bit_count() for mask in _list_free_masks(pool).values())


def compute_fragmentation(
    pool: pools.Pool, waiting: Iterable[scheduling.JobSpec]
) -> float:
    """Return the share of free accelerators that can't be used, 0 to 1.

    The largest waiting shape decides: as many of its gangs as fit are placed,
    each within one worker, rack or data centre as the shape requires, and the
    accelerators that stay free count as fragmented. The share is 0 if no
    waiting job needs accelerators.

    Args:
        pool: Workers and running gangs.
        waiting: Specifications of the waiting jobs.
    """
    specs = [spec for spec in waiting if spec["accelerators"]]
    free_count = count_free_accelerators(pool)
    if not specs or not free_count:
        return 0.0
    largest = max(specs, key=_count_accelerators)
    used_count = _count_gangs(pool, largest) * _count_accelerators(largest)
    return max(0.0, 1.0 - used_count / free_count)


def _list_free_masks(pool: pools.Pool) -> dict[str, int]:
    return {
        worker: pool.get_free_mask(worker)
        for worker in pool.configuration["workers"]
        if pool.is_usable(worker)
    }


def _count_accelerators(spec: scheduling.JobSpec) -> int:
    return spec["tasks"] * spec["accelerators"]


def _count_gangs(pool: pools.Pool, spec: scheduling.JobSpec) -> int:
    size = spec["accelerators"]
    block_mask = (1 << size) - 1
    keys = _GROUP_KEYS.get(spec["adjacent"], ("name",))
    task_counts: dict[tuple, int] = {}
    for name, mask in _list_free_masks(pool).items():
        worker = pool.configuration["workers"][name]
        if (
            spec["data_centres"]
            and worker["data_centre"] not in spec["data_centres"]
        ):
            continue
        fitting_count = sum(
            mask >> start & block_mask == block_mask
            for start in range(0, worker["accelerators"], size)
        )
        group = tuple(worker[key] for key in keys)
        task_counts[group] = task_counts.get(group, 0) + fitting_count
    return sum(count // spec["tasks"] for count in task_counts.values())
