"""Tasks: greenlets that own their state and talk by messages."""

import abc
from typing import Any

import gevent
from gevent import event
from gevent import queue

from chervilcove.core import logs


class Task(abc.ABC):
    """Run one greenlet with an inbox of bounded length.

    A subclass touches its state only inside `run`; others reach it by
    `post`.

    Args:
        name: Name in logs.
        inbox_limit: Messages held before `post` answers False.
    """

    def __init__(self, *, name: str, inbox_limit: int = 10_000):
        self.name = name
        self.log = logs.Log(source=name)
        self._inbox: queue.Queue = queue.Queue(maxsize=inbox_limit)
        self._greenlet: gevent.Greenlet | None = None
        self._stopping = event.Event()

    def start(self) -> None:
        """Start the greenlet."""
        self._greenlet = gevent.spawn(self._run_with_restarts)

    def stop(self, *, timeout_s: float = 1.0) -> None:
        """Ask the task to end, then end it after `timeout_s`."""
        self._stopping.set()
        if self._greenlet is not None:
            self._greenlet.join(timeout=timeout_s)
            self._greenlet.kill(block=False)

    def kill(self) -> None:
        """End the task at once, as the end of its process would."""
        self._stopping.set()
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def post(self, message: Any) -> bool:
        """Put `message` into the inbox; return False where it is full."""
        try:
            self._inbox.put_nowait(message)
        except queue.Full:
            return False
        return True

    def receive(self, *, timeout_s: float | None) -> Any | None:
        """Return the next message, or None after `timeout_s`."""
        try:
            return self._inbox.get(timeout=timeout_s)
        except queue.Empty:
            return None

    @property
    def is_stopping(self) -> bool:
        """Tell whether the task was asked to end."""
        return self._stopping.is_set()

    def rest(self, seconds: float) -> None:
        """Wait for `seconds` or until the task is asked to end."""
        self._stopping.wait(timeout=seconds)

    @abc.abstractmethod
    def run(self) -> None:
        """Do the work of the task until `is_stopping`."""

    def _run_with_restarts(self) -> None:
        while not self.is_stopping:
            try:
                self.run()
            except Exception as error:  # noqa: BLE001
                self.log.error(
                    "task_failed",
                    task=self.name,
                    error=type(error).__name__,
                    reason=error,
                )
                self.rest(0.5)
