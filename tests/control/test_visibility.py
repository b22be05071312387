import json
from urllib import request

import gevent
import pytest

from chervilcove.control import job_ends
from chervilcove.control import owners
from chervilcove.core import errors
from chervilcove.jobs import records
from chervilcove.jobs import table
from tests.control import system as systems

JOB = "00000000000000aa"
TASK = f"{JOB}.0.0.0"


def get_state(entry):
    return entry.job_api.get_job_state(job=JOB, sender=systems.SENDER)


def has_unstored_records(entry):
    return entry._owner.writer.backlog > 0


@pytest.fixture
def entry(owner_entry):
    return owner_entry


def run_job(system, entry):
    """Run a job up to its start; return the worker."""
    system.submit(entry, JOB, systems.build_spec())
    worker = system.wait_for_run(TASK)
    systems.wait_until(lambda: get_state(entry) is table.JobState.RUNNING)
    return worker


def end_without_store(system, entry, worker, how):
    """End the task while the ledger is down, so that its end isn't stored."""
    system.ledger.is_down = True
    worker.end(TASK, how)
    systems.wait_until(lambda: has_unstored_records(entry))
    gevent.sleep(0.3)


def purge_without_store(entry, monkeypatch):
    """Purge ended jobs while no record of the owner is stored."""
    entry._owner.writer.kill()
    monkeypatch.setattr(job_ends, "ENDED_JOB_RETENTION_MS", -1)
    monkeypatch.setattr(owners, "PURGE_INTERVAL_S", 0.0)
    systems.wait_until(lambda: has_unstored_records(entry))


class TestUnstoredRecords:
    """Callers see nothing that a successor may not know (review/2)."""

    def test_end_is_not_shown_before_it_is_stored(self, system, entry):
        # The owner was lost with an end that it had shown, and its successor
        # ran the task again.
        worker = run_job(system, entry)
        end_without_store(system, entry, worker, "done")
        assert get_state(entry) is table.JobState.RUNNING
        assert "jobs.ended.done" not in entry.metrics.list_counts()
        system.ledger.is_down = False
        systems.wait_until(lambda: get_state(entry) is table.JobState.DONE)
        systems.wait_until(
            lambda: entry.metrics.list_counts().get("jobs.ended.done") == 1
        )

    def test_failure_is_not_shown_before_it_is_stored(self, system, entry):
        system.submit(entry, JOB, systems.build_spec())
        for _ in range(2):
            system.wait_for_run(TASK).end(TASK, "failed")
        worker = system.wait_for_run(TASK)
        systems.wait_until(lambda: get_state(entry) is table.JobState.RUNNING)
        end_without_store(system, entry, worker, "failed")
        assert get_state(entry) is table.JobState.RUNNING

    def test_cancel_of_an_unstored_end_is_not_acknowledged(self, system, entry):
        # The answer 200 stood on an end that was lost with the owner.
        worker = run_job(system, entry)
        end_without_store(system, entry, worker, "done")
        answer = entry.job_api.cancel(
            job=JOB, sender=systems.SENDER, time_left_s=0.5
        )
        assert errors.is_refusal(answer)

    def test_deposed_owner_does_not_show_an_unstored_end(self, system, entry):
        # Until its table was read anew, it answered from the old one.
        worker = run_job(system, entry)
        end_without_store(system, entry, worker, "done")
        entry._election.step_down("test")
        assert get_state(entry) is table.JobState.RUNNING

    def test_start_is_not_counted_before_it_is_stored(self, system, entry):
        entry._owner.writer.kill()
        system.submit(entry, JOB, systems.build_spec())
        systems.wait_until(lambda: has_unstored_records(entry))
        assert get_state(entry) is table.JobState.QUEUED
        assert entry.job_api.count_waiting(queue="batch") == 1
        page = f"http://127.0.0.1:{entry._operator_server.port}/v1/status"
        answer = gevent.get_hub().threadpool.apply(request.urlopen, (page,))
        status = json.load(answer)
        assert status["queue"] == [{"queue": "batch queued", "jobs": 1}]

    def test_job_is_known_until_its_purge_is_stored(
        self, system, entry, monkeypatch
    ):
        worker = run_job(system, entry)
        worker.end(TASK, "done")
        systems.wait_until(
            lambda: JOB not in entry.job_api._follower.table.open_jobs
        )
        purge_without_store(entry, monkeypatch)
        assert get_state(entry) is table.JobState.DONE


class TestWorkingTable:
    def test_successor_decides_by_all_that_was_stored(self, system, entry):
        worker = run_job(system, entry)
        other = system.add_entry("b")
        systems.wait_until(lambda: other.job_api._follower.is_current)
        entry._election.resign()
        owner = systems.wait_until(lambda: other._owner)
        systems.wait_until(lambda: owner._runs)
        worker.end(TASK, "done")
        for one in (entry, other):
            systems.wait_until(
                lambda one=one: get_state(one) is table.JobState.DONE
            )
        assert system.list_starts() == [(TASK, 1)]

    def test_partly_purged_job_does_not_run_again(
        self, system, entry, monkeypatch
    ):
        # The end was dropped before the job. A successor that read the ledger
        # between two appends took the job for one that has not begun.
        worker = run_job(system, entry)
        worker.end(TASK, "done")
        systems.wait_until(
            lambda: JOB not in entry.job_api._follower.table.open_jobs
        )
        begin = len(system.ledger.records)
        monkeypatch.setattr(job_ends, "ENDED_JOB_RETENTION_MS", -1)
        monkeypatch.setattr(owners, "PURGE_INTERVAL_S", 0.0)
        systems.wait_until(
            lambda: JOB not in entry.job_api._follower.table.jobs
        )
        for end in range(begin, len(system.ledger.records)):
            newest = {one.key: one for one in system.ledger.records[:end]}
            read = table.JobTable()
            for one in newest.values():
                if one.value:
                    read.apply(records.decode(one.key, one.value))
            assert JOB not in read.open_jobs

    def test_purged_job_does_not_return_with_the_newest_records(
        self, system, entry, monkeypatch
    ):
        # The history lapsed while the purge of an ended job was not stored.
        # The job came back without its end, and all its tasks ran again.
        worker = run_job(system, entry)
        worker.end(TASK, "done")
        follower = entry.job_api._follower
        systems.wait_until(lambda: JOB not in follower.table.open_jobs)
        owner = entry._owner
        purge_without_store(entry, monkeypatch)
        system.ledger.lapse()
        system.ledger.first_offset += 1
        system.ledger.append(
            [(records.build_key(records.Kind.ENTRY, "x"), b"\xa1y")],
            timeout_s=1.0,
        )
        follower.next_offset = 0
        systems.wait_until(
            lambda: follower.next_offset >= system.ledger.first_offset
        )
        gevent.sleep(0.3)
        assert JOB not in owner._table.open_jobs
        assert system.list_starts() == [(TASK, 1)]
