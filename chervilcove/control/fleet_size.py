"""The size of the fleet, which the owner records for the other entries.

Only the owner reads the reports of the workers. An entry must know their number
before it claims, so the owner writes it into the ledger.
"""

from collections.abc import Callable

from chervilcove.control import owner_writer
from chervilcove.core import logs
from chervilcove.core import metrics as metric_values
from chervilcove.dispatch import capacity
from chervilcove.jobs import records

# A number is recorded if it is higher than the known one by a twentieth, or
# lower by a fifth: an eighth of the workers leaves and returns within seconds.
MAX_GROWTH = 1.05
MAX_DECLINE = 0.8


class FleetSize:
    """Record the number of workers of one owner.

    Args:
        writer: Writes records of the owner.
        limits: Limits of the entry.
        known: Number that an earlier owner recorded, 0 for none.
        on_deposed: Called with a reason if other entries should claim.
        metrics: Metrics of this entry.
    """

    def __init__(
        self,
        *,
        writer: owner_writer.OwnerWriter,
        limits: capacity.EntryLimits,
        known: int,
        on_deposed: Callable[[str], None],
        metrics: metric_values.Metrics,
    ):
        self._writer = writer
        self._limits = limits
        self._known = known
        self._on_deposed = on_deposed
        self._metrics = metrics
        self._log = logs.Log(source="fleet")

    def set_limits(self, limits: capacity.EntryLimits) -> None:
        """Apply other limits from the next list of workers on."""
        self._limits = limits

    def record(self, workers: int) -> None:
        """Record the number of workers if it differs much from the known one.

        If the claim was made without knowing it, and the fleet is too large for
        this entry, ownership is given up once the number is stored.
        """
        limit = capacity.count_ownable_workers(self._limits) or workers
        excess = max(0, workers - limit)
        self._metrics.set_gauge("fleet.workers_left_out", excess)
        is_near = MAX_DECLINE <= workers / max(1, self._known) <= MAX_GROWTH
        if not workers or (self._known and is_near):
            return
        gives_up = not self._known and not capacity.can_own(
            self._limits, workers
        )
        self._log.info(
            "fleet_size_recorded",
            workers=workers,
            before=self._known,
            ownable=limit,
            gives_up=gives_up,
        )
        self._known = workers
        self._writer.enqueue(
            records.build_key(records.Kind.FLEET),
            records.encode_value(workers),
            self._give_up if gives_up else None,
        )

    def _give_up(self) -> None:
        self._on_deposed("the fleet is too large for this entry")
