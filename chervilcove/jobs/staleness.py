"""What an entry may still decide by a configuration that may be out of date.

Load pattern: callers reach an entry that can't read the operator's state, on
open connections or because few entries of their data centre are ready, while
operators add and withdraw queues and keys.
"""

from typing import NamedTuple


class ConfigurationBounds(NamedTuple):
    """Times that the deployment promises for a confirmed configuration.

    Attributes:
        apply_s: Seconds after which it is in force.
        stretch_s: Additional seconds while the store is in trouble.
    """

    apply_s: float = 3.0
    stretch_s: float = 6.0


def can_refuse_for_good(age_s: float, bounds: ConfigurationBounds) -> bool:
    """Return whether an unknown queue or key is a reason for a final refusal.

    An older configuration may lack what another entry already serves, and a
    caller that is refused for good does not ask there.

    Args:
        age_s: Seconds for which a newer configuration may have been missed.
        bounds: Times that the deployment promises.
    """
    return age_s <= bounds.apply_s


def can_serve(age_s: float, bounds: ConfigurationBounds) -> bool:
    """Return whether requests may be served and tasks may be started.

    Up to this age the promise for a store in trouble holds. After it, withdrawn
    keys and evacuated data centres must not be used any more.

    Args:
        age_s: Seconds for which a newer configuration may have been missed.
        bounds: Times that the deployment promises.
    """
    return age_s <= bounds.apply_s + bounds.stretch_s
