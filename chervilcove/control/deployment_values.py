"""Values of the deployment that may change while an entry runs."""

from typing import NamedTuple

from chervilcove.dispatch import capacity
from chervilcove.dispatch import round_input
from chervilcove.jobs import staleness


class DeploymentValues(NamedTuple):
    """What the deployment guarantees, and what the entry's machine has.

    Attributes:
        bounds: Times that the deployment guarantees.
        config_bounds: Times that it guarantees for a confirmed configuration.
        contention: What the deployment does about contention.
        limits: Limits of the machine of the entry.
        processors: Processors that the entry may use.
        drain_s: Maximum seconds that a stop may take.
    """

    bounds: round_input.ReclaimBounds = round_input.ReclaimBounds()
    config_bounds: staleness.ConfigurationBounds = (
        staleness.ConfigurationBounds()
    )
    contention: round_input.ContentionPolicy = round_input.ContentionPolicy()
    limits: capacity.EntryLimits = capacity.UNKNOWN_LIMITS
    processors: float = 1.0
    drain_s: float = 30.0
