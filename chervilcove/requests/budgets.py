"""Retry budget: a token bucket that first tries fill."""


class RetryBudget:
    """Limit retries to a fraction of the first tries.

    Over any period, the number of retries is at most `reserve`, plus `ratio`
    per first try, plus `trickle_per_s` per second, so retries cannot multiply
    an overload.

    Args:
        ratio: Retries earned by each first try.
        reserve: Maximum number of unused retries.
        trickle_per_s: Retries earned per second.
        now: Monotonic time, in seconds.
    """

    def __init__(
        self, *, ratio: float, reserve: float, trickle_per_s: float, now: float
    ):
        self._ratio = ratio
        self._reserve = reserve
        self._trickle_per_s = trickle_per_s
        self._tokens = reserve
        self._updated = now

    def add_first_try(self) -> None:
        """Add the retries that one first try earns."""
        self._tokens = min(self._reserve, self._tokens + self._ratio)

    def try_spend(self, now: float) -> bool:
        """Spend one retry; return False if none is left."""
        earned = (now - self._updated) * self._trickle_per_s
        self._tokens = min(self._reserve, self._tokens + earned)
        self._updated = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
