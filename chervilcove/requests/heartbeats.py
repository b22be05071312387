"""Periodic health requests to one minion over a kept connection."""

from collections.abc import Callable

from chervilcove.core import errors
from chervilcove.core import tasks
from chervilcove.requests import conf
from chervilcove.requests import core
from chervilcove.requests import minion_clients

OnProbe = Callable[[core.MinionStatus | errors.Refusal, bool], None]


class HeartbeatTask(tasks.Task):
    """Probe the health of one minion periodically and on demand.

    An open connection can stop responding permanently while new ones work.
    An unanswered request is therefore repeated at once over a new connection;
    the minion is reported as unreachable only if that gets no answer either.

    Args:
        name: Name of the minion.
        address: "IP:port" of the minion.
        limits: Interval and timeouts.
        on_probe: Called with the reported status, or a refusal, and whether
            the request on the kept connection got no answer.
    """

    def __init__(
        self,
        *,
        name: str,
        address: str,
        limits: conf.Limits,
        on_probe: OnProbe,
    ):
        super().__init__(name=f"heartbeat-{name}", inbox_limit=1)
        self._probe = minion_clients.HealthProbe(address=address, limits=limits)
        self._period_s = limits.heartbeat_s
        self._on_probe = on_probe

    def wake(self) -> None:
        """Send a health request at once, unless a wake-up is queued."""
        self.post(True)

    def stop(self, *, timeout_s: float = 0.0) -> None:
        """Stop the task and close its connection."""
        super().stop(timeout_s=timeout_s)
        self._probe.close()

    def run(self) -> None:
        """Probe the minion once per interval, or when woken."""
        while not self.is_stopping:
            self._probe_twice()
            self.receive(timeout_s=self._period_s)

    def _probe_twice(self) -> None:
        result = self._probe.send()
        is_connection_stale = errors.is_refusal(result)
        if is_connection_stale:
            result = self._probe.send()
        self._on_probe(result, is_connection_stale)
