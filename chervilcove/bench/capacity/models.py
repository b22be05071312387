"""Configurations and states of a given size, built by the state machine."""

from typing import NamedTuple

from chervilcove.core import errors
from chervilcove.customers import schema as customers
from chervilcove.journal import client
from chervilcove.journal import machine
from chervilcove.journal import records
from chervilcove.journal import state as states
from chervilcove.scheduling import core as scheduling

WORKERS_PER_RACK = 8
DATA_CENTRE_COUNT = 5
REGION_COUNT = 2
PROCESSORS_PER_WORKER = 128
MEMORY_PER_WORKER_GB = 256
TASKS_PER_GANG = 8
TEAMS_PER_CUSTOMER = 20
SHAPES_PER_CUSTOMER = 4


class Size(NamedTuple):
    """Hold the size of a model.

    Attributes:
        workers: Number of workers.
        tasks: Number of running tasks, in gangs of `TASKS_PER_GANG`.
        teams: Number of teams, `TEAMS_PER_CUSTOMER` of each customer.
    """

    workers: int
    tasks: int
    teams: int


class Model:
    """Hold a state and apply records to it as if read from the log.

    Args:
        size: Size of the state that `fill` builds.
    """

    def __init__(self, *, size: Size):
        self.size = size
        self.state = states.State()
        self._sequence = 0
        self._now_s = 1_000_000.0

    def apply(self, kind: str, body: dict) -> object:
        """Apply a record with one item and return the item's outcome."""
        return self.apply_record(self.encode(kind, body)).events[0].outcome

    def encode(self, kind: str, body: dict) -> bytes:
        """Return the next record, encoded, with one item."""
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
        """Apply an encoded record and return its effects."""
        self._now_s += 0.01
        offset = self.state.core["offset"] + 1
        record = client.Record(offset, self._now_s, content)
        return machine.apply_record(self.state, record)

    def fill(self) -> None:
        """Adopt the configuration and start the gangs of all tasks.

        Raises:
            ValueError: The state refused the configuration.
        """
        note = build_note(self.size)
        outcome = self.apply("adopt", {"config_offset": 0, "note": note})
        if errors.is_refusal(outcome):
            raise ValueError(outcome.reason)
        names = list(self.state.core["configuration"]["workers"])
        gang_count = self.size.tasks // TASKS_PER_GANG
        gangs_per_worker = max(1, -(-gang_count // len(names)))
        for number in range(gang_count):
            worker = names[(number // gangs_per_worker) % len(names)]
            self.run_gang(f"job-{number:08d}", worker)

    def run_gang(self, name: str, worker: str) -> None:
        """Submit, place and start one gang without accelerators."""
        self.apply("submit", {"spec": build_spec(name, self.size)})
        self.apply("plan", self.build_plan(name, worker))
        self.apply("started", {"job": name, "attempt": 1})

    def build_plan(self, name: str, worker: str) -> dict:
        """Return a plan that places one gang on `worker`."""
        places = (scheduling.TaskPlace(worker, 0),) * TASKS_PER_GANG
        return {
            "basis": self.state.core["basis"],
            "config_offset": self.state.core["config_offset"],
            "placements": [scheduling.Placement(name, 1, "", places)],
            "preemptions": [],
            "refusals": [],
        }


def build_note(size: Size) -> customers.Note:
    """Return the note that adds all parts of a model of `size`."""
    added: list[dict] = [
        {
            "type": "data_centre",
            "name": f"data-centre-{number}",
            "region": f"region-{number % REGION_COUNT}",
            "in_service": True,
        }
        for number in range(DATA_CENTRE_COUNT)
    ]
    for number in range(size.workers):
        rack = number // WORKERS_PER_RACK
        added.append(
            {
                "type": "worker",
                "name": f"worker-{number:04d}",
                "data_centre": f"data-centre-{rack % DATA_CENTRE_COUNT}",
                "rack": f"rack-{rack:03d}",
                "address": f"127.0.0.1:{10_000 + number}",
                "processors": PROCESSORS_PER_WORKER,
                "memory_gb": MEMORY_PER_WORKER_GB,
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
    """Return the job of a gang whose tasks need no accelerators."""
    return scheduling.JobSpec(
        id=name,
        key=name,
        customer="customer-00",
        team="team-00",
        kind="batch",
        urgency="batch",
        tasks=TASKS_PER_GANG,
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
    customer_count = max(1, -(-size.teams // TEAMS_PER_CUSTOMER))
    # The guarantees cover half of the pool; no shape spans workers.
    shape_count = max(
        1, size.workers // 2 // customer_count // SHAPES_PER_CUSTOMER
    )
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
                    "count": shape_count,
                    "data_centres": [],
                }
                for index in range(SHAPES_PER_CUSTOMER)
            ],
            "teams": [
                {"name": f"team-{team:02d}", "quota": 64}
                for team in range(min(size.teams, TEAMS_PER_CUSTOMER))
            ],
        }
        for number in range(customer_count)
    ]
