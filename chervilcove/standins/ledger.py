"""A stand-in of the job ledger, in memory, with the faults of the real one."""

import gevent
from gevent import event

from chervilcove.control import interfaces
from chervilcove.core import errors


class MemoryLedger(interfaces.Ledger):
    """Keep records in one list.

    Attributes:
        is_down: Refuses all calls, surely without an effect.
        swallow: Appends still to be done without an answer.
        appends: Appends done so far.
    """

    def __init__(self):
        self.records: list[interfaces.KeyedRecord] = []
        self.first_offset = 0
        self.is_down = False
        self.swallow = 0
        self.appends = 0
        self._epoch = 0
        # Outcome of each numbered append of the newest epoch.
        self._done: dict[int, int] = {}
        self._changed = event.Event()

    def append(
        self,
        items: list[tuple[str, bytes]],
        *,
        fence: interfaces.Fence | None = None,
        timeout_s: float,
    ) -> int | errors.Refusal:
        """Append all `items` or none; return the offset of the first."""
        gevent.sleep(0)
        if self.is_down:
            return errors.refuse(errors.Kind.LOG_UNAVAILABLE, "down")
        if fence is not None:
            if fence.epoch < self._epoch:
                return errors.refuse(errors.Kind.FENCED, "fenced")
            if fence.epoch > self._epoch:
                self._epoch = fence.epoch
                self._done = {}
            if fence.sequence in self._done:
                return self._done[fence.sequence]
        offset = len(self.records)
        self.records += [
            interfaces.KeyedRecord(offset + number, key, value)
            for number, (key, value) in enumerate(items)
        ]
        if fence is not None:
            self._done[fence.sequence] = offset
        self.appends += 1
        self._changed.set()
        self._changed.clear()
        if self.swallow:
            self.swallow -= 1
            return errors.refuse(errors.Kind.OUTCOME_UNKNOWN, "lost answer")
        return offset

    def read(
        self, offset: int, *, wait_s: float, timeout_s: float
    ) -> interfaces.Chunk | errors.Refusal:
        """Return the records from `offset`; wait up to `wait_s` for one."""
        if not self.is_down and offset >= len(self.records) and wait_s:
            self._changed.wait(timeout=wait_s)
        gevent.sleep(0)
        if self.is_down:
            return errors.refuse(errors.Kind.LOG_UNAVAILABLE, "down")
        if offset < self.first_offset:
            return errors.refuse(errors.Kind.GONE, "lapsed")
        end = len(self.records)
        return interfaces.Chunk(self.records[offset:], end, end)

    def read_newest(
        self, *, timeout_s: float
    ) -> interfaces.Chunk | errors.Refusal:
        """Return the newest record of each key; read on from its end."""
        gevent.sleep(0)
        if self.is_down:
            return errors.refuse(errors.Kind.LOG_UNAVAILABLE, "down")
        newest = {record.key: record for record in self.records}
        kept = sorted(one for one in newest.values() if one.value)
        end = len(self.records)
        return interfaces.Chunk(kept, end, end)

    def lapse(self) -> None:
        """Forget the history; the newest record of each key is kept."""
        self.first_offset = len(self.records)
