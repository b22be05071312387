"""How large a fleet an entry can own, and which entry claims first."""

import pytest

from chervilcove.dispatch import capacity

SMALLEST = capacity.EntryLimits(max_fds=1_638, memory_mb=160)


class TestNeeds:
    def test_measured_connections_are_covered(self):
        # An owner that runs out of descriptors can't answer callers.
        for workers, connections in ((999, 2_075), (3_000, 4_281)):
            needed = capacity.compute_descriptors(workers)
            assert needed >= connections + capacity.FILES
        assert capacity.compute_memory_mb(176) >= 28.5

    @pytest.mark.parametrize(
        ("limits", "workers", "expected"),
        [
            (SMALLEST, 176, True),
            (SMALLEST, 999, False),
            (capacity.EntryLimits(max_fds=65_536, memory_mb=160), 999, True),
            (capacity.EntryLimits(max_fds=65_536, memory_mb=160), 3_000, False),
            (capacity.UNKNOWN_LIMITS, 100_000, True),
            (SMALLEST, 0, True),
        ],
    )
    def test_only_entries_with_enough_of_both_can_own(
        self, limits, workers, expected
    ):
        assert capacity.can_own(limits, workers) is expected

    def test_number_of_ownable_workers_agrees_with_the_needs(self):
        # Sessions beyond it would exhaust the process.
        for max_fds in range(360, 8_000, 37):
            for memory_mb in (0, 91, 100, 160):
                limits = capacity.EntryLimits(max_fds, memory_mb)
                count = capacity.count_ownable_workers(limits)
                assert capacity.can_own(limits, count)
                assert not capacity.can_own(limits, count + 2)


class TestClaimRank:
    def test_entries_that_can_own_come_first_then_the_largest(self):
        sizes = [
            capacity.EntryLimits(max_fds, 10_000)
            for max_fds in (16_384, 1_800, 1_638, 1_000)
        ]
        ranks = [
            [capacity.compute_claim_rank(r, one, 700) for r in (0.0, 1.0)]
            for one in sizes
        ]
        assert ranks[0] == [0.0, 1.0]
        assert ranks[1][0] >= 2.0
        for (_, last), (first, _) in zip(ranks[1:], ranks[2:], strict=False):
            assert first >= last

    # Only processors counted, so an entry could own a fleet whose traffic fills
    # its link, beside others with larger ones.
    def test_entries_with_a_small_link_claim_after_the_others(self):
        small = capacity.EntryLimits(65_536, 10_000, link_mbps=5.0)
        for workers, is_narrow in ((24, False), (176, False), (3_000, True)):
            rank = capacity.compute_claim_rank(0.25, small, workers)
            assert rank == (1.25 if is_narrow else 0.25)
            wide = small._replace(link_mbps=200.0)
            assert capacity.compute_claim_rank(0.25, wide, workers) == 0.25

    def test_a_link_of_unknown_rate_counts_as_large(self):
        limits = capacity.EntryLimits(65_536, 10_000)
        assert capacity.compute_claim_rank(0.25, limits, 3_000) == 0.25


class TestChosenWorkers:
    def test_sessions_are_opened_in_the_order_of_need(self):
        def build(worker, service="s", **changes):
            flags = {"is_busy": 0, "has_session": 0, "is_draining": 0}
            return capacity.Candidate(worker, service, **{**flags, **changes})

        candidates = [
            build("leaves", "t", is_draining=1),
            build("idle-1"),
            build("idle-2"),
            build("other-pool", "t"),
            build("open", has_session=1),
            build("busy", is_busy=1),
        ]
        order = ["busy", "open", "idle-1", "other-pool", "idle-2", "leaves"]
        for limit in range(1, 7):
            chosen = capacity.choose_workers(candidates, limit)
            assert chosen == set(order[:limit])
