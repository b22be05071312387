"""Interference: which images slow each other down on one worker.

The load that this answers: tasks of some images use what no capacity shows,
such as memory bandwidth, and slow their neighbours on the same worker. The
scheduler learns from reports which pairs of images do so, and places their
tasks apart where there is room.

An observation is the slowdown of one task and the images beside it: the tail
latency of a serving task over its target, or the expected rate of progress over
the true one. For each pair the mean log slowdown beside the neighbour is
compared with the mean without it. A slow worker or a long task changes both
alike, as they meet all neighbours; a pair counts as harmful only with enough
observations on either side and a difference that is large against their
scatter. Observations lose weight with age, so that a harm that ends is
forgotten.
"""

import collections
from collections.abc import Iterable
import math
from typing import NamedTuple

# Age at which an observation has half of its weight, seconds. What disturbs
# serving tasks changes within seconds.
HALF_LIFE_S = 30.0
# Weight of the observations with and without the neighbour that a pair needs.
# A worker reports once a second and task, so that this takes some seconds.
MIN_WEIGHT = 6.0
# A task that runs less than a fifth slower isn't worth another worker.
MIN_SLOWDOWN = 1.2
# The difference has to exceed its standard error by this factor.
MIN_CERTAINTY = 2.0
MIN_VARIANCE = 0.01  # of log slowdowns; few equal observations prove nothing
# Bounds of the state: images and pairs that are kept, newest first.
MAX_IMAGES = 1_024
MAX_PAIRS = 8_192
MAX_LOG_SLOWDOWN = math.log(8.0)  # one stalled task must not outweigh all


class Harm(NamedTuple):
    """Learned effect of a neighbour on an image.

    Attributes:
        slowdown: Factor by which tasks of the image are slower beside it.
        weight: Weight of the observations beside it.
        age_s: Seconds since the newest one.
    """

    slowdown: float
    weight: float
    age_s: float


class _Mean:
    """Mean and variance of observations whose weight decays.

    Args:
        whole: Mean that contains these observations, None for none.
    """

    def __init__(self, *, whole: "_Mean | None" = None):
        self.whole = whole
        self.weight = 0.0
        self.total = 0.0
        self.squares = 0.0
        self.updated_s = 0.0

    def add(self, value: float, now_s: float) -> None:
        decay = self._get_decay(now_s)
        self.weight = self.weight * decay + 1.0
        self.total = self.total * decay + value
        self.squares = self.squares * decay + value * value
        self.updated_s = now_s

    def get_weight(self, now_s: float) -> float:
        return self.weight * self._get_decay(now_s)

    @property
    def mean(self) -> float:
        return self.total / self.weight if self.weight else 0.0

    @property
    def variance(self) -> float:
        if not self.weight:
            return MIN_VARIANCE
        spread = self.squares / self.weight - self.mean**2
        return max(MIN_VARIANCE, spread)

    def _get_decay(self, now_s: float) -> float:
        return 0.5 ** (max(0.0, now_s - self.updated_s) / HALF_LIFE_S)


class Interference:
    """Learn which images slow each other down."""

    def __init__(self):
        # Oldest use first, so that the bounds drop what is least recent.
        self._overall: collections.OrderedDict[str, _Mean] = (
            collections.OrderedDict()
        )
        self._beside: collections.OrderedDict[tuple[str, str], _Mean] = (
            collections.OrderedDict()
        )
        # Pairs that an image is part of.
        self._pairs: dict[str, set[tuple[str, str]]] = {}

    def record(
        self,
        image: str,
        neighbours: Iterable[str],
        slowdown: float,
        now_s: float,
    ) -> None:
        """Record how slow a task was beside its neighbours.

        Args:
            image: Image of the task.
            neighbours: Images of the other tasks on its worker.
            slowdown: Factor over what is expected on this worker.
            now_s: Monotonic seconds.
        """
        if not (slowdown > 0.0 and math.isfinite(slowdown)):
            return
        value = max(
            -MAX_LOG_SLOWDOWN, min(MAX_LOG_SLOWDOWN, math.log(slowdown))
        )
        overall = _touch(self._overall, image)
        overall.add(value, now_s)
        if len(self._overall) > MAX_IMAGES:
            self._overall.popitem(last=False)
        for neighbour in set(neighbours):
            pair = (image, neighbour)
            beside = _touch(self._beside, pair)
            if beside.whole is not overall:
                # The image was dropped since, and its mean lacks the pair's.
                beside = self._beside[pair] = _Mean(whole=overall)
            beside.add(value, now_s)
            for one in pair:
                self._pairs.setdefault(one, set()).add(pair)
        while len(self._beside) > MAX_PAIRS:
            self._drop_oldest_pair()

    def find_harm(
        self, image: str, neighbour: str, now_s: float
    ) -> Harm | None:
        """Return how much `neighbour` slows `image`, None if not surely."""
        overall = self._overall.get(image)
        beside = self._beside.get((image, neighbour))
        if overall is None or beside is None or beside.whole is not overall:
            return None
        beside_weight = beside.get_weight(now_s)
        apart_weight = overall.get_weight(now_s) - beside_weight
        if min(beside_weight, apart_weight) < MIN_WEIGHT:
            return None
        decay = beside_weight / beside.weight
        overall_decay = overall.get_weight(now_s) / overall.weight
        apart_total = overall.total * overall_decay - beside.total * decay
        difference = beside.mean - apart_total / apart_weight
        error = math.sqrt(
            beside.variance / beside_weight + overall.variance / apart_weight
        )
        if difference < max(math.log(MIN_SLOWDOWN), MIN_CERTAINTY * error):
            return None
        return Harm(
            math.exp(difference), beside_weight, now_s - beside.updated_s
        )

    def list_enemies(self, image: str, now_s: float) -> dict[str, float]:
        """Return the images that must be kept apart from `image`.

        Returns:
            The larger slowdown of both directions, by image.
        """
        found: dict[str, float] = {}
        for one, other in self._pairs.get(image, ()):
            harm = self.find_harm(one, other, now_s)
            if harm is not None:
                neighbour = other if one == image else one
                found[neighbour] = max(harm.slowdown, found.get(neighbour, 0.0))
        return found

    @property
    def pair_count(self) -> int:
        """Return the number of pairs that were observed."""
        return len(self._beside)

    def _drop_oldest_pair(self) -> None:
        pair, _ = self._beside.popitem(last=False)
        for one in set(pair):
            pairs = self._pairs[one]
            pairs.discard(pair)
            if not pairs:
                del self._pairs[one]


def _touch(means: collections.OrderedDict, key: object) -> _Mean:
    """Return the mean of a key, as the one used last."""
    mean = means.setdefault(key, _Mean())
    means.move_to_end(key)
    return mean
