"""Base class and options of the bench commands that check targets."""

import abc
from typing import Any

from cleo import helpers
from cleo.commands import command

from chervilcove.management import utils


def build_options(report: str) -> list[Any]:
    """Return the options of a bench command.

    Args:
        report: Default path of the JSON report.
    """
    return [
        helpers.option("seed", None, "Seed.", flag=False, default="1"),
        helpers.option(
            "report",
            None,
            "JSON report to write.",
            flag=False,
            default=report,
        ),
    ]


class BenchCommand(command.Command):
    """Run one bench, print its report and check it against the targets."""

    @abc.abstractmethod
    def measure(self, *, seed: int, report: str) -> dict[str, Any]:
        """Run the bench, write its report to `report` and return it."""

    @abc.abstractmethod
    def has_met_targets(self, measured: dict[str, Any]) -> bool:
        """Return whether the report meets all stated targets."""

    def handle(self) -> int:
        """Run the bench; return the exit code."""
        seed = self.option("seed")
        if not seed.isdecimal():
            self.line_error(f"--seed: found {seed!r}, allowed is a number")
            return utils.ExitCode.USAGE
        measured = self.measure(seed=int(seed), report=self.option("report"))
        self.line(utils.render_json(measured), style=None)
        is_met = self.has_met_targets(measured)
        return utils.ExitCode.DONE if is_met else utils.ExitCode.REFUSED
