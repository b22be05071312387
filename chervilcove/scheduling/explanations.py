"""Explanations: where a job that was not sent would start, and why not.

The round is that of the policy, on a pool that nothing else uses. The policy is
a new one, whose cache of failed searches is empty: behind thousands of waiting
jobs it examines fewer of them than the planner, and says `behind_others`.
"""

from typing import NamedTuple

from chervilcove.core import errors
from chervilcove.scheduling import conf
from chervilcove.scheduling import core
from chervilcove.scheduling import finder
from chervilcove.scheduling import needs
from chervilcove.scheduling import order
from chervilcove.scheduling import policy
from chervilcove.scheduling import pool as pools
from chervilcove.scheduling import quotas
from chervilcove.scheduling import rounds


class JobPlan(NamedTuple):
    """Decision of a round about one job.

    Attributes:
        placement: Its start, None if it waits.
        preemptions: Gangs that are stopped for it.
        wait: Why it waits, None if it starts.
        refusal: Why it can never run, None if it can.
        wait_s: Estimated seconds until running gangs have made room; 0 if it
            starts and stops nothing; None if unknown.
        duration_s: Estimated seconds that it runs.
    """

    placement: core.Placement | None
    preemptions: tuple[core.Preemption, ...]
    wait: core.Wait | None
    refusal: errors.Refusal | None
    wait_s: float | None
    duration_s: float


def explain_job(
    *,
    pool: pools.Pool,
    queue: list[core.QueuedJob],
    job: core.QueuedJob,
    now: float,
    settings: conf.PolicySettings,
) -> JobPlan:
    """Return what a round decides about `job`.

    Args:
        pool: A pool of its own, equal to the one in force.
        queue: The jobs that wait.
        job: The job, which is not one of them.
        now: Log time, seconds.
        settings: Settings of the policy.
    """
    name = job.spec["id"]
    plan = policy.GuaranteePolicy(settings=settings).decide(
        pool=pool, queue=[*queue, job], now=now
    )
    placement = _find(plan.placements, name)
    stops = tuple(one for one in plan.preemptions if one.beneficiary == name)
    refused = _find(plan.refusals, name)
    if placement is None:
        wait_s = _estimate_wait_s(pool, job, now, settings)
    else:
        wait_s = None if stops else 0.0
    return JobPlan(
        placement,
        stops,
        _find(plan.waits, name),
        None if refused is None else refused.refusal,
        wait_s,
        order.estimate_remaining_s(pool, job),
    )


def _find(decisions, job: str):
    return next((one for one in decisions if one.job == job), None)


def _estimate_wait_s(
    pool: pools.Pool,
    job: core.QueuedJob,
    now: float,
    settings: conf.PolicySettings,
) -> float | None:
    """Return when the first ends of running gangs have made room.

    Returns:
        Seconds; None if there is room already, so that another rule makes the
        job wait, or if all ends make none.
    """
    remaining = sorted(
        (pool.history.estimate_remaining_s(gang=gang, now=now), name)
        for name, gang in pool.gangs.items()
    )
    round_ = rounds.Round(pool=pool, now=now, settings=settings)
    need = needs.make_need(job.spec)

    def has_room() -> bool:
        return not quotas.would_exceed(pool, job.spec) and (
            finder.find_free_places(pool, need, frozenset()) is not None
        )

    def has_room_after(count: int) -> bool:
        ended = [name for _, name in remaining[:count]]
        return round_.check_without(ended, has_room)

    if has_room_after(0):
        return None
    # Mostly a few ends make room, and each check costs as many releases.
    low, high = 0, 1
    while not has_room_after(high):
        if high >= len(remaining):
            return None
        low, high = high, 2 * high
    high = min(high, len(remaining))
    while high - low > 1:
        middle = (low + high) // 2
        if has_room_after(middle):
            high = middle
        else:
            low = middle
    return remaining[high - 1][0]
