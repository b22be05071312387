"""Command `bench capacity`."""

from typing import Any

from cleo import helpers
from cleo.commands import command

from chervilcove.bench.capacity import core
from chervilcove.management import utils


class BenchCapacityCommand(command.Command):
    """Measure the costs per unit of load in docs/CAPACITY.md."""

    name = "bench capacity"
    description = "Measures the costs per unit of load in docs/CAPACITY.md."
    options = [
        helpers.option(
            "report",
            "r",
            "JSON report to write.",
            flag=False,
            default="reports/capacity.json",
        )
    ]
    help = "Example:\n  chervilcove bench capacity --report capacity.json"

    def handle(self) -> int:
        """Run all measurements and write the report."""
        report = core.run(show=self.line)
        utils.write_report(self.option("report"), report)
        for line in _format_lines(report, ""):
            self.line(line)
        return utils.ExitCode.DONE


def _format_lines(value: dict[str, Any], path: str) -> list[str]:
    lines = []
    for name, part in value.items():
        full_name = f"{path}{name}"
        if not isinstance(part, dict):
            lines.append(f"{full_name}: {part:.4g}")
        elif "per_unit" in part:
            least, most = part["spread"]
            lines.append(
                f"{full_name}: {part['base']:.4g} + {part['per_unit']:.4g} "
                f"{part['unit']} (spread {least:.4g} to {most:.4g})"
            )
        else:
            lines += _format_lines(part, full_name + ".")
    return lines


COMMANDS = [BenchCapacityCommand]
