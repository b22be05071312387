"""In-memory stand-in for the job ledger, with fault injection."""

import gevent
from gevent import event

from chervilcove.control import interfaces
from chervilcove.core import errors


class MemoryLedger(interfaces.Ledger):
    """Ledger that keeps its records in a list.

    Attributes:
        first_offset: Offset below which a read is refused as `GONE`.
        is_down: Whether every call is refused without any effect.
        swallow: Number of further appends that take effect but are answered
            by `OUTCOME_UNKNOWN`.
        appends: Number of appends that took effect.
    """

    def __init__(self):
        self.records: list[interfaces.KeyedRecord] = []
        self.first_offset = 0
        self.is_down = False
        self.swallow = 0
        self.appends = 0
        self._epoch = 0
        # Offset of each append of the newest epoch, by sequence number.
        self._offsets_by_sequence: dict[int, int] = {}
        self._changed = event.Event()

    def append(
        self,
        items: list[tuple[str, bytes]],
        *,
        fence: interfaces.Fence | None = None,
        timeout_s: float,
    ) -> int | errors.Refusal:
        """Append all `items` atomically; return the offset of the first.

        A repeated append of the same epoch and sequence has no effect and
        returns the offset of the first one.
        """
        gevent.sleep(0)
        if self.is_down:
            return errors.refuse(errors.Kind.LOG_UNAVAILABLE, "ledger is down")
        if fence is not None:
            if fence.epoch < self._epoch:
                return errors.refuse(errors.Kind.FENCED, "epoch is stale")
            if fence.epoch > self._epoch:
                self._epoch = fence.epoch
                self._offsets_by_sequence = {}
            if fence.sequence in self._offsets_by_sequence:
                return self._offsets_by_sequence[fence.sequence]
        offset = len(self.records)
        self.records += [
            interfaces.KeyedRecord(offset + number, key, value)
            for number, (key, value) in enumerate(items)
        ]
        if fence is not None:
            self._offsets_by_sequence[fence.sequence] = offset
        self.appends += 1
        self._changed.set()
        self._changed.clear()
        if self.swallow:
            self.swallow -= 1
            return errors.refuse(errors.Kind.OUTCOME_UNKNOWN, "answer was lost")
        return offset

    def read(
        self, offset: int, *, wait_s: float, timeout_s: float
    ) -> interfaces.Chunk | errors.Refusal:
        """Return the records from `offset`; wait up to `wait_s` for one."""
        if not self.is_down and offset >= len(self.records) and wait_s:
            self._changed.wait(timeout=wait_s)
        gevent.sleep(0)
        if self.is_down:
            return errors.refuse(errors.Kind.LOG_UNAVAILABLE, "ledger is down")
        if offset < self.first_offset:
            return errors.refuse(errors.Kind.GONE, "offset was compacted")
        end = len(self.records)
        return interfaces.Chunk(self.records[offset:], end, end)

    def read_newest(
        self, *, timeout_s: float
    ) -> interfaces.Chunk | errors.Refusal:
        """Return the newest record of each key."""
        gevent.sleep(0)
        if self.is_down:
            return errors.refuse(errors.Kind.LOG_UNAVAILABLE, "ledger is down")
        newest = {record.key: record for record in self.records}
        kept = sorted(one for one in newest.values() if one.value)
        end = len(self.records)
        return interfaces.Chunk(kept, end, end)

    def lapse(self) -> None:
        """Expire the history; the newest record of each key stays readable."""
        self.first_offset = len(self.records)
