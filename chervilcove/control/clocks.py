"""Time of day that all entries share, and that does not jump.

Times of day differ between machines, and jump by seconds in either direction.
Jobs are ranked by their age, fall due, and are forgotten by times that one
entry wrote and another one reads. The owner therefore writes its time to the
ledger, and all entries continue it on their steady clocks, a successor too.
"""

from collections.abc import Callable
import time

# Delays of the ledger make a time that was read too low, so the highest of
# the recent ones counts. Those older than two windows are forgotten.
WINDOW_S = 10.0
# Share of the elapsed time by which the owner approaches its own time of day.
# A start with a wrong time is corrected in minutes; a jump that lasts seconds
# has hardly any effect.
SLEW_RATE = 0.005


def read_boot_clock_s() -> float:
    """Return a monotonic clock that includes time in suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SharedClock:
    """Time of day of the owner, continued on the steady clock.

    Args:
        read_wall_s: Returns the time of day of this machine, Unix seconds.
        read_steady_s: Returns the seconds of a clock that never jumps.
    """

    def __init__(
        self,
        *,
        read_wall_s: Callable[[], float] = time.time,
        read_steady_s: Callable[[], float] = read_boot_clock_s,
    ):
        self._read_wall_s = read_wall_s
        self._read_steady_s = read_steady_s
        steady_s = read_steady_s()
        self._offset_s = read_wall_s() - steady_s
        self._window_began_s = steady_s
        self._newest_offset_s = float("-inf")
        self._previous_offset_s = float("-inf")
        self._steered_at_s = steady_s

    def get_now_ms(self) -> int:
        """Return the shared time, Unix milliseconds."""
        return int((self._read_steady_s() + self._offset_s) * 1000)

    def record_owner_time(self, owner_ms: int, *, is_live: bool) -> None:
        """Adopt a time that the owner wrote to the ledger.

        Args:
            owner_ms: The time, Unix milliseconds.
            is_live: Whether it was read soon after it was written. Any other
                time is only a lower bound of the present one.
        """
        steady_s = self._read_steady_s()
        offset_s = owner_ms / 1000 - steady_s
        if not is_live:
            self._offset_s = max(self._offset_s, offset_s)
            return
        if steady_s - self._window_began_s > WINDOW_S:
            self._window_began_s = steady_s
            self._previous_offset_s = self._newest_offset_s
            self._newest_offset_s = float("-inf")
        self._newest_offset_s = max(self._newest_offset_s, offset_s)
        self._offset_s = max(self._newest_offset_s, self._previous_offset_s)

    def steer(self) -> None:
        """Approach the time of day of this machine; for the owner only."""
        steady_s = self._read_steady_s()
        limit_s = SLEW_RATE * max(0.0, steady_s - self._steered_at_s)
        self._steered_at_s = steady_s
        error_s = self._read_wall_s() - steady_s - self._offset_s
        self._offset_s += max(-limit_s, min(limit_s, error_s))

    def begin_steering(self) -> None:
        """Start to steer from now on, as this entry becomes the owner."""
        self._steered_at_s = self._read_steady_s()
