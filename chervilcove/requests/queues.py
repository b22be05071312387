"""Bounded queue of a service, ordered by share, urgency and deadline."""

from collections.abc import Callable
from typing import Protocol

import sortedcontainers

from chervilcove.requests import core
from chervilcove.scheduling import core as scheduling

_URGENCIES = tuple(scheduling.Urgency)
_URGENCY_RANKS = {urgency: rank for rank, urgency in enumerate(_URGENCIES)}


class QueuedItem(Protocol):
    """An item of the queue; it has a request."""

    request: core.Request


def _get_sort_key(item: QueuedItem) -> tuple[int, float]:
    return _URGENCY_RANKS[item.request.urgency], item.request.deadline


class RequestQueue:
    """Order queued requests; shed the least urgent ones when full.

    The requests of a customer are ordered by urgency, then by deadline.
    Customers below their share of the slots are served first, again by
    urgency and deadline (max-min fairness), so that a burst of one customer
    uses only slots that the others leave free and does not delay them.

    Args:
        limit: Maximum number of requests.
    """

    def __init__(self, *, limit: int):
        self._limit = limit
        self._size = 0
        self._items_by_customer: dict[str, sortedcontainers.SortedKeyList] = {}

    def __len__(self) -> int:
        return self._size

    def push(self, item: QueuedItem) -> QueuedItem | None:
        """Add `item`; return the item shed for it, possibly `item` itself.

        If the queue is full, the customer with the most requests loses the
        one with the lowest urgency and, of those, the latest deadline.
        """
        customer = item.request.customer
        if customer not in self._items_by_customer:
            self._items_by_customer[customer] = sortedcontainers.SortedKeyList(
                key=_get_sort_key
            )
        self._items_by_customer[customer].add(item)
        self._size += 1
        if self._size <= self._limit:
            return None
        last = self._items_by_customer[self._find_largest(customer)][-1]
        self.remove(last)
        return last

    def would_shed(self, request: core.Request) -> bool:
        """Return whether `push` would shed `request` itself."""
        if self._size < self._limit:
            return False
        if self._find_largest(request.customer) != request.customer:
            return False
        items = self._items_by_customer.get(request.customer, ())
        return self.count_own_ahead(request) >= len(items)

    def peek(self, is_below_share: Callable[[str], bool]) -> QueuedItem | None:
        """Return the next item, None if the queue is empty.

        Args:
            is_below_share: Returns whether a customer uses less than its
                share of the slots.
        """
        if not self._items_by_customer:
            return None
        heads = {
            name: items[0] for name, items in self._items_by_customer.items()
        }
        below = [item for name, item in heads.items() if is_below_share(name)]
        return min(below or heads.values(), key=_get_sort_key)

    def remove(self, item: QueuedItem) -> None:
        """Remove `item`."""
        items = self._items_by_customer[item.request.customer]
        items.remove(item)
        self._size -= 1
        if not items:
            del self._items_by_customer[item.request.customer]

    def pop_expired(self, now: float) -> list[QueuedItem]:
        """Remove and return the items whose deadline has passed."""
        expired = [
            item
            for items in self._items_by_customer.values()
            for urgency in _URGENCIES
            for item in _list_expired(items, urgency, now)
        ]
        for item in expired:
            self.remove(item)
        return expired

    def pop_all(self) -> list[QueuedItem]:
        """Remove and return all items."""
        items = [
            item
            for queued in self._items_by_customer.values()
            for item in queued
        ]
        self._items_by_customer.clear()
        self._size = 0
        return items

    def list_customers(self) -> list[str]:
        """Return the customers with queued items."""
        return list(self._items_by_customer)

    def count_ahead(self, request: core.Request) -> int:
        """Return how many items of all customers come before `request`."""
        order = (_URGENCY_RANKS[request.urgency], request.deadline)
        return sum(
            items.bisect_key_right(order)
            for items in self._items_by_customer.values()
        )

    def count_own_ahead(self, request: core.Request) -> int:
        """Return how many items of its customer come before `request`."""
        items = self._items_by_customer.get(request.customer)
        if items is None:
            return 0
        order = (_URGENCY_RANKS[request.urgency], request.deadline)
        return items.bisect_key_right(order)

    def count_by_urgency(self) -> dict[str, int]:
        """Return the number of items per urgency."""
        counts = {urgency.value: 0 for urgency in _URGENCIES}
        for items in self._items_by_customer.values():
            for urgency in _URGENCIES:
                counts[urgency.value] += len(_get_urgency_range(items, urgency))
        return counts

    def _find_largest(self, preferred: str) -> str:
        """Return the customer with the most items, `preferred` on a tie."""
        return max(
            self._items_by_customer,
            key=lambda name: (
                len(self._items_by_customer[name]),
                name == preferred,
            ),
        )


def _get_urgency_range(
    items: sortedcontainers.SortedKeyList, urgency: scheduling.Urgency
) -> range:
    rank = _URGENCY_RANKS[urgency]
    start = items.bisect_key_left((rank, float("-inf")))
    return range(start, items.bisect_key_left((rank + 1, float("-inf"))))


def _list_expired(
    items: sortedcontainers.SortedKeyList,
    urgency: scheduling.Urgency,
    now: float,
) -> list[QueuedItem]:
    expired = []
    for index in _get_urgency_range(items, urgency):
        if items[index].request.deadline > now:
            break
        expired.append(items[index])
    return expired
