"""Aligned cells of 1, 2, 4 or 8 accelerators of one worker.

The accelerators of a worker are the bits of a mask. Cells split and merge as
in a buddy allocator: a large free cell is not split while a smaller free cell
fits the request. Guarantees expressed in cells follow HiveD (Zhao et al.,
"HiveD: Sharing a GPU Cluster for Deep Learning with Guarantees", OSDI 2020).

A block is a cell within a mask that lies in no larger cell of that mask.
"""

import functools

ACCELERATORS_PER_WORKER = 8
CELL_SIZES = (1, 2, 4, 8)
FULL_MASK = (1 << ACCELERATORS_PER_WORKER) - 1


def get_cell_size(accelerators: int) -> int:
    """Return the size of the smallest cell that holds `accelerators`.

    Raises:
        ValueError: If `accelerators` exceeds the largest cell.
    """
    for size in CELL_SIZES:
        if accelerators <= size:
            return size
    raise ValueError(f"no cell holds {accelerators} accelerators")


@functools.cache
def list_cells(mask: int, size: int) -> tuple[int, ...]:
    """Return the masks of the cells of `size` that lie wholly in `mask`."""
    cell = (1 << size) - 1
    cells = (cell << start for start in range(0, ACCELERATORS_PER_WORKER, size))
    return tuple(each for each in cells if mask & each == each)


@functools.cache
def get_block_size(mask: int, cell: int) -> int:
    """Return the size of the largest cell within `mask` around `cell`."""
    largest = 0
    for size in CELL_SIZES:
        for block in list_cells(mask, size):
            if block & cell == cell:
                largest = size
    return largest


@functools.cache
def find_cell(mask: int, size: int) -> int:
    """Return the best-fitting cell of `size` in `mask`, 0 if there is none.

    The best fit is the cell that lies in the smallest block.
    """
    cells = list_cells(mask, size)
    if not cells:
        return 0
    return min(cells, key=lambda cell: (get_block_size(mask, cell), cell))


@functools.cache
def get_largest_cell_size(mask: int) -> int:
    """Return the size of the largest cell within `mask`, 0 if it is empty."""
    return max(
        (size for size in CELL_SIZES if list_cells(mask, size)), default=0
    )


@functools.cache
def count_blocks(mask: int) -> tuple[int, int, int, int]:
    """Count the blocks that make up `mask`, split as little as possible.

    Returns:
        The numbers of blocks of 1, 2, 4 and 8 accelerators.
    """
    counts = []
    for size in reversed(CELL_SIZES):
        blocks = list_cells(mask, size)
        for block in blocks:
            mask &= ~block
        counts.append(len(blocks))
    return counts[3], counts[2], counts[1], counts[0]


@functools.cache
def remove_accelerators(mask: int, accelerators: int) -> int:
    """Return `mask` without `accelerators` bits of its smallest blocks."""
    for _ in range(min(accelerators, mask.bit_count())):
        mask &= ~find_cell(mask, 1)
    return mask


@functools.cache
def find_enclosing_cell(mask: int, size: int) -> int:
    """Return the cell of `size` that contains `mask`, 0 if none does."""
    for cell in list_cells(FULL_MASK, size):
        if mask & cell == mask:
            return cell
    return 0


@functools.cache
def pick_cells(mask: int, size: int, count: int) -> tuple[int, ...]:
    """Return `count` cells of `size` in `mask`, in one cell if possible.

    Returns:
        The masks of the cells, empty if they do not all fit.
    """
    total = size * count
    if total <= ACCELERATORS_PER_WORKER:
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
