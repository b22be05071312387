"""Order in which waiting jobs are served.

Urgent work goes first. Within urgent work, and within all other work, the
lowest score goes first: the expected remaining work of a job, reduced by its
waiting time and increased by the accelerators that its customer borrows.
Learned run times replace declared ones, and the work that a checkpointable
job has already done is subtracted.
"""

from chervilcove.scheduling import conf
from chervilcove.scheduling import core
from chervilcove.scheduling import pool as pools

_TASK_WEIGHT = 0.1
_MIN_REMAINING_SHARE = 0.05


def sort_queue(
    *,
    pool: pools.Pool,
    queue: list[core.QueuedJob],
    now: float,
    settings: conf.PolicySettings,
) -> list[core.QueuedJob]:
    """Return the jobs of `queue` in the order in which they are served."""
    shares = compute_shares(pool)
    keys = {}
    for position, job in enumerate(queue):
        score = _compute_score(pool, job, now, settings, shares)
        is_later = job.spec["urgency"] != core.Urgency.URGENT
        keys[job.spec["id"]] = (is_later, score, position)
    return sorted(queue, key=lambda job: keys[job.spec["id"]])


def compute_shares(pool: pools.Pool) -> dict[str, float]:
    """Return the accelerators that each customer borrows by its fair share.

    The fair share is the customer's part, by weight, of all accelerators that
    are borrowed. A value of 1.0 means that it borrows exactly that.
    """
    customers = pool.configuration["customers"]
    borrowed = {
        name: count
        for name, count in pool.borrowed.items()
        if count > 0 and name in customers
    }
    total = sum(borrowed.values())
    weights = sum(customer["weight"] for customer in customers.values())
    return {
        name: count * weights / (total * customers[name]["weight"])
        for name, count in borrowed.items()
    }


def estimate_remaining_s(pool: pools.Pool, job: core.QueuedJob) -> float:
    """Return the expected remaining run time of a waiting job, in seconds."""
    spec = job.spec
    total_s = pool.history.estimate_s(
        customer=spec["customer"],
        kind=spec["kind"],
        declared_s=spec["declared_run_s"],
    )
    done_s = 0.0
    if spec["checkpointable"]:
        size = max(spec["tasks"] * spec["accelerators"], 1)
        carried_s = pool.history.get_carried_s(spec["id"])
        done_s = max(job.attained / size, carried_s)
    return max(total_s - done_s, total_s * _MIN_REMAINING_SHARE)


def _compute_score(
    pool: pools.Pool,
    job: core.QueuedJob,
    now: float,
    settings: conf.PolicySettings,
    shares: dict[str, float],
) -> float:
    spec = job.spec
    size = spec["tasks"] * (spec["accelerators"] + _TASK_WEIGHT)
    score = estimate_remaining_s(pool, job) * size**settings.size_exponent
    score *= 1.0 + settings.share_factor * shares.get(spec["customer"], 0.0)
    if spec["urgency"] == core.Urgency.BATCH:
        score *= settings.batch_factor
    waited = max(now - job.submitted_at, 0.0)
    return score / (1.0 + waited / settings.age_s)
