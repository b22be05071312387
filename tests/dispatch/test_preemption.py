"""Preemptions over several rounds: one rack each, until the gang starts."""

from chervilcove.dispatch import preemption
from chervilcove.dispatch import release_search
from chervilcove.dispatch import resources as resource_values
from chervilcove.dispatch import round_input
from chervilcove.dispatch import search_turns
from chervilcove.jobs import table
from tests.dispatch import test_rounds as helpers

NOW_MS = helpers.NOW_MS
PER_RACK = 2


def build_gang(name, *, since_ms=NOW_MS):
    """Return an urgent job of one gang that takes a whole rack."""
    step = helpers.build_step(8, PER_RACK, is_gang=True, same_rack=True)
    step = step._replace(estimate_ms=3_000)
    return helpers.build_job(name, step, queue="urgent", since_ms=since_ms)


class Pool:
    """Racks of two workers, and what runs there, over several rounds."""

    def __init__(self, racks):
        self.resources = helpers.build_resources(PER_RACK * racks)
        self.running = {}
        self.plan = None

    def run(self, name, worker, accelerators=8, **changes):
        self.running |= helpers.allocate_running(
            self.resources, name, worker, accelerators, **changes
        )
        return table.UnitKey(name, 0, 0, 0)

    def end(self, unit):
        self.resources.release(self.running.pop(unit).allocation)

    def decide(self, jobs, *, now_ms=NOW_MS, guaranteed=0):
        before = {
            name: one.free for name, one in self.resources.by_worker.items()
        }
        plan = self.plan
        self.plan = helpers.run_round(
            jobs,
            self.resources,
            self.running,
            guaranteed=guaranteed,
            preemptions=plan.preemptions if plan else {},
            search_retry_at=plan.search_retry_at if plan else {},
            now_ms=now_ms,
        )
        assert before == {
            name: one.free for name, one in self.resources.by_worker.items()
        }
        for stop in self.plan.stops:
            running = self.running[stop.unit]
            self.running[stop.unit] = running._replace(is_stopping=True)
        return self.plan

    def list_stopped(self):
        return sorted(stop.unit.job for stop in self.plan.stops)


def fill(pool, racks, **changes):
    """Run a unit on each worker, the cheapest one in the first rack."""
    return [
        pool.run(f"x{number}", f"w{number}", run_s=1.0 + number / 10, **changes)
        for number in range(PER_RACK * racks)
    ]


class TestBurst:
    """Several urgent gangs wait for whole racks of a full pool.

    On day quiet-1 of nln-cluster-large, 93 units were stopped for others, and
    for 87 of them the gang did not start on that worker. One gang had 32
    units stopped in four rounds within 0.25 s.
    """

    def test_gangs_of_one_burst_empty_different_racks(self):
        pool = Pool(3)
        fill(pool, 3)
        plan = pool.decide([build_gang("a"), build_gang("b")])
        assert pool.list_stopped() == ["x0", "x1", "x2", "x3"]
        held = [
            set(one.allocation.workers) for one in plan.preemptions.values()
        ]
        assert len(held) == 2
        assert held[0].isdisjoint(held[1])

    def test_next_round_stops_nothing_more(self):
        pool = Pool(3)
        units = fill(pool, 3)
        first, second = build_gang("a"), build_gang("b", since_ms=NOW_MS + 40)
        pool.decide([first])
        pool.end(units[0])
        # What was the dearest is now the cheapest.
        pool.running[units[5]] = pool.running[units[5]]._replace(run_s=0.0)
        pool.decide([first], now_ms=NOW_MS + 40)
        assert pool.list_stopped() == []
        assert pool.plan.starts == []
        # Another gang is planned around the held workers.
        pool.decide([first, second], now_ms=NOW_MS + 80)
        assert set(pool.list_stopped()).isdisjoint(["x0", "x1"])
        pool.end(units[1])
        plan = pool.decide([second, first], now_ms=NOW_MS + 300)
        assert [start.unit.job for start in plan.starts] == ["a"]
        assert sorted(plan.starts[0].workers) == ["w0", "w1"]
        assert [key[0] for key in plan.preemptions] == ["b"]

    def test_gang_waits_for_its_own_rack_while_it_has_slack(self):
        pool = Pool(2)
        units = fill(pool, 2)
        gang = build_gang("a")
        pool.decide([gang])
        pool.end(units[2])
        pool.end(units[3])
        assert not pool.decide([gang], now_ms=NOW_MS + 100).starts
        later = (
            NOW_MS
            + round_input.ReclaimBounds().stop_ms
            + preemption.STOP_MARGIN_MS
        )
        plan = pool.decide([gang], now_ms=later)
        assert sorted(plan.starts[0].workers) == ["w2", "w3"]
        assert not plan.preemptions

    def test_preemption_for_a_lost_worker_is_given_up(self):
        pool = Pool(2)
        fill(pool, 2)
        gang = build_gang("a")
        pool.decide([gang])
        pool.resources.by_worker["w1"].is_schedulable = False
        plan = pool.decide([gang], now_ms=NOW_MS + 50)
        assert [one.reason for one in plan.abandoned] == [
            "worker w1 is not available"
        ]
        assert pool.list_stopped() == ["x2", "x3"]

    def test_preemption_ends_with_its_job(self):
        pool = Pool(1)
        fill(pool, 1)
        pool.decide([build_gang("a")])
        plan = pool.decide([], now_ms=NOW_MS + 50)
        assert [one.step_key[0] for one in plan.abandoned] == ["a"]
        assert not plan.preemptions

    def test_stops_that_hang_do_not_hold_the_gang_forever(self):
        pool = Pool(1)
        fill(pool, 1)
        gang = build_gang("a")
        pool.decide([gang])
        bound = round_input.ReclaimBounds().stop_ms
        later = NOW_MS + preemption.MAX_STOP_TIMES * bound + 1
        plan = pool.decide([gang], now_ms=later)
        assert [one.reason for one in plan.abandoned] == [
            "the stops take too long"
        ]


class TestVictims:
    """Which units end for an urgent gang."""

    def test_unit_that_ends_soon_is_not_stopped(self):
        pool = Pool(1)
        pool.run("soon", "w0", run_s=50.0, remaining_s=0.2)
        pool.run("other", "w1", run_s=0.5)
        gang = build_gang("a")
        pool.decide([gang])
        assert pool.list_stopped() == ["other"]
        pool.decide([gang], now_ms=NOW_MS + 100)
        assert pool.list_stopped() == []

    def test_unit_that_should_have_ended_is_given_up_not_stopped(self):
        pool = Pool(2)
        soon = pool.run("soon", "w0", run_s=50.0, remaining_s=0.2)
        pool.run("other", "w1", run_s=0.5)
        pool.run("cheap1", "w2", run_s=1.0)
        pool.run("cheap2", "w3", run_s=1.0)
        gang = build_gang("a")
        pool.decide([gang])
        assert pool.list_stopped() == ["other"]
        pool.running[soon] = pool.running[soon]._replace(remaining_s=4.0)
        later = NOW_MS + preemption.MAX_AWAITED_MS + 1
        plan = pool.decide([gang], now_ms=later)
        assert [one.reason for one in plan.abandoned] == [
            "unit soon.0.0.0 did not end"
        ]
        assert pool.list_stopped() == ["cheap1", "cheap2"]

    def test_victim_that_runs_again_elsewhere_is_left_alone(self):
        # In a play of nln-cluster-large, a gang had ten units stopped again
        # and again on whatever workers they were started next.
        pool = Pool(2)
        units = fill(pool, 1)
        pool.run("urgent", "w2", is_urgent=True)
        gang = build_gang("a")
        pool.decide([gang])
        assert pool.list_stopped() == ["x0", "x1"]
        pool.end(units[0])
        pool.run("x0", "w3")
        pool.decide([gang], now_ms=NOW_MS + 50)
        assert pool.list_stopped() == []

    def test_unit_that_was_preempted_before_is_spared(self):
        pool = Pool(2)
        fill(pool, 2)
        for name in ("x0", "x1"):
            unit = table.UnitKey(name, 0, 0, 0)
            pool.running[unit] = pool.running[unit]._replace(stop_count=2)
        pool.decide([build_gang("a")])
        assert pool.list_stopped() == ["x2", "x3"]

    def test_rack_that_costs_least_in_all_is_chosen(self):
        # The cheapest single unit is in a rack whose other unit is dear.
        pool = Pool(2)
        pool.run("cheapest", "w0", run_s=0.1)
        pool.run("dearest", "w1", run_s=9.0)
        pool.run("cheap1", "w2", run_s=2.0)
        pool.run("cheap2", "w3", run_s=2.0)
        plan = pool.decide(
            [build_gang("a", since_ms=NOW_MS - 1_500)], guaranteed=64
        )
        assert sorted(stop.unit.job for stop in plan.stops) == [
            "cheap1",
            "cheap2",
        ]

    def test_adopted_room_is_found_taken(self):
        # A run that a successor adopts late may hold workers that were free.
        pool = Pool(1)
        units = fill(pool, 1)
        gang = build_gang("a")
        pool.decide([gang])
        pool.end(units[0])
        pool.resources.allocate(
            resource_values.Allocation(
                ("z", 0, 0), helpers.build_step(8).need, ("w0",)
            )
        )
        plan = pool.decide([gang], now_ms=NOW_MS + 50)
        assert [one.reason for one in plan.abandoned] == ["the room was taken"]


class TestManyWaiting:
    """An outage ends, and a hundred urgent gangs wait at once.

    At 97 entries with a store in trouble the owner's rounds took so long that
    its heartbeats were late, and it was replaced twice.
    """

    def test_searches_of_a_round_are_bounded(self, monkeypatch):
        pool = Pool(60)
        for number in range(PER_RACK * 60):
            pool.run(f"x{number}", f"w{number}", run_s=0.5)
        searches = []
        find = release_search.find_release_plan

        def count_search(*arguments, **named):
            searches.append(arguments)
            return find(*arguments, **named)

        monkeypatch.setattr(release_search, "find_release_plan", count_search)
        jobs = [build_gang(f"{number:03}") for number in range(50)]
        now_ms = NOW_MS
        for _ in range(5):
            before = len(searches)
            pool.decide(jobs, now_ms=now_ms)
            assert len(searches) - before <= search_turns.MAX_SEARCHES
            now_ms += 20
        # All gangs have been planned after five rounds.
        assert len(pool.plan.preemptions) == 50

    def test_steps_behind_others_are_searched_for_in_slow_rounds(self):
        # Rounds further apart than RETRY_MS searched for the first
        # steps by rank only, in vain each time.
        pool = Pool(1)
        pool.run("urgent", "w0", is_urgent=True)
        pool.run("other", "w1", run_s=0.1)
        jobs = [
            build_gang(f"{number:03}", since_ms=NOW_MS - 1)
            for number in range(5 * search_turns.MAX_SEARCHES)
        ]
        small = helpers.build_job(
            "small",
            helpers.build_step(8, is_gang=True)._replace(estimate_ms=9_000),
            queue="urgent",
        )
        for number in range(12):
            pool.decide(
                [*jobs, small],
                now_ms=NOW_MS + number * (search_turns.RETRY_MS + 1),
            )
            if pool.plan.stops:
                break
        assert pool.list_stopped() == ["other"]

    def test_step_without_victims_does_not_hold_up_the_others(self):
        pool = Pool(1)
        pool.run("urgent", "w0", is_urgent=True)
        pool.run("other", "w1", run_s=0.1)
        jobs = [
            build_gang(f"{number:03}", since_ms=NOW_MS - 1)
            for number in range(search_turns.MAX_SEARCHES)
        ]
        small = helpers.build_job(
            "small",
            helpers.build_step(8, is_gang=True)._replace(estimate_ms=9_000),
            queue="urgent",
        )
        assert not pool.decide([*jobs, small]).stops
        pool.decide([*jobs, small], now_ms=NOW_MS + 20)
        assert pool.list_stopped() == ["other"]
