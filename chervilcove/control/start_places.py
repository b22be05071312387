"""Places for starts that are under way.

Load pattern: an owner starts hundreds of tasks, some of them on workers that
answer nothing. Each unanswered try holds its place until its time-out, so that
repeated tries have places of their own, and a worker that owes an answer gets
no other first try.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib

from gevent import event
from gevent import lock


class StartPlaces:
    """Hand out places for starts.

    Args:
        size: Number of first tries under way, and likewise of repeated ones.
    """

    def __init__(self, *, size: int):
        self._first = lock.BoundedSemaphore(size)
        self._repeated = lock.BoundedSemaphore(size)
        # Tasks whose start a worker left unanswered, and the event of its next
        # answer, by worker.
        self._unanswered: dict[str, set[str]] = {}
        self._answered: dict[str, event.Event] = {}

    @contextlib.contextmanager
    def take(
        self,
        worker: str,
        *,
        is_repeated: bool,
        on_silence: Callable[[], None],
    ) -> Iterator[None]:
        """Wait for a place, and hold it.

        Args:
            worker: Id of the worker.
            is_repeated: Whether the start was sent before.
            on_silence: Called before a wait for the worker's answer to another
                start.
        """
        if is_repeated:
            with self._repeated:
                yield
            return
        while True:
            while self.is_silent(worker):
                on_silence()
                self._answered[worker].wait()
            with self._first:
                if not self.is_silent(worker):
                    yield
                    return

    def is_silent(self, worker: str) -> bool:
        """Return whether a worker owes the answer to a start."""
        return worker in self._answered

    def record_silence(self, worker: str, task: str) -> None:
        """Record that a worker left the start of a task unanswered."""
        self._unanswered.setdefault(worker, set()).add(task)
        self._answered.setdefault(worker, event.Event())

    def record_answer(self, worker: str) -> None:
        """Record that a worker answered; it may get other starts."""
        self._unanswered.pop(worker, None)
        answered = self._answered.pop(worker, None)
        if answered is not None:
            answered.set()

    def end_start(self, worker: str, task: str) -> None:
        """Record that the start of a task is no longer repeated."""
        unanswered = self._unanswered.get(worker, set())
        unanswered.discard(task)
        if not unanswered:
            self.record_answer(worker)
