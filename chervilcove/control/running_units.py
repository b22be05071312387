"""Running units as a round reads them, described when they are first read.

Most rounds read few of them: with a thousand runs, describing all took two
thirds of the time of a round.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping

from chervilcove.control import runs
from chervilcove.dispatch import round_input
from chervilcove.jobs import table


class RunningUnits(Mapping[table.UnitKey, round_input.RunningUnit]):
    """Mapping of the units that hold resources, for one round.

    Args:
        active_runs: Active runs of the owner; they may not change during the
            round.
        describe: Returns the description of a run.
    """

    def __init__(
        self,
        *,
        active_runs: Mapping[table.UnitKey, runs.Run],
        describe: Callable[[runs.Run], round_input.RunningUnit],
    ):
        self._runs = active_runs
        self._describe = describe
        self._known: dict[table.UnitKey, round_input.RunningUnit] = {}

    def __getitem__(self, key: table.UnitKey) -> round_input.RunningUnit:
        known = self._known.get(key)
        if known is None:
            known = self._known[key] = self._describe(self._runs[key])
        return known

    def __iter__(self) -> Iterator[table.UnitKey]:
        return iter(self._runs)

    def __len__(self) -> int:
        return len(self._runs)

    def __contains__(self, key: object) -> bool:
        return key in self._runs
