"""Reasons why no place was found for a gang."""

from collections.abc import Set
import functools

from chervilcove.scheduling import core
from chervilcove.scheduling import finder
from chervilcove.scheduling import needs
from chervilcove.scheduling import pool as pools
from chervilcove.scheduling import preemption

_MAX_DESCRIBED = 4_096


def find_wait_reason(
    pool: pools.Pool, need: needs.Need, avoided: Set[str]
) -> core.Reason:
    """Return the reason why a gang without a place waits.

    It is reserved if free places exist, which a guarantee or another gang
    needs, and fragmented if only adjacency is missing.
    """
    configured = pool.configuration["data_centres"]
    centres = [configured[name] for name in need.centres or configured]
    if not any(centre["in_service"] for centre in centres):
        return core.Reason.DATA_CENTRE_OUT
    free = sum(
        worker.free_mask.bit_count()
        for worker in preemption.list_usable_workers(pool, need.centres)
    )
    if free < need.total_accelerators or not need.total_accelerators:
        return core.Reason.NO_ROOM
    if finder.find_free_places(pool, need, avoided) is not None:
        return core.Reason.RESERVED
    return core.Reason.FRAGMENTED


@functools.lru_cache(maxsize=_MAX_DESCRIBED)
def describe_need(need: needs.Need) -> str:
    """Return a description of `need` for people."""
    places = ", ".join(need.centres) or "any data centre"
    size = f"{need.tasks} x {need.accelerators} accelerators"
    return f"{size} within one {need.span} in {places}"
