"""Usage of customers: what their jobs have running, now and lately."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from chervilcove.dispatch import resources as resource_values
from chervilcove.jobs import specs
from chervilcove.jobs import table

RESOURCE_COUNT = len(specs.Resources._fields)
# Age at which usage counts half. Tasks last 1 to 10 s, so a customer whose
# tasks have just ended isn't taken for one that had nothing.
HALF_LIFE_MS = 5_000


class Account(NamedTuple):
    """Whom usage is counted for.

    Attributes:
        customer: Name of the customer.
        zone: Data centre of the entry that accepted the job; empty if the
            record of the job doesn't state it, as those of today.
    """

    customer: str
    zone: str = ""


def get_account(job: table.Job) -> Account:
    """Return whom the usage of a job is counted for."""
    return Account(job.submission.customer)


def sum_running(jobs: Iterable[table.Job]) -> dict[Account, list[int]]:
    """Return the resources that each account has running, by its records."""
    found: dict[Account, list[int]] = {}
    for job in jobs:
        for number, units in job.list_active_steps():
            add(
                found.setdefault(get_account(job), [0] * RESOURCE_COUNT),
                job.spec.steps[number].need,
                units * job.count_tasks(number),
            )
    return found


def compute_parts(
    amounts: Mapping[Account, Sequence[int]], total: Sequence[int]
) -> dict[Account, float]:
    """Return the largest part of any resource of a total, by account."""
    return {
        account: max(_divide(amount, total))
        for account, amount in amounts.items()
    }


def sum_capacity(
    workers: Iterable[resource_values.WorkerResources],
) -> list[int]:
    """Return the capacity of all workers together."""
    capacities = [one.worker.capacity for one in workers]
    return [sum(amounts) for amounts in zip(*capacities, strict=True)] or (
        [0] * RESOURCE_COUNT
    )


class RecentUsage:
    """Mean of what each account had running in the last seconds.

    It starts empty; after 10 s it holds three quarters of the usage before.

    Attributes:
        parts: Mean part of the pool, by account.
    """

    def __init__(self):
        self.parts: dict[Account, float] = {}
        self._updated_ms: int | None = None

    def update(self, running: Mapping[Account, float], now_ms: int) -> None:
        """Record what runs since the last call, as parts of the pool."""
        if self._updated_ms is not None:
            past_ms = max(0, now_ms - self._updated_ms)
            decay = 0.5 ** (past_ms / HALF_LIFE_MS)
            mean = {
                account: self.parts.get(account, 0.0) * decay
                + running.get(account, 0.0) * (1 - decay)
                for account in self.parts.keys() | running.keys()
            }
            self.parts = {
                account: part for account, part in mean.items() if part > 1e-6
            }
        self._updated_ms = now_ms


def add(total: list[int], each: Sequence[int], count: int) -> None:
    """Add a number of equal amounts to the amounts of all resources."""
    for number, amount in enumerate(each):
        total[number] += amount * count


def _divide(amount: Sequence[int], total: Sequence[int]) -> list[float]:
    return [
        each / most if most else 0.0
        for each, most in zip(amount, total, strict=True)
    ]
