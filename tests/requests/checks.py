"""Checks of the router's guarantees, shared by tests and mutations."""

import gevent

from chervilcove.core import error_responses
from chervilcove.core import errors

BURST_SIZE = 60


def check_result_matches_executions(fleet, key, result):
    """Check that the result agrees with the executions at the minions."""
    executions = fleet.count_executions(key)
    if not errors.is_refusal(result):
        assert executions >= 1
        if result.status == 200:
            assert f'"key":"{key}"'.encode() in result.body
        return
    ran = error_responses.ERROR_RESPONSES[result.kind].ran
    if ran is error_responses.Ran.NOT_RUN:
        assert executions == 0


def check_once_over_entries(fleet):
    """Check that a key sent repeatedly to two entries is executed once."""
    sent = [
        gevent.spawn(
            fleet.send, router=router, key="booking", is_idempotent=False
        )
        for router in fleet.routers * 2
    ]
    gevent.joinall(sent)
    for router in fleet.routers:
        fleet.send(router=router, key="booking", is_idempotent=False)
    assert fleet.count_executions("booking") == 1


def check_once_after_cut(fleet):
    """Check that a key is not executed again after its answer was lost."""
    fleet.set_faults(cut_after=1)
    first = fleet.send(key="order", is_idempotent=False)
    assert first.kind is errors.Kind.OUTCOME_UNKNOWN
    fleet.set_faults(cut_after=0)
    for router in fleet.routers:
        fleet.send(router=router, key="order", is_idempotent=False)
    assert fleet.count_executions("order") == 1


def check_retries_bounded(fleet):
    """Check the limits of the retry budget while all tries fail."""
    limits = fleet.router.limits
    fleet.set_faults(cut_before=10 * BURST_SIZE)
    sent = [
        gevent.spawn(fleet.send, key=f"key-{number}", time_left_s=2.0)
        for number in range(BURST_SIZE)
    ]
    gevent.joinall(sent)
    retries = sum(
        count
        for name, count in fleet.counts.items()
        if name.startswith("requests.retried.")
    )
    seconds = 3.0
    allowed = (
        limits.retry_reserve
        + limits.retry_ratio * BURST_SIZE
        + limits.retry_trickle_per_s * seconds
    )
    assert 0 < retries <= allowed


def check_late_answer_is_dropped(fleet):
    """Check that a late answer does not reach the next request."""
    fleet.set_faults(late=1, late_s=0.2)
    first = fleet.send(key="late", is_idempotent=False, time_left_s=0.1)
    assert first.kind is errors.Kind.OUTCOME_UNKNOWN
    fleet.set_faults(late=0)
    second = fleet.send(key="next", is_idempotent=False, time_left_s=2.0)
    assert not errors.is_refusal(second)
    check_result_matches_executions(fleet, "next", second)


def check_crossed_answer_is_dropped(fleet):
    """Check that the answer to another request is not returned."""
    fleet.send(key="other")
    fleet.set_faults(crossed=1)
    result = fleet.send(key="mine", is_idempotent=False)
    assert errors.is_refusal(result) or b'"key":"mine"' in result.body


def check_leaving_gets_nothing(fleet):
    """Check that a minion that reported "leaving" gets no more requests."""
    leaving = fleet.minions[0]
    seen = _count_requests(leaving)
    leaving.leave()
    fleet.wait_for(lambda: _count_requests(leaving) >= seen + 2)
    before = leaving.records.not_run["draining"]
    for number in range(20):
        result = fleet.send(key=f"key-{number}")
        assert not errors.is_refusal(result)
    assert leaving.records.not_run["draining"] == before
    assert all(
        item.start <= leaving.records.leaving_since
        for item in leaving.records.list_executions()
    )


def _count_requests(minion):
    return sum(
        connection.requests for connection in minion.records.list_connections()
    )
