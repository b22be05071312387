"""Draw the jobs and cancellations of a scenario from one seed."""

import math
import random
from typing import Any
from typing import NamedTuple

from chervilcove.customers import schema as customers
from chervilcove.scheduling import core


class TrueJob(NamedTuple):
    """Hold a job as submitted with what only the workers will find out.

    Attributes:
        spec: The job as its caller describes it.
        submitted_at: Seconds of the scenario.
        run_s: Seconds that it really works.
        faulty: Whether it fails wherever it starts.
        cancelled_at: Seconds at which its caller cancels it, or None.
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
) -> list[TrueJob]:
    """Return the jobs of the scenario in order of submission."""
    jobs: list[TrueJob] = []
    for index, stream in enumerate(scenario["arrivals"]):
        generator = random.Random(f"{seed}/{scenario['name']}/{index}")
        jobs.extend(
            _draw_stream(scenario, configuration, stream, index, generator)
        )
    for event in scenario["events"]:
        if event["kind"] == "submit":
            jobs.append(_read_job(event))
    jobs.sort(key=lambda job: (job.submitted_at, job.spec["id"]))
    return _cancel_jobs(scenario, jobs, seed)


def _draw_stream(
    scenario: dict[str, Any],
    configuration: customers.Configuration,
    stream: dict[str, Any],
    index: int,
    generator: random.Random,
) -> list[TrueJob]:
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
) -> TrueJob:
    shape = generator.choices(
        stream["shapes"], [item["weight"] for item in stream["shapes"]]
    )[0]
    customer = configuration["customers"][stream["customer"]]
    teams = stream["teams"] or [team["name"] for team in customer["teams"]]
    run = stream["run_s"]
    run_s = generator.lognormvariate(math.log(run["median"]), run["sigma"])
    run_s = min(max(run_s, run["least"]), run["most"])
    run_off = _draw_factor(generator, stream["declared_off"])
    size_off = _draw_factor(generator, stream["size_off"])
    # A worker holds each task to the cores that were declared for it.
    slowed = max(1.0, 1.0 / size_off) if shape["processors"] else 1.0
    spec = core.JobSpec(
        id=name,
        key=name,
        customer=stream["customer"],
        team=generator.choice(teams),
        kind=stream["kind"],
        urgency=stream["urgency"],
        tasks=shape["tasks"],
        accelerators=shape["accelerators"],
        processors=_declare(
            scenario, shape, shape["processors"], size_off, "processors"
        ),
        memory_gb=_declare(
            scenario, shape, shape["memory_gb"], max(size_off, 1), "memory_gb"
        ),
        adjacent=shape["adjacent"],
        data_centres=list(stream["data_centres"]),
        declared_run_s=run_s * run_off,
        idempotent=stream["idempotent"],
        checkpointable=stream["checkpointable"],
    )
    faulty = generator.random() < stream["faulty_share"]
    return TrueJob(spec, at, run_s * slowed, faulty, None)


def _draw_factor(generator: random.Random, most: float) -> float:
    """Return a factor between 1/most and most, even in its logarithm."""
    return math.exp(generator.uniform(-math.log(most), math.log(most)))


def _declare(
    scenario: dict[str, Any],
    shape: dict[str, Any],
    true_size: float,
    factor: float,
    resource: str,
) -> float:
    """Return a declared size that the gang's share of a worker can hold."""
    if factor == 1.0:
        return true_size
    whole = scenario["pool"][resource]
    share = whole * max(shape["accelerators"], 1) / 8
    return max(min(true_size * factor, share), min(true_size, 0.1))


def _read_job(event: dict[str, Any]) -> TrueJob:
    job = dict(event["job"])
    run_s = job.pop("run_s")
    faulty = job.pop("faulty")
    spec = core.JobSpec(key=job["id"], **job)
    return TrueJob(spec, event["at_s"], run_s, faulty, None)


def _cancel_jobs(
    scenario: dict[str, Any], jobs: list[TrueJob], seed: int
) -> list[TrueJob]:
    """Mark what callers cancel: the same jobs whatever the policy does."""
    cancelled: dict[str, float] = {}
    for index, event in enumerate(scenario["events"]):
        at = event["at_s"]
        if event["kind"] == "cancel":
            cancelled.setdefault(event["job"], at)
        if event["kind"] != "cancel_wave":
            continue
        generator = random.Random(f"{seed}/{scenario['name']}/wave{index}")
        for job in jobs:
            drawn = generator.random() < event["share"]
            recent = at - event["submitted_within_s"] <= job.submitted_at < at
            mine = event["customer"] in ("", job.spec["customer"])
            if drawn and recent and mine:
                cancelled.setdefault(job.spec["id"], at)
    return [
        job._replace(cancelled_at=cancelled.get(job.spec["id"])) for job in jobs
    ]
