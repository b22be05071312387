"""Running units by worker.

With 27,000 tasks, each of the searches that look at workers would otherwise
read all units. The owner knows what runs on a worker, so that only units on
workers that are looked at need be described. Otherwise units are grouped once a
round.
"""

from collections.abc import Sequence
import functools

from chervilcove.dispatch import round_input
from chervilcove.jobs import table


class WorkerUnits:
    """Units that run on each worker.

    Args:
        inputs: Input of the round.
    """

    def __init__(self, inputs: round_input.RoundInput):
        self._inputs = inputs
        self._listed: dict[str, list[table.UnitKey]] = {}

    def list_units(self, worker: str) -> Sequence[table.UnitKey]:
        """Return the units with tasks on a worker, each once."""
        list_units = self._inputs.list_units
        if list_units is None:
            return self._by_worker.get(worker, ())
        known = self._listed.get(worker)
        if known is None:
            running = self._inputs.running
            # A member of a gang may have ended there.
            known = self._listed[worker] = [
                unit
                for unit in list_units(worker)
                if unit in running
                and worker in running[unit].allocation.workers
            ]
        return known

    @functools.cached_property
    def _by_worker(self) -> dict[str, list[table.UnitKey]]:
        found: dict[str, list[table.UnitKey]] = {}
        for unit, running in self._inputs.running.items():
            workers = running.allocation.workers
            for worker in workers if len(workers) == 1 else set(workers):
                if worker in found:
                    found[worker].append(unit)
                else:
                    found[worker] = [unit]
        return found
