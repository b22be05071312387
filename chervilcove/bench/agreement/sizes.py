"""Cost of records and snapshots at the design size."""

import time
from typing import Any
import zlib

from chervilcove.bench.agreement import utils
from chervilcove.customers import schema as customers
from chervilcove.journal import client
from chervilcove.journal import machine
from chervilcove.journal import records
from chervilcove.journal import snapshots
from chervilcove.journal import state as states
from chervilcove.scheduling import core as scheduling

WORKER_COUNT = 1_000
DATA_CENTRE_COUNT = 5
WORKERS_PER_RACK = 8
RUNNING_JOB_COUNT = 2_400
FINISHED_JOB_COUNT = 7_200
TASKS_PER_JOB = 11
TASKS_PER_WORKER = 30
CUSTOMER_COUNT = 4
TEAMS_PER_CUSTOMER = 100


class Writer:
    """Apply the records of one incarnation to a state and time them."""

    def __init__(self):
        self.state = states.State()
        self.times: dict[str, utils.Times] = {}
        self._sequence = 0

    def apply(self, kind: str, body: Any) -> Any:
        """Apply a record with one item and return the item's outcome."""
        self._sequence += 1
        content = records.encode(
            records.Envelope(
                records.FORMAT_VERSION,
                "bench",
                self._sequence,
                [records.Item(kind, body)],
            )
        )
        offset = self.state.core["offset"] + 1
        started = time.perf_counter()
        record = client.Record(offset, float(offset), content)
        applied = machine.apply_record(self.state, record)
        elapsed_s = time.perf_counter() - started
        self.times.setdefault(kind, utils.Times()).add(elapsed_s)
        return applied.events[0].outcome


def measure() -> dict[str, Any]:
    """Measure the times of records, by kind, and of a snapshot."""
    writer = build_writer()
    figures = {kind: times.describe() for kind, times in writer.times.items()}
    figures.update(_measure_snapshot(writer.state))
    return figures


def build_writer() -> Writer:
    """Return a writer whose state has all workers and jobs."""
    writer = Writer()
    writer.apply("adopt", {"config_offset": 0, "note": build_note()})
    placer = _TaskPlacer()
    for number in range(RUNNING_JOB_COUNT):
        spec = build_spec(f"running-{number}", accelerators=number % 4 == 0)
        writer.apply("submit", {"spec": spec})
        placement = scheduling.Placement(
            spec["id"], 1, "", placer.choose(number, spec)
        )
        writer.apply("plan", _build_plan(writer.state, placement))
        attempt = {"job": spec["id"], "attempt": 1}
        writer.apply("starting", attempt)
        writer.apply("started", attempt)
    for number in range(FINISHED_JOB_COUNT):
        spec = build_spec(f"finished-{number}", accelerators=0)
        writer.apply("submit", {"spec": spec})
        writer.apply("cancel", {"job": spec["id"]})
    for number in range(10):
        writer.apply("adopt", _build_change(writer.state, number))
    return writer


def build_note() -> customers.Note:
    """Return the note that adds all data centres, customers and workers."""
    added: list[dict[str, Any]] = [
        {
            "type": "data_centre",
            "name": f"centre-{number}",
            "region": f"region-{number % 2}",
            "in_service": True,
        }
        for number in range(DATA_CENTRE_COUNT)
    ]
    teams = [
        {"name": f"team-{n}", "quota": 2_000} for n in range(TEAMS_PER_CUSTOMER)
    ]
    added += [
        {
            "type": "customer",
            "name": f"customer-{number}",
            "weight": 1.0,
            "guarantees": [],
            "teams": teams,
        }
        for number in range(CUSTOMER_COUNT)
    ]
    added += [_build_worker(number) for number in range(WORKER_COUNT)]
    return customers.Note(
        id="first",
        author="bench",
        base_revision=0,
        added=added,
        changed=[],
        withdrawn=[],
    )


def build_spec(job: str, *, accelerators: int) -> scheduling.JobSpec:
    """Return a job of `TASKS_PER_JOB` tasks."""
    return scheduling.JobSpec(
        id=job,
        key=job,
        customer="customer-0",
        team="team-0",
        kind="survey",
        urgency="normal",
        tasks=TASKS_PER_JOB,
        accelerators=int(accelerators),
        processors=4.0,
        memory_gb=8.0,
        adjacent="data_centre",
        data_centres=[],
        declared_run_s=3_600.0,
        idempotent=True,
        checkpointable=True,
        payload={"run_s": 3_600},
    )


def _measure_snapshot(state: states.State) -> dict[str, Any]:
    started = time.perf_counter()
    content = state.dump()
    dump_s = time.perf_counter() - started
    started = time.perf_counter()
    digest = states.identifiers.digest(content)
    digest_s = time.perf_counter() - started
    parts = snapshots.split(content)
    started = time.perf_counter()
    compressed = [zlib.compress(part, 1) for part in parts]
    compress_s = time.perf_counter() - started
    started = time.perf_counter()
    loaded = states.load_state(content)
    load_s = time.perf_counter() - started
    return {
        "dump_ms": dump_s * 1000,
        "digest_ms": digest_s * 1000,
        "compress_ms_per_chunk": compress_s * 1000 / len(parts),
        "load_ms": load_s * 1000,
        "snapshot_bytes": len(content),
        "snapshot_bytes_in_log": sum(map(len, compressed)),
        "chunks": len(parts),
        "is_equal_after_load": loaded.compute_digest() == digest,
    }


def _build_worker(number: int) -> dict[str, Any]:
    centre = number % DATA_CENTRE_COUNT
    return {
        "type": "worker",
        "name": f"worker-{number}",
        "data_centre": f"centre-{centre}",
        "rack": f"rack-{centre}-"
        f"{number // DATA_CENTRE_COUNT // WORKERS_PER_RACK}",
        "address": f"127.0.0.1:{number + 1}",
        "processors": 128,
        "memory_gb": 256,
        "accelerators": 8,
    }


def _build_plan(
    state: states.State, placement: scheduling.Placement
) -> records.PlanItem:
    return records.PlanItem(
        basis=state.core["basis"],
        config_offset=state.core["config_offset"],
        placements=[placement],
        preemptions=[],
        refusals=[],
    )


def _build_change(state: states.State, number: int) -> records.Adopt:
    note = customers.Note(
        id=f"change-{number}",
        author="bench",
        base_revision=state.core["configuration"]["revision"],
        added=[],
        changed=[
            {
                "type": "data_centre",
                "name": "centre-1",
                "in_service": number % 2 == 1,
            }
        ],
        withdrawn=[],
    )
    return records.Adopt(config_offset=state.core["config_offset"], note=note)


class _TaskPlacer:
    """Spread the tasks of each job over the workers of one data centre.

    The data centres take turns.
    """

    def __init__(self):
        self._task_counts = [0] * WORKER_COUNT
        self._accelerator_masks = [0] * WORKER_COUNT

    def choose(
        self, number: int, spec: scheduling.JobSpec
    ) -> tuple[scheduling.TaskPlace, ...]:
        """Return places for all tasks of the job `number`."""
        places: list[scheduling.TaskPlace] = []
        position = number
        while len(places) < TASKS_PER_JOB:
            position += 1
            worker = number % DATA_CENTRE_COUNT + DATA_CENTRE_COUNT * (
                position % (WORKER_COUNT // DATA_CENTRE_COUNT)
            )
            held_mask = self._accelerator_masks[worker]
            has_no_accelerator = spec["accelerators"] and held_mask == 0xFF
            if (
                self._task_counts[worker] >= TASKS_PER_WORKER
                or has_no_accelerator
            ):
                continue
            mask = ~held_mask & (held_mask + 1) if spec["accelerators"] else 0
            self._accelerator_masks[worker] |= mask
            self._task_counts[worker] += 1
            places.append(scheduling.TaskPlace(f"worker-{worker}", mask))
        return tuple(places)
