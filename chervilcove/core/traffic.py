"""What a process sends and receives over its link, by call."""

import collections
from typing import Any

from chervilcove.core import metrics as metric_values


class Traffic:
    """Count the bytes of calls to other processes, and of those served.

    Heads and bodies count, TCP and IP don't.

    Args:
        metrics: Receiver of the counters.
    """

    def __init__(self, *, metrics: metric_values.Metrics):
        self._metrics = metrics
        self._sent: collections.Counter[str] = collections.Counter()
        self._received: collections.Counter[str] = collections.Counter()
        self._calls: collections.Counter[str] = collections.Counter()
        self._unanswered: collections.Counter[str] = collections.Counter()
        self._longest_wait_s = 0.0

    def record_call(
        self, name: str, *, sent: int, received: int, send_wait_s: float
    ) -> None:
        """Count one call to another process.

        Args:
            name: Name of the call, with the kind of peer.
            sent: Size of the request, bytes.
            received: Size of the response, bytes; 0 if none came.
            send_wait_s: Seconds until the system took the request, which is
                long when the link or the peer takes no more.
        """
        self._count(name, sent, received)
        if not received:
            self._unanswered[name] += 1
            self._metrics.count(f"traffic.unanswered.{name}")
        self._longest_wait_s = max(self._longest_wait_s, send_wait_s)
        self._metrics.record_time("traffic.send_wait", send_wait_s)

    def record_served(self, port: str, *, sent: int, received: int) -> None:
        """Count one request that was served.

        Args:
            port: Name of the port.
            sent: Size of the body of the response, bytes.
            received: Size of the body of the request, bytes.
        """
        self._count(f"port_{port}", sent, received)

    def take_summary(self) -> dict[str, Any]:
        """Return what was counted since the last summary, for the log."""
        names = sorted(
            self._calls,
            key=lambda name: -self._sent[name] - self._received[name],
        )
        summary = {
            "sent": self._sent.total(),
            "received": self._received.total(),
            "longest_send_wait_ms": int(self._longest_wait_s * 1000),
            "calls": ",".join(
                f"{name}:{self._calls[name]}/{self._unanswered[name]}"
                f"/{self._sent[name]}/{self._received[name]}"
                for name in names
            ),
        }
        for counter in (
            self._sent,
            self._received,
            self._calls,
            self._unanswered,
        ):
            counter.clear()
        self._longest_wait_s = 0.0
        return summary

    def _count(self, name: str, sent: int, received: int) -> None:
        self._sent[name] += sent
        self._received[name] += received
        self._calls[name] += 1
        self._metrics.count(f"traffic.calls.{name}")
        self._metrics.count(f"traffic.sent.{name}", sent)
        self._metrics.count(f"traffic.received.{name}", received)
