"""A fault that one worker or job causes must not stop the others."""

import pytest

from chervilcove.control import sessions
from chervilcove.jobs import table
from tests.control import system as systems

JOB = "00000000000000aa"
TASK = f"{JOB}.0.0.0"
OTHER = "00000000000000bb"


def fail_for(monkeypatch, owner, method, is_cause):
    """Let a method of the owner raise for some of its arguments."""
    original = getattr(owner, method)

    def call(subject, *others):
        if is_cause(subject):
            raise KeyError("odd")
        return original(subject, *others)

    monkeypatch.setattr(owner, method, call)


@pytest.fixture
def entry(owner_entry):
    return owner_entry


def run_other_job(system, entry):
    system.submit(entry, OTHER, systems.build_spec())
    system.wait_for_run(f"{OTHER}.0.0.0").end(f"{OTHER}.0.0.0", "done")
    systems.wait_until(
        lambda: (
            entry.job_api.get_job_state(job=OTHER, sender=systems.SENDER)
            is table.JobState.DONE
        )
    )


class TestFaultIsolation:
    def test_worker_whose_answers_raise_counts_as_silent(
        self, system, entry, monkeypatch
    ):
        monkeypatch.setattr(sessions, "LEASE_MS", 1_000)
        system.submit(entry, JOB, systems.build_spec())
        worker = system.wait_for_run(TASK)
        name = worker.report.id
        fail_for(
            monkeypatch,
            entry._owner,
            "_process_renewal",
            lambda renewal: renewal.worker == name,
        )
        run_other_job(system, entry)
        systems.wait_until(lambda: (TASK, 2) in system.list_starts())
        assert (TASK, 2) not in worker.starts

    def test_job_whose_end_raises_stops_no_other(
        self, system, entry, monkeypatch
    ):
        fail_for(
            monkeypatch,
            entry._owner,
            "_close_job",
            lambda job: job.id == JOB,
        )
        system.submit(entry, JOB, systems.build_spec())
        system.wait_for_run(TASK).end(TASK, "done")
        run_other_job(system, entry)
        assert entry.metrics.list_counts()["rounds.failed_steps"]

    def test_ends_are_recorded_though_planning_raises(
        self, system, entry, monkeypatch
    ):
        system.submit(entry, JOB, systems.build_spec())
        worker = system.wait_for_run(TASK)

        def plan():
            raise KeyError("odd")

        monkeypatch.setattr(entry._owner, "_schedule", plan)
        worker.end(TASK, "done")
        systems.wait_until(
            lambda: (
                entry.job_api.get_job_state(job=JOB, sender=systems.SENDER)
                is table.JobState.DONE
            )
        )
