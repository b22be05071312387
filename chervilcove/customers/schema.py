"""Schema of the configuration: data centres, workers, customers, services."""

from typing import Any
from typing import NotRequired
from typing import TypedDict


class DataCentre(TypedDict):
    """Describe one data centre.

    Attributes:
        name: Unique name.
        region: Region that holds it.
        in_service: False while operators have taken it out of service.
    """

    name: str
    region: str
    in_service: bool


class Worker(TypedDict):
    """Describe one worker.

    Attributes:
        name: Unique name.
        data_centre: Data centre that holds it.
        rack: Name of its rack, unique across data centres.
        address: "IP:port" of its control interface.
        processors: Number of processor cores.
        memory_gb: Memory in gigabytes.
        accelerators: Number of accelerators: 0, 1, 2, 4 or 8.
    """

    name: str
    data_centre: str
    rack: str
    address: str
    processors: int
    memory_gb: int
    accelerators: int


class Guarantee(TypedDict):
    """Describe accelerator shapes that a customer may reclaim at any time.

    Attributes:
        name: Unique within the customer.
        accelerators: Accelerators in one shape.
        adjacent: Topology level that contains all of one shape: "accelerator",
            "pair", "quad", "worker", "rack" or "data_centre".
        count: Number of such shapes.
        data_centres: Names of allowed data centres; empty for all.
    """

    name: str
    accelerators: int
    adjacent: str
    count: int
    data_centres: list[str]


class Team(TypedDict):
    """Describe a team of a customer.

    Attributes:
        name: Unique within the customer.
        quota: Maximum number of accelerators that its gangs hold at a time.
    """

    name: str
    quota: int


class Maximum(TypedDict):
    """Describe what a customer may have running across all workers.

    Attributes:
        processors: Number of processor cores, 0 for no limit.
        memory_gb: Memory in gigabytes, 0 for no limit.
        accelerators: Number of accelerators, 0 for no limit.
    """

    processors: int
    memory_gb: int
    accelerators: int


class Customer(TypedDict):
    """Describe a customer.

    Attributes:
        name: Unique name.
        weight: Its share of borrowed accelerators, relative to the weights
            of other customers.
        guarantees: Accelerator shapes that it may reclaim at any time.
        teams: Its teams.
        maximum: What it may have running; no limit if it is missing, as in
            configurations of earlier builds.
    """

    name: str
    weight: float
    guarantees: list[Guarantee]
    teams: list[Team]
    maximum: NotRequired[Maximum]


class Minion(TypedDict):
    """Describe one minion (backend server) of a service.

    Attributes:
        name: Unique name.
        data_centre: Data centre that holds it.
        address: "IP:port".
        slots: Maximum number of requests that it processes at a time.
        connections: Maximum number of connections that it accepts.
    """

    name: str
    data_centre: str
    address: str
    slots: int
    connections: int


class Service(TypedDict):
    """Describe a request/response service.

    Attributes:
        name: Unique name.
        minions: The backend servers that handle its requests.
    """

    name: str
    minions: list[Minion]


class Configuration(TypedDict):
    """Hold all state that operators change by release notes.

    Attributes:
        revision: Number of release notes accepted so far.
        data_centres: By name.
        workers: By name.
        customers: By name.
        services: By name.
    """

    revision: int
    data_centres: dict[str, DataCentre]
    workers: dict[str, Worker]
    customers: dict[str, Customer]
    services: dict[str, Service]


class Note(TypedDict):
    """Hold a release note.

    Attributes:
        id: Unique identifier, chosen by the submitting tool.
        author: Person or tool that submits it.
        base_revision: Revision of the configuration that the note is based
            on.
        added: Items to add, which must not exist yet.
        changed: Items to change, which must exist; only given fields are
            replaced.
        withdrawn: Items to remove, which must exist; "type" and "name", and
            the owner of a nested item, suffice.
        comment: Free text, optional.
    """

    id: str
    author: str
    base_revision: int
    added: list[dict[str, Any]]
    changed: list[dict[str, Any]]
    withdrawn: list[dict[str, Any]]
    comment: NotRequired[str]


def create_configuration() -> Configuration:
    """Return an empty configuration with revision 0."""
    return Configuration(
        revision=0, data_centres={}, workers={}, customers={}, services={}
    )
