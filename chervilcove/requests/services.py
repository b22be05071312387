"""State of one service: queue, service times, retry budget and balancer."""

import collections
import random

from chervilcove.core import errors
from chervilcove.requests import balancing
from chervilcove.requests import budgets
from chervilcove.requests import conf
from chervilcove.requests import core
from chervilcove.requests import lifecycle
from chervilcove.requests import queues
from chervilcove.requests import service_times

_MEDIAN = 0.5
_TAIL_QUANTILE = 0.99


class ServiceState:
    """Decide on admission, order and timeouts of the requests of a service.

    Uses no sockets.

    Args:
        service: Name of the service.
        entry: Name of this entry.
        data_centre: Data centre of this entry.
        limits: Limits of request routing.
        rng: Random number generator.
        now: Monotonic time, in seconds.
    """

    def __init__(
        self,
        *,
        service: str,
        entry: str,
        data_centre: str,
        limits: conf.Limits,
        rng: random.Random,
        now: float,
    ):
        self.service = service
        self._limits = limits
        self.queue = queues.RequestQueue(limit=limits.queue)
        self.service_times = service_times.ServiceTimes(
            max_samples=limits.estimate_samples,
            age_s=limits.estimate_age_s,
            min_samples=limits.estimate_minimum,
        )
        self.retry_budget = budgets.RetryBudget(
            ratio=limits.retry_ratio,
            reserve=limits.retry_reserve,
            trickle_per_s=limits.retry_trickle_per_s,
            now=now,
        )
        self._in_flight_by_customer: collections.Counter[str] = (
            collections.Counter()
        )
        self.balancer = balancing.Balancer(
            entry=entry, data_centre=data_centre, limits=limits, rng=rng
        )

    def record_try_start(self, customer: str) -> None:
        """Count the start of a try of `customer`."""
        self._in_flight_by_customer[customer] += 1

    def record_try_end(self, customer: str) -> None:
        """Count the end of a try of `customer`."""
        self._in_flight_by_customer[customer] -= 1
        if not self._in_flight_by_customer[customer]:
            del self._in_flight_by_customer[customer]

    def peek_next(self, *, now: float) -> lifecycle.PendingRequest | None:
        """Return the request to send next, None if none is queued."""
        share = self._compute_customer_share(now)
        return self.queue.peek(
            lambda customer: self._in_flight_by_customer[customer] < share
        )

    def check_admission(
        self, request: core.Request, *, now: float
    ) -> errors.Refusal | None:
        """Return why `request` should be refused at once, or None."""
        if request.deadline <= now:
            return refuse_expired()
        if not self.balancer.is_usable(now):
            return errors.refuse(
                errors.Kind.NO_MINION,
                f"no minion of {self.service} is available",
                service=self.service,
            )
        if not len(self.queue):
            return None
        if self.queue.would_shed(request):
            return refuse_queue_full(self._limits.queue)
        return self._check_queue_wait(request, now)

    def is_likely_late(self, request: core.Request, *, now: float) -> bool:
        """Return whether `request` should give up its slot to queued ones.

        True if the median service time exceeds the time left and other
        requests are queued for the slot.
        """
        if not len(self.queue):
            return False
        typical_s = self.service_times.get_quantile(_MEDIAN, now=now)
        return typical_s is not None and typical_s > request.deadline - now

    def get_try_timeout_s(
        self, request: core.Request, *, try_count: int, now: float
    ) -> float:
        """Return the timeout of one try, in seconds.

        A try gets at least an equal share of the time left, so that a request
        that takes longer than others does not time out at each try. A
        non-idempotent request is tried once and gets all of the time left.

        Args:
            request: The request.
            try_count: Number of earlier tries.
            now: Monotonic time, in seconds.
        """
        time_left_s = request.deadline - now
        if not request.is_idempotent:
            return time_left_s
        tries_left = max(self._limits.tries - try_count, 1)
        share_s = time_left_s / tries_left
        return min(time_left_s, max(self.get_base_timeout_s(now), share_s))

    def get_base_timeout_s(self, now: float) -> float:
        """Return the timeout derived from past service times, in seconds."""
        slow_s = self.service_times.get_quantile(_TAIL_QUANTILE, now=now) or 0.0
        return max(self._limits.min_try_s, slow_s * self._limits.try_factor)

    def get_hedge_delay_s(self, now: float) -> float | None:
        """Return the delay of a hedge in seconds, None without estimates."""
        slow_s = self.service_times.get_quantile(
            self._limits.hedge_quantile, now=now
        )
        typical_s = self.service_times.get_quantile(_MEDIAN, now=now)
        if slow_s is None or typical_s is None:
            return None
        least_s = typical_s * self._limits.hedge_factor
        return max(self._limits.min_hedge_s, slow_s, least_s)

    def _check_queue_wait(
        self, request: core.Request, now: float
    ) -> errors.Refusal | None:
        mean_s = self.service_times.get_mean(now=now)
        typical_s = self.service_times.get_quantile(_MEDIAN, now=now)
        if mean_s is None or typical_s is None:
            return None
        wait_s = mean_s * self._estimate_turns(request, now)
        time_left_s = request.deadline - now
        if wait_s + typical_s <= time_left_s:
            return None
        return errors.refuse(
            errors.Kind.DEADLINE_TOO_SHORT,
            f"estimated {wait_s:.3f} s in the queue and {typical_s:.3f} s of "
            f"service, {time_left_s:.3f} s left",
            wait_s=round(wait_s, 3),
            work_s=round(typical_s, 3),
            time_left_s=round(time_left_s, 3),
        )

    def _estimate_turns(self, request: core.Request, now: float) -> float:
        """Return the number of service times until `request` gets a slot.

        This is the lower of two upper bounds: at least the customer's share
        of the slots serves its own requests ahead of this one, and all slots
        serve all requests ahead of it.
        """
        slots = max(1, self.balancer.get_in_flight_limit(now))
        share = max(1.0, self._compute_customer_share(now, request.customer))
        own_ahead = (self.queue.count_own_ahead(request) + 1) / share
        all_ahead = (self.queue.count_ahead(request) + 1) / slots
        return min(all_ahead, own_ahead)

    def _compute_customer_share(self, now: float, *more: str) -> float:
        """Return the slots per customer with queued or running requests."""
        active = {
            *self.queue.list_customers(),
            *self._in_flight_by_customer,
            *more,
        }
        return self.balancer.get_in_flight_limit(now) / max(1, len(active))


def refuse_expired() -> errors.Refusal:
    """Return the refusal of a request that expired before it was sent."""
    return errors.refuse(
        errors.Kind.DEADLINE_EXCEEDED, "deadline passed before it was sent"
    )


def refuse_queue_full(limit: int) -> errors.Refusal:
    """Return the refusal of a request that was shed by a full queue."""
    return errors.refuse(
        errors.Kind.QUEUE_FULL,
        f"{limit} requests of the same or a higher urgency are queued",
        limit=limit,
    )
