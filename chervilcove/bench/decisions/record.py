"""What the fake workers saw: the evidence that measures and checks use."""

from typing import NamedTuple

from chervilcove.bench.decisions import workload
from chervilcove.customers import schema as customers
from chervilcove.scheduling import core


class Run(NamedTuple):
    """Describe one attempt from its placement to the release of its places.

    Attributes:
        job: Job id.
        attempt: Number of the attempt.
        gang: The gang as placed.
        placed_at: When the placement was decided.
        started_at: When its tasks started, or None if they never did.
        stopped_at: When its work ended or was ordered to stop.
        released_at: When its places were free again.
        outcome: Value of `Reason`, or "running" at the end of the run.
        kept_s: Seconds of its work that were kept.
        lost_s: Seconds of work or of stopping that were lost.
        beneficiary: Job for which it was preempted, empty for none.
    """

    job: str
    attempt: int
    gang: core.Gang
    placed_at: float
    started_at: float | None
    stopped_at: float
    released_at: float
    outcome: str
    kept_s: float
    lost_s: float
    beneficiary: str

    @property
    def accelerators(self) -> int:
        """Return the accelerators that the gang holds."""
        return sum(place.mask.bit_count() for place in self.gang.places)


class Situation(NamedTuple):
    """Hold what operators and the platform have made true from `at` on.

    Attributes:
        at: Seconds of the scenario.
        configuration: Configuration in force.
        lost: Workers that are gone.
        failing: Workers that fail everything they start.
    """

    at: float
    configuration: customers.Configuration
    lost: frozenset[str]
    failing: frozenset[str]


class Sample(NamedTuple):
    """Hold the free accelerators of one moment.

    Attributes:
        at: Seconds of the scenario.
        free: Accelerators free on usable workers.
        unusable: Those that the largest waiting shape cannot use.
        scattered: Those that it could use were they adjacent.
        waiting: Jobs that wait.
    """

    at: float
    free: int
    unusable: int
    scattered: int
    waiting: int


class Waiting(NamedTuple):
    """Say from when to when a job was ready to be placed."""

    job: str
    since: float
    until: float


class Ending(NamedTuple):
    """Say how a job ended for its caller."""

    job: str
    at: float
    outcome: str


class Record:
    """Collect everything that one run of a scenario shows.

    Args:
        jobs: The jobs of the scenario.
        measure_from: Seconds before which submissions do not count.
        end_limit: Seconds at which the run ends at the latest.
    """

    def __init__(
        self,
        *,
        jobs: list[workload.TrueJob],
        measure_from: float,
        end_limit: float,
    ):
        self.jobs = {job.spec["id"]: job for job in jobs}
        self.measure_from = measure_from
        self.end_limit = end_limit
        self.runs: list[Run] = []
        self.situations: list[Situation] = []
        self.samples: list[Sample] = []
        self.waitings: list[Waiting] = []
        self.endings: dict[str, Ending] = {}
        self.decision_s: list[float] = []
        self.capacities: list[tuple[float, int]] | None = None
        self.ended_at = 0.0
