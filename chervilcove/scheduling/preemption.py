"""Search for the cheapest gangs to preempt so that another gang fits."""

from collections.abc import Iterable
from collections.abc import Set
from typing import NamedTuple

from chervilcove.scheduling import core
from chervilcove.scheduling import needs
from chervilcove.scheduling import pool as pools
from chervilcove.scheduling import rounds
from chervilcove.scheduling import worker_states
from chervilcove.topology import cells

_MAX_WORKERS = 96
_MAX_GROUPS = 16


class PreemptionOption(NamedTuple):
    """Places for a gang, or for a part of one, and the gangs to stop for it.

    Attributes:
        cost: Cost of stopping the victims, as of `Round.get_preemption_cost`.
        places: Places that become available.
        victims: Jobs to stop.
    """

    cost: float
    places: tuple[core.TaskPlace, ...]
    victims: tuple[str, ...]


def is_preemptible(allocation: pools.GangAllocation) -> bool:
    """Allow to preempt every gang that isn't non-preemptible."""
    return not allocation.is_nonpreemptible


def is_preemptible_by_urgent(allocation: pools.GangAllocation) -> bool:
    """Allow to preempt normal and batch work that isn't non-preemptible."""
    is_urgent = allocation.gang.urgency == core.Urgency.URGENT
    return not allocation.is_nonpreemptible and not is_urgent


def make_own_slot_rule(slot: str) -> rounds.PreemptionRule:
    """Return a rule for urgent work of the customer that owns `slot`.

    Besides borrowing gangs, it allows to preempt the idempotent gangs in
    `slot` that aren't urgent.
    """

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
    worker: worker_states.WorkerState,
    need: needs.Need,
    allowed_mask: int,
    count: int,
    rule: rounds.PreemptionRule,
) -> PreemptionOption | None:
    """Find places for tasks on one worker, with the gangs to stop for them.

    Args:
        round_: The round.
        worker: State of the worker.
        need: Need of the gang.
        allowed_mask: Accelerators that may be used.
        count: Number of tasks.
        rule: Decides which gangs may be preempted.

    Returns:
        The option, without victims if the tasks fit into free resources,
        or None if the tasks can't be placed.
    """
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
    """Combine the options of the parts of one gang.

    The cost of a victim of several parts counts once.

    Returns:
        The option for the whole gang, None if a part has none.
    """
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
    """Return the cheapest option found for a gang that borrows.

    Args:
        round_: The round.
        need: Need of the gang.
        rule: Decides which gangs may be preempted.
        avoided: Workers not to use.
        is_thorough: Whether to search on until some option is found. If not,
            a limited number of workers and racks is examined.
    """
    best = None
    if need.total_accelerators <= cells.ACCELERATORS_PER_WORKER:
        best = _find_worker(round_, need, rule, avoided, is_thorough)
    if best is not None or need.span == "worker":
        return best
    return _find_workers(round_, need, rule, avoided, is_thorough)


def list_usable_workers(
    pool: pools.Pool, centres: Iterable[str]
) -> list[worker_states.WorkerState]:
    """Return the usable workers, those with the largest free cells first.

    Args:
        pool: The pool.
        centres: Data centres to use; empty for all.
    """
    found: list[worker_states.WorkerState] = []
    buckets = [
        pool.buckets[centre]
        for centre in centres or pool.buckets
        if centre in pool.buckets
    ]
    for size in reversed((0, *cells.CELL_SIZES)):
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
) -> list[list[worker_states.WorkerState]]:
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
    members: list[worker_states.WorkerState],
) -> PreemptionOption | None:
    """Use free resources, then preempt where a gained task costs least."""
    counts = {worker: need.count_free_tasks(worker) for worker in members}
    missing = need.tasks - sum(counts.values())
    if missing > 0:
        for worker, gain in _list_gains(round_, need, rule, counts):
            counts[worker] += gain
            missing -= gain
            if missing <= 0:
                break
    if missing > 0:
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
    counts: dict[worker_states.WorkerState, int],
) -> list[tuple[worker_states.WorkerState, int]]:
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
    worker: worker_states.WorkerState,
    victims: list[tuple[float, str, worker_states.WorkerAllocation]],
) -> int:
    mask = worker.free_mask
    for _, _, part in victims:
        mask |= part.mask
    return mask


def _make_places(
    worker: worker_states.WorkerState, masks: tuple[int, ...]
) -> tuple[core.TaskPlace, ...]:
    return tuple(core.TaskPlace(worker.name, mask) for mask in masks)
