"""The pool of workers with its allocations, slots and observations."""

from collections.abc import Iterable
from typing import Any

from chervilcove.customers import guarantees
from chervilcove.customers import schema as customers
from chervilcove.scheduling import bindings
from chervilcove.scheduling import core
from chervilcove.scheduling import health
from chervilcove.scheduling import history
from chervilcove.scheduling import usage as usages
from chervilcove.scheduling import worker_states
from chervilcove.topology import cells
from chervilcove.topology import packing


class GangAllocation:
    """Resources that one gang holds.

    Attributes:
        gang: The gang.
        by_worker: Resources on each configured worker.
        in_slot: Whether the gang runs in its slot.
        is_nonpreemptible: Whether it is never preempted for others.
        accelerators: Number of accelerators that it holds.
    """

    def __init__(self, *, gang: core.Gang):
        self.gang = gang
        self.by_worker: bindings.WorkerAllocations = {}
        self.in_slot = False
        self.is_nonpreemptible = False
        self.accelerators = sum(p.mask.bit_count() for p in gang.places)


class Pool:
    """Track the gangs that hold places on the configured workers.

    A gang in its slot is non-preemptible. So is a gang that is not idempotent:
    it must not run twice, so it is pinned and its places are unavailable to
    every guarantee. All other gangs borrow; guarantees ignore their places,
    because borrowed work can be preempted.

    Attributes:
        configuration: The configuration in force.
        gangs: Gangs by job.
        ending: Gangs by job that hold no places any more, but may still run.
        history: Run times learned from gangs that ended.
        health: Failures of workers and jobs.
        version: Grows with every change but `allocate` and `release`.
        allocations: Allocations by job, those of `allocate` included.
        bindings: Bound and unbound slots, with the supply for the latter.
        usage: Resources in use by customer, those of `ending` included.
        team_usage: Accelerators in use by (customer, team).
        borrowed: Accelerators held outside slots, by customer.
        displaced: Jobs with places on workers that were removed from the
            configuration or are out of service.
        workers_by_rack: Worker states by data centre and rack.
        buckets: Usable worker states by data centre and size of the largest
            free cell, then by index.
    """

    def __init__(self, *, configuration: customers.Configuration):
        self.configuration = configuration
        self.gangs: dict[str, core.Gang] = {}
        self.ending: dict[str, core.Gang] = {}
        self.history = history.History()
        self.health = health.Health()
        self.version = 0
        self._unhealthy: set[str] = set()
        self._workers: dict[str, worker_states.WorkerState] = {}
        self.set_configuration(configuration)

    def set_configuration(self, configuration: customers.Configuration) -> None:
        """Apply a new configuration; gangs keep their places."""
        self.configuration = configuration
        self.version += 1
        self._unhealthy &= set(configuration["workers"])
        self.health.retain_workers(configuration["workers"])
        self._workers = {}
        for index, config in enumerate(configuration["workers"].values()):
            state = worker_states.WorkerState(index=index, config=config)
            state.healthy = self._is_healthy(state.name)
            centre = configuration["data_centres"].get(state.data_centre)
            state.in_service = centre is not None and centre["in_service"]
            self._workers[state.name] = state
        self.bindings = bindings.Bindings(
            slots=guarantees.list_slots(configuration),
            workers=list(self._workers.values()),
        )
        self.allocations: dict[str, GangAllocation] = {}
        self.usage = usages.CustomerUsage()
        self.team_usage: dict[tuple[str, str], int] = {}
        self.borrowed: dict[str, int] = {}
        self.displaced: dict[str, None] = {}
        self.workers_by_rack: dict[
            str, dict[str, list[worker_states.WorkerState]]
        ] = {}
        self.buckets: dict[
            str, dict[int, dict[int, worker_states.WorkerState]]
        ] = {}
        for state in self._workers.values():
            racks = self.workers_by_rack.setdefault(state.data_centre, {})
            racks.setdefault(state.rack, []).append(state)
            sizes = (0, *cells.CELL_SIZES)
            empty: dict[int, dict[int, worker_states.WorkerState]] = {
                s: {} for s in sizes
            }
            self.buckets.setdefault(state.data_centre, empty)
            self._update_bucket(state)
        for gang in sorted(self.gangs.values(), key=_get_placement_order):
            self.allocate(gang)
        for gang in self.ending.values():
            self.usage.add(gang)

    def add_gang(self, gang: core.Gang) -> None:
        """Add `gang` and allocate its places."""
        self.version += 1
        self.remove_gang(gang.job)
        self.gangs[gang.job] = gang
        self.allocate(gang)

    def remove_gang(self, job: str) -> core.Gang | None:
        """Free the places of `job` and return its gang, None if it has none."""
        self.version += 1
        gang = self.gangs.pop(job, None)
        if gang is not None:
            self.release(job)
        return gang

    def add_ending(self, gang: core.Gang) -> None:
        """Count `gang` as in use by its customer until its end is certain."""
        self.remove_ending(gang.job)
        self.ending[gang.job] = gang
        self.usage.add(gang)

    def remove_ending(self, job: str) -> None:
        """Cease to count the gang of `job`, if `add_ending` counted it."""
        gang = self.ending.pop(job, None)
        if gang is not None:
            self.usage.add(gang, -1)

    def set_worker_health(self, worker: str, healthy: bool) -> None:
        """Set whether new gangs may be placed on `worker`."""
        if healthy:
            self._unhealthy.discard(worker)
        else:
            self._unhealthy.add(worker)
        self._update_health(worker)

    def observe_end(
        self, *, gang: core.Gang, reason: str, worker: str, now: float
    ) -> None:
        """Update run times and health from a gang that ended.

        Args:
            gang: The gang, as `remove_gang` returned it.
            reason: Value of `core.Reason`.
            worker: Worker where the failure occurred, empty if unknown.
            now: Log time, seconds.
        """
        if reason == core.Reason.COMPLETED:
            self.history.record_completion(gang=gang, now=now)
        elif reason in core.FINAL_REASONS:
            self.history.forget(gang.job)
        else:
            self.history.carry_over(gang=gang, now=now)
        changed = self.health.observe_end(
            gang=gang, reason=reason, worker=worker, now=now
        )
        for name in changed:
            self._update_health(name)

    def dump_observations(self) -> dict[str, Any]:
        """Return run times, failures and unhealthy workers for a snapshot."""
        return {
            "history": self.history.dump(),
            "health": self.health.dump(),
            "unhealthy": sorted(self._unhealthy),
        }

    def load_observations(self, value: dict[str, Any]) -> None:
        """Restore the value of `dump_observations`."""
        self.history.load(value["history"])
        self.health.load(value["health"])
        self._unhealthy = set(value["unhealthy"])
        for worker in self._workers:
            self._update_health(worker)

    def is_usable(self, worker: str) -> bool:
        """Tell whether `worker` is healthy and its data centre in service."""
        state = self._workers.get(worker)
        return state is not None and state.is_usable

    def get_free_mask(self, worker: str) -> int:
        """Return the free accelerators of `worker` as a bit mask."""
        return self._workers[worker].free_mask

    def get_free_processors(self, worker: str) -> float:
        """Return the free cores of `worker`."""
        return (
            self._workers[worker].free_processors
            / worker_states.MILLIUNITS_PER_UNIT
        )

    def get_free_memory_gb(self, worker: str) -> float:
        """Return the free memory of `worker` in gigabytes."""
        return (
            self._workers[worker].free_memory
            / worker_states.MILLIUNITS_PER_UNIT
        )

    def get_worker_state(self, worker: str) -> worker_states.WorkerState | None:
        """Return the state of `worker`, None if it is not configured."""
        return self._workers.get(worker)

    def list_guarantees_at_risk(self) -> list[guarantees.Shortage]:
        """Return the guarantees that can't be honoured by the usable pool."""
        unmet = self.bindings.find_unmet()
        return guarantees.list_shortages(self.configuration, unmet)

    def keeps_guarantees(self, before: packing.UnmetDemands) -> bool:
        """Tell whether no guarantee has more unmet shapes than `before`."""
        return not packing.increases_unmet(before, self.bindings.find_unmet())

    def allocate(
        self, gang: core.Gang, *, may_bind: bool = True
    ) -> GangAllocation:
        """Allocate the places of `gang` without adding it to `gangs`.

        Args:
            gang: The gang.
            may_bind: Whether the gang may be bound to its slot.

        Returns:
            The allocation, which borrows if the slot can't be bound.
        """
        allocation = GangAllocation(gang=gang)
        parts = self._make_allocations(
            gang.places, gang.processors, gang.memory_gb
        )
        workers = {place.worker for place in gang.places}
        is_whole = len(workers) == len(parts)
        allocation.in_slot = (
            may_bind and is_whole and self.bindings.bind(gang, parts)
        )
        is_pinned = not gang.idempotent and not allocation.in_slot
        allocation.is_nonpreemptible = allocation.in_slot or is_pinned
        if is_pinned:
            self.bindings.pin(gang.job, parts)
        for state, part in parts.items():
            allocation.by_worker[state] = part._replace(
                is_nonpreemptible=allocation.is_nonpreemptible
            )
            state.allocate(gang.job, allocation.by_worker[state])
            self._update_bucket(state)
        self.allocations[gang.job] = allocation
        self._update_usage(allocation, 1)
        if not is_whole or any(not state.in_service for state in parts):
            self.displaced[gang.job] = None
        return allocation

    def release(self, job: str) -> GangAllocation:
        """Free the places of `job`."""
        allocation = self.allocations.pop(job)
        for state in allocation.by_worker:
            state.release(job)
            self._update_bucket(state)
        if allocation.in_slot:
            self.bindings.unbind(allocation.gang)
        elif allocation.is_nonpreemptible:
            self.bindings.unpin(job, allocation.by_worker)
        self._update_usage(allocation, -1)
        self.displaced.pop(job, None)
        return allocation

    def _make_allocations(
        self,
        places: Iterable[core.TaskPlace],
        processors: float,
        memory_gb: float,
    ) -> bindings.WorkerAllocations:
        parts: bindings.WorkerAllocations = {}
        size = (
            worker_states.to_milliunits(processors),
            worker_states.to_milliunits(memory_gb),
        )
        for place in places:
            state = self._workers.get(place.worker)
            if state is None:
                continue
            old = parts.get(
                state, worker_states.WorkerAllocation(0, 0, 0, False)
            )
            parts[state] = worker_states.WorkerAllocation(
                old.mask | place.mask,
                old.processors + size[0],
                old.memory + size[1],
                False,
            )
        return parts

    def _update_usage(self, allocation: GangAllocation, sign: int) -> None:
        gang = allocation.gang
        team = (gang.customer, gang.team)
        count = sign * allocation.accelerators
        self.usage.add(gang, sign)
        self.team_usage[team] = self.team_usage.get(team, 0) + count
        if not allocation.in_slot:
            borrowed = self.borrowed.get(gang.customer, 0) + count
            self.borrowed[gang.customer] = borrowed

    def _is_healthy(self, worker: str) -> bool:
        on_probation = self.health.is_on_probation(worker)
        return worker not in self._unhealthy and not on_probation

    def _update_health(self, worker: str) -> None:
        state = self._workers.get(worker)
        if state is None:
            return
        self.version += 1
        self.bindings.set_usable(
            state,
            healthy=self._is_healthy(worker),
            in_service=state.in_service,
        )
        self._update_bucket(state)

    def _update_bucket(self, state: worker_states.WorkerState) -> None:
        buckets = self.buckets[state.data_centre]
        largest = cells.get_largest_cell_size(state.free_mask)
        for size, bucket in buckets.items():
            if size != largest or not state.is_usable:
                bucket.pop(state.index, None)
        if state.is_usable:
            buckets[largest][state.index] = state


def _get_placement_order(gang: core.Gang) -> tuple[float, str]:
    return gang.since, gang.job
