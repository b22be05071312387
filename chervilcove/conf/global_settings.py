"""Every setting with its type, bounds, unit and default.

A deployment's file overrides the defaults, the environment overrides the
file. The reference page docs/ref/settings.md is generated from here.
"""

from typing import Annotated
from typing import Literal
from typing import TypedDict

import msgspec

_Name = Annotated[
    str, msgspec.Meta(min_length=1, max_length=64, pattern=r"^[\w.-]+$")
]
_Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]


def _build_host_type(description: str) -> type:
    return Annotated[
        str,
        msgspec.Meta(
            pattern=r"^(\d{1,3}(\.\d{1,3}){3}|[0-9a-fA-F:]*:[0-9a-fA-F:.]*)$",
            description=description,
        ),
    ]


def _add_description(kind: type, description: str) -> type:
    return Annotated[kind, msgspec.Meta(description=description)]


class Entry(TypedDict):
    """Name this entry and where it listens."""

    name: _add_description(_Name, "Unique name of the instance.")
    host: _build_host_type("IP number to listen on.")
    port: _add_description(_Port, "TCP port for HTTP, 0 for any.")
    peer_port: _add_description(_Port, "TCP port for other entries, 0 for any.")
    data_centre: _add_description(str, "Data centre that holds the instance.")
    region: _add_description(str, "Region that holds the data centre.")
    drain_s: Annotated[
        float,
        msgspec.Meta(
            ge=0,
            le=600,
            description="Most seconds that SIGTERM waits for open requests.",
        ),
    ]


class Address(TypedDict):
    """Locate a service of the platform."""

    host: _build_host_type("IP number of the service.")
    port: _add_description(_Port, "TCP port of the service.")


class Statsd(TypedDict):
    """Locate the receiver of metrics."""

    host: _add_description(str, "IP number of the receiver, empty for none.")
    port: _add_description(_Port, "UDP port of the receiver, 0 for none.")
    prefix: _add_description(str, "First part of each metric name.")


class Policy(TypedDict):
    """Choose what the decisions weigh most."""

    profile: Annotated[
        Literal["completion", "continuity"],
        msgspec.Meta(
            description=(
                "completion: completion time weighs most; continuity: work "
                "done while a data centre leaves and returns weighs most."
            )
        ),
    ]


class Leases(TypedDict):
    """Set the leases of gangs on workers."""

    run_ttl_s: Annotated[
        float,
        msgspec.Meta(
            ge=1,
            le=120,
            description="Run lease that each renewal gives, seconds.",
        ),
    ]
    renew_s: Annotated[
        float,
        msgspec.Meta(
            ge=0.2,
            le=30,
            description=(
                "Longest time between two renewals, seconds; at most a "
                "third of run_ttl_s."
            ),
        ),
    ]


def _build_address_type(description: str) -> type:
    return Annotated[
        str,
        msgspec.Meta(
            pattern=r"^(\d{1,3}(\.\d{1,3}){3}:\d{1,5})?$",
            description=f"{description}; empty outside of a fleet.",
        ),
    ]


class Fleet(TypedDict):
    """Locate what an entry needs that schedules a fleet of workers."""

    front: _build_address_type("IP:port for callers")
    ready: _build_address_type("IP:port for liveness checks")
    metrics: _build_address_type("IP:port for counters and histograms")
    ledger: _build_address_type(
        "IP:port of the store that keeps the job ledger"
    )
    policy: _build_address_type(
        "IP:port of the service that knows the queues' policies"
    )
    reclaim_ms: Annotated[
        int,
        msgspec.Meta(
            ge=500,
            le=600_000,
            description="Time in which guaranteed work must have begun, ms.",
        ),
    ]
    stop_ms: Annotated[
        int,
        msgspec.Meta(
            ge=0, le=60_000, description="Longest time that a stop takes, ms."
        ),
    ]


class Settings(TypedDict):
    """Hold all settings of an entry."""

    entry: Entry
    log: Address
    instances: Address
    statsd: Statsd
    policy: Policy
    leases: Leases
    fleet: Fleet
    log_level: Annotated[
        Literal["DEBUG", "INFO", "WARNING", "ERROR"],
        msgspec.Meta(description="Least level of events that are written."),
    ]


DEFAULTS: Settings = {
    "entry": {
        "name": "entry-1",
        "host": "127.0.0.1",
        "port": 8080,
        "peer_port": 0,
        "data_centre": "",
        "region": "",
        "drain_s": 30.0,
    },
    "log": {"host": "127.0.0.1", "port": 8090},
    "instances": {"host": "127.0.0.1", "port": 8091},
    "statsd": {"host": "", "port": 0, "prefix": "chervilcove"},
    "policy": {"profile": "completion"},
    "leases": {"run_ttl_s": 20.0, "renew_s": 6.0},
    "fleet": {
        "front": "",
        "ready": "",
        "metrics": "",
        "ledger": "",
        "policy": "",
        "reclaim_ms": 2_900,
        "stop_ms": 900,
    },
    "log_level": "INFO",
}
