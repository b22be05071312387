"""Messages between entries, and messages to the membership task."""

from typing import Any
from typing import NamedTuple

import msgspec

from chervilcove.core import errors

LIVE = "live"
LEAVING = "leaving"
DIGEST_LENGTH = 12


class Heartbeat(NamedTuple):
    """Status of one entry, sent to the other entries.

    A receiver ignores fields that a newer sender appends.

    Attributes:
        name: Name of the entry.
        incarnation: Identifier of the start of its process.
        started: Wall-clock time of that start, in seconds since the Unix
            epoch.
        state: "live" or "leaving".
        data_centre: Data centre of the entry.
        region: Region of the data centre, empty if unknown.
        offset: Offset of the latest record that the entry applied.
        mark: Latest mark at which the entry computed a digest of its state.
        digest: Leading digits of that digest.
        format: Format level that the entry supports.
        silence_s: Time since the entry last read the log, in seconds.
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


class HeartbeatReceived(NamedTuple):
    """Pass a received heartbeat to the membership task."""

    heartbeat: Heartbeat


class InstancesReceived(NamedTuple):
    """Pass the polled instance list to the membership task."""

    instances: list[dict[str, Any]]


class ReplicaProgress(NamedTuple):
    """Progress of this entry's replica; fields as in `Heartbeat`."""

    offset: int = -1
    mark: int = -1
    digest: str = ""
    silence_s: float = 0.0


def read_heartbeat(value: Any) -> Heartbeat | errors.Refusal:
    """Return the heartbeat that a peer sent, a refusal if it is malformed."""
    if not isinstance(value, (list, tuple)):
        return errors.refuse(errors.Kind.MALFORMED, "heartbeat is not an array")
    try:
        return msgspec.convert(value[: len(Heartbeat._fields)], Heartbeat)
    except msgspec.ValidationError as error:
        return errors.refuse(errors.Kind.MALFORMED, f"heartbeat: {error}")
