"""Selection of the workers that a queue's policy is asked to grant.

A policy answers one call at a time, in a time that grows with the number of
workers named, and the step waits until the answer comes. Each call therefore
names few workers, starting with those that suit the step best, and no further
call is made once the granted workers have room for the whole step.
"""

from collections.abc import Mapping

from chervilcove.dispatch import resources as resource_values
from chervilcove.jobs import specs

# Workers named in one call. The response time objective for policies covers a
# call about 30 workers.
MAX_WORKERS_PER_REQUEST = 30


def choose_workers_to_ask(
    *,
    resources: resource_values.FleetResources,
    service: str,
    step: specs.Step,
    known_grants: Mapping[str, bool],
) -> list[str]:
    """Return the workers to name in the next call, best suited first.

    Args:
        resources: State of all workers.
        service: Pool of workers.
        step: Step to be placed.
        known_grants: Earlier answers of the policy: whether a worker was
            granted, by worker id.

    Returns:
        Worker ids; empty if the granted workers suffice.
    """
    candidates = [
        candidate
        for candidate in resources.list_schedulable(service, step.label)
        if _count_fitting(candidate.worker.capacity, step)
    ]
    granted = [
        candidate
        for candidate in candidates
        if known_grants.get(candidate.worker.id)
    ]
    if _has_enough(granted, step):
        return []
    fitting = {
        rack: sum(_count_fitting(candidate.free, step) for candidate in group)
        for rack, group in resource_values.group_by_rack(candidates).items()
    }
    unknown = [
        candidate
        for candidate in candidates
        if candidate.worker.id not in known_grants
    ]
    unknown.sort(
        key=lambda candidate: (
            bool(step.data_rack) and candidate.worker.rack != step.data_rack,
            -fitting[candidate.worker.rack] if step.same_rack else 0,
            candidate.penalty,
            -_count_fitting(candidate.free, step),
            candidate.worker.id,
        )
    )
    return [
        candidate.worker.id for candidate in unknown[:MAX_WORKERS_PER_REQUEST]
    ]


def _has_enough(
    granted: list[resource_values.WorkerResources], step: specs.Step
) -> bool:
    """Return whether the granted workers can hold all tasks of the step."""
    groups = [granted]
    if step.same_rack:
        groups = list(resource_values.group_by_rack(granted).values())
    return any(
        sum(_count_fitting(candidate.free, step) for candidate in group)
        >= step.count
        for group in groups
    )


def _count_fitting(free: specs.Resources, step: specs.Step) -> int:
    """Return how many tasks of the step fit into `free` on one worker."""
    limit = step.most_per_worker or step.count
    return resource_values.count_fitting(free, step.need, limit)
