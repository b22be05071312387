"""Team quotas: the maximum accelerators held by the gangs of one team."""

from chervilcove.scheduling import core
from chervilcove.scheduling import pool as pools
from chervilcove.scheduling import spec_checks


def would_exceed(pool: pools.Pool, spec: core.JobSpec) -> bool:
    """Tell whether starting `spec` would exceed the quota of its team."""
    customer = pool.configuration["customers"][spec["customer"]]
    team = spec_checks.find_team(customer, spec["team"])
    used = pool.team_usage.get((spec["customer"], spec["team"]), 0)
    wanted = spec["tasks"] * spec["accelerators"]
    return team is None or (wanted > 0 and used + wanted > team["quota"])


def list_preemptible(
    pool: pools.Pool, spec: core.JobSpec
) -> list[pools.GangAllocation]:
    """Return the gangs that urgent work of their own team may preempt."""
    return [
        allocation
        for job, allocation in pool.allocations.items()
        if job in pool.gangs and _is_preemptible(allocation, spec)
    ]


def _is_preemptible(
    allocation: pools.GangAllocation, spec: core.JobSpec
) -> bool:
    gang = allocation.gang
    return (
        (gang.customer, gang.team) == (spec["customer"], spec["team"])
        and gang.urgency != core.Urgency.URGENT
        and gang.idempotent
        and allocation.accelerators > 0
    )
