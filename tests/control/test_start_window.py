"""Tests of how many starts an owner has under way."""

import time

import gevent
import pytest

from chervilcove.control import start_window
from chervilcove.dispatch import capacity
from chervilcove.jobs import specs
from tests.control import silent_workers
from tests.control import system as systems

RECLAIM_S = 2.9  # within which a guaranteed job starts
WORKERS = 60
SMALL_LINK_MBPS = 1.0


@pytest.fixture
def window():
    return start_window.StartWindow()


def record(window, count, delay_s, *, under_way=None, first=0):
    for number in range(first, first + count):
        window.record(
            f"w{number % 20}",
            delay_s,
            under_way=window.size if under_way is None else under_way,
        )


class TestStartWindow:
    def test_prompt_answers_double_a_window_that_is_used(self, window):
        before = window.size
        record(window, before, 0.003)
        assert window.size == 2 * before

    def test_a_window_that_is_not_used_stays(self, window):
        before = window.size
        record(window, 100, 0.003, under_way=1)
        assert window.size == before

    def test_late_answers_of_most_workers_halve_the_window_once(self, window):
        before = window.size
        record(window, 20, 0.3)
        assert window.size == before // 2

    def test_the_window_keeps_a_least_size(self, window, monkeypatch):
        now = time.monotonic()
        for step in range(10):
            monkeypatch.setattr(
                time, "monotonic", lambda step=step: now + 10 * step
            )
            record(window, 20, 0.3)
        assert window.size == start_window.MIN_SIZE

    def test_it_begins_with_what_the_link_carries(self):
        sizes = [
            start_window.StartWindow(link_mbps=mbps).size
            for mbps in (0.1, 1.0, 5.0, 1_000.0)
        ]
        assert sizes == [start_window.MIN_SIZE, 17, 89, start_window.MAX_SIZE]

    def test_it_never_exceeds_its_largest_size(self, window):
        record(window, 2_000, 0.003)
        assert window.size == start_window.MAX_SIZE

    # Workers that were silent long ago kept it at its least size for good.
    def test_old_answers_do_not_count(self, window, monkeypatch):
        record(window, 7, 0.5, under_way=1)
        now = time.monotonic()
        monkeypatch.setattr(time, "monotonic", lambda: now + 200)
        before = window.size
        record(window, before, 0.003, first=10)
        assert window.size > before

    # A third of the workers behind a cut must not slow starts on the others.
    def test_silence_of_a_third_of_the_workers_does_not_shrink_it(self, window):
        before = window.size
        for number in range(60):
            window.record(
                f"w{number}", 0.5 if number % 3 == 0 else 0.003, under_way=1
            )
        assert window.size == before

    # With 1,000 workers the owner's processor made answers late, and the window
    # shrank to 4 on a link of 100 Mbit/s.
    def test_it_keeps_a_part_of_what_the_link_carries(self, monkeypatch):
        window = start_window.StartWindow(link_mbps=100.0)
        now = time.monotonic()
        for step in range(10):
            monkeypatch.setattr(
                time, "monotonic", lambda step=step: now + 10 * step
            )
            record(window, 20, 0.3)
        assert window.size == 223

    def test_a_window_that_shrank_grows_slowly(self, window):
        record(window, 20, 0.3)
        shrunk = window.size
        record(window, shrunk * 3, 0.003)
        assert shrunk < window.size < 3 * shrunk


class TestSilentWorkers:
    # Starts that were given up held their places until their workers answered a
    # stop, so that silent workers kept all others from any start.
    def test_starts_that_were_given_up_hold_no_place(self):
        system = systems.System()
        system.fleet = silent_workers.SilentFleet(count=WORKERS)
        entry = system.add_entry(
            "e1", limits=capacity.EntryLimits(link_mbps=SMALL_LINK_MBPS)
        )
        systems.wait_until(
            lambda: (
                entry._owner
                and len(entry._owner.fleet.sessions)
                == len(system.fleet.workers)
                and all(
                    session.are_runs_known
                    for session in entry._owner.fleet.sessions.values()
                )
            )
        )
        names = sorted(system.fleet.workers)
        system.fleet.silent.update(names[: WORKERS // 3])
        system.submit(entry, f"{1:016x}", build_spec(len(names)))
        gevent.sleep(4.0)
        system.submit(entry, f"{2:016x}", build_spec(1), queue="urgent")
        asked = time.monotonic()
        systems.wait_until(
            lambda: any(
                task.startswith(f"{2:016x}") for task, _ in system.list_starts()
            )
        )
        took_s = time.monotonic() - asked
        system.kill_all()
        assert took_s < RECLAIM_S


def build_spec(count):
    step = specs.Step(
        count=count, need=specs.Resources(8_000, 1_024, 4), estimate_ms=60_000
    )
    return specs.JobSpec("payload", (step,))
