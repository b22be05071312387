"""Clocks as objects, so that tests and benches can control the time."""

import abc
import time


class Clock(abc.ABC):
    """Source of the current time in seconds."""

    @abc.abstractmethod
    def read(self) -> float:
        """Return monotonic seconds."""

    @abc.abstractmethod
    def read_wall(self) -> float:
        """Return seconds since the Unix epoch."""


class SystemClock(Clock):
    """Read the clocks of the operating system."""

    def read(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()

    def read_wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()


class ManualClock(Clock):
    """Clock that advances only by `advance`, for tests and simulations."""

    def __init__(self, *, start: float = 0.0):
        self._now = start

    def read(self) -> float:
        """Return the seconds set by `start` and `advance`."""
        return self._now

    def read_wall(self) -> float:
        """Return the same seconds as `read`."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the clock forward by `seconds`."""
        self._now += seconds
