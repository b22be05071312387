"""Leases that are computed from old answers, or sent after a pause."""

import functools

import pytest

from chervilcove.control import commands
from chervilcove.control import sessions
from tests.control import lease_system
from tests.control import lease_world

LATENCY_S = 0.002


class QuietWorld(lease_system.World):
    """World in which only what a test asks for goes wrong.

    Attributes:
        run_s: Seconds that each run takes.
        choose_fate: Returns the fate of a call, None for the usual one.
    """

    def __init__(self, monkeypatch, **options):
        super().__init__(0, monkeypatch, **options)
        self.is_shuffling = False
        self.run_s = 60.0
        self.choose_fate = lambda entry, peer, what, sent: None
        for worker in self.workers.values():
            worker.rate = 0.98

    def draw_run_s(self):
        return self.run_s

    def draw_latency_s(self):
        return LATENCY_S

    def draw_fate(self, entry, peer, what, sent):
        fate = self.choose_fate(entry, peer, what, sent)
        if fate is not None:
            return fate
        if self.is_cut(entry, peer, sent):
            return lease_world.Fate(None)
        return lease_world.Fate(LATENCY_S)

    def run_for(self, length_s):
        self.run_until(self.now + length_s)

    def get_owner(self):
        return next(one.owner for one in self.entries if one.owner)


@pytest.fixture
def build_world(monkeypatch):
    worlds = []

    def build(**options):
        worlds.append(QuietWorld(monkeypatch, **options))
        worlds[-1].run_for(5.0)  # until there is an owner
        return worlds[-1]

    yield build
    for world in worlds:
        world.close()


class TestOldAnswers:
    @pytest.mark.parametrize("outage_s", [3.0, 12.0, 20.0, 60.0])
    def test_late_lease_after_an_outage_of_the_ledger_is_waited_for(
        self, build_world, outage_s
    ):
        # Sessions keep the clock of before the outage. The first renewal after
        # it is executed late and unanswered, and then the worker is cut off.
        world = build_world(workers=1, entries=1)
        world.cut(None, "store", outage_s)
        world.run_for(outage_s)
        late = []

        def delay_first_renewal(entry, peer, what, sent):
            if what != "hold" or late:
                return None
            late.append(sent)
            return lease_world.Fate(1.5, is_answered=False)

        world.choose_fate = delay_first_renewal
        while not late:
            world.run_for(0.01)
        world.submit()
        world.run_for(0.5)
        assert world.counts["start"]
        world.run_until(late[0] + 1.5 - LATENCY_S)
        world.cut(None, "w0", 60.0)
        world.run_for(10.0)
        assert world.counts["lease_expired"]
        assert world.violations == []

    def test_starts_that_wait_for_many_others_are_waited_for(self, build_world):
        # A cut worker answers nothing, so each try takes its whole time.
        world = build_world(workers=1, entries=1, processors=400)
        count = commands.MAX_CONCURRENT_STARTS * 6
        started = []

        def lose_starts(entry, peer, what, sent):
            if what != "start":
                return None
            if not started:
                world.cut(None, "w0", 60.0)
            started.append(sent)
            return lease_world.Fate(LATENCY_S, is_answered=False)

        world.choose_fate = lose_starts
        world.submit(lease_system.STEP._replace(count=count))
        world.run_for(30.0)
        assert world.counts["lease_expired"]
        assert world.violations == []


class TestPauses:
    @pytest.mark.parametrize("pause_s", [0.1, 0.5, 1.0, 2.0, 4.0])
    def test_pause_between_the_check_and_the_lease_is_waited_for(
        self, build_world, pause_s
    ):
        # The owner is cut off from the ledger, and its successor from the
        # workers, which therefore take the owner's leases.
        world = build_world(workers=2, entries=2)
        world.submit()
        world.run_for(2.0)
        entry = next(one for one in world.entries if one.owner)
        other = next(one for one in world.entries if one is not entry)
        owner = entry.owner
        held = next(w for w in world.workers.values() if w.running)
        world.cut(other.name, "w0", 60.0)
        world.cut(other.name, "w1", 60.0)
        world.cut(entry.name, "store", 60.0)
        paused = []

        def pause_once(worker):
            silence_s = world.read_boot() - owner.writer.stored_append_sent_at
            left_s = sessions.LEASE_WITHOUT_LEDGER_S - silence_s
            if worker == held.name and left_s < 1.2 and not paused:
                paused.append(left_s)
                world.freeze(entry.name, pause_s)
            return True

        for session in owner.fleet.sessions.values():
            session._is_busy = pause_once
        world.run_for(20.0)
        assert paused
        assert world.counts["lease_expired"]
        assert world.violations == []

    @pytest.mark.parametrize("pause_s", [1.0, 2.0, 3.0, 4.0])
    def test_lease_of_an_owner_that_read_its_claim_late_is_waited_for(
        self, build_world, pause_s
    ):
        world = build_world(workers=1, entries=3)
        world.submit()
        world.run_for(2.0)
        claimants = []

        def isolate(claimant):
            world.freeze(claimant, pause_s)
            world.cut(claimant, "store", 60.0)
            for entry in world.entries:
                if entry.name != claimant:
                    world.cut(entry.name, "w0", 60.0)

        def isolate_first_claimant(entry, peer, what, sent):
            if what == "claim" and not claimants and entry != leaving.name:
                claimants.append(entry)
                at = sent + 1.5 * LATENCY_S  # it is stored, but not read
                world.schedule(at, functools.partial(isolate, entry))

        world.choose_fate = isolate_first_claimant
        leaving = next(one for one in world.entries if one.owner)
        world.spawn(leaving.name, leaving.election.resign)
        world.run_for(25.0)
        assert world.counts["owner"] == 3
        assert world.counts["lease_expired"]
        assert world.violations == []


class TestReports:
    def test_run_stays_tracked_while_more_ends_wait_than_one_answer_holds(
        self, build_world, monkeypatch
    ):
        # Workers list 500 ends at a time.
        monkeypatch.setattr(lease_world, "ENDS_AT_ONCE", 20)
        world = build_world(workers=1, entries=1, processors=400)
        world.run_s = 0.5
        holds = []
        holds_until = world.now + 3.0

        def lose_renewals(entry, peer, what, sent):
            if what != "hold" or sent > holds_until:
                return None
            holds.append(sent)
            return lease_world.Fate(None)

        world.choose_fate = lose_renewals
        world.submit(lease_system.STEP._replace(count=60))
        world.run_for(12.0)
        assert holds
        assert world.counts["start"] == 60
        assert world.violations == []
