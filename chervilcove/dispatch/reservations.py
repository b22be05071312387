"""Reservations: workers kept for gangs that wait, with backfill.

Small tasks start in each gap of a full pool, so that a gang of a dozen large
tasks never finds room and starts after half a minute. Gangs that have waited
longest therefore reserve the workers that become free first, by the expected
ends of what runs. Other work that isn't urgent starts there only if it is
expected to end before the gang can start, or if there is room beside the gang.

Reservations are computed anew in each round, before the work that they hold
back. Workers that have been emptied for a gang are then again those that are
free first, so no state is kept between rounds.
"""

import bisect
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import functools
import operator
from typing import NamedTuple

from chervilcove.dispatch import pending_steps
from chervilcove.dispatch import placement
from chervilcove.dispatch import ranking
from chervilcove.dispatch import release_search
from chervilcove.dispatch import resources as resource_values
from chervilcove.dispatch import round_input
from chervilcove.dispatch import search_windows
from chervilcove.dispatch import victims
from chervilcove.dispatch import worker_units
from chervilcove.jobs import specs

# Share of its slack that a step uses up before workers are reserved for it.
RESERVE_AFTER_SHARE = 0.4
# Steps with reserved workers at a time that are reserved for by slack.
MAX_STARVING = 2
# Wait of a gang before it gets a reservation. Gangs that find room within a few
# rounds need none.
RESERVE_AFTER_MS = 500
# Gangs with a reservation by their wait; bounds the idle workers and the cost
# of a round.
MAX_GANGS = 6
# Workers that the searches of one round look at; bounds its cost. All gangs of
# 176 workers have a search, two gangs of a thousand workers.
MAX_SEARCHED_WORKERS = 1_100
# A reservation for a later time would keep workers idle for longer than the
# wait that callers accept (gangs are to start within 5 s at p90).
MAX_READY_S = 5.0
# Backfilled work must be expected to end this many times sooner, as declared
# durations are off by a factor of 2.
BACKFILL_MARGIN = 1.5
_INFINITY = float("inf")
_get_end = operator.itemgetter(0)


class Reservation(NamedTuple):
    """Workers kept for a gang.

    Attributes:
        allocation: A worker for each task.
        ready_s: Seconds until all tasks are expected to fit.
        is_lent: Whether other work may use the workers meanwhile.
    """

    allocation: resource_values.Allocation
    ready_s: float
    is_lent: bool = False


class ExpectedEnds:
    """Expected ends of what runs on each worker.

    Args:
        inputs: Input of the round.
        units: Units by worker.
    """

    def __init__(
        self,
        inputs: round_input.RoundInput,
        units: worker_units.WorkerUnits,
    ):
        self._inputs = inputs
        self._units = units
        # Ends on each worker that was looked at, in order.
        self._by_worker: dict[str, list[tuple[float, specs.Resources]]] = {}
        # Slot times by worker, need, limit and what was free.
        self._slot_times: dict[tuple, list[float]] = {}

    def list_slot_times(
        self,
        one: resource_values.WorkerResources,
        request: placement.PlacementRequest,
    ) -> list[float]:
        """Return when each task of a request fits on a worker, in seconds."""
        need = request.step.need
        limit = min(
            placement.limit_tasks(one, request),
            resource_values.count_fitting(
                one.worker.capacity, need, request.count
            ),
        )
        key = (one.worker.id, need, limit, one.free)
        if key not in self._slot_times:
            self._slot_times[key] = self._compute_slot_times(one, need, limit)
        return self._slot_times[key]

    def _compute_slot_times(
        self,
        one: resource_values.WorkerResources,
        need: specs.Resources,
        limit: int,
    ) -> list[float]:
        cpu, memory_mb, accelerators = one.free
        times = [0.0] * resource_values.count_fitting(one.free, need, limit)
        count = len(times)
        if count == limit:
            return times
        for end_s, ended in self._list_ends(one.worker.id):
            cpu += ended.cpu
            memory_mb += ended.memory_mb
            accelerators += ended.accelerators
            while (
                cpu >= need.cpu * (count + 1)
                and memory_mb >= need.memory_mb * (count + 1)
                and accelerators >= need.accelerators * (count + 1)
            ):
                times.append(end_s)
                count += 1
                if count == limit:
                    return times
        return times

    def _list_ends(self, worker: str) -> list[tuple[float, specs.Resources]]:
        """Return the ends on a worker and what they release, in order."""
        ends = self._by_worker.get(worker)
        if ends is None:
            ends = []
            for unit in self._units.list_units(worker):
                running = self._inputs.running[unit]
                if running.remaining_s == _INFINITY:
                    continue
                allocation = running.allocation
                workers = allocation.workers
                count = 1 if len(workers) == 1 else workers.count(worker)
                ends += [(running.remaining_s, allocation.need)] * count
            ends.sort(key=_get_end)
            self._by_worker[worker] = ends
        return ends


def find_reservation(
    resources: resource_values.FleetResources,
    request: placement.PlacementRequest,
    ends: ExpectedEnds,
) -> Reservation | None:
    """Return the workers that are free first for all tasks of a request.

    Returns:
        None if they don't fit once all that ends has ended.
    """
    best = None
    pools = release_search.list_pools(
        placement.list_eligible(resources, request), request
    )
    # The same workers in each round, so that they get free for the step.
    turn = search_windows.get_fixed_turn(request.step_key)
    for pool in search_windows.limit_pools(pools, request, turn):
        slots = sorted(
            (time_s, one.worker.id)
            for one in pool
            for time_s in ends.list_slot_times(one, request)
        )[: request.count]
        if len(slots) < request.count:
            continue
        ready_s = slots[-1][0]
        if best is None or ready_s < best.ready_s:
            allocation = resource_values.Allocation(
                request.step_key,
                request.step.need,
                tuple(worker for _, worker in slots),
            )
            best = Reservation(allocation, ready_s)
    return best


class Reservations:
    """Reservations of one round.

    Args:
        inputs: Input of the round.
        waiting: All steps that wait, in their order.
        search: Finds workers where `fleet.save_s` isn't set.

    Attributes:
        held: Reservations that hold their workers.
    """

    def __init__(
        self,
        inputs: round_input.RoundInput,
        waiting: list[pending_steps.PendingStep],
        search: victims.VictimSearch,
    ):
        self._victims = search
        self._inputs = inputs
        self._waiting = waiting
        self._starving_count = 0
        self._searched_count = 0
        self.held: list[Reservation] = []
        gangs = sorted(
            (one for one in waiting if self._is_waiting_gang(one)),
            key=lambda one: (one.rank.eligible_since_ms, one.step_key),
        )
        self._gangs = gangs[:MAX_GANGS]

    @functools.cached_property
    def _ends(self) -> ExpectedEnds:
        return ExpectedEnds(self._inputs, self._victims.units)

    def split(
        self, may_use_headroom: Callable[[pending_steps.PendingStep], bool]
    ) -> tuple[
        list[pending_steps.PendingStep], list[pending_steps.PendingStep]
    ]:
        """Return the steps before and after the headroom, in their order.

        Gangs with a reservation follow the urgent work, and the headroom unless
        they may use it: without that, urgent gangs were late on a recorded day.
        """
        keys = {one.step_key for one in self._gangs}
        others = [one for one in self._waiting if one.step_key not in keys]
        count = 0
        while count < len(others) and may_use_headroom(others[count]):
            count += 1
        urgent = bisect.bisect_right(
            others, ranking.Tier.URGENT_LATE, key=lambda one: one.rank.tier
        )
        tight = [one for one in self._gangs if may_use_headroom(one)]
        loose = [one for one in self._gangs if not may_use_headroom(one)]
        first = others[:urgent] + tight + others[urgent:count]
        return first, loose + others[max(urgent, count) :]

    def reserve(
        self,
        pending: pending_steps.PendingStep,
        request: placement.PlacementRequest,
    ) -> None:
        """Reserve the workers that become free first, if the step may."""
        is_gang = any(one.step_key == pending.step_key for one in self._gangs)
        if not (is_gang or self._is_starving(pending)):
            return
        if self._searched_count >= MAX_SEARCHED_WORKERS:
            return
        self._searched_count += len(self._inputs.resources.by_worker)
        if not request.step.is_gang:
            request = request._replace(count=1)
        if self._inputs.bounds.checkpoints.save_s:
            found = find_reservation(
                self._inputs.resources, request, self._ends
            )
        else:
            ends = self._victims.find_first_ends(request)
            found = ends and Reservation(ends.allocation, ends.cost)
        if found is None or (is_gang and found.ready_s > MAX_READY_S):
            return
        self._starving_count += not is_gang
        self._inputs.resources.allocate(found.allocation)
        self.held.append(found._replace(is_lent=is_gang))

    def list_lent(
        self, pending: pending_steps.PendingStep
    ) -> list[Reservation]:
        """Return the reservations whose workers a step may use."""
        if not self.held or pending.step_spec.is_lasting:
            return []
        end_s = BACKFILL_MARGIN * pending_steps.estimate_duration_s(
            self._inputs, pending
        )
        is_gang = pending.step_spec.is_gang
        return [
            one
            for one in self.held
            if one.is_lent and (one.ready_s > end_s or is_gang)
        ]

    @contextlib.contextmanager
    def lend(self, pending: pending_steps.PendingStep) -> Iterator[None]:
        """Let a step use the reserved workers that it leaves early enough.

        Gangs use each other's workers: one that fits now would otherwise wait
        for a larger one, and more of them were late in replays.
        """
        resources = self._inputs.resources
        lent = self.list_lent(pending)
        for one in lent:
            resources.release(one.allocation)
        try:
            yield
        finally:
            for one in lent:
                resources.allocate(one.allocation)

    def release_all(self) -> None:
        """Release all workers, at the end of the round."""
        for one in self.held:
            self._inputs.resources.release(one.allocation)

    def _is_waiting_gang(self, pending: pending_steps.PendingStep) -> bool:
        rank = pending.rank
        waited_ms = self._inputs.now_ms - rank.eligible_since_ms
        # On a recorded day of a deployment without the times of checkpoints,
        # more urgent jobs were late with reservations than without.
        return (
            self._inputs.contention.reserves_for_gangs
            and self._inputs.bounds.checkpoints.save_s > 0
            and pending.step_spec.is_gang
            and not pending.step_spec.is_lasting
            and rank.tier in (ranking.Tier.IN_TIME, ranking.Tier.LATE)
            and waited_ms >= RESERVE_AFTER_MS
        )

    def _is_starving(self, pending: pending_steps.PendingStep) -> bool:
        rank = pending.rank
        share = 1.0 - rank.slack_ms / max(1.0, rank.initial_slack_ms)
        return (
            self._starving_count < MAX_STARVING and share >= RESERVE_AFTER_SHARE
        )
