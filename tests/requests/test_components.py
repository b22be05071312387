"""Tests of the components without sockets: queue, budget, balancer, views."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from chervilcove.core import errors
from chervilcove.requests import balancing
from chervilcove.requests import budgets
from chervilcove.requests import conf
from chervilcove.requests import core
from chervilcove.requests import lifecycle
from chervilcove.requests import minions
from chervilcove.requests import queues
from chervilcove.requests import service_times
from chervilcove.requests import services
from chervilcove.scheduling import core as scheduling
from tests.requests import fakes

_URGENCY = scheduling.Urgency
_LIMITS = conf.Limits()


def _create_pending(urgency="normal", time_left_s=5.0, customer="one"):
    request = fakes.create_request(
        urgency=_URGENCY(urgency), time_left_s=time_left_s, now=0.0
    )._replace(customer=customer)
    return lifecycle.PendingRequest(request=request)


def _describe_minion(name="minion-0", **fields):
    return {
        "name": name,
        "data_centre": "Giza",
        "address": "127.0.0.1:1",
        "slots": 8,
        "connections": 64,
        **fields,
    }


def _create_view():
    return minions.MinionView(minion=_describe_minion(), limits=_LIMITS)


def _pop_all_in_order(queue, below=()):
    order = []
    while len(queue):
        order.append(queue.peek(lambda customer: customer in below))
        queue.remove(order[-1])
    return order


class TestRequestQueue:
    def test_orders_by_urgency_then_deadline(self):
        queue = queues.RequestQueue(limit=10)
        late = _create_pending("urgent", 9.0)
        soon = _create_pending("urgent", 1.0)
        batch = _create_pending("batch", 0.5)
        normal = _create_pending("normal", 0.1)
        for pending in (batch, late, normal, soon):
            assert queue.push(pending) is None
        assert _pop_all_in_order(queue) == [soon, late, normal, batch]

    def test_serves_customers_below_their_share_first(self):
        queue = queues.RequestQueue(limit=10)
        noisy = [_create_pending("urgent", 1.0, "noisy") for _ in range(3)]
        quiet = [
            _create_pending("batch", 9.0, "quiet"),
            _create_pending("normal", 9.0, "quiet"),
        ]
        for pending in noisy + quiet:
            queue.push(pending)
        order = _pop_all_in_order(queue, below=("quiet",))
        assert order == [quiet[1], quiet[0], *noisy]

    def test_sheds_from_the_customer_with_the_most_requests(self):
        queue = queues.RequestQueue(limit=3)
        noisy = [_create_pending("urgent", 1.0 + n, "noisy") for n in range(3)]
        for pending in noisy:
            queue.push(pending)
        quiet = _create_pending("batch", 9.0, "quiet")
        assert not queue.would_shed(quiet.request)
        assert queue.push(quiet) is noisy[2]

    def test_sheds_the_lowest_urgency_first(self):
        queue = queues.RequestQueue(limit=2)
        batch = _create_pending("batch")
        queue.push(batch)
        queue.push(_create_pending("normal"))
        assert queue.push(_create_pending("urgent")) is batch
        last = _create_pending("batch")
        assert queue.would_shed(last.request)
        assert queue.push(last) is last

    def test_removes_only_expired_requests(self):
        queue = queues.RequestQueue(limit=9)
        soon, later = (
            _create_pending("batch", 1.0),
            _create_pending("batch", 3.0),
        )
        queue.push(later)
        queue.push(soon)
        assert queue.pop_expired(2.0) == [soon]
        assert queue.peek(lambda customer: False) is later

    @hypothesis.settings(derandomize=True, max_examples=100)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(["urgent", "normal", "batch"]),
                strategies.floats(0.1, 9.0),
                strategies.sampled_from(["one", "two", "three"]),
            )
        )
    )
    def test_holds_at_most_its_limit_and_returns_shed_requests(self, items):
        queue = queues.RequestQueue(limit=5)
        pushed = [_create_pending(*item) for item in items]
        shed = [queue.push(pending) for pending in pushed]
        kept = queue.pop_all()
        assert len(kept) <= 5
        gone = [pending for pending in shed if pending is not None]
        assert {id(one) for one in kept + gone} == {id(one) for one in pushed}
        assert len(kept) + len(gone) == len(pushed)


class TestRetryBudget:
    def test_keeps_retries_a_fraction_of_first_tries(self):
        budget = budgets.RetryBudget(
            ratio=0.1, reserve=2.0, trickle_per_s=0.0, now=0.0
        )
        taken = 0
        for _ in range(1000):
            budget.add_first_try()
            taken += budget.try_spend(0.0)
        assert taken <= 2 + 0.1 * 1000

    def test_earns_retries_over_time_without_traffic(self):
        budget = budgets.RetryBudget(
            ratio=0.1, reserve=2.0, trickle_per_s=1.0, now=0.0
        )
        assert [budget.try_spend(0.0) for _ in range(3)] == [True, True, False]
        assert budget.try_spend(1.0)
        assert not budget.try_spend(1.5)


class TestServiceTimes:
    def _create(self):
        return service_times.ServiceTimes(
            max_samples=100, age_s=30.0, min_samples=5
        )

    def test_returns_none_with_too_few_samples(self):
        times = self._create()
        for _ in range(4):
            times.add(1.0, now=0.0)
        assert times.get_mean(now=0.0) is None
        assert times.get_quantile(0.5, now=0.0) is None

    def test_computes_quantiles_of_the_newest_samples(self):
        times = self._create()
        for number in range(1, 201):
            times.add(float(number), now=0.0)
        assert times.get_quantile(0.5, now=0.0) == 150.0
        assert times.get_quantile(1.0, now=0.0) == 200.0
        assert times.get_mean(now=0.0) == pytest.approx(150.5)

    def test_drops_samples_older_than_the_age_limit(self):
        times = self._create()
        for _ in range(50):
            times.add(9.0, now=0.0)
        assert times.get_mean(now=10.0) == pytest.approx(9.0)
        assert times.get_mean(now=31.0) is None


class TestShares:
    @pytest.mark.parametrize("total", [0, 1, 7, 8, 64])
    @pytest.mark.parametrize("count", [1, 2, 6, 7, 8, 11])
    def test_slot_shares_add_up_to_the_total(self, total, count):
        entries = [f"entry-{number}" for number in range(count)]
        shares = [
            balancing.compute_share(
                minion="minion-3", total=total, entry=entry, entries=entries
            )
            for entry in entries
        ]
        assert sum(shares) == total
        assert max(shares) - min(shares) <= 1

    @pytest.mark.parametrize("entries", [1, 6, 8, 20])
    def test_connections_remain_for_health_and_a_replaced_entry(self, entries):
        share = balancing.compute_connection_share(total=64, entries=entries)
        assert (share + 1) * (entries + 1) <= 64


class TestMinionView:
    def _record_status(
        self, view, *, busy=0, leaving=False, incarnation=5, now=0.0
    ):
        view.record_status(
            core.MinionStatus(leaving, busy, 8, incarnation), now=now
        )

    def test_borrows_only_slots_recently_observed_free(self):
        view = _create_view()
        view.slot_share, view.connection_share = 2, 64
        assert view.get_in_flight_limit(0.0) == 2
        self._record_status(view, busy=0)
        assert view.get_in_flight_limit(0.0) == 5
        self._record_status(view, busy=5)
        assert view.get_in_flight_limit(0.0) == 2
        self._record_status(view, busy=0)
        assert view.get_in_flight_limit(_LIMITS.load_fresh_s + 1.0) == 2

    def test_a_busy_minion_gets_no_requests_during_the_pause(self):
        view = _create_view()
        view.record_busy(now=0.0)
        assert not view.has_capacity(0.0)
        assert view.has_capacity(_LIMITS.busy_pause_s)

    def test_leaving_holds_until_a_newer_incarnation(self):
        view = _create_view()
        self._record_status(view, leaving=True)
        self._record_status(view, leaving=False)
        assert not view.is_usable()
        self._record_status(view, leaving=False, incarnation=4)
        assert not view.is_usable()
        self._record_status(view, leaving=False, incarnation=6)
        assert view.is_usable()

    def test_the_list_can_mark_it_leaving_but_not_live_again(self):
        view = _create_view()
        self._record_status(view)
        view.record_listing(core.Instance("minion-0", True, 5))
        view.record_listing(core.Instance("minion-0", False, 5))
        assert not view.is_usable()

    def test_an_old_row_does_not_exclude_a_newer_incarnation(self):
        view = _create_view()
        self._record_status(view, incarnation=6)
        view.record_listing(core.Instance("minion-0", True, 5))
        assert view.is_usable()

    def test_a_row_without_incarnation_ends_at_the_next_start(self):
        view = _create_view()
        self._record_status(view, incarnation=5)
        view.record_listing(core.Instance("minion-0", True))
        assert not view.is_usable()
        self._record_status(view, incarnation=6)
        view.record_listing(core.Instance("minion-0", True))
        assert view.is_usable()

    def test_ejections_get_longer_and_end_with_a_trial(self):
        view = _create_view()
        for _ in range(_LIMITS.failures_to_eject):
            view.record_failure(now=0.0, may_eject=True)
        assert view.state == "ejected"
        view.end_ejection(_LIMITS.eject_s)
        assert view.state == "trial"
        assert view.get_in_flight_limit(_LIMITS.eject_s) == 1
        view.record_failure(now=10.0, may_eject=True)
        view.end_ejection(10.0 + _LIMITS.eject_s)
        assert view.state == "ejected"
        view.end_ejection(10.0 + 2 * _LIMITS.eject_s)
        view.record_success()
        assert view.state == "live"


class TestBalancer:
    def _create(self, configured):
        balancer = balancing.Balancer(
            entry="entry-0",
            data_centre="Giza",
            limits=_LIMITS,
            rng=random.Random(1),
        )
        balancer.set_minions(configured)
        return balancer

    def _choose(self, balancer, avoided=()):
        return balancer.choose(now=0.0, avoided=avoided, is_idempotent=True)

    def test_prefers_the_own_data_centre_up_to_local_spill(self):
        configured = [
            _describe_minion("near"),
            _describe_minion("far", data_centre="Maadi"),
        ]
        balancer = self._create(configured)
        chosen = []
        for _ in range(10):
            view = self._choose(balancer)
            view.in_flight += 1
            chosen.append(view.name)
        assert chosen[:6] == ["near"] * 6
        assert "far" in chosen[6:]

    def test_avoids_a_minion_only_while_another_has_capacity(self):
        balancer = self._create([_describe_minion(f"m-{n}") for n in range(2)])
        assert self._choose(balancer, {"m-0"}).name == "m-1"
        assert self._choose(balancer, {"m-0", "m-1"}) is not None

    def test_ejects_at_most_half_of_the_minions(self):
        balancer = self._create([_describe_minion(f"m-{n}") for n in range(4)])
        for _ in range(20):
            for view in balancer.list_views():
                balancer.record_failure(view, now=0.0)
        states = [view.state for view in balancer.list_views()]
        assert states.count("ejected") == 2

    def test_keeps_the_views_of_unchanged_minions(self):
        balancer = self._create([_describe_minion("m-0")])
        (view,) = balancer.list_views()
        view.record_status(core.MinionStatus(True, 0, 8, 5), now=0.0)
        balancer.set_minions([_describe_minion("m-0"), _describe_minion("m-1")])
        assert balancer.list_views()[0] is view


class TestServiceState:
    def _create(self, *, slots=1):
        state = services.ServiceState(
            service=fakes.SERVICE,
            entry="entry-0",
            data_centre="Giza",
            limits=_LIMITS,
            rng=random.Random(1),
            now=0.0,
        )
        state.balancer.set_minions([_describe_minion(slots=slots)])
        return state

    def _add_service_times(self, state, seconds):
        for _ in range(_LIMITS.estimate_minimum):
            state.service_times.add(seconds, now=0.0)

    def test_refuses_requests_that_cannot_meet_their_deadline(self):
        state = self._create()
        self._add_service_times(state, 1.0)
        for _ in range(3):
            state.queue.push(_create_pending("normal", 3.0))
        short = _create_pending("normal", 4.0).request
        refusal = state.check_admission(short, now=0.0)
        assert refusal.kind is errors.Kind.DEADLINE_TOO_SHORT
        assert refusal.detail["wait_s"] == 4.0
        assert (
            state.check_admission(_create_pending("normal", 6.0).request, now=0)
            is None
        )
        assert (
            state.check_admission(_create_pending("urgent", 2.5).request, now=0)
            is None
        )

    def test_ignores_estimates_while_the_queue_is_empty(self):
        state = self._create()
        self._add_service_times(state, 100.0)
        assert (
            state.check_admission(_create_pending("batch", 0.1).request, now=0)
            is None
        )

    def test_the_hedge_delay_is_a_multiple_of_the_median(self):
        state = self._create()
        self._add_service_times(state, 1.0)
        assert state.get_hedge_delay_s(0.0) == _LIMITS.hedge_factor

    def test_refuses_without_a_usable_minion(self):
        state = self._create()
        state.balancer.list_views()[0].record_unreachable()
        refusal = state.check_admission(_create_pending().request, now=0.0)
        assert refusal.kind is errors.Kind.NO_MINION
