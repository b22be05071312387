"""Checks of settings before start, registered by subject."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import NamedTuple

from chervilcove.conf import core
from chervilcove.conf import global_settings


class Finding(NamedTuple):
    """Error that a check found.

    Attributes:
        id: Subject and number, such as "entry.E001".
        message: Description of the error.
        hint: How to correct it.
    """

    id: str
    message: str
    hint: str


Check = Callable[[global_settings.Settings], list[Finding]]
_checks: dict[str, list[Check]] = {}


def register(subject: str) -> Callable[[Check], Check]:
    """Return a decorator that registers a check under `subject`."""

    def add(check: Check) -> Check:
        _checks.setdefault(subject, []).append(check)
        return check

    return add


def run_checks(settings: global_settings.Settings) -> list[Finding]:
    """Run all checks and return their findings."""
    findings = []
    for subject in sorted(_checks):
        for check in _checks[subject]:
            findings += check(settings)
    return findings


def load_checked_settings(
    path: str,
    *,
    environment: Mapping[str, str],
    content: bytes | None = None,
) -> tuple[global_settings.Settings | None, list[str]]:
    """Load and check settings.

    Args:
        path: Path of a file of JSON with comments, empty for none.
        environment: Environment variables.
        content: Content of the file if it was read already.

    Returns:
        The settings and an empty list; or None and a line for each error.
    """
    loaded = core.load_settings(
        path=path, environment=environment, content=content
    )
    lines = [problem.describe() for problem in loaded.problems]
    if not lines:
        lines = [
            f"{finding.id}: {finding.message}. {finding.hint}"
            for finding in run_checks(loaded.settings)
        ]
    return (None, lines) if lines else (loaded.settings, [])


@register("entry")
def check_ports(settings: global_settings.Settings) -> list[Finding]:
    """Check that the two ports of an entry differ."""
    entry = settings["entry"]
    if entry["port"] and entry["port"] == entry["peer_port"]:
        return [
            Finding(
                "entry.E001",
                f"entry.port and entry.peer_port are both {entry['port']}",
                "Set different ports, or 0 for any free port.",
            )
        ]
    return []


@register("platform")
def check_addresses(settings: global_settings.Settings) -> list[Finding]:
    """Check that the ports of the platform's services are set."""
    return [
        Finding(
            "platform.E001",
            f"{section}.port is 0",
            "Set the port of the platform's service.",
        )
        for section in ("log", "instances")
        if not settings[section]["port"]
    ]


@register("statsd")
def check_statsd(settings: global_settings.Settings) -> list[Finding]:
    """Check that statsd.host and statsd.port are set together."""
    statsd = settings["statsd"]
    if bool(statsd["host"]) != bool(statsd["port"]):
        return [
            Finding(
                "statsd.E001",
                "only one of statsd.host and statsd.port is set",
                "Set both, or neither to send no metrics.",
            )
        ]
    return []


@register("fleet")
def check_fleet(settings: global_settings.Settings) -> list[Finding]:
    """Check that the addresses of a fleet are set together."""
    fleet = settings["fleet"]
    names = ("front", "ready", "metrics", "ledger")
    missing = [name for name in names if not fleet[name]]
    if missing in ([], list(names)):
        return []
    return [
        Finding(
            "fleet.E001",
            f"fleet: {', '.join(missing)} missing",
            "Set all four addresses, or none if not in a fleet.",
        )
    ]


@register("fleet")
def check_reclaim(settings: global_settings.Settings) -> list[Finding]:
    """Check that a stop is shorter than the time to start guaranteed work."""
    fleet = settings["fleet"]
    if fleet["stop_ms"] < fleet["reclaim_ms"]:
        return []
    return [
        Finding(
            "fleet.E002",
            f"fleet.stop_ms {fleet['stop_ms']} is not less than "
            f"fleet.reclaim_ms {fleet['reclaim_ms']}",
            "Increase fleet.reclaim_ms, the time to start guaranteed work.",
        )
    ]
