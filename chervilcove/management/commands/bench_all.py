"""Command `bench all`."""

from cleo import helpers
from cleo.commands import command

from chervilcove.bench.decisions import core
from chervilcove.management import utils


class BenchAllCommand(command.Command):
    """Run all scenarios with all policies on the same seeds."""

    name = "bench all"
    description = "Measures all policies in all scenarios on the same seeds."
    options = [
        helpers.option(
            "scenarios",
            None,
            "Directory of scenario files.",
            flag=False,
            default=core.SCENARIO_DIRECTORY,
        ),
        helpers.option(
            "seeds", None, "Number of seeds.", flag=False, default="5"
        ),
        helpers.option(
            "report",
            None,
            "JSON report to write.",
            flag=False,
            default="reports/decisions.json",
        ),
        helpers.option(
            "plot",
            None,
            "HTML page to write.",
            flag=False,
            default="reports/decisions.html",
        ),
    ]
    help = (
        "Example:\n"
        "  chervilcove bench all --seeds 5 --report reports/decisions.json\n\n"
        "Exit code 0: the bench ran. Missed targets are printed and listed in "
        "the report."
    )

    def handle(self) -> int:
        """Run all trials; return the exit code."""
        seeds = self.option("seeds")
        if not seeds.isdecimal() or int(seeds) < 1:
            self.line_error(f"--seeds: found {seeds!r}, allowed is 1 or more")
            return utils.ExitCode.USAGE
        is_done = core.run_all(
            directory=self.option("scenarios"),
            seeds=list(range(1, int(seeds) + 1)),
            report_path=self.option("report"),
            plot_path=self.option("plot"),
            write=self.line,
        )
        return utils.ExitCode.DONE if is_done else utils.ExitCode.USAGE


COMMANDS = [BenchAllCommand]
