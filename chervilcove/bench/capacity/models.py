"""Configurations and states of a chosen size, made through the machine."""

from typing import NamedTuple

from chervilcove.core import errors
from chervilcove.customers import schema as customers
from chervilcove.journal import client
from chervilcove.journal import machine
from chervilcove.journal import records
from chervilcove.journal import state as states
from chervilcove.scheduling import core as scheduling

RACK_WORKERS = 8
DATA_CENTRES = 5
REGIONS = 2
PROCESSORS = 128
MEMORY_GB = 256
TASKS_OF_GANG = 8
TEAMS_OF_CUSTOMER = 20
SHAPES_OF_CUSTOMER = 4


class Size(NamedTuple):
    """Say how large a model is.

    Attributes:
        workers: Number of workers.
        tasks: Tasks running, in gangs of `TASKS_OF_GANG`.
        teams: Teams, `TEAMS_OF_CUSTOMER` a customer.
    """

    workers: int
    tasks: int
    teams: int


class Model:
    """Hold a state and append records to it as the log would.

    Args:
        size: Its size.
    """

    def __init__(self, *, size: Size):
        self.size = size
        self.state = states.State()
        self._sequence = 0
        self._now = 1_000_000.0

    def apply(self, kind: str, body: dict) -> object:
        """Apply one item in a record of its own; return its outcome."""
        return self.apply_record(self.encode(kind, body)).events[0].outcome

    def encode(self, kind: str, body: dict) -> bytes:
        """Return the next record, with one item."""
        self._sequence += 1
        return records.encode(
            records.Envelope(
                records.FORMAT_VERSION,
                "entry-0123456789abcdef",
                self._sequence,
                [records.Item(kind, body)],
            )
        )

    def apply_record(self, content: bytes) -> machine.AppliedRecord:
        """Apply one encoded record."""
        self._now += 0.01
        offset = self.state.core["offset"] + 1
        record = client.Record(offset, self._now, content)
        return machine.apply_record(self.state, record)

    def fill(self) -> None:
        """Adopt the configuration and run all tasks."""
        note = build_note(self.size)
        outcome = self.apply("adopt", {"config_offset": 0, "note": note})
        if errors.is_refusal(outcome):
            raise ValueError(outcome.reason)
        names = list(self.state.core["configuration"]["workers"])
        gangs = self.size.tasks // TASKS_OF_GANG
        per_worker = max(1, -(-gangs // len(names)))
        for number in range(gangs):
            worker = names[(number // per_worker) % len(names)]
            self.run_gang(f"job-{number:08d}", worker)

    def run_gang(self, name: str, worker: str) -> None:
        """Submit, place and start one gang without accelerators."""
        self.apply("submit", {"spec": build_spec(name, self.size)})
        self.apply("plan", self.build_plan(name, worker))
        self.apply("started", {"job": name, "attempt": 1})

    def build_plan(self, name: str, worker: str) -> dict:
        """Return a plan that places one gang on `worker`."""
        places = (scheduling.TaskPlace(worker, 0),) * TASKS_OF_GANG
        return {
            "basis": self.state.core["basis"],
            "config_offset": self.state.core["config_offset"],
            "placements": [scheduling.Placement(name, 1, "", places)],
            "preemptions": [],
            "refusals": [],
        }


def build_note(size: Size) -> customers.Note:
    """Return the note that adds everything of a model."""
    added: list[dict] = [
        {
            "type": "data_centre",
            "name": f"data-centre-{number}",
            "region": f"region-{number % REGIONS}",
            "in_service": True,
        }
        for number in range(DATA_CENTRES)
    ]
    for number in range(size.workers):
        rack = number // RACK_WORKERS
        added.append(
            {
                "type": "worker",
                "name": f"worker-{number:04d}",
                "data_centre": f"data-centre-{rack % DATA_CENTRES}",
                "rack": f"rack-{rack:03d}",
                "address": f"127.0.0.1:{10_000 + number}",
                "processors": PROCESSORS,
                "memory_gb": MEMORY_GB,
                "accelerators": 8,
            }
        )
    added += _build_customers(size)
    return customers.Note(
        id="size",
        author="bench",
        base_revision=0,
        added=added,
        changed=[],
        withdrawn=[],
    )


def build_spec(name: str, size: Size) -> scheduling.JobSpec:
    """Return a gang of tasks without accelerators."""
    return scheduling.JobSpec(
        id=name,
        key=name,
        customer="customer-00",
        team="team-00",
        kind="batch",
        urgency="batch",
        tasks=TASKS_OF_GANG,
        accelerators=0,
        processors=1.0,
        memory_gb=1.0,
        adjacent="data_centre",
        data_centres=[],
        declared_run_s=3600.0,
        idempotent=True,
        checkpointable=True,
        payload={"run_s": 3600.0},
    )


def _build_customers(size: Size) -> list[dict]:
    count = max(1, -(-size.teams // TEAMS_OF_CUSTOMER))
    # Half of the pool is guaranteed, in shapes of one worker.
    shapes = max(1, size.workers // 2 // count // SHAPES_OF_CUSTOMER)
    return [
        {
            "type": "customer",
            "name": f"customer-{number:02d}",
            "weight": 1.0,
            "guarantees": [
                {
                    "name": f"shape-{index}",
                    "accelerators": 2 ** (index % 4),
                    "adjacent": ("accelerator", "pair", "quad", "worker")[
                        index % 4
                    ],
                    "count": shapes,
                    "data_centres": [],
                }
                for index in range(SHAPES_OF_CUSTOMER)
            ],
            "teams": [
                {"name": f"team-{team:02d}", "quota": 64}
                for team in range(min(size.teams, TEAMS_OF_CUSTOMER))
            ],
        }
        for number in range(count)
    ]
