"""Run all benchmarks of the agreement over the log and write the report.

All benchmarks run against the stand-ins in one process, and the compared
variants are paired in one run. They measure the cost of records and snapshots
at the design size, the latency of proposals and notes, the time that a joining
entry takes to become ready, the delivery of new records to followers and the
traffic of heartbeats.
"""

import json
import pathlib
from typing import Any

from chervilcove.bench.agreement import followers
from chervilcove.bench.agreement import heartbeats
from chervilcove.bench.agreement import proposals
from chervilcove.bench.agreement import sizes

IN_FORCE_TARGET_MS = 2_000.0
HEARTBEAT_TARGET_BYTES_PER_S = 23_000.0


def run(*, seed: int, report: str) -> dict[str, Any]:
    """Run the benchmarks.

    Args:
        seed: Seed of the pauses between records.
        report: Path of the JSON report to write, empty for none.

    Returns:
        The report.
    """
    measured = {
        "seed": seed,
        "size": sizes.measure(),
        "proposals": proposals.measure(),
        "followers": followers.measure(seed=seed),
        "heartbeats": heartbeats.measure(),
    }
    if report:
        path = pathlib.Path(report)
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(json.dumps(measured, indent=2) + "\n")
    return measured


def has_met_targets(measured: dict[str, Any]) -> bool:
    """Return whether notes, heartbeats and the snapshot met their targets."""
    in_force_ms = measured["proposals"]["notes"]["in_force"]["p99_ms"]
    max_bytes_per_s = max(
        figures["with_headers_bytes_per_s"]
        for figures in measured["heartbeats"].values()
    )
    return (
        in_force_ms <= IN_FORCE_TARGET_MS
        and max_bytes_per_s <= HEARTBEAT_TARGET_BYTES_PER_S
        and measured["size"]["is_equal_after_load"]
    )
