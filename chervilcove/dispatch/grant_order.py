"""Order in which waiting steps get calls to a queue's policy.

A policy answers one call at a time, and its tickets lapse. When many steps
wait, tickets lapse sooner than all steps can be asked for again, so an order
that always begins with the first step would never reach the last ones. Calls
therefore alternate between two orders:

* by rank (priority, then age), so that an urgent step waits for one other call;
* by turn, first steps without any grant, each time of the customer and the step
  that were asked for longest ago, so that every step is reached.

A step whose call failed waits for its turn: the next call may fail as well.
"""

from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Sequence
from typing import NamedTuple

from chervilcove.jobs import specs

StepKey = tuple[str, int, int]


class WaitingStep(NamedTuple):
    """A step that waits for grants.

    Attributes:
        step_key: Job id, number of the occurrence and number of the step.
        service: Pool of workers that may run the step.
        customer: Customer of the job, empty on a public queue.
        step: The step.
    """

    step_key: StepKey
    service: str
    customer: str
    step: specs.Step


class GrantOrder:
    """Choose the order of the next call from the calls so far."""

    def __init__(self):
        # Number of the newest call, by step and by customer.
        self._step_calls: dict[StepKey, int] = {}
        self._customer_calls: dict[str, int] = {}
        self._failed_steps: set[StepKey] = set()
        self._count = 0

    def list_next(
        self, waiting: Sequence[WaitingStep], granted: Collection[StepKey]
    ) -> Iterator[WaitingStep]:
        """Yield steps in the order in which the next call should name one.

        Args:
            waiting: Waiting steps, by rank.
            granted: Steps that the policy has granted any worker.
        """
        if self._count % 2 == 0:
            for one in waiting:
                if one.step_key not in self._failed_steps:
                    yield one
        yield from sorted(
            waiting,
            key=lambda one: (
                one.step_key in granted,
                self._customer_calls.get(one.customer, 0),
                self._step_calls.get(one.step_key, 0),
            ),
        )

    def record_call(self, step: WaitingStep, *, is_answered: bool) -> None:
        """Record a call about a step, and whether the policy answered it."""
        self._count += 1
        self._step_calls[step.step_key] = self._count
        self._customer_calls[step.customer] = self._count
        if is_answered:
            self._failed_steps.discard(step.step_key)
        else:
            self._failed_steps.add(step.step_key)

    def forget_others(self, waiting: Sequence[WaitingStep]) -> None:
        """Forget all steps but those that wait."""
        step_keys = {one.step_key for one in waiting}
        self._failed_steps &= step_keys
        self._step_calls = {
            step_key: number
            for step_key, number in self._step_calls.items()
            if step_key in step_keys
        }
