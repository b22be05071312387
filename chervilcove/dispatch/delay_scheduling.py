"""Delay scheduling: how long a step waits for its preferred workers.

Racks are often partly in use. A gang spread over several racks, or a task away
from the rack of its data, takes three times as long and holds its workers for
as long. Such a step is placed elsewhere only when a rule on starts demands it:
a guarantee, or the rule that a step starts within 3 s in which under half of
the pool is in use and there is room for the step twice over.
"""

import collections
from collections.abc import Iterable

from chervilcove.dispatch import pending_steps
from chervilcove.dispatch import ranking
from chervilcove.dispatch import resources as resource_values
from chervilcove.dispatch import round_input
from chervilcove.jobs import specs
from chervilcove.jobs import table

# How long a step waits for its rack while under half of the pool is in use,
# milliseconds; it must start within 3 s then.
LOCALITY_WAIT_MS = 2_000
# After being overdue for this long, a gang may preempt tasks in order to get
# one rack. With the time that the stop takes, it fits into LOCALITY_WAIT_MS.
RACK_PREEMPTION_DELAY_MS = 800
# Time kept for the decision and the start within a guarantee, beside the time
# that the stop of preempted work takes.
RECLAIM_MARGIN_MS = 500
# Room on one worker is counted up to this: twice the tasks of a whole job.
MOST_TASKS = 2 * specs.MAX_TASKS


class DelayScheduler:
    """Decide which steps keep waiting for their preferred workers.

    It reads the state of the workers before any start of the round.

    Args:
        inputs: Input of the round.
        waiting: All steps that wait.

    Attributes:
        start_due_since: Since when a step must start soon, in Unix
            milliseconds, by step key. A step that needn't start soon is absent.
    """

    def __init__(
        self,
        inputs: round_input.RoundInput,
        waiting: Iterable[pending_steps.PendingStep],
    ):
        self._inputs = inputs
        self._half_empty: dict[str, bool] = {}  # by service
        # Number of workers that were looked at for a need, and of the tasks
        # that fit on them, by service, label and need.
        self._room: dict[tuple[str, str, specs.Resources], tuple[int, int]] = {}
        # Racks that could hold a step, by what this depends on.
        self._racks: dict[tuple[str, str, specs.Resources, int], set[str]] = {}
        self.start_due_since = {
            pending.step_key: inputs.start_due_since.get(
                pending.step_key, inputs.now_ms
            )
            for pending in waiting
            if self._must_start_soon(pending)
        }

    def get_overdue_ms(self, pending: pending_steps.PendingStep) -> int:
        """Return for how long a step has had to start, 0 if it needn't."""
        now_ms = self._inputs.now_ms
        return now_ms - self.start_due_since.get(pending.step_key, now_ms)

    def requires_locality(self, pending: pending_steps.PendingStep) -> bool:
        """Return whether a step keeps waiting for the rack that it needs.

        On other racks it takes three times as long, and holds its workers for
        as long. It is placed there only where waiting would break a guarantee,
        where no rack that it may use can hold it, or while much of the pool is
        idle. A rack that only lacks workers that have just left counts as one
        that can.
        """
        step = pending.step_spec
        if not (step.data_rack or (step.same_rack and step.is_gang)):
            return False
        if not (self._has_rack(pending) or self._may_get_rack(pending)):
            return False
        waited_ms = self._inputs.now_ms - pending.rank.eligible_since_ms
        if pending.rank.tier is ranking.Tier.GUARANTEED:
            bounds = self._inputs.bounds
            return waited_ms < bounds.reclaim_ms - 2 * RECLAIM_MARGIN_MS
        if step.is_lasting:
            # It must start however full the pool is.
            return waited_ms < LOCALITY_WAIT_MS
        return self.get_overdue_ms(pending) < LOCALITY_WAIT_MS

    def may_preempt_for_rack(self, pending: pending_steps.PendingStep) -> bool:
        """Return whether a gang may preempt single tasks to get one rack.

        In a pool that is half empty, every rack may run some small tasks. On
        several racks the gang would hold its workers three times as long,
        which costs more than stopping the tasks in its way.
        """
        step = pending.step_spec
        return (
            self.get_overdue_ms(pending) >= RACK_PREEMPTION_DELAY_MS
            and step.is_gang
            and step.same_rack
            and self._has_rack(pending)
        )

    def requires_healthy(
        self, pending: pending_steps.PendingStep, unit: table.UnitKey
    ) -> bool:
        """Return whether a unit keeps waiting for workers without failures.

        Some workers fail part of what they start, for seconds. A unit that has
        failed has few attempts left, and its job earns nothing without it.
        """
        return (
            pending.job.get_unit(unit).failures > 0
            and pending.rank.tier is not ranking.Tier.NO_VALUE
            and self.get_overdue_ms(pending) < LOCALITY_WAIT_MS
        )

    def _must_start_soon(self, pending: pending_steps.PendingStep) -> bool:
        """Return whether a step must start soon, on any workers.

        It must start within 3 s in which under half of the pool is in use and
        there is room for it twice over.
        """
        service = pending.queue.service
        if service not in self._half_empty:
            self._half_empty[service] = self._is_half_empty(service)
        step = pending.step_spec
        twice = 2 * step.count if step.is_gang else 2
        return self._half_empty[service] and self._has_room(pending, twice)

    def _has_room(self, pending: pending_steps.PendingStep, count: int) -> bool:
        """Return whether `count` tasks of a step fit on the workers now."""
        step = pending.step_spec
        candidates = self._inputs.resources.list_schedulable(
            pending.queue.service, step.label
        )
        case = (pending.queue.service, step.label, step.need)
        scanned, total = self._room.get(case, (0, 0))
        # Nothing starts meanwhile, so that the next step with the same need
        # goes on where this one ends.
        while total < count and scanned < len(candidates):
            total += candidates[scanned].count_fitting(step.need, MOST_TASKS)
            scanned += 1
        self._room[case] = (scanned, total)
        return total >= count

    def _has_rack(self, pending: pending_steps.PendingStep) -> bool:
        """Return whether a rack could hold the step if it were empty."""
        step = pending.step_spec
        least = step.count if step.is_gang else 1
        case = (pending.queue.service, step.label, step.need, least)
        if case not in self._racks:
            self._racks[case] = self._list_racks(*case)
        racks = self._racks[case]
        return step.data_rack in racks if step.data_rack else bool(racks)

    def _list_racks(
        self, service: str, label: str, need: specs.Resources, least: int
    ) -> set[str]:
        """Return the racks that could hold `least` tasks if they were empty."""
        fitting: collections.Counter[str] = collections.Counter()
        for one in self._inputs.resources.list_schedulable(service, label):
            fitting[one.worker.rack] += resource_values.count_fitting(
                one.worker.capacity, need, least
            )
        return {rack for rack, count in fitting.items() if count >= least}

    def _may_get_rack(self, pending: pending_steps.PendingStep) -> bool:
        """Return whether a rack could hold the step before workers left.

        Others take their place seconds later, mostly in the same racks.
        """
        step = pending.step_spec
        service = pending.queue.service
        leaving = [
            worker
            for worker in self._inputs.leaving
            if worker.service == service
            and (not step.label or step.label in worker.labels)
            and step.data_rack in ("", worker.rack)
        ]
        if not leaving:
            return False
        least = step.count if step.is_gang else 1
        racks = {worker.rack for worker in leaving}
        staying = [
            one.worker
            for one in self._inputs.resources.list_schedulable(
                service, step.label
            )
            if one.worker.rack in racks
        ]
        # A worker may have come back under its id.
        workers = {worker.id: worker for worker in leaving + staying}
        fitting: collections.Counter[str] = collections.Counter()
        for worker in workers.values():
            fitting[worker.rack] += resource_values.count_fitting(
                worker.capacity, step.need, least
            )
        return max(fitting.values()) >= least

    def _is_half_empty(self, service: str) -> bool:
        candidates = self._inputs.resources.list_schedulable(service, "")
        total = sum(
            candidate.worker.capacity.accelerators for candidate in candidates
        )
        return resource_values.count_free_accelerators(candidates) * 2 > total
