import gevent
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


class TestStepsThatWaitForRoom:
    def fill_worker(self, policy_system, *, waiting):
        """Let `waiting` jobs wait for "w2", which is full."""
        policy = policy_system.fleet.policy
        policy.decide_s, policy.valid_s = 0.1, 1.0
        entry = policy_system.add_entry("a")
        systems.wait_until(lambda: entry._owner is not None)
        policy_system.submit(entry, JOB, systems.build_spec(count=8))
        worker = policy_system.fleet.workers["w2"]
        worker.percent_per_s = 1.0
        systems.wait_until(lambda: len(worker.starts) == 8)
        for number in range(1, waiting + 1):
            job = f"{number:016x}"
            policy_system.submit(entry, job, systems.build_spec())
        gevent.sleep(2.0)
        return entry

    def test_step_behind_them_is_granted_idle_workers(self, policy_system):
        # Tickets of steps in front lapsed sooner than all could be renewed, so
        # that the policy was never asked about the steps behind them.
        entry = self.fill_worker(policy_system, waiting=10)
        last = "00000000000000bb"
        policy = policy_system.fleet.policy
        policy.granted_by_job[last] = {"w0"}
        policy_system.submit(entry, last, systems.build_spec())
        before = len(policy.asked)
        policy_system.wait_for_run(f"{last}.0.0.0")
        jobs = [step.partition(".")[0] for step, _ in policy.asked]
        # One call may be open, and one goes to the first step by rank.
        assert jobs.index(last) <= before + 2

    def test_urgent_step_waits_for_few_calls(self, policy_system):
        # Renewals for steps that wait for room must not delay urgent work.
        entry = self.fill_worker(policy_system, waiting=10)
        feed = policy_system.operator_feed
        config = feed.operations.configuration
        queues = [
            queue._replace(needs_advice=True)
            for queue in config.queues.values()
        ]
        feed.operations = feed.operations._replace(
            configuration=configuration.Configuration(
                version=3, queues=queues, customers=systems.CUSTOMERS
            )
        )
        last = "00000000000000bb"
        policy = policy_system.fleet.policy
        policy.granted_by_job[last] = {"w0"}
        policy_system.submit(entry, last, systems.build_spec(), queue="urgent")
        before = len(policy.asked)
        policy_system.wait_for_run(f"{last}.0.0.0")
        assert len(policy.asked) <= before + 2

    def test_step_that_the_policy_never_answers_delays_no_others(
        self, policy_system
    ):
        # A call that failed was repeated before any other call was made.
        policy = policy_system.fleet.policy
        policy.silent_jobs.add(JOB)
        entry = policy_system.add_entry("a")
        systems.wait_until(lambda: entry._owner is not None)
        policy_system.submit(entry, JOB, systems.build_spec())
        systems.wait_until(lambda: policy.asked)
        other = "00000000000000bb"
        policy_system.submit(entry, other, systems.build_spec())
        policy_system.wait_for_run(f"{other}.0.0.0")


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
