"""Maximums of customers: which tasks may start, and which are held back.

The load that this answers: one customer submits more than it may have running
while others wait too. Its tasks beyond the maximum wait and everything else
goes ahead of them.

A task counts from its order until its end is certain, whoever started it and
also while it is being stopped. A gang counts whole. Work that is covered by a
guarantee but held back reserves what ends of the same customer's tasks, so that
lower-ranked work doesn't take it.
"""

import collections
from collections.abc import Iterable

from chervilcove.dispatch import headroom
from chervilcove.dispatch import resources as resource_values
from chervilcove.dispatch import round_input
from chervilcove.jobs import maximums
from chervilcove.jobs import specs


class CustomerMaximums:
    """Count what customers have running in one round.

    Without a customer that has a maximum, nothing is counted or held back.

    Args:
        inputs: Input of the round.

    Attributes:
        held_back: Number of tasks held back in this round, by customer.
    """

    def __init__(self, inputs: round_input.RoundInput):
        self._maximums = {
            name: customer.maximum
            for name, customer in inputs.customers.items()
            if any(customer.maximum)
        }
        self._used = dict.fromkeys(self._maximums, specs.Resources(0, 0, 0))
        self.held_back: collections.Counter[str] = collections.Counter()
        if not self._maximums:
            return
        limited = {
            job.id: job.submission.customer
            for job in inputs.jobs
            if job.submission.customer in self._maximums
        }
        # Added by need, as thousands of tasks share a few.
        counts: collections.Counter[tuple[str, specs.Resources]] = (
            collections.Counter()
        )
        for unit, running in inputs.running.items():
            customer = limited.get(unit.job)
            if customer is not None:
                allocation = running.allocation
                counts[customer, allocation.need] += len(allocation.workers)
        for usage in inputs.untracked:
            counts[usage.customer, usage.need] += usage.count
        for (customer, need), count in counts.items():
            self.add(customer, need, count)

    def add(self, customer: str, need: specs.Resources, count: int) -> None:
        """Count tasks that start, or that nothing else may displace."""
        used = self._used.get(customer)
        if used is not None:
            self._used[customer] = specs.Resources(
                *(
                    taken + each * count
                    for taken, each in zip(used, need, strict=True)
                )
            )

    def add_allocation(
        self, customer: str, allocation: resource_values.Allocation
    ) -> None:
        """Count the tasks of an allocation."""
        self.add(customer, allocation.need, len(allocation.workers))

    def list_startable(
        self, arrivals: Iterable[headroom.UrgentArrival]
    ) -> list[headroom.UrgentArrival]:
        """Return the arrivals whose like could start within its maximum."""
        return [one for one in arrivals if self._is_startable(one)]

    def limit_count(self, customer: str, step: specs.Step, waiting: int) -> int:
        """Return how many of the waiting tasks of a step may start now.

        The others are recorded as held back.

        Args:
            customer: Customer of the job.
            step: The step; all tasks of a gang may start, or none.
            waiting: Number of its tasks that wait.
        """
        maximum = self._maximums.get(customer)
        if maximum is None:
            return waiting
        count = maximums.count_fitting(
            maximum, self._used[customer], step.need, waiting
        )
        if step.is_gang and count < waiting:
            count = 0
        if count < waiting:
            self.held_back[customer] += waiting - count
        return count

    def get_excess(
        self, customer: str, need: specs.Resources, count: int
    ) -> specs.Resources:
        """Return what must end before tasks may start, 0 where nothing must.

        Args:
            customer: Customer of the tasks; it has a maximum.
            need: Resources of each task.
            count: Number of tasks.
        """
        return specs.Resources(
            *(
                max(0, taken + each * count - most) if most else 0
                for most, taken, each in zip(
                    self._maximums[customer],
                    self._used[customer],
                    need,
                    strict=True,
                )
            )
        )

    def _is_startable(self, arrival: headroom.UrgentArrival) -> bool:
        maximum = self._maximums.get(arrival.customer)
        if maximum is None:
            return True
        step = arrival.step
        least = step.count if step.is_gang else 1
        used = self._used[arrival.customer]
        return maximums.count_fitting(maximum, used, step.need, least) == least
