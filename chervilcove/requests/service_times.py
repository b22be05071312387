"""Recent service times of one service."""

import collections
import math

import sortedcontainers


class ServiceTimes:
    """Sliding window of service times with their mean and quantiles.

    Times older than `age_s` are dropped, so that requests are not refused
    forever because the service was slow once.

    Args:
        max_samples: Maximum number of times; the oldest is dropped first.
        age_s: Age after which a time is dropped, in seconds.
        min_samples: Times needed for a mean or a quantile.
    """

    def __init__(self, *, max_samples: int, age_s: float, min_samples: int):
        self._max_samples = max_samples
        self._age_s = age_s
        self._min_samples = min_samples
        self._by_age: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._by_duration = sortedcontainers.SortedList()
        self._sum = 0.0

    def add(self, seconds: float, *, now: float) -> None:
        """Add a service time observed at `now`."""
        self._by_age.append((now, seconds))
        self._by_duration.add(seconds)
        self._sum += seconds
        if len(self._by_age) > self._max_samples:
            self._drop_oldest()

    def get_quantile(self, quantile: float, *, now: float) -> float | None:
        """Return the `quantile` in seconds, None with too few samples."""
        self._drop_old(now)
        count = len(self._by_duration)
        if count < self._min_samples:
            return None
        rank = max(0, math.ceil(quantile * count) - 1)
        return self._by_duration[rank]

    def get_mean(self, *, now: float) -> float | None:
        """Return the mean in seconds, None with too few samples."""
        self._drop_old(now)
        count = len(self._by_duration)
        if count < self._min_samples:
            return None
        return max(0.0, self._sum / count)

    def _drop_old(self, now: float) -> None:
        while self._by_age and self._by_age[0][0] < now - self._age_s:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        _, seconds = self._by_age.popleft()
        self._by_duration.remove(seconds)
        self._sum -= seconds
