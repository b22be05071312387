"""Records of the decision stream and their encoding.

A record is an envelope of items, appended by one instance; group commit puts
many items into one record. Items are applied in order, and each is accepted or
void independently of the others.

The kinds and the field names of items are stored in the log.
"""

from typing import Any
from typing import NamedTuple
from typing import NotRequired
from typing import TypedDict

import msgspec

from chervilcove.core import errors
from chervilcove.core import frames
from chervilcove.customers import schema as customers
from chervilcove.scheduling import core as scheduling

DECISIONS = "decisions"
CONFIGURATION = "configuration"
SNAPSHOTS = "snapshots"
FORMAT_VERSION = 1
# Level 2: notes may give customers a maximum, which placements keep to.
SUPPORTED_FORMAT = 2


class Submit(TypedDict):
    """Adds a job to the queue."""

    spec: scheduling.JobSpec


class Cancel(TypedDict):
    """Cancels a job."""

    job: str


class PlanItem(TypedDict):
    """Applies the decisions of one scheduling round.

    Attributes:
        basis: Offset of the latest record that changed places, health or
            configuration in the state that the planner used.
        config_offset: Configuration offset in that state.
        placements: Gangs to start.
        preemptions: Gangs to stop.
        refusals: Jobs that can never run.
    """

    basis: int
    config_offset: int
    placements: list[scheduling.Placement]
    preemptions: list[scheduling.Preemption]
    refusals: list[scheduling.JobRefusal]


class Starting(TypedDict):
    """Allows the tasks of an attempt to start."""

    job: str
    attempt: int


class Started(TypedDict):
    """Reports that all tasks of an attempt run."""

    job: str
    attempt: int


class Ended(TypedDict):
    """Reports that an attempt ended on all its workers.

    Attributes:
        job: Job id.
        attempt: Attempt that ended.
        outcome: "completed", "failed", "lost", "stopped" or "not_started".
        reason: Value of `scheduling.Reason`.
        worker: Worker at fault, empty for none.
        kept_s: Seconds of work in checkpoints, which a later attempt doesn't
            repeat.
        result: Return value of the first task.
    """

    job: str
    attempt: int
    outcome: str
    reason: str
    worker: str
    kept_s: float
    result: Any


class WorkerHealth(TypedDict):
    """Reports whether gangs may be placed on a worker."""

    worker: str
    healthy: bool
    reason: str


class Adopt(TypedDict):
    """Copies one record of the configuration stream into the decision stream.

    Its position here decides from when on the note is in force.

    Attributes:
        config_offset: Offset in the configuration stream.
        note: The note, None if the record could not be decoded.
        skips_lapsed: Whether the records between the last one adopted and
            this one are past retention and were never read.
    """

    config_offset: int
    note: customers.Note | None
    skips_lapsed: NotRequired[bool]


class ClaimItem(TypedDict):
    """Claims the key of a non-idempotent request.

    Attributes:
        customer: Customer name.
        service: Service name.
        key: Idempotency key.
        digest: Digest of the request's content.
        owner: Incarnation that may dispatch the request.
    """

    customer: str
    service: str
    key: str
    digest: str
    owner: str


class ClaimEnd(TypedDict):
    """Ends a claim.

    Attributes:
        customer: Customer name.
        service: Service name.
        key: Idempotency key.
        owner: Incarnation that holds the claim.
        outcome: "released" (not dispatched), "answered" or "unknown".
        answer: Answer to replay to later requests with this key, empty for
            none.
    """

    customer: str
    service: str
    key: str
    owner: str
    outcome: str
    answer: bytes


class Mark(TypedDict):
    """Asks all replicas for the digest of their state after this record.

    Attributes:
        records: Number of records between the last snapshot and the
            proposer's offset.
    """

    records: int


class Vote(TypedDict):
    """Reports the digest that a replica computed at a mark.

    Attributes:
        mark: Offset of the mark.
        digest: Digest of the state.
        by: Incarnation of the replica.
    """

    mark: int
    digest: str
    by: str


class Snapshotted(TypedDict):
    """Reports that a whole snapshot is in the stream of snapshots.

    Attributes:
        mark: Offset of its mark.
        digest: Digest of its content.
        chunks: Number of chunks.
        size: Size of its content in bytes.
    """

    mark: int
    digest: str
    chunks: int
    size: int


class Format(TypedDict):
    """Raises the format level to one that every live entry supports."""

    level: int


class Waits(TypedDict):
    """Reports why jobs wait; also shows that the planner is alive.

    Attributes:
        changed: Reasons that are new or have changed.
    """

    changed: list[scheduling.Wait]


BODY_TYPES: dict[str, type] = {
    "submit": Submit,
    "cancel": Cancel,
    "plan": PlanItem,
    "starting": Starting,
    "started": Started,
    "ended": Ended,
    "worker_health": WorkerHealth,
    "adopt": Adopt,
    "claim": ClaimItem,
    "claim_end": ClaimEnd,
    "mark": Mark,
    "vote": Vote,
    "snapshotted": Snapshotted,
    "format": Format,
    "waits": Waits,
}

# Minimum format level by item kind; 1 for kinds that are not listed.
ITEM_LEVELS: dict[str, int] = {}


class Item(NamedTuple):
    """One item: its kind, a key of `BODY_TYPES`, and its typed body."""

    kind: str
    body: Any


class Envelope(NamedTuple):
    """Content of one record.

    Attributes:
        version: Format version.
        by: Incarnation of the instance that appended it.
        sequence: Sequence number, which grows with each record of that
            incarnation.
        items: The items.
    """

    version: int
    by: str
    sequence: int
    items: list[Item]


def encode(envelope: Envelope) -> bytes:
    """Encode `envelope` as the content of a record."""
    return frames.encode(msgspec.to_builtins(envelope, builtin_types=(bytes,)))


def decode(content: bytes) -> Envelope | errors.Refusal:
    """Decode the content of a record.

    Items of unknown kind keep their raw body. The body of a malformed item
    is a refusal with the reason. Fields that a newer build appends to the
    envelope or to an item are ignored.

    Returns:
        The envelope, or a refusal if it is malformed.
    """
    value = frames.decode(content)
    if errors.is_refusal(value):
        return value
    try:
        version, by, sequence, items, *_ = value
        return Envelope(
            version=int(version),
            by=str(by),
            sequence=int(sequence),
            items=[_parse_item(*item) for item in items],
        )
    except (ValueError, TypeError, msgspec.ValidationError) as error:
        return errors.refuse(errors.Kind.MALFORMED, f"envelope: {error}")


def _parse_item(kind: str, body: Any, *_: Any) -> Item:
    shape = BODY_TYPES.get(kind)
    if shape is None:
        return Item(kind, body)
    try:
        return Item(kind, msgspec.convert(body, shape, strict=False))
    except msgspec.ValidationError as error:
        reason = f"{kind}: {error}"
        return Item(kind, errors.refuse(errors.Kind.MALFORMED, reason))
