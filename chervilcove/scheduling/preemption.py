"""Preemption: the cheapest gangs to stop so that another fits."""

from collections.abc import Iterable
from collections.abc import Set
from typing import NamedTuple

from chervilcove.scheduling import core
from chervilcove.scheduling import needs
from chervilcove.scheduling import pool as pools
from chervilcove.scheduling import rooms
from chervilcove.scheduling import rounds
from chervilcove.topology import cells

_MAX_WORKERS = 96
_MAX_GROUPS = 16


class PreemptionOption(NamedTuple):
    """Say what has to stop for a gang or a part of one.

    Attributes:
        cost: Accelerator-seconds lost.
        places: Places gained.
        victims: Jobs to stop.
    """

    cost: float
    places: tuple[core.TaskPlace, ...]
    victims: tuple[str, ...]


def is_preemptible(allocation: pools.GangAllocation) -> bool:
    """Let every gang go that isn't firm."""
    return not allocation.is_nonpreemptible


def is_preemptible_by_urgent(allocation: pools.GangAllocation) -> bool:
    """Let normal and batch work go that isn't firm."""
    is_urgent = allocation.gang.urgency == core.Urgency.URGENT
    return not allocation.is_nonpreemptible and not is_urgent


def make_own_slot_rule(slot: str) -> rounds.PreemptionRule:
    """Let also go what isn't urgent in one slot, for its own customer."""

    def is_replaceable(allocation: pools.GangAllocation) -> bool:
        gang = allocation.gang
        is_own = allocation.in_slot and gang.slot == slot
        is_urgent = gang.urgency == core.Urgency.URGENT
        if is_own:
            return gang.idempotent and not is_urgent
        return is_preemptible(allocation)

    return is_replaceable


def find_on_worker(
    round_: rounds.Round,
    worker: rooms.Room,
    need: needs.Need,
    allowed_mask: int,
    count: int,
    rule: rounds.PreemptionRule,
) -> PreemptionOption | None:
    """Return what has to stop for `count` tasks within `allowed_mask` of a worker."""
    if need.count_tasks(
        allowed_mask & worker.free_mask,
        worker.free_processors,
        worker.free_memory,
    ) >= min(count, need.tasks):
        masks = need.pick_masks(allowed_mask & worker.free_mask, count)
        if masks:
            return PreemptionOption(0.0, _make_places(worker, masks), ())
    victims = round_.list_victims(worker, rule)
    allowed_mask &= _get_reclaimable_mask(worker, victims)
    masks = need.pick_masks(allowed_mask, count)
    if not masks:
        return None
    union = sum(masks)
    chosen = [each for each in victims if each[2].mask & union]
    processors = worker.free_processors - count * need.processors
    memory = worker.free_memory - count * need.memory
    processors += sum(each[2].processors for each in chosen)
    memory += sum(each[2].memory for each in chosen)
    for victim in victims:
        if processors >= 0 and memory >= 0:
            break
        if victim not in chosen:
            chosen.append(victim)
            processors += victim[2].processors
            memory += victim[2].memory
    if processors < 0 or memory < 0:
        return None
    return PreemptionOption(
        sum(each[0] for each in chosen),
        _make_places(worker, masks),
        tuple(each[1] for each in chosen),
    )


def combine_options(
    round_: rounds.Round, parts: Iterable[PreemptionOption | None]
) -> PreemptionOption | None:
    """Add up the parts of one gang; a victim counts once."""
    places: list[core.TaskPlace] = []
    victims: dict[str, None] = {}
    for part in parts:
        if part is None:
            return None
        places += part.places
        victims.update(dict.fromkeys(part.victims))
    allocations = round_.pool.allocations
    cost = sum(round_.get_preemption_cost(allocations[job]) for job in victims)
    return PreemptionOption(cost, tuple(places), tuple(victims))


def find_option(
    round_: rounds.Round,
    need: needs.Need,
    rule: rounds.PreemptionRule,
    avoided: Set[str],
    *,
    is_thorough: bool = False,
) -> PreemptionOption | None:
    """Return the cheapest clearing found for a gang that borrows.

    Args:
        round_: The round.
        need: Need of the gang.
        rule: Says which gangs may be stopped.
        avoided: Workers not to use.
        is_thorough: Whether to go on until some place is found. Else a
            bounded number of workers and racks is looked at.
    """
    best = None
    if need.total_accelerators <= cells.ACCELERATORS:
        best = _find_worker(round_, need, rule, avoided, is_thorough)
    if best is not None or need.span == "worker":
        return best
    return _find_workers(round_, need, rule, avoided, is_thorough)


def list_usable_workers(
    pool: pools.Pool, centres: Iterable[str]
) -> list[rooms.Room]:
    """Return the usable rooms, those with the largest free cells first."""
    found: list[rooms.Room] = []
    buckets = [
        pool.buckets[centre]
        for centre in centres or pool.buckets
        if centre in pool.buckets
    ]
    for size in reversed((0, *cells.SIZES)):
        for bucket in buckets:
            found += bucket[size].values()
    return found


def _find_worker(
    round_: rounds.Round,
    need: needs.Need,
    rule: rounds.PreemptionRule,
    avoided: Set[str],
    is_thorough: bool,
) -> PreemptionOption | None:
    best: PreemptionOption | None = None
    seen = 0
    size = cells.get_cell_size(max(need.total_accelerators, 1))
    for worker in list_usable_workers(round_.pool, need.centres):
        if (
            worker.name in avoided
            or worker.full_mask.bit_count() < need.total_accelerators
        ):
            continue
        allowed_masks: tuple[int, ...] = (cells.FULL_MASK,)
        if need.accelerators:
            allowed_masks = cells.list_cells(
                worker.full_mask & ~worker.bound_mask, size
            )
        for allowed_mask in allowed_masks:
            found = find_on_worker(
                round_, worker, need, allowed_mask, need.tasks, rule
            )
            if found and (best is None or found.cost < best.cost):
                best = found
        seen += bool(allowed_masks)
        if best and not best.cost:
            break
        if seen >= _MAX_WORKERS and (best or not is_thorough):
            break
    return best


def _find_workers(
    round_: rounds.Round,
    need: needs.Need,
    rule: rounds.PreemptionRule,
    avoided: Set[str],
    is_thorough: bool,
) -> PreemptionOption | None:
    best: PreemptionOption | None = None
    groups = _list_groups(round_.pool, need, avoided)
    for number, members in enumerate(groups):
        if number >= _MAX_GROUPS and (best or not is_thorough):
            break
        found = _find_in_group(round_, need, rule, members)
        if found and (best is None or found.cost < best.cost):
            best = found
    return best


def _list_groups(
    pool: pools.Pool, need: needs.Need, avoided: Set[str]
) -> list[list[rooms.Room]]:
    groups = []
    for name, racks in pool.workers_by_rack.items():
        if need.centres and name not in need.centres:
            continue
        lists = [
            [r for r in rack if r.is_usable and r.name not in avoided]
            for rack in racks.values()
        ]
        lists = [rack for rack in lists if rack]
        groups += lists
        if need.span == "data_centre":
            groups.append([worker for rack in lists for worker in rack])
    groups.sort(key=lambda group: -sum(r.free_mask.bit_count() for r in group))
    return groups


def _find_in_group(
    round_: rounds.Round,
    need: needs.Need,
    rule: rounds.PreemptionRule,
    members: list[rooms.Room],
) -> PreemptionOption | None:
    """Use what is free, then clear the workers that cost least a task."""
    counts = {worker: need.count_free_tasks(worker) for worker in members}
    lack = need.tasks - sum(counts.values())
    if lack > 0:
        for worker, gain in _list_gains(round_, need, rule, counts):
            counts[worker] += gain
            lack -= gain
            if lack <= 0:
                break
    if lack > 0:
        return None
    left = need.tasks
    parts = []
    for worker, count in sorted(
        counts.items(), key=lambda item: (-item[1], item[0].index)
    ):
        count = min(count, left)
        if count:
            parts.append(
                find_on_worker(
                    round_, worker, need, cells.FULL_MASK, count, rule
                )
            )
            left -= count
    return combine_options(round_, parts)


def _list_gains(
    round_: rounds.Round,
    need: needs.Need,
    rule: rounds.PreemptionRule,
    counts: dict[rooms.Room, int],
) -> list[tuple[rooms.Room, int]]:
    gains = []
    for worker, free in counts.items():
        victims = round_.list_victims(worker, rule)
        total = need.count_tasks(
            _get_reclaimable_mask(worker, victims),
            worker.free_processors + sum(v[2].processors for v in victims),
            worker.free_memory + sum(v[2].memory for v in victims),
        )
        if total > free:
            cost = sum(victim[0] for victim in victims)
            gains.append(
                (cost / (total - free), worker.index, worker, total - free)
            )
    gains.sort(key=lambda gain: gain[:2])
    return [(worker, gain) for _, _, worker, gain in gains]


def _get_reclaimable_mask(
    worker: rooms.Room, victims: list[tuple[float, str, rooms.WorkerAllocation]]
) -> int:
    mask = worker.free_mask
    for _, _, part in victims:
        mask |= part.mask
    return mask


def _make_places(
    worker: rooms.Room, masks: tuple[int, ...]
) -> tuple[core.TaskPlace, ...]:
    return tuple(core.TaskPlace(worker.name, mask) for mask in masks)
