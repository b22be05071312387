"""Command `bench agreement`."""

from typing import Any

from chervilcove.bench.agreement import core
from chervilcove.management import benches


class BenchAgreementCommand(benches.BenchCommand):
    """Measure the agreement of entries over the log."""

    name = "bench agreement"
    description = (
        "Measures records, snapshots, notes, joining entries and heartbeats."
    )
    options = benches.build_options("reports/agreement.json")
    help = (
        "Example:\n"
        "  chervilcove bench agreement --report reports/agreement.json\n"
        "\nTakes about a minute. Exit code 1: a target was missed."
    )

    def measure(self, *, seed: int, report: str) -> dict[str, Any]:
        """Run the bench, write its report to `report` and return it."""
        return core.run(seed=seed, report=report)

    def has_met_targets(self, measured: dict[str, Any]) -> bool:
        """Return whether the report meets all stated targets."""
        return core.has_met_targets(measured)


COMMANDS = [BenchAgreementCommand]
