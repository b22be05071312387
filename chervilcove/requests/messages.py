"""Messages to the dispatcher."""

from typing import NamedTuple

from gevent import event

from chervilcove.core import errors
from chervilcove.customers import schema as customers
from chervilcove.requests import core
from chervilcove.requests import heartbeats
from chervilcove.requests import lifecycle
from chervilcove.requests import links
from chervilcove.requests import services


class Submit(NamedTuple):
    """Queue a request for dispatch."""

    pending: lifecycle.PendingRequest


class CheckAdmission(NamedTuple):
    """Ask whether a request would be refused now.

    `reply` is set to the refusal, or to None if it would be admitted.
    """

    request: core.Request
    reply: event.AsyncResult


class TryEnded(NamedTuple):
    """Report the end of a try.

    Attributes:
        state: State of the service.
        pending: The request that was sent.
        link: The minion that it was sent to.
        outcome: How the try ended, None if it was cancelled.
        timeout_s: Timeout of the try, in seconds.
    """

    state: services.ServiceState
    pending: lifecycle.PendingRequest
    link: links.MinionLink
    outcome: core.Outcome | None
    timeout_s: float


class HedgeDue(NamedTuple):
    """Report that a second, concurrent try of a request may start."""

    state: services.ServiceState
    pending: lifecycle.PendingRequest


class ProbeEnded(NamedTuple):
    """Report the end of a health request.

    Attributes:
        service: Service of the minion.
        name: Name of the minion.
        heartbeat: The task that sent the request.
        result: Status that the minion reported, or a refusal.
        is_connection_stale: Whether the request on the kept connection got no
            answer.
    """

    service: str
    name: str
    heartbeat: heartbeats.HeartbeatTask
    result: core.MinionStatus | errors.Refusal
    is_connection_stale: bool


class SetMinions(NamedTuple):
    """Replace the minions of a service."""

    service: str
    minions: tuple[customers.Minion, ...]


class SetServices(NamedTuple):
    """Replace all services."""

    services: dict[str, tuple[customers.Minion, ...]]


class SetInstances(NamedTuple):
    """Replace the rows of the platform's instance list."""

    instances: tuple[core.Instance, ...]


class SetEntries(NamedTuple):
    """Replace the entries that share the minions."""

    names: tuple[str, ...]


class Describe(NamedTuple):
    """Ask for a description of services and minions."""

    reply: event.AsyncResult
