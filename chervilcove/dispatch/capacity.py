"""Capacity of an entry: how large a fleet it can own.

The owner holds one or more connections to each worker, and a session with
state. The smallest machines have 1,638 descriptors and 160 MB. An owner that
runs out of either ends or answers nobody, and so would the next one of its
size. So entries that can't own the fleet claim later than those that can. If
none can, the largest one claims, and opens only as many sessions as it can
hold: first those with workers that run something.

A link that is too small ends nothing: its owner starts work more slowly
(`control/start_window.py`). Entries with such a link claim after the others.
"""

from collections.abc import Iterable
import itertools
import math
from typing import NamedTuple

# Connections of an owner: 2,075 at 999 workers and 4,281 at 3,000, measured.
# Beside one for each worker there are those of starts and stops, which several
# workers share; with few workers the line lies above what was measured.
CONNECTIONS_PER_WORKER = (4_281 - 2_075) / (3_000 - 999)
SHARED_CONNECTIONS = 2_075 - 999 * CONNECTIONS_PER_WORKER
MAX_CONNECTIONS_PER_WORKER = 10  # of the client of one worker
# Connections to the store, and of callers and other entries, of which there are
# up to 97.
OTHER_CONNECTIONS = 150
FILES = 200  # descriptors for files
# Memory of an entry that serves 60 callers at the limits of their requests.
BASE_MEMORY_MB = 90.0
# Peaks of 21.4 MB with 24 workers and 28.5 MB with 176 (docs/CAPACITY.md).
# Other causes of the difference count as the workers'.
MEMORY_MB_PER_WORKER = (28.5 - 21.4) / (176 - 24)
# Traffic of the busiest owner: 232 kB a second with 299 workers, 644 with 999.
KB_PER_S_PER_WORKER = (644 - 232) / (999 - 299)
BASE_KB_PER_S = 232 - 299 * KB_PER_S_PER_WORKER
LINK_HEADROOM = 1.5  # beside what was measured, for callers and snapshots
# Entries that can't own the fleet claim in as many groups, the largest first.
SIZE_GROUPS = 4
UNFIT_RANK = 2.0  # least rank of an entry that can't own the fleet


class EntryLimits(NamedTuple):
    """Limits of the machine of an entry; 0 for unknown.

    Attributes:
        max_fds: File descriptors that its process may open.
        memory_mb: Megabytes of memory that it may use.
        link_mbps: Rate of its link in Mbit/s.
    """

    max_fds: int = 0
    memory_mb: int = 0
    link_mbps: float = 0.0


UNKNOWN_LIMITS = EntryLimits()


class Candidate(NamedTuple):
    """A worker that may get a session.

    Attributes:
        worker: Its id.
        service: Pool that it belongs to.
        is_busy: Whether it has runs of the owner.
        has_session: Whether a session with it is open.
        is_draining: Whether it leaves soon.
    """

    worker: str
    service: str
    is_busy: bool
    has_session: bool
    is_draining: bool


def compute_descriptors(workers: int) -> int:
    """Return the descriptors that an owner of some workers needs."""
    connections = min(
        workers * MAX_CONNECTIONS_PER_WORKER,
        SHARED_CONNECTIONS + workers * CONNECTIONS_PER_WORKER,
    )
    return math.ceil(connections) + OTHER_CONNECTIONS + FILES


def compute_memory_mb(workers: int) -> float:
    """Return the megabytes of memory that an owner of some workers needs."""
    return BASE_MEMORY_MB + workers * MEMORY_MB_PER_WORKER


def compute_link_mbps(workers: int) -> float:
    """Return the Mbit/s of a link that an owner of some workers needs."""
    kb_per_s = BASE_KB_PER_S + workers * KB_PER_S_PER_WORKER
    return kb_per_s * LINK_HEADROOM * 8 / 1_000


def can_own(limits: EntryLimits, workers: int) -> bool:
    """Return whether an entry can own a fleet of some workers."""
    if limits.max_fds and compute_descriptors(workers) > limits.max_fds:
        return False
    return not (
        limits.memory_mb and compute_memory_mb(workers) > limits.memory_mb
    )


def count_ownable_workers(limits: EntryLimits) -> int | None:
    """Return how many workers an entry can own, at least 1.

    Returns:
        None if neither limit is known.
    """
    counts = []
    if limits.max_fds:
        left = limits.max_fds - OTHER_CONNECTIONS - FILES
        counts.append(
            max(
                left / MAX_CONNECTIONS_PER_WORKER,
                (left - SHARED_CONNECTIONS) / CONNECTIONS_PER_WORKER,
            )
        )
    if limits.memory_mb:
        counts.append(
            (limits.memory_mb - BASE_MEMORY_MB) / MEMORY_MB_PER_WORKER
        )
    return max(1, math.floor(min(counts))) if counts else None


def compute_claim_rank(rank: float, limits: EntryLimits, workers: int) -> float:
    """Return the rank of an entry's claim for a fleet of some workers.

    Args:
        rank: Rank from 0 to 1 among entries that can own the fleet.
        limits: Limits of the entry.
        workers: Number of workers, 0 if unknown.

    Returns:
        `rank` if the entry can own the fleet; 1 more if its link is too small
        for that. Else a rank of 2 or more, by groups of what part of the fleet
        it can own.
    """
    if can_own(limits, workers):
        is_narrow = 0 < limits.link_mbps < compute_link_mbps(workers)
        return rank + 1.0 if is_narrow else rank
    share = min(1.0, (count_ownable_workers(limits) or workers) / workers)
    group = math.floor((1.0 - share) * SIZE_GROUPS)
    return UNFIT_RANK + min(group, SIZE_GROUPS - 1) + rank


def choose_workers(candidates: Iterable[Candidate], limit: int) -> set[str]:
    """Return the workers that get the sessions of an owner, by need.

    Busy workers come first, since their leases must be renewed, then those
    with a session. Of the others, workers that stay come before those that
    leave, each pool in turn.

    Args:
        candidates: All workers.
        limit: Number of sessions.
    """
    turns: dict[str, itertools.count[int]] = {}
    ordered = sorted(
        candidates,
        key=lambda one: (not one.is_busy, not one.has_session, one.is_draining),
    )
    ranked = []
    for one in ordered:
        # Pools take turns among the workers without a session only.
        turn = 0
        if not (one.is_busy or one.has_session):
            turn = next(turns.setdefault(one.service, itertools.count()))
        ranked.append(
            (not one.is_busy, not one.has_session, one.is_draining, turn)
        )
    pairs = sorted(zip(ranked, ordered, strict=True), key=lambda pair: pair[0])
    return {one.worker for _, one in pairs[:limit]}
