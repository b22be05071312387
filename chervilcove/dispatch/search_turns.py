"""Which steps get a search for victims in a round.

In a round the owner neither renews leases nor writes heartbeats, so that only
few searches fit into one: after an outage a hundred urgent steps wait at once,
and entries have half a processor. Guaranteed work is searched for without this
limit. The searches for the first steps by rank may fail round after round. Half
of the searches therefore go to the steps that have waited longest for one, the
others by rank.
"""

from collections.abc import Iterable
from collections.abc import Mapping

MAX_SEARCHES = 12  # in one round
MAX_SEARCHES_BY_TURN = 6  # of these
RETRY_MS = 100  # after a search without result

StepKey = tuple[str, int, int]


class SearchTurns:
    """Choose the steps of one round.

    Args:
        waiting: Steps that wait, by rank.
        retry_at: `retry_at` of the previous round.
        now_ms: Unix milliseconds.

    Attributes:
        retry_at: Unix milliseconds from which a step may be searched for
            again, since there were no victims or too many others waited.
    """

    def __init__(
        self,
        *,
        waiting: Iterable[StepKey],
        retry_at: Mapping[StepKey, int],
        now_ms: int,
    ):
        self._now_ms = now_ms
        self.retry_at = {
            step_key: retry_at[step_key]
            for step_key in waiting
            if step_key in retry_at
        }
        due = [key for key, at_ms in self.retry_at.items() if at_ms <= now_ms]
        due.sort(key=self.retry_at.__getitem__)
        self._by_turn = frozenset(due[:MAX_SEARCHES_BY_TURN])
        self._count = 0

    def may_search(self, step_key: StepKey) -> bool:
        """Return whether a step gets a search; called in the order of rank."""
        if self.retry_at.get(step_key, self._now_ms) > self._now_ms:
            return False
        if step_key in self._by_turn:
            return True
        self._count += 1
        if self._count <= MAX_SEARCHES - len(self._by_turn):
            return True
        self.retry_at.setdefault(step_key, self._now_ms)
        return False

    def record_search(self, step_key: StepKey, *, is_in_vain: bool) -> None:
        """Record the outcome of a search."""
        if is_in_vain:
            self.retry_at[step_key] = self._now_ms + RETRY_MS
        else:
            self.retry_at.pop(step_key, None)
