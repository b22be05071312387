"""Command `bench outage`."""

from typing import Any

from chervilcove.bench import outage
from chervilcove.management import benches


class BenchOutageCommand(benches.BenchCommand):
    """Measure outages, and kills and planned stops of entries."""

    name = "bench outage"
    description = (
        "Measures outages of a data centre and of the log, and kills and "
        "planned stops of entries."
    )
    options = benches.build_options("reports/outage.json")
    help = (
        "Example:\n"
        "  chervilcove bench outage --seed 1 --report reports/outage.json\n\n"
        "Takes about two minutes. Exit code 1: a target was missed."
    )

    def measure(self, *, seed: int, report: str) -> dict[str, Any]:
        """Run the bench, write its report to `report` and return it."""
        return outage.run(seed=seed, report=report)

    def has_met_targets(self, measured: dict[str, Any]) -> bool:
        """Return whether the report meets all stated targets."""
        return outage.has_met_targets(measured)


COMMANDS = [BenchOutageCommand]
