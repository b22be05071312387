"""Distributions of durations, and waiting for conditions."""

from collections.abc import Callable

import gevent
from hdrh import histogram

MAX_DURATION_US = 600_000_000
POLL_INTERVAL_S = 0.002


class Times:
    """Collect durations in a histogram."""

    def __init__(self):
        self._histogram = histogram.HdrHistogram(1, MAX_DURATION_US, 3)

    def add(self, duration_s: float) -> None:
        """Add one duration."""
        self._histogram.record_value(max(int(duration_s * 1e6), 1))

    def describe(self) -> dict[str, float]:
        """Return the count, and the p50, p99 and maximum in milliseconds."""
        values = self._histogram
        return {
            "count": values.get_total_count(),
            "p50_ms": values.get_value_at_percentile(50) / 1000,
            "p99_ms": values.get_value_at_percentile(99) / 1000,
            "max_ms": values.get_max_value() / 1000,
        }


def wait_until(condition: Callable[[], bool], *, timeout_s: float) -> None:
    """Wait until `condition()` is true.

    Raises:
        gevent.Timeout: The condition was still false after `timeout_s`.
    """
    with gevent.Timeout(timeout_s):
        while not condition():
            gevent.sleep(POLL_INTERVAL_S)
