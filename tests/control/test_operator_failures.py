"""What operators of similar systems met; the table is in docs/internals."""

import collections
import time

import gevent
import pytest

from chervilcove.control import clocks
from chervilcove.control import commands
from chervilcove.control import interfaces
from chervilcove.control import owner_writer
from chervilcove.control import sessions
from chervilcove.core import errors
from chervilcove.jobs import records
from chervilcove.jobs import table
from tests.control import system as systems

JOB = "00000000000000aa"
TASK = f"{JOB}.0.0.0"


def advance_boot_clock(monkeypatch, seconds):
    """Let time pass that only the boot clock counts, as in a suspension."""
    read = clocks.read_boot_clock_s
    monkeypatch.setattr(clocks, "read_boot_clock_s", lambda: read() + seconds)


class TestSilentWorkers:
    """A worker was only silent, or slow to report, for a while."""

    def test_run_goes_on_while_its_worker_is_silent(self, system):
        entry = system.add_entry("a")
        system.submit(entry, JOB, systems.build_spec())
        worker = system.wait_for_run(TASK)
        worker.is_cut = True
        gevent.sleep(2.0)
        worker.is_cut = False
        gevent.sleep(1.0)
        assert system.list_starts() == [(TASK, 1)]
        worker.end(TASK, "done")
        systems.wait_until(
            lambda: (
                entry.job_api.get_job_state(job=JOB, sender=systems.SENDER)
                is table.JobState.DONE
            )
        )

    def test_run_goes_on_while_its_worker_is_not_listed(self, system):
        entry = system.add_entry("a")
        system.submit(entry, JOB, systems.build_spec())
        name = system.wait_for_run(TASK).report.id
        report = system.fleet.reports.pop(name)
        for feed in system.fleet.feeds:
            feed.tell()
        gevent.sleep(3.0)
        system.fleet.reports[name] = report
        for feed in system.fleet.feeds:
            feed.tell()
        gevent.sleep(1.0)
        assert system.list_starts() == [(TASK, 1)]


class TestHandOver:
    """Around a hand-over, both processes acted for a moment."""

    def test_no_order_goes_out_twice(self, system):
        entries = [system.add_entry(name) for name in "abc"]
        systems.wait_until(lambda: any(one._owner for one in entries))
        for number in range(24):
            if number in (8, 16):
                owner = systems.wait_until(
                    lambda: next((one for one in entries if one._owner), None)
                )
                owner._election.resign()
                entries.remove(owner)
            system.submit(entries[0], f"{number:016x}", systems.build_spec())
        systems.wait_until(lambda: len(system.list_starts()) >= 24)
        gevent.sleep(1.0)
        counts = collections.Counter(task for task, _ in system.list_starts())
        assert set(counts.values()) == {1}


class TestPausedOwner:
    """A process was paused for seconds, and its permission ran out."""

    @pytest.fixture
    def owner(self, system):
        entry = system.add_entry("a")
        return systems.wait_until(lambda: entry._owner)

    def test_leases_are_not_extended_after_a_pause(self, owner, monkeypatch):
        owner.writer.kill()
        assert owner._may_renew()
        advance_boot_clock(monkeypatch, sessions.LEASE_WITHOUT_LEDGER_S + 0.1)
        assert not owner._may_renew()

    @pytest.mark.parametrize("tries", [1, 2])
    def test_no_leases_are_given_after_a_pause_before_the_claim_is_read(
        self, system, monkeypatch, tries
    ):
        # Leases were renewed for 3 s after the claim was read back, which may
        # be longer than a successor that claimed meanwhile waits for.
        append, read = system.ledger.append, system.ledger.read
        claims = []

        def append_and_pause(items, *, fence=None, timeout_s):
            outcome = append(items, fence=fence, timeout_s=timeout_s)
            claims.append(fence)
            if len(claims) == 1:
                advance_boot_clock(
                    monkeypatch, sessions.LEASE_WITHOUT_LEDGER_S + 0.1
                )
            return outcome

        def read_after_all_tries(offset, *, wait_s, timeout_s):
            chunk = read(offset, wait_s=wait_s, timeout_s=timeout_s)
            if 0 < len(claims) < tries:
                gevent.sleep(0.01)
                return interfaces.Chunk([], offset, offset)
            return chunk

        monkeypatch.setattr(
            owner_writer.OwnerWriter, "run", lambda _: gevent.sleep(60.0)
        )
        monkeypatch.setattr(system.ledger, "read", read_after_all_tries)
        entry = system.add_entry("a")
        systems.wait_until(
            lambda: entry._follower.table.incarnations.get(entry._identity)
        )
        monkeypatch.setattr(system.ledger, "append", append_and_pause)
        owner = systems.wait_until(lambda: entry._owner)
        gevent.sleep(0.3)
        assert [fence.epoch for fence in claims] == [
            systems.FIRST_EPOCH
        ] * tries
        assert not any(one.last_answer for one in owner.fleet.sessions.values())

    def test_stored_start_is_not_sent_after_a_pause(
        self, system, owner, monkeypatch
    ):
        # The successor takes a run for lost once no lease can live. A worker
        # that it has not reached would still accept the start.
        for worker in system.fleet.workers.values():
            worker.swallow_starts = 1
        system.submit(system.entries[0], JOB, systems.build_spec())
        systems.wait_until(
            lambda: any(one.late for one in system.fleet.workers.values())
        )
        owner.writer.kill()
        advance_boot_clock(monkeypatch, sessions.LEASE_WITHOUT_LEDGER_S + 0.1)
        gevent.sleep(commands.START_TRIES * 0.5)
        assert system.list_starts() == []


class TestLostAnswers:
    """The answer about work that ran was lost."""

    def test_repeated_submission_runs_once(self, system):
        entry = system.add_entry("a")
        other = system.add_entry("b")
        systems.wait_until(lambda: other.job_api._follower.is_current)
        system.ledger.swallow = 1
        for one in (entry, other, entry):
            answer = system.submit(one, JOB, systems.build_spec())
            assert not errors.is_refusal(answer)
        system.wait_for_run(TASK)
        gevent.sleep(0.5)
        assert system.list_starts() == [(TASK, 1)]


class TestMalformedRecords:
    """One malformed message took a whole process down."""

    @pytest.mark.parametrize("value", [b"\x00", b"\xc1", b"\xff" * 40, b"\x93"])
    def test_malformed_records_are_ignored(self, system, value):
        entry = system.add_entry("a")
        owner = systems.wait_until(lambda: entry._owner)
        for kind in records.Kind:
            for key in (kind.value, f"{kind.value}/x", f"{kind.value}/x.0.0"):
                system.ledger.append([(key, value)], timeout_s=1.0)
        system.ledger.append([("", b""), ("?", b"x")], timeout_s=1.0)
        began = time.monotonic()
        system.submit(entry, JOB, systems.build_spec())
        system.wait_for_run(TASK)
        assert time.monotonic() - began < 2.0
        assert entry._owner is owner
