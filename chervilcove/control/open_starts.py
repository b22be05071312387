"""Starts that got no answer and may still be carried out.

A call without an answer may be executed seconds later. The process that ran the
task refuses a second start of the run, but a later process of that worker does
not know the run. Nothing can refuse the start there before the first renewal.

So the end of such a task is recorded and shown like any other, but the worker
keeps it listed until no start of the task can come any more: once an end is
acknowledged, the task never runs again. If the worker starts again before that,
the end was never acknowledged.

The units are recorded in the ledger before a start is tried again, so that the
next owner knows them. A start that was not tried again has been carried out
if its run is listed; if the run is lost instead, the unit is recorded then.
"""

from collections.abc import Callable
from collections.abc import Iterable
import time

from gevent import event

from chervilcove.control import interfaces
from chervilcove.control import owner_writer
from chervilcove.control import sessions
from chervilcove.core import logs
from chervilcove.core import metrics as metric_values
from chervilcove.jobs import records

# Other ends don't show that a task has run or failed, and need not be kept.
KEPT_ENDS = ("done", "failed")


class OpenStarts:
    """Units with a start that may still be carried out, for one owner.

    Args:
        writer: Writes the records of the owner.
        epoch: Epoch of the owner.
        inherited: Units that earlier owners recorded.
        inherited_until: Monotonic seconds until which earlier owners may have
            sent starts.
        metrics: Metrics of this entry.
    """

    def __init__(
        self,
        *,
        writer: owner_writer.OwnerWriter,
        epoch: int,
        inherited: Iterable[str],
        inherited_until: float,
        metrics: metric_values.Metrics,
    ):
        self._writer = writer
        self._epoch = epoch
        self._metrics = metrics
        self._log = logs.Log(source="starts")
        self._inherited_end = inherited_until + sessions.MAX_CALL_DELAY_S
        # Monotonic seconds until which a start of the unit may come, by name.
        self._ends = dict.fromkeys(inherited, self._inherited_end)

    def record_unanswered(self, unit: str) -> None:
        """Record a start without an answer, and wait until that is stored.

        Args:
            unit: Name of the unit.
        """
        stored = event.Event()
        end = time.monotonic() + sessions.MAX_CALL_DELAY_S
        self._record(unit, end, stored.set)
        stored.wait()

    def record_inherited(self, unit: str) -> None:
        """Record that a start by an earlier owner may still be carried out."""
        if time.monotonic() < self._inherited_end:
            self._record(unit, self._inherited_end, None)

    def may_come(self, task: str) -> bool:
        """Tell whether a start of a task, or of its gang, may still come."""
        gang, _, _ = task.rpartition(".")
        now = time.monotonic()
        return any(now < self._ends.get(unit, now) for unit in (task, gang))

    def choose_acknowledged(self, reply: interfaces.LeaseReply) -> int:
        """Return the number up to which a worker may forget its ends.

        Args:
            reply: Answer of the worker to a renewal.

        Returns:
            0 if it must keep all.
        """
        newest = max((end.number for end in reply.ended), default=0)
        if not reply.is_complete:
            # Further ends are only listed once these are forgotten.
            return newest
        kept = [
            end.number
            for end in reply.ended
            if end.how in KEPT_ENDS and self.may_come(end.task)
        ]
        if not kept:
            return newest
        first = min(kept)
        return max(
            (end.number for end in reply.ended if end.number < first), default=0
        )

    def drop_expired(self) -> None:
        """Drop the units that no start can reach any more."""
        now = time.monotonic()
        for unit in [one for one, end in self._ends.items() if end <= now]:
            del self._ends[unit]
            self._writer.enqueue(self._build_key(unit), b"")
        self._metrics.set_gauge("starts.open", len(self._ends))

    def _record(
        self, unit: str, end: float, on_stored: Callable[[], None] | None
    ) -> None:
        is_known = unit in self._ends
        self._ends[unit] = max(end, self._ends.get(unit, end))
        if not is_known:
            self._log.info("start_left_open", unit=unit)
            self._writer.enqueue(
                self._build_key(unit),
                records.encode_value(self._epoch),
                on_stored,
            )
        elif on_stored is not None:
            self._writer.call_when_stored(on_stored)

    def _build_key(self, unit: str) -> str:
        return records.build_key(records.Kind.OPEN_START, unit)
