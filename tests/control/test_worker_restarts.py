"""Calls for one process of a worker that the next one carries out.

The next process has the same id, its clock starts near 0, and it has seen no
fence.
"""

import gevent

from chervilcove.control import commands
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


class TestLateRenewals:
    def test_late_renewal_gives_the_next_process_no_lease(self, system, entry):
        # The owner counted a run as lost that still had a lease: two at once.
        worker = system.fleet.workers["w0"]
        restarts.evacuate(system, "dc1")
        restarts.keep_renewal(worker)
        restarts.restart(system, worker)
        restarts.wait_until_open(entry, "w0")
        system.submit(entry, JOB, systems.build_spec())
        systems.wait_until(lambda: TASK in worker.running)
        restarts.evacuate(system)
        gevent.sleep(0.3)
        worker.is_cut = True
        gevent.sleep(0.75 * LEASE_S)
        worker.run_late()
        systems.wait_until(lambda: len(system.list_starts()) == 2)
        gevent.sleep(LEASE_S)
        assert system.list_overlaps() == []

    def test_late_renewal_drops_no_ends_of_the_next_process(
        self, system, entry
    ):
        # Ends are numbered anew. Those that nobody had read were forgotten,
        # and the tasks started again.
        worker = system.fleet.workers["w0"]
        restarts.evacuate(system, "dc1")
        system.submit(entry, "00000000000000bb", systems.build_spec())
        first = "00000000000000bb.0.0.0"
        systems.wait_until(lambda: first in worker.running)
        worker.end(first, "done")
        session = entry._owner.fleet.sessions["w0"]
        systems.wait_until(lambda: session.last_seen == 1)
        restarts.keep_renewal(worker)
        restarts.restart(system, worker)
        restarts.wait_until_open(entry, "w0")
        system.submit(entry, JOB, systems.build_spec())
        systems.wait_until(lambda: TASK in worker.running)
        gevent.sleep(0.3)
        worker.end(TASK, "done")
        worker.run_late()
        systems.wait_until(
            lambda: (
                entry.job_api.get_job_state(job=JOB, sender=systems.SENDER)
                is table.JobState.DONE
            )
        )
        assert system.list_starts().count((TASK, 1)) == 1
        assert (TASK, 2) not in system.list_starts()


class TestLateStarts:
    def test_late_start_does_not_run_in_the_next_process(self, system, entry):
        # Its deadline is a time of the earlier clock, so it hadn't expired.
        worker, other = (system.fleet.workers[name] for name in ("w0", "w1"))
        restarts.evacuate(system, "dc1")
        worker.swallow_starts = 1
        system.submit(entry, JOB, systems.build_spec())
        systems.wait_until(lambda: TASK in worker.running)
        gevent.sleep(0.3)
        restarts.evacuate(system, "dc0")
        worker.crash()
        gevent.sleep(0.5)
        system.fleet.restart("w0")
        systems.wait_until(lambda: TASK in other.running)
        outcomes = worker.run_late()
        assert [one.kind for one in outcomes] == [errors.Kind.FENCED]
        assert system.list_overlaps() == []

    def test_late_start_behind_a_cut_is_waited_for(
        self, system, entry, monkeypatch
    ):
        # The owner can't reach the next process, which has seen no fence.
        monkeypatch.setattr(sessions, "MAX_CALL_DELAY_S", 4.0)
        worker = system.fleet.workers["w0"]
        restarts.evacuate(system, "dc1")
        worker.swallow_starts = 1
        system.submit(entry, JOB, systems.build_spec())
        systems.wait_until(lambda: worker.late)
        restarts.evacuate(system)
        worker.crash()
        worker.restart(worker.report._replace(life=2))
        worker.is_cut = True
        system.fleet.change("w0", life=2)
        gevent.sleep(3.5)
        worker.run_late()
        assert TASK in worker.running
        systems.wait_until(lambda: len(system.list_starts()) == 2)
        assert system.list_overlaps() == []

    def test_lease_of_a_start_that_the_next_process_got_is_counted(
        self, system, entry
    ):
        # The owner had not noticed the restart: the deadline of the earlier
        # clock gives the longest lease there, not that of a start.
        worker = system.fleet.workers["w0"]
        restarts.evacuate(system, "dc1")
        until_ms = worker.lease_until_ms
        systems.wait_until(lambda: worker.lease_until_ms > until_ms)
        gevent.sleep(0.8)
        worker.crash()
        worker.restart(worker.report._replace(life=2))
        worker.swallow_renewals = 1_000
        system.submit(entry, JOB, systems.build_spec())
        systems.wait_until(lambda: TASK in worker.running)
        worker.is_cut = True
        restarts.evacuate(system)
        systems.wait_until(lambda: len(system.list_starts()) == 2)
        gevent.sleep(LEASE_S)
        assert system.list_overlaps() == []

    def test_owner_stays_when_its_late_start_is_fenced(self, system, entry):
        # The refusal of a call for an earlier process names no newer owner.
        worker = system.fleet.workers["w0"]
        restarts.evacuate(system, "dc1")
        owner = entry._owner
        session = owner.fleet.sessions["w0"]
        refused = errors.refuse(errors.Kind.FENCED, "epoch is stale")
        starts = []

        def start(command, details, *, timeout_s):
            del details, timeout_s
            starts.append(command)
            if len(starts) == 1:
                restarts.restart(system, worker)
                systems.wait_until(
                    lambda: worker.fence > command.fence and session.life != 1
                )
            return refused

        worker.start = start
        system.submit(entry, JOB, systems.build_spec())
        systems.wait_until(lambda: starts)
        gevent.sleep(0.5)
        assert entry._owner is owner


class TestLateCommands:
    def test_next_process_refuses_calls_for_the_earlier_one(
        self, system, entry
    ):
        # Of all calls that name an earlier process, none may have an effect.
        worker = system.fleet.workers["w0"]
        fence = worker.fence
        restarts.restart(system, worker)
        restarts.wait_until_open(entry, "w0")
        command = commands.interfaces.RunCommand(TASK, 1, fence)
        for outcome in (
            worker.stop(command, timeout_s=1.0),
            worker.set_pace(command, 50, timeout_s=1.0),
            worker._renew_lease(fence, 9, worker.read_clock_ms() + 60_000),
        ):
            assert outcome.kind is errors.Kind.FENCED

    def test_successor_is_above_all_fences_of_an_owner(self, system, entry):
        # Each restart of a worker raises the fence of its owner there.
        worker = system.fleet.workers["w0"]
        for _ in range(3):
            restarts.restart(system, worker)
            restarts.wait_until_open(entry, "w0")
        fence = worker.fence
        second = system.add_entry("b")
        systems.wait_until(lambda: second._follower.is_current)
        entry._election.resign()
        systems.wait_until(lambda: second._owner)
        restarts.wait_until_open(second, "w0")
        assert worker.fence > fence
        assert second._owner is not None


class TestClocks:
    def test_clock_of_an_earlier_process_is_not_kept(self, system, entry):
        # Answers on different connections may overtake each other. With the
        # earlier clock no start would have expired in the next process.
        worker = system.fleet.workers["w0"]
        session = entry._owner.fleet.sessions["w0"]
        call = session.begin_call()
        worker.crash()
        worker.restart(worker.report._replace(life=2))
        systems.wait_until(lambda: session.life == 2)
        systems.wait_until(lambda: 0 < session.estimate_clock_ms() < 60_000)
        session.record_answer(call, int(restarts.OLD_CLOCK_S * 1000) + 500)
        assert session.estimate_clock_ms() < 60_000
