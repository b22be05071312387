"""Find the commands and run the one that the arguments name."""

import importlib
import pkgutil
import sys

from cleo import application
from cleo.commands import command

import chervilcove
from chervilcove.management import commands


def list_commands() -> list[command.Command]:
    """Return an instance of each command.

    Each module of the package `commands` lists its command classes in
    `COMMANDS`.
    """
    instances = []
    for module in pkgutil.iter_modules(commands.__path__):
        imported = importlib.import_module(f"{commands.__name__}.{module.name}")
        instances += [each() for each in getattr(imported, "COMMANDS", ())]
    return instances


def create_application() -> application.Application:
    """Return the command-line application with all commands."""
    app = application.Application("chervilcove", chervilcove.__version__)
    for each in list_commands():
        app.add(each)
    return app


def main() -> None:
    """Run the command that the arguments name; exit with its exit code."""
    sys.exit(create_application().run())
