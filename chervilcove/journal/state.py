"""The replicated state: what every entry knows after the same records.

Everything here is a function of the log. `State` holds plain typed values
that go into snapshots, and indexes derived from them.
"""

from typing import Any
from typing import NamedTuple
from typing import TypedDict

import msgspec

from chervilcove.core import errors
from chervilcove.core import identifiers
from chervilcove.customers import schema as customers
from chervilcove.scheduling import core as scheduling
from chervilcove.scheduling import pool as pools
from chervilcove.scheduling import spec_checks

HISTORY_LIMIT = 64
UNFINISHED_JOBS_LIMIT = 20_000
PAYLOAD_BYTES = 64 * 1024
FINISHED_JOBS_LIMIT = 10_000
FINISHED_JOB_LIFETIME_S = 3 * 86_400.0
NOTES_LIMIT = 1_000
CLAIMS_LIMIT = 100_000
CHECKED_LIMIT = 1_000
SEQUENCES_LIMIT = 4_096


class HistoryEntry(NamedTuple):
    """Hold one step of a job.

    Attributes:
        offset: Record that made it.
        time: Log time, seconds since the Unix epoch.
        event: What happened.
        reason: Value of `scheduling.Reason`, empty for none.
        detail: One sentence, empty for none.
    """

    offset: int
    time: float
    event: str
    reason: str
    detail: str


class Job(TypedDict):
    """Hold one job.

    Attributes:
        spec: The job as submitted.
        state: State in the chart "job".
        submitted_at: Log time.
        finished_at: Log time, 0 while unfinished.
        attempt: Number of the latest attempt, 0 for none.
        fence: Offset of the record that placed the latest attempt.
        slot: Guaranteed slot of the latest attempt.
        places: Places of the latest attempt.
        started: Whether tasks of the latest attempt may have started.
        ran: Whether all of them were seen to run.
        placed_at: Log time of the latest placement.
        kept_s: Seconds of work kept by checkpoints.
        attained: Accelerator-seconds spent so far.
        not_before: Log time before which it is not placed again.
        failures: Attempts that failed on their own account.
        reason: Value of `scheduling.Reason`, or an error kind.
        result: What the first task returned.
        history: Latest steps.
    """

    spec: scheduling.JobSpec
    state: str
    submitted_at: float
    finished_at: float
    attempt: int
    fence: int
    slot: str
    places: tuple[scheduling.TaskPlace, ...]
    started: bool
    ran: bool
    placed_at: float
    kept_s: float
    attained: float
    not_before: float
    failures: int
    reason: str
    result: Any
    history: list[HistoryEntry]


class Claim(TypedDict):
    """Hold the claim of one key.

    Attributes:
        digest: Digest of the request's content.
        owner: Incarnation that may dispatch it.
        outcome: "" while open, "answered" or "unknown".
        answer: Kept answer, empty for none.
        time: Log time of the claim.
    """

    digest: str
    owner: str
    outcome: str
    answer: bytes
    time: float


class NoteOutcome(TypedDict):
    """Hold what became of one record of the configuration stream."""

    config_offset: int
    offset: int
    time: float
    id: str
    author: str
    accepted: bool
    kind: str
    reason: str
    revision: int
    detail: dict[str, Any]


class MarkNote(TypedDict):
    """Hold the latest mark and what replicas computed there.

    Attributes:
        offset: Record of the mark, -1 for none.
        time: Log time.
        log_bytes: Bytes of all records up to it.
        votes: Digest by incarnation.
    """

    offset: int
    time: float
    log_bytes: int
    votes: dict[str, str]


class SnapshotNote(TypedDict):
    """Hold the latest whole snapshot, by its mark."""

    offset: int
    time: float
    log_bytes: int
    digest: str
    size: int


class WaitNote(NamedTuple):
    """Say why a job waits, as the planner last put it into the log."""

    reason: str
    detail: str
    time: float


class Core(TypedDict):
    """Hold all that a snapshot carries.

    Attributes:
        offset: Latest record applied.
        time: Latest log time.
        basis: Latest record that took places or changed the rules.
        config_offset: Next record of the configuration stream.
        configuration: The configuration in force.
        notes: What became of the latest notes.
        jobs: Unfinished jobs in order of submission; finished ones in the
            order in which they finished.
        keys: Job by customer and idempotency key.
        claims: Claims in order of their making.
        unhealthy: Reason by worker that is out of use.
        sequences: Latest record applied, by incarnation.
        format: Format level in force.
        mark: The latest mark.
        snapshot: The latest whole snapshot.
        waits: Why jobs wait.
        planned: Latest record of a planner.
        observations: What gangs that ended have taught; set by `dump`.
        log_bytes: Bytes of all records applied.
    """

    offset: int
    time: float
    basis: int
    config_offset: int
    configuration: customers.Configuration
    notes: list[NoteOutcome]
    jobs: dict[str, Job]
    keys: dict[str, str]
    claims: dict[str, Claim]
    unhealthy: dict[str, str]
    sequences: dict[str, int]
    format: int
    mark: MarkNote
    snapshot: SnapshotNote
    waits: dict[str, WaitNote]
    planned: int
    observations: dict[str, Any]
    log_bytes: int


# Format level from which a field of the core is in dumps; 1 where none is
# given. An older instance then computes the same digest.
FIELD_LEVELS: dict[str, int] = {}

_LoadedCore = TypedDict("_LoadedCore", Core.__annotations__, total=False)  # type: ignore[misc]
_DECODER = msgspec.msgpack.Decoder(_LoadedCore)


class State:
    """Hold the core and the indexes derived from it."""

    def __init__(self, *, core: Core | None = None):
        core = core or create_core()
        self.core: Core = core
        self.pool = pools.Pool(configuration=core["configuration"])
        if core["observations"]:
            self.pool.load_observations(core["observations"])
        self.queue: dict[str, None] = {}
        self.active: dict[str, None] = {}
        self.finished: dict[str, None] = {}
        self._checked: dict[tuple, errors.Refusal | None] = {}
        self._checked_revision = -1
        self._derive()

    def take_over(self, other: "State") -> None:
        """Hold what `other` holds, which must not be used any more."""
        self.__dict__.update(other.__dict__)

    def dump(self) -> bytes:
        """Return the core as msgpack."""
        core = self.core
        core["observations"] = self.pool.dump_observations()
        level = core["format"]
        shown = {
            name: value
            for name, value in core.items()
            if FIELD_LEVELS.get(name, 1) <= level
        }
        return msgspec.msgpack.encode(shown)

    def compute_digest(self) -> str:
        """Return a digest that is equal on equal states."""
        return identifiers.digest(self.dump())

    def check_spec(self, spec: scheduling.JobSpec) -> errors.Refusal | None:
        """Return why `spec` can never run, or None.

        Jobs of a burst look alike, and the check looks at all workers, so
        its answers are kept until the configuration changes.
        """
        revision = self.core["configuration"]["revision"]
        if revision != self._checked_revision:
            self._checked_revision = revision
            self._checked.clear()
        key = tuple(
            tuple(value) if isinstance(value, list) else value
            for name, value in spec.items()
            if name not in ("id", "key", "payload")
        )
        if key not in self._checked:
            if len(self._checked) >= CHECKED_LIMIT:
                self._checked.clear()
            refusal = spec_checks.check_spec(self.core["configuration"], spec)
            self._checked[key] = refusal
        return self._checked[key]

    def list_queue(self) -> list[scheduling.QueuedJob]:
        """Return waiting jobs in order of submission."""
        return [to_queued_job(self.core["jobs"][name]) for name in self.queue]

    def index(self, name: str) -> None:
        """Put job `name` into the index of its state."""
        job = self.core["jobs"][name]
        for table in (self.queue, self.active, self.finished):
            table.pop(name, None)
        if job["state"] == "queued":
            self.queue[name] = None
        elif job["finished_at"]:
            self.finished[name] = None
        else:
            self.active[name] = None

    def _derive(self) -> None:
        for worker in self.core["unhealthy"]:
            self.pool.set_worker_health(worker, False)
        for name, job in self.core["jobs"].items():
            self.index(name)
            if job["state"] in ("placed", "running"):
                self.pool.add_gang(to_gang(job))


def load_core(content: bytes) -> Core | errors.Refusal:
    """Return the core in a snapshot.

    Fields that an older instance did not know get their first value.
    """
    try:
        loaded = _DECODER.decode(content)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return errors.refuse(errors.Kind.MALFORMED, f"snapshot: {error}")
    return Core(**{**create_core(), **loaded})  # type: ignore[typeddict-item]


def load_state(content: bytes) -> State | errors.Refusal:
    """Return the state in a snapshot."""
    core = load_core(content)
    return core if errors.is_refusal(core) else State(core=core)


def to_gang(job: Job) -> scheduling.Gang:
    """Return the gang of the latest attempt of `job`."""
    spec = job["spec"]
    return scheduling.Gang(
        job=spec["id"],
        attempt=job["attempt"],
        customer=spec["customer"],
        team=spec["team"],
        kind=spec["kind"],
        urgency=spec["urgency"],
        slot=job["slot"],
        places=tuple(job["places"]),
        processors=spec["processors"],
        memory_gb=spec["memory_gb"],
        checkpointable=spec["checkpointable"],
        idempotent=spec["idempotent"],
        since=job["placed_at"],
        declared_s=spec["declared_run_s"],
    )


def to_queued_job(job: Job) -> scheduling.QueuedJob:
    """Return `job` as the scheduling core takes it."""
    return scheduling.QueuedJob(
        spec=job["spec"],
        submitted_at=job["submitted_at"],
        attempts=job["attempt"],
        attained=job["attained"],
        not_before=job["not_before"],
    )


def create_core() -> Core:
    """Return the core before the first record."""
    return Core(
        offset=-1,
        time=0.0,
        basis=-1,
        config_offset=0,
        configuration=customers.create_configuration(),
        notes=[],
        jobs={},
        keys={},
        claims={},
        unhealthy={},
        sequences={},
        format=1,
        mark=MarkNote(offset=-1, time=0.0, log_bytes=0, votes={}),
        snapshot=SnapshotNote(
            offset=-1, time=0.0, log_bytes=0, digest="", size=0
        ),
        waits={},
        planned=-1,
        observations={},
        log_bytes=0,
    )
