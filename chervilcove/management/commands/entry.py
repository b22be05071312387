"""Command `entry`."""

import os
import signal

from cleo import helpers
from cleo.commands import command
import gevent
from gevent import event

from chervilcove.conf import checks
from chervilcove.core import logs
from chervilcove.entry import core as entries
from chervilcove.management import utils
from chervilcove.platform import core as platform


class EntryCommand(command.Command):
    """Run one entry until SIGTERM."""

    name = "entry"
    description = "Runs one entry until SIGTERM."
    options = [helpers.option("settings", "s", "Settings file.", flag=False)]
    help = (
        "Example:\n"
        "  chervilcove entry --settings deployments/nile-limescale.jsonc\n\n"
        "The first line of output is `listening IP:port`. SIGTERM drains the "
        "entry: it reports not ready, refuses new work, finishes open work, "
        "hands over and exits with 0.\n\n"
        "If `fleet.ledger` is set, the entry schedules a fleet of workers and "
        "writes its log to standard output. It reads the settings file again "
        "on SIGHUP and when the file changes."
    )

    def handle(self) -> int:
        """Run the entry until SIGTERM or SIGINT; return the exit code."""
        path = self.option("settings") or ""
        settings, lines = checks.load_checked_settings(
            path, environment=os.environ
        )
        for line in lines:
            self.line_error(line)
        if settings is None:
            return utils.ExitCode.USAGE
        if settings["fleet"]["ledger"]:
            platform.run_entry(settings, path=path)
            return utils.ExitCode.DONE
        logs.configure(level=settings["log_level"])
        entry = entries.Entry(settings=settings)
        stopped = event.Event()
        gevent.signal_handler(signal.SIGTERM, stopped.set)
        gevent.signal_handler(signal.SIGINT, stopped.set)
        entry.start()
        print(f"listening {entry.address}", flush=True)
        stopped.wait()
        entry.stop()
        return utils.ExitCode.DONE


COMMANDS = [EntryCommand]
