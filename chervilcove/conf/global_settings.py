"""Schema of all settings, with types, bounds, units and defaults.

A deployment's file overrides the defaults and the environment overrides the
file. The reference page docs/ref/settings.md is generated from this module.
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
    """Name, addresses and place of this entry."""

    name: _add_description(_Name, "Unique name of the instance.")
    host: _build_host_type("IP address to listen on.")
    port: _add_description(_Port, "TCP port for HTTP, 0 for any free port.")
    peer_port: _add_description(
        _Port, "TCP port for other entries, 0 for any free port."
    )
    data_centre: _add_description(str, "Data centre of the instance.")
    region: _add_description(str, "Region of the data centre.")
    drain_s: Annotated[
        float,
        msgspec.Meta(
            ge=0,
            le=600,
            description="Longest drain after SIGTERM, seconds.",
        ),
    ]


class Address(TypedDict):
    """Address of a service of the platform."""

    host: _build_host_type("IP address of the service.")
    port: _add_description(_Port, "TCP port of the service.")


class Statsd(TypedDict):
    """Address of the statsd server and the prefix of metrics."""

    host: _add_description(
        str, "IP address of the statsd server, empty for none."
    )
    port: _add_description(_Port, "UDP port of the statsd server, 0 for none.")
    prefix: _add_description(str, "First part of each metric name.")


class Policy(TypedDict):
    """Goal of the scheduling policy."""

    profile: Annotated[
        Literal["completion", "continuity"],
        msgspec.Meta(
            description=(
                "completion: completion times have the most weight; "
                "continuity: work done while a data centre leaves and returns "
                "has the most weight."
            )
        ),
    ]


class Leases(TypedDict):
    """Durations of the leases of gangs on workers."""

    run_ttl_s: Annotated[
        float,
        msgspec.Meta(
            ge=1,
            le=120,
            description="Duration of a run lease after each renewal, seconds.",
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
            description=f"{description}; empty if not in a fleet.",
        ),
    ]


class Fleet(TypedDict):
    """Addresses and time limits of an entry that schedules a fleet."""

    front: _build_address_type("IP:port for callers")
    ready: _build_address_type("IP:port for liveness checks")
    metrics: _build_address_type("IP:port for counters and histograms")
    peers: _build_address_type("IP:port for the calls of other entries")
    ledger: _build_address_type(
        "IP:port of the store that keeps the job ledger"
    )
    policy: _build_address_type(
        "IP:port of the service that decides the queues' policies"
    )
    reclaim_ms: Annotated[
        int,
        msgspec.Meta(
            ge=500,
            le=600_000,
            description="Time within which guaranteed work must start, ms.",
        ),
    ]
    stop_ms: Annotated[
        int,
        msgspec.Meta(
            ge=0, le=60_000, description="Longest duration of a stop, ms."
        ),
    ]
    save_s: Annotated[
        float,
        msgspec.Meta(
            ge=0,
            le=600,
            description="Work of a task between two checkpoints, s; 0 if"
            " unknown.",
        ),
    ]
    restore_ms: Annotated[
        int,
        msgspec.Meta(
            ge=0,
            le=600_000,
            description="Time that a task takes to resume from a checkpoint,"
            " ms.",
        ),
    ]
    reserves_for_gangs: _add_description(
        bool,
        "Whether workers that become free are kept for gangs that wait.",
    )
    holds_lowest_starts: _add_description(
        bool,
        "Whether work of the lowest priority leaves room for expected urgent"
        " arrivals.",
    )
    orders_by_share: _add_description(
        bool,
        "Whether shares of customers count in a full pool where the"
        " configuration gives none of them a weight.",
    )
    config_apply_ms: Annotated[
        int,
        msgspec.Meta(
            ge=100,
            le=600_000,
            description="Time within which a confirmed configuration must be"
            " in force, ms.",
        ),
    ]
    config_stretch_ms: Annotated[
        int,
        msgspec.Meta(
            ge=0,
            le=600_000,
            description="Time in addition to fleet.config_apply_ms while the"
            " store is in trouble, ms.",
        ),
    ]
    processor_share: Annotated[
        float,
        msgspec.Meta(
            gt=0,
            le=64,
            description="Share of a processor that the entry may use.",
        ),
    ]
    processor_speed: Annotated[
        float,
        msgspec.Meta(
            gt=0,
            le=64,
            description="Speed of that processor; entries with more of both"
            " become the owner first.",
        ),
    ]
    memory_mb: Annotated[
        int,
        msgspec.Meta(
            ge=0,
            le=16_777_216,
            description="Memory of the machine, MB; 0 if unknown. It bounds"
            " what clients may use, and the fleet that the entry can own.",
        ),
    ]
    max_fds: Annotated[
        int,
        msgspec.Meta(
            ge=0,
            le=16_777_216,
            description="File descriptors that the entry may open; 0 if"
            " unknown. They bound the connections of clients, and the fleet"
            " that the entry can own.",
        ),
    ]
    link_mbps: Annotated[
        float,
        msgspec.Meta(
            ge=0,
            le=16_777_216,
            description="Rate of the machine's link, Mbit/s; 0 if unknown."
            " Entries whose link is too small for the fleet become the owner"
            " last; it bounds starts and the size of appends.",
        ),
    ]


class Settings(TypedDict):
    """All settings of an entry."""

    entry: Entry
    log: Address
    instances: Address
    statsd: Statsd
    policy: Policy
    leases: Leases
    fleet: Fleet
    log_level: Annotated[
        Literal["DEBUG", "INFO", "WARNING", "ERROR"],
        msgspec.Meta(description="Lowest level of events that are written."),
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
        "peers": "",
        "ledger": "",
        "policy": "",
        "reclaim_ms": 2_900,
        "stop_ms": 900,
        "save_s": 0.0,
        "restore_ms": 0,
        "reserves_for_gangs": False,
        "holds_lowest_starts": False,
        "orders_by_share": False,
        "config_apply_ms": 3_000,
        "config_stretch_ms": 6_000,
        "processor_share": 1.0,
        "processor_speed": 1.0,
        "memory_mb": 0,
        "max_fds": 0,
        "link_mbps": 0.0,
    },
    "log_level": "INFO",
}
