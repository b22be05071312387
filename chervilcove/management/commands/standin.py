"""Commands `standin log|instances|worker|minion`."""

import abc
import signal
from typing import Any

from cleo import helpers
from cleo.commands import command
import gevent
from gevent import event

from chervilcove.core import logs
from chervilcove.management import utils
from chervilcove.standins import instances
from chervilcove.standins import log
from chervilcove.standins import minion
from chervilcove.standins import worker

DRAIN_TIMEOUT_S = 30.0


def _build_number_option(name: str, description: str, default: float) -> Any:
    return helpers.option(
        name, None, description, flag=False, default=str(default)
    )


_ADDRESS_OPTIONS = [
    helpers.option(
        "host",
        None,
        "IP address to listen on.",
        flag=False,
        default="127.0.0.1",
    ),
    _build_number_option("port", "TCP port, 0 for any.", 0),
]
_NAME_OPTION = helpers.option(
    "name", None, "Unique name.", flag=False, default="one"
)


class StandinCommand(command.Command):
    """Base class of the commands that run one stand-in until SIGTERM."""

    def handle(self) -> int:
        """Run the stand-in until SIGTERM or SIGINT; return the exit code."""
        logs.configure(level="WARNING")
        try:
            standin = self.create_standin()
        except ValueError as error:
            self.line_error(str(error))
            return utils.ExitCode.USAGE
        stopped = event.Event()
        gevent.signal_handler(signal.SIGTERM, stopped.set)
        gevent.signal_handler(signal.SIGINT, stopped.set)
        standin.start()
        print(f"listening {standin.address}", flush=True)
        stopped.wait()
        self.stop_standin(standin)
        return utils.ExitCode.DONE

    def stop_standin(self, standin: Any) -> None:
        """Stop the stand-in."""
        standin.stop()

    @abc.abstractmethod
    def create_standin(self) -> Any:
        """Return the stand-in that the options describe.

        Raises:
            ValueError: An option has an invalid value.
        """

    def get_listen_address(self) -> dict[str, Any]:
        """Return host and port to listen on, as keyword arguments."""
        return {"host": self.option("host"), "port": int(self.option("port"))}


class LogCommand(StandinCommand):
    """Run the stand-in for the platform's log service."""

    name = "standin log"
    description = "Runs a stand-in for the platform's log service."
    options = [
        *_ADDRESS_OPTIONS,
        _build_number_option(
            "retention", "Records kept in each stream.", 1_000_000
        ),
    ]
    help = "Example:\n  chervilcove standin log --port 8090"

    def create_standin(self) -> log.LogService:
        """Return the log service."""
        return log.LogService(
            **self.get_listen_address(), retention=int(self.option("retention"))
        )


class InstancesCommand(StandinCommand):
    """Run the stand-in for the platform's instance list."""

    name = "standin instances"
    description = "Runs a stand-in for the platform's instance list."
    options = [
        *_ADDRESS_OPTIONS,
        _build_number_option(
            "lag", "Age of the list that readers see, seconds.", 0.5
        ),
    ]
    help = "Example:\n  chervilcove standin instances --port 8091 --lag 0.5"

    def create_standin(self) -> instances.InstanceList:
        """Return the instance list."""
        return instances.InstanceList(
            **self.get_listen_address(), lag_s=float(self.option("lag"))
        )


class WorkerCommand(StandinCommand):
    """Run the stand-in for a worker."""

    name = "standin worker"
    description = "Runs a stand-in for a worker."
    options = [
        *_ADDRESS_OPTIONS,
        _NAME_OPTION,
        _build_number_option(
            "speed", "Seconds of work done in one second.", 1.0
        ),
        _build_number_option(
            "checkpoint-every", "Seconds of work between two checkpoints.", 60.0
        ),
    ]
    help = "Example:\n  chervilcove standin worker --name giza-1-1 --port 9001"

    def create_standin(self) -> worker.Worker:
        """Return the worker."""
        return worker.Worker(
            **self.get_listen_address(),
            name=self.option("name"),
            speed=float(self.option("speed")),
            checkpoint_every_s=float(self.option("checkpoint-every")),
        )


class MinionCommand(StandinCommand):
    """Run the stand-in for a minion."""

    name = "standin minion"
    description = "Runs a stand-in for a minion (backend server)."
    options = [
        *_ADDRESS_OPTIONS,
        _NAME_OPTION,
        _build_number_option(
            "slots", "Maximum number of requests executed at a time.", 8
        ),
        _build_number_option(
            "connections", "Maximum number of connections served at a time.", 64
        ),
        _build_number_option(
            "linger",
            "Time for which SIGTERM announces leaving, seconds.",
            2.0,
        ),
    ]
    help = (
        "Example:\n  chervilcove standin minion --name desk-1 --port 9101\n\n"
        "On SIGTERM, the minion announces that it leaves, refuses new "
        "requests, finishes those in flight and exits."
    )

    def create_standin(self) -> minion.Minion:
        """Return the minion."""
        return minion.Minion(
            **self.get_listen_address(),
            name=self.option("name"),
            slots=int(self.option("slots")),
            connections=int(self.option("connections")),
        )

    def stop_standin(self, standin: minion.Minion) -> None:
        """Drain the minion, so that no request in flight is cut off."""
        standin.retire(
            linger_s=float(self.option("linger")), timeout_s=DRAIN_TIMEOUT_S
        )


COMMANDS = [LogCommand, InstancesCommand, WorkerCommand, MinionCommand]
