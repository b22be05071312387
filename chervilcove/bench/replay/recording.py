"""Recordings: the workers, arrivals and durations of a day.

They are read from the structured lines that entries print, or from a file.
"""

from collections.abc import Iterable
import pathlib
import shlex
from typing import NamedTuple

import msgspec

from chervilcove.core import errors
from chervilcove.jobs import specs


class Worker(NamedTuple):
    """Describe a worker."""

    id: str
    rack: str
    capacity: specs.Resources


class Arrival(NamedTuple):
    """Describe a job as it came.

    Attributes:
        at_ms: When it was accepted, Unix milliseconds.
        job: Its id.
        queue: Its queue.
        customer: Its customer.
        priority: Priority of its queue, 0 first.
        stretch: Part of its objective that grows with its work.
        target_ms: Rest of its objective, milliseconds.
        steps: What it runs.
        ran_ms: Milliseconds that its units took, by the unit without the
            job; the declared duration counts for others.
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
    """Hold a day.

    Attributes:
        about: Where it comes from.
        workers: Its workers, all there from the start.
        arrivals: Its jobs, in their order.
    """

    about: str
    workers: list[Worker]
    arrivals: list[Arrival]


def load_recording(path: str) -> Recording | errors.Refusal:
    """Return the recording in the file `path`."""
    try:
        encoded = pathlib.Path(path).read_bytes()
        return msgspec.json.decode(encoded, type=Recording)
    except (OSError, msgspec.DecodeError) as error:
        return errors.refuse(
            errors.Kind.INVALID_VALUE, f"{path}: {error}", path=path
        )


def read_log(lines: Iterable[str], about: str) -> Recording:
    """Return what the lines of all entries tell of a day.

    Jobs whose steps were too long for the log are left out, and so are tasks
    that last.
    """
    workers: dict[str, Worker] = {}
    arrivals: dict[str, Arrival] = {}
    for line in lines:
        fields = _read_fields(line)
        event = fields.get("event")
        if event == "worker_listed":
            need = specs.Resources(
                int(fields["processors_m"]),
                int(fields["memory_mb"]),
                int(fields["accelerators"]),
            )
            name = fields["worker"]
            workers[name] = Worker(name, fields["rack"], need)
        elif event == "job_submitted":
            arrival = _read_arrival(fields)
            if arrival is not None:
                arrivals.setdefault(arrival.job, arrival)
        elif event == "run_ended" and fields["how"] == "done":
            job, _, unit = fields["unit"].partition(".")
            if job in arrivals:
                ran_ms = int(float(fields["ran_s"]) * 1000)
                arrivals[job].ran_ms.setdefault(unit, ran_ms)
    ordered = sorted(arrivals.values(), key=lambda one: (one.at_ms, one.job))
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
        return {}  # a line that was cut
    return {
        name: value
        for name, mark, value in (word.partition("=") for word in words)
        if mark
    }
