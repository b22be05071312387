"""Records of the job ledger: a key, and a value in msgpack.

The newest record of a key counts. Records of kinds JOB and CANCEL are
written by the entry that answers a caller; UNIT, END and BEAT by the owner
of decisions, each with its epoch; CLAIM makes its writer the owner; ENTRY
tells the incarnation of an entry that has started.
"""

import enum
from typing import Any
from typing import NamedTuple

import msgspec

from chervilcove.core import errors
from chervilcove.jobs import configuration
from chervilcove.jobs import specs

_decoder = msgspec.msgpack.Decoder()
_encoder = msgspec.msgpack.Encoder()


class Kind(enum.StrEnum):
    """Name the kinds of records; the first part of a key."""

    JOB = "j"
    CANCEL = "c"
    UNIT = "u"
    END = "e"
    ENTRY = "n"
    CLAIM = "owner"
    BEAT = "beat"


OWNER_KINDS = frozenset((Kind.UNIT, Kind.END, Kind.CLAIM, Kind.BEAT))


class Submission(NamedTuple):
    """Hold an accepted job.

    Attributes:
        job: Its id, chosen by the caller.
        queue: Name of the queue.
        service: Pool of workers of the queue at that time.
        customer: Name of the customer, empty on a public queue.
        accepted_ms: Unix milliseconds at which it came.
        spec: What to run.
        priority: Priority of the queue at that time, as all that follow.
        attempts: Failed runs of a task after which the job has failed.
        stretch: Times its longest chain that it may take in time.
        target_ms: Milliseconds added to that.
        needs_advice: Whether the queue's policy decides on workers.
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

    def build_queue(self) -> configuration.Queue:
        """Return the queue as it was, for one that no caller reaches."""
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


class Place(NamedTuple):
    """Name a worker in one of its lives.

    Attributes:
        worker: Id of the worker.
        life: Start of that life, as the worker tells it.
    """

    worker: str
    life: int


class UnitRecord(NamedTuple):
    """Hold how far a unit is: a task, or all tasks of a gang.

    Attributes:
        epoch: Epoch of the owner that wrote it.
        run: Number of its newest run, 0 for none.
        status: A value of `table.Status`.
        failed: Numbers of the runs that ended by a fault of the task.
        checkpoint: What the next run resumes from, empty for none.
        places: Where its newest run was started, by index in a gang.
    """

    epoch: int
    run: int
    status: int
    failed: tuple[int, ...]
    checkpoint: str
    places: tuple[Place, ...]

    @property
    def failures(self) -> int:
        """Return how many runs have failed."""
        return len(self.failed)


class EndRecord(NamedTuple):
    """Hold the end of a job.

    Attributes:
        epoch: Epoch of the owner that wrote it.
        state: Final state, a value of `table.JobState`.
        ended_ms: Unix milliseconds.
    """

    epoch: int
    state: str
    ended_ms: int


class Claim(NamedTuple):
    """Hold who decides.

    Attributes:
        epoch: One more than that of the claim before it.
        entry: Name of the entry.
        incarnation: Its process.
        is_resigned: Whether it gave the decisions back.
    """

    epoch: int
    entry: str
    incarnation: str
    is_resigned: bool = False


class Beat(NamedTuple):
    """Show that the owner of `epoch` is alive.

    Attributes:
        epoch: Its epoch.
        sequence: Number of the append that it is the last record of, by
            which the owner knows an append whose answer is lost.
    """

    epoch: int
    sequence: int = 0


VALUES: dict[Kind, Any] = {
    Kind.JOB: Submission,
    Kind.UNIT: UnitRecord,
    Kind.END: EndRecord,
    Kind.CLAIM: Claim,
    Kind.BEAT: Beat,
}


class Record(NamedTuple):
    """Hold a decoded record.

    Attributes:
        kind: Its kind.
        name: Rest of its key: a job, a unit, or empty.
        value: Typed by `VALUES`; None where the key was dropped.
    """

    kind: Kind
    name: str
    value: Any


def build_key(kind: Kind, name: str = "") -> str:
    """Return the key of a record."""
    return f"{kind.value}/{name}" if name else kind.value


def encode_value(value: Any) -> bytes:
    """Return `value` as msgpack; a named tuple becomes an array."""
    return _encoder.encode(value)


def decode(key: str, value: bytes) -> Record | errors.Refusal:
    """Return a record, or a refusal where it can't be read."""
    head, _, name = key.partition("/")
    try:
        kind = Kind(head)
        if not value:
            return Record(kind, name, None)
        raw = _decoder.decode(value)
        if kind in (Kind.CANCEL, Kind.ENTRY):
            return Record(kind, name, raw)
        return Record(kind, name, msgspec.convert(raw, VALUES[kind]))
    except (ValueError, msgspec.MsgspecError) as error:
        return errors.refuse(errors.Kind.MALFORMED, f"record {key}: {error}")
