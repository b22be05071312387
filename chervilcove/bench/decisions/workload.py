"""Generate the jobs and cancellations of a scenario from one seed.

The seed texts and the order of the random draws determine the jobs, so both
have to stay for reports to remain comparable.
"""

import math
import random
from typing import Any
from typing import NamedTuple

from chervilcove.customers import schema as customers
from chervilcove.scheduling import core


class SimulatedJob(NamedTuple):
    """A submitted job with the properties that the scheduler can't see.

    Attributes:
        spec: Description of the job by its caller.
        submitted_at: Simulated time of submission, in seconds.
        run_s: Actual seconds of work.
        faulty: Whether it fails on every worker.
        cancelled_at: Time at which its caller cancels it, or None.
    """

    spec: core.JobSpec
    submitted_at: float
    run_s: float
    faulty: bool
    cancelled_at: float | None


def draw_jobs(
    scenario: dict[str, Any],
    configuration: customers.Configuration,
    seed: int,
) -> list[SimulatedJob]:
    """Return the jobs of the scenario in order of submission."""
    jobs: list[SimulatedJob] = []
    for index, stream in enumerate(scenario["arrivals"]):
        generator = random.Random(f"{seed}/{scenario['name']}/{index}")
        jobs.extend(
            _draw_stream(scenario, configuration, stream, index, generator)
        )
    for event in scenario["events"]:
        if event["kind"] == "submit":
            jobs.append(_build_job(event))
    jobs.sort(key=lambda job: (job.submitted_at, job.spec["id"]))
    return _cancel_jobs(scenario, jobs, seed)


def _draw_stream(
    scenario: dict[str, Any],
    configuration: customers.Configuration,
    stream: dict[str, Any],
    index: int,
    generator: random.Random,
) -> list[SimulatedJob]:
    until = stream["until_s"]
    if until is None:
        until = scenario["horizon_s"]
    times = [stream["from_s"]] * stream["count"]
    at = stream["from_s"]
    while stream["per_hour"]:
        at += generator.expovariate(stream["per_hour"] / 3600.0)
        if at >= until:
            break
        times.append(at)
    return [
        _draw_job(
            scenario, configuration, stream, f"j{index}-{number}", at, generator
        )
        for number, at in enumerate(times)
    ]


def _draw_job(
    scenario: dict[str, Any],
    configuration: customers.Configuration,
    stream: dict[str, Any],
    name: str,
    at: float,
    generator: random.Random,
) -> SimulatedJob:
    shape = generator.choices(
        stream["shapes"], [item["weight"] for item in stream["shapes"]]
    )[0]
    customer = configuration["customers"][stream["customer"]]
    teams = stream["teams"] or [team["name"] for team in customer["teams"]]
    run = stream["run_s"]
    run_s = generator.lognormvariate(math.log(run["median"]), run["sigma"])
    run_s = min(max(run_s, run["least"]), run["most"])
    run_factor = _draw_factor(generator, stream["declared_off"])
    size_factor = _draw_factor(generator, stream["size_off"])
    # A worker limits each task to its declared cores, so a job that declares
    # too few runs longer.
    slowdown = max(1.0, 1.0 / size_factor) if shape["processors"] else 1.0
    spec = core.JobSpec(
        id=name,
        key=name,
        customer=stream["customer"],
        team=generator.choice(teams),
        kind=stream["kind"],
        urgency=stream["urgency"],
        tasks=shape["tasks"],
        accelerators=shape["accelerators"],
        processors=_compute_declared_size(
            scenario, shape, shape["processors"], size_factor, "processors"
        ),
        memory_gb=_compute_declared_size(
            scenario,
            shape,
            shape["memory_gb"],
            max(size_factor, 1),
            "memory_gb",
        ),
        adjacent=shape["adjacent"],
        data_centres=list(stream["data_centres"]),
        declared_run_s=run_s * run_factor,
        idempotent=stream["idempotent"],
        checkpointable=stream["checkpointable"],
    )
    faulty = generator.random() < stream["faulty_share"]
    return SimulatedJob(spec, at, run_s * slowdown, faulty, None)


def _draw_factor(generator: random.Random, max_factor: float) -> float:
    """Return a log-uniform factor from 1 / max_factor to max_factor."""
    return math.exp(
        generator.uniform(-math.log(max_factor), math.log(max_factor))
    )


def _compute_declared_size(
    scenario: dict[str, Any],
    shape: dict[str, Any],
    true_size: float,
    factor: float,
    resource: str,
) -> float:
    """Return the declared size of a resource for one task.

    It is at most the task's share of a worker, so that an overstated job can
    still be placed, but at least the true size or 0.1, whichever is smaller.
    """
    if factor == 1.0:
        return true_size
    capacity = scenario["pool"][resource]
    share = capacity * max(shape["accelerators"], 1) / 8
    return max(min(true_size * factor, share), min(true_size, 0.1))


def _build_job(event: dict[str, Any]) -> SimulatedJob:
    job = dict(event["job"])
    run_s = job.pop("run_s")
    faulty = job.pop("faulty")
    spec = core.JobSpec(key=job["id"], **job)
    return SimulatedJob(spec, event["at_s"], run_s, faulty, None)


def _cancel_jobs(
    scenario: dict[str, Any], jobs: list[SimulatedJob], seed: int
) -> list[SimulatedJob]:
    """Set the cancellation times, which don't depend on the policy."""
    cancelled: dict[str, float] = {}
    for index, event in enumerate(scenario["events"]):
        at = event["at_s"]
        if event["kind"] == "cancel":
            cancelled.setdefault(event["job"], at)
        if event["kind"] != "cancel_wave":
            continue
        generator = random.Random(f"{seed}/{scenario['name']}/wave{index}")
        for job in jobs:
            is_drawn = generator.random() < event["share"]
            is_recent = (
                at - event["submitted_within_s"] <= job.submitted_at < at
            )
            matches_customer = event["customer"] in ("", job.spec["customer"])
            if is_drawn and is_recent and matches_customer:
                cancelled.setdefault(job.spec["id"], at)
    return [
        job._replace(cancelled_at=cancelled.get(job.spec["id"])) for job in jobs
    ]
