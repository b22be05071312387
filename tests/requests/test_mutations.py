"""Each safety mechanism, turned off, makes its check fail."""

import pytest

from chervilcove.core import http
from chervilcove.requests import budgets
from chervilcove.requests import core
from chervilcove.requests import minion_clients
from chervilcove.requests import minions
from chervilcove.requests import router as routers
from tests.requests import checks
from tests.requests import fakes


def _grant_always(self, *, customer, service, key, content_digest, timeout_s):
    return core.Claim(customer, service, key, content_digest, "")


def _release_always(self, claim, *, timeout_s):
    self.claimed.pop((claim.customer, claim.service, claim.key), None)


class TestMutations:
    def _expect_failure(self, check, fleet):
        with pytest.raises(AssertionError):
            check(fleet)

    def test_without_claims(self, create_fleet, monkeypatch):
        monkeypatch.setattr(fakes.MemoryClaims, "claim", _grant_always)
        monkeypatch.setattr(fakes.MemoryClaims, "release", _release_always)
        fleet = create_fleet(entries=2)
        self._expect_failure(checks.check_once_over_entries, fleet)

    def test_with_claims_released_after_dispatch(
        self, create_fleet, monkeypatch
    ):
        monkeypatch.setattr(routers, "_is_not_run", lambda result: True)
        fleet = create_fleet(entries=2)
        self._expect_failure(checks.check_once_after_cut, fleet)

    def test_without_the_retry_budget(self, create_fleet, monkeypatch):
        monkeypatch.setattr(budgets.RetryBudget, "try_spend", lambda *_: True)
        fleet = create_fleet()
        self._expect_failure(checks.check_retries_bounded, fleet)

    def test_without_closing_after_a_time_out(self, create_fleet, monkeypatch):
        monkeypatch.setattr(
            http._Pool, "release_socket", http._Pool.return_socket
        )
        monkeypatch.setattr(
            minion_clients.MinionClient, "drop_idle", lambda exchange: None
        )
        fleet = create_fleet(minions_count=1)
        self._expect_failure(checks.check_late_answer_is_dropped, fleet)

    def test_without_correlation_identifiers(self, create_fleet, monkeypatch):
        monkeypatch.setattr(
            minion_clients, "check_reply", lambda reply, request_id: None
        )
        fleet = create_fleet(minions_count=1)
        self._expect_failure(checks.check_crossed_answer_is_dropped, fleet)

    def test_without_hearing_that_a_minion_leaves(
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
