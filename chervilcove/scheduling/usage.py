"""Resources that customers have in use, added up over all workers."""

from typing import NamedTuple

from chervilcove.scheduling import core
from chervilcove.scheduling import worker_states


class Usage(NamedTuple):
    """Resources of one gang or of one customer.

    Attributes:
        processors: Thousandths of a core.
        memory_gb: Thousandths of a gigabyte.
        accelerators: Number of accelerators.
    """

    processors: int
    memory_gb: int
    accelerators: int


NO_USAGE = Usage(0, 0, 0)


class CustomerUsage:
    """Count the resources that gangs hold, by customer."""

    def __init__(self):
        self._by_customer: dict[str, Usage] = {}

    def add(self, gang: core.Gang, sign: int = 1) -> None:
        """Count `gang`; with a `sign` of -1, cease to count it."""
        before = self.get(gang.customer)
        # Spelled out, as a round allocates and releases gangs many times.
        tasks = sign * len(gang.places)
        self._by_customer[gang.customer] = Usage(
            before.processors
            + tasks * worker_states.to_milliunits(gang.processors),
            before.memory_gb
            + tasks * worker_states.to_milliunits(gang.memory_gb),
            before.accelerators
            + sign * sum(place.mask.bit_count() for place in gang.places),
        )

    def get(self, customer: str) -> Usage:
        """Return what `customer` has in use."""
        return self._by_customer.get(customer, NO_USAGE)


def measure_spec(spec: core.JobSpec) -> Usage:
    """Return the resources of the whole gang of `spec`."""
    tasks = spec["tasks"]
    return Usage(
        tasks * worker_states.to_milliunits(spec["processors"]),
        tasks * worker_states.to_milliunits(spec["memory_gb"]),
        tasks * spec["accelerators"],
    )
