import time

import gevent
import pytest

from chervilcove.control import clocks
from chervilcove.control import job_ends
from chervilcove.control import owners
from chervilcove.jobs import table
from tests.control import system as systems

JOB = "00000000000000aa"
TASK = f"{JOB}.0.0.0"
JUMP_S = 3.0


class Wall:
    """Time of day of one machine, which jumps when `error_s` is changed."""

    def __init__(self, error_s=0.0):
        self.error_s = error_s
        self.clock = clocks.SharedClock(
            read_wall_s=lambda: time.time() + self.error_s
        )

    def get_error_s(self):
        return self.clock.get_now_ms() / 1000 - time.time()


class Steady:
    """Clock that a test moves."""

    def __init__(self):
        self.now_s = 50.0

    def __call__(self):
        return self.now_s


class TestSharedClock:
    """Pure behaviour, with the clocks of a test."""

    @pytest.fixture
    def steady(self):
        return Steady()

    @pytest.fixture
    def wall(self):
        return [1_000.0]

    @pytest.fixture
    def clock(self, steady, wall):
        return clocks.SharedClock(
            read_wall_s=lambda: wall[0], read_steady_s=steady
        )

    def test_jump_of_the_time_of_day_is_not_followed(self, clock, wall, steady):
        wall[0] += JUMP_S
        steady.now_s += 1.0
        assert clock.get_now_ms() == 1_001_000

    def test_owner_approaches_its_time_of_day_slowly(self, clock, wall, steady):
        clock.begin_steering()
        for _ in range(6):
            wall[0] += 1.0
            steady.now_s += 1.0
            wall[0] += JUMP_S if wall[0] == 1_001.0 else 0.0
            clock.steer()
        assert 1_006_000 < clock.get_now_ms() <= 1_006_030

    def test_time_of_the_owner_is_adopted(self, clock):
        clock.record_owner_time(996_000, is_live=True)
        assert clock.get_now_ms() == 996_000

    def test_least_delayed_time_counts(self, clock, steady):
        clock.record_owner_time(990_000, is_live=True)
        steady.now_s += 1.0
        clock.record_owner_time(990_800, is_live=True)  # read 0.2 s late
        assert clock.get_now_ms() == 991_000

    def test_old_times_are_forgotten(self, clock, steady):
        # A deposed owner was three seconds ahead.
        clock.record_owner_time(1_003_000, is_live=True)
        for _ in range(30):
            steady.now_s += 1.0
            now_s = 1_000 + steady.now_s - 50.0
            clock.record_owner_time(int(now_s * 1000), is_live=True)
        assert clock.get_now_ms() == 1_030_000

    def test_time_of_a_snapshot_is_a_lower_bound(self, clock):
        clock.record_owner_time(990_000, is_live=False)
        assert clock.get_now_ms() == 1_000_000
        clock.record_owner_time(1_002_000, is_live=False)
        assert clock.get_now_ms() == 1_002_000


class TestJumps:
    """The times of day of some machines jump by three seconds."""

    def test_jobs_keep_their_order_between_entries(self, system):
        first, second = Wall(), Wall(-JUMP_S)
        entry = system.add_entry("a", clock=first.clock)
        systems.wait_until(lambda: entry._owner is not None)
        other = system.add_entry("b", clock=second.clock)
        systems.wait_until(lambda: abs(second.get_error_s()) < 0.3)
        second.error_s = JUMP_S
        first.error_s = -JUMP_S
        sent = []
        for number, one in enumerate((entry, other, entry, other)):
            sent.append(time.time() * 1000)
            system.submit(one, f"{number:016x}", systems.build_spec())
            gevent.sleep(0.3)
        known = entry.job_api._follower.table.jobs
        times = [known[f"{n:016x}"].submission.accepted_ms for n in range(4)]
        assert times == sorted(times)
        errors_ms = [
            abs(told - true) for told, true in zip(times, sent, strict=True)
        ]
        assert max(errors_ms) < 500

    def test_scheduled_job_starts_when_it_is_due(self, system):
        wall = Wall()
        entry = system.add_entry("a", clock=wall.clock)
        systems.wait_until(lambda: entry._owner is not None)
        due_ms = int((time.time() + 1.0) * 1000)
        spec = systems.build_spec()._replace(
            occurrences=2, first_due_ms=due_ms, interval_ms=60_000
        )
        system.submit(entry, JOB, spec)
        wall.error_s = -JUMP_S
        system.wait_for_run(TASK)
        assert -0.25 < time.time() - due_ms / 1000 < 1.0

    def test_ended_job_stays_known(self, system, monkeypatch):
        monkeypatch.setattr(owners, "PURGE_INTERVAL_S", 0.1)
        monkeypatch.setattr(job_ends, "ENDED_JOB_RETENTION_MS", 2_500)
        wall = Wall()
        entry = system.add_entry("a", clock=wall.clock)
        system.submit(entry, JOB, systems.build_spec())
        system.wait_for_run(TASK).end(TASK, "done")
        systems.wait_until(
            lambda: (
                entry.job_api.get_job_state(job=JOB, sender=systems.SENDER)
                is table.JobState.DONE
            )
        )
        wall.error_s = JUMP_S
        gevent.sleep(1.0)
        assert (
            entry.job_api.get_job_state(job=JOB, sender=systems.SENDER)
            is table.JobState.DONE
        )

    def test_successor_continues_the_time_of_its_predecessor(self, system):
        # By its own time of day, all waiting jobs of the successor would have
        # waited three seconds longer, and urgent ones would rank as worthless.
        first, second = Wall(), Wall(JUMP_S)
        entry = system.add_entry("a", clock=first.clock)
        systems.wait_until(lambda: entry._owner is not None)
        other = system.add_entry("b", clock=second.clock)
        systems.wait_until(lambda: abs(second.get_error_s()) < 0.3)
        entry.kill()
        systems.wait_until(lambda: other._owner is not None)
        gevent.sleep(1.2)
        assert abs(second.get_error_s()) < 0.3
