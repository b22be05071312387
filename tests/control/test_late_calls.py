"""Late calls that reach a process of a worker before any renewal does."""

import time

import gevent
import pytest

from chervilcove.control import commands
from chervilcove.control import fences
from chervilcove.control import sessions
from chervilcove.core import errors
from chervilcove.jobs import table
from tests.control import restarts
from tests.control import system as systems

JOB = restarts.JOB
TASK = restarts.TASK
LEASE_S = restarts.LEASE_S
system = restarts.system
entry = restarts.entry
KNOWN_RED = pytest.mark.xfail(strict=True, reason="see KNOWN-RED.txt")


def start_and_end(system, entry, how):
    """Run TASK on "w0", with a first start that is still under way."""
    worker = system.fleet.workers["w0"]
    restarts.evacuate(system, "dc1")
    worker.swallow_starts = 1
    system.submit(entry, JOB, systems.build_spec())
    systems.wait_until(lambda: TASK in worker.running)
    restarts.evacuate(system, "dc0")
    worker.end(TASK, how)


def get_unit(entry, name):
    """Return the stored record of a unit, as the entry shows it."""
    key = table.parse_unit_key(name)
    return entry._follower.table.jobs[JOB].get_unit(key)


def is_shown_as_done(entry):
    job = entry._follower.table.jobs[JOB]
    return job.get_state() is table.JobState.DONE


class TestRestartsNoticedByReport:
    def test_lease_of_a_start_answered_after_the_report_is_counted(
        self, system, entry
    ):
        # The next process took the start, and its report came before the
        # answer. `Fleet._open_session` keeps the expiry of the earlier process.
        worker = system.fleet.workers["w0"]
        restarts.evacuate(system, "dc1")
        until_ms = worker.lease_until_ms
        systems.wait_until(lambda: worker.lease_until_ms > until_ms)
        gevent.sleep(0.8)
        restarts.start_next_process(worker)
        worker.swallow_renewals = 1_000
        session = entry._owner.fleet.sessions["w0"]
        start = worker.start

        def start_and_report(command, details, *, timeout_s):
            outcome = start(command, details, timeout_s=timeout_s)
            system.fleet.change("w0", life=2)
            systems.wait_until(
                lambda: entry._owner.fleet.sessions["w0"] is not session
            )
            worker.is_cut = True
            return outcome

        worker.start = start_and_report
        system.submit(entry, JOB, systems.build_spec())
        systems.wait_until(lambda: worker.is_cut and TASK in worker.running)
        restarts.evacuate(system)
        systems.wait_until(lambda: len(system.list_starts()) == 2)
        gevent.sleep(LEASE_S)
        assert system.list_overlaps() == []


class TestLateStarts:
    @pytest.mark.parametrize(
        "is_reported", [True, pytest.param(False, marks=KNOWN_RED)]
    )
    def test_late_start_of_an_earlier_owner_behind_a_cut_is_waited_for(
        self, system, entry, monkeypatch, is_reported
    ):
        # Only the owner that sent the start knew that it had no answer.
        monkeypatch.setattr(sessions, "MAX_CALL_DELAY_S", 8.0)
        worker = system.fleet.workers["w0"]
        restarts.evacuate(system, "dc1")
        worker.swallow_starts = 100
        system.submit(entry, JOB, systems.build_spec())
        systems.wait_until(lambda: worker.late)
        sent_at = time.monotonic()
        second = system.add_entry("b")
        systems.wait_until(lambda: second._follower.is_current)
        entry.kill()
        restarts.start_next_process(worker)
        worker.is_cut = True
        if is_reported:
            system.fleet.change("w0", life=2)
        systems.wait_until(lambda: second._owner)
        restarts.evacuate(system)
        expiry = second._owner.fleet.inherited_expiry
        gevent.sleep(expiry - 0.5 - time.monotonic())
        assert time.monotonic() - sent_at < sessions.MAX_CALL_DELAY_S
        worker.run_late()
        assert TASK in worker.running
        systems.wait_until(lambda: len(system.list_starts()) == 2)
        gevent.sleep(LEASE_S)
        assert system.list_overlaps() == []

    @KNOWN_RED
    def test_late_start_behind_a_cut_that_hides_the_restart(
        self, system, entry
    ):
        # The worker may as well have gone for good, which costs callers 12 s.
        worker = system.fleet.workers["w0"]
        restarts.evacuate(system, "dc1")
        worker.swallow_starts = 1
        system.submit(entry, JOB, systems.build_spec())
        systems.wait_until(lambda: worker.late)
        restarts.evacuate(system)
        restarts.start_next_process(worker)
        worker.is_cut = True
        gevent.sleep(3.5)
        worker.run_late()
        systems.wait_until(lambda: len(system.list_starts()) == 2)
        assert system.list_overlaps() == []

    @KNOWN_RED
    def test_late_start_of_a_failed_run_is_waited_for(self, system, entry):
        # The end was read, but the first try of its start is still under way.
        worker = system.fleet.workers["w0"]
        start_and_end(system, entry, "failed")
        systems.wait_until(lambda: get_unit(entry, TASK).failures)
        gevent.sleep(0.3)
        restarts.start_next_process(worker)
        worker.is_cut = True
        worker.run_late()
        gevent.sleep(0.1)
        assert system.list_overlaps() == []
        assert system.list_starts().count((TASK, 1)) == 1

    @KNOWN_RED
    def test_late_start_does_not_run_in_the_process_after_the_next(
        self, system, entry
    ):
        # The next process refuses it, but that one restarts as well.
        worker, other = (system.fleet.workers[name] for name in ("w0", "w1"))
        restarts.evacuate(system, "dc1")
        worker.swallow_starts = 1
        system.submit(entry, JOB, systems.build_spec())
        systems.wait_until(lambda: TASK in worker.running)
        restarts.evacuate(system, "dc0")
        restarts.restart(system, worker)
        systems.wait_until(lambda: TASK in other.running)
        restarts.start_next_process(worker)
        worker.is_cut = True
        worker.run_late()
        gevent.sleep(0.1)
        assert system.list_overlaps() == []


class TestEndsOfTasksWithOpenStarts:
    @pytest.mark.parametrize("changes_owner", [False, True])
    def test_ended_task_runs_in_the_next_process_only_if_no_end_was_noted(
        self, system, entry, changes_owner
    ):
        # The end was acknowledged while the first start was still under way.
        worker = system.fleet.workers["w0"]
        start_and_end(system, entry, "done")
        systems.wait_until(lambda: is_shown_as_done(entry))
        if changes_owner:
            second = system.add_entry("b")
            systems.wait_until(lambda: second._follower.is_current)
            entry.kill()
            systems.wait_until(lambda: second._owner)
            session = second._owner.fleet.sessions["w0"]
            systems.wait_until(lambda: session.is_understood)
        gevent.sleep(0.3)
        restarts.start_next_process(worker)
        worker.is_cut = True
        worker.run_late()
        gevent.sleep(0.1)
        assert system.list_starts().count((TASK, 1)) == 2
        assert system.list_repeats() == []
        assert system.list_overlaps() == []

    def test_failed_end_is_not_noted_while_a_start_may_come(
        self, system, entry
    ):
        # A noted failure counts as an attempt: none may follow the last one.
        worker = system.fleet.workers["w0"]
        start_and_end(system, entry, "failed")
        systems.wait_until(lambda: get_unit(entry, TASK).failures)
        gevent.sleep(0.3)
        assert [end.task for end in worker.ended] == [TASK]

    def test_end_on_another_worker_is_not_noted_while_a_start_may_come(
        self, system, entry
    ):
        # No start of the first run is answered, and the second run ends.
        worker, other = (system.fleet.workers[name] for name in ("w0", "w1"))
        restarts.evacuate(system, "dc1")
        worker.swallow_starts = commands.START_TRIES
        system.submit(entry, JOB, systems.build_spec())
        systems.wait_until(lambda: worker.late)
        restarts.evacuate(system, "dc0")
        systems.wait_until(lambda: TASK in other.running)
        other.end(TASK, "done")
        systems.wait_until(lambda: is_shown_as_done(entry))
        gevent.sleep(0.3)
        restarts.start_next_process(worker)
        worker.is_cut = True
        worker.run_late()
        gevent.sleep(0.1)
        assert system.list_starts().count((TASK, 1)) == 1
        assert system.list_repeats() == []

    def test_end_of_a_gang_is_not_noted_while_a_member_may_start(
        self, system, entry
    ):
        # One end represents all members, and the start of the other is late.
        worker, other = (system.fleet.workers[name] for name in ("w0", "w1"))
        worker.swallow_starts = 1
        spec = systems.build_spec(count=2, is_gang=True, most_per_worker=1)
        system.submit(entry, JOB, spec)
        systems.wait_until(lambda: worker.running and other.running)
        (task,) = other.running
        other.end(task, "done")
        systems.wait_until(lambda: get_unit(entry, f"{JOB}.0.0").status == 2)
        gevent.sleep(0.3)
        assert [end.how for end in other.ended] == ["done"]

    def test_ends_are_noted_once_no_start_can_come(
        self, system, entry, monkeypatch
    ):
        # Ends that are never acknowledged would fill the worker's list.
        monkeypatch.setattr(sessions, "MAX_CALL_DELAY_S", 2.0)
        worker = system.fleet.workers["w0"]
        start_and_end(system, entry, "done")
        systems.wait_until(lambda: is_shown_as_done(entry))
        began = time.monotonic()
        systems.wait_until(lambda: not worker.ended)
        assert time.monotonic() - began < 2.0 + sessions.ACKNOWLEDGE_WAIT_S + 1
        systems.wait_until(lambda: not entry._follower.open_starts)

    def test_ends_after_one_that_is_kept_are_read_soon(self, system, entry):
        # Read twice a second, urgent work waited for the ends of its victims.
        worker = system.fleet.workers["w0"]
        start_and_end(system, entry, "done")
        systems.wait_until(lambda: is_shown_as_done(entry))
        renewals = []
        renew = worker.renew_lease

        def count_renewal(**arguments):
            renewals.append(time.monotonic())
            return renew(**arguments)

        worker.renew_lease = count_renewal
        gevent.sleep(2.0)
        assert worker.ended
        assert len(renewals) > 8

    def test_a_full_list_of_ends_is_noted(self, system, entry):
        # A worker lists 500 ends; further ones would never be read.
        worker = system.fleet.workers["w0"]
        renew = worker.renew_lease
        worker.renew_lease = lambda **arguments: renew(**arguments)._replace(
            is_complete=False
        )
        start_and_end(system, entry, "done")
        systems.wait_until(lambda: not worker.ended)

    def test_next_owner_notes_ends_of_answered_starts_at_once(
        self, system, entry
    ):
        # Otherwise each change of owner would keep the ends of all runs listed.
        worker = system.fleet.workers["w0"]
        restarts.evacuate(system, "dc1")
        system.submit(entry, JOB, systems.build_spec())
        systems.wait_until(lambda: TASK in worker.running)
        second = system.add_entry("b")
        systems.wait_until(lambda: second._follower.is_current)
        entry.kill()
        systems.wait_until(lambda: second._owner)
        worker.end(TASK, "done")
        systems.wait_until(lambda: is_shown_as_done(second))
        gevent.sleep(0.5)
        assert worker.ended == []

    def test_next_owner_counts_a_start_that_was_under_way(self, system, entry):
        # The owner ended before it knew that its start got no answer.
        worker, other = (system.fleet.workers[name] for name in ("w0", "w1"))
        restarts.evacuate(system, "dc1")
        worker.swallow_starts = 100
        system.submit(entry, JOB, systems.build_spec())
        systems.wait_until(lambda: worker.late)
        entry.kill()
        second = system.add_entry("b")
        restarts.evacuate(system, "dc0")
        systems.wait_until(lambda: TASK in other.running)
        other.end(TASK, "done")
        systems.wait_until(lambda: is_shown_as_done(second))
        gevent.sleep(0.3)
        assert [end.task for end in other.ended] == [TASK]


class TestAcknowledgements:
    def test_unanswered_renewal_drops_no_ends_of_the_next_process(
        self, system, entry
    ):
        # Calls arrive and answers are lost, so that no restart is noticed.
        worker = system.fleet.workers["w0"]
        restarts.evacuate(system, "dc1")
        system.submit(entry, "00000000000000bb", systems.build_spec())
        first = "00000000000000bb.0.0.0"
        systems.wait_until(lambda: first in worker.running)
        worker.end(first, "done")
        session = entry._owner.fleet.sessions["w0"]
        systems.wait_until(lambda: session.last_seen == 1)
        restarts.start_next_process(worker)
        renew, start = worker.renew_lease, worker.start
        unanswered = errors.refuse(errors.Kind.OUTCOME_UNKNOWN, "lost answer")

        def renew_unanswered(**arguments):
            renew(**{**arguments, "wait_ms": 0})
            gevent.sleep(0.1)
            return unanswered

        def start_unanswered(command, details, *, timeout_s):
            start(command, details, timeout_s=timeout_s)
            gevent.sleep(0.1)
            return unanswered

        worker.renew_lease, worker.start = renew_unanswered, start_unanswered
        system.submit(entry, JOB, systems.build_spec())
        systems.wait_until(lambda: TASK in worker.running)
        gevent.sleep(0.2)
        if TASK in worker.running:
            worker.end(TASK, "done")
        gevent.sleep(0.6)
        # Unread by the owner: nobody may have acknowledged it.
        assert [end.task for end in worker.ended] == [TASK]


class TestCostsOfRestarts:
    def test_answered_run_of_an_earlier_process_waits_for_its_lease_only(
        self, system, entry
    ):
        # Its start was answered at once: no late call can begin it again.
        worker = system.fleet.workers["w0"]
        restarts.evacuate(system, "dc1")
        system.submit(entry, JOB, systems.build_spec())
        systems.wait_until(lambda: TASK in worker.running)
        gevent.sleep(0.3)
        worker.crash()
        crashed_at = time.monotonic()
        system.fleet.change("w0", life=2)
        restarts.evacuate(system)
        systems.wait_until(lambda: len(system.list_starts()) == 2)
        lease_s = sessions._get_lease_s()
        assert time.monotonic() - crashed_at < lease_s + 1.0

    def test_start_that_was_not_sent_counts_against_nobody(
        self, system, entry, monkeypatch
    ):
        # Its worker restarted while the record of the start was being stored.
        worker = system.fleet.workers["w0"]
        restarts.evacuate(system, "dc1")
        owner = entry._owner
        send = owner._commands.send_starts

        def restart_and_send(payload, run):
            monkeypatch.setattr(owner._commands, "send_starts", send)
            restarts.restart(system, worker)
            systems.wait_until(lambda: owner.fleet.sessions["w0"].life == 2)
            send(payload, run)

        monkeypatch.setattr(owner._commands, "send_starts", restart_and_send)
        system.submit(entry, JOB, systems.build_spec())
        systems.wait_until(
            lambda: (
                (
                    owner._table.jobs.get(JOB)
                    and any(
                        unit.run and not unit.places
                        for unit in owner._table.jobs[JOB].units.values()
                    )
                )
                or TASK in worker.running
            )
        )
        (unit,) = owner._table.jobs[JOB].units.values()
        assert not owner.fleet.health.is_quarantined("w0", time.monotonic())
        assert unit.crashes == ()


class TestEpochs:
    def test_claims_after_an_entry_of_the_earlier_version_keep_apart(self):
        # One entry has read the claim of the earlier version, one has not. The
        # second claim may be stored late, after the first has had a term.
        epoch = systems.FIRST_EPOCH
        unaware = fences.compute_next_epoch(epoch)
        aware = fences.compute_next_epoch(epoch + 1)
        highest = unaware + fences.FENCES_PER_EPOCH - 1
        assert aware == unaware or aware > highest


class TestUsedUpFences:
    def test_worker_gets_no_session_after_the_last_fence(
        self, system, entry, monkeypatch
    ):
        # The owner steps down, which ends all sessions, but the new one.
        fleet = entry._owner.fleet
        monkeypatch.setattr(fleet._fences, "advance", lambda worker: False)
        restarts.restart(system, system.fleet.workers["w0"])
        systems.wait_until(
            lambda: entry._owner is None or entry._owner.fleet is not fleet
        )
        gevent.sleep(0.3)
        assert all(one.is_stopping for one in fleet.sessions.values())
