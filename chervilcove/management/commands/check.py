"""Command `check`."""

import os

from cleo import helpers
from cleo.commands import command

from chervilcove.conf import checks
from chervilcove.management import utils


class CheckCommand(command.Command):
    """Check settings files without starting anything."""

    name = "check"
    description = "Checks settings files and shows all errors at once."
    arguments = [
        helpers.argument(
            "files", "Settings files.", optional=True, multiple=True
        )
    ]
    help = (
        "Example:\n"
        "  chervilcove check deployments/nile-limescale.jsonc\n\n"
        "Without a file, it checks the defaults and the environment variables."
    )

    def handle(self) -> int:
        """Check each file and print its errors; return the exit code."""
        code = utils.ExitCode.DONE
        for path in self.argument("files") or [""]:
            settings, lines = checks.load_checked_settings(
                path, environment=os.environ
            )
            for line in lines:
                self.line_error(line)
            if settings is None:
                code = utils.ExitCode.USAGE
            else:
                self.line(f"{path or 'environment'}: no errors")
        return code


COMMANDS = [CheckCommand]
