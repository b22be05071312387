"""Tasks that crash the workers that start them."""

import gevent
import pytest

from chervilcove.control import sessions
from chervilcove.jobs import table
from tests.control import system as systems

JOB = "00000000000000aa"
TASK = f"{JOB}.0.0.0"


@pytest.fixture
def system(monkeypatch):
    monkeypatch.setattr(sessions, "LEASE_MS", 300)
    made = systems.System(workers=10)
    yield made
    made.kill_all()


def make_deadly(system, task=TASK):
    for worker in system.fleet.workers.values():
        worker.crashing_tasks.add(task)


def count_starts(system, task=TASK):
    return sum(name == task for name, _ in system.list_starts())


def wait_for_failure(entry, job=JOB):
    systems.wait_until(
        lambda: (
            entry.job_api.get_job_state(job=job, sender=systems.SENDER)
            is table.JobState.FAILED
        )
    )


class TestCrashingTasks:
    def test_task_that_crashes_its_workers_is_given_up(self, system):
        entry = system.add_entry("a")
        make_deadly(system)
        system.submit(entry, JOB, systems.build_spec())
        wait_for_failure(entry)
        gevent.sleep(1.0)
        assert count_starts(system) == 3

    def test_crashes_count_if_workers_restart_at_once(self, system):
        entry = system.add_entry("a")
        make_deadly(system)
        system.submit(entry, JOB, systems.build_spec())
        for _ in range(100):
            for name, worker in system.fleet.workers.items():
                if worker.is_cut:
                    system.fleet.restart(name)
            gevent.sleep(0.02)
        wait_for_failure(entry)
        assert count_starts(system) <= 5

    def test_successor_counts_the_crashes_before(self, system):
        entry = system.add_entry("a")
        make_deadly(system)
        system.submit(entry, JOB, systems.build_spec())
        systems.wait_until(lambda: count_starts(system) == 2)
        successor = system.add_entry("b")
        systems.wait_until(lambda: successor.job_api._follower.is_current)
        entry.stop()
        wait_for_failure(successor)
        gevent.sleep(0.5)
        assert 3 <= count_starts(system) <= 5

    def test_crashing_member_of_a_gang_is_given_up(self, system):
        entry = system.add_entry("a")
        make_deadly(system, f"{JOB}.0.0.1")
        spec = systems.build_spec(count=2, is_gang=True)
        system.submit(entry, JOB, spec)
        wait_for_failure(entry)
        gevent.sleep(1.0)
        assert count_starts(system, f"{JOB}.0.0.1") == 3

    def test_lasting_task_that_crashes_its_workers_is_given_up(self, system):
        entry = system.add_entry("a")
        make_deadly(system)
        system.submit(entry, JOB, systems.build_spec(is_lasting=True))
        wait_for_failure(entry)
        gevent.sleep(1.0)
        assert count_starts(system) == 3


class TestOtherLosses:
    def test_task_that_was_running_survives_the_loss_of_workers(self, system):
        # Its workers fail by other causes.
        entry = system.add_entry("a")
        system.submit(entry, JOB, systems.build_spec())
        for number in range(4):
            worker = system.wait_for_run(TASK)
            follower = entry.job_api._follower
            systems.wait_until(
                lambda: any(
                    member.is_listed
                    for run in entry._owner._runs.values()
                    for member in run.members
                )
            )
            worker.crash()
            systems.wait_until(
                lambda count=number: count_starts(system) == count + 2
            )
        assert not follower.table.jobs[JOB].is_failed

    def test_worker_that_reports_the_end_of_a_lost_run_did_not_crash(
        self, system
    ):
        # It was only cut off.
        entry = system.add_entry("a")
        system.submit(entry, JOB, systems.build_spec())
        worker = system.wait_for_run(TASK)
        systems.wait_until(lambda: count_starts(system) == 1)
        worker.is_cut = True
        systems.wait_until(lambda: count_starts(system) == 2)
        job = entry.job_api._follower.table.jobs[JOB]
        key = table.UnitKey(JOB, 0, 0, 0)
        assert len(job.get_unit(key).crashes) == 1
        worker.end(TASK, "lapsed")
        worker.is_cut = False
        systems.wait_until(lambda: not job.get_unit(key).crashes)
        assert job.get_unit(key).status == table.UnitStatus.ACTIVE

    def test_unanswered_starts_are_no_crashes(self, system):
        # A start that a cut off worker doesn't answer may never have come.
        entry = system.add_entry("a")
        systems.wait_until(lambda: entry._owner is not None)
        cut = list(system.fleet.workers.values())[:6]
        for worker in cut:
            worker.is_cut = True
        system.submit(entry, JOB, systems.build_spec())
        system.wait_for_run(TASK)
        assert not entry.job_api._follower.table.jobs[JOB].is_failed
