"""A round that records what it decides about one job, and by which rules.

The load that this answers: in a full pool, an operator asks where a job would
start before it is sent. The decisions are those of `rounds`. Where tasks find
no room, the placement is asked again without what the round keeps for others,
one rule after the other.
"""

from collections.abc import Iterator
import contextlib
import enum
import functools
from typing import NamedTuple

from chervilcove.dispatch import delay_scheduling
from chervilcove.dispatch import pending_steps
from chervilcove.dispatch import placement
from chervilcove.dispatch import ranking
from chervilcove.dispatch import release_search
from chervilcove.dispatch import reservations
from chervilcove.dispatch import resources as resource_values
from chervilcove.dispatch import round_input
from chervilcove.dispatch import rounds
from chervilcove.jobs import specs
from chervilcove.jobs import table


class Rule(enum.StrEnum):
    """What keeps tasks from starting."""

    AFTER = "after"  # steps that come before
    DUE = "due"  # the time of the job
    MAXIMUM = "maximum"
    ADVICE = "advice"
    BACKOFF = "backoff"
    GATE = "gate"
    STOPS = "stops"  # units that must end first
    RACK = "rack"
    HEADROOM = "headroom"
    RESERVATION = "reservation"
    PREEMPTION = "preemption"  # workers that are emptied for other gangs
    GUARANTEE = "guarantee"
    RATE = "rate"
    SHARE = "share"
    ORDER = "order"
    FULL_POOL = "full_pool"
    NO_WORKER = "no_worker"


DETAILS = {
    Rule.AFTER: "steps that it depends on are not done",
    Rule.DUE: "the job is not due",
    Rule.MAXIMUM: "the customer would exceed its maximum",
    Rule.ADVICE: "the policy has not granted workers yet",
    Rule.BACKOFF: "the tasks back off after a failure",
    Rule.GATE: "room is left for expected urgent arrivals",
    Rule.STOPS: "work in the way must end first",
    Rule.RACK: "it waits for its rack; other racks have room",
    Rule.HEADROOM: "the room is kept as headroom for urgent work",
    Rule.RESERVATION: "the room is reserved for gangs that wait",
    Rule.PREEMPTION: "the room is being made for gangs that preempt",
    Rule.GUARANTEE: "work under a guarantee takes the room",
    Rule.RATE: "the customer sends beyond its weight; others go first",
    Rule.SHARE: "customers with a smaller share go first",
    Rule.ORDER: "work with a higher rank goes first",
    Rule.FULL_POOL: "running work takes the room",
    Rule.NO_WORKER: "no worker or rack that is open could hold it if empty",
}


class Hold(NamedTuple):
    """Tasks of a step that don't start, and the rule that holds them back."""

    rule: Rule
    tasks: int


class Finding(NamedTuple):
    """What holds a step back.

    Attributes:
        holds: The rules, with the tasks that each of them holds back.
        wait_s: Estimated seconds until a task, or the gang, can start; None
            if unknown.
    """

    holds: list[Hold]
    wait_s: float | None = None


class ObservedRound(rounds.Round):
    """A round that records what it decides about one job.

    Args:
        inputs: Input of the round.
        job: The job; none of its units has started.

    Attributes:
        findings: What holds each step back in the first occurrence, by its
            number.
    """

    def __init__(self, inputs: round_input.RoundInput, job: table.Job):
        super().__init__(inputs)
        self._job = job
        self.findings: dict[int, Finding] = {}
        self._current: pending_steps.PendingStep | None = None
        # What the steps before took, and which steps took it.
        self._taken: list[
            tuple[pending_steps.PendingStep, resource_values.Allocation]
        ] = []

    def _schedule(self, pending: pending_steps.PendingStep) -> None:
        self._current = pending
        if not self._is_observed(pending):
            super()._schedule(pending)
            return
        finding = Finding([])
        self.findings[pending.step] = finding
        waiting = pending.job.list_waiting_units(
            pending.occurrence, pending.step
        )
        step = pending.step_spec
        tasks = step.count if step.is_gang else 1  # of each unit
        delayed = sum(map(self._inputs.is_backing_off, waiting))
        if delayed:
            finding.holds.append(Hold(Rule.BACKOFF, delayed * tasks))
        gated = self._gate.held_back
        super()._schedule(pending)
        gated = self._gate.held_back - gated
        if gated:
            finding.holds.append(Hold(Rule.GATE, gated))
        if (
            pending.queue.needs_advice
            and self._inputs.get_grants(pending.step_key) is None
        ):
            finding.holds.append(
                Hold(Rule.ADVICE, (len(waiting) - delayed) * tasks)
            )

    def _limit_count(
        self, pending: pending_steps.PendingStep, waiting: int
    ) -> int:
        if not self._is_observed(pending):
            return super()._limit_count(pending, waiting)
        customer = pending.job.submission.customer
        step = pending.step_spec
        least = step.count if step.is_gang else 1
        wait_s = None
        if customer in self._inputs.customers and any(
            self._inputs.customers[customer].maximum
        ):
            excess = self._maximums.get_excess(customer, step.need, least)
            wait_s = self._estimate_own_ends_s(customer, excess)
        if pending.rank.tier is ranking.Tier.GUARANTEED:
            # Lower-ranked work of the customer is stopped instead.
            wait_s = self._inputs.bounds.stop_ms / 1000
        count = super()._limit_count(pending, waiting)
        if count < waiting:
            finding = self.findings[pending.step]
            finding.holds.append(Hold(Rule.MAXIMUM, waiting - count))
            self.findings[pending.step] = finding._replace(wait_s=wait_s)
        return count

    def _make_room(
        self,
        pending: pending_steps.PendingStep,
        request: placement.PlacementRequest,
    ) -> None:
        if not self._is_observed(pending):
            super()._make_room(pending, request)
            return
        holds = self._find_holds(pending, request)
        wait_s = self._estimate_wait_s(pending, request, holds)
        allocated = len(self._allocated)
        super()._make_room(pending, request)
        if (
            len(self._allocated) > allocated
            or pending.step_key in self._preemptions.active
        ):
            holds = [Hold(Rule.STOPS, request.count)]
            wait_s = self._inputs.bounds.stop_ms / 1000
        finding = self.findings[pending.step]
        finding.holds.extend(holds)
        if finding.wait_s is not None and wait_s is not None:
            wait_s = max(wait_s, finding.wait_s)
        self.findings[pending.step] = finding._replace(wait_s=wait_s)

    def _is_observed(self, pending: pending_steps.PendingStep) -> bool:
        return pending.job is self._job and pending.occurrence == 0

    @functools.cached_property
    def _ends(self) -> reservations.ExpectedEnds:
        return reservations.ExpectedEnds(self._inputs, self._victims.units)

    def _allocate(self, allocation: resource_values.Allocation) -> None:
        super()._allocate(allocation)
        if self._current.job is not self._job:
            self._taken.append((self._current, allocation))

    def _find_holds(
        self,
        pending: pending_steps.PendingStep,
        request: placement.PlacementRequest,
    ) -> list[Hold]:
        """Return the rules that keep the requested tasks from starting.

        Each rule gets the tasks that would start without it and without those
        before it.
        """
        resources = self._inputs.resources
        if not _could_hold(resources, request):
            return [Hold(Rule.NO_WORKER, request.count)]
        holds = []
        known = 0
        free = request._replace(requires_locality=False)
        if request.requires_locality and _count_placed(resources, free):
            # On other racks, the step would run at a third of its speed.
            return [Hold(Rule.RACK, request.count)]
        with contextlib.ExitStack() as released:
            for rule, allocations in self._list_kept(pending):
                for allocation in allocations:
                    resources.release(allocation)
                    released.callback(resources.allocate, allocation)
                count = _count_placed(resources, request)
                if count > known:
                    holds.append(Hold(rule, count - known))
                    known = count
        if known < request.count:
            holds.append(Hold(Rule.FULL_POOL, request.count - known))
        return holds

    def _list_kept(
        self, pending: pending_steps.PendingStep
    ) -> Iterator[tuple[Rule, list[resource_values.Allocation]]]:
        """Yield what the round keeps from a step at this point, by rule."""
        headroom = [] if self._headroom is None else [self._headroom]
        if pending.step_spec.is_lasting:
            headroom = []  # released by `_schedule_outside_headroom`
        yield Rule.HEADROOM, headroom
        lent = self._reservations.list_lent(pending)
        yield (
            Rule.RESERVATION,
            [
                one.allocation
                for one in self._reservations.held
                if one not in lent
            ],
        )
        yield (
            Rule.PREEMPTION,
            [one.allocation for one in self._preemptions.active.values()],
        )
        taken: dict[Rule, list[resource_values.Allocation]] = {}
        for other, allocation in self._taken:
            rule = self._find_precedence(pending, other)
            taken.setdefault(rule, []).append(allocation)
        for rule in (Rule.SHARE, Rule.RATE, Rule.GUARANTEE, Rule.ORDER):
            yield rule, taken.get(rule, [])

    def _find_precedence(
        self,
        pending: pending_steps.PendingStep,
        other: pending_steps.PendingStep,
    ) -> Rule:
        """Return the rule by which another step goes before a step."""
        rank, ahead = pending.rank, other.rank
        if ahead.tier is ranking.Tier.GUARANTEED and ahead.tier != rank.tier:
            return Rule.GUARANTEE
        if rank.is_beyond and not ahead.is_beyond:
            within = rank._replace(is_beyond=False)
            if within.get_sort_key() < ahead.get_sort_key():
                return Rule.RATE
        if rank.get_sort_key() < ahead.get_sort_key():
            return Rule.SHARE
        return Rule.ORDER

    def _estimate_wait_s(
        self,
        pending: pending_steps.PendingStep,
        request: placement.PlacementRequest,
        holds: list[Hold],
    ) -> float | None:
        """Return when the running work is expected to have made room."""
        if not request.step.is_gang:
            request = request._replace(count=1)
        found = reservations.find_reservation(
            self._inputs.resources, request, self._ends
        )
        wait_s = None if found is None else found.ready_s
        if holds[0].rule is Rule.RACK and (
            pending.step_key in self._delays.start_due_since
        ):
            overdue_ms = self._delays.get_overdue_ms(pending)
            left_s = (delay_scheduling.LOCALITY_WAIT_MS - overdue_ms) / 1000
            wait_s = left_s if wait_s is None else min(wait_s, left_s)
        return wait_s

    def _estimate_own_ends_s(
        self, customer: str, excess: specs.Resources
    ) -> float | None:
        """Return when a customer's running work is expected to end enough.

        Args:
            customer: Name of the customer.
            excess: What must end.
        """
        customers = {
            one.id: one.submission.customer for one in self._inputs.jobs
        }
        own = [
            running
            for unit, running in self._inputs.running.items()
            if customers.get(unit.job) == customer
        ]
        left = list(excess)
        wait_s = 0.0
        for running in sorted(own, key=lambda one: one.remaining_s):
            if max(left) <= 0:
                break
            wait_s = running.remaining_s
            for index, each in enumerate(running.allocation.need):
                left[index] -= each * len(running.allocation.workers)
        is_known = max(left) <= 0 and wait_s != float("inf")
        return wait_s if is_known else None


def _count_placed(
    resources: resource_values.FleetResources,
    request: placement.PlacementRequest,
) -> int:
    found = placement.place(resources, request)
    return 0 if found is None else len(found.workers)


def _could_hold(
    resources: resource_values.FleetResources,
    request: placement.PlacementRequest,
) -> bool:
    """Return whether the workers could hold a task, or the gang, if empty."""
    least = request.count if request.step.is_gang else 1
    eligible = placement.list_eligible(resources, request)
    return any(
        sum(
            resource_values.count_fitting(
                one.worker.capacity,
                request.step.need,
                placement.limit_tasks(one, request),
            )
            for one in pool
        )
        >= least
        for pool in release_search.list_pools(eligible, request)
    )
