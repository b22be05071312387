"""Replays of recorded loads, paired: with a mechanism and without it."""

import pathlib

import pytest

from chervilcove.bench.replay import core
from chervilcove.bench.replay import recording as recordings
from chervilcove.jobs import specs

FOLDER = pathlib.Path("bench/scenarios/fleet")
SEEDS = (1, 2, 3)
URGENT = "r-c4aur7i"  # the queue of priority 0 in the recording of bursts


def load(name):
    return recordings.load_recording(str(FOLDER / f"{name}.json"))


def replay(recording, **changes):
    return [
        core.Replay(recording=recording, seed=seed, **changes).run()
        for seed in SEEDS
    ]


class TestReplay:
    def test_one_job_takes_its_time(self):
        need = specs.Resources(1_000, 100, 8)
        step = specs.Step(2, need, 700, is_gang=True, same_rack=True)
        arrival = recordings.Arrival(
            5_000, "00000000000000aa", "q", "c", 0, 1.5, 250, (step,), {}
        )
        workers = [
            recordings.Worker(name, "r", specs.Resources(8_000, 1_000, 8))
            for name in ("w1", "w2")
        ]
        day = recordings.Recording("", workers, [arrival])
        figures = core.Replay(recording=day).run()
        assert figures == core.Figures(
            {"q": core.QueueFigures(1, 1, 0.0)}, 0, 0.0, 0
        )

    def test_a_job_that_fits_nowhere_stays_unfinished(self):
        step = specs.Step(1, specs.Resources(1_000, 100, 8), 700)
        arrival = recordings.Arrival(
            5_000, "00000000000000aa", "q", "c", 0, 1.5, 250, (step,), {}
        )
        figures = core.Replay(
            recording=recordings.Recording("", [], [arrival])
        ).run()
        assert figures.unfinished == 1

    @pytest.mark.parametrize("name", ["calm", "bursts"])
    def test_a_recorded_day_is_served_whole(self, name):
        for figures in replay(load(name)):
            assert figures.unfinished == 0
            assert figures.far == 0


class TestHeadroom:
    def test_urgent_gangs_wait_less_and_less_work_is_lost(self):
        # Load: bursts of urgent gangs, of whole workers in one rack, on a
        # pool that batch work fills (htsw-sched scale-1).
        bursts = load("bursts")
        kept = replay(bursts)
        full = replay(bursts, has_headroom=False)

        def count_late(several):
            queues = [one.queues[URGENT] for one in several]
            return sum(one.jobs - one.in_time for one in queues)

        def sum_waits(several):
            return sum(one.queues[URGENT].wait_ms for one in several)

        assert count_late(kept) < count_late(full)
        assert sum_waits(kept) < sum_waits(full)
        assert sum(one.lost for one in kept) < sum(one.lost for one in full)
