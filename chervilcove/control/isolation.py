"""Isolation of faults: what one worker or job causes must not stop the others.

Documents are checked where they are read, but an exception that is not foreseen
would end the owner's round for all workers and jobs, and each further round.
"""

from collections.abc import Callable
from typing import Any

from chervilcove.core import logs
from chervilcove.core import metrics as metric_values


class FaultIsolation:
    """Carry out steps of a round, or effects of stored records, one by one.

    Args:
        log: Log of the owner.
        metrics: Metrics of this entry.
    """

    def __init__(self, *, log: logs.Log, metrics: metric_values.Metrics):
        self._log = log
        self._metrics = metrics

    def attempt(
        self, subject: str, step: Callable[..., None], *arguments: Any
    ) -> bool:
        """Carry out `step`; log and count an exception that it raises.

        Args:
            subject: Worker, job or unit that the step is about.
            step: Called with `arguments`.
            *arguments: Arguments of the step.

        Returns:
            Whether no exception was raised.
        """
        try:
            step(*arguments)
        except Exception as error:  # noqa: BLE001
            self._metrics.count("rounds.failed_steps")
            self._log.error(
                "round_step_failed",
                subject=subject,
                step=getattr(step, "__name__", ""),
                error=type(error).__name__,
                reason=error,
            )
            return False
        return True
