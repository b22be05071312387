"""Shares of customers: whose steps go first while the pool is full.

Load patterns: one customer sends several times its usual number of jobs for
seconds; one customer sends a third of all jobs in a full pool while those of
the small ones wait.

Only the order inside a tier changes, and only while steps of several customers
wait for more than is free.

* Steps that can end in time keep the order of least slack as long as all of
  them can be served in time. Otherwise steps are deferred until the others can,
  those of the customer with the largest share first. Order by share alone would
  make steps late that could have been in time.
* Steps that are late go by age, and a step is treated as younger by the share
  of its customer. The difference is bounded, so that nobody starves.

A share is the largest part of any resource of the pool, running and in the last
seconds, divided by the weight. It includes the steps of the customer that are
placed before.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import heapq
from typing import NamedTuple

from chervilcove.dispatch import ranking
from chervilcove.dispatch import resources as resource_values
from chervilcove.dispatch import usage
from chervilcove.jobs import configuration
from chervilcove.jobs import specs
from chervilcove.jobs import table

DEFAULT_WEIGHT = 1.0  # of a customer whose configuration gives none
# By how much younger a late step counts if its customer has the mean share, and
# at most. A late step earns until three times its objective, about 30 s.
MEAN_SHARE_DELAY_MS = 5_000
MAX_DELAY_MS = 30_000
# Part of the slack that isn't used up by waiting work. Rounds are up to 250 ms
# apart, and the ends of tasks scatter.
START_MARGIN_MS = 400


class Candidate(NamedTuple):
    """A waiting step, as this decision sees it.

    Attributes:
        account: Whom its usage is counted for.
        service: Pool of workers.
        rank: Rank among all waiting steps.
        step: Description of the step.
        count: Number of tasks that wait.
        duration_ms: Expected duration of a task.
    """

    account: usage.Account
    service: str
    rank: ranking.Rank
    step: specs.Step
    count: int
    duration_ms: float


def compute_sort_keys(
    candidates: Sequence[Candidate],
    *,
    jobs: Iterable[table.Job],
    customers: Mapping[str, configuration.Customer],
    resources: resource_values.FleetResources,
    recent: Mapping[usage.Account, float],
) -> list[tuple]:
    """Return the sort key of each waiting step.

    Args:
        candidates: The steps.
        jobs: Jobs that have not ended.
        customers: Customers in force, by name.
        resources: State of all workers.
        recent: Mean part of the pool that accounts had lately.
    """
    keys = [one.rank.get_sort_key() for one in candidates]
    services: dict[str, list[int]] = {}
    for index, one in enumerate(candidates):
        services.setdefault(one.service, []).append(index)
    running: dict[usage.Account, list[int]] | None = None
    for service, indexes in services.items():
        if len({candidates[index].account for index in indexes}) < 2:
            continue
        if running is None:
            running = usage.sum_running(jobs)
        order = _PoolOrder(
            candidates,
            indexes,
            customers=customers,
            running=running,
            recent=recent,
            workers=resources.list_schedulable(service, ""),
        )
        keys = order.change(keys)
    return keys


class _PoolOrder:
    """Order of the steps that wait for one pool."""

    def __init__(
        self,
        candidates: Sequence[Candidate],
        indexes: list[int],
        *,
        customers: Mapping[str, configuration.Customer],
        running: Mapping[usage.Account, Sequence[int]],
        recent: Mapping[usage.Account, float],
        workers: list[resource_values.WorkerResources],
    ):
        self._candidates = candidates
        self._indexes = indexes
        self._customers = customers
        self._running = running
        self._recent = recent
        self._capacity = usage.sum_capacity(workers)
        self._free = [
            sum(one.cpu for one in workers if one.cpu > 0),
            sum(one.memory_mb for one in workers if one.memory_mb > 0),
            sum(one.accelerators for one in workers if one.accelerators > 0),
        ]
        # Accounts that wait, and the number of the account of each step.
        numbers: dict[usage.Account, int] = {}
        self._numbers = {
            index: numbers.setdefault(candidates[index].account, len(numbers))
            for index in indexes
        }
        self._accounts = list(numbers)
        # Filled once the pool is known to be full: shares by number; of each
        # step, what it adds to the share, and its work in pool-seconds.
        self._shares: list[float] = []
        self._gains: dict[int, float] = {}
        self._seconds: dict[int, float] = {}

    def change(self, keys: list[tuple]) -> list[tuple]:
        """Return the keys with those changed that the shares decide on."""
        scarcest = self._find_scarcest()
        if scarcest is None:
            return keys
        self._measure(scarcest)
        keys = list(keys)
        mean = self._compute_mean_share()
        groups: dict[int, list[int]] = {}
        tiers = len(ranking.Tier)
        for index in self._indexes:
            precedence, tier, _, _ = keys[index]
            # An integer is hashed much faster than a member of an enumeration.
            group = precedence * tiers + tier
            if group in groups:
                groups[group].append(index)
            else:
                groups[group] = [index]
        ahead_s = 0.0
        for group in sorted(groups):
            members = sorted(groups[group], key=keys.__getitem__)
            tier = self._candidates[members[0]].rank.tier
            if tier in ranking.IN_TIME_TIERS:
                deferred = self._choose_deferred(members, ahead_s)
                late = [index for index in members if index in deferred]
                for index in members:
                    if index not in deferred:
                        self._charge(index)
                self._order_by_age(late, keys, mean)
            elif tier is ranking.Tier.GUARANTEED:
                for index in members:
                    self._charge(index)
            else:
                self._order_by_age(members, keys, mean)
            ahead_s += sum(self._seconds[index] for index in members)
        return keys

    def _find_scarcest(self) -> int | None:
        """Return the resource of which most is missing, None if all is free.

        What the maximum of a customer holds back doesn't fill the pool.
        """
        by_account = [[0] * usage.RESOURCE_COUNT for _ in self._accounts]
        candidates = self._candidates
        for index, number in self._numbers.items():
            _, _, _, step, count, _ = candidates[index]
            cpu, memory_mb, accelerators = step.need
            needed = by_account[number]
            needed[0] += cpu * count
            needed[1] += memory_mb * count
            needed[2] += accelerators * count
        total = [0] * usage.RESOURCE_COUNT
        for account, needed in zip(self._accounts, by_account, strict=True):
            usage.add(total, self._limit(account, needed), 1)
        if all(
            needed <= free
            for needed, free in zip(total, self._free, strict=True)
        ):
            return None
        missing = [
            (needed - free) / most if most else 0.0
            for needed, free, most in zip(
                total, self._free, self._capacity, strict=True
            )
        ]
        return missing.index(max(missing))

    def _limit(
        self, account: usage.Account, needed: Sequence[int]
    ) -> list[int]:
        customer = self._customers.get(account.customer)
        if customer is None:
            return list(needed)
        used = self._running.get(account, [0] * usage.RESOURCE_COUNT)
        return [
            min(each, max(0, most - taken)) if most else each
            for each, most, taken in zip(
                needed, customer.maximum, used, strict=True
            )
        ]

    def _measure(self, scarcest: int) -> None:
        """Compute the shares, and what each step adds to them."""
        parts = usage.compute_parts(self._running, self._capacity)
        weights = []
        for account in self._accounts:
            customer = self._customers.get(account.customer)
            weight = (customer and customer.weight) or DEFAULT_WEIGHT
            weights.append(weight)
            used = parts.get(account, 0.0) + self._recent.get(account, 0.0)
            self._shares.append(used / weight)
        most = self._capacity[scarcest] or 1
        candidates = self._candidates
        gains = self._gains
        seconds = self._seconds
        for index, number in self._numbers.items():
            _, _, _, step, count, duration_ms = candidates[index]
            # A lasting task starts however full the pool is.
            part = (
                0.0 if step.is_lasting else step.need[scarcest] * count / most
            )
            gains[index] = part / weights[number]
            seconds[index] = part * duration_ms / 1000

    def _compute_mean_share(self) -> float:
        """Return the mean share of accounts, with all that waits placed."""
        total = sum(self._shares) + sum(self._gains.values())
        return total / len(self._shares)

    def _charge(self, index: int) -> None:
        """Add a step to the share of its account."""
        self._shares[self._numbers[index]] += self._gains[index]

    def _choose_deferred(self, members: list[int], ahead_s: float) -> set[int]:
        """Return the steps that are deferred so that the others are in time.

        A full pool serves one pool-second of waiting work a second. Steps are
        taken by least slack. If one can't be in time by the work before it, the
        longest step taken of the account with the largest share is deferred, of
        equal ones that with the least slack: it is the most likely to be late
        all the same.

        Args:
            members: Steps by least slack.
            ahead_s: Pool-seconds of the waiting work that ranks ahead.
        """
        shares = list(self._shares)
        taken: list[list[tuple[float, int, int]]] = [[] for _ in shares]
        heaviest = [(-share, number) for number, share in enumerate(shares)]
        heapq.heapify(heaviest)
        deferred: set[int] = set()
        work_s = ahead_s
        for order, index in enumerate(members):
            slack_ms = self._candidates[index].rank.slack_ms
            slack_s = (slack_ms - START_MARGIN_MS) / 1000
            seconds = self._seconds[index]
            if seconds:
                number = self._numbers[index]
                shares[number] += self._gains[index]
                heapq.heappush(taken[number], (-seconds, order, index))
                heapq.heappush(heaviest, (-shares[number], number))
            before_s = work_s
            work_s += seconds
            while before_s > slack_s >= ahead_s and index not in deferred:
                longest = _pop_longest(heaviest, shares, taken)
                if longest is None:
                    break
                deferred.add(longest)
                loser = self._numbers[longest]
                shares[loser] -= self._gains[longest]
                heapq.heappush(heaviest, (-shares[loser], loser))
                work_s -= self._seconds[longest]
                before_s -= self._seconds[longest]
        return deferred

    def _order_by_age(
        self, members: list[int], keys: list[tuple], mean: float
    ) -> None:
        """Order late or deferred steps by age, and by share within bounds."""
        candidates = self._candidates
        numbers = self._numbers
        shares = self._shares
        delay_ms = MEAN_SHARE_DELAY_MS / mean if mean else 0.0
        found = sorted(
            (candidates[index].rank.eligible_since_ms, index)
            for index in members
        )
        for since_ms, index in found:
            number = numbers[index]
            precedence, tier, _, _ = keys[index]
            after_ms = since_ms + min(delay_ms * shares[number], MAX_DELAY_MS)
            keys[index] = (precedence, tier, 1, after_ms)
            shares[number] += self._gains[index]


def _pop_longest(
    heaviest: list[tuple[float, int]],
    shares: Sequence[float],
    taken: Sequence[list[tuple[float, int, int]]],
) -> int | None:
    """Remove the longest step of the account with the largest share."""
    while heaviest:
        share, number = heaviest[0]
        if not taken[number] or -share != shares[number]:
            heapq.heappop(heaviest)
            continue
        return heapq.heappop(taken[number])[2]
    return None
