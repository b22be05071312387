"""Replays of recorded loads, paired with and without headroom."""

import pathlib

import pytest

from chervilcove.bench.replay import core
from chervilcove.bench.replay import recording as recordings
from chervilcove.jobs import specs

RECORDINGS_FOLDER = pathlib.Path("bench/scenarios/fleet")
SEEDS = (1, 2, 3)
URGENT_QUEUE = "r-c4aur7i"  # queue of priority 0 in bursts.json


def load_recording(name):
    return recordings.load_recording(str(RECORDINGS_FOLDER / f"{name}.json"))


def replay_with_seeds(recording, **changes):
    return [
        core.Replay(recording=recording, seed=seed, **changes).run()
        for seed in SEEDS
    ]


class TestReplay:
    def test_a_lone_job_starts_at_once_and_ends_in_time(self):
        need = specs.Resources(1_000, 100, 8)
        step = specs.Step(2, need, 700, is_gang=True, same_rack=True)
        arrival = recordings.Arrival(
            5_000, "00000000000000aa", "q", "c", 0, 1.5, 250, (step,), {}
        )
        workers = [
            recordings.Worker(name, "r", specs.Resources(8_000, 1_000, 8))
            for name in ("w1", "w2")
        ]
        recording = recordings.Recording("", workers, [arrival])
        figures = core.Replay(recording=recording).run()
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
    def test_all_jobs_of_a_recorded_day_end_in_preferred_racks(self, name):
        for figures in replay_with_seeds(load_recording(name)):
            assert figures.unfinished == 0
            assert figures.far == 0


class TestHeadroom:
    def test_urgent_gangs_wait_less_and_less_work_is_lost(self):
        # Without headroom, bursts of urgent gangs have to stop batch work
        # first. The load has such gangs, of whole workers in one rack, on a
        # pool that batch work fills (htsw-sched scale-1).
        bursts = load_recording("bursts")
        headroom = replay_with_seeds(bursts)
        baseline = replay_with_seeds(bursts, has_headroom=False)

        def count_late_jobs(replays):
            queues = [figures.queues[URGENT_QUEUE] for figures in replays]
            return sum(queue.jobs - queue.in_time for queue in queues)

        def sum_waits_ms(replays):
            return sum(
                figures.queues[URGENT_QUEUE].wait_ms for figures in replays
            )

        assert count_late_jobs(headroom) < count_late_jobs(baseline)
        assert sum_waits_ms(headroom) < sum_waits_ms(baseline)
        assert sum(figures.lost for figures in headroom) < sum(
            figures.lost for figures in baseline
        )


class TestPreemptions:
    """A burst of urgent gangs on 270 workers that other work fills.

    On day quiet-1 of nln-cluster-large, most units were stopped on workers
    that the gang which asked for it did not use.
    """

    def test_preemptions_that_last_waste_fewer_stops(self):
        large = load_recording("large")
        kept = core.Replay(recording=large).run()
        dropped = core.Replay(recording=large, keeps_preemptions=False).run()
        assert kept.stopped - kept.used < dropped.stopped - dropped.used
        assert kept.lost < dropped.lost
        urgent = [figures.queues["r-xxspydr"] for figures in (kept, dropped)]
        assert urgent[0].in_time >= urgent[1].in_time
        assert kept.unfinished == dropped.unfinished == 0
