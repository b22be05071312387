"""Tentative state of the pool during one round of decisions.

A round allocates and releases gangs in the pool to check the result, and
undoes all of it at its end. The decisions remain in the plan.
"""

from collections.abc import Callable
from collections.abc import Iterable

from chervilcove.scheduling import conf
from chervilcove.scheduling import core
from chervilcove.scheduling import pool as pools
from chervilcove.scheduling import worker_states

_TASK_WEIGHT = 0.1
_URGENT_FACTOR = 10.0
_BATCH_FACTOR = 0.5
_UNBOUND_SLOT_FACTOR = 20.0

PreemptionRule = Callable[[pools.GangAllocation], bool]


def make_gang(
    job: core.QueuedJob,
    places: tuple[core.TaskPlace, ...],
    slot: str,
    now: float,
) -> core.Gang:
    """Return the gang of the next attempt of `job` at `places`."""
    spec = job.spec
    return core.Gang(
        spec["id"],
        job.attempts + 1,
        spec["customer"],
        spec["team"],
        spec["kind"],
        spec["urgency"],
        slot,
        places,
        spec["processors"],
        spec["memory_gb"],
        spec["checkpointable"],
        spec["idempotent"],
        now,
        spec["declared_run_s"],
    )


class Round:
    """Collects decisions and applies them tentatively to the pool.

    Attributes:
        pool: The pool, as it would be after the decisions so far.
        now: Log time, seconds.
        settings: Settings of the policy.
        placements: Placements decided so far.
        preemptions: Preemptions decided so far.
        version: Grows with every decision.
    """

    def __init__(
        self,
        *,
        pool: pools.Pool,
        now: float,
        settings: conf.PolicySettings,
    ):
        self.pool = pool
        self.now = now
        self.settings = settings
        self.placements: list[core.Placement] = []
        self.preemptions: list[core.Preemption] = []
        self.version = 0
        self._undo: list[Callable[[], object]] = []
        self._costs: dict[str, float] = {}

    def place(
        self,
        job: core.QueuedJob,
        places: tuple[core.TaskPlace, ...],
        *,
        slot: str = "",
        victims: Iterable[str] = (),
        reason: str = "",
    ) -> bool:
        """Start `job` in place of `victims` unless it breaks a guarantee.

        Args:
            job: Job to start.
            places: One place per task.
            slot: Slot to run in, empty to borrow.
            victims: Jobs to preempt.
            reason: Value of `core.Reason` for the preemptions.

        Returns:
            Whether the job was placed; if not, nothing has changed.
        """
        before = self.pool.bindings.find_unmet()
        mark = len(self._undo)
        victims = list(dict.fromkeys(victims))
        stopped = [self._release(victim) for victim in victims]
        gang = make_gang(job, places, slot, self.now)
        allocation = self._allocate(gang)
        is_valid = allocation.in_slot or not slot
        if allocation.is_nonpreemptible:
            is_valid = is_valid and self.pool.keeps_guarantees(before)
        if not is_valid or not self._has_no_conflict(allocation):
            self._undo_to(mark)
            return False
        for victim in stopped:
            self._record_preemption(victim.gang, reason, gang.job)
        self.placements.append(
            core.Placement(gang.job, gang.attempt, slot, places)
        )
        self.version += 1
        return True

    def preempt(self, job: str, reason: str, beneficiary: str = "") -> None:
        """Preempt the gang of `job`."""
        allocation = self._release(job)
        self._record_preemption(allocation.gang, reason, beneficiary)
        self.version += 1

    def run_or_undo(self, action: Callable[[], bool]) -> bool:
        """Run `action` and undo its decisions if it returns False."""
        mark = len(self._undo)
        counts = len(self.placements), len(self.preemptions)
        if action():
            return True
        self._undo_to(mark)
        del self.placements[counts[0] :]
        del self.preemptions[counts[1] :]
        return False

    def check_without(
        self, jobs: Iterable[str], check: Callable[[], bool]
    ) -> bool:
        """Return the result of `check` while `jobs` are stopped."""
        mark = len(self._undo)
        for job in jobs:
            self._release(job)
        result = check()
        self._undo_to(mark)
        return result

    def allocate_tentatively(self, gang: core.Gang) -> None:
        """Allocate `gang` within a check of `check_without`."""
        self._allocate(gang)

    def roll_back(self) -> None:
        """Restore the pool to its state at the start of the round."""
        self._undo_to(0)

    def get_preemption_cost(self, allocation: pools.GangAllocation) -> float:
        """Return the weighted accelerator-seconds lost by stopping a gang.

        Urgent work and work that would fit an unbound slot of its customer
        cost more, batch work less.
        """
        job = allocation.gang.job
        cost = self._costs.get(job)
        if cost is None:
            cost = self._costs[job] = self._compute_cost(allocation)
        return cost

    def list_victims(
        self, worker: worker_states.WorkerState, rule: PreemptionRule
    ) -> list[tuple[float, str, worker_states.WorkerAllocation]]:
        """Return the gangs on `worker` that `rule` allows to preempt.

        Gangs that this round has started are never victims.

        Returns:
            Cost, job and resources of each gang, the cheapest first.
        """
        victims = []
        for job, part in worker.worker_allocations.items():
            allocation = self.pool.allocations[job]
            if job in self.pool.gangs and rule(allocation):
                victims.append(
                    (self.get_preemption_cost(allocation), job, part)
                )
        victims.sort()
        return victims

    def _compute_cost(self, allocation: pools.GangAllocation) -> float:
        gang = allocation.gang
        lost_s = self.settings.checkpoint_s
        if not gang.checkpointable:
            lost_s += max(self.now - gang.since, 0.0)
        size = allocation.accelerators + _TASK_WEIGHT * len(gang.places)
        if gang.urgency == core.Urgency.URGENT:
            size *= _URGENT_FACTOR
        if self._fits_unbound_slot(allocation):
            size *= _UNBOUND_SLOT_FACTOR
        if gang.urgency == core.Urgency.BATCH:
            size *= _BATCH_FACTOR
        return lost_s * size

    def _fits_unbound_slot(self, allocation: pools.GangAllocation) -> bool:
        """Tell whether an unbound slot of its customer fits the gang."""
        if allocation.in_slot or not allocation.accelerators:
            return False
        bindings = self.pool.bindings
        slots = bindings.slots_by_customer.get(allocation.gang.customer, ())
        return any(
            slot.demand.accelerators >= allocation.accelerators
            and slot.name not in bindings.bound
            for slot in slots
        )

    def _has_no_conflict(self, allocation: pools.GangAllocation) -> bool:
        """Tell whether no resource of `allocation` is allocated twice."""
        for worker, part in allocation.by_worker.items():
            if worker.free_processors < 0 or worker.free_memory < 0:
                return False
            for job, other in worker.worker_allocations.items():
                if job != allocation.gang.job and other.mask & part.mask:
                    return False
        return len(allocation.by_worker) == len(
            {p.worker for p in allocation.gang.places}
        )

    def _allocate(self, gang: core.Gang) -> pools.GangAllocation:
        self._undo.append(lambda: self.pool.release(gang.job))
        return self.pool.allocate(gang)

    def _release(self, job: str) -> pools.GangAllocation:
        allocation = self.pool.release(job)
        may_bind = allocation.is_nonpreemptible
        # A gang that is being stopped counts for its customer's maximum.
        self.pool.usage.add(allocation.gang)

        def undo() -> None:
            self.pool.usage.add(allocation.gang, -1)
            self.pool.allocate(allocation.gang, may_bind=may_bind)

        self._undo.append(undo)
        return allocation

    def _undo_to(self, mark: int) -> None:
        while len(self._undo) > mark:
            self._undo.pop()()

    def _record_preemption(
        self, gang: core.Gang, reason: str, beneficiary: str
    ) -> None:
        self.preemptions.append(
            core.Preemption(gang.job, gang.attempt, reason, beneficiary)
        )
