"""Scheduling round: which units start where, and which are stopped for them.

A round is a pure function: it reads the job table, the state of the workers and
the running units, and returns a plan. The owner writes the plan to the ledger
and carries it out.
"""

import itertools
from typing import NamedTuple

from chervilcove.dispatch import delay_scheduling
from chervilcove.dispatch import headroom
from chervilcove.dispatch import pending_steps
from chervilcove.dispatch import placement
from chervilcove.dispatch import preemption
from chervilcove.dispatch import ranking
from chervilcove.dispatch import resources as resource_values
from chervilcove.dispatch import round_input
from chervilcove.jobs import table

# Most work that may be discarded for an urgent job of mean size. At the price
# of 0.0023 a core-second, it costs a third of what the job earns more by ending
# in time. More is discarded only if a guarantee would otherwise be broken.
MAX_LOST_CORE_SECONDS = 450.0
# Value of a job against the mean of its queue, from its work against the mean:
# the base for a job without work, and the upper bound, by the payoff rules.
BASE_JOB_VALUE = 0.3
MAX_JOB_VALUE = 4.0
# Share of its slack that a step uses up before workers are reserved for it.
RESERVE_AFTER_SHARE = 0.4
# Steps with reserved workers at a time; bounds the idle workers.
MAX_RESERVATIONS = 2
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


class Stop(NamedTuple):
    """Decision to stop a run for the sake of another job.

    Attributes:
        unit: The unit to stop.
        beneficiary: Id of the job that gets the resources.
        loss: Core-seconds of work lost.
    """

    unit: table.UnitKey
    beneficiary: str
    loss: float


class Plan(NamedTuple):
    """Decisions of a round.

    Attributes:
        starts: Runs to start.
        stops: Runs to stop.
        start_due_since: Since when steps must start soon, in Unix
            milliseconds, by step key: there is room for them, but not on the
            workers that they prefer. Input of the next round.
        headroom: Allocation kept free for urgent work, None for none.
    """

    starts: list[Start]
    stops: list[Stop]
    start_due_since: dict[tuple[str, int, int], int]
    headroom: resource_values.Allocation | None = None


def plan_round(inputs: round_input.RoundInput) -> Plan:
    """Return the plan of one round."""
    return _Round(inputs).run()


class _Round:
    """One scheduling round.

    Resources allocated to a start, or reserved for a step that waits, are
    released at the end: the owner allocates them again as it carries out the
    plan.
    """

    def __init__(self, inputs: round_input.RoundInput):
        self._inputs = inputs
        self._allocated: list[resource_values.Allocation] = []
        self._starts: list[Start] = []
        self._stops: list[Stop] = []
        self._stopped: set[table.UnitKey] = set()
        self._reservations = 0
        self._headroom: resource_values.Allocation | None = None
        self._pending = pending_steps.list_pending_steps(inputs)
        self._delays = delay_scheduling.DelayScheduler(inputs, self._pending)

    def run(self) -> Plan:
        """Return the plan."""
        first = list(itertools.takewhile(_may_use_headroom, self._pending))
        rest = self._pending[len(first) :]
        try:
            for pending in first:
                self._schedule(pending)
            self._reserve_headroom()
            for pending in rest:
                self._schedule_outside_headroom(pending)
        finally:
            if self._headroom is not None:
                self._inputs.resources.release(self._headroom)
            for allocation in self._allocated:
                self._inputs.resources.release(allocation)
        return Plan(
            self._starts,
            self._stops,
            self._delays.start_due_since,
            self._headroom,
        )

    def _reserve_headroom(self) -> None:
        """Reserve resources for the next urgent job."""
        reference = headroom.choose_reference_arrival(
            self._inputs.urgent, self._inputs.now_ms
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
        """Schedule a step; it may use the headroom only if it is overdue."""
        is_overdue = (
            self._delays.get_overdue_ms(pending)
            >= delay_scheduling.RACK_PREEMPTION_DELAY_MS
        )
        if self._headroom is None or not is_overdue:
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
        request = placement.PlacementRequest(
            step_key=pending.step_key,
            step=pending.step_spec,
            count=pending.step_spec.count if is_gang else len(units),
            service=pending.queue.service,
            requires_locality=self._delays.requires_locality(pending),
            allowed=allowed,
            requires_healthy=requires_healthy,
        )
        allocation = placement.place(self._inputs.resources, request)
        if allocation is not None:
            self._start(pending, units, allocation)
            missing = 0 if is_gang else len(units) - len(allocation.workers)
            if not missing:
                return
            request = request._replace(count=missing)
        if pending.rank.tier in (ranking.Tier.GUARANTEED, ranking.Tier.URGENT):
            self._preempt(pending, request)
        elif self._delays.may_preempt_for_rack(pending):
            self._preempt(pending, request, is_for_rack=True)
        else:
            self._reserve_for_starving(pending, request)

    def _start(
        self,
        pending: pending_steps.PendingStep,
        units: list[table.UnitKey],
        allocation: resource_values.Allocation,
    ) -> None:
        self._allocate(allocation)
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

        Units that are stopping already cost nothing; the workers that they
        free stay reserved for the step.

        A preemption that gets a gang its rack stops single tasks only. Since
        single tasks never preempt for a rack, no two units stop each other in
        turn.
        """
        candidates = sorted(
            (
                preemption.ReleaseCandidate(
                    unit,
                    running.allocation,
                    0.0 if self._is_stopping(unit) else running.compute_loss(),
                )
                for unit, running in self._inputs.running.items()
                if self._is_stopping(unit)
                or not (
                    running.is_urgent
                    or self._is_lasting(unit)
                    or (is_for_rack and len(running.allocation.workers) > 1)
                )
            ),
            key=lambda candidate: (candidate.cost, candidate.unit.format()),
        )
        found = preemption.find_release_plan(
            self._inputs.resources, request, candidates
        )
        if found is None:
            return
        loss = sum(release.cost for release in found.releases)
        if is_for_rack:
            # On several racks the gang takes three times as long, so it would
            # use up its declared work twice more.
            max_loss = pending_steps.compute_declared_work(pending.job.spec)
        else:
            max_loss = MAX_LOST_CORE_SECONDS * self._compute_value(pending)
        if loss > max_loss and not self._must_start_now(pending):
            return
        for release in found.releases:
            if not self._is_stopping(release.unit):
                self._stopped.add(release.unit)
                self._stops.append(
                    Stop(release.unit, pending.job.id, release.cost)
                )
        self._allocate(found.allocation)

    def _compute_value(self, pending: pending_steps.PendingStep) -> float:
        """Return the value of a job against the mean of its queue."""
        mean = self._inputs.mean_work.get(pending.queue.name, 0.0)
        if mean <= 0.0:
            return 1.0
        share = pending_steps.compute_declared_work(pending.job.spec) / mean
        return min(BASE_JOB_VALUE + (1 - BASE_JOB_VALUE) * share, MAX_JOB_VALUE)

    def _must_start_now(self, pending: pending_steps.PendingStep) -> bool:
        """Return whether waiting longer would break a guarantee."""
        if pending.rank.tier is not ranking.Tier.GUARANTEED:
            return False
        bounds = self._inputs.bounds
        waited_ms = self._inputs.now_ms - pending.rank.eligible_since_ms
        margin_ms = 2 * delay_scheduling.RECLAIM_MARGIN_MS
        return waited_ms >= bounds.reclaim_ms - bounds.stop_ms - margin_ms

    def _reserve_for_starving(
        self,
        pending: pending_steps.PendingStep,
        request: placement.PlacementRequest,
    ) -> None:
        """Reserve the workers that become free first for a starving step."""
        rank = pending.rank
        share = 1.0 - rank.slack_ms / max(1.0, rank.initial_slack_ms)
        if self._reservations >= MAX_RESERVATIONS or (
            share < RESERVE_AFTER_SHARE
        ):
            return
        if not request.step.is_gang:
            request = request._replace(count=1)
        candidates = sorted(
            (
                preemption.ReleaseCandidate(
                    unit, running.allocation, running.remaining_s
                )
                for unit, running in self._inputs.running.items()
            ),
            key=lambda candidate: (candidate.cost, candidate.unit.format()),
        )
        found = preemption.find_release_plan(
            self._inputs.resources, request, candidates
        )
        if found is not None:
            self._reservations += 1
            self._allocate(found.allocation)

    def _allocate(self, allocation: resource_values.Allocation) -> None:
        self._inputs.resources.allocate(allocation)
        self._allocated.append(allocation)

    def _is_stopping(self, unit: table.UnitKey) -> bool:
        return unit in self._stopped or self._inputs.running[unit].is_stopping

    def _is_lasting(self, unit: table.UnitKey) -> bool:
        running = self._inputs.running[unit]
        return running.remaining_s == float("inf")


def _may_use_headroom(pending: pending_steps.PendingStep) -> bool:
    """Return whether a step need not leave the headroom to urgent work."""
    rank = pending.rank
    if rank.is_urgent or pending.step_spec.is_lasting:
        return True
    return rank.tier is ranking.Tier.IN_TIME and rank.slack_ms < max(
        TIGHT_SLACK_MS,
        TIGHT_SLACK_SHARE * rank.initial_slack_ms,
    )
