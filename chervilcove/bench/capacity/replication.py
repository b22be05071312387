"""Memory, snapshot and record costs of the replicated state."""

import gc
import time
import tracemalloc
from typing import Any

from chervilcove.bench.capacity import models
from chervilcove.bench.capacity import slopes
from chervilcove.journal import state as states

WORKER_COUNTS = (24, 250, 1_000)
TASK_COUNTS = (1_000, 9_000, 27_000)
TEAM_COUNTS = (4, 100, 400)
REPEAT_COUNT = 50
_MIB = 1024.0 * 1024.0


def measure() -> dict[str, Any]:
    """Measure memory and snapshots by size, and the cost of each record."""
    return {
        "memory_by_tasks": _measure_memory(
            "MiB per task",
            [(tasks, models.Size(1_000, tasks, 400)) for tasks in TASK_COUNTS],
        ),
        "memory_by_workers": _measure_memory(
            "MiB per worker",
            [(count, models.Size(count, 0, 4)) for count in WORKER_COUNTS],
        ),
        "memory_by_teams": _measure_memory(
            "MiB per team",
            [(teams, models.Size(250, 0, teams)) for teams in TEAM_COUNTS],
        ),
        "snapshot_by_tasks": _measure_snapshots(),
        "records": _measure_records(),
    }


def _measure_memory(unit: str, sizes: list) -> dict[str, Any]:
    points = []
    for x, size in sizes:
        gc.collect()
        tracemalloc.start()
        model = models.Model(size=size)
        model.fill()
        gc.collect()
        used_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        points.append((x, used_bytes / _MIB))
        del model
    return slopes.fit(unit, points)._asdict()


def _measure_snapshots() -> dict[str, Any]:
    size_points, dump_points, load_points = [], [], []
    for tasks in TASK_COUNTS:
        model = models.Model(size=models.Size(1_000, tasks, 400))
        model.fill()
        started = time.thread_time()
        content = model.state.dump()
        dump_points.append((tasks, (time.thread_time() - started) * 1e3))
        started = time.thread_time()
        states.load_state(content)
        load_points.append((tasks, (time.thread_time() - started) * 1e3))
        size_points.append((tasks, len(content) / _MIB))
    return {
        "size": slopes.fit("MiB per task", size_points)._asdict(),
        "dump": slopes.fit("ms per task", dump_points)._asdict(),
        "load": slopes.fit("ms per task", load_points)._asdict(),
    }


def _measure_records() -> dict[str, Any]:
    """Return the bytes and processor time of each kind at the largest size."""
    model = models.Model(size=models.Size(1_000, 27_000, 400))
    model.fill()
    costs: dict[str, Any] = {}
    for number in range(REPEAT_COUNT):
        name = f"extra-{number:06d}"
        worker = f"worker-{number:04d}"
        spec = models.build_spec(name, model.size)
        _apply_and_measure(model, costs, "submit", {"spec": spec})
        _apply_and_measure(model, costs, "plan", model.build_plan(name, worker))
        _apply_and_measure(model, costs, "started", {"job": name, "attempt": 1})
        _apply_and_measure(model, costs, "ended", _build_end(name))
        _apply_and_measure(model, costs, "claim", _build_claim(name))
        _apply_and_measure(model, costs, "claim_end", _build_claim_end(name))
        _apply_and_measure(model, costs, "adopt", _build_change(model, number))
    return {
        kind: {
            "bytes": total["bytes"] / REPEAT_COUNT,
            "apply_ms": total["seconds"] / REPEAT_COUNT * 1e3,
        }
        for kind, total in costs.items()
    }


def _apply_and_measure(
    model: models.Model, costs: dict[str, Any], kind: str, body: dict
) -> None:
    content = model.encode(kind, body)
    started = time.thread_time()
    model.apply_record(content)
    elapsed_s = time.thread_time() - started
    total = costs.setdefault(kind, {"bytes": 0, "seconds": 0.0})
    total["bytes"] += len(content)
    total["seconds"] += elapsed_s


def _build_end(name: str) -> dict:
    return {
        "job": name,
        "attempt": 1,
        "outcome": "completed",
        "reason": "completed",
        "worker": "",
        "kept_s": 0.0,
        "result": None,
    }


def _build_claim(name: str) -> dict:
    return {
        "customer": "customer-00",
        "service": "notice-desk",
        "key": name,
        "digest": "0" * 32,
        "owner": "entry-0123456789abcdef",
    }


def _build_claim_end(name: str) -> dict:
    return {
        "customer": "customer-00",
        "service": "notice-desk",
        "key": name,
        "owner": "entry-0123456789abcdef",
        "outcome": "answered",
        "answer": b"x" * 200,
    }


def _build_change(model: models.Model, number: int) -> dict:
    core = model.state.core
    return {
        "config_offset": core["config_offset"],
        "note": {
            "id": f"change-{number}",
            "author": "bench",
            "base_revision": core["configuration"]["revision"],
            "added": [],
            "changed": [
                {
                    "type": "customer",
                    "name": "customer-01",
                    "weight": 1.0 + number,
                }
            ],
            "withdrawn": [],
        },
    }
