"""Command `demo`."""

from cleo import helpers
from cleo.commands import command

from chervilcove.core import errors
from chervilcove.core import logs
from chervilcove.demo import core as demo
from chervilcove.demo import deployments
from chervilcove.demo import report as reports
from chervilcove.management import utils


class DemoCommand(command.Command):
    """Run a whole system in one process for some seconds."""

    name = "demo"
    description = "Runs a whole system in one process for some seconds."
    options = [
        helpers.option(
            "deployment",
            "d",
            "Name of the deployment to run.",
            flag=False,
            default="nile-limescale",
        ),
        helpers.option(
            "seconds",
            "s",
            "Length of the run, seconds.",
            flag=False,
            default="20",
        ),
        helpers.option(
            "seed", None, "Seed of the generated load.", flag=False, default="1"
        ),
        helpers.option(
            "serve",
            None,
            "TCP port of one entry, for calls by other programs; 0 for any.",
            flag=False,
            default="0",
        ),
        helpers.option("report", "r", "JSON report to write.", flag=False),
        helpers.option(
            "log-level",
            None,
            "Lowest level of logged events.",
            flag=False,
            default="ERROR",
        ),
    ]
    help = (
        "Example:\n"
        "  chervilcove demo --deployment hooghly-towpath --seconds 20 "
        "--seed 2 --report report.json\n\n"
        "Exit code 0: no condition was violated, no job was lost and no answer "
        "was wrong or partial."
    )

    def handle(self) -> int:
        """Run the demonstration; return the exit code."""
        deployment = deployments.load_deployment(self.option("deployment"))
        if errors.is_refusal(deployment):
            self.line_error(deployment.reason)
            return utils.ExitCode.USAGE
        logs.configure(level=self.option("log-level"))
        run = demo.Run(
            deployment=deployment,
            seconds=float(self.option("seconds")),
            seed=int(self.option("seed")),
            show=lambda text: print(text, flush=True),
            serve_port=int(self.option("serve")),
        )
        report = run.execute()
        if self.option("report"):
            utils.write_report(self.option("report"), report)
        if "error" in report:
            self.line_error(report["error"])
            return utils.ExitCode.REFUSED
        print(reports.render_summary(report))
        return _choose_exit_code(report)


def _choose_exit_code(report: dict) -> int:
    violations = sum(
        condition["violations"] for condition in report["conditions"].values()
    )
    wrong = report["requests"]["wrong_or_partial"] + report["jobs"]["lost"]
    if violations or wrong:
        return utils.ExitCode.REFUSED
    return utils.ExitCode.DONE


COMMANDS = [DemoCommand]
