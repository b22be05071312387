"""Run all benchmarks of the request plane and write the report."""

import json
import pathlib
from typing import Any

from chervilcove.bench.requests import cost
from chervilcove.bench.requests import goodput
from chervilcove.bench.requests import leaving


def run(*, seed: int, report: str) -> dict[str, Any]:
    """Run the benchmarks in one process over loopback.

    The compared variants run paired, in the same process.

    Args:
        seed: Seed of the arrivals and of the order of the variants.
        report: Path of the JSON report to write, empty for none.

    Returns:
        The report.
    """
    measured = {
        "seed": seed,
        "cost": cost.measure_cost(seed=seed),
        "heartbeats": cost.measure_heartbeats(),
        "goodput": goodput.measure_goodput(seed=seed),
        "isolation": goodput.measure_isolation(seed=seed),
        "leaving": leaving.measure_leaving(seed=seed),
    }
    if report:
        path = pathlib.Path(report)
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(json.dumps(measured, indent=2) + "\n")
    return measured


def has_met_targets(measured: dict[str, Any]) -> bool:
    """Return whether goodput and leaving met their targets."""
    return measured["goodput"]["met"] and measured["leaving"]["met"]
