"""Separation: places tasks away from images that would slow them down.

The load that this answers: a pool with free workers, on which best fit would
put a task beside one of an image that is known to slow it down, or that it
would slow down. Such workers are chosen last. In a full pool the tasks share.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import types

from chervilcove.dispatch import round_input
from chervilcove.jobs import specs

NO_COSTS: Mapping[str, float] = types.MappingProxyType({})

FindEnemies = Callable[[str], Mapping[str, float]]


class NeighbourCosts:
    """Cost of the workers of one round for tasks of an image.

    Args:
        inputs: Input of the round.
    """

    def __init__(self, inputs: round_input.RoundInput):
        self._inputs = inputs
        self._images: dict[str, set[str]] | None = None
        self._started: list[tuple[str, str]] = []  # workers and images
        self._enemies: dict[str, Mapping[str, float]] = {}
        self._costs: dict[str, dict[str, float]] = {}

    def list_costs(self, step: specs.Step) -> Mapping[str, float]:
        """Return the slowdown expected on each worker with enemies."""
        image = step.image
        if not image:
            return NO_COSTS
        if image not in self._enemies:
            self._enemies[image] = self._inputs.find_enemies(image)
        enemies = self._enemies[image]
        if not enemies:
            return NO_COSTS
        if image not in self._costs:
            self._costs[image] = {
                worker: worst
                for worker, images in self._get_images().items()
                if (worst := max(enemies.get(one, 0.0) for one in images))
            }
        return self._costs[image]

    def add(self, step: specs.Step, workers: Iterable[str]) -> None:
        """Record tasks that start in this round."""
        image = step.image
        if not image:
            return
        for worker in workers:
            if self._images is None:
                self._started.append((worker, image))
                continue
            self._images.setdefault(worker, set()).add(image)
            for other, costs in self._costs.items():
                cost = self._enemies[other].get(image, 0.0)
                if cost > costs.get(worker, 0.0):
                    costs[worker] = cost

    def _get_images(self) -> dict[str, set[str]]:
        """Return the images that run on each worker."""
        if self._images is None:
            self._images = {}
            specs_by_job = {job.id: job.spec for job in self._inputs.jobs}
            for unit, running in self._inputs.running.items():
                spec = specs_by_job.get(unit.job)
                image = spec.steps[unit.step].image if spec else ""
                if image:
                    for worker in running.allocation.workers:
                        self._images.setdefault(worker, set()).add(image)
            for worker, image in self._started:
                self._images.setdefault(worker, set()).add(image)
        return self._images
