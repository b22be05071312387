"""Claims of slots: places for a gang within the guarantees of its customer.

A gang in its slot preempts borrowed work there. An unbound slot is bound to
the cheapest cells that leave a place for all other slots. Whether the other
slots still fit depends only on the kind of cell, so one failed attempt rules
out all cells of that kind.
"""

from collections.abc import Iterable
from collections.abc import Set

from chervilcove.customers import guarantees
from chervilcove.scheduling import bindings
from chervilcove.scheduling import core
from chervilcove.scheduling import needs
from chervilcove.scheduling import preemption
from chervilcove.scheduling import rounds
from chervilcove.scheduling import worker_states
from chervilcove.topology import cells
from chervilcove.topology import packing

# Examined places of one kind: normally, if they need no preemption, and once
# enough candidates are known.
_MAX_SAME_KIND = 16
_MAX_FREE_SAME_KIND = 4
_ENOUGH_CANDIDATES = 24
_MIN_SAME_KIND = 2

# Data centre, size of the bindable block, and for whole workers the number of
# unreserved whole workers in the rack.
_CellKind = tuple[str, int, int]
# Sort key, kind and option.
_Candidate = tuple[tuple, _CellKind, preemption.PreemptionOption]


def claim_slot(
    round_: rounds.Round,
    job: core.QueuedJob,
    need: needs.Need,
    avoided: Set[str],
) -> bool:
    """Start `job` in a slot of its customer and tell whether it started."""
    for slot in _list_slots(round_, job, need):
        binding = round_.pool.bindings.bound.get(slot.name)
        if slot.demand.level == "worker":
            found = _find_cells(round_, slot, binding, need, avoided)
        else:
            found = _find_workers(round_, slot, binding, need, avoided)
        if _place_cheapest(round_, job, slot, found):
            return True
    return False


def has_slot(
    round_: rounds.Round, job: core.QueuedJob, need: needs.Need
) -> bool:
    """Tell whether a slot of the customer is large enough for `job`."""
    return bool(_list_slots(round_, job, need))


def preempt_own_work(
    round_: rounds.Round,
    job: core.QueuedJob,
    need: needs.Need,
    avoided: Set[str],
) -> bool:
    """Start urgent work in place of work of its own customer in a slot."""
    bound = round_.pool.bindings.bound
    for slot in round_.pool.bindings.slots_by_customer.get(
        job.spec["customer"], ()
    ):
        binding = bound.get(slot.name)
        if (
            binding is None
            or slot.demand.accelerators < need.total_accelerators
        ):
            continue
        rule = preemption.make_own_slot_rule(slot.name)
        if slot.demand.level == "worker":
            found = _find_cells(round_, slot, binding, need, avoided, rule)
        else:
            found = _find_workers(round_, slot, binding, need, avoided, rule)
        if _place_cheapest(round_, job, slot, found, core.Reason.URGENT_WORK):
            return True
    return False


def _list_slots(
    round_: rounds.Round, job: core.QueuedJob, need: needs.Need
) -> list[guarantees.Slot]:
    """Return the slots to try for `job`, in order.

    Bound slots with enough unused accelerators come first, then one unbound
    slot of each demand, both ordered by size.
    """
    if not need.accelerators:
        return []
    pool = round_.pool
    bound = []
    unbound: dict[packing.Demand, guarantees.Slot] = {}
    for slot in pool.bindings.slots_by_customer.get(job.spec["customer"], ()):
        demand = slot.demand
        if demand.accelerators < need.total_accelerators:
            continue
        is_bounded = demand.centres and need.centres
        if is_bounded and not set(demand.centres) & set(need.centres):
            continue
        if slot.name in pool.bindings.bound:
            if _has_unused(pool.bindings.bound[slot.name], need):
                bound.append(slot)
        else:
            unbound.setdefault(demand, slot)
    bound.sort(key=_get_size)
    return bound + sorted(unbound.values(), key=_get_size)


def _get_size(slot: guarantees.Slot) -> int:
    return slot.demand.accelerators


def _has_unused(binding: bindings.Binding, need: needs.Need) -> bool:
    used = sum(
        part.mask.bit_count()
        for parts in binding.by_job.values()
        for part in parts.values()
    )
    return binding.slot.demand.accelerators - used >= need.total_accelerators


def _place_cheapest(
    round_: rounds.Round,
    job: core.QueuedJob,
    slot: guarantees.Slot,
    candidates: Iterable[_Candidate],
    reason: core.Reason = core.Reason.RECLAIMED,
) -> bool:
    refused: set[_CellKind] = set()
    for _, kind, option in sorted(candidates, key=lambda each: each[0]):
        if kind in refused:
            continue
        if round_.place(
            job,
            option.places,
            slot=slot.name,
            victims=option.victims,
            reason=reason,
        ):
            return True
        refused.add(kind)
    return False


def _is_allowed(
    worker: worker_states.WorkerState,
    slot: guarantees.Slot,
    need: needs.Need,
    avoided: Set[str],
) -> bool:
    if not worker.is_usable or worker.name in avoided:
        return False
    if need.centres and worker.data_centre not in need.centres:
        return False
    centres = slot.demand.centres
    return not centres or worker.data_centre in centres


def _find_cells(
    round_: rounds.Round,
    slot: guarantees.Slot,
    binding: bindings.Binding | None,
    need: needs.Need,
    avoided: Set[str],
    rule: rounds.PreemptionRule = preemption.is_preemptible,
) -> list[_Candidate]:
    size = slot.demand.size
    found: list[_Candidate] = []
    if binding is not None:
        ((worker, mask),) = binding.masks.items()
        if _is_allowed(worker, slot, need, avoided):
            mask = _get_usable_mask(round_, binding, worker, mask, rule)
            _add_cell(round_, need, worker, mask, mask, found, rule)
        return found
    seen: dict[_CellKind, int] = {}
    for worker in preemption.list_usable_workers(
        round_.pool, slot.demand.centres
    ):
        bindable = worker.get_bindable_mask()
        if bindable == cells.FULL_MASK:
            whole = _get_kind(round_, worker, cells.ACCELERATORS_PER_WORKER)
            if seen.get(whole, 0) >= _MAX_SAME_KIND:
                continue
        if not _is_allowed(worker, slot, need, avoided):
            continue
        if not need.fits_whole_gang(
            size * worker.processor_share, size * worker.memory_share
        ):
            continue
        for mask in cells.list_cells(bindable, size):
            kind = _get_kind(
                round_, worker, cells.get_block_size(bindable, mask)
            )
            if _should_examine(seen, kind, found):
                _add_cell(round_, need, worker, mask, bindable, found, rule)
    return found


def _should_examine(
    seen: dict[_CellKind, int], kind: _CellKind, found: list[_Candidate]
) -> bool:
    """Count one more place of a kind and tell whether to examine it.

    Fewer places of a kind are examined if the last one needed no preemption
    or if many candidates are known.
    """
    count = seen.get(kind, 0)
    weight = 1
    if found and found[-1][1] == kind and not found[-1][2].victims:
        weight = _MAX_SAME_KIND // _MAX_FREE_SAME_KIND
    seen[kind] = count + weight
    if len(found) >= _ENOUGH_CANDIDATES:
        return count < _MIN_SAME_KIND
    return count < _MAX_SAME_KIND


def _get_usable_mask(
    round_: rounds.Round,
    binding: bindings.Binding,
    worker: worker_states.WorkerState,
    mask: int,
    rule: rounds.PreemptionRule,
) -> int:
    """Return `mask` without the gangs of the slot that must not be stopped."""
    for job, parts in binding.by_job.items():
        if worker in parts and not rule(round_.pool.allocations[job]):
            mask &= ~parts[worker].mask
    return mask


def _get_kind(
    round_: rounds.Round, worker: worker_states.WorkerState, block: int
) -> _CellKind:
    if block < cells.ACCELERATORS_PER_WORKER:
        return worker.data_centre, block, 0
    return (
        worker.data_centre,
        block,
        round_.pool.bindings.count_bindable_workers(worker),
    )


def _add_cell(
    round_: rounds.Round,
    need: needs.Need,
    worker: worker_states.WorkerState,
    mask: int,
    bindable: int,
    found: list[_Candidate],
    rule: rounds.PreemptionRule,
) -> None:
    option = preemption.find_on_worker(
        round_, worker, need, mask, need.tasks, rule
    )
    if option is None:
        return
    kind = _get_kind(round_, worker, cells.get_block_size(bindable, mask))
    block = cells.get_block_size(worker.free_mask, option.places[0].mask)
    key = (option.cost, kind[1], kind[2], block, worker.index, mask)
    found.append((key, kind, option))


def _find_workers(
    round_: rounds.Round,
    slot: guarantees.Slot,
    binding: bindings.Binding | None,
    need: needs.Need,
    avoided: Set[str],
    rule: rounds.PreemptionRule = preemption.is_preemptible,
) -> list[_Candidate]:
    """Return candidates within single racks, and across racks if allowed."""
    found: list[_Candidate] = []
    seen: dict[_CellKind, int] = {}
    in_rack = "rack" in (slot.demand.level, need.span)
    for centre, racks in round_.pool.workers_by_rack.items():
        across: list[worker_states.WorkerState] = []
        for rack in racks.values():
            members = _list_members(slot, binding, need, rack, avoided)
            if not members:
                continue
            across += members
            kind = _get_kind(round_, members[0], cells.ACCELERATORS_PER_WORKER)
            is_short = kind[2] < slot.demand.size
            if binding is None and slot.demand.level == "rack" and is_short:
                continue
            if _should_examine(seen, kind, found):
                _add_workers(
                    round_, slot, binding, need, members, kind, found, rule
                )
        if not in_rack and need.span == "data_centre" and across:
            kind = (centre, 0, 0)
            _add_workers(round_, slot, binding, need, across, kind, found, rule)
    return found


def _list_members(
    slot: guarantees.Slot,
    binding: bindings.Binding | None,
    need: needs.Need,
    rack: list[worker_states.WorkerState],
    avoided: Set[str],
) -> list[worker_states.WorkerState]:
    """Return the workers of a rack that the slot is or may be bound to."""
    if binding is not None:
        first = next(iter(binding.masks))
        if slot.demand.level == "rack" and rack[0].rack != first.rack:
            return []
        if rack[0].data_centre != first.data_centre:
            return []
    members = []
    for worker in rack:
        if not _is_allowed(worker, slot, need, avoided):
            continue
        is_bound = binding is not None and worker in binding.masks
        is_whole = worker.full_mask == cells.FULL_MASK
        if is_bound or (is_whole and worker.can_bind(cells.FULL_MASK)):
            members.append(worker)
    return members


def _add_workers(
    round_: rounds.Round,
    slot: guarantees.Slot,
    binding: bindings.Binding | None,
    need: needs.Need,
    members: list[worker_states.WorkerState],
    kind: _CellKind,
    found: list[_Candidate],
    rule: rounds.PreemptionRule,
) -> None:
    """Fill the workers bound to the slot, then the cheapest other ones."""
    bound = binding.masks if binding is not None else {}
    spare = slot.demand.size - len(bound)
    ranked = []
    free = 0
    for worker in members:
        if free >= need.tasks and not bound:
            break
        mask = cells.FULL_MASK
        if binding is not None:
            mask = _get_usable_mask(round_, binding, worker, mask, rule)
        count = need.count_tasks(
            mask,
            cells.ACCELERATORS_PER_WORKER * worker.processor_share,
            cells.ACCELERATORS_PER_WORKER * worker.memory_share,
        )
        if not count:
            continue
        part = preemption.find_on_worker(
            round_, worker, need, mask, count, rule
        )
        if part is not None:
            free += count * (not part.victims)
            key = (worker not in bound, part.cost / count, worker.index)
            ranked.append((key, worker, mask, count, part))
    ranked.sort(key=lambda entry: entry[0])
    chosen = []
    left = need.tasks
    for _, worker, mask, count, part in ranked:
        if left <= 0 or (worker not in bound and not spare):
            continue
        spare -= worker not in bound
        if count > left:
            part = preemption.find_on_worker(
                round_, worker, need, mask, left, rule
            )
        chosen.append(part)
        left -= count
    option = preemption.combine_options(round_, chosen)
    if left <= 0 and option is not None:
        key = (option.cost, kind[1] == 0, kind[2], option.places[0].worker)
        found.append((key, kind, option))
