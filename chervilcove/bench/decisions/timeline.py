"""Simulated clock with a queue of scheduled actions."""

from collections.abc import Callable
import heapq
import itertools

from chervilcove.core import clock as clocks


class Timeline:
    """Run actions in order of time; ties run in the order of scheduling."""

    def __init__(self):
        self._clock = clocks.ManualClock()
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    @property
    def now(self) -> float:
        """Return the simulated time in seconds."""
        return self._clock.read()

    def schedule(self, at: float, action: Callable[[], None]) -> None:
        """Schedule `action` for the time `at`, in seconds."""
        heapq.heappush(self._heap, (at, next(self._sequence), action))

    def has_next(self, end: float) -> bool:
        """Return whether an action is scheduled for `end` or earlier."""
        return bool(self._heap) and self._heap[0][0] <= end

    def step(self) -> None:
        """Advance the clock to the next action and run it."""
        at, _, action = heapq.heappop(self._heap)
        self.advance_to(at)
        action()

    def advance_to(self, at: float) -> None:
        """Advance the clock to `at`; an earlier time leaves it unchanged."""
        self._clock.advance(max(0.0, at - self.now))
