"""Runs that were ordered and have not begun, as the ledger shows them.

The first run counts as begun once it is ordered, so that ordinary starts need
no further record. Starts that are refused, given up or never answered are the
exception: the unit says so in the record that is written anyway when the run
ends, and in one of its own while the start stays unanswered.
"""

from collections.abc import Callable
import time

from chervilcove.control import runs
from chervilcove.jobs import records
from chervilcove.jobs import table

# Callers may see a state that is 2 s old; starts are answered in milliseconds.
UNCONFIRMED_S = 1.0


def expect_unbegun_runs(before: records.UnitRecord) -> int:
    """Return how many first runs of a unit count as not begun from an order on.

    After starts that failed, the next one counts only once it is confirmed.

    Args:
        before: Record of the unit before the order.
    """
    if before.run and before.unbegun_runs == before.run:
        return before.run + 1
    return before.unbegun_runs


def count_unbegun_runs(run: runs.Run, unit: records.UnitRecord) -> int:
    """Return how many of the first runs of a unit have not begun.

    Args:
        run: Newest run of the unit.
        unit: Record of the unit.
    """
    earlier = run.number - 1
    if unit.unbegun_runs < earlier:
        return unit.unbegun_runs  # an earlier run had begun
    return earlier if run.has_begun else run.number


class UnbegunRuns:
    """Record which active runs have not begun.

    Args:
        get_unit: Returns the record of a unit.
        write_unit: Writes the record of a unit.
    """

    def __init__(
        self,
        *,
        get_unit: Callable[[table.UnitKey], records.UnitRecord],
        write_unit: Callable[[table.UnitKey, records.UnitRecord], None],
    ):
        self._get_unit = get_unit
        self._write_unit = write_unit

    def check(self, run: runs.Run) -> None:
        """Record whether an active run has begun, if that isn't known yet."""
        unit = self._get_unit(run.key)
        if unit.run != run.number or unit.status != table.UnitStatus.ACTIVE:
            return
        unbegun = count_unbegun_runs(run, unit)
        if unbegun == unit.unbegun_runs:
            run.is_begin_recorded = run.has_begun
            return
        if unbegun == run.number and not self._is_overdue(run):
            return
        self._write_unit(run.key, unit._replace(unbegun_runs=unbegun))

    def _is_overdue(self, run: runs.Run) -> bool:
        """Return whether the answer to a start should have come.

        Runs of earlier owners are listed once their workers are reached.
        """
        waited_s = time.monotonic() - run.started
        return run.is_stored and not run.is_adopted and waited_s > UNCONFIRMED_S
