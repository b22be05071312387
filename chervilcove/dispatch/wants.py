"""The steps that wait, in the order in which they are served."""

from typing import NamedTuple

from chervilcove.dispatch import order
from chervilcove.dispatch import situation
from chervilcove.jobs import configuration
from chervilcove.jobs import specs
from chervilcove.jobs import table


class Want(NamedTuple):
    """Hold a step of a job with tasks that wait."""

    job: table.Job
    occurrence: int
    step: int
    count: int
    queue: configuration.Queue
    standing: order.Standing

    @property
    def turn(self) -> tuple[str, int, int]:
        """Return job, occurrence and step."""
        return (self.job.id, self.occurrence, self.step)

    @property
    def described(self) -> specs.Step:
        """Return the step."""
        return self.job.spec.steps[self.step]


def list_wants(now: situation.Situation) -> list[Want]:
    """Return the steps that wait, the first to be served first."""
    wants = []
    guaranteed = list_guaranteed(now)
    for job in now.jobs:
        if job.is_cancelled or job.is_failed or job.end is not None:
            continue
        queue = now.get_queue(job)
        factor = now.factors.get(queue.name, 1.0)
        turns = [
            (occurrence, number, count)
            for occurrence, number in job.list_turns(now.now_ms)
            if (count := job.count_waiting(occurrence, number))
        ]
        if not turns:
            continue
        chain_ms = order.estimate_chain_ms(job.spec, factor)
        for occurrence, number, count in turns:
            if job.spec.is_scheduled:
                since_ms = job.spec.get_due_ms(occurrence)
            else:
                since_ms = job.submission.accepted_ms
            left_ms = max(
                job.spec.steps[number].estimate_ms * factor,
                order.LEAST_ESTIMATE_MS,
            )
            standing = order.rank(
                queue=queue,
                is_guaranteed=(
                    queue.priority == 0
                    and job.submission.customer in guaranteed
                ),
                since_ms=since_ms,
                chain_ms=chain_ms,
                left_ms=min(left_ms, chain_ms),
                now_ms=now.now_ms,
            )
            wants.append(Want(job, occurrence, number, count, queue, standing))
    wants.sort(key=lambda want: want.standing.sort_key())
    return wants


def list_guaranteed(now: situation.Situation) -> set[str]:
    """Return the customers whose guarantee covers all their urgent jobs."""
    needed = dict.fromkeys(now.customers, 0)
    for job in now.jobs:
        customer = job.submission.customer
        if customer in needed and now.get_queue(job).priority == 0:
            needed[customer] += sum(
                step.count * step.need.accelerators for step in job.spec.steps
            )
    return {
        name
        for name, customer in now.customers.items()
        if needed[name] <= customer.guaranteed
    }


def compute_work(spec: specs.JobSpec) -> float:
    """Return the declared core-seconds of one occurrence of a job."""
    return sum(
        step.count * situation.count_cores(step.need) * step.estimate_ms / 1000
        for step in spec.steps
    )
