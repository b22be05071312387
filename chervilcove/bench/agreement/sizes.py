"""What records and snapshots cost at the size designed for."""

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

WORKERS = 1_000
DATA_CENTRES = 5
RACK = 8
RUNNING_JOBS = 2_400
FINISHED_JOBS = 7_200
TASKS = 11
TASKS_PER_WORKER = 30
OWNERS = 4
TEAMS = 100


class Writer:
    """Apply records of one incarnation to a state and time them."""

    def __init__(self):
        self.state = states.State()
        self.times: dict[str, utils.Times] = {}
        self._sequence = 0

    def apply(self, kind: str, body: Any) -> Any:
        """Apply one record with one item; return its outcome."""
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
        elapsed = time.perf_counter() - started
        self.times.setdefault(kind, utils.Times()).add(elapsed)
        return applied.events[0].outcome


def measure() -> dict[str, Any]:
    """Return times per record, and what dump, load and digest take."""
    writer = build_writer()
    figures = {kind: one.describe() for kind, one in writer.times.items()}
    figures.update(_measure_snapshot(writer.state))
    return figures


def build_writer() -> Writer:
    """Return a state with all workers, running and finished jobs."""
    writer = Writer()
    writer.apply("adopt", {"config_offset": 0, "note": build_note()})
    packer = _Packer()
    for number in range(RUNNING_JOBS):
        spec = build_spec(f"running-{number}", accelerators=number % 4 == 0)
        writer.apply("submit", {"spec": spec})
        placement = scheduling.Placement(
            spec["id"], 1, "", packer.choose(number, spec)
        )
        writer.apply("plan", _build_plan(writer.state, placement))
        attempt = {"job": spec["id"], "attempt": 1}
        writer.apply("starting", attempt)
        writer.apply("started", attempt)
    for number in range(FINISHED_JOBS):
        spec = build_spec(f"finished-{number}", accelerators=0)
        writer.apply("submit", {"spec": spec})
        writer.apply("cancel", {"job": spec["id"]})
    for number in range(10):
        writer.apply("adopt", _build_change(writer.state, number))
    return writer


def build_note() -> customers.Note:
    """Return the note that adds everything."""
    added: list[dict[str, Any]] = [
        {
            "type": "data_centre",
            "name": f"centre-{number}",
            "region": f"region-{number % 2}",
            "in_service": True,
        }
        for number in range(DATA_CENTRES)
    ]
    teams = [{"name": f"team-{n}", "quota": 2_000} for n in range(TEAMS)]
    added += [
        {
            "type": "customer",
            "name": f"customer-{number}",
            "weight": 1.0,
            "guarantees": [],
            "teams": teams,
        }
        for number in range(OWNERS)
    ]
    added += [_build_worker(number) for number in range(WORKERS)]
    return customers.Note(
        id="first",
        author="bench",
        base_revision=0,
        added=added,
        changed=[],
        withdrawn=[],
    )


def build_spec(job: str, *, accelerators: int) -> scheduling.JobSpec:
    """Return a job of `TASKS` tasks."""
    return scheduling.JobSpec(
        id=job,
        key=job,
        customer="customer-0",
        team="team-0",
        kind="survey",
        urgency="normal",
        tasks=TASKS,
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
    packed = [zlib.compress(part, 1) for part in parts]
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
        "snapshot_bytes_in_log": sum(map(len, packed)),
        "chunks": len(parts),
        "is_equal_after_load": loaded.compute_digest() == digest,
    }


def _build_worker(number: int) -> dict[str, Any]:
    centre = number % DATA_CENTRES
    return {
        "type": "worker",
        "name": f"worker-{number}",
        "data_centre": f"centre-{centre}",
        "rack": f"rack-{centre}-{number // DATA_CENTRES // RACK}",
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


class _Packer:
    """Fill the workers of one data centre after the other, evenly."""

    def __init__(self):
        self._tasks = [0] * WORKERS
        self._held = [0] * WORKERS

    def choose(
        self, number: int, spec: scheduling.JobSpec
    ) -> tuple[scheduling.TaskPlace, ...]:
        """Return places for all tasks of job `number`."""
        places: list[scheduling.TaskPlace] = []
        step = number
        while len(places) < TASKS:
            step += 1
            worker = number % DATA_CENTRES + DATA_CENTRES * (
                step % (WORKERS // DATA_CENTRES)
            )
            held = self._held[worker]
            is_full = spec["accelerators"] and held == 0xFF
            if self._tasks[worker] >= TASKS_PER_WORKER or is_full:
                continue
            mask = ~held & (held + 1) if spec["accelerators"] else 0
            self._held[worker] |= mask
            self._tasks[worker] += 1
            places.append(scheduling.TaskPlace(f"worker-{worker}", mask))
        return tuple(places)
