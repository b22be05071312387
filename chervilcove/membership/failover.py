"""Duties: work that one entry should do, and another does if it does not.

Responsibility is a hint. The first in rank acts at once; the next one acts
where work waits and nothing has moved for some seconds, whatever it believes
of the first. Two that act at one time cost a void record, nothing more.
"""

from collections.abc import Callable
from typing import Any


class FailoverTimer:
    """Tell whether this entry should act now.

    Args:
        name: Name of the duty, the key of the rendezvous hash.
        rank: Gives this entry's rank for a key, 0 for the first.
        patience_s: Time that each entry before this one is given.
    """

    def __init__(
        self, *, name: str, rank: Callable[[str], int], patience_s: float
    ):
        self.key = name
        self._rank = rank
        self._patience_s = patience_s
        self._progress: Any = None
        self._since: float | None = None

    def is_due(self, *, pending: bool, progress: Any, now: float) -> bool:
        """Tell whether this entry should act.

        Args:
            pending: Whether there is work.
            progress: Anything that changes when somebody does the work.
            now: Monotonic seconds.
        """
        if not pending:
            self._since = None
            return False
        if self._since is None or progress != self._progress:
            self._since = now
            self._progress = progress
        rank = self._rank(self.key)
        return now - self._since >= rank * self._patience_s
