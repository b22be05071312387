"""Tests of an owner whose link carries less than its work asks for."""

import time

import gevent
import pytest

from chervilcove.control import clocks
from chervilcove.control import owner_writer
from chervilcove.core import metrics as metric_values
from chervilcove.dispatch import capacity
from chervilcove.jobs import records
from chervilcove.jobs import specs
from chervilcove.standins import ledger as ledgers
from tests.control import narrow_links
from tests.control import system as systems

WORKERS = 60
LINK_BYTES_PER_S = 60_000
PAYLOAD = "p" * 1_500
TASK_S = 1.0
TASKS_PER_JOB = 10
JOBS_PER_S = 12
BURST_S = 2.5
# The messages of the burst's work need half of this time, beside renewals.
RECOVERY_S = 40.0


class NarrowSystem(systems.System):
    """Three entries, each behind a link of its own."""

    def __init__(self):
        super().__init__(workers=WORKERS)
        for worker in self.fleet.workers.values():
            worker.lease_limit_ms = 6_000
            worker.stop_delay_s = 0.2
        self.given_up = set()
        for name in ("e1", "e2", "e3"):
            link = narrow_links.Link(bytes_per_s=LINK_BYTES_PER_S)
            self.add_entry(
                name,
                ledger=narrow_links.LinkedLedger(ledger=self.ledger, link=link),
                connector=narrow_links.LinkedFleet(fleet=self.fleet, link=link),
                limits=capacity.EntryLimits(
                    link_mbps=LINK_BYTES_PER_S * 8 / 1e6
                ),
            )
        self._greenlets = [
            gevent.spawn(self._end_tasks),
            gevent.spawn(self._watch_sessions),
        ]

    def stop(self):
        gevent.killall(self._greenlets)
        self.kill_all()

    def list_claims(self):
        return [
            records.decode(one.key, one.value).value.entry
            for one in self.ledger.records
            if one.key == records.build_key(records.Kind.CLAIM)
        ]

    def find_owner_entry(self):
        return next((one for one in self.entries if one._owner), None)

    def are_runs_known(self):
        entry = self.find_owner_entry()
        if entry is None:
            return False
        sessions = entry._owner.fleet.sessions.values()
        return len(sessions) == WORKERS and all(
            one.are_runs_known for one in sessions
        )

    def is_done(self, job):
        entry = self.find_owner_entry()
        found = entry and entry._follower.table.jobs.get(job)
        return bool(found and found.end)

    def _end_tasks(self):
        while True:
            for worker in self.fleet.workers.values():
                for task in list(worker.running):
                    if time.monotonic() - worker._started_at[task] > TASK_S:
                        worker.end(task, "done")
            gevent.sleep(0.02)

    def _watch_sessions(self):
        while True:
            for entry in self.entries:
                for session in list(
                    entry._owner.fleet.sessions.values() if entry._owner else ()
                ):
                    if session._is_unreachable:
                        self.given_up.add(session.report.id)
            gevent.sleep(0.02)


@pytest.fixture
def narrow_system():
    system = NarrowSystem()
    yield system
    system.stop()


def build_spec(count):
    step = specs.Step(
        count=count, need=specs.Resources(4_000, 1_024, 1), estimate_ms=1_000
    )
    return specs.JobSpec(PAYLOAD, (step,))


class TestBursts:
    # The owner filled its own link, took the silence that followed for that of
    # its workers, and what it then repeated kept the link full.
    @pytest.mark.timeout(240)
    def test_a_burst_beyond_the_link_is_worked_off(self, narrow_system):
        systems.wait_until(narrow_system.are_runs_known)
        claims = narrow_system.list_claims()
        submitting = narrow_system.entries[0]
        jobs = [f"{number:016x}" for number in range(int(JOBS_PER_S * BURST_S))]
        for job in jobs:
            gevent.spawn(
                narrow_system.submit, submitting, job, build_spec(TASKS_PER_JOB)
            )
            gevent.sleep(1 / JOBS_PER_S)
        ended = time.monotonic()
        accepted = set()
        while time.monotonic() - ended < RECOVERY_S:
            accepted = {
                one.key[2:]
                for one in narrow_system.ledger.records
                if one.key.startswith("j/")
            }
            if all(narrow_system.is_done(job) for job in accepted):
                break
            gevent.sleep(0.1)
        starts = narrow_system.list_starts()
        left = [job for job in accepted if not narrow_system.is_done(job)]
        assert narrow_system.list_claims() == claims
        assert narrow_system.given_up == set()
        assert accepted
        assert left == []
        assert narrow_system.list_overlaps() == []
        assert len(starts) == TASKS_PER_JOB * len(accepted)


class TestAppends:
    # An append that took longer than 1.2 s was sent again and again, each time
    # beside the tries before it, so that its owner stored nothing more.
    def test_a_backlog_beyond_one_append_is_stored(self):
        ledger = ledgers.MemoryLedger()
        link = narrow_links.Link(bytes_per_s=LINK_BYTES_PER_S)
        owner = owner_writer.OwnerWriter(
            ledger=narrow_links.LinkedLedger(ledger=ledger, link=link),
            claim_sent_at=0.0,
            epoch=1,
            clock=clocks.SharedClock(),
            on_deposed=lambda reason: None,
            metrics=metric_values.Metrics(),
        )
        size = 3 * LINK_BYTES_PER_S
        for number in range(size // 200):
            owner.enqueue(f"u/{number:06}", b"v" * 187)
        owner.start()
        try:
            systems.wait_until(lambda: not owner.backlog)
        finally:
            owner.kill()
        assert len({one.key for one in ledger.records}) >= size // 200
        assert link.sent < 2 * size


class TestLargeJobs:
    # A dozen descriptions in one append kept the heartbeat at its end from the
    # ledger, and the owner was replaced.
    def test_many_descriptions_at_once_keep_the_owner(self, narrow_system):
        systems.wait_until(narrow_system.are_runs_known)
        claims = narrow_system.list_claims()
        owner = narrow_system.find_owner_entry()
        spec = build_spec(1)._replace(payload="p" * 3_900)
        jobs = [f"{number:016x}" for number in range(12)]
        for job in jobs:
            gevent.spawn(narrow_system.submit, owner, job, spec)
        gevent.sleep(8.0)
        stored = {
            one.key[2:]
            for one in narrow_system.ledger.records
            if one.key.startswith("j/")
        }
        assert narrow_system.list_claims() == claims
        assert narrow_system.given_up == set()
        assert len(stored) >= len(jobs) / 2
        assert all(narrow_system.is_done(job) for job in stored)
