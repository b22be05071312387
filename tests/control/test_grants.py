import pytest

from chervilcove.dispatch import grant_requests
from chervilcove.jobs import configuration
from chervilcove.jobs import specs
from chervilcove.standins import fleet as fleets
from tests.control import system as systems
from tests.dispatch import test_rounds as rounds

JOB = "00000000000000aa"


@pytest.fixture
def policy_system(system):
    """Return a system whose batch queue has a placement policy."""
    operations = system.operator_feed.operations
    queues = [
        queue._replace(needs_advice=queue.name == "batch")
        for queue in systems.QUEUES
    ]
    config = configuration.Configuration(
        version=2, queues=queues, customers=systems.CUSTOMERS
    )
    system.operator_feed.operations = operations._replace(configuration=config)
    system.fleet.policy = fleets.MemoryPolicy(granted={"w2"})
    return system


class TestGrants:
    def test_step_runs_only_on_granted_workers(self, policy_system):
        # Before grants were requested, a queue with a policy got no starts.
        entry = policy_system.add_entry("a")
        systems.wait_until(lambda: entry._owner is not None)
        policy_system.submit(entry, JOB, systems.build_spec(count=3))
        systems.wait_until(lambda: len(policy_system.list_starts()) == 3)
        worker = policy_system.fleet.workers["w2"]
        assert len(worker.starts) == 3
        assert set(worker.tickets) == {f"{JOB}.0.0@w2"}

    def test_queues_without_a_policy_need_no_ticket(self, policy_system):
        entry = policy_system.add_entry("a")
        systems.wait_until(lambda: entry._owner is not None)
        policy_system.submit(entry, JOB, systems.build_spec(), queue="urgent")
        worker = policy_system.wait_for_run(f"{JOB}.0.0.0")
        assert worker.tickets == [""]
        assert policy_system.fleet.policy.asked == []

    def test_refused_request_is_retried(self, policy_system):
        policy_system.fleet.policy.refusals = 2
        entry = policy_system.add_entry("a")
        systems.wait_until(lambda: entry._owner is not None)
        policy_system.submit(entry, JOB, systems.build_spec())
        policy_system.wait_for_run(f"{JOB}.0.0.0")
        assert len(policy_system.fleet.policy.asked) == 3

    def test_grants_are_requested_once_while_tickets_are_valid(
        self, policy_system
    ):
        entry = policy_system.add_entry("a")
        systems.wait_until(lambda: entry._owner is not None)
        # Twice as many tasks as fit on the granted worker.
        policy_system.submit(entry, JOB, systems.build_spec(count=16))
        worker = policy_system.fleet.workers["w2"]
        systems.wait_until(lambda: len(worker.starts) == 8)
        for index in range(8):
            worker.end(f"{JOB}.0.0.{index}", "done")
        systems.wait_until(lambda: len(worker.starts) == 16)
        asked = [
            name
            for _, names in policy_system.fleet.policy.asked
            for name in names
        ]
        assert sorted(asked) == ["w0", "w1", "w2", "w3"]

    def test_expired_tickets_are_requested_again(self, policy_system):
        policy_system.fleet.policy.valid_s = 0.6
        entry = policy_system.add_entry("a")
        systems.wait_until(lambda: entry._owner is not None)
        policy_system.submit(entry, JOB, systems.build_spec(count=9))
        worker = policy_system.fleet.workers["w2"]
        systems.wait_until(lambda: len(worker.starts) == 8)
        systems.wait_until(
            lambda: (
                sum("w2" in x for _, x in policy_system.fleet.policy.asked) > 1
            )
        )
        worker.end(f"{JOB}.0.0.0", "done")
        systems.wait_until(lambda: len(worker.starts) == 9)


class TestChooseWorkersToAsk:
    def _choose(self, resources, step, answers=None):
        return grant_requests.choose_workers_to_ask(
            resources=resources,
            service="s",
            step=step,
            known_grants=answers or {},
        )

    def test_limited_number_of_workers_is_chosen_freest_first(self):
        resources = rounds.build_resources(40)
        rounds.allocate_running(resources, "x", "w0", 8)
        asked = self._choose(resources, rounds.build_step(1))
        assert len(asked) == grant_requests.MAX_WORKERS_PER_REQUEST
        assert "w0" not in asked

    def test_no_workers_are_chosen_once_granted_ones_suffice(self):
        resources = rounds.build_resources(40)
        step = rounds.build_step(8, 2)
        assert self._choose(resources, step, {"w1": True, "w2": True}) == []
        assert self._choose(resources, step, {"w1": True, "w2": False})

    def test_same_rack_gang_needs_its_grants_within_one_rack(self):
        resources = rounds.build_resources(4)
        step = rounds.build_step(8, 2, is_gang=True, same_rack=True)
        assert self._choose(resources, step, {"w0": True, "w2": True}) == [
            "w1",
            "w3",
        ]
        assert self._choose(resources, step, {"w0": True, "w1": True}) == []

    def test_workers_in_the_data_rack_come_first(self):
        resources = rounds.build_resources(40)
        step = rounds.build_step(1, data_rack="r19")
        assert self._choose(resources, step)[:2] == ["w38", "w39"]

    def test_workers_with_too_little_capacity_are_left_out(self):
        resources = rounds.build_resources(2)
        step = specs.Step(1, specs.Resources(0, 0, 9))
        assert self._choose(resources, step) == []
