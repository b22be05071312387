"""Steps that wait for workers, in the order in which they are placed."""

from typing import NamedTuple

from chervilcove.dispatch import ranking
from chervilcove.dispatch import round_input
from chervilcove.dispatch import shares
from chervilcove.dispatch import usage
from chervilcove.jobs import configuration
from chervilcove.jobs import specs
from chervilcove.jobs import table

# Work beyond its customer's weight ranks like other work after this time, so
# that it doesn't starve. It is as long as the delay by share at most.
MAX_BEYOND_MS = shares.MAX_DELAY_MS


class PendingStep(NamedTuple):
    """A step of a job with units that wait for a run.

    Attributes:
        job: The job.
        occurrence: Number of the occurrence.
        step: Number of the step.
        count: Number of waiting units.
        queue: Queue of the job.
        rank: Rank among all pending steps.
    """

    job: table.Job
    occurrence: int
    step: int
    count: int
    queue: configuration.Queue
    rank: ranking.Rank

    @property
    def step_key(self) -> tuple[str, int, int]:
        """Return the key of the step: job, occurrence and step number."""
        return (self.job.id, self.occurrence, self.step)

    @property
    def step_spec(self) -> specs.Step:
        """Return the description of the step."""
        return self.job.spec.steps[self.step]


def list_pending_steps(inputs: round_input.RoundInput) -> list[PendingStep]:
    """Return the pending steps, the one to be placed first at the front."""
    pending_steps = []
    candidates = []
    guaranteed = list_guaranteed_customers(inputs)
    for job in inputs.jobs:
        if job.is_cancelled or job.is_failed or job.end is not None:
            continue
        queue = inputs.get_queue(job)
        factor = inputs.duration_factors.get(queue.name, 1.0)
        ready_steps = [
            (occurrence, number, count)
            for occurrence, number in job.list_ready_steps(inputs.now_ms)
            if (count := job.count_waiting_units(occurrence, number))
        ]
        if not ready_steps:
            continue
        durations_ms = estimate_durations_ms(inputs, job, factor)
        critical_path_ms = ranking.compute_critical_path_ms(
            job.spec.steps, durations_ms
        )
        is_beyond = not job.spec.is_lasting and inputs.is_beyond_weight(job)
        for occurrence, number, count in ready_steps:
            if job.spec.is_scheduled:
                eligible_since_ms = job.spec.get_due_ms(occurrence)
            else:
                eligible_since_ms = job.submission.accepted_ms
            rank = ranking.compute_rank(
                queue=queue,
                is_guaranteed=(
                    queue.priority == 0
                    and job.submission.customer in guaranteed
                ),
                eligible_since_ms=eligible_since_ms,
                critical_path_ms=critical_path_ms,
                remaining_ms=min(durations_ms[number], critical_path_ms),
                now_ms=inputs.now_ms,
                is_beyond=(
                    is_beyond
                    and inputs.now_ms - eligible_since_ms < MAX_BEYOND_MS
                ),
            )
            pending_steps.append(
                PendingStep(job, occurrence, number, count, queue, rank)
            )
            candidates.append(
                shares.Candidate(
                    account=usage.get_account(job),
                    service=queue.service,
                    rank=rank,
                    step=job.spec.steps[number],
                    count=count * job.count_tasks(number),
                    duration_ms=durations_ms[number],
                )
            )
    if inputs.contention.counts_shares(inputs.customers.values()):
        keys = shares.compute_sort_keys(
            candidates,
            jobs=inputs.jobs,
            customers=inputs.customers,
            resources=inputs.resources,
            recent=inputs.recent_usage,
        )
    else:
        keys = [one.rank.get_sort_key() for one in candidates]
    order = sorted(range(len(keys)), key=keys.__getitem__)
    return [pending_steps[index] for index in order]


def estimate_durations_ms(
    inputs: round_input.RoundInput, job: table.Job, factor: float
) -> list[float]:
    """Return the expected duration of each step of a job.

    Tasks of a step that have run tell it better than what was declared.
    """
    durations_ms = []
    for number, step in enumerate(job.spec.steps):
        known_s = inputs.get_step_duration_s(job.id, number)
        expected_ms = (
            step.estimate_ms * factor if known_s is None else known_s * 1000
        )
        durations_ms.append(max(expected_ms, ranking.MIN_ESTIMATE_MS))
    return durations_ms


def estimate_duration_s(
    inputs: round_input.RoundInput, pending: PendingStep
) -> float:
    """Return the expected seconds of a task of a step that waits."""
    factor = inputs.duration_factors.get(pending.queue.name, 1.0)
    durations_ms = estimate_durations_ms(inputs, pending.job, factor)
    return durations_ms[pending.step] / 1000


def list_guaranteed_customers(inputs: round_input.RoundInput) -> set[str]:
    """Return the customers whose guarantee covers all their urgent jobs."""
    needed = dict.fromkeys(inputs.customers, 0)
    for job in inputs.jobs:
        customer = job.submission.customer
        if customer in needed and inputs.get_queue(job).priority == 0:
            needed[customer] += sum(
                step.count * step.need.accelerators for step in job.spec.steps
            )
    return {
        name
        for name, customer in inputs.customers.items()
        if needed[name] <= customer.guaranteed
    }


def compute_declared_work(spec: specs.JobSpec) -> float:
    """Return the declared core-seconds of one occurrence of a job."""
    return sum(
        step.count
        * round_input.count_core_equivalents(step.need)
        * step.estimate_ms
        / 1000
        for step in spec.steps
    )
