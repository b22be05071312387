"""Tests of the router with healthy, slow and failing minions."""

import gevent

from chervilcove.core import errors
from chervilcove.requests import core
from chervilcove.scheduling import core as scheduling
from tests.requests import conftest
from tests.requests import fakes

HEDGING = conftest.QUICK._replace(
    hedge_quantile=0.95, min_hedge_s=0.01, min_try_s=5.0, load_fresh_s=60.0
)


class TestHedging:
    def _measure_service_times(self, fleet):
        for number in range(fleet.router.limits.estimate_minimum):
            fleet.send(key=f"learn-{number}", work_ms=5)

    def test_a_slow_idempotent_request_is_sent_to_a_second_minion(
        self, create_fleet
    ):
        fleet = create_fleet(limits=HEDGING)
        self._measure_service_times(fleet)
        fleet.minions[0].set_faults(late=1, late_s=30.0)
        number = 0
        while fleet.minions[0].faults.late:
            number += 1
            key = f"slow-{number}"
            result = fleet.send(key=key, work_ms=5, time_left_s=20.0)
            assert result.status == 200
        assert fleet.counts["requests.hedged"] == 1
        assert fleet.count_executions(key) == 2
        fleet.wait_for(
            lambda: all(
                fleet.get_view(minion.name)["in_flight"] == 0
                for minion in fleet.minions
            )
        )

    def test_a_non_idempotent_request_is_never_hedged(self, create_fleet):
        fleet = create_fleet(limits=HEDGING)
        self._measure_service_times(fleet)
        fleet.set_faults(late=1, late_s=0.2)
        result = fleet.send(key="booking", is_idempotent=False)
        assert result.status == 200
        assert "requests.hedged" not in fleet.counts
        assert fleet.count_executions("booking") == 1


class TestTryTimeout:
    def test_a_request_longer_than_the_minimum_timeout_is_answered(
        self, create_fleet
    ):
        limits = conftest.QUICK._replace(min_try_s=0.1)
        fleet = create_fleet(limits=limits)
        result = fleet.send(key="long", work_ms=500, time_left_s=30.0)
        assert result.status == 200
        assert fleet.count_executions("long") == 1


class TestEjection:
    def test_a_failing_minion_is_ejected_and_returns_after_a_trial(
        self, create_fleet
    ):
        fleet = create_fleet()
        broken = fleet.minions[0]
        broken.set_faults(failing=10**6)
        fleet.wait_for(
            lambda: (
                fleet.send(key="any") and fleet.counts.get("requests.ejected")
            )
        )
        broken.set_faults(failing=0)
        fleet.wait_for(
            lambda: (
                fleet.send(key="any")
                and fleet.get_view(broken.name)["state"] == "live"
            )
        )

    def test_a_minion_that_takes_requests_and_never_answers_is_ejected(
        self, create_fleet
    ):
        fleet = create_fleet()
        stuck = fleet.minions[0]
        stuck.set_faults(is_stuck=True)
        fleet.wait_for(
            lambda: (
                gevent.joinall([gevent.spawn(fleet.send) for _ in range(10)])
                and fleet.counts.get("requests.ejected")
            )
        )
        working = fleet.minions[1]
        assert fleet.get_view(working.name)["state"] == "live"

    def test_short_deadlines_do_not_eject_minions(self, create_fleet):
        fleet = create_fleet()
        for number in range(20):
            fleet.send(key=f"key-{number}", work_ms=50, time_left_s=0.02)
        assert "requests.ejected" not in fleet.counts


class TestConfiguration:
    def test_an_unknown_service_is_refused(self, create_fleet):
        refused = create_fleet().send(service="nothing")
        assert refused.kind is errors.Kind.UNKNOWN_SERVICE

    def test_a_removed_service_answers_requests_in_flight(self, create_fleet):
        fleet = create_fleet()
        sent = gevent.spawn(fleet.send, key="open", work_ms=60)
        fleet.wait_for(lambda: any(one.busy for one in fleet.minions))
        fleet.router.set_services({})
        assert sent.get().status == 200
        refused = fleet.send(key="new")
        assert refused.kind is errors.Kind.UNKNOWN_SERVICE

    def test_a_removed_minion_answers_but_gets_no_new_requests(
        self, create_fleet
    ):
        fleet = create_fleet()
        sent = [
            gevent.spawn(fleet.send, key=f"open-{number}", work_ms=60)
            for number in range(4)
        ]
        fleet.wait_for(lambda: fleet.minions[0].busy)
        fleet.router.set_minions(fakes.SERVICE, fleet.list_configured()[1:])
        gevent.joinall(sent)
        assert all(greenlet.value.status == 200 for greenlet in sent)
        before = len(fleet.minions[0].records.list_executions())
        for number in range(5):
            assert fleet.send(key=f"new-{number}").status == 200
        assert len(fleet.minions[0].records.list_executions()) == before

    def test_a_minion_listed_as_leaving_gets_no_requests(self, create_fleet):
        fleet = create_fleet()
        leaving = fleet.minions[0]
        fleet.router.set_instances([core.Instance(leaving.name, True)])
        for number in range(10):
            assert fleet.send(key=f"key-{number}").status == 200
        assert not leaving.records.list_executions()

    def test_an_invalid_address_excludes_only_its_minion(self, create_fleet):
        fleet = create_fleet()
        configured = fleet.list_configured()
        configured[0]["address"] = "nowhere"
        fleet.router.set_minions(fakes.SERVICE, configured)
        assert fleet.send().status == 200
        assert fleet.counts["requests.bad_address"] == 1


class TestOverload:
    def test_urgent_requests_go_first_and_refused_ones_did_not_run(
        self, create_fleet
    ):
        fleet = create_fleet(minions_count=1, slots=2)
        urgencies = list(scheduling.Urgency) * 30
        sent = [
            gevent.spawn(
                fleet.send,
                key=f"key-{number}",
                urgency=urgency,
                work_ms=20,
                time_left_s=0.6,
            )
            for number, urgency in enumerate(reversed(urgencies))
        ]
        gevent.joinall(sent)
        answered = dict.fromkeys(scheduling.Urgency, 0)
        for number, urgency in enumerate(reversed(urgencies)):
            result = sent[number].value
            if not errors.is_refusal(result):
                answered[urgency] += 1
            elif result.kind is not errors.Kind.OUTCOME_UNKNOWN:
                assert not fleet.count_executions(f"key-{number}")
        assert answered[scheduling.Urgency.URGENT] > 0
        assert (
            answered[scheduling.Urgency.URGENT]
            >= answered[scheduling.Urgency.BATCH]
        )
        assert fleet.minions[0].records.most_running <= 2

    def test_concurrent_requests_are_limited(self, create_fleet):
        fleet = create_fleet(
            minions_count=1, slots=1, limits=conftest.QUICK._replace(inside=5)
        )
        sent = [
            gevent.spawn(fleet.send, key=f"key-{number}", work_ms=10)
            for number in range(9)
        ]
        gevent.joinall(sent)
        kinds = [
            greenlet.value.kind
            for greenlet in sent
            if errors.is_refusal(greenlet.value)
        ]
        assert kinds == [errors.Kind.QUEUE_FULL] * 4

    def test_requests_waiting_for_claims_do_not_block_others(
        self, create_fleet
    ):
        fleet = create_fleet(
            limits=conftest.QUICK._replace(inside=6, claiming=3)
        )
        fleet.claims.delay_s = 0.1
        sent = [
            gevent.spawn(
                fleet.send, key=f"booking-{number}", is_idempotent=False
            )
            for number in range(5)
        ]
        gevent.sleep(0)
        assert fleet.send(key="survey").status == 200
        gevent.joinall(sent)
        refused = [
            greenlet.value.kind
            for greenlet in sent
            if errors.is_refusal(greenlet.value)
        ]
        assert refused == [errors.Kind.QUEUE_FULL] * 2
