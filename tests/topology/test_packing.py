import random

import pytest

from chervilcove.topology import packing
from tests.topology import brute_force

Demand = packing.Demand
CASES = 10_000
MOST_WRONG_NO_SHARE = 0.02


def make_case(source):
    """Draw a pool of up to 5 workers and up to 6 kinds of demand."""
    supply = {}
    for name in ("n", "s")[: source.randint(1, 2)]:
        racks = [source.randint(0, 3) for _ in range(source.randint(1, 2))]
        blocks = [source.randint(0, 2) for _ in range(3)]
        supply[name] = packing.CentreSupply(racks, blocks)
    demands = {}
    kinds = [("rack", 2), ("data_centre", 2), ("data_centre", 3)]
    kinds += [("worker", size) for size in (1, 2, 4, 8)]
    for _ in range(source.randint(1, 4)):
        level, size = source.choice(kinds)
        centres = source.choice([(), ("n",), ("s",), ("n", "s")])
        demand = Demand(level, size, centres)
        demands[demand] = demands.get(demand, 0) + source.randint(1, 2)
    return supply, demands


class TestPack:
    def test_never_says_yes_where_brute_force_says_no(self):
        source = random.Random(4)
        yes = wrong_no = 0
        for _ in range(CASES):
            supply, demands = make_case(source)
            fits = brute_force.fits(supply, demands)
            unmet = packing.pack(supply, demands)
            assert fits or unmet, (supply, demands)
            yes += fits
            wrong_no += fits and bool(unmet)
        print(f"wrong no: {wrong_no} of {yes}")
        assert yes > CASES / 10
        assert wrong_no / yes <= MOST_WRONG_NO_SHARE

    @pytest.mark.parametrize(
        ("racks", "demands", "missing"),
        [
            ({"n": [8, 6]}, {Demand("rack", 6, ()): 2}, 0),
            ({"n": [8, 6]}, {Demand("rack", 6, ()): 3}, 1),
            ({"n": [8, 6]}, {Demand("rack", 7, ()): 2}, 1),
            ({"n": [8, 6]}, {Demand("data_centre", 14, ("n",)): 1}, 0),
            ({"n": [8], "s": [6]}, {Demand("data_centre", 9, ()): 1}, 1),
            (
                {"s": [6], "n": [6]},
                {Demand("rack", 6, ("s",)): 1, Demand("worker", 8, ()): 8},
                2,
            ),
            ({"n": [1]}, {Demand("worker", 1, ("n",)): 11}, 3),
            ({"n": [1]}, {Demand("worker", 1, ("absent",)): 3}, 3),
        ],
    )
    def test_counts_what_is_left_over(self, racks, demands, missing):
        supply = {
            name: packing.CentreSupply(counts, [0, 0, 0])
            for name, counts in racks.items()
        }
        assert sum(packing.pack(supply, demands).values()) == missing

    def test_demand_that_may_lie_anywhere_leaves_room_for_a_bound_one(self):
        supply = {
            "a": packing.CentreSupply([2], [0, 0, 0]),
            "b": packing.CentreSupply([2], [0, 0, 0]),
        }
        demands = {Demand("rack", 2, ()): 1, Demand("worker", 8, ("a",)): 2}
        assert packing.pack(supply, demands) == {}
