"""Exit codes, calls to an entry, input and output, shared by commands."""

import enum
import os
import pathlib
import sys
from typing import Any

from cleo import helpers
from cleo.commands import command
import json5
import msgspec

from chervilcove.core import error_responses
from chervilcove.core import errors
from chervilcove.core import http

DEFAULT_ENTRY = "127.0.0.1:8080"
ENTRY_ENVIRONMENT_VARIABLE = "CHERVILCOVE_ENTRY"
CALL_TIMEOUT_S = 15.0


class ExitCode(enum.IntEnum):
    """Exit codes of all commands."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNKNOWN = 3
    NOT_REACHED = 4


ENTRY_OPTION = helpers.option(
    "entry",
    "e",
    "IP:port of an entry or of the balancer (or "
    f"{ENTRY_ENVIRONMENT_VARIABLE}).",
    flag=False,
)
JSON_OPTION = helpers.option("json", None, "Print JSON.", flag=True)


class EntryClientCommand(command.Command):
    """Base class of the commands that call an entry."""

    def call_entry(
        self,
        method: str,
        path: str,
        value: Any = None,
        *,
        headers: dict[str, str] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Any:
        """Call an entry and return the decoded reply, or a refusal.

        The address comes from the option `--entry`, the environment variable
        `CHERVILCOVE_ENTRY` or the default, in this order.
        """
        address = (
            self.option("entry")
            or os.environ.get(ENTRY_ENVIRONMENT_VARIABLE)
            or DEFAULT_ENTRY
        )
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit():
            return errors.refuse(
                errors.Kind.INVALID_VALUE,
                f"entry address: found {address!r}, allowed is IP:port",
            )
        peer = http.HttpPeer(host=host, port=int(port))
        return peer.call_json(
            method, path, value, headers=headers, timeout_s=timeout_s
        )

    def print_outcome(self, outcome: Any, text: str = "") -> int:
        """Print `outcome` and return the exit code.

        Args:
            outcome: Reply of the entry, or a refusal.
            text: Printed instead of JSON unless the option `--json` is set.
        """
        if errors.is_refusal(outcome):
            return self.print_refusal(outcome)
        if self.option("json") or not text:
            self.line(render_json(outcome), style=None)
        else:
            self.line(text)
        return ExitCode.DONE

    def print_refusal(self, refusal: errors.Refusal) -> int:
        """Print `refusal` to standard error and return the exit code.

        With the option `--json`, it goes to standard output as JSON too.
        """
        if self.option("json"):
            self.line(
                render_json(error_responses.describe(refusal)), style=None
            )
        answer = error_responses.ERROR_RESPONSES[refusal.kind]
        self.line_error(
            f"{refusal.kind.value}: {refusal.reason} (ran: "
            f"{answer.ran.value}). {answer.advice}"
        )
        if refusal.kind is errors.Kind.CONNECT_FAILED:
            return ExitCode.NOT_REACHED
        if answer.ran is error_responses.Ran.UNKNOWN:
            return ExitCode.UNKNOWN
        return ExitCode.REFUSED


def render_json(value: Any) -> str:
    """Return `value` as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(value), indent=2).decode()


def write_report(path: str, report: Any) -> None:
    """Write `report` as JSON to `path`; create missing directories."""
    target = pathlib.Path(path)
    target.parent.mkdir(parents=True, exist_ok=True)
    target.write_text(render_json(report) + "\n")


def read_document(path: str) -> Any:
    """Read a JSON document with comments from a file.

    Args:
        path: Path of the file, "-" for standard input.

    Returns:
        The decoded value, or a refusal of kind `MALFORMED` if the file can't
        be read or parsed.
    """
    try:
        if path == "-":
            text = sys.stdin.read()
        else:
            text = pathlib.Path(path).read_text()
        return json5.loads(text)
    except (OSError, ValueError) as error:
        return errors.refuse(errors.Kind.MALFORMED, f"{path}: {error}")
