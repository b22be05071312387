"""Explanations: where a job that was not sent would start, and why not."""

from collections.abc import Mapping
from typing import NamedTuple

from chervilcove.dispatch import observed_rounds
from chervilcove.dispatch import pending_steps
from chervilcove.dispatch import round_input
from chervilcove.dispatch import rounds
from chervilcove.dispatch import victims
from chervilcove.jobs import table

_Hold = observed_rounds.Hold
_Rule = observed_rounds.Rule
_UNSEEN = observed_rounds.Finding([])


class StepPlan(NamedTuple):
    """Decision about one step of a job.

    Attributes:
        step: Number of the step.
        starts: Id of a worker for each task that starts now.
        holds: What holds the other tasks back.
        stops: Runs that are stopped for the job; listed with the first step
            that makes room.
        wait_s: Estimated seconds until the first task, or the gang, starts;
            None if unknown.
        duration_s: Estimated seconds that a task takes.
    """

    step: int
    starts: tuple[str, ...]
    holds: tuple[observed_rounds.Hold, ...]
    stops: tuple[victims.Stop, ...]
    wait_s: float | None
    duration_s: float


class JobPlan(NamedTuple):
    """Decisions of a round about one job.

    Attributes:
        plan: The whole plan.
        steps: Its steps, in their first occurrence.
    """

    plan: rounds.Plan
    steps: tuple[StepPlan, ...]


def explain_round(inputs: round_input.RoundInput, job: table.Job) -> JobPlan:
    """Return the decisions of one round about a job.

    Args:
        inputs: Input of the round; `job` is the last of its jobs.
        job: The job; none of its units has started.
    """
    with inputs.resources.keep_schedulable():
        observed = observed_rounds.ObservedRound(inputs, job)
        plan = observed.run()
    return JobPlan(plan, _describe_steps(inputs, job, plan, observed.findings))


def _describe_steps(
    inputs: round_input.RoundInput,
    job: table.Job,
    plan: rounds.Plan,
    findings: Mapping[int, observed_rounds.Finding],
) -> tuple[StepPlan, ...]:
    due_in_s = max(0, job.spec.first_due_ms - inputs.now_ms) / 1000
    queue = inputs.get_queue(job)
    durations_ms = pending_steps.estimate_durations_ms(
        inputs, job, inputs.duration_factors.get(queue.name, 1.0)
    )
    stops = tuple(one for one in plan.stops if one.beneficiary == job.id)
    started: dict[int, list[str]] = {}
    for start in plan.starts:
        if start.unit.job == job.id and start.unit.occurrence == 0:
            started.setdefault(start.unit.step, []).extend(start.workers)
    steps: list[StepPlan] = []
    for number, step in enumerate(job.spec.steps):
        starts = started.get(number, ())
        if due_in_s:
            holds, wait_s = [_Hold(_Rule.DUE, step.count)], due_in_s
        elif step.after:
            holds = [_Hold(_Rule.AFTER, step.count)]
            wait_s = _find_end_s([steps[each] for each in step.after])
        else:
            holds, wait_s = findings.get(number, _UNSEEN)
        if starts:
            wait_s = 0.0
        is_first = any(
            one.rule in (_Rule.STOPS, _Rule.MAXIMUM) for one in holds
        )
        steps.append(
            StepPlan(
                number,
                tuple(starts),
                tuple(holds),
                stops if is_first else (),
                wait_s,
                durations_ms[number] / 1000,
            )
        )
        if is_first:
            stops = ()
    return tuple(steps)


def _find_end_s(before: list[StepPlan]) -> float | None:
    """Return when the last of some steps is expected to end, in seconds."""
    if any(one.wait_s is None for one in before):
        return None
    return max(one.wait_s + one.duration_s for one in before)
