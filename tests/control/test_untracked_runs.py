"""Runs hold their room while a worker lists them, whoever started them."""

import time

import gevent
import pytest

from chervilcove.control import owners
from chervilcove.control import sessions
from chervilcove.control import untracked_runs
from chervilcove.dispatch import resources as resource_values
from chervilcove.jobs import specs
from chervilcove.jobs import table
from tests.control import system as systems

JOB = "00000000000000aa"
TASK = f"{JOB}.0.0.0"
OTHERS = ["00000000000000bb", "00000000000000cc"]
WHOLE_WORKER = specs.Resources(1000, 1024, 8)
STOP_DELAY_S = 1.0


@pytest.fixture
def system():
    made = systems.System(workers=2)
    for worker in made.fleet.workers.values():
        worker.stop_delay_s = STOP_DELAY_S
    yield made
    made.kill_all()


def build_whole_spec(**changes):
    """Return a job whose tasks take a worker each."""
    return systems.build_spec(need=WHOLE_WORKER, **changes)


def submit_others(system, entry):
    """Submit a job for each worker."""
    for job in OTHERS:
        system.submit(entry, job, build_whole_spec())


def wait_for_others(system):
    for job in OTHERS:
        system.wait_for_run(f"{job}.0.0.0")


def hand_over(system, entry):
    """Let an entry start that takes over from `entry`; return it."""
    successor = system.add_entry("successor")
    systems.wait_until(lambda: successor.job_api._follower.is_current)
    entry._election.resign()
    systems.wait_until(lambda: successor._owner)
    return successor


def plant_run(worker, *, stop_delay_s):
    """Let a worker run a task of a job that nobody knows."""
    worker.running[TASK] = 1
    worker._started_at[TASK] = time.monotonic()
    worker.stop_delay_s = stop_delay_s


def start_owner(system):
    entry = system.add_entry("a")
    return systems.wait_until(lambda: entry._owner)


def is_done(entry, job):
    return (
        entry.job_api.get_job_state(job=job, sender=systems.SENDER)
        is table.JobState.DONE
    )


class TestSuccessor:
    """A successor finds runs that the records don't show as running."""

    def test_run_of_a_unit_that_an_earlier_run_has_done(
        self, system, monkeypatch
    ):
        # In a day with hand-overs while a zone is cut off, a successor started
        # tasks beside such a run, which was being stopped (LIMIT).
        monkeypatch.setattr(sessions, "LEASE_MS", 1_000)
        entry = system.add_entry("a")
        system.submit(entry, JOB, build_whole_spec())
        first = system.wait_for_run(TASK)
        first.is_cut = True
        systems.wait_until(lambda: len(system.list_starts()) == 2)
        first.end(TASK, "done")
        first.is_cut = False
        systems.wait_until(lambda: is_done(entry, JOB))
        assert system.find_worker(TASK) is not None  # the second run
        successor = hand_over(system, entry)
        submit_others(system, successor)
        wait_for_others(system)
        assert system.list_overloads() == []

    def test_other_member_of_a_gang_of_which_one_is_done(self, system):
        entry = system.add_entry("a")
        system.submit(entry, JOB, build_whole_spec(count=2, is_gang=True))
        system.wait_for_run(f"{JOB}.0.0.1")
        system.wait_for_run(TASK).end(TASK, "done")
        systems.wait_until(lambda: is_done(entry, JOB))
        successor = hand_over(system, entry)
        submit_others(system, successor)
        wait_for_others(system)
        assert system.list_overloads() == []

    @pytest.mark.parametrize("all_restart", [False, True])
    def test_run_of_a_cancelled_job(self, system, all_restart):
        entry = system.add_entry("a")
        system.submit(entry, JOB, build_whole_spec())
        system.wait_for_run(TASK)
        entry.job_api.cancel(job=JOB, sender=systems.SENDER, time_left_s=3.0)
        systems.wait_until(
            lambda: any(run.stop_reason for run in entry._owner._runs.values())
        )
        if all_restart:
            system.kill_all()
            successor = system.add_entry("a")
            systems.wait_until(lambda: successor.job_api._follower.is_current)
        else:
            successor = hand_over(system, entry)
        submit_others(system, successor)
        wait_for_others(system)
        assert system.list_overloads() == []

    def test_run_of_a_job_that_nobody_knows(self, system):
        # Its need is unknown, so that the whole worker counts as taken.
        worker = system.fleet.workers["w0"]
        plant_run(worker, stop_delay_s=2 * STOP_DELAY_S)
        entry = system.add_entry("a")
        systems.wait_until(lambda: worker.fence)
        for job in OTHERS:
            system.submit(entry, job, systems.build_spec())
        wait_for_others(system)
        assert worker.starts == []
        gevent.sleep(2 * STOP_DELAY_S)
        assert TASK not in worker.running
        system.submit(entry, JOB, build_whole_spec(count=1))
        assert system.wait_for_run(TASK) is worker

    def test_run_that_ends_with_its_lease_is_forgotten(
        self, system, monkeypatch
    ):
        monkeypatch.setattr(sessions, "LEASE_MS", 1_000)
        worker = system.fleet.workers["w0"]
        plant_run(worker, stop_delay_s=60.0)
        owner = start_owner(system)
        systems.wait_until(lambda: owner._untracked.has_runs("w0"))
        worker.is_cut = True
        systems.wait_until(lambda: not owner._untracked.has_runs("w0"))
        room = owner.fleet.resources.by_worker["w0"]
        assert room.free == room.worker.capacity

    def test_run_on_a_restarted_worker_is_forgotten(self, system):
        worker = system.fleet.workers["w0"]
        plant_run(worker, stop_delay_s=60.0)
        owner = start_owner(system)
        systems.wait_until(lambda: owner._untracked.has_runs("w0"))
        worker.crash()
        system.fleet.restart("w0")
        systems.wait_until(lambda: not owner._untracked.has_runs("w0"))
        system.submit(system.entries[0], JOB, build_whole_spec(count=2))
        for index in range(2):
            system.wait_for_run(f"{JOB}.0.0.{index}")


class TestUntrackedRuns:
    def test_run_that_is_listed_twice_holds_its_room_once(self):
        resources = resource_values.FleetResources()
        room = resources.add(
            resource_values.Worker(
                "w0", 1, "service", "dc0", "r1", frozenset(), WHOLE_WORKER
            )
        )
        held = untracked_runs.UntrackedRuns(resources=resources, jobs={})
        listed = untracked_runs.ListedRun(TASK, 1)
        held.replace("w0", [listed, listed])
        assert room.free == (0, 0, 0)
        held.replace("w0", [listed])
        assert room.free == (0, 0, 0)
        held.replace("w0", [])
        assert room.free == WHOLE_WORKER
        assert not held.has_runs("w0")


class TestUnheardWorkers:
    """What a worker runs is unknown until its first list was processed."""

    def test_worker_gets_no_start_before_its_first_list(self, system):
        silent = system.fleet.workers["w0"]
        silent.is_cut = True
        entry = system.add_entry("a")
        submit_others(system, entry)
        systems.wait_until(lambda: len(system.list_starts()) == 1)
        gevent.sleep(0.5)
        assert len(system.list_starts()) == 1
        silent.is_cut = False
        wait_for_others(system)

    def test_worker_gets_no_start_before_its_list_was_processed(
        self, system, monkeypatch
    ):
        # An answer can come after the renewals of a round were processed.
        monkeypatch.setattr(owners.Owner, "run", lambda _: gevent.sleep(60.0))
        entry = system.add_entry("a")
        owner = systems.wait_until(lambda: entry._owner)
        owner.fleet.set_reports(system.fleet.reports)
        systems.wait_until(
            lambda: all(
                one.is_reachable for one in owner.fleet.sessions.values()
            )
        )
        owner.fleet.update_open_workers(frozenset())
        rooms = owner.fleet.resources.by_worker.values()
        assert not any(room.is_schedulable for room in rooms)
