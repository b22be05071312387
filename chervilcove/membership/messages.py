"""Messages between entries, and those of the membership task."""

from typing import Any
from typing import NamedTuple

import msgspec

from chervilcove.core import errors

LIVE = "live"
LEAVING = "leaving"
DIGEST_LENGTH = 12


class Heartbeat(NamedTuple):
    """Say how one entry is.

    A receiver ignores fields that a newer sender appends.

    Attributes:
        name: Name of the entry.
        incarnation: Identifier of its process start.
        started: Wall time of its start, seconds since the Unix epoch.
        state: "live" or "leaving".
        data_centre: Data centre that holds it.
        region: Region that holds the data centre, empty where unknown.
        offset: Latest record that it applied.
        mark: Latest mark that it computed a digest at.
        digest: First digits of that digest.
        format: Format level that it supports.
        silence_s: Seconds since it last read the log.
    """

    name: str
    incarnation: str
    started: float
    state: str
    data_centre: str = ""
    region: str = ""
    offset: int = -1
    mark: int = -1
    digest: str = ""
    format: int = 1
    silence_s: float = 0.0


class Heard(NamedTuple):
    """Carry a heartbeat to the membership task."""

    heartbeat: Heartbeat


class Listed(NamedTuple):
    """Carry the instance list to the membership task."""

    instances: list[dict[str, Any]]


class ReplicaProgress(NamedTuple):
    """Say how far this entry's replica is; fields as in `Heartbeat`."""

    offset: int = -1
    mark: int = -1
    digest: str = ""
    silence_s: float = 0.0


def read_heartbeat(value: Any) -> Heartbeat | errors.Refusal:
    """Return the heartbeat that a peer sent, or what is wrong with it."""
    if not isinstance(value, (list, tuple)):
        return errors.refuse(errors.Kind.MALFORMED, "heartbeat is no array")
    try:
        return msgspec.convert(value[: len(Heartbeat._fields)], Heartbeat)
    except msgspec.ValidationError as error:
        return errors.refuse(errors.Kind.MALFORMED, f"heartbeat: {error}")
