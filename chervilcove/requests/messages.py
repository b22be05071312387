"""Messages to the router's task."""

from typing import NamedTuple

from gevent import event

from chervilcove.core import errors
from chervilcove.customers import schema as customers
from chervilcove.requests import core
from chervilcove.requests import flights
from chervilcove.requests import heartbeats
from chervilcove.requests import lanes
from chervilcove.requests import links


class Submit(NamedTuple):
    """Queue a flight and send it."""

    flight: flights.Flight


class Check(NamedTuple):
    """Ask whether a request would be refused now; sets None if not."""

    request: core.Request
    reply: event.AsyncResult


class TryEnded(NamedTuple):
    """Report the end of a try.

    Attributes:
        lane: The service.
        flight: The flight that was tried.
        link: The minion that it was tried at.
        outcome: How it ended, None if it was given up.
        timeout_s: Time that it was allowed, in seconds.
    """

    lane: lanes.Lane
    flight: flights.Flight
    link: links.Link
    outcome: core.Outcome | None
    timeout_s: float


class HedgeDue(NamedTuple):
    """Consider a second try beside the first."""

    lane: lanes.Lane
    flight: flights.Flight


class Probed(NamedTuple):
    """Report the end of a health request.

    Attributes:
        service: Service of the minion.
        name: Name of the minion.
        heartbeat: The task that asked.
        result: What the minion said, or why it said nothing.
        is_kept_lost: Whether the kept connection gave no answer.
    """

    service: str
    name: str
    heartbeat: heartbeats.Heartbeat
    result: core.Word | errors.Refusal
    is_kept_lost: bool


class SetMinions(NamedTuple):
    """Replace the minions of a service."""

    service: str
    minions: tuple[customers.Minion, ...]


class SetServices(NamedTuple):
    """Replace all services."""

    services: dict[str, tuple[customers.Minion, ...]]


class SetInstances(NamedTuple):
    """Replace what the platform's list says."""

    instances: tuple[core.Instance, ...]


class SetEntries(NamedTuple):
    """Replace the entries that share the minions."""

    names: tuple[str, ...]


class Describe(NamedTuple):
    """Ask for a description of services and minions."""

    reply: event.AsyncResult
