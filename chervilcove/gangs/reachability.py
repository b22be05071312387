"""Reachability of a worker, with hysteresis.

The module reads no clock: callers pass times in, in monotonic seconds of
this entry.
"""

import enum

MIN_CONSECUTIVE_MISSES = 2


class Change(enum.Enum):
    """Changes of reachability that an answer or a failed call causes."""

    NONE = "none"
    LOST = "lost"
    FOUND = "found"


class ReachabilityTracker:
    """Track whether one worker is reachable.

    A worker becomes unreachable after `silence_s` without an answer and
    `MIN_CONSECUTIVE_MISSES` failed calls in a row, and reachable again after
    `recovery_s` without a failed call. The hysteresis keeps a worker with an
    unstable network from getting new gangs at each short recovery.

    Args:
        silence_s: Silence after which the worker counts as unreachable.
        recovery_s: Time without a failed call after which it counts as
            reachable again.
        now: Time of the first call.
    """

    def __init__(self, *, silence_s: float, recovery_s: float, now: float):
        self.is_reachable = True
        self._silence_s = silence_s
        self._recovery_s = recovery_s
        self._answered_at = now
        self._answering_since: float | None = now
        self._misses = 0

    def record_answer(self, now: float) -> Change:
        """Record an answer and return the change that it causes."""
        self._answered_at = now
        self._misses = 0
        if self._answering_since is None:
            self._answering_since = now
        if self.is_reachable or now - self._answering_since < self._recovery_s:
            return Change.NONE
        self.is_reachable = True
        return Change.FOUND

    def record_miss(self, now: float) -> Change:
        """Record a call without an answer and return the change it causes."""
        self._misses += 1
        self._answering_since = None
        is_silent = now - self._answered_at > self._silence_s
        if (
            not self.is_reachable
            or not is_silent
            or self._misses < MIN_CONSECUTIVE_MISSES
        ):
            return Change.NONE
        self.is_reachable = False
        return Change.LOST
