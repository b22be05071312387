from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from chervilcove.topology import cells

MASKS = strategies.integers(0, cells.FULL_MASK)
SIZES = strategies.sampled_from(cells.CELL_SIZES)


class TestCells:
    @pytest.mark.parametrize(
        ("mask", "size", "found"),
        [
            (0b1111_1111, 1, 0b1),
            (0b1111_0010, 1, 0b10),
            (0b1111_0110, 2, 0b11_0000),
            (0b1100_1111, 2, 0b1100_0000),
            (0b0011_1100, 4, 0),
            (0b1111_0000, 4, 0b1111_0000),
        ],
    )
    def test_finds_the_cell_in_the_smallest_block(self, mask, size, found):
        assert cells.find_cell(mask, size) == found

    @given(mask=MASKS)
    @settings(derandomize=True)
    def test_blocks_make_up_the_mask(self, mask):
        counts = cells.count_blocks(mask)
        total = sum(
            n * size for n, size in zip(counts, cells.CELL_SIZES, strict=True)
        )
        assert total == mask.bit_count()

    @given(mask=MASKS, size=SIZES, count=strategies.integers(1, 8))
    @settings(derandomize=True)
    def test_picks_disjoint_cells_or_none_only_if_too_few(
        self, mask, size, count
    ):
        picked = cells.pick_cells(mask, size, count)
        if not picked:
            assert len(cells.list_cells(mask, size)) < count
            return
        union = 0
        for cell in picked:
            assert cell & mask == cell
            assert cell in cells.list_cells(cells.FULL_MASK, size)
            assert not cell & union
            union |= cell
        assert len(picked) == count

    @given(mask=MASKS, count=strategies.integers(0, 9))
    @settings(derandomize=True)
    def test_removes_accelerators_from_the_smallest_blocks(self, mask, count):
        left = cells.remove_accelerators(mask, count)
        assert left & ~mask == 0
        assert left.bit_count() == max(mask.bit_count() - count, 0)
        assert cells.get_largest_cell_size(left) <= cells.get_largest_cell_size(
            mask
        )
