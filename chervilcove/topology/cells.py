"""Cells: aligned groups of 1, 2, 4 or 8 accelerators of one worker.

A worker's accelerators are bits of a mask. Cells split and merge as in a
buddy allocator, so that a free cell is never broken where a smaller one
would do. Guarantees made of cells are published as HiveD (Zhao et al.,
"HiveD: Sharing a GPU Cluster for Deep Learning with Guarantees", OSDI 2020).
"""

import functools

ACCELERATORS = 8
SIZES = (1, 2, 4, 8)
FULL_MASK = (1 << ACCELERATORS) - 1


def get_cell_size(accelerators: int) -> int:
    """Return the size of the smallest cell that holds `accelerators`."""
    for size in SIZES:
        if accelerators <= size:
            return size
    raise ValueError(f"no cell holds {accelerators} accelerators")


@functools.cache
def list_cells(mask: int, size: int) -> tuple[int, ...]:
    """Return the cells of `size` that lie wholly in `mask`."""
    cell = (1 << size) - 1
    cells = (cell << start for start in range(0, ACCELERATORS, size))
    return tuple(each for each in cells if mask & each == each)


@functools.cache
def get_block_size(mask: int, cell: int) -> int:
    """Return the size of the largest cell within `mask` around `cell`."""
    largest = 0
    for size in SIZES:
        for block in list_cells(mask, size):
            if block & cell == cell:
                largest = size
    return largest


@functools.cache
def find_cell(mask: int, size: int) -> int:
    """Return the best-fitting cell of `size` in `mask`, or 0.

    The best one breaks the smallest free block.
    """
    cells = list_cells(mask, size)
    if not cells:
        return 0
    return min(cells, key=lambda cell: (get_block_size(mask, cell), cell))


@functools.cache
def get_largest_cell_size(mask: int) -> int:
    """Return the size of the largest cell within `mask`, 0 for none."""
    return max((size for size in SIZES if list_cells(mask, size)), default=0)


@functools.cache
def count_blocks(mask: int) -> tuple[int, int, int, int]:
    """Return how many largest blocks of 1, 2, 4 and 8 make up `mask`."""
    counts = []
    for size in reversed(SIZES):
        blocks = list_cells(mask, size)
        for block in blocks:
            mask &= ~block
        counts.append(len(blocks))
    return counts[3], counts[2], counts[1], counts[0]


@functools.cache
def remove_accelerators(mask: int, accelerators: int) -> int:
    """Return `mask` less `accelerators`, taken from its smallest blocks."""
    for _ in range(min(accelerators, mask.bit_count())):
        mask &= ~find_cell(mask, 1)
    return mask


@functools.cache
def find_enclosing_cell(mask: int, size: int) -> int:
    """Return the cell of `size` that holds `mask`, or 0 where none does."""
    for cell in list_cells(FULL_MASK, size):
        if mask & cell == mask:
            return cell
    return 0


@functools.cache
def pick_cells(mask: int, size: int, count: int) -> tuple[int, ...]:
    """Return `count` cells of `size` in `mask`, together where possible.

    Empty where they do not fit.
    """
    total = size * count
    if total <= ACCELERATORS:
        block = find_cell(mask, get_cell_size(total))
        if block:
            return list_cells(block, size)[:count]
    taken = []
    for _ in range(count):
        cell = find_cell(mask, size)
        if not cell:
            return ()
        taken.append(cell)
        mask &= ~cell
    return tuple(taken)
