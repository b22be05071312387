import pytest

from chervilcove.core import clock as clocks
from chervilcove.membership import conf
from chervilcove.membership import failover
from chervilcove.membership import messages
from chervilcove.membership import view as views


class World:
    """Drive one view by a counted clock."""

    def __init__(self, *, region="west"):
        self.clock = clocks.CountedClock(start=100.0)
        self.view = views.View(name="me", region=region)

    @property
    def now(self):
        return self.clock.read()

    @property
    def live(self):
        return self.view.list_live(self.now)

    def list(self, *rows):
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
        self.view.update_list(instances, self.now)

    def hear(
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
        self.view.hear(beat, self.now)

    def run(self, seconds, *speakers):
        """Let time go on while `speakers` send heartbeats."""
        for _ in range(int(seconds)):
            self.clock.advance(1.0)
            for name, incarnation, region in speakers:
                self.hear(name, incarnation, region=region)


LIVE = ("peer", "1", "live")
LEAVING = ("peer", "1", "leaving")
RESTARTED = ("peer", "2", "live")


class TestOnePeer:
    # Each step: a list of rows, a heartbeat (incarnation, state) or seconds.
    CASES = {
        "listed, not yet heard": ([[LIVE]], True),
        "listed, never heard": ([[LIVE], conf.GRACE_S], False),
        "listed as leaving": ([[LEAVING]], False),
        "heard, not yet listed": ([("1", "live")], True),
        "heard, no longer listed": ([[LIVE], ("1", "live"), []], True),
        "heard, then silent": (
            [[LIVE], ("1", "live"), conf.SUSPECT_S, [LIVE]],
            False,
        ),
        "silent, then heard again": (
            [[LIVE], ("1", "live"), 3600.0, [LIVE], ("1", "live")],
            True,
        ),
        "said leaving, listed as live": (
            [[LIVE], ("1", "live"), ("1", "leaving"), [LIVE]],
            False,
        ),
        "said leaving, then an older live one is late": (
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
            [[LIVE], ("1", "leaving"), [RESTARTED], conf.GRACE_S],
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
        "the platform's incarnation is never ours": (
            [[("peer", "x", "live")], 1.0, ("1", "live"), 2.0],
            True,
        ),
        "left, under an incarnation that is never ours": (
            [[("peer", "x", "live")], 1.0, ("1", "leaving"), 60.0],
            False,
        ),
        "listed as leaving, still speaks": (
            [[LEAVING], ("1", "live")],
            False,
        ),
    }

    @pytest.mark.parametrize(("steps", "is_live"), CASES.values(), ids=CASES)
    def test_what_a_peer_says_goes_before_the_list(self, steps, is_live):
        world = World()
        for step in steps:
            if isinstance(step, list):
                world.list(*step)
            elif isinstance(step, tuple):
                world.hear("peer", step[0], state=step[1])
            else:
                world.clock.advance(step)
        assert world.live == (["me", "peer"] if is_live else ["me"])

    def test_a_peer_gone_from_list_and_air_is_forgotten(self):
        world = World()
        world.list(LIVE)
        world.hear("peer")
        world.clock.advance(conf.FORGET_S + 1)
        world.list()
        assert world.view.peers == {}

    def test_the_number_of_peers_is_bounded(self):
        world = World()
        for index in range(conf.PEERS_LIMIT + 10):
            world.hear(f"peer-{index}")
        assert len(world.view.peers) == conf.PEERS_LIMIT

    def test_workers_in_the_list_are_no_peers(self):
        world = World()
        row = {
            "name": "w",
            "role": "worker",
            "address": "127.0.0.1:1",
            "state": "live",
        }
        world.view.update_list([row], world.now)
        assert world.live == ["me"]

    def test_a_leaving_entry_gives_up_what_another_can_do(self):
        world = World()
        world.view.is_leaving = True
        assert world.live == ["me"]
        world.hear("peer")
        assert world.live == ["peer"]


class TestRegions:
    WEST = (("w1", "1", "west"), ("w2", "1", "west"))
    EAST = (("e1", "1", "east"), ("e2", "1", "east"))

    def make_world(self):
        world = World()
        world.list(*((name, "1", "live") for name, *_ in self.ALL))
        world.run(3, *self.ALL)
        return world

    ALL = (*WEST, *EAST)

    def test_a_region_cut_off_for_an_hour_returns(self):
        world = self.make_world()
        assert world.live == ["e1", "e2", "me", "w1", "w2"]
        world.run(3600, *self.WEST)
        world.list(*((name, "1", "live") for name, *_ in self.ALL))
        assert world.live == ["me", "w1", "w2"]
        assert world.view.list_suspected(world.now) == ["e1", "e2"]
        world.run(1, *self.ALL)
        assert world.live == ["e1", "e2", "me", "w1", "w2"]

    def test_entries_of_a_region_go_first_for_what_lies_there(self):
        world = self.make_world()
        for key in (f"rack-{index}" for index in range(50)):
            order = world.view.order(key, world.live, "east")
            assert set(order[:2]) == {"e1", "e2"}
            order = world.view.order(key, world.live, "west")
            assert set(order[:3]) == {"me", "w1", "w2"}

    def test_others_take_over_a_region_whose_entries_are_silent(self):
        world = self.make_world()
        world.run(10, *self.WEST)
        order = world.view.order("rack-1", world.live, "east")
        assert set(order) == {"me", "w1", "w2"}

    def test_a_member_that_goes_moves_only_its_own_keys(self):
        world = self.make_world()
        keys = [f"rack-{index}" for index in range(200)]
        before = {key: world.view.order(key, world.live)[0] for key in keys}
        world.hear("e1", state="leaving", region="east")
        after = {key: world.view.order(key, world.live)[0] for key in keys}
        moved = [key for key in keys if before[key] != after[key]]
        assert moved
        assert {before[key] for key in moved} == {"e1"}


class TestFormats:
    def test_the_level_is_that_of_the_oldest_live_entry(self):
        world = World()
        assert world.view.get_format(world.live, 3) == 3
        world.list(LIVE)
        assert world.view.get_format(world.live, 3) == 0
        world.hear("peer", level=2)
        assert world.view.get_format(world.live, 3) == 2


class TestDuties:
    def make_duty(self, rank):
        return failover.FailoverTimer(
            name="d", rank=lambda key: rank, patience_s=2.0
        )

    def test_the_first_acts_at_once(self):
        assert self.make_duty(0).is_due(pending=True, progress=1, now=0.0)

    def test_nobody_acts_without_work(self):
        assert not self.make_duty(0).is_due(pending=False, progress=1, now=9.0)

    def test_the_next_acts_once_nothing_moved_for_its_patience(self):
        second, third = self.make_duty(1), self.make_duty(2)
        moments = {0.0: (False, False), 1.9: (False, False)}
        moments |= {2.0: (True, False), 4.0: (True, True)}
        for now, due in moments.items():
            seen = tuple(
                each.is_due(pending=True, progress=7, now=now)
                for each in (second, third)
            )
            assert seen == due

    def test_progress_starts_the_wait_anew(self):
        second = self.make_duty(1)
        assert not second.is_due(pending=True, progress=1, now=0.0)
        assert not second.is_due(pending=True, progress=2, now=3.0)
        assert second.is_due(pending=True, progress=2, now=5.0)

    def test_a_pause_without_work_starts_the_wait_anew(self):
        second = self.make_duty(1)
        second.is_due(pending=True, progress=1, now=0.0)
        second.is_due(pending=False, progress=1, now=1.0)
        assert not second.is_due(pending=True, progress=1, now=5.0)


class TestLogSilence:
    @pytest.mark.parametrize(
        ("mine", "peer", "able"),
        [
            (0.0, 0.0, ["me", "peer"]),
            (0.0, conf.LOG_SILENCE_S, ["me", "peer"]),
            (0.0, conf.LOG_SILENCE_S + 0.1, ["me"]),
            (conf.LOG_SILENCE_S + 0.1, 0.0, ["peer"]),
            (60.0, 60.0, ["me", "peer"]),
        ],
    )
    def test_who_does_not_read_the_log_is_passed_over(self, mine, peer, able):
        world = World()
        world.list(("peer", "1", "live"))
        world.hear("peer", silence_s=peer)
        world.view.silence_s = mine
        assert world.view.list_able(world.live) == able
