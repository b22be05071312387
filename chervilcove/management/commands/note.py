"""Commands `note validate`, `note submit`, `note show`, `note history`."""

from typing import Any

from cleo import helpers

from chervilcove.core import errors
from chervilcove.management import utils

_OPTIONS = [utils.ENTRY_OPTION, utils.JSON_OPTION]


class _NoteFileCommand(utils.EntryClientCommand):
    arguments = [
        helpers.argument(
            "file", "Release note, JSON with comments; - for stdin."
        )
    ]
    options = _OPTIONS
    path = ""

    def send_note(self) -> Any:
        """Send the note in the file to an entry; return the outcome."""
        note = utils.read_document(self.argument("file"))
        if errors.is_refusal(note):
            return note
        return self.call_entry("POST", self.path, note)


class ValidateCommand(_NoteFileCommand):
    """Check a release note against the configuration in force."""

    name = "note validate"
    description = "Checks a release note without submitting it."
    help = "Example:\n  chervilcove note validate take-maadi-out.jsonc"
    path = "/v1/notes/validate"

    def handle(self) -> int:
        """Print the revision that the note would make, or its refusal."""
        outcome = self.send_note()
        if errors.is_refusal(outcome):
            return self.print_refusal(outcome)
        return self.print_outcome(
            outcome, f"valid, would be revision {outcome['revision']}"
        )


class SubmitCommand(_NoteFileCommand):
    """Submit a release note and wait until it is accepted or refused."""

    name = "note submit"
    description = "Submits a release note and waits for the outcome."
    help = (
        "Example:\n  chervilcove note submit take-maadi-out.jsonc\n\n"
        "Exit code 1: refused, possibly because another note made the revision "
        "first; 3: the outcome is not known yet, see `chervilcove note "
        "history`."
    )
    path = "/v1/notes"

    def handle(self) -> int:
        """Print the revision that the note made, or its refusal."""
        outcome = self.send_note()
        if errors.is_refusal(outcome):
            return self.print_refusal(outcome)
        return self.print_outcome(
            outcome, f"accepted, revision {outcome['revision']} is in force"
        )


class ShowCommand(utils.EntryClientCommand):
    """Show the configuration in force."""

    name = "note show"
    description = "Shows the configuration in force."
    options = _OPTIONS
    help = "Example:\n  chervilcove note show --json"

    def handle(self) -> int:
        """Print the configuration as JSON."""
        return self.print_outcome(self.call_entry("GET", "/v1/configuration"))


class HistoryCommand(utils.EntryClientCommand):
    """List release notes with the outcome of each."""

    name = "note history"
    description = "Lists release notes with the outcome of each."
    options = _OPTIONS
    help = "Example:\n  chervilcove note history"

    def handle(self) -> int:
        """Print one line for each note, oldest first."""
        outcome = self.call_entry("GET", "/v1/notes")
        if errors.is_refusal(outcome):
            return self.print_refusal(outcome)
        lines = [_format_note(note) for note in outcome["notes"]]
        return self.print_outcome(outcome, "\n".join(lines) or "no notes")


def _format_note(note: dict[str, Any]) -> str:
    outcome = f"refused ({note['kind']}: {note['reason']})"
    if note["accepted"]:
        outcome = f"accepted as revision {note['revision']}"
    return f"{note['config_offset']:>6} {note['id']} {note['author']} {outcome}"


COMMANDS = [ValidateCommand, SubmitCommand, ShowCommand, HistoryCommand]
