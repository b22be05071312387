"""Tests that each check fails once its safety mechanism is disabled.

The same check passes with the mechanism (see `TestChecks`, `test_faults`).
"""

import pytest

from chervilcove.core import http
from chervilcove.requests import budgets
from chervilcove.requests import core
from chervilcove.requests import minion_clients
from chervilcove.requests import minions
from chervilcove.requests import router as routers
from tests.requests import checks
from tests.requests import fakes


def _claim_always(self, *, customer, service, key, content_digest, timeout_s):
    return core.Claim(customer, service, key, content_digest, "")


def _release_always(self, claim, *, timeout_s):
    self.claimed.pop((claim.customer, claim.service, claim.key), None)


class TestDisabledMechanisms:
    def _expect_failure(self, check, fleet):
        with pytest.raises(AssertionError):
            check(fleet)

    def test_without_claims_a_key_runs_at_both_entries(
        self, create_fleet, monkeypatch
    ):
        monkeypatch.setattr(fakes.MemoryClaims, "claim", _claim_always)
        monkeypatch.setattr(fakes.MemoryClaims, "release", _release_always)
        fleet = create_fleet(entries=2)
        self._expect_failure(checks.check_once_over_entries, fleet)

    def test_releasing_claims_after_dispatch_repeats_an_execution(
        self, create_fleet, monkeypatch
    ):
        monkeypatch.setattr(routers, "_is_not_run", lambda result: True)
        fleet = create_fleet(entries=2)
        self._expect_failure(checks.check_once_after_cut, fleet)

    def test_without_the_retry_budget_retries_are_unlimited(
        self, create_fleet, monkeypatch
    ):
        monkeypatch.setattr(budgets.RetryBudget, "try_spend", lambda *_: True)
        fleet = create_fleet()
        self._expect_failure(checks.check_retries_bounded, fleet)

    def test_reusing_connections_after_a_timeout_mixes_up_answers(
        self, create_fleet, monkeypatch
    ):
        monkeypatch.setattr(
            http._Pool, "release_socket", http._Pool.return_socket
        )
        monkeypatch.setattr(
            minion_clients.MinionClient, "drop_idle", lambda client: None
        )
        fleet = create_fleet(minions_count=1)
        self._expect_failure(checks.check_late_answer_is_dropped, fleet)

    def test_without_reply_checks_a_crossed_answer_is_returned(
        self, create_fleet, monkeypatch
    ):
        monkeypatch.setattr(
            minion_clients, "check_reply", lambda reply, request_id: None
        )
        fleet = create_fleet(minions_count=1)
        self._expect_failure(checks.check_crossed_answer_is_dropped, fleet)

    def test_ignoring_leave_sends_requests_to_a_leaving_minion(
        self, create_fleet, monkeypatch
    ):
        advance = minions.MinionView._advance

        def ignore_leave(view, event):
            if event != "leave":
                advance(view, event)

        monkeypatch.setattr(minions.MinionView, "_advance", ignore_leave)
        fleet = create_fleet()
        self._expect_failure(checks.check_leaving_gets_nothing, fleet)


class TestChecks:
    def test_once_over_entries(self, create_fleet):
        checks.check_once_over_entries(create_fleet(entries=2))

    def test_once_after_cut(self, create_fleet):
        checks.check_once_after_cut(create_fleet(entries=2))

    def test_retries_bounded(self, create_fleet):
        checks.check_retries_bounded(create_fleet())
