"""Links between programs: what happens to a call on its way.

A link has layers, one per fault that concerns it, so that faults overlap and
end independently. The stand-in that is called applies them.
"""

import random
from typing import NamedTuple


class Layer(NamedTuple):
    """What one fault does to a link.

    Attributes:
        silent: Calls aren't executed and never answered.
        reset: Connections are reset, and nothing is executed.
        status: Status of the answer instead of an execution, 0 for none.
        delay_s: Delay of each call, half of it before the execution.
        lost: Share of the calls that are executed and never answered.
        late: Share of the calls that are executed `late_s` later and never
            answered.
        late_s: Least and longest delay of a late call.
        first_try: Whether only the first try of each command is late.
        most: Number of calls that may be late, 0 for any.
        paths: Paths that this layer concerns, empty for all.
    """

    silent: bool = False
    reset: bool = False
    status: int = 0
    delay_s: float = 0.0
    lost: float = 0.0
    late: float = 0.0
    late_s: tuple[float, float] = (2.0, 12.0)
    first_try: bool = False
    most: int = 0
    paths: tuple[str, ...] = ()


class Fate(NamedTuple):
    """What happens to one call.

    Attributes:
        name: "normal", "silent", "reset", "status", "no_answer" or "late".
        delay_s: Delay before the execution; before the answer too, but for
            late calls.
        status: Status of the answer for "status".
    """

    name: str
    delay_s: float = 0.0
    status: int = 0


class Links:
    """Layers of all links of one stand-in, by a key of the link.

    Args:
        seed: Seed of the draws.
    """

    def __init__(self, *, seed):
        self._layers = {}
        self._tries = {}
        self._random = random.Random(seed)

    def set_layer(self, keys, fault, layer):
        """Add the layer of `fault` to the links; None takes it away."""
        for key in keys:
            layers = self._layers.setdefault(key, {})
            if layer is None:
                layers.pop(fault, None)
                self._tries.pop((key, fault), None)
            else:
                layers[fault] = layer

    def count_late(self, keys, fault):
        """Return how many calls a fault has made late on the links."""
        return sum(len(self._tries.get((key, fault), [])) for key in keys)

    def is_silent(self, key):
        """Return whether no answer can pass now."""
        return any(layer.silent for layer in self._find(key, ""))

    def is_reset(self, key):
        """Return whether connections are reset now."""
        return any(layer.reset for layer in self._find(key, ""))

    def draw(self, key, path, command=None):
        """Return the fate of a call.

        Args:
            key: The link.
            path: Path of the call.
            command: What identifies repeated tries of one command.
        """
        layers = self._find(key, path)
        if any(layer.reset for layer in layers):
            return Fate("reset")
        if any(layer.silent for layer in layers):
            return Fate("silent")
        delay_s = sum(layer.delay_s for layer in layers) / 2
        for fault, layer in self._layers.get(key, {}).items():
            if layer not in layers or not layer.late:
                continue
            tries = self._tries.setdefault((key, fault), [])
            if layer.first_try and command in tries:
                continue
            if layer.most and len(tries) >= layer.most:
                continue
            if self._random.random() < layer.late:
                tries.append(command)
                return Fate("late", self._random.uniform(*layer.late_s))
        for layer in layers:
            if layer.status:
                return Fate("status", delay_s, layer.status)
            if self._random.random() < layer.lost:
                return Fate("no_answer", delay_s)
        return Fate("normal", delay_s)

    def _find(self, key, path):
        return [
            layer
            for layer in self._layers.get(key, {}).values()
            if not layer.paths or path in layer.paths
        ]


def parse_layer(value):
    """Return the layer that a JSON document describes; None for None."""
    if value is None:
        return None
    value = {
        name: tuple(item) if isinstance(item, list) else item
        for name, item in value.items()
    }
    return Layer(**value)
