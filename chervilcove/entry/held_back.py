"""Customers that wait for their maximum: counted, logged and measured."""

import collections
from collections.abc import Mapping

from chervilcove.core import logs
from chervilcove.core import metrics as metric_values
from chervilcove.journal import state as states
from chervilcove.scheduling import core as scheduling


class HeldBackLog:
    """Log when customers begin and cease to wait for their maximum.

    Args:
        log: The log to write to.
        metrics: Metrics of this entry.
    """

    def __init__(self, *, log: logs.Log, metrics: metric_values.Metrics):
        self._log = log
        self._metrics = metrics
        self._counts: dict[str, int] = {}

    def record(self, counts: Mapping[str, int]) -> None:
        """Record how many jobs of each customer its maximum holds back."""
        for name in sorted(self._counts.keys() - counts.keys()):
            self._log.info("maximum_left", customer=name)
        for name in sorted(counts.keys() - self._counts.keys()):
            self._log.info("maximum_reached", customer=name, jobs=counts[name])
        if counts or self._counts:
            total = sum(counts.values())
            self._metrics.set_gauge("customers.held_back", total)
        self._counts = dict(counts)


def count_jobs(state: states.State) -> dict[str, int]:
    """Return how many queued jobs wait for their maximum, by customer."""
    counts: collections.Counter[str] = collections.Counter()
    for name, wait in state.core["waits"].items():
        if wait.reason == scheduling.Reason.MAXIMUM and name in state.queue:
            counts[state.core["jobs"][name]["spec"]["customer"]] += 1
    return dict(counts)
