"""Start window: how many starts an owner has under way at a time.

Starts share the link of the entry with renewals, stops and heartbeats. They are
the one part of its traffic that can wait: more of them than the link carries
delay the others until leases end and the owner is replaced. The window follows
the delays of the answers, as congestion windows do. So it needs no rate of the
link, and it answers to a busy processor too.
"""

import collections
import time

INITIAL_SIZE = 16
MIN_SIZE = 4
PROMPT_S = 0.05  # workers answer in milliseconds
LATE_S = 0.1  # starts under way then wait for up to twice as long
SAMPLES = 12  # answers of as many workers decide
STEP = 4  # by which the window grows in the time of one answer, once it shrank


class StartWindow:
    """Compute the number of starts that may be under way."""

    def __init__(self):
        self._size = float(INITIAL_SIZE)
        # The window doubles in the time of an answer below this size.
        self._doubles_below = float("inf")
        self._reduced_at = float("-inf")
        # Newest delay of each worker, the newest one last.
        self._delays: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    @property
    def size(self) -> int:
        """Return how many starts may be under way."""
        return int(self._size)

    def record(self, worker: str, delay_s: float, *, under_way: int) -> None:
        """Record the answer to a start, or that none came.

        Args:
            worker: Id of the worker.
            delay_s: Seconds until the answer, or until it was given up.
            under_way: Number of starts under way, this one included.
        """
        self._delays[worker] = delay_s
        self._delays.move_to_end(worker)
        if len(self._delays) > SAMPLES:
            self._delays.popitem(last=False)
        delays = sorted(self._delays.values())
        middle_s = delays[(len(delays) - 1) // 2]
        if middle_s <= PROMPT_S:
            # A window that isn't used says nothing about a larger one.
            if under_way * 2 >= self._size:
                self._grow()
        elif middle_s > LATE_S and len(delays) == SAMPLES:
            self._shrink(middle_s)

    def _grow(self) -> None:
        if self._size < self._doubles_below:
            self._size += 1.0
        else:
            self._size += STEP / self._size

    def _shrink(self, delay_s: float) -> None:
        """Halve the window, once for what was sent before the last time."""
        now = time.monotonic()
        if now - self._reduced_at > 2 * delay_s:
            self._reduced_at = now
            self._size = max(float(MIN_SIZE), self._size / 2)
            self._doubles_below = self._size
