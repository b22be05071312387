"""Workers of the soak follow the protocol page."""

import pytest

from tests.processes import fleet
from tests.processes import jobs

HOLD_S = fleet.HOLD_MAX_MS / 1000


class Bench:
    """Two workers on a clock that the test sets."""

    def __init__(self):
        self.lines = []
        self.fleet = fleet.Fleet(
            write=lambda kind, **fields: self.lines.append((kind, fields)),
            on_change=lambda worker: None,
            stop_s=0.5,
        )
        self.workers = [self.boot(number) for number in range(2)]

    def boot(self, number, *, rate=1.0):
        worker = fleet.Worker(
            number=number, zone="z0", rack="r0-0", capacity=(1, 1, 1)
        )
        self.fleet.boot(worker, at=0.0, rate=rate)
        return worker

    def start(self, number, task, *, at, run=1, seconds=1.0, **work):
        worker = self.workers[number]
        self.fleet.advance(at)
        self.fleet.extend_lease(worker, worker.get_clock_ms(at) + 60_000, at=at)
        self.fleet.start(
            worker,
            task=task,
            number=run,
            work=jobs.Work(seconds=seconds, **work),
            saved="",
            at=at,
        )

    def list_ends(self):
        return [
            (fields["task"], fields["how"], fields["at"])
            for kind, fields in self.lines
            if kind == "end"
        ]


@pytest.fixture
def bench():
    return Bench()


class TestLeases:
    def test_lease_is_cut_to_its_maximum_and_kills_all(self, bench):
        bench.start(0, "a.0.0.0", at=1.0, seconds=60)
        bench.fleet.advance(100.0)
        assert bench.list_ends() == [("a.0.0.0", "lapsed", 1.0 + HOLD_S)]
        assert ("lease_lapsed", 1.0 + HOLD_S) in [
            (kind, fields["at"]) for kind, fields in bench.lines
        ]

    def test_lease_never_shortens(self, bench):
        bench.start(0, "a.0.0.0", at=1.0, seconds=60)
        bench.fleet.extend_lease(bench.workers[0], 2_000, at=1.5)
        assert bench.workers[0].lease_until == 1.0 + HOLD_S

    def test_slow_clock_makes_a_lease_last_longer(self, bench):
        bench.workers[0] = bench.boot(0, rate=0.98)
        bench.start(0, "a.0.0.0", at=1.0, seconds=60)
        bench.fleet.advance(100.0)
        end = bench.list_ends()[0][2]
        assert end == pytest.approx(1.0 + HOLD_S / 0.98)

    def test_past_deadline_gives_no_lease(self, bench):
        bench.fleet.extend_lease(bench.workers[0], 900, at=1.0)
        assert bench.workers[0].lease_until is None


class TestRuns:
    def test_end_has_its_exact_time_when_noticed_late(self, bench):
        bench.start(0, "a.0.0.0", at=1.0, seconds=2.0)
        bench.fleet.advance(50.0)
        assert bench.list_ends()[0] == ("a.0.0.0", "done", 3.0)

    def test_stop_takes_its_time(self, bench):
        bench.start(0, "a.0.0.0", at=1.0, seconds=2.0)
        bench.fleet.stop(bench.workers[0], task="a.0.0.0", number=1, at=2.7)
        bench.fleet.advance(3.1)
        assert not bench.list_ends()
        bench.fleet.advance(5.0)
        assert bench.list_ends() == [("a.0.0.0", "stopped", 3.2)]

    def test_stop_before_the_start_prevents_it(self, bench):
        worker = bench.workers[0]
        bench.fleet.stop(worker, task="a.0.0.0", number=3, at=1.0)
        assert worker.highest == {"a.0.0.0": 3}

    def test_ends_are_kept_until_noted(self, bench):
        worker = bench.workers[0]
        for number in range(600):
            bench.start(0, f"a.0.0.{number}", at=1.0, seconds=0.5)
        bench.fleet.advance(2.0)
        _, ends = bench.fleet.list_runs(worker, at=2.0)
        assert [row[0] for row in ends] == list(range(1, 501))
        bench.fleet.note_ends(worker, 599, at=2.0)
        _, ends = bench.fleet.list_runs(worker, at=2.0)
        assert [row[0] for row in ends] == [600]

    def test_next_life_knows_nothing(self, bench):
        worker = bench.workers[0]
        worker.fence = 7
        bench.start(0, "a.0.0.0", at=1.0, seconds=0.5)
        bench.start(0, "b.0.0.0", at=1.0, seconds=9.0)
        bench.fleet.advance(2.0)
        life = worker.life
        bench.fleet.end_life(worker, at=2.0, how="crash")
        bench.fleet.boot(worker, at=3.0, rate=1.0)
        bench.fleet.advance(30.0)
        assert worker.life > life
        assert worker.get_clock_ms(3.5) == 500
        assert (worker.fence, worker.runs, worker.highest) == (0, {}, {})
        assert bench.fleet.list_runs(worker, at=30.0) == ([], [])
        assert len(bench.list_ends()) == 1


class TestGangs:
    def test_members_work_once_all_are_there_and_end_together(self, bench):
        bench.start(0, "a.0.0.0", at=1.0, members=2)
        bench.start(1, "a.0.0.1", at=2.5, members=2)
        bench.fleet.advance(9.0)
        assert bench.list_ends()[:2] == [
            ("a.0.0.0", "done", 3.5),
            ("a.0.0.1", "done", 3.5),
        ]

    def test_member_that_waits_too_long_ends_alone(self, bench):
        bench.start(0, "a.0.0.0", at=1.0, members=2)
        bench.fleet.advance(4.5)
        assert bench.list_ends() == [
            ("a.0.0.0", "alone", 1.0 + fleet.GANG_S),
        ]

    def test_runs_of_different_numbers_are_different_gangs(self, bench):
        bench.start(0, "a.0.0.0", at=1.0, run=1, members=2)
        bench.start(1, "a.0.0.1", at=1.0, run=2, members=2)
        bench.fleet.advance(4.5)
        assert [how for _, how, _ in bench.list_ends()] == ["alone", "alone"]

    def test_stopped_member_breaks_the_others(self, bench):
        bench.start(0, "a.0.0.0", at=1.0, seconds=5.0, members=2)
        bench.start(1, "a.0.0.1", at=1.0, seconds=5.0, members=2)
        bench.fleet.stop(bench.workers[0], task="a.0.0.0", number=1, at=2.0)
        bench.fleet.advance(5.0)
        assert bench.list_ends() == [
            ("a.0.0.0", "stopped", 2.5),
            ("a.0.0.1", "broken", 2.5),
        ]

    def test_crash_breaks_the_others(self, bench):
        bench.start(0, "a.0.0.0", at=1.0, seconds=5.0, members=2)
        bench.start(1, "a.0.0.1", at=1.0, seconds=5.0, members=2)
        bench.fleet.end_life(bench.workers[0], at=2.0, how="crash")
        assert bench.list_ends() == [("a.0.0.1", "broken", 2.0)]
