"""Order of the calls to a queue's policy."""

from chervilcove.dispatch import grant_order
from chervilcove.jobs import specs

STEP = specs.Step(1, specs.Resources(1000, 1024, 1))


def build_waiting(names, customer="c"):
    return [
        grant_order.WaitingStep((name, 0, 0), "service", customer, STEP)
        for name in names
    ]


def make_calls(order, waiting, count, granted=(), failing=()):
    """Return the jobs of the next calls, when every step needs one."""
    asked = []
    for _ in range(count):
        step = next(order.list_next(waiting, granted))
        order.record_call(step, is_answered=step.step_key not in failing)
        asked.append(step.step_key[0])
    return asked


class TestGrantOrder:
    def test_every_step_is_reached_however_often_the_first_ones_need_calls(
        self,
    ):
        # With the first step in need at each call, the last was never reached.
        waiting = build_waiting("abcdef")
        asked = make_calls(grant_order.GrantOrder(), waiting, 12)
        assert set(asked) == set("abcdef")

    def test_half_of_the_calls_go_by_rank(self):
        # By turn alone, an urgent step would wait for the calls of all others.
        waiting = build_waiting("abcdef")
        asked = make_calls(grant_order.GrantOrder(), waiting, 12)
        assert asked[::2] == ["a"] * 6

    def test_steps_without_a_grant_come_before_others_in_turn(self):
        # Steps that need several calls waited for renewals between them.
        order = grant_order.GrantOrder()
        waiting = build_waiting("abcdef")
        granted = {one.step_key for one in waiting[:5]}
        make_calls(order, waiting, 12)
        asked = make_calls(order, waiting, 6, granted)
        assert asked[1::2] == ["f"] * 3

    def test_customers_take_turns(self):
        # One customer's many steps kept those of another from any call.
        waiting = build_waiting("abcdef") + build_waiting("z", "other")
        asked = make_calls(grant_order.GrantOrder(), waiting, 2)
        assert asked == ["a", "z"]

    def test_failed_step_waits_for_its_turn(self):
        # A step that is never answered took every call.
        order = grant_order.GrantOrder()
        waiting = build_waiting("abc")
        asked = make_calls(order, waiting, 6, failing={("a", 0, 0)})
        assert asked.count("a") == 2

    def test_steps_that_no_longer_wait_are_forgotten(self):
        # The order would grow with each step of the owner's term.
        order = grant_order.GrantOrder()
        waiting = build_waiting("abc")
        make_calls(order, waiting, 6, failing={("a", 0, 0)})
        order.forget_others(waiting[2:])
        assert make_calls(order, waiting, 2) == ["a", "b"]
