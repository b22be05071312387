"""Scheduling round: which units start where, and which are stopped for them.

A round is a pure function: it reads the job table, the state of the workers and
the running units, and returns a plan. The owner writes the plan to the ledger
and carries it out.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import types
from typing import NamedTuple

from chervilcove.dispatch import delay_scheduling
from chervilcove.dispatch import headroom
from chervilcove.dispatch import maximums
from chervilcove.dispatch import pending_steps
from chervilcove.dispatch import placement
from chervilcove.dispatch import preemption
from chervilcove.dispatch import ranking
from chervilcove.dispatch import reservations
from chervilcove.dispatch import resources as resource_values
from chervilcove.dispatch import round_input
from chervilcove.dispatch import search_turns
from chervilcove.dispatch import separation
from chervilcove.dispatch import start_gate
from chervilcove.dispatch import victims
from chervilcove.jobs import table

# A step that isn't urgent may use the headroom once its slack falls below the
# larger of two limits. The first one is the time to stop the work in the way
# and as much again. The second one is a share of the initial slack: in replays
# of recorded days with bursts, no more work of the next priority is late with
# it than without headroom.
TIGHT_SLACK_MS = 2_000
TIGHT_SLACK_SHARE = 0.75


class Start(NamedTuple):
    """Decision to start a run of one unit.

    Attributes:
        unit: The unit.
        workers: Id of a worker for each of its tasks.
        slack_ms: Slack of its job at the decision.
        waited_ms: Time since it became eligible.
    """

    unit: table.UnitKey
    workers: tuple[str, ...]
    slack_ms: float
    waited_ms: float


class Plan(NamedTuple):
    """Decisions of a round.

    Attributes:
        starts: Runs to start.
        stops: Runs to stop.
        start_due_since: Since when steps must start soon, in Unix
            milliseconds, by step key: there is room for them, but not on the
            workers that they prefer. Input of the next round.
        headroom: Allocation kept free for urgent work, None for none.
        preemptions: Preemptions that go on, by step key. Input of the next
            round.
        abandoned: Preemptions that were given up.
        search_retry_at: `SearchTurns.retry_at`. Input of the next round.
        held_back: Number of tasks that wait for the maximum of their customer,
            by customer.
        reserved: Workers kept for gangs that wait.
        gated: Number of tasks of the lowest priority that leave room for
            urgent arrivals.
    """

    starts: list[Start]
    stops: list[victims.Stop]
    start_due_since: dict[tuple[str, int, int], int]
    headroom: resource_values.Allocation | None = None
    preemptions: Mapping[tuple[str, int, int], round_input.Preemption] = (
        types.MappingProxyType({})
    )
    abandoned: Sequence[preemption.Abandonment] = ()
    search_retry_at: Mapping[tuple[str, int, int], int] = (
        types.MappingProxyType({})
    )
    held_back: Mapping[str, int] = types.MappingProxyType({})
    reserved: Sequence[reservations.Reservation] = ()
    gated: int = 0


def plan_round(inputs: round_input.RoundInput) -> Plan:
    """Return the plan of one round."""
    with inputs.resources.keep_schedulable():
        return Round(inputs).run()


class Round:
    """One scheduling round; `explanations` observes one.

    Resources allocated to a start, or reserved for a step that waits, are
    released at the end: the owner allocates them again as it carries out the
    plan.
    """

    def __init__(self, inputs: round_input.RoundInput):
        self._inputs = inputs
        self._allocated: list[resource_values.Allocation] = []
        self._starts: list[Start] = []
        self._victims = victims.VictimSearch(inputs)
        self._headroom: resource_values.Allocation | None = None
        self._pending = pending_steps.list_pending_steps(inputs)
        self._search_turns = search_turns.SearchTurns(
            waiting=[pending.step_key for pending in self._pending],
            retry_at=inputs.search_retry_at,
            now_ms=inputs.now_ms,
        )
        self._delays = delay_scheduling.DelayScheduler(inputs, self._pending)
        self._preemptions = preemption.Preemptions(inputs, self._pending)
        self._maximums = maximums.CustomerMaximums(inputs)
        self._gate = start_gate.StartGate(inputs)
        self._neighbours = separation.NeighbourCosts(inputs)
        self._reservations = reservations.Reservations(
            inputs, self._pending, self._victims
        )

    def run(self) -> Plan:
        """Return the plan."""
        first, rest = self._reservations.split(_may_use_headroom)
        try:
            for pending in first:
                with self._reservations.lend(pending):
                    self._schedule(pending)
            self._reserve_headroom()
            for pending in rest:
                with self._reservations.lend(pending):
                    self._schedule_outside_headroom(pending)
        finally:
            if self._headroom is not None:
                self._inputs.resources.release(self._headroom)
            self._preemptions.release_all()
            self._reservations.release_all()
            for allocation in self._allocated:
                self._inputs.resources.release(allocation)
        return Plan(
            self._starts,
            self._victims.stops,
            self._delays.start_due_since,
            self._headroom,
            self._preemptions.active,
            tuple(self._preemptions.abandoned),
            self._search_turns.retry_at,
            dict(self._maximums.held_back),
            tuple(self._reservations.held),
            self._gate.held_back,
        )

    def _reserve_headroom(self) -> None:
        """Reserve resources for the next urgent job."""
        reference = headroom.choose_reference_arrival(
            self._maximums.list_startable(self._inputs.urgent),
            self._inputs.now_ms,
        )
        if reference is None:
            return
        self._headroom = headroom.find_headroom(
            self._inputs.resources, reference
        )
        if self._headroom is not None:
            self._inputs.resources.allocate(self._headroom)

    def _schedule_outside_headroom(
        self, pending: pending_steps.PendingStep
    ) -> None:
        """Schedule a step; it leaves the headroom unless it must start.

        That holds for a step that is overdue, and for lasting tasks, which must
        be restarted however full the pool is.
        """
        must_start = pending.step_spec.is_lasting or (
            self._delays.get_overdue_ms(pending)
            >= delay_scheduling.RACK_PREEMPTION_DELAY_MS
        )
        if self._headroom is None or not must_start:
            self._schedule(pending)
            return
        self._inputs.resources.release(self._headroom)
        self._schedule(pending)
        self._inputs.resources.allocate(self._headroom)

    def _schedule(self, pending: pending_steps.PendingStep) -> None:
        """Schedule the waiting units of a step that don't back off."""
        units = [
            unit
            for unit in pending.job.list_waiting_units(
                pending.occurrence, pending.step
            )
            if not self._inputs.is_backing_off(unit)
        ]
        allowed = None
        if pending.queue.needs_advice:
            allowed = self._inputs.get_grants(pending.step_key)
            if allowed is None:
                return
        # Units that need healthy workers come first, as fewer suit them.
        for requires_healthy in (True, False):
            chosen = [
                unit
                for unit in units
                if self._delays.requires_healthy(pending, unit)
                == requires_healthy
            ]
            if chosen:
                self._schedule_units(
                    pending, chosen, allowed, requires_healthy=requires_healthy
                )

    def _schedule_units(
        self,
        pending: pending_steps.PendingStep,
        units: list[table.UnitKey],
        allowed: frozenset[str] | None,
        *,
        requires_healthy: bool,
    ) -> None:
        """Start units where they fit; preempt or reserve for the others."""
        is_gang = pending.step_spec.is_gang
        count = pending.step_spec.count if is_gang else len(units)
        count = self._limit_count(pending, count)
        count = self._gate.limit_count(pending, count)
        if not count:
            return
        request = placement.PlacementRequest(
            step_key=pending.step_key,
            step=pending.step_spec,
            count=count,
            service=pending.queue.service,
            requires_locality=self._delays.requires_locality(pending),
            allowed=allowed,
            requires_healthy=requires_healthy,
            prefers_fast=pending.rank.prefers_fast,
            costs=self._neighbours.list_costs(pending.step_spec),
        )
        held = self._preemptions.remove(pending.step_key)
        if held is not None and is_gang:
            allocation = self._preemptions.place(pending, held, request)
            if allocation is None:
                self._preemptions.add(pending.step_key, held)
                self._maximums.add_allocation(
                    pending.job.submission.customer, held.allocation
                )
                return
        else:
            allocation = placement.place(self._inputs.resources, request)
        if allocation is not None:
            self._start(pending, units, allocation)
            missing = count - len(allocation.workers)
            if not missing:
                return
            request = request._replace(count=missing)
        self._make_room(pending, request)

    def _make_room(
        self,
        pending: pending_steps.PendingStep,
        request: placement.PlacementRequest,
    ) -> None:
        """Preempt or reserve for tasks that found no room."""
        if pending.rank.may_preempt:
            self._preempt(pending, request)
        elif self._delays.may_preempt_for_rack(pending):
            self._preempt(pending, request, is_for_rack=True)
        else:
            self._reservations.reserve(pending, request)

    def _limit_count(
        self, pending: pending_steps.PendingStep, waiting: int
    ) -> int:
        """Return how many tasks of a step the customer's maximum lets start.

        For work that a guarantee covers, tasks of the same customer that rank
        lower are stopped instead, as both rules hold for it.
        """
        customer = pending.job.submission.customer
        step = pending.step_spec
        count = self._maximums.limit_count(customer, step, waiting)
        if count == waiting:
            return count
        if pending.rank.tier is ranking.Tier.GUARANTEED:
            missing = waiting - count
            excess = self._maximums.get_excess(customer, step.need, waiting)
            self._victims.stop_own(customer, excess, pending.job.id)
            self._maximums.add(customer, step.need, missing)
        held = self._preemptions.remove(pending.step_key)
        if held is not None:
            self._preemptions.abandoned.append(
                preemption.Abandonment(
                    pending.step_key, "the customer is at its maximum"
                )
            )
        return count

    def _start(
        self,
        pending: pending_steps.PendingStep,
        units: list[table.UnitKey],
        allocation: resource_values.Allocation,
    ) -> None:
        self._allocate(allocation)
        self._maximums.add_allocation(
            pending.job.submission.customer, allocation
        )
        self._neighbours.add(pending.step_spec, allocation.workers)
        self._gate.add_start(pending, allocation)
        waited_ms = self._inputs.now_ms - pending.rank.eligible_since_ms
        slack_ms = pending.rank.slack_ms
        if pending.step_spec.is_gang:
            self._starts.append(
                Start(units[0], allocation.workers, slack_ms, waited_ms)
            )
            return
        for unit, worker in zip(units, allocation.workers, strict=False):
            self._starts.append(Start(unit, (worker,), slack_ms, waited_ms))

    def _preempt(
        self,
        pending: pending_steps.PendingStep,
        request: placement.PlacementRequest,
        *,
        is_for_rack: bool = False,
    ) -> None:
        """Stop units to make room for a step.

        A preemption that gets a gang its rack stops single tasks only. Since
        single tasks never preempt for a rack, no two units stop each other in
        turn.
        """
        if not self._may_search(pending):
            return
        found = self._victims.find(pending, request, is_for_rack=is_for_rack)
        self._search_turns.record_search(
            pending.step_key, is_in_vain=found is None
        )
        if found is None:
            return
        self._victims.stop(found.releases, pending.job.id)
        # The tasks start once the victims have ended. Until then no other task
        # of the customer may take what its maximum leaves.
        self._maximums.add_allocation(
            pending.job.submission.customer, found.allocation
        )
        if not request.step.is_gang:
            self._allocate(found.allocation)
            return
        self._preemptions.add(
            pending.step_key,
            round_input.Preemption(
                found.allocation,
                tuple(release.unit for release in found.releases),
                self._inputs.now_ms,
            ),
        )

    def _may_search(self, pending: pending_steps.PendingStep) -> bool:
        """Return whether victims are searched for a step in this round."""
        if pending.rank.tier is ranking.Tier.GUARANTEED:
            return True
        return self._search_turns.may_search(pending.step_key)

    def _allocate(self, allocation: resource_values.Allocation) -> None:
        self._inputs.resources.allocate(allocation)
        self._allocated.append(allocation)


def _may_use_headroom(pending: pending_steps.PendingStep) -> bool:
    """Return whether a step need not leave the headroom to urgent work."""
    rank = pending.rank
    if rank.is_urgent or pending.step_spec.is_lasting:
        return True
    return rank.tier is ranking.Tier.IN_TIME and rank.slack_ms < max(
        TIGHT_SLACK_MS,
        TIGHT_SLACK_SHARE * rank.initial_slack_ms,
    )
