"""Start window: how many starts an owner has under way at a time.

Starts share the link of the entry with renewals, stops and heartbeats. They are
the one part of its traffic that can wait: more of them than the link carries
delay the others until leases end and the owner is replaced. The window follows
the delays of the answers, as congestion windows do, so that it answers to a
link that others use or that is slower than the settings say. It begins with
what the link carries by the settings.
"""

import collections
import time

UNKNOWN_LINK_SIZE = 64  # to begin with, on a link of unknown rate
# Otherwise, what passes the link in this time, with starts of this size.
INITIAL_S = 0.1
START_BYTES = 700
MAX_SIZE = 512
MIN_SIZE = 4
# Least size in parts of what the link carries by the settings: answers to so
# few starts are late for another reason, as a busy processor.
LEAST_SHARE = 1 / 8
PROMPT_S = 0.05  # workers answer in milliseconds
LATE_S = 0.1  # starts under way then wait for up to twice as long
SAMPLES = 12  # answers of as many workers decide
SAMPLE_AGE_S = 3.0  # older answers don't count
GROWTH = 0.25  # of the window in the time of one answer, once it shrank


class StartWindow:
    """Compute the number of starts that may be under way.

    Args:
        link_mbps: Rate of the link in Mbit/s, 0 for unknown.
    """

    def __init__(self, *, link_mbps: float = 0.0):
        carried = _count_carried_starts(link_mbps)
        self._size = _limit(carried)
        self._least_size = (
            _limit(carried * LEAST_SHARE) if link_mbps else float(MIN_SIZE)
        )
        # The window doubles in the time of an answer below this size.
        self._doubles_below = float("inf")
        self._reduced_at = float("-inf")
        # Newest delay of each worker, and the monotonic seconds at which it
        # was seen; the newest one last.
        self._newest: collections.OrderedDict[str, tuple[float, float]] = (
            collections.OrderedDict()
        )

    @property
    def size(self) -> int:
        """Return how many starts may be under way."""
        return int(self._size)

    def record(self, worker: str, delay_s: float, *, under_way: int) -> None:
        """Record the answer to the first try of a start, or that none came.

        Later tries go to workers that are silent for a reason of their own.

        Args:
            worker: Id of the worker.
            delay_s: Seconds until the answer, or until it was given up.
            under_way: Number of starts under way, this one included.
        """
        now = time.monotonic()
        self._newest[worker] = (delay_s, now)
        self._newest.move_to_end(worker)
        while (
            len(self._newest) > SAMPLES
            or now - next(iter(self._newest.values()))[1] > SAMPLE_AGE_S
        ):
            self._newest.popitem(last=False)
        delays = sorted(delay for delay, _ in self._newest.values())
        middle_s = delays[(len(delays) - 1) // 2]
        if middle_s <= PROMPT_S:
            # A window that isn't used says nothing about a larger one.
            if under_way * 2 >= self._size:
                self._grow()
        elif middle_s > LATE_S and len(delays) == SAMPLES:
            self._shrink(middle_s)

    def _grow(self) -> None:
        step = 1.0 if self._size < self._doubles_below else GROWTH
        self._size = _limit(self._size + step)

    def _shrink(self, delay_s: float) -> None:
        """Halve the window, once for what was sent before the last time."""
        now = time.monotonic()
        if now - self._reduced_at > 2 * delay_s:
            self._reduced_at = now
            self._size = max(self._least_size, self._size / 2)
            self._doubles_below = self._size


def _count_carried_starts(link_mbps: float) -> float:
    """Return how many starts pass a link in `INITIAL_S`."""
    if not link_mbps:
        return UNKNOWN_LINK_SIZE
    return link_mbps * 1e6 / 8 * INITIAL_S / START_BYTES


def _limit(size: float) -> float:
    return min(float(MAX_SIZE), max(float(MIN_SIZE), size))
