"""Answer times of all workers, which tell a full link from silent workers.

What one worker answers late, or not at all, is its own matter. If most workers
do so at the same time, the cause is what their calls share: the link or the
processor of this entry. Answers then come late, not never, and a call that is
given up and repeated makes them later still. So calls get more time meanwhile.
"""

from collections.abc import Callable
import time
from typing import NamedTuple

MIN_WORKERS = 8  # with fewer, nothing tells a common cause from a single one
SAMPLE_AGE_S = 3.0  # older answers don't count
USUAL_S = 0.05  # workers answer in milliseconds
LATE_S = 0.25  # half of the shortest time-out of a call
EXTRA_TIME_FACTOR = 4.0  # more time for a call, in multiples of typical delays
# With it, a worker is asked twice within the shortest lease.
MAX_EXTRA_TIME_S = 2.0
REFRESH_S = 0.1  # between computations of the typical delay


class CallStart(NamedTuple):
    """When a call began.

    Attributes:
        at: Monotonic seconds.
        held_s: Seconds for which rounds had held the process before.
    """

    at: float
    held_s: float


class AnswerTimes:
    """Keep the newest delay of each worker's answers.

    Args:
        count_workers: Returns the number of workers. Those that were not seen
            late count as prompt: many answer within the wait of a call, which
            doesn't tell how long the answer took.
    """

    def __init__(self, *, count_workers: Callable[[], int]):
        self._count_workers = count_workers
        self._held_s = 0.0
        # Monotonic seconds at which it was seen, and the delay, by worker.
        self._newest: dict[str, tuple[float, float]] = {}
        self._typical_s = 0.0
        self._computed_at = float("-inf")

    def record_round(self, seconds: float) -> None:
        """Record for how long a round held the process.

        No answer is read meanwhile, so that time isn't a delay of answers. It
        is 0.3 s with 1,000 workers.
        """
        self._held_s += seconds

    def begin_call(self) -> CallStart:
        """Return the start of a call that is sent now."""
        return CallStart(time.monotonic(), self._held_s)

    def measure(self, start: CallStart) -> float:
        """Return the seconds since the start of a call, but for rounds."""
        held_s = self._held_s - start.held_s
        return time.monotonic() - start.at - held_s

    def record(self, worker: str, delay_s: float) -> None:
        """Record how late a worker answered, or for how long it did not.

        Args:
            worker: Id of the worker.
            delay_s: Seconds beyond the wait that the call asked for.
        """
        self._newest[worker] = (time.monotonic(), max(0.0, delay_s))

    def get_typical_s(self) -> float:
        """Return the delay that half of the workers exceed now, in seconds."""
        now = time.monotonic()
        if now - self._computed_at >= REFRESH_S:
            self._computed_at = now
            self._typical_s = self._compute_typical_s(now)
        return self._typical_s

    def are_late(self) -> bool:
        """Tell whether most workers answer so late that the cause is here."""
        return self.get_typical_s() > LATE_S

    def extend(self, timeout_s: float) -> float:
        """Return the time-out of a call that usually has `timeout_s`."""
        excess_s = max(0.0, self.get_typical_s() - USUAL_S)
        return timeout_s + min(MAX_EXTRA_TIME_S, EXTRA_TIME_FACTOR * excess_s)

    def _compute_typical_s(self, now: float) -> float:
        self._newest = {
            worker: sample
            for worker, sample in self._newest.items()
            if now - sample[0] < SAMPLE_AGE_S
        }
        delays = sorted(delay_s for _, delay_s in self._newest.values())
        workers = max(self._count_workers(), len(delays))
        if workers < MIN_WORKERS:
            return 0.0
        prompt = workers - len(delays)
        middle = (workers - 1) // 2 - prompt
        return delays[middle] if middle >= 0 else 0.0
