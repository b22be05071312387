"""Sample the free accelerators and how many the largest gang can use."""

from chervilcove.bench.decisions import record as records
from chervilcove.bench.decisions import shapes
from chervilcove.scheduling import core
from chervilcove.scheduling import pool as pools


def take_sample(
    pool: pools.Pool,
    queue: list[core.QueuedJob],
    now: float,
    pool_state: records.PoolState,
) -> records.Sample:
    """Return a sample of the pool and the queue at the time `now`."""
    free_workers = list_free_workers(pool, pool_state)
    free = sum(free_worker.mask.bit_count() for free_worker in free_workers)
    ready = [job for job in queue if job.not_before <= now]
    spec = find_largest_gang(ready)
    if spec is None or not free:
        return records.Sample(now, free, 0, 0, len(ready))
    size = shapes.count_accelerators(spec)
    used = shapes.count_fitting_gangs(spec, free_workers) * size
    reachable = free - free % size
    return records.Sample(
        now, free, free - used, max(reachable - used, 0), len(ready)
    )


def list_free_workers(
    pool: pools.Pool, pool_state: records.PoolState
) -> list[shapes.FreeWorker]:
    """Return the free resources of the workers that are usable.

    Lost and failing workers are left out even where the pool still offers
    them.
    """
    unusable_workers = pool_state.lost | pool_state.failing
    centres = pool_state.configuration["data_centres"]
    return [
        shapes.FreeWorker(
            name,
            worker["rack"],
            worker["data_centre"],
            pool.get_free_mask(name),
            pool.get_free_processors(name),
            pool.get_free_memory_gb(name),
        )
        for name, worker in pool_state.configuration["workers"].items()
        if name not in unusable_workers
        and centres[worker["data_centre"]]["in_service"]
    ]


def find_largest_gang(queue: list[core.QueuedJob]) -> core.JobSpec | None:
    """Return the waiting gang with the most accelerators, or None.

    Among equals, the one that needs the tightest adjacency is returned.
    """
    specs = [job.spec for job in queue if job.spec["accelerators"]]
    if not specs:
        return None
    return max(
        specs,
        key=lambda spec: (
            shapes.count_accelerators(spec),
            -shapes.get_level_rank(spec["adjacent"]),
        ),
    )
