import pytest

from chervilcove.dispatch import grant_requests
from chervilcove.jobs import configuration
from chervilcove.jobs import specs
from chervilcove.standins import fleet as fleets
from tests.control import system as systems
from tests.dispatch import test_rounds as rounds

JOB = "00000000000000aa"


@pytest.fixture
def advised(system):
    """Return a system whose batch queue has a policy."""
    operations = system.notices.operations
    queues = [
        queue._replace(needs_advice=queue.name == "batch")
        for queue in systems.QUEUES
    ]
    config = configuration.Configuration(
        version=2, queues=queues, customers=systems.CUSTOMERS
    )
    system.notices.operations = operations._replace(configuration=config)
    system.fleet.policy = fleets.MemoryPolicy(granted={"w2"})
    return system


class TestGrants:
    def test_a_step_runs_only_where_its_policy_grants_it(self, advised):
        # Until then a queue with a policy got no starts at all.
        entry = advised.add_entry("a")
        systems.wait_until(lambda: entry._owner is not None)
        advised.submit(entry, JOB, systems.build_spec(count=3))
        systems.wait_until(lambda: len(advised.list_starts()) == 3)
        worker = advised.fleet.workers["w2"]
        assert len(worker.starts) == 3
        assert set(worker.tickets) == {f"{JOB}.0.0@w2"}

    def test_queues_without_a_policy_need_no_ticket(self, advised):
        entry = advised.add_entry("a")
        systems.wait_until(lambda: entry._owner is not None)
        advised.submit(entry, JOB, systems.build_spec(), queue="urgent")
        worker = advised.wait_for_run(f"{JOB}.0.0.0")
        assert worker.tickets == [""]
        assert advised.fleet.policy.asked == []

    def test_a_call_that_is_refused_is_repeated(self, advised):
        advised.fleet.policy.refusals = 2
        entry = advised.add_entry("a")
        systems.wait_until(lambda: entry._owner is not None)
        advised.submit(entry, JOB, systems.build_spec())
        advised.wait_for_run(f"{JOB}.0.0.0")
        assert len(advised.fleet.policy.asked) == 3

    def test_a_step_is_asked_for_once_while_its_tickets_are_valid(
        self, advised
    ):
        entry = advised.add_entry("a")
        systems.wait_until(lambda: entry._owner is not None)
        # Twice what the worker granted has room for.
        advised.submit(entry, JOB, systems.build_spec(count=16))
        worker = advised.fleet.workers["w2"]
        systems.wait_until(lambda: len(worker.starts) == 8)
        for index in range(8):
            worker.end(f"{JOB}.0.0.{index}", "done")
        systems.wait_until(lambda: len(worker.starts) == 16)
        asked = [
            name for _, names in advised.fleet.policy.asked for name in names
        ]
        assert sorted(asked) == ["w0", "w1", "w2", "w3"]

    def test_tickets_that_lapse_are_asked_for_anew(self, advised):
        advised.fleet.policy.valid_s = 0.6
        entry = advised.add_entry("a")
        systems.wait_until(lambda: entry._owner is not None)
        advised.submit(entry, JOB, systems.build_spec(count=9))
        worker = advised.fleet.workers["w2"]
        systems.wait_until(lambda: len(worker.starts) == 8)
        systems.wait_until(
            lambda: sum("w2" in x for _, x in advised.fleet.policy.asked) > 1
        )
        worker.end(f"{JOB}.0.0.0", "done")
        systems.wait_until(lambda: len(worker.starts) == 9)


class TestChooseAsked:
    def _choose(self, rooms, step, answers=None):
        return grant_requests.choose_workers_to_ask(
            rooms=rooms, service="s", step=step, answers=answers or {}
        )

    def test_few_are_asked_about_at_once_the_freest_first(self):
        rooms = rounds.build_resources(40)
        rounds.allocate_running(rooms, "x", "w0", 8)
        asked = self._choose(rooms, rounds.build_step(1))
        assert len(asked) == grant_requests.MAX_WORKERS_PER_REQUEST
        assert "w0" not in asked

    def test_no_more_are_asked_about_once_there_is_room(self):
        rooms = rounds.build_resources(40)
        step = rounds.build_step(8, 2)
        assert self._choose(rooms, step, {"w1": True, "w2": True}) == []
        assert self._choose(rooms, step, {"w1": True, "w2": False})

    def test_a_gang_of_one_rack_needs_its_grants_in_one(self):
        rooms = rounds.build_resources(4)
        step = rounds.build_step(8, 2, is_gang=True, same_rack=True)
        assert self._choose(rooms, step, {"w0": True, "w2": True}) == [
            "w1",
            "w3",
        ]
        assert self._choose(rooms, step, {"w0": True, "w1": True}) == []

    def test_workers_near_the_data_come_first(self):
        rooms = rounds.build_resources(40)
        step = rounds.build_step(1, data_rack="r19")
        assert self._choose(rooms, step)[:2] == ["w38", "w39"]

    def test_those_that_can_never_hold_it_are_left_out(self):
        rooms = rounds.build_resources(2)
        step = specs.Step(1, specs.Resources(0, 0, 9))
        assert self._choose(rooms, step) == []
