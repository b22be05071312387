"""Records of a simulated run, from which measures and checks are computed."""

from typing import NamedTuple

from chervilcove.bench.decisions import workload
from chervilcove.customers import schema as customers
from chervilcove.scheduling import core


class Run(NamedTuple):
    """One attempt of a job, from its placement to the release of its places.

    Attributes:
        job: Job id.
        attempt: Number of the attempt.
        gang: The gang as placed.
        placed_at: Time at which the policy placed it, in seconds.
        started_at: Time at which its tasks started, or None if they never
            started.
        stopped_at: Time at which its work ended or was ordered to stop.
        released_at: Time at which its places were free again.
        outcome: Value of `Reason`, or "running" if it was still running at
            the end of the simulation.
        kept_s: Seconds of work whose result was kept.
        lost_s: Seconds lost to discarded work or to stopping.
        beneficiary: Job for which it was preempted, empty if none.
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
        """Return the number of accelerators that the gang holds."""
        return sum(place.mask.bit_count() for place in self.gang.places)


class PoolState(NamedTuple):
    """Configuration and worker failures in effect from `at` on.

    Attributes:
        at: Simulated time, in seconds.
        configuration: Configuration in effect.
        lost: Names of the workers that are lost.
        failing: Names of the workers on which every task fails.
    """

    at: float
    configuration: customers.Configuration
    lost: frozenset[str]
    failing: frozenset[str]


class Sample(NamedTuple):
    """Free accelerators at one point in time.

    Attributes:
        at: Simulated time, in seconds.
        free: Free accelerators on usable workers.
        unusable: Free accelerators that the largest waiting gang cannot use.
        scattered: Unusable accelerators that it could use if they were
            adjacent.
        waiting: Number of jobs that are ready to be placed.
    """

    at: float
    free: int
    unusable: int
    scattered: int
    waiting: int


class WaitInterval(NamedTuple):
    """Interval, in seconds, in which a job was ready and not placed."""

    job: str
    since: float
    until: float


class JobEnd(NamedTuple):
    """Time at which a job ended and the outcome reported to its caller."""

    job: str
    at: float
    outcome: str


class Record:
    """Observations of one run of a scenario.

    Args:
        jobs: Jobs of the scenario.
        measure_from: Time in seconds; earlier submissions are not measured.
        end_limit: Latest time, in seconds, at which the run ends.
    """

    def __init__(
        self,
        *,
        jobs: list[workload.SimulatedJob],
        measure_from: float,
        end_limit: float,
    ):
        self.jobs = {job.spec["id"]: job for job in jobs}
        self.measure_from = measure_from
        self.end_limit = end_limit
        self.runs: list[Run] = []
        self.pool_states: list[PoolState] = []
        self.samples: list[Sample] = []
        self.wait_intervals: list[WaitInterval] = []
        self.job_ends: dict[str, JobEnd] = {}
        self.decision_s: list[float] = []
        self.capacities: list[tuple[float, int]] | None = None
        self.ended_at = 0.0
