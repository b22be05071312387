"""Preemptions that are carried through.

In a burst, several urgent gangs wait at once, and what runs changes from round
to round. A search that starts anew in each round empties other workers each
time: most stops then made room that the gang never used. A preemption therefore
lasts until its gang starts or it is given up for a stated reason. Its workers
are held for the gang meanwhile, so that other steps are planned around them.
"""

from typing import NamedTuple

from chervilcove.dispatch import pending_steps
from chervilcove.dispatch import placement
from chervilcove.dispatch import resources as resource_values
from chervilcove.dispatch import round_input
from chervilcove.jobs import table

StepKey = tuple[str, int, int]

# A unit that is expected to end by itself within this time isn't stopped: a
# stop takes about as long, and loses all of its work.
END_SOON_S = 0.3
# A preemption is given up if a unit that should end soon takes longer.
MAX_AWAITED_MS = 600
# Time from the end of a unit until the owner knows it.
STOP_MARGIN_MS = 150
# Preemptions are given up after this multiple of the longest time of a stop.
MAX_STOP_TIMES = 3
# Slack that a gang keeps while it waits for its own workers, although it could
# start on others.
MIN_SLACK_MS = 300


class Abandonment(NamedTuple):
    """A preemption that was given up.

    Attributes:
        step_key: Step that it was for.
        reason: Why, for the log.
    """

    step_key: StepKey
    reason: str


class Preemptions:
    """The preemptions of a round, which hold their workers.

    Args:
        inputs: Input of the round.
        waiting: All steps that wait.

    Attributes:
        active: Preemptions that go on after the round, by step.
        abandoned: Preemptions that were given up in this round.
    """

    def __init__(
        self,
        inputs: round_input.RoundInput,
        waiting: list[pending_steps.PendingStep],
    ):
        self._inputs = inputs
        self.active: dict[StepKey, round_input.Preemption] = {}
        self.abandoned: list[Abandonment] = []
        keys = {pending.step_key for pending in waiting}
        for step_key, preemption in inputs.preemptions.items():
            reason = self._find_obstacle(preemption, step_key in keys)
            if reason:
                self.abandoned.append(Abandonment(step_key, reason))
            else:
                self.add(step_key, preemption)

    def add(
        self, step_key: StepKey, preemption: round_input.Preemption
    ) -> None:
        """Hold the workers of a preemption from now on."""
        self.active[step_key] = preemption
        self._inputs.resources.allocate(preemption.allocation)

    def remove(self, step_key: StepKey) -> round_input.Preemption | None:
        """Release the workers of a step's preemption; return it, if any."""
        preemption = self.active.pop(step_key, None)
        if preemption is not None:
            self._inputs.resources.release(preemption.allocation)
        return preemption

    def release_all(self) -> None:
        """Release all workers, at the end of the round."""
        for preemption in self.active.values():
            self._inputs.resources.release(preemption.allocation)

    def place(
        self,
        pending: pending_steps.PendingStep,
        preemption: round_input.Preemption,
        request: placement.PlacementRequest,
    ) -> resource_values.Allocation | None:
        """Return workers for a step whose preemption was removed.

        Those that were emptied for it are preferred. The step waits for them
        while it can still end in time, as others may need the free ones.
        """
        own = set(preemption.allocation.workers)
        allowed = own if request.allowed is None else own & request.allowed
        found = placement.place(
            self._inputs.resources, request._replace(allowed=frozenset(allowed))
        )
        if found is not None:
            return found
        if self._may_wait(pending, preemption):
            return None
        return placement.place(self._inputs.resources, request)

    def _may_wait(
        self,
        pending: pending_steps.PendingStep,
        preemption: round_input.Preemption,
    ) -> bool:
        waited_ms = self._inputs.now_ms - preemption.since_ms
        return (
            waited_ms < self._inputs.bounds.stop_ms + STOP_MARGIN_MS
            and pending.rank.slack_ms > MIN_SLACK_MS
        )

    def _find_obstacle(
        self, preemption: round_input.Preemption, is_waiting: bool
    ) -> str:
        """Return why a preemption is given up, empty if it goes on."""
        if not is_waiting:
            return "the step no longer waits"
        waited_ms = self._inputs.now_ms - preemption.since_ms
        if waited_ms > MAX_STOP_TIMES * self._inputs.bounds.stop_ms:
            return "the stops take too long"
        by_worker = self._inputs.resources.by_worker
        for worker in preemption.allocation.workers:
            one = by_worker.get(worker)
            if one is None or not one.is_schedulable:
                return f"worker {worker} is not available"
        units = self._list_units_in_the_way(preemption)
        if waited_ms > MAX_AWAITED_MS:
            for unit in units:
                if not self._inputs.running[unit].is_stopping:
                    return f"unit {unit.format()} did not end"
        if not self._will_fit(preemption, units):
            return "the room was taken"
        return ""

    def _list_units_in_the_way(
        self, preemption: round_input.Preemption
    ) -> list[table.UnitKey]:
        """Return the victims that still hold workers of the preemption.

        A victim that runs again does so elsewhere.
        """
        held = set(preemption.allocation.workers)
        return [
            unit
            for unit in preemption.victims
            if (running := self._inputs.running.get(unit)) is not None
            and not held.isdisjoint(running.allocation.workers)
        ]

    def _will_fit(
        self, preemption: round_input.Preemption, units: list[table.UnitKey]
    ) -> bool:
        """Return whether all tasks fit once `units` have ended."""
        resources = self._inputs.resources
        victims = [self._inputs.running[unit].allocation for unit in units]
        resources.allocate(preemption.allocation)
        for allocation in victims:
            resources.release(allocation)
        fits = all(
            min(resources.by_worker[worker].free) >= 0
            for worker in preemption.allocation.workers
        )
        for allocation in victims:
            resources.allocate(allocation)
        resources.release(preemption.allocation)
        return fits
