"""Runs that an owner counts as ended have ended, whatever is slow or lost."""

import pytest

from tests.control import lease_system


@pytest.fixture
def build_world(monkeypatch):
    worlds = []

    def build(seed, **options):
        worlds.append(lease_system.World(seed, monkeypatch, **options))
        return worlds[-1]

    yield build
    for world in worlds:
        world.close()


class TestDrawnFaults:
    @pytest.mark.parametrize("pause_odds", [0.0005, 0.003])
    @pytest.mark.parametrize("seed", range(4))
    def test_no_run_is_counted_as_ended_that_lives(
        self, build_world, seed, pause_odds
    ):
        # The pauses of the processes are drawn at each reading of the clock.
        world = build_world(seed)
        world.pause_odds = pause_odds
        for _ in range(40):
            world.take_step()
        assert world.counts["start"]
        assert world.violations == []

    @pytest.mark.parametrize("seed", range(100, 104))
    def test_owner_again_counts_no_run_as_ended_that_lives(
        self, build_world, seed
    ):
        # Processes that are owners several times, with workers cut off.
        world = build_world(seed)
        world.pause_odds = 0.0005
        world.faults = world.list_successions()
        while world.counts["step"] < 40 or not world.counts["owner again"]:
            world.take_step()
        assert world.violations == []
