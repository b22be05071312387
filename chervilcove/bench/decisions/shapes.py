"""Count how many gangs fit, independently of the scheduling package."""

from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

WORKER_ACCELERATORS = 8
LEVELS = ("accelerator", "pair", "quad", "worker", "rack", "data_centre")
_RANKS = {level: rank for rank, level in enumerate(LEVELS)}
_LEVEL_SIZES = {"accelerator": 1, "pair": 2, "quad": 4, "worker": 8}


class FreeWorker(NamedTuple):
    """Free resources of one usable worker; `mask` has its accelerators."""

    worker: str
    rack: str
    data_centre: str
    mask: int
    processors: float
    memory_gb: float


def get_level_rank(level: str) -> int:
    """Return the rank of an adjacency level; the tightest has rank 0."""
    return _RANKS[level]


def count_fitting_gangs(
    spec: Any, free_workers: Iterable[FreeWorker], limit: int | None = None
) -> int:
    """Return how many complete gangs of `spec` fit into `free_workers`.

    Within a worker, tasks use aligned groups of accelerators. No gang spans
    two groups of its adjacency level, and the count is exact for one level.
    With `limit`, the result is at most that.
    """
    groups: dict[tuple[str, ...], int] = {}
    level = spec["adjacent"]
    for free_worker in free_workers:
        if (
            spec["data_centres"]
            and free_worker.data_centre not in spec["data_centres"]
        ):
            continue
        if level in _LEVEL_SIZES:
            _count_blocks(spec, free_worker, _LEVEL_SIZES[level], groups)
            continue
        key = (free_worker.data_centre,)
        if level == "rack":
            key = (free_worker.data_centre, free_worker.rack)
        groups[key] = groups.get(key, 0) + count_tasks(
            spec, free_worker, free_worker.mask
        )
    gangs = sum(tasks // spec["tasks"] for tasks in groups.values())
    return gangs if limit is None else min(gangs, limit)


def _count_blocks(
    spec: Any,
    free_worker: FreeWorker,
    size: int,
    groups: dict[tuple[str, ...], int],
) -> None:
    left = count_tasks(spec, free_worker, free_worker.mask)
    for start in range(0, WORKER_ACCELERATORS, size):
        block = free_worker.mask & (((1 << size) - 1) << start)
        tasks = min(count_tasks(spec, free_worker, block), left)
        tasks -= tasks % spec["tasks"]
        left -= tasks
        groups[(free_worker.worker, str(start))] = tasks


def count_tasks(spec: Any, free_worker: FreeWorker, mask: int) -> int:
    """Return how many tasks of `spec` fit the accelerators in `mask`."""
    limits = []
    size = spec["accelerators"]
    if size:
        wanted = (1 << size) - 1
        limits.append(
            sum(
                mask >> start & wanted == wanted
                for start in range(0, WORKER_ACCELERATORS, size)
            )
        )
    if spec["processors"]:
        limits.append(int(free_worker.processors / spec["processors"] + 1e-9))
    if spec["memory_gb"]:
        limits.append(int(free_worker.memory_gb / spec["memory_gb"] + 1e-9))
    return max(min(limits), 0) if limits else spec["tasks"]


def count_accelerators(spec: Any) -> int:
    """Return the number of accelerators of the whole gang."""
    return spec["tasks"] * spec["accelerators"]


def list_empty_workers(
    configuration: Any,
    excluded: Iterable[str],
    include_out_of_service: bool = False,
) -> list[FreeWorker]:
    """Return all resources of the workers, as if nothing ran on them.

    Args:
        configuration: Configuration in effect.
        excluded: Names of workers to leave out.
        include_out_of_service: Whether to include data centres that are out
            of service.
    """
    excluded_names = set(excluded)
    centres = configuration["data_centres"]
    return [
        FreeWorker(
            name,
            worker["rack"],
            worker["data_centre"],
            (1 << worker["accelerators"]) - 1,
            float(worker["processors"]),
            float(worker["memory_gb"]),
        )
        for name, worker in configuration["workers"].items()
        if name not in excluded_names
        and (
            include_out_of_service
            or centres[worker["data_centre"]]["in_service"]
        )
    ]
