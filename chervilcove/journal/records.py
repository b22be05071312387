"""Records of the decision stream.

One record is an envelope of items by one instance; group commit puts many
items into one record. Items are applied in order, each valid or void on its
own.
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
SUPPORTED_FORMAT = 1


class Submit(TypedDict):
    """Add a job."""

    spec: scheduling.JobSpec


class Cancel(TypedDict):
    """Ask for the end of a job."""

    job: str


class PlanItem(TypedDict):
    """Apply one round of decisions made on `basis`.

    Attributes:
        basis: Offset of the last record that took places.
        config_offset: Configuration offset that the planner assumed.
    """

    basis: int
    config_offset: int
    placements: list[scheduling.Placement]
    preemptions: list[scheduling.Preemption]
    refusals: list[scheduling.JobRefusal]


class Starting(TypedDict):
    """Say that the tasks of an attempt may start from now on."""

    job: str
    attempt: int


class Started(TypedDict):
    """Say that all tasks of an attempt run."""

    job: str
    attempt: int


class Ended(TypedDict):
    """Say that an attempt ended on all its workers.

    Attributes:
        job: Job id.
        attempt: Attempt that ended.
        outcome: "completed", "failed", "lost", "stopped" or "not_started".
        reason: Value of `scheduling.Reason`.
        worker: Worker at fault, empty for none.
        kept_s: Seconds of work that a later attempt need not repeat.
        result: What the first task returned.
    """

    job: str
    attempt: int
    outcome: str
    reason: str
    worker: str
    kept_s: float
    result: Any


class WorkerHealth(TypedDict):
    """Say whether a worker may get new gangs."""

    worker: str
    healthy: bool
    reason: str


class Adopt(TypedDict):
    """Give one record of the configuration stream its place in the order.

    Attributes:
        config_offset: Offset in the configuration stream.
        note: The note, None where the record could not be read.
        skips_lapsed: Whether the records between the last one adopted and
            this one have lapsed, unread.
    """

    config_offset: int
    note: customers.Note | None
    skips_lapsed: NotRequired[bool]


class ClaimItem(TypedDict):
    """Claim the key of a non-idempotent request.

    Attributes:
        customer: Customer name.
        service: Service name.
        key: Idempotency key.
        digest: Digest of the content.
        owner: Incarnation that may dispatch it.
    """

    customer: str
    service: str
    key: str
    digest: str
    owner: str


class ClaimEnd(TypedDict):
    """End a claim.

    Attributes:
        customer: Customer name.
        service: Service name.
        key: Idempotency key.
        owner: Incarnation that holds the claim.
        outcome: "released" (not dispatched), "answered" or "unknown".
        answer: Kept answer, empty for none.
    """

    customer: str
    service: str
    key: str
    owner: str
    outcome: str
    answer: bytes


class Mark(TypedDict):
    """Have all replicas take the digest of their state after this record.

    Attributes:
        records: Records that the proposer saw since the last snapshot.
    """

    records: int


class Vote(TypedDict):
    """Say which digest a replica computed at a mark.

    Attributes:
        mark: Offset of the mark.
        digest: Digest of the state.
        by: Incarnation of the replica.
    """

    mark: int
    digest: str
    by: str


class Snapshotted(TypedDict):
    """Say that a whole snapshot is in the stream of snapshots.

    Attributes:
        mark: Offset of its mark.
        digest: Digest of its content.
        chunks: Number of its chunks.
        size: Bytes of its content.
    """

    mark: int
    digest: str
    chunks: int
    size: int


class Format(TypedDict):
    """Raise the format level; every live entry supports it."""

    level: int


class Waits(TypedDict):
    """Say why jobs wait; also a sign of life of the planner.

    Attributes:
        changed: Reasons that are new or different.
    """

    changed: list[scheduling.Wait]


TYPES: dict[str, type] = {
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

# Format level from which an item of a kind is valid; 1 where none is given.
LEVELS: dict[str, int] = {}


class Item(NamedTuple):
    """Hold one item: its kind, a key of `TYPES`, and its typed body."""

    kind: str
    body: Any


class Envelope(NamedTuple):
    """Hold one record.

    Attributes:
        version: Format version.
        by: Incarnation of the instance that appended it.
        sequence: Number that grows with each record of that incarnation.
        items: The items.
    """

    version: int
    by: str
    sequence: int
    items: list[Item]


def encode(envelope: Envelope) -> bytes:
    """Return `envelope` as bytes."""
    return frames.encode(msgspec.to_builtins(envelope, builtin_types=(bytes,)))


def decode(content: bytes) -> Envelope | errors.Refusal:
    """Return the envelope in `content`, or a refusal.

    Items of unknown kind keep their raw body. The body of a malformed item
    is the refusal that says why.
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
            items=[_read_item(*item) for item in items],
        )
    except (ValueError, TypeError, msgspec.ValidationError) as error:
        return errors.refuse(errors.Kind.MALFORMED, f"envelope: {error}")


def _read_item(kind: str, body: Any, *_: Any) -> Item:
    shape = TYPES.get(kind)
    if shape is None:
        return Item(kind, body)
    try:
        return Item(kind, msgspec.convert(body, shape, strict=False))
    except msgspec.ValidationError as error:
        reason = f"{kind}: {error}"
        return Item(kind, errors.refuse(errors.Kind.MALFORMED, reason))
