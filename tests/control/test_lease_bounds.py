"""What owners give and what their successors wait for must fit."""

import random
import time
import types

import pytest

from chervilcove.control import clocks
from chervilcove.control import elections
from chervilcove.control import fences
from chervilcove.control import follower as followers
from chervilcove.control import sessions
from chervilcove.core import metrics as metric_values
from chervilcove.jobs import records
from chervilcove.standins import ledger as ledgers
from tests.control import system as systems

JOB = "00000000000000aa"
TASK = f"{JOB}.0.0.0"
NAMES = "abcd"


class Entry:
    """The parts of an entry that tell who may renew leases."""

    def __init__(self, name, number, ledger):
        self.name = name
        self.ledger = ledger
        self.follower = followers.Follower(
            ledger=ledger,
            clock=clocks.SharedClock(),
            metrics=metric_values.Metrics(),
        )
        self.election = elections.Election(
            name=name,
            incarnation=f"{name}-{number}",
            ledger=ledger,
            follower=self.follower,
            rank=0.5,
            on_change=lambda epoch: None,
        )
        self.read_newest()
        self.election.complete_incarnation()
        self.announce()
        self.read()

    @property
    def process(self):
        return records.Process(self.name, self.election.incarnation)

    def announce(self):
        """Append the record of the start, for the first time or late."""
        key = records.build_key(records.Kind.ENTRY, self.name)
        value = records.encode_value(self.election.incarnation)
        self.ledger.append([(key, value)], timeout_s=1.0)

    def read_newest(self):
        chunk = self.ledger.read_newest(timeout_s=1.0)
        self.follower.next_offset = chunk.next_offset
        self.follower.load_snapshot(chunk)

    def read(self):
        offset = self.follower.next_offset
        chunk = self.ledger.read(offset, wait_s=0.0, timeout_s=1.0)
        self.follower._apply(chunk, is_live=True)

    def claim(self, *, is_resigned=False):
        epoch = fences.compute_next_epoch(self.follower.table.epoch)
        self.election._append(epoch, is_resigned=is_resigned)


class Succession:
    """Owners that follow each other in a drawn order, on a drawn clock.

    Attributes:
        renewals_end: Until when each process that was replaced may renew
            leases, as far as the ledger's order tells.
    """

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.now = 1_000.0
        self.ledger = ledgers.MemoryLedger()
        self.renewals_end = {}
        self.ended = []

    def start(self):
        self.entries = {name: Entry(name, 0, self.ledger) for name in NAMES}
        self.owner = None

    def take_step(self, number):
        self.now += self.random.choice([0.02, 0.3, 1.0, 3.0])
        entry = self.entries[self.random.choice(NAMES)]
        step = self.random.choice(
            ["claim"] * 4
            + ["resign"] * 3
            + ["read", "read newest", "restart", "announce late"]
        )
        if step == "claim" and entry is not self.owner:
            self.replace_owner(entry)
        elif step == "resign" and self.owner is not None:
            self.owner.read()
            self.owner.claim(is_resigned=True)
            self.owner = None
        elif step == "read":
            entry.read()
        elif step == "read newest":
            entry.read_newest()
        elif step == "restart":
            self.renewals_end.pop(entry.process, None)
            if entry is self.owner:
                self.owner = None
            self.ended.append(entry)
            self.entries[entry.name] = Entry(
                entry.name, number + 1, self.ledger
            )
        elif step == "announce late" and self.ended:
            self.random.choice(self.ended).announce()
        for one in self.entries.values():
            for other in self.entries.values():
                assert not one.follower.table.has_ended(other.process)

    def replace_owner(self, entry):
        entry.read()
        entry.claim()
        if self.owner is not None:
            self.renewals_end[self.owner.process] = (
                self.now + sessions.LEASE_WITHOUT_LEDGER_S
            )
        self.renewals_end.pop(entry.process, None)
        self.owner = entry
        self.now += self.random.choice([0.0, 0.01, 0.5])
        entry.read()
        waits_until = entry.follower.get_renewals_end()
        for process, until in self.renewals_end.items():
            assert until <= max(waits_until, self.now), process


class TestBounds:
    @pytest.mark.parametrize("seed", range(100))
    def test_new_owner_waits_for_all_that_may_renew_leases(
        self, monkeypatch, seed
    ):
        # In review/1 the third owner did not wait for the first one.
        succession = Succession(seed)
        clock = types.SimpleNamespace(monotonic=lambda: succession.now)
        monkeypatch.setattr(followers, "time", clock)
        succession.start()
        for number in range(40):
            succession.take_step(number)

    def test_owner_that_is_cut_off_gives_no_longer_leases_than_are_waited_for(
        self, system
    ):
        # The owner's limits and its successor's wait are apart in the code. The
        # claim of the successor may follow the owner's last append at once.
        first = system.add_entry("a")
        system.submit(first, JOB, systems.build_spec())
        worker = system.wait_for_run(TASK)
        systems.wait_until(lambda: worker.lease_until_ms)
        system.fleet.reports.clear()  # the successor reaches no worker
        second = system.add_entry("b")
        systems.wait_until(lambda: second._follower.is_current)
        owner = first._owner
        owner.writer.kill()
        first._follower.kill()
        systems.wait_until(lambda: second._owner)
        name = worker.report.id
        waited_s = second._owner.fleet.get_lease_expiry(name) - time.monotonic()
        systems.wait_until(lambda: not owner._may_renew())
        renewed_s = (
            clocks.read_boot_clock_s() - owner.writer.stored_append_sent_at
        )
        lease_s = sessions.LEASE_MS / 1000
        assert worker.lease_until_ms / 1000 - time.monotonic() <= lease_s
        slow_clock = 1.02  # of workers
        assert renewed_s + lease_s * slow_clock < waited_s
