"""Command `status`."""

from typing import Any

from chervilcove.core import errors
from chervilcove.management import utils

_RESOURCES = ("processors", "memory_gb", "accelerators")


class StatusCommand(utils.EntryClientCommand):
    """Show the whole system as one entry sees it."""

    name = "status"
    description = "Shows the whole system as one entry sees it."
    options = [utils.ENTRY_OPTION, utils.JSON_OPTION]
    help = (
        "Example:\n  chervilcove status --entry 127.0.0.1:8080\n\n"
        "The page /status of every entry shows the same, and the racks."
    )

    def handle(self) -> int:
        """Print the status as tables, or as JSON."""
        outcome = self.call_entry("GET", "/v1/status")
        if errors.is_refusal(outcome):
            return self.print_refusal(outcome)
        if self.option("json"):
            return self.print_outcome(outcome)
        self.line(
            f"entry {outcome['entry']} offset {outcome['offset']} revision "
            f"{outcome['configuration']['revision']}"
        )
        for title, rows in _list_tables(outcome):
            self.line(f"\n<info>{title}</info>")
            self._print_table(rows)
        return utils.ExitCode.DONE

    def _print_table(self, rows: list[dict[str, Any]]) -> None:
        if not rows:
            self.line("none")
            return
        table = self.table(
            list(rows[0]),
            [[str(value) for value in row.values()] for row in rows],
        )
        table.set_style("compact")
        table.render()


def _list_tables(
    status: dict[str, Any],
) -> list[tuple[str, list[dict[str, Any]]]]:
    refusals = [
        {"reason": name, "count": count}
        for name, count in status["refusals"].items()
    ]
    return [
        ("entries", status["entries"]),
        (
            "customers (running, maximum: processors/memory_gb/accelerators)",
            [_format_customer(row) for row in status["customers"]],
        ),
        ("data centres", status["data_centres"]),
        ("queue", status["queue"]),
        ("minions", status["minions"]),
        ("refusals since the entry started", refusals),
    ]


def _format_customer(row: dict[str, Any]) -> dict[str, Any]:
    return row | {
        field: "/".join(f"{row[field][name]:g}" for name in _RESOURCES)
        if row[field]
        else "-"
        for field in ("running", "maximum")
    }


COMMANDS = [StatusCommand]
