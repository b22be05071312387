"""Tests of faulty minions, checked against the minions' own records."""

from typing import NamedTuple

import gevent
import pytest

from chervilcove.core import error_responses
from chervilcove.core import errors
from tests.requests import checks

_KINDS = errors.Kind


class Case(NamedTuple):
    """A fault of both minions and the results that it allows.

    Attributes:
        name: Identifier of the case.
        switches: Faults of the minions.
        expected: HTTP status, or the allowed kinds of refusal.
        executed: Allowed numbers of executions.
    """

    name: str
    switches: dict
    expected: object
    executed: tuple[int, ...]


NON_IDEMPOTENT_CASES = [
    Case("no_fault", {}, 200, (1,)),
    Case("late", {"late": 9, "late_s": 9.0}, {_KINDS.OUTCOME_UNKNOWN}, (1,)),
    Case("crossed", {"crossed": 9}, {_KINDS.BAD_ANSWER}, (1,)),
    Case("truncated", {"truncated": 9}, {_KINDS.BAD_ANSWER}, (1,)),
    Case("wrong_digest", {"wrong_digest": 9}, {_KINDS.BAD_ANSWER}, (1,)),
    Case("cut_before", {"cut_before": 9}, {_KINDS.OUTCOME_UNKNOWN}, (0,)),
    Case("cut_after", {"cut_after": 9}, {_KINDS.OUTCOME_UNKNOWN}, (1,)),
    Case("failing", {"failing": 9}, 500, (1,)),
    Case("stuck", {"is_stuck": True}, {_KINDS.OUTCOME_UNKNOWN}, (0,)),
    Case(
        "frozen",
        {"is_frozen": True},
        {_KINDS.OUTCOME_UNKNOWN, _KINDS.NO_MINION, _KINDS.DEADLINE_EXCEEDED},
        (0,),
    ),
    Case(
        "late_and_crossed",
        {"late": 9, "late_s": 0.01, "crossed": 9},
        {_KINDS.BAD_ANSWER},
        (1,),
    ),
]

IDEMPOTENT_CASES = [
    Case("late", {"late": 1, "late_s": 9.0}, 200, (1, 2, 3)),
    Case("crossed", {"crossed": 1}, 200, (2, 3)),
    Case("truncated", {"truncated": 1}, 200, (2, 3)),
    Case("wrong_digest", {"wrong_digest": 1}, 200, (2, 3)),
    Case("cut_before", {"cut_before": 1}, 200, (1,)),
    Case("cut_after", {"cut_after": 1}, 200, (2, 3)),
    Case("failing", {"failing": 1}, 500, (1,)),
    Case(
        "cut_before_and_late",
        {"cut_before": 1, "late": 1, "late_s": 0.01},
        200,
        (1,),
    ),
]


def _get_name(case):
    return case.name


def _check_expected(case, result):
    if errors.is_refusal(result):
        assert isinstance(case.expected, set), result
        assert result.kind in case.expected
    else:
        assert result.status == case.expected


class TestNonIdempotentUnderFault:
    @pytest.mark.parametrize("case", NON_IDEMPOTENT_CASES, ids=_get_name)
    def test_runs_at_most_once_and_the_result_matches(self, create_fleet, case):
        fleet = create_fleet()
        fleet.set_faults(**case.switches)
        result = fleet.send(key="booking", is_idempotent=False, time_left_s=0.4)
        _check_expected(case, result)
        checks.check_result_matches_executions(fleet, "booking", result)
        assert fleet.count_executions("booking") in case.executed

    @pytest.mark.parametrize("case", NON_IDEMPOTENT_CASES, ids=_get_name)
    def test_keeps_its_claim_unless_it_certainly_did_not_run(
        self, create_fleet, case
    ):
        fleet = create_fleet()
        fleet.set_faults(**case.switches)
        result = fleet.send(key="booking", is_idempotent=False, time_left_s=0.4)
        ran = (
            errors.is_refusal(result)
            and error_responses.ERROR_RESPONSES[result.kind].ran
        )
        is_not_run = ran is error_responses.Ran.NOT_RUN
        assert bool(fleet.claims.claimed) != is_not_run

    def test_a_request_held_by_a_frozen_minion_runs_only_once(
        self, create_fleet
    ):
        fleet = create_fleet()
        fleet.send(key="warm")
        fleet.set_faults(is_frozen=True)
        result = fleet.send(key="order", is_idempotent=False, time_left_s=0.1)
        fleet.set_faults(is_frozen=False)
        fleet.wait_for(lambda: fleet.count_executions("order"))
        assert result.kind is errors.Kind.OUTCOME_UNKNOWN
        again = fleet.send(key="order", is_idempotent=False)
        assert errors.is_refusal(again)
        assert fleet.count_executions("order") == 1


class TestIdempotentUnderFault:
    @pytest.mark.parametrize("case", IDEMPOTENT_CASES, ids=_get_name)
    def test_is_retried_and_gets_a_complete_answer(self, create_fleet, case):
        fleet = create_fleet()
        fleet.set_faults(**case.switches)
        result = fleet.send(key="survey", time_left_s=3.0)
        _check_expected(case, result)
        checks.check_result_matches_executions(fleet, "survey", result)
        assert fleet.count_executions("survey") in case.executed


class TestNotRun:
    def _make_busy(self, minion):
        minion.busy = minion.slots

    def _make_leave(self, minion):
        minion.leave()

    def _make_stop(self, minion):
        minion.stop()

    @pytest.mark.parametrize("condition", ["busy", "leave", "stop"])
    @pytest.mark.parametrize("is_idempotent", [True, False])
    def test_one_unavailable_minion_fails_no_request(
        self, create_fleet, condition, is_idempotent
    ):
        fleet = create_fleet()
        getattr(self, f"_make_{condition}")(fleet.minions[0])
        for number in range(8):
            key = f"key-{number}"
            result = fleet.send(key=key, is_idempotent=is_idempotent)
            assert not errors.is_refusal(result), result
            assert fleet.count_executions(key) == 1

    @pytest.mark.parametrize("condition", ["busy", "leave", "stop"])
    def test_no_available_minion_refuses_and_releases_the_key(
        self, create_fleet, condition
    ):
        fleet = create_fleet()
        for minion in fleet.minions:
            getattr(self, f"_make_{condition}")(minion)
        result = fleet.send(key="order", is_idempotent=False, time_left_s=0.5)
        assert (
            error_responses.ERROR_RESPONSES[result.kind].ran
            is error_responses.Ran.NOT_RUN
        )
        assert fleet.count_executions("order") == 0
        assert not fleet.claims.claimed

    def test_a_busy_minion_is_retried_at_a_limited_rate(self, create_fleet):
        fleet = create_fleet(minions_count=1)
        minion = fleet.minions[0]
        minion.busy = minion.slots
        sent = [
            gevent.spawn(fleet.send, key=f"key-{number}") for number in range(9)
        ]
        fleet.wait_for(lambda: minion.records.not_run["busy"] >= 8)
        minion.busy = 0
        gevent.joinall(sent)
        assert all(greenlet.value.status == 200 for greenlet in sent)
        assert len(fleet.list_executions()) == 9
        pauses = 5.0 / fleet.router.limits.busy_pause_s
        assert minion.records.not_run["busy"] <= minion.slots * pauses
        assert not fleet.counts.get("requests.refused.retry_budget_spent")

    def test_a_try_that_may_have_run_makes_the_outcome_unknown(
        self, create_fleet
    ):
        fleet = create_fleet(minions_count=1)
        fleet.set_faults(cut_after=9)
        result = fleet.send(key="survey", time_left_s=1.0)
        assert fleet.count_executions("survey") >= 1
        assert result.kind is errors.Kind.OUTCOME_UNKNOWN


class TestConnections:
    def test_late_answer_is_dropped(self, create_fleet):
        checks.check_late_answer_is_dropped(create_fleet(minions_count=1))

    def test_crossed_answer_is_dropped(self, create_fleet):
        checks.check_crossed_answer_is_dropped(create_fleet(minions_count=1))

    def test_an_answer_sent_twice_reaches_only_its_own_request(
        self, create_fleet
    ):
        fleet = create_fleet(minions_count=1)
        fleet.set_faults(doubled=20)
        for number in range(20):
            key = f"key-{number}"
            result = fleet.send(key=key, time_left_s=1.0)
            checks.check_result_matches_executions(fleet, key, result)

    @pytest.mark.parametrize("is_idempotent", [True, False])
    def test_silent_connections_are_replaced(self, create_fleet, is_idempotent):
        fleet = create_fleet(minions_count=1)
        for number in range(4):
            fleet.send(key=f"warm-{number}")
        fleet.minions[0].silence_connections()
        fleet.wait_for(lambda: fleet.counts.get("requests.heartbeat.kept_lost"))
        result = fleet.send(
            key="booking", is_idempotent=is_idempotent, time_left_s=2.0
        )
        assert result.status == 200
        assert fleet.count_executions("booking") == 1

    def test_a_silent_minion_gets_no_requests_until_it_answers(
        self, create_fleet
    ):
        fleet = create_fleet()
        silent = fleet.minions[0]
        silent.set_faults(is_frozen=True)
        fleet.wait_for(
            lambda: fleet.get_view(silent.name)["state"] == "suspect"
        )
        for number in range(8):
            fleet.send(key=f"key-{number}")
        assert not silent.records.list_executions()
        silent.set_faults(is_frozen=False)
        fleet.wait_for(lambda: fleet.get_view(silent.name)["state"] == "live")

    def test_connections_stay_within_the_limit_of_the_minion(
        self, create_fleet
    ):
        fleet = create_fleet(minions_count=1, entries=3, slots=8)
        sent = [
            gevent.spawn(
                fleet.send, router=router, key=f"key-{number}", work_ms=5
            )
            for number in range(60)
            for router in fleet.routers
        ]
        gevent.joinall(sent)
        records = fleet.minions[0].records
        assert records.most_connections <= fleet.minions[0].connections
        assert records.most_running <= 8


class TestLeaving:
    def test_a_leaving_minion_gets_no_requests(self, create_fleet):
        checks.check_leaving_gets_nothing(create_fleet())

    def test_work_in_flight_at_a_leaving_minion_is_answered(self, create_fleet):
        fleet = create_fleet()
        sent = [
            gevent.spawn(
                fleet.send, key=f"key-{number}", work_ms=80, is_idempotent=False
            )
            for number in range(8)
        ]
        fleet.wait_for(lambda: fleet.minions[0].busy)
        fleet.minions[0].leave()
        gevent.joinall(sent)
        for number, greenlet in enumerate(sent):
            assert not errors.is_refusal(greenlet.value), greenlet.value
            assert fleet.count_executions(f"key-{number}") == 1

    def test_a_newer_incarnation_gets_work_again(self, create_fleet):
        fleet = create_fleet(minions_count=1)
        minion = fleet.minions[0]
        minion.leave()
        fleet.wait_for(
            lambda: fleet.get_view(minion.name)["state"] == "leaving"
        )
        minion.is_leaving = False
        fleet.send(key="old", time_left_s=0.2)
        assert not fleet.count_executions("old")
        minion.incarnation += 1
        fleet.wait_for(lambda: fleet.get_view(minion.name)["state"] == "live")
        assert fleet.send(key="new").status == 200


class TestDrain:
    def test_finishes_running_requests_and_refuses_new_ones(self, create_fleet):
        fleet = create_fleet()
        sent = [
            gevent.spawn(
                fleet.send,
                key=f"key-{number}",
                work_ms=30,
                is_idempotent=number % 2 == 0,
            )
            for number in range(30)
        ]
        fleet.wait_for(lambda: fleet.minions[0].busy)
        draining = gevent.spawn(fleet.router.drain, timeout_s=10.0)
        gevent.sleep(0)
        refused = fleet.send(key="new")
        assert refused.kind is errors.Kind.DRAINING
        assert draining.get()
        for number, greenlet in enumerate(sent):
            assert greenlet.ready()
            assert greenlet.value.status == 200
            assert fleet.count_executions(f"key-{number}") == 1
        assert not fleet.count_executions("new")
