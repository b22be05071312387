"""Observations of tasks beside their neighbours, from reports of workers."""

import collections
from collections.abc import Callable
from collections.abc import Mapping
import math
import time

from chervilcove.control import runs
from chervilcove.core import logs
from chervilcove.core import metrics as metric_values
from chervilcove.dispatch import interference
from chervilcove.jobs import specs
from chervilcove.jobs import table

# Observations of one worker that come sooner say little new.
OBSERVATION_INTERVAL_S = 0.9
# Pairs of images that are recorded a second, each of which takes 4 us. With
# 1,000 workers and 27 images on each it would be 700,000.
MAX_PAIRS_PER_S = 5_000
MAX_WORKERS = 4_096  # workers whose last observation is kept
# Time for which the images to keep apart from an image are not computed again.
ENEMIES_AGE_S = 1.0
MAX_ENEMIES = 2_048  # images for which they are kept


class NeighbourMonitor:
    """Learn which images slow each other down on the workers of one owner.

    What is learned lives in memory. A new owner learns it again, in as many
    reports as `interference.MIN_WEIGHT` asks for.

    Args:
        active_runs: Active runs of the owner.
        runs_by_worker: Keys of the runs on each worker.
        get_step: Returns the step of a unit.
        estimate_duration_s: Returns the expected duration of a run.
        metrics: Metrics of this entry.
    """

    def __init__(
        self,
        *,
        active_runs: Mapping[table.UnitKey, runs.Run],
        runs_by_worker: Mapping[str, set[table.UnitKey]],
        get_step: Callable[[table.UnitKey], specs.Step],
        estimate_duration_s: Callable[[runs.Run], float],
        metrics: metric_values.Metrics,
    ):
        self._runs = active_runs
        self._runs_by_worker = runs_by_worker
        self._get_step = get_step
        self._estimate_duration_s = estimate_duration_s
        self._metrics = metrics
        self._log = logs.Log(source="neighbours")
        self._learned = interference.Interference()
        self._observed_at: dict[str, float] = {}
        # Pairs that may be recorded now, and when it was computed.
        self._budget = float(MAX_PAIRS_PER_S)
        self._budget_at = time.monotonic()
        # By image, and when they were computed.
        self._enemies: dict[str, tuple[float, Mapping[str, float]]] = {}
        self._known_enemies: dict[str, frozenset[str]] = {}

    def observe_worker(self, worker: str) -> None:
        """Record the slowdown of each image on a worker.

        Tasks of one image count as one observation, as what slows a worker
        slows all of them.
        """
        now = time.monotonic()
        if now - self._observed_at.get(worker, 0.0) < OBSERVATION_INTERVAL_S:
            return
        tasks = [
            (run, member, step)
            for run, member, step in self._list_tasks(worker)
            if step.image
        ]
        images = {step.image for _, _, step in tasks}
        if not tasks or not self._take_budget(len(images) ** 2, now):
            return
        self._observed_at.pop(worker, None)
        self._observed_at[worker] = now
        if len(self._observed_at) > MAX_WORKERS:
            del self._observed_at[next(iter(self._observed_at))]
        # A filler whose pace is 0 disturbs nothing.
        present = collections.Counter(
            step.image for _, member, step in tasks if member.pace != 0
        )
        slowdowns: dict[str, list[float]] = collections.defaultdict(list)
        for run, member, step in tasks:
            slowdown = self._compute_slowdown(run, member, step)
            if slowdown is not None:
                slowdowns[step.image].append(slowdown)
        for image, values in slowdowns.items():
            neighbours = [
                one
                for one, count in present.items()
                if one != image or count > 1
            ]
            mean = math.exp(sum(map(math.log, values)) / len(values))
            self._learned.record(image, neighbours, mean, now)
        self._metrics.set_gauge("interference.pairs", self._learned.pair_count)

    def find_enemies(self, image: str) -> Mapping[str, float]:
        """Return the images that must be kept apart from `image`."""
        now = time.monotonic()
        computed_at, enemies = self._enemies.get(image, (-math.inf, {}))
        if now - computed_at < ENEMIES_AGE_S:
            return enemies
        enemies = self._learned.list_enemies(image, now)
        self._enemies.pop(image, None)
        self._enemies[image] = (now, enemies)
        if len(self._enemies) > MAX_ENEMIES:
            del self._enemies[next(iter(self._enemies))]
        names = frozenset(enemies)
        if names != self._known_enemies.get(image, frozenset()):
            self._log.info(
                "interference_changed",
                image=image,
                apart_from=",".join(
                    f"{name}:{enemies[name]:.1f}" for name in sorted(names)[:8]
                ),
                images=len(names),
            )
            self._known_enemies[image] = names
            if not names:
                del self._known_enemies[image]
        return enemies

    def _take_budget(self, pairs: int, now: float) -> bool:
        """Return whether pairs may be recorded now, and count them."""
        self._budget += (now - self._budget_at) * MAX_PAIRS_PER_S
        self._budget = min(self._budget, MAX_PAIRS_PER_S)
        self._budget_at = now
        if self._budget <= 0.0:
            return False
        self._budget -= pairs
        return True

    def _list_tasks(
        self, worker: str
    ) -> list[tuple[runs.Run, runs.Member, specs.Step]]:
        return [
            (self._runs[key], member, self._get_step(key))
            for key in self._runs_by_worker.get(worker, ())
            for member in self._runs[key].members
            if member.place.worker == worker
            and member.phase is runs.Phase.KNOWN
            and not self._runs[key].stop_reason
        ]

    def _compute_slowdown(
        self, run: runs.Run, member: runs.Member, step: specs.Step
    ) -> float | None:
        """Return the slowdown of a task, None if nothing tells it yet."""
        if step.target_ms:
            return member.load / step.target_ms if member.load > 0.0 else None
        if step.is_lasting or step.is_filler or len(run.members) > 1:
            # A filler advances at its pace, a gang at the rate of its slowest
            # member.
            return None
        rate = member.progress.get_rate()
        duration_s = self._estimate_duration_s(run)
        if rate is None or rate <= 0.0 or duration_s <= 0.0:
            return None  # a task that stands still is a matter of its worker
        return 100.0 / duration_s / rate
