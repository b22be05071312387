"""Recordings of a day: its workers, job arrivals and run durations.

A recording is read from the structured log lines of the entries, or from a
JSON file that was made of them.
"""

from collections.abc import Iterable
import pathlib
import shlex
from typing import NamedTuple

import msgspec

from chervilcove.core import errors
from chervilcove.jobs import specs


class Worker(NamedTuple):
    """Describe a worker of the recorded fleet."""

    id: str
    rack: str
    capacity: specs.Resources


class Arrival(NamedTuple):
    """Describe an accepted job.

    Attributes:
        at_ms: Time of acceptance, in Unix milliseconds.
        job: Id of the job.
        queue: Queue of the job.
        customer: Customer that submitted the job.
        priority: Priority of the queue, 0 first.
        stretch: Factor of the objective that applies to the job's critical
            path.
        target_ms: Constant part of the objective, in milliseconds.
        steps: Steps of the job.
        ran_ms: Recorded durations in milliseconds, by the unit's key without
            the job. Units without one take their declared duration.
    """

    at_ms: int
    job: str
    queue: str
    customer: str
    priority: int
    stretch: float
    target_ms: int
    steps: tuple[specs.Step, ...]
    ran_ms: dict[str, int]


class Recording(NamedTuple):
    """Hold the recording of a day.

    Attributes:
        about: Source of the recording.
        workers: Workers of the fleet, all present from the start.
        arrivals: Jobs in the order of their acceptance.
    """

    about: str
    workers: list[Worker]
    arrivals: list[Arrival]


def load_recording(path: str) -> Recording | errors.Refusal:
    """Return the recording that the JSON file `path` holds."""
    try:
        encoded = pathlib.Path(path).read_bytes()
        return msgspec.json.decode(encoded, type=Recording)
    except (OSError, msgspec.DecodeError) as error:
        return errors.refuse(
            errors.Kind.INVALID_VALUE, f"{path}: {error}", path=path
        )


def read_log(lines: Iterable[str], about: str) -> Recording:
    """Return the recording of a day from the log lines of all entries.

    Jobs whose steps were too long to be logged are left out, and so are jobs
    with lasting steps.

    Args:
        lines: Log lines; those of other events are ignored.
        about: Source of the recording.
    """
    workers: dict[str, Worker] = {}
    arrivals: dict[str, Arrival] = {}
    for line in lines:
        fields = _read_fields(line)
        event = fields.get("event")
        if event == "worker_listed":
            capacity = specs.Resources(
                int(fields["processors_m"]),
                int(fields["memory_mb"]),
                int(fields["accelerators"]),
            )
            worker = fields["worker"]
            workers[worker] = Worker(worker, fields["rack"], capacity)
        elif event == "job_submitted":
            arrival = _read_arrival(fields)
            if arrival is not None:
                arrivals.setdefault(arrival.job, arrival)
        elif event == "run_ended" and fields["how"] == "done":
            job, _, unit = fields["unit"].partition(".")
            if job in arrivals:
                ran_ms = int(float(fields["ran_s"]) * 1000)
                arrivals[job].ran_ms.setdefault(unit, ran_ms)
    ordered = sorted(
        arrivals.values(), key=lambda accepted: (accepted.at_ms, accepted.job)
    )
    return Recording(about, sorted(workers.values()), ordered)


def _read_arrival(fields: dict[str, str]) -> Arrival | None:
    if fields["outcome"] != "accepted" or not fields["steps"]:
        return None
    steps = msgspec.json.decode(fields["steps"], type=tuple[specs.Step, ...])
    if any(step.is_lasting for step in steps):
        return None
    return Arrival(
        at_ms=int(fields["accepted_ms"]),
        job=fields["job"],
        queue=fields["queue"],
        customer=fields["customer"],
        priority=int(fields["priority"]),
        stretch=float(fields["stretch"]),
        target_ms=int(fields["target_ms"]),
        steps=steps,
        ran_ms={},
    )


def _read_fields(line: str) -> dict[str, str]:
    if "event=" not in line:
        return {}
    try:
        words = shlex.split(line)
    except ValueError:
        return {}  # a truncated line with an open quote
    return {
        name: value
        for name, separator, value in (word.partition("=") for word in words)
        if separator
    }
