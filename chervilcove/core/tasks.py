"""Tasks: greenlets that own their state and communicate by messages."""

import abc
from typing import Any

import gevent
from gevent import event
from gevent import queue

from chervilcove.core import logs


class Task(abc.ABC):
    """Greenlet with an inbox of bounded length.

    A subclass accesses its state only in `run`; other greenlets send it
    messages with `post`.

    Args:
        name: Name of the task, the source of its log lines.
        inbox_limit: Messages in the inbox above which `post` returns False.
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
        """Ask the task to stop and kill it after `timeout_s`."""
        self._stopping.set()
        if self._greenlet is not None:
            self._greenlet.join(timeout=timeout_s)
            self._greenlet.kill(block=False)

    def kill(self) -> None:
        """Kill the task at once, as a process exit would."""
        self._stopping.set()
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def post(self, message: Any) -> bool:
        """Put `message` into the inbox; return False if the inbox is full."""
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
        """Return whether the task was asked to stop."""
        return self._stopping.is_set()

    def sleep(self, seconds: float) -> None:
        """Sleep for `seconds`, or until the task is asked to stop."""
        self._stopping.wait(timeout=seconds)

    @abc.abstractmethod
    def run(self) -> None:
        """Do the work of the task until `is_stopping`.

        An exception is logged and `run` is called again after a delay.
        """

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
                self.sleep(0.5)
