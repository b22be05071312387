"""State charts, read from the JSON files of this package."""

import functools
from importlib import resources
from typing import NamedTuple

import json5

from chervilcove.core import errors


class StateChart(NamedTuple):
    """A state chart.

    Attributes:
        name: File name without its extension.
        initial: Initial state.
        final: States without transitions.
        transitions: Next state by event, by state.
    """

    name: str
    initial: str
    final: frozenset[str]
    transitions: dict[str, dict[str, str]]

    def advance(self, state: str, event: str) -> str | errors.Refusal:
        """Return the state after `event`, or a refusal if it isn't allowed."""
        target = self.transitions.get(state, {}).get(event)
        if target is None:
            return errors.refuse(
                errors.Kind.INVALID_VALUE,
                f"{self.name}: {event!r} is not allowed in state {state!r}",
            )
        return target

    def is_final(self, state: str) -> bool:
        """Return whether `state` is final."""
        return state in self.final


@functools.cache
def load_chart(name: str) -> StateChart:
    """Return the chart in the file `name`.jsonc of this package."""
    source = resources.files("chervilcove.charts").joinpath(f"{name}.jsonc")
    value = json5.loads(source.read_text())
    return StateChart(
        name=name,
        initial=value["initial"],
        final=frozenset(value["final"]),
        transitions=value["transitions"],
    )
