"""Admission control: a limit on concurrent requests that can be drained."""

from gevent import event

from chervilcove.core import errors


class AdmissionLimiter:
    """Admit a limited number of concurrent requests until it is closed.

    Args:
        limit: Maximum number of concurrent requests.
    """

    def __init__(self, *, limit: int):
        self._limit = limit
        self._is_closed = False
        self._is_empty = event.Event()
        self._is_empty.set()
        self.admitted_count = 0

    def acquire(self) -> errors.Refusal | None:
        """Admit one request, or return a refusal."""
        if self._is_closed:
            return errors.refuse(errors.Kind.DRAINING, "the entry is leaving")
        if self.admitted_count >= self._limit:
            return errors.refuse(
                errors.Kind.QUEUE_FULL,
                f"{self._limit} requests are already admitted",
                limit=self._limit,
            )
        self.admitted_count += 1
        self._is_empty.clear()
        return None

    def release(self) -> None:
        """Release the place of one request."""
        self.admitted_count -= 1
        if not self.admitted_count:
            self._is_empty.set()

    def close(self) -> None:
        """Refuse all further requests."""
        self._is_closed = True

    def wait_until_empty(self, *, timeout_s: float) -> bool:
        """Wait for all admitted requests; return whether all ended in time."""
        return self._is_empty.wait(timeout=timeout_s)
