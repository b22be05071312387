"""Log lines and metrics about reservations and starts that are held back."""

from collections.abc import Sequence
import time

from chervilcove.core import logs
from chervilcove.core import metrics as metric_values
from chervilcove.dispatch import reservations

MAX_KNOWN_GANGS = 256  # gangs that aren't logged again
LOG_INTERVAL_S = 10.0  # between two lines about starts that are held back


class ContentionLog:
    """Log for which gangs workers are kept, and when starts are held back.

    Args:
        log: The log to write to.
        metrics: Metrics of this entry.
    """

    def __init__(self, *, log: logs.Log, metrics: metric_values.Metrics):
        self._log = log
        self._metrics = metrics
        self._known: dict[tuple[str, int, int], None] = {}
        self._was_active = False
        self._next_gate_line = 0.0

    def record(
        self, held: Sequence[reservations.Reservation], gated: int
    ) -> None:
        """Record the decisions of a round.

        Args:
            held: Reservations of the round.
            gated: Number of tasks that left room for urgent arrivals.
        """
        is_active = bool(held or gated)
        if is_active or self._was_active:
            self._metrics.set_gauge("gangs.reserved", len(held))
            self._metrics.set_gauge("starts.gated", gated)
        self._was_active = is_active
        for one in held:
            step_key = one.allocation.step_key
            if step_key in self._known:
                continue
            self._known[step_key] = None
            self._log.info(
                "gang_reserved",
                job=step_key[0],
                step=step_key[2],
                tasks=len(one.allocation.workers),
                ready_ms=int(one.ready_s * 1000),
            )
        while len(self._known) > MAX_KNOWN_GANGS:
            del self._known[next(iter(self._known))]
        now = time.monotonic()
        if gated and now >= self._next_gate_line:
            self._next_gate_line = now + LOG_INTERVAL_S
            self._log.info("starts_gated", tasks=gated)
