"""Tests of how the owner tells a slow link from silent workers."""

import time

import gevent
import pytest

from chervilcove.control import answer_times
from chervilcove.jobs import specs
from tests.control import narrow_links
from tests.control import silent_workers
from tests.control import system as systems

WORKERS = 12
GANG_S = 3.0  # for which a member of a gang waits for the others


class TestAnswerTimes:
    @pytest.fixture
    def times(self):
        return answer_times.AnswerTimes(count_workers=lambda: WORKERS)

    def test_late_answers_of_most_workers_give_calls_more_time(self, times):
        for number in range(WORKERS):
            times.record(f"w{number}", 0.3 if number < 7 else 0.002)
        assert times.get_typical_s() == 0.3
        assert 1.4 < times.extend(0.5) <= 2.5

    def test_silence_of_a_third_of_the_workers_is_their_own(self, times):
        for number in range(WORKERS):
            times.record(f"w{number}", 0.7 if number < 4 else 0.002)
        assert times.extend(0.5) == 0.5

    # Answers within the wait of a call aren't recorded, silence always is.
    def test_workers_that_were_not_seen_late_count_as_prompt(self, times):
        for number in range(5):
            times.record(f"w{number}", 0.7)
        assert times.extend(0.5) == 0.5

    def test_few_workers_tell_nothing(self):
        times = answer_times.AnswerTimes(
            count_workers=lambda: answer_times.MIN_WORKERS - 1
        )
        for number in range(answer_times.MIN_WORKERS - 1):
            times.record(f"w{number}", 0.7)
        assert times.extend(0.5) == 0.5

    # With 1,000 workers each round held the process for 0.3 s, so that all
    # answers seemed late, and hardly anything was started.
    def test_a_round_is_no_delay_of_an_answer(self, times, monkeypatch):
        now = time.monotonic()
        monkeypatch.setattr(time, "monotonic", lambda: now)
        started = times.begin_call()
        monkeypatch.setattr(time, "monotonic", lambda: now + 0.32)
        times.record_round(0.3)
        assert times.measure(started) == pytest.approx(0.02)

    def test_old_answers_do_not_count(self, times, monkeypatch):
        for number in range(WORKERS):
            times.record(f"w{number}", 0.7)
        now = time.monotonic()
        monkeypatch.setattr(time, "monotonic", lambda: now + 10.0)
        assert times.extend(0.5) == 0.5


class TestSlowLinks:
    # A worker got no lease before it answered within 0.7 s, so on a link with a
    # longer delay all of them counted as lost for good.
    def test_workers_behind_a_slow_link_get_their_leases(self):
        system = systems.System(workers=WORKERS)
        link = narrow_links.Link(bytes_per_s=1_000_000, latency_s=0.5)
        entry = system.add_entry(
            "e1",
            connector=narrow_links.LinkedFleet(fleet=system.fleet, link=link),
        )
        systems.wait_until(
            lambda: (
                entry._owner
                and len(entry._owner.fleet.sessions) == WORKERS
                and all(
                    session.are_runs_known
                    for session in entry._owner.fleet.sessions.values()
                )
            )
        )
        systems.wait_until(
            lambda: all(
                worker.lease_until_ms > worker.read_clock_ms()
                for worker in system.fleet.workers.values()
            )
        )
        system.kill_all()

    # More time for each try let the members of a gang wait for one that can't
    # be started for longer than they do, and each of them failed.
    @pytest.mark.parametrize("latency_s", [0.1, 0.25])
    def test_a_gang_is_stopped_while_its_members_wait(self, latency_s):
        system = systems.System(workers=WORKERS)
        system.fleet = silent_workers.SilentFleet(count=WORKERS)
        link = narrow_links.Link(bytes_per_s=1_000_000, latency_s=latency_s)
        entry = system.add_entry(
            "e1",
            connector=narrow_links.LinkedFleet(fleet=system.fleet, link=link),
        )
        systems.wait_until(
            lambda: (
                entry._owner
                and len(entry._owner.fleet.sessions) == WORKERS
                and all(
                    session.are_runs_known
                    for session in entry._owner.fleet.sessions.values()
                )
            )
        )
        gevent.sleep(1.0)  # answers show the delay of the link
        system.fleet.silent.add("w0")
        spec = systems.build_spec(
            count=WORKERS, need=specs.Resources(8_000, 1_024, 8), is_gang=True
        )
        system.submit(entry, f"{1:016x}", spec)
        gevent.sleep(5.0)
        waits = [
            min(interval.ended, time.monotonic()) - interval.began
            for worker in system.fleet.workers.values()
            for interval in worker.intervals
            if interval.run == 1
        ]
        system.kill_all()
        assert waits
        assert max(waits) < GANG_S

    # After a full link the workers were healthy, but rested for up to a minute.
    def test_late_workers_do_not_rest_if_most_are_late(self):
        system = systems.System(workers=WORKERS)
        entry = system.add_entry("e1")
        fleet = systems.wait_until(
            lambda: (
                entry._owner
                and len(entry._owner.fleet.sessions) == WORKERS
                and entry._owner.fleet
            )
        )
        fleet.record_unresponsive("w0")
        for name in system.fleet.workers:
            fleet.answer_times.record(name, 0.7)
        gevent.sleep(2 * answer_times.REFRESH_S)
        for name in system.fleet.workers:
            fleet.answer_times.record(name, 0.7)
        fleet.record_unresponsive("w1")
        now = time.monotonic()
        resting = {
            name
            for name in system.fleet.workers
            if fleet.health.is_quarantined(name, now)
        }
        system.kill_all()
        assert resting == {"w0"}


class TestStrayRuns:
    # A run that isn't tracked is in each list of its worker, and each list sent
    # one more stop, also on a full link.
    def test_one_stop_of_a_run_is_under_way_at_a_time(self, monkeypatch):
        system = systems.System(workers=2)
        entry = system.add_entry("e1")
        owner = systems.wait_until(
            lambda: (
                entry._owner
                and len(entry._owner.fleet.sessions) == 2
                and entry._owner
            )
        )
        stops = []

        def stop(command, *, timeout_s):
            stops.append(command)
            gevent.sleep(0.2)

        monkeypatch.setattr(system.fleet.workers["w0"], "stop", stop)
        session = owner.fleet.sessions["w0"]
        for _ in range(5):
            owner._commands.stop_stray_run(session, "a.0.0.0", 1)
        gevent.sleep(0.1)
        assert len(stops) == 1
        gevent.sleep(0.3)
        owner._commands.stop_stray_run(session, "a.0.0.0", 1)
        gevent.sleep(0.1)
        system.kill_all()
        assert len(stops) == 2
