"""Find the commands and run the one that the arguments name."""

import importlib
import pkgutil
import sys

from cleo import application
from cleo.commands import command

import chervilcove
from chervilcove.management import commands


def list_commands(first: str = "") -> list[command.Command]:
    """Return an instance of each command.

    Each module of the package `commands` lists its command classes in
    `COMMANDS`. The benches import libraries of 50 MB, which an entry has no
    use for.

    Args:
        first: First argument. If it is the name of a module, only the
            commands in this module are returned.
    """
    instances = []
    modules = list(pkgutil.iter_modules(commands.__path__))
    named = [module for module in modules if module.name == first]
    for module in named or modules:
        imported = importlib.import_module(f"{commands.__name__}.{module.name}")
        instances += [each() for each in getattr(imported, "COMMANDS", ())]
    return instances


def create_application(first: str = "") -> application.Application:
    """Return the command-line application; see `list_commands`."""
    app = application.Application("chervilcove", chervilcove.__version__)
    for each in list_commands(first):
        app.add(each)
    return app


def main() -> None:
    """Run the command that the arguments name; exit with its exit code."""
    first = sys.argv[1] if len(sys.argv) > 1 else ""
    sys.exit(create_application(first).run())
