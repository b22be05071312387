"""Runs that workers list and that no record of the ledger shows as running.

The record of a unit tells how far the unit is, not what still runs. A unit may
be done while a run of it is being stopped: an earlier run turned out to have
ended as done, or one member of its gang has. A successor reads only the record,
so it does not track that run. Workers do not guard their capacity. What a
worker lists therefore holds its resources, whoever started it.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from chervilcove.core import errors
from chervilcove.dispatch import resources as resource_values
from chervilcove.jobs import maximums
from chervilcove.jobs import specs
from chervilcove.jobs import table

# Step of a task whose job is not known any more.
UNKNOWN_STEP = ("", 0, 0)


class ListedRun(NamedTuple):
    """One run in a worker's list.

    Attributes:
        task: Name of the task.
        run: Number of the run.
    """

    task: str
    run: int


class UntrackedRuns:
    """Hold resources for the untracked runs of each worker.

    Args:
        resources: State of the workers.
        jobs: All known jobs, by id.
    """

    def __init__(
        self,
        *,
        resources: resource_values.FleetResources,
        jobs: Mapping[str, table.Job],
    ):
        self._resources = resources
        self._jobs = jobs
        self._allocations: dict[
            str, dict[ListedRun, resource_values.Allocation]
        ] = {}

    def has_runs(self, worker: str) -> bool:
        """Tell whether a worker has untracked runs."""
        return worker in self._allocations

    def list_workers(self) -> list[str]:
        """Return the workers with untracked runs."""
        return list(self._allocations)

    def has_job(self, job: str) -> bool:
        """Tell whether a worker lists an untracked run of a job."""
        return any(
            allocation.step_key[0] == job
            for allocations in self._allocations.values()
            for allocation in allocations.values()
        )

    def list_usages(self) -> list[maximums.Usage]:
        """Return what each customer has running in untracked runs.

        Runs of jobs that aren't known any more belong to no customer.
        """
        return [
            maximums.Usage(
                self._jobs[allocation.step_key[0]].submission.customer,
                allocation.need,
                len(allocation.workers),
            )
            for allocations in self._allocations.values()
            for allocation in allocations.values()
            if allocation.step_key[0] in self._jobs
        ]

    def replace(self, worker: str, listed: Iterable[ListedRun]) -> None:
        """Replace the untracked runs of a worker by those of a newer list.

        Args:
            worker: Id of the worker.
            listed: Its untracked runs; empty once none of them can run.
        """
        before = self._allocations.get(worker, {})
        now = {
            run: before.get(run) or self._build_allocation(worker, run)
            for run in dict.fromkeys(listed)
        }
        for run, allocation in before.items():
            if run not in now:
                self._resources.release(allocation)
        for run, allocation in now.items():
            if run not in before:
                self._resources.allocate(allocation)
        self._allocations[worker] = now
        if not now:
            del self._allocations[worker]

    def _build_allocation(
        self, worker: str, listed: ListedRun
    ) -> resource_values.Allocation:
        step_key, need = self._find_step(listed.task)
        if need is None:
            need = self._resources.by_worker[worker].worker.capacity
        return resource_values.Allocation(step_key, need, (worker,))

    def _find_step(
        self, task: str
    ) -> tuple[tuple[str, int, int], specs.Resources | None]:
        """Return the key of a task's step, and what the task needs.

        The need is None if the job is unknown.
        """
        key = table.parse_unit_key(task)
        if errors.is_refusal(key):
            return UNKNOWN_STEP, None
        job = self._jobs.get(key.job)
        if job is None or key.step >= len(job.spec.steps):
            return UNKNOWN_STEP, None
        need = job.spec.steps[key.step].need
        return resource_values.get_step_key(key), need
