"""Places at which runs of earlier owners may live that no record shows.

The record of a unit keeps the workers of its newest run until that run has
certainly ended, also where the unit is done or waits already: the members of a
gang end one after the other, and a run is stopped once an earlier one turns out
to have ended as done. A new owner doesn't track these runs. For the maximum of
a customer they count until their worker has listed what it runs, or until no
lease of it can live. Until then the job isn't ended either, as the end of a job
removes the records of its units, and the next owner would know no place.
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import time
from typing import NamedTuple

from chervilcove.control import fleet as fleets
from chervilcove.jobs import maximums
from chervilcove.jobs import table


class _Place(NamedTuple):
    job: str
    usage: maximums.Usage


class InheritedPlaces:
    """Places of untracked runs in the records that an owner inherited.

    Args:
        jobs: Jobs of the working table, before any decision of the owner.
        fleet: Workers of the owner.
    """

    def __init__(self, *, jobs: Iterable[table.Job], fleet: fleets.Fleet):
        self._fleet = fleet
        # By worker, as all places on a worker are settled at once.
        self._places: dict[str, list[_Place]] = collections.defaultdict(list)
        self._counts: collections.Counter[str] = collections.Counter()
        for job in jobs:
            for worker, place in _list_untracked_places(job):
                self._places[worker].append(place)
                self._counts[job.id] += 1

    def list_usages(self) -> list[maximums.Usage]:
        """Return the tasks that may still run."""
        self._drop_settled()
        return [
            place.usage for places in self._places.values() for place in places
        ]

    def has_job(self, job: str) -> bool:
        """Tell whether tasks of a job may still run."""
        if self._counts[job]:
            self._drop_settled()
        return bool(self._counts[job])

    def _drop_settled(self) -> None:
        now = time.monotonic()
        for worker in [
            one for one in self._places if self._is_settled(one, now)
        ]:
            for place in self._places.pop(worker):
                self._counts[place.job] -= 1

    def _is_settled(self, worker: str, now: float) -> bool:
        session = self._fleet.sessions.get(worker)
        if session is not None and session.are_runs_known:
            return True
        return now >= self._fleet.get_lease_expiry(worker)


def _list_untracked_places(job: table.Job) -> Iterator[tuple[str, _Place]]:
    for key, unit in job.units.items():
        if unit.status == table.UnitStatus.ACTIVE:
            continue
        need = job.spec.steps[key.step].need
        usage = maximums.Usage(job.submission.customer, need, 1)
        for place in unit.places:
            yield place.worker, _Place(job.id, usage)
