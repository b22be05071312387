"""Records of the job ledger: a key, and a value in msgpack.

Only the newest record of a key counts. JOB, CANCEL and EARLY_CANCEL records are
written by the entry that answers the caller. UNIT, END and BEAT records are
written by the owner and carry its epoch. A CLAIM record makes its writer the
owner. An ENTRY record announces the incarnation of an entry that has started. A
TIME record holds the owner's time of day, a FLEET record the number of workers.
An OPEN_START record names a unit of which a start got no answer.
"""

import enum
import re
from typing import Annotated
from typing import Any
from typing import Literal
from typing import NamedTuple

import msgspec

from chervilcove.core import errors
from chervilcove.jobs import configuration
from chervilcove.jobs import crash_limits
from chervilcove.jobs import specs

_OFFSET = re.compile(r"[0-9]{1,18}", re.ASCII)

_decoder = msgspec.msgpack.Decoder()
_encoder = msgspec.msgpack.Encoder()


class Kind(enum.StrEnum):
    """Kind of a record; the first part of its key."""

    JOB = "j"
    CANCEL = "c"
    EARLY_CANCEL = "early"
    UNIT = "u"
    END = "e"
    ENTRY = "n"
    CLAIM = "owner"
    BEAT = "beat"
    TIME = "time"
    FLEET = "fleet"
    OPEN_START = "open"


OWNER_KINDS = frozenset((Kind.UNIT, Kind.END, Kind.CLAIM, Kind.BEAT))


class Sender(NamedTuple):
    """Who sends a request about a job.

    Attributes:
        queue: Name of the queue.
        customer: Name of the customer, empty on a public queue.
    """

    queue: str
    customer: str


def build_sender(
    queue: configuration.Queue, customer: configuration.Customer | None
) -> Sender:
    """Return the sender of a request; all are equal on a public queue."""
    if queue.is_public or customer is None:
        return Sender(queue.name, "")
    return Sender(queue.name, customer.name)


class Submission(NamedTuple):
    """An accepted job, with the settings of its queue at that time.

    Attributes:
        job: Id of the job, chosen by the caller.
        queue: Name of the queue.
        service: Pool of workers of the queue.
        customer: Name of the customer, empty on a public queue.
        accepted_ms: Time of acceptance, Unix milliseconds.
        spec: Description of the job.
        priority: Priority of the queue; 0 is the highest.
        attempts: Failed runs of a task after which the job fails.
        stretch: Factor of the completion objective, see
            `configuration.Queue`.
        target_ms: Constant part of the completion objective, milliseconds.
        needs_advice: Whether a policy grants workers to the job.
    """

    job: str
    queue: str
    service: str
    customer: str
    accepted_ms: int
    spec: specs.JobSpec
    priority: int = 1
    attempts: int = 1
    stretch: float = 3.0
    target_ms: int = 0
    needs_advice: bool = False

    def is_open_to(self, sender: Sender) -> bool:
        """Return whether a sender may see and cancel the job."""
        return self.queue == sender.queue and (
            not sender.customer or self.customer in ("", sender.customer)
        )

    def build_queue(self) -> configuration.Queue:
        """Return the queue as it was at submission.

        It stands in for a queue that was removed from the configuration. It
        has no host and prefix, as no caller can reach it any more.
        """
        return configuration.Queue(
            name=self.queue,
            host="",
            prefix="",
            service=self.service,
            priority=self.priority,
            attempts=self.attempts,
            stretch=self.stretch,
            target_ms=self.target_ms,
            needs_advice=self.needs_advice,
        )


def build_submission(
    *,
    job: str,
    queue: configuration.Queue,
    customer: configuration.Customer | None,
    spec: specs.JobSpec,
    accepted_ms: int,
) -> Submission:
    """Return the record of a job that is accepted now.

    Args:
        job: Id of the job.
        queue: Queue of the job.
        customer: Customer of the job, None on a public queue.
        spec: Steps and payload of the job.
        accepted_ms: Unix milliseconds.
    """
    return Submission(
        job=job,
        queue=queue.name,
        service=queue.service,
        customer=customer.name if customer else "",
        accepted_ms=accepted_ms,
        spec=spec,
        priority=queue.priority,
        attempts=queue.attempts,
        stretch=queue.stretch,
        target_ms=queue.target_ms,
        needs_advice=queue.needs_advice,
    )


class EarlyCancel(NamedTuple):
    """Cancel of an id that had no job yet; it applies to a later one.

    Attributes:
        cancelled_ms: Unix milliseconds.
        queue: Name of the queue.
        customer: Name of the customer, empty on a public queue.
    """

    cancelled_ms: int
    queue: str
    customer: str

    @property
    def sender(self) -> Sender:
        """Return who sent it."""
        return Sender(self.queue, self.customer)


class Place(NamedTuple):
    """One incarnation of a worker, on which a task was started.

    Attributes:
        worker: Id of the worker.
        life: Start of the incarnation, as the worker reports it.
    """

    worker: str
    life: int


class UnitRecord(NamedTuple):
    """State of a unit: a task, or all tasks of a gang.

    Attributes:
        epoch: Epoch of the owner that wrote the record.
        run: Number of its newest run, 0 for none.
        status: A value of `table.UnitStatus`.
        failed: Numbers of the runs that failed by a fault of the task.
        checkpoint: Checkpoint that the next run resumes from, empty for none.
        places: Workers on which its newest run was started, one per task, in
            the order of the tasks of a gang.
        crashes: Crashes of workers under its tasks.
        unbegun_runs: How many of its first runs no worker has begun. The unit
            has begun if its newest run is a later one.
    """

    epoch: int
    run: int
    status: Literal[0, 1, 2]
    failed: tuple[int, ...]
    checkpoint: str
    places: tuple[Place, ...]
    crashes: tuple[crash_limits.Crash, ...] = ()
    unbegun_runs: int = 0

    @property
    def failures(self) -> int:
        """Return the number of failed runs."""
        return len(self.failed)


class EndRecord(NamedTuple):
    """End of a job.

    Attributes:
        epoch: Epoch of the owner that wrote the record.
        state: Final state, a value of `table.JobState`.
        ended_ms: Time of the end, Unix milliseconds.
    """

    epoch: int
    state: Literal["done", "failed", "cancelled"]
    ended_ms: int


class Process(NamedTuple):
    """One process of an entry.

    Attributes:
        entry: Name of the entry.
        incarnation: Incarnation of the entry, which identifies the process.
    """

    entry: str
    incarnation: str


def add_start_offset(incarnation: str, offset: int) -> str:
    """Return `incarnation` with the start of its process.

    Args:
        incarnation: Random identifier of the process.
        offset: End of the ledger at the first read of the process. A later
            process finds the same or a higher one, whatever the clocks show.
    """
    return f"{incarnation}~{offset}"


def parse_start_offset(incarnation: str) -> int | None:
    """Return the start of a process, None if its incarnation has none.

    Entries of earlier versions don't add it.
    """
    _, _, digits = incarnation.rpartition("~")
    return int(digits) if _OFFSET.fullmatch(digits) else None


def started_before(incarnation: str, other: str) -> bool:
    """Tell whether a process of an entry surely started before another one.

    Args:
        incarnation: A process of the entry.
        other: Another process of the same entry.
    """
    offset = parse_start_offset(incarnation)
    later = parse_start_offset(other)
    return offset is not None and later is not None and offset < later


class Claim(NamedTuple):
    """Claim that makes an entry the owner.

    Attributes:
        epoch: Epoch that follows the one of the previous claim.
        entry: Name of the entry.
        incarnation: Incarnation of the entry, which identifies its process.
        is_resigned: Whether the entry gave up the ownership.
        superseded: Processes that were owners before and may still renew
            leases, as they may not know the claims that followed theirs.
    """

    epoch: int
    entry: str
    incarnation: str
    is_resigned: bool = False
    superseded: tuple[Process, ...] = ()

    @property
    def process(self) -> Process:
        """Return the process that wrote the claim."""
        return Process(self.entry, self.incarnation)


class OwnerHeartbeat(NamedTuple):
    """Heartbeat of the owner.

    Attributes:
        epoch: Epoch of the owner.
        sequence: Number of the append that this record is the last one of. By
            it the owner recognises an append whose answer was lost.
    """

    epoch: int
    sequence: int = 0


VALUE_TYPES: dict[Kind, Any] = {
    Kind.JOB: Submission,
    Kind.EARLY_CANCEL: EarlyCancel,
    Kind.UNIT: UnitRecord,
    Kind.END: EndRecord,
    Kind.CLAIM: Claim,
    Kind.BEAT: OwnerHeartbeat,
    Kind.TIME: Annotated[int, msgspec.Meta(ge=0, le=specs.MAX_TIME_MS)],
    Kind.FLEET: Annotated[int, msgspec.Meta(ge=0, le=specs.MAX_VALUE)],
    Kind.OPEN_START: Annotated[int, msgspec.Meta(ge=0)],  # epoch of the owner
}


# Number of last fields that versions before didn't have.
OPTIONAL_FIELDS = {UnitRecord: 2, Claim: 1}


class Record(NamedTuple):
    """A decoded record.

    Attributes:
        kind: Kind of the record.
        name: Rest of the key: id of a job, name of a unit or entry, or empty.
        value: Value of the type in `VALUE_TYPES`, undeclared for CANCEL and
            ENTRY records; None if the key was dropped.
    """

    kind: Kind
    name: str
    value: Any


def build_key(kind: Kind, name: str = "") -> str:
    """Return the key of a record."""
    return f"{kind.value}/{name}" if name else kind.value


def encode_value(value: Any) -> bytes:
    """Return `value` as msgpack; a named tuple becomes an array.

    The last fields of a unit or a claim are left out if they are empty, so
    that entries of versions without these fields can read the record.
    """
    for _ in range(OPTIONAL_FIELDS.get(type(value), 0)):
        if value[-1]:
            break
        value = value[:-1]
    return _encoder.encode(value)


def decode(key: str, value: bytes) -> Record | errors.Refusal:
    """Return the decoded record, or a refusal if it is malformed."""
    head, _, name = key.partition("/")
    try:
        kind = Kind(head)
        if not value:
            return Record(kind, name, None)
        raw = _decoder.decode(value)
        if kind in (Kind.CANCEL, Kind.ENTRY):
            return Record(kind, name, raw)
        record = Record(kind, name, msgspec.convert(raw, VALUE_TYPES[kind]))
    except (ValueError, RecursionError, msgspec.MsgspecError) as error:
        return errors.refuse(
            errors.Kind.MALFORMED, f"cannot decode record {key}: {error}"
        )
    if kind is Kind.JOB:
        refusal = specs.check_stored_spec(record.value.spec)
        if refusal is not None:
            return refusal
    return record
