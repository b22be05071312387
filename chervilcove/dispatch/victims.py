"""Victims: which running units end so that a step can start.

Urgent work pays only if it costs other callers less than it earns. What a stop
costs is the work that is lost; what a job is worth is taken from its own
declared work, and so it is the same on every deployment.
"""

import functools
from typing import NamedTuple

from chervilcove.dispatch import delay_scheduling
from chervilcove.dispatch import pending_steps
from chervilcove.dispatch import placement
from chervilcove.dispatch import preemption
from chervilcove.dispatch import ranking
from chervilcove.dispatch import release_index
from chervilcove.dispatch import release_search
from chervilcove.dispatch import round_input
from chervilcove.dispatch import search_windows
from chervilcove.dispatch import worker_units
from chervilcove.jobs import specs
from chervilcove.jobs import table

# Work that may be discarded for an urgent job, as a multiple of what the job is
# worth in core-seconds of its queue. Other work earns less a core-second. More
# is discarded only if a guarantee would otherwise be broken.
MAX_LOSS_SHARE = 1.0
# Part of the worth of a job that doesn't depend on its size, as a share of the
# mean of its queue, by the payoff rules.
BASE_JOB_VALUE = 0.3
_INFINITY = float("inf")


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


class VictimSearch:
    """Choose victims in one round.

    Args:
        inputs: Input of the round.

    Attributes:
        stops: Decisions to stop units, in their order.
        units: Units by worker.
    """

    def __init__(self, inputs: round_input.RoundInput):
        self._inputs = inputs
        self._stopped: set[table.UnitKey] = set()
        self.units = worker_units.WorkerUnits(inputs)
        self.stops: list[Stop] = []

    def find(
        self,
        pending: pending_steps.PendingStep,
        request: placement.PlacementRequest,
        *,
        is_for_rack: bool,
    ) -> release_search.ReleasePlan | None:
        """Return the units whose end makes room for a step.

        Units that are stopping already cost nothing, nor do those that are
        expected to end as soon.

        Returns:
            None if there is no such set, or if it costs too much.
        """
        found = release_search.find_release_plan(
            self._inputs.resources,
            request,
            self._rack_index if is_for_rack else self._index,
            # The whole pool is searched for what a guarantee covers.
            turn=None
            if pending.rank.tier is ranking.Tier.GUARANTEED
            else search_windows.get_turn(self._inputs.now_ms),
        )
        if found is None or self._must_start_now(pending):
            return found
        if is_for_rack:
            # On several racks the gang takes three times as long, so it would
            # use up its declared work twice more.
            max_loss = pending_steps.compute_declared_work(pending.job.spec)
        else:
            max_loss = MAX_LOSS_SHARE * self._compute_value(pending)
        return found if found.cost <= max_loss else None

    def find_first_ends(
        self, request: placement.PlacementRequest
    ) -> release_search.ReleasePlan | None:
        """Return the units that make room for a step by their own ends."""
        return release_search.find_release_plan(
            self._inputs.resources,
            request,
            self._end_index,
            turn=search_windows.get_fixed_turn(request.step_key),
        )

    def stop(
        self, releases: tuple[release_index.ReleaseCandidate, ...], job: str
    ) -> None:
        """Stop units for a job, but for those that end as soon anyway."""
        for release in releases:
            running = self._inputs.running[release.unit]
            if not (self._is_stopping(release.unit) or _ends_soon(running)):
                self._stopped.add(release.unit)
                loss = running.compute_loss()
                self.stops.append(Stop(release.unit, job, loss))
            for index in (self._index, self._rack_index):
                index.set_free(release.unit)

    def stop_own(
        self, customer: str, excess: specs.Resources, job: str
    ) -> None:
        """Stop tasks of a customer that hold it at its maximum.

        Units that are stopping already count. Lasting and urgent units are
        left alone.

        Args:
            customer: Name of the customer.
            excess: What must end, 0 where nothing must.
            job: Job of the customer that its guarantee covers.
        """
        customers = {
            one.id: one.submission.customer for one in self._inputs.jobs
        }
        own = [
            unit
            for unit in self._inputs.running
            if customers.get(unit.job) == customer
        ]
        missing = excess
        for unit in own:
            if self._is_stopping(unit):
                missing = self._subtract(missing, unit)
        for unit in sorted(own, key=self._compute_cost):
            if not any(missing):
                return
            running = self._inputs.running[unit]
            if (
                self._is_stopping(unit)
                or running.is_urgent
                or running.remaining_s == _INFINITY
                or not any(
                    least and each
                    for least, each in zip(
                        missing, running.allocation.need, strict=True
                    )
                )
            ):
                continue
            self._stopped.add(unit)
            self.stops.append(Stop(unit, job, running.compute_loss()))
            missing = self._subtract(missing, unit)

    def _subtract(
        self, missing: specs.Resources, unit: table.UnitKey
    ) -> specs.Resources:
        """Return what else must end besides a unit."""
        allocation = self._inputs.running[unit].allocation
        count = len(allocation.workers)
        return specs.Resources(
            *(
                max(0, least - each * count)
                for least, each in zip(missing, allocation.need, strict=True)
            )
        )

    @functools.cached_property
    def _index(self) -> release_index.ReleaseIndex:
        """Units that may be stopped for urgent steps."""
        return self._build_index(is_for_rack=False)

    @functools.cached_property
    def _rack_index(self) -> release_index.ReleaseIndex:
        """Units that may be stopped so that a gang gets its rack."""
        return self._build_index(is_for_rack=True)

    @functools.cached_property
    def _end_index(self) -> release_index.ReleaseIndex:
        """All units, by their expected ends."""

        def describe(unit: table.UnitKey) -> release_index.ReleaseCandidate:
            running = self._inputs.running[unit]
            return release_index.ReleaseCandidate(
                unit, running.allocation, running.remaining_s
            )

        return release_index.ReleaseIndex(
            list_units=self.units.list_units, describe=describe
        )

    def _build_index(self, *, is_for_rack: bool) -> release_index.ReleaseIndex:
        stopped = frozenset(self._stopped)

        def describe(
            unit: table.UnitKey,
        ) -> release_index.ReleaseCandidate | None:
            running = self._inputs.running[unit]
            allocation = running.allocation
            if unit in stopped or running.is_stopping:
                return release_index.ReleaseCandidate(unit, allocation, 0.0)
            if (
                running.is_urgent
                or running.remaining_s == _INFINITY
                or (is_for_rack and len(allocation.workers) > 1)
            ):
                return None
            return release_index.ReleaseCandidate(
                unit, allocation, _compute_stop_cost(running)
            )

        return release_index.ReleaseIndex(
            list_units=self.units.list_units, describe=describe
        )

    def _compute_cost(self, unit: table.UnitKey) -> float:
        """Return the core-seconds that are lost if a unit must end now."""
        if self._is_stopping(unit):
            return 0.0
        return _compute_stop_cost(self._inputs.running[unit])

    def _compute_value(self, pending: pending_steps.PendingStep) -> float:
        """Return what a job is worth, in core-seconds of its queue."""
        work = pending_steps.compute_declared_work(pending.job.spec)
        mean = self._inputs.mean_work.get(pending.queue.name, 0.0) or work
        return BASE_JOB_VALUE * mean + (1 - BASE_JOB_VALUE) * work

    def _must_start_now(self, pending: pending_steps.PendingStep) -> bool:
        """Return whether waiting longer would break a guarantee."""
        if pending.rank.tier is not ranking.Tier.GUARANTEED:
            return False
        bounds = self._inputs.bounds
        waited_ms = self._inputs.now_ms - pending.rank.eligible_since_ms
        margin_ms = 2 * delay_scheduling.RECLAIM_MARGIN_MS
        return waited_ms >= bounds.reclaim_ms - bounds.stop_ms - margin_ms

    def _is_stopping(self, unit: table.UnitKey) -> bool:
        return unit in self._stopped or self._inputs.running[unit].is_stopping


def _compute_stop_cost(running: round_input.RunningUnit) -> float:
    """Return the core-seconds lost if a unit that isn't stopping must end.

    A unit that was preempted before counts more, so that no unit is stopped
    again and again.
    """
    if _ends_soon(running):
        return 0.0
    return running.compute_loss() * (1 + running.stop_count)


def _ends_soon(running: round_input.RunningUnit) -> bool:
    """Return whether a unit ends about as soon as if it were stopped."""
    return running.remaining_s <= preemption.END_SOON_S
