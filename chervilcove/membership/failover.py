"""Failover of work that one entry does at a time.

The rank of an entry is only a hint. The first in rank acts at once. The next
one acts if work is pending and made no progress for some seconds, even if it
considers the first one live. Two entries that act at the same time cost no
more than a void record.
"""

from collections.abc import Callable
from typing import Any


class FailoverTimer:
    """Decide when this entry acts, or takes over from the entries before it.

    Args:
        key: Name of the work, the key of the rendezvous hash.
        get_rank: Returns this entry's rank for a key, 0 for the first.
        takeover_delay_s: Time given to each entry before this one, in seconds.
    """

    def __init__(
        self,
        *,
        key: str,
        get_rank: Callable[[str], int],
        takeover_delay_s: float,
    ):
        self.key = key
        self._get_rank = get_rank
        self._takeover_delay_s = takeover_delay_s
        self._progress: Any = None
        self._since: float | None = None

    def is_due(self, *, pending: bool, progress: Any, now: float) -> bool:
        """Return whether this entry should act now.

        Args:
            pending: Whether there is work to do.
            progress: Any value that changes when an entry does the work.
            now: Monotonic time, in seconds.
        """
        if not pending:
            self._since = None
            return False
        if self._since is None or progress != self._progress:
            self._since = now
            self._progress = progress
        rank = self._get_rank(self.key)
        return now - self._since >= rank * self._takeover_delay_s
