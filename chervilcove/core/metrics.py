"""Counters, gauges and timings, sent to statsd and kept in memory."""

import bisect
import collections

import statsd

# Upper bounds of histogram buckets. They span from a response on the same
# machine to the longest time that callers wait.
BUCKET_BOUNDS_S = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1,
    2,
    5,
    10,
)


class Metrics:
    """Record metrics by name and send them to a statsd server.

    Args:
        host: IP address of the statsd server, empty for none.
        port: UDP port of the server, 0 for none.
        prefix: First part of each metric name sent to statsd.
    """

    def __init__(
        self, *, host: str = "", port: int = 0, prefix: str = "chervilcove"
    ):
        self._client = None
        if host and port:
            self._client = statsd.StatsClient(host, port, prefix=prefix)
        self._counts: collections.Counter[str] = collections.Counter()
        self._gauges: dict[str, float] = {}
        # The last bucket counts durations above all bounds.
        self._bucket_counts: dict[str, list[int]] = {}
        self._sums_s: collections.Counter[str] = collections.Counter()

    def count(self, name: str, amount: int = 1) -> None:
        """Add `amount` to the counter `name`."""
        self._counts[name] += amount
        if self._client is not None:
            self._send(self._client.incr, name, amount)

    def set_gauge(self, name: str, value: float) -> None:
        """Set the gauge `name` to `value`."""
        self._gauges[name] = value
        if self._client is not None:
            self._send(self._client.gauge, name, value)

    def record_time(self, name: str, seconds: float) -> None:
        """Add a duration of `seconds` to the timing `name`."""
        self._counts[f"{name}.count"] += 1
        buckets = self._bucket_counts.setdefault(
            name, [0] * (len(BUCKET_BOUNDS_S) + 1)
        )
        buckets[bisect.bisect_left(BUCKET_BOUNDS_S, seconds)] += 1
        self._sums_s[name] += seconds
        if self._client is not None:
            self._send(self._client.timing, name, seconds * 1000.0)

    def list_counts(self) -> dict[str, int]:
        """Return a copy of all counters."""
        return dict(self._counts)

    def list_gauges(self) -> dict[str, float]:
        """Return a copy of all gauges."""
        return dict(self._gauges)

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines = [
            f"{_format_name(name)} {value}"
            for name, value in sorted({**self._counts, **self._gauges}.items())
        ]
        for name, buckets in sorted(self._bucket_counts.items()):
            total = 0
            for bound, count in zip(
                (*BUCKET_BOUNDS_S, "+Inf"), buckets, strict=True
            ):
                total += count
                lines.append(
                    f'{_format_name(name)}_seconds_bucket{{le="{bound}"}} '
                    f"{total}"
                )
            lines.append(
                f"{_format_name(name)}_seconds_sum {self._sums_s[name]:.6f}"
            )
        return "\n".join(lines) + "\n"

    @staticmethod
    def _send(call, name: str, value: float) -> None:
        try:
            call(name, value)
        except OSError:
            pass


def _format_name(name: str) -> str:
    return "chervilcove_" + name.replace(".", "_").replace("-", "_")
