"""Command `reference`."""

import pathlib

from cleo import helpers
from cleo.commands import command

from chervilcove.management import core
from chervilcove.management import reference
from chervilcove.management import utils


class ReferenceCommand(command.Command):
    """Write the generated reference pages."""

    name = "reference"
    description = "Writes the generated reference pages."
    options = [
        helpers.option(
            "write",
            "w",
            "Directory to write the pages to.",
            flag=False,
            default="docs/ref",
        )
    ]
    help = "Example:\n  chervilcove reference --write docs/ref"

    def handle(self) -> int:
        """Write each page and print its path; return the exit code."""
        directory = pathlib.Path(self.option("write"))
        pages = reference.build_pages(core.list_commands())
        for name, content in pages.items():
            (directory / name).write_text(content)
            self.line(str(directory / name))
        return utils.ExitCode.DONE


COMMANDS = [ReferenceCommand]
