"""Maximum of a customer: what it may have running across all workers."""

from typing import NamedTuple

from chervilcove.core import errors
from chervilcove.jobs import specs

NO_MAXIMUM = specs.Resources(0, 0, 0)  # 0 is no limit, for each resource


class Usage(NamedTuple):
    """Tasks that a customer has running, or may have.

    Attributes:
        customer: Name of the customer.
        need: Resources of each task.
        count: Number of tasks.
    """

    customer: str
    need: specs.Resources
    count: int


def count_fitting(
    maximum: specs.Resources,
    used: specs.Resources,
    need: specs.Resources,
    limit: int,
) -> int:
    """Return how many tasks may start beside what is used, at most `limit`.

    Args:
        maximum: Maximum of the customer, 0 for no limit of a resource.
        used: What the customer has running.
        need: Resources of each task.
        limit: Number of tasks that wait.
    """
    count = limit
    for most, taken, each in zip(maximum, used, need, strict=True):
        if most and each:
            count = min(count, (most - taken) // each)
    return max(0, count)


def check_spec(
    spec: specs.JobSpec, customer: str, maximum: specs.Resources
) -> errors.Refusal | None:
    """Return a refusal if a job can never run within a maximum, else None.

    A gang counts whole. Other steps run in parts, so that one task must fit.
    """
    for number, step in enumerate(spec.steps):
        least = step.count if step.is_gang else 1
        if count_fitting(maximum, NO_MAXIMUM, step.need, least) < least:
            return errors.refuse(
                errors.Kind.EXCEEDS_MAXIMUM,
                f"steps[{number}] needs more than the maximum of customer"
                f" {customer}",
                step=number,
                maximum=maximum._asdict(),
            )
    return None
