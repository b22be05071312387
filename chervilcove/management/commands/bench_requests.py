"""Command `bench requests`."""

from typing import Any

from chervilcove.bench.requests import core
from chervilcove.management import benches


class BenchRequestsCommand(benches.BenchCommand):
    """Measure requests to minions."""

    name = "bench requests"
    description = (
        "Measures requests to minions: cost, goodput and leaving minions."
    )
    options = benches.build_options("reports/requests.json")
    help = (
        "Example:\n"
        "  chervilcove bench requests --seed 1 --report reports/requests.json\n"
        "\nTakes about two minutes. Exit code 1: a target was missed."
    )

    def measure(self, *, seed: int, report: str) -> dict[str, Any]:
        """Run the bench, write its report to `report` and return it."""
        return core.run(seed=seed, report=report)

    def has_met_targets(self, measured: dict[str, Any]) -> bool:
        """Return whether the report meets all stated targets."""
        return core.has_met_targets(measured)


COMMANDS = [BenchRequestsCommand]
