"""Exhaustive search for a packing, the reference for `packing.pack`."""

import functools


def fits(supply, demands):
    """Tell whether all demands fit, by trying every placement."""
    units = []
    for demand, count in demands.items():
        units += [(demand.level, demand.size, demand.centres)] * count
    workers = []
    for centre in sorted(supply):
        for rack, count in enumerate(supply[centre].racks):
            workers += [(centre, rack, (8,))] * count
        for index, count in enumerate(supply[centre].blocks):
            workers += [(centre, -1, (1 << index,))] * count
    return fits_workers(units, workers)


def fits_workers(units, workers):
    """Tell whether all units fit on the workers.

    Args:
        units: Shapes as (level, size, allowed data centres). A shape of level
            "rest" takes whole workers of one rack, named in place of the data
            centres.
        workers: Workers as (data centre, rack, sizes of free blocks).
    """
    units = sorted(units, key=lambda u: (u[0] == "worker", -u[1], u[2]))
    return _search(tuple(units), tuple(sorted(workers)))


@functools.cache
def _search(units, workers):
    if not units:
        return True
    (level, size, centres), rest = units[0], units[1:]
    if level == "worker":
        options = _place_cell(size, centres, workers)
    else:
        options = _place_workers(level, size, centres, workers)
    return any(_search(rest, option) for option in set(options))


def _place_cell(size, centres, workers):
    for index, (centre, rack, blocks) in enumerate(workers):
        if centres and centre not in centres:
            continue
        for block in set(blocks):
            if block < size:
                continue
            left = list(blocks)
            left.remove(block)
            while block > size:
                block //= 2
                left.append(block)
            changed = (centre, rack, tuple(sorted(left)))
            others = workers[:index] + workers[index + 1 :]
            yield tuple(sorted((*others, changed)))


def _place_workers(level, size, centres, workers):
    def is_candidate(worker):
        centre, rack, blocks = worker
        if level == "rest":
            return blocks == (8,) and (rack,) == centres
        return blocks == (8,) and (not centres or centre in centres)

    def extend(chosen, start):
        if len(chosen) == size:
            yield tuple(w for i, w in enumerate(workers) if i not in chosen)
            return
        for index in range(start, len(workers)):
            worker = workers[index]
            if not is_candidate(worker):
                continue
            keep = 2 if level == "rack" else 1
            if chosen and worker[:keep] != workers[chosen[0]][:keep]:
                continue
            yield from extend((*chosen, index), index + 1)

    return extend((), 0)
