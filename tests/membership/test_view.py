import pytest

from chervilcove.core import clock as clocks
from chervilcove.membership import conf
from chervilcove.membership import failover
from chervilcove.membership import messages
from chervilcove.membership import view as views


class Simulation:
    """Drive one view with a simulated clock."""

    def __init__(self, *, region="west"):
        self.clock = clocks.ManualClock(start=100.0)
        self.view = views.MembershipView(name="me", region=region)

    @property
    def now(self):
        return self.clock.read()

    @property
    def live(self):
        return self.view.list_live(self.now)

    def set_listed(self, *rows):
        instances = [
            {
                "name": name,
                "role": "entry",
                "address": "127.0.0.1:1",
                "data_centre": "d",
                "state": state,
                "incarnation": incarnation,
            }
            for name, incarnation, state in rows
        ]
        self.view.update_instances(instances, self.now)

    def send_heartbeat(
        self,
        name,
        incarnation="1",
        *,
        state="live",
        region="west",
        level=1,
        silence_s=0.0,
    ):
        beat = messages.Heartbeat(
            name=name,
            incarnation=incarnation,
            started=float(incarnation),
            state=state,
            region=region,
            format=level,
            silence_s=silence_s,
        )
        self.view.record_heartbeat(beat, self.now)

    def run(self, seconds, *senders):
        """Advance the clock while `senders` send heartbeats every second."""
        for _ in range(int(seconds)):
            self.clock.advance(1.0)
            for name, incarnation, region in senders:
                self.send_heartbeat(name, incarnation, region=region)


LIVE = ("peer", "1", "live")
LEAVING = ("peer", "1", "leaving")
RESTARTED = ("peer", "2", "live")


class TestOnePeer:
    # A step is a list of rows, a heartbeat (incarnation, state) or seconds.
    CASES = {
        "listed, not yet heard": ([[LIVE]], True),
        "listed, never heard": ([[LIVE], conf.NEW_ENTRY_GRACE_S], False),
        "listed as leaving": ([[LEAVING]], False),
        "heard, not yet listed": ([("1", "live")], True),
        "heard, no longer listed": ([[LIVE], ("1", "live"), []], True),
        "heard, then silent": (
            [[LIVE], ("1", "live"), conf.SUSPECT_AFTER_S, [LIVE]],
            False,
        ),
        "silent, then heard again": (
            [[LIVE], ("1", "live"), 3600.0, [LIVE], ("1", "live")],
            True,
        ),
        "announced leaving, listed as live": (
            [[LIVE], ("1", "live"), ("1", "leaving"), [LIVE]],
            False,
        ),
        "announced leaving, then a late heartbeat as live": (
            [[LIVE], ("1", "leaving"), ("1", "live")],
            False,
        ),
        "left, listed as live for an hour": (
            [[LIVE], ("1", "leaving"), 3600.0, [LIVE]],
            False,
        ),
        "left, newer start heard": (
            [[LIVE], ("1", "leaving"), ("2", "live")],
            True,
        ),
        "left, newer start listed": (
            [[LIVE], ("1", "leaving"), [RESTARTED]],
            True,
        ),
        "newer start listed, never heard": (
            [[LIVE], ("1", "leaving"), [RESTARTED], conf.NEW_ENTRY_GRACE_S],
            False,
        ),
        "older start heard late": (
            [("2", "live"), ("1", "leaving")],
            True,
        ),
        "list still shows the older start": (
            [[LIVE], ("1", "leaving"), ("2", "live"), [LIVE]],
            True,
        ),
        "newer start leaves too": (
            [("1", "leaving"), ("2", "live"), ("2", "leaving"), [RESTARTED]],
            False,
        ),
        "listed incarnation differs from the heartbeat's": (
            [[("peer", "x", "live")], 1.0, ("1", "live"), 2.0],
            True,
        ),
        "left, listed incarnation differs from the heartbeat's": (
            [[("peer", "x", "live")], 1.0, ("1", "leaving"), 60.0],
            False,
        ),
        "listed as leaving, still sends heartbeats": (
            [[LEAVING], ("1", "live")],
            False,
        ),
    }

    @pytest.mark.parametrize(("steps", "is_live"), CASES.values(), ids=CASES)
    def test_heartbeats_take_precedence_over_the_list(self, steps, is_live):
        simulation = Simulation()
        for step in steps:
            if isinstance(step, list):
                simulation.set_listed(*step)
            elif isinstance(step, tuple):
                simulation.send_heartbeat("peer", step[0], state=step[1])
            else:
                simulation.clock.advance(step)
        assert simulation.live == (["me", "peer"] if is_live else ["me"])

    def test_an_unlisted_silent_peer_is_forgotten(self):
        simulation = Simulation()
        simulation.set_listed(LIVE)
        simulation.send_heartbeat("peer")
        simulation.clock.advance(conf.FORGET_AFTER_S + 1)
        simulation.set_listed()
        assert simulation.view.peers == {}

    def test_the_number_of_peers_is_bounded(self):
        simulation = Simulation()
        for index in range(conf.MAX_PEERS + 10):
            simulation.send_heartbeat(f"peer-{index}")
        assert len(simulation.view.peers) == conf.MAX_PEERS

    def test_listed_workers_are_not_peers(self):
        simulation = Simulation()
        row = {
            "name": "w",
            "role": "worker",
            "address": "127.0.0.1:1",
            "state": "live",
        }
        simulation.view.update_instances([row], simulation.now)
        assert simulation.live == ["me"]

    def test_a_leaving_entry_is_not_live_if_another_is(self):
        simulation = Simulation()
        simulation.view.is_leaving = True
        assert simulation.live == ["me"]
        simulation.send_heartbeat("peer")
        assert simulation.live == ["peer"]


class TestRegions:
    WEST = (("w1", "1", "west"), ("w2", "1", "west"))
    EAST = (("e1", "1", "east"), ("e2", "1", "east"))

    def make_simulation(self):
        simulation = Simulation()
        simulation.set_listed(*((name, "1", "live") for name, *_ in self.ALL))
        simulation.run(3, *self.ALL)
        return simulation

    ALL = (*WEST, *EAST)

    def test_a_region_rejoins_after_an_hour_of_silence(self):
        simulation = self.make_simulation()
        assert simulation.live == ["e1", "e2", "me", "w1", "w2"]
        simulation.run(3600, *self.WEST)
        simulation.set_listed(*((name, "1", "live") for name, *_ in self.ALL))
        assert simulation.live == ["me", "w1", "w2"]
        assert simulation.view.list_suspected(simulation.now) == ["e1", "e2"]
        simulation.run(1, *self.ALL)
        assert simulation.live == ["e1", "e2", "me", "w1", "w2"]

    def test_entries_of_the_given_region_rank_first(self):
        simulation = self.make_simulation()
        for key in (f"rack-{index}" for index in range(50)):
            order = simulation.view.rank_entries(key, simulation.live, "east")
            assert set(order[:2]) == {"e1", "e2"}
            order = simulation.view.rank_entries(key, simulation.live, "west")
            assert set(order[:3]) == {"me", "w1", "w2"}

    def test_others_take_over_a_region_whose_entries_are_silent(self):
        simulation = self.make_simulation()
        simulation.run(10, *self.WEST)
        order = simulation.view.rank_entries("rack-1", simulation.live, "east")
        assert set(order) == {"me", "w1", "w2"}

    def test_a_leaving_entry_moves_only_its_own_keys(self):
        simulation = self.make_simulation()
        keys = [f"rack-{index}" for index in range(200)]
        before = {
            key: simulation.view.rank_entries(key, simulation.live)[0]
            for key in keys
        }
        simulation.send_heartbeat("e1", state="leaving", region="east")
        after = {
            key: simulation.view.rank_entries(key, simulation.live)[0]
            for key in keys
        }
        moved = [key for key in keys if before[key] != after[key]]
        assert moved
        assert {before[key] for key in moved} == {"e1"}


class TestFormats:
    def test_the_level_is_the_lowest_of_the_live_entries(self):
        simulation = Simulation()
        assert simulation.view.get_common_format_level(simulation.live, 3) == 3
        simulation.set_listed(LIVE)
        assert simulation.view.get_common_format_level(simulation.live, 3) == 0
        simulation.send_heartbeat("peer", level=2)
        assert simulation.view.get_common_format_level(simulation.live, 3) == 2


class TestFailoverTimer:
    def make_timer(self, rank):
        return failover.FailoverTimer(
            key="d", get_rank=lambda key: rank, takeover_delay_s=2.0
        )

    def test_the_first_in_rank_acts_at_once(self):
        assert self.make_timer(0).is_due(pending=True, progress=1, now=0.0)

    def test_no_entry_acts_without_pending_work(self):
        assert not self.make_timer(0).is_due(pending=False, progress=1, now=9.0)

    def test_the_next_in_rank_acts_after_the_takeover_delay(self):
        second, third = self.make_timer(1), self.make_timer(2)
        expected_by_time = {0.0: (False, False), 1.9: (False, False)}
        expected_by_time |= {2.0: (True, False), 4.0: (True, True)}
        for now, expected in expected_by_time.items():
            actual = tuple(
                each.is_due(pending=True, progress=7, now=now)
                for each in (second, third)
            )
            assert actual == expected

    def test_progress_restarts_the_delay(self):
        second = self.make_timer(1)
        assert not second.is_due(pending=True, progress=1, now=0.0)
        assert not second.is_due(pending=True, progress=2, now=3.0)
        assert second.is_due(pending=True, progress=2, now=5.0)

    def test_time_without_pending_work_restarts_the_delay(self):
        second = self.make_timer(1)
        second.is_due(pending=True, progress=1, now=0.0)
        second.is_due(pending=False, progress=1, now=1.0)
        assert not second.is_due(pending=True, progress=1, now=5.0)


class TestLogSilence:
    @pytest.mark.parametrize(
        ("own_silence_s", "peer_silence_s", "eligible"),
        [
            (0.0, 0.0, ["me", "peer"]),
            (0.0, conf.MAX_LOG_SILENCE_S, ["me", "peer"]),
            (0.0, conf.MAX_LOG_SILENCE_S + 0.1, ["me"]),
            (conf.MAX_LOG_SILENCE_S + 0.1, 0.0, ["peer"]),
            (60.0, 60.0, ["me", "peer"]),
        ],
    )
    def test_entries_that_do_not_read_the_log_are_not_eligible(
        self, own_silence_s, peer_silence_s, eligible
    ):
        simulation = Simulation()
        simulation.set_listed(("peer", "1", "live"))
        simulation.send_heartbeat("peer", silence_s=peer_silence_s)
        simulation.view.log_silence_s = own_silence_s
        assert simulation.view.list_eligible(simulation.live) == eligible
