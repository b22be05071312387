"""The replicated state, equal on all entries after the same records.

It depends on the log alone. `Core` holds the plain typed values that are
written to snapshots; `State` adds indexes derived from them.
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
SPEC_CHECKS_LIMIT = 1_000
SEQUENCES_LIMIT = 4_096


class HistoryEvent(NamedTuple):
    """One event in the history of a job.

    Attributes:
        offset: Offset of the record that caused it.
        time: Log time, seconds since the Unix epoch.
        event: Event of the chart "job", or "submitted" or "starting".
        reason: Value of `scheduling.Reason`, or an error kind; may be empty.
        detail: Detail in words, empty for none.
    """

    offset: int
    time: float
    event: str
    reason: str
    detail: str


class Job(TypedDict):
    """One job and its latest attempt.

    Attributes:
        spec: The job as submitted.
        state: State in the chart "job".
        submitted_at: Log time of the submission.
        finished_at: Log time of the end, 0 while unfinished.
        attempt: Number of the latest attempt, 0 for none.
        fence: Offset of the record that placed the latest attempt.
        slot: Guaranteed slot of the latest attempt.
        places: Places of the latest attempt.
        started: Whether tasks of the latest attempt may have started.
        ran: Whether all tasks of the latest attempt were reported to run.
        placed_at: Log time of the latest placement.
        kept_s: Seconds of work saved in checkpoints.
        attained: Accelerator-seconds used by all attempts that ended.
        not_before: Log time before which it is not placed again.
        failures: Attempts that ended with the outcome "failed".
        reason: Value of `scheduling.Reason`, or an error kind.
        result: Return value of the first task.
        history: Latest events, at most `HISTORY_LIMIT`.
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
    history: list[HistoryEvent]


class Claim(TypedDict):
    """Claim on the key of a non-idempotent request.

    Attributes:
        digest: Digest of the request's content.
        owner: Incarnation that may dispatch the request.
        outcome: Empty while open, then "answered" or "unknown".
        answer: Answer to replay, empty for none.
        time: Log time of the claim.
    """

    digest: str
    owner: str
    outcome: str
    answer: bytes
    time: float


class NoteOutcome(TypedDict):
    """Outcome of one record of the configuration stream.

    Attributes:
        config_offset: Offset in the configuration stream.
        offset: Offset of the record that adopted it.
        time: Log time of that record.
        id: Identifier of the note, empty if it could not be decoded.
        author: Author of the note, empty if it could not be decoded.
        accepted: Whether the note came into force.
        kind: Error kind of a refused note, empty for none.
        reason: Reason of a refused note, empty for none.
        revision: Revision of the configuration after it.
        detail: Detail of the refusal, empty for none.
    """

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


class LatestMark(TypedDict):
    """The latest mark and the digests that replicas computed there.

    Attributes:
        offset: Offset of the mark, -1 for none.
        time: Log time of the mark.
        log_bytes: Size of all records up to the mark, bytes.
        votes: Digest by incarnation.
    """

    offset: int
    time: float
    log_bytes: int
    votes: dict[str, str]


class LatestSnapshot(TypedDict):
    """The latest whole snapshot in the log.

    Attributes:
        offset: Offset of its mark, -1 for none.
        time: Log time of the record that reported it.
        log_bytes: Value of `log_bytes` at the latest mark.
        digest: Digest of its content.
        size: Size of its content, bytes.
    """

    offset: int
    time: float
    log_bytes: int
    digest: str
    size: int


class WaitReason(NamedTuple):
    """Reason why a job waits, as last reported by the planner."""

    reason: str
    detail: str
    time: float


class Core(TypedDict):
    """The content of a snapshot.

    Attributes:
        offset: Offset of the latest record applied.
        time: Latest log time, seconds since the Unix epoch; it never goes
            back.
        basis: Offset of the latest plan, accepted note or worker health; a
            plan is void unless it was made on the current value.
        config_offset: Offset of the next record of the configuration stream.
        configuration: The configuration in force.
        notes: Outcomes of the latest notes, at most `NOTES_LIMIT`.
        jobs: Unfinished jobs by submission, finished ones by their end.
        keys: Job by customer and idempotency key.
        claims: Claims in order of creation.
        unhealthy: Reason by worker that is not used.
        sequences: Latest sequence number applied, by incarnation.
        format: Format level in force.
        mark: The latest mark.
        snapshot: The latest whole snapshot.
        waits: Reason why it waits, by job.
        planned: Offset of the latest record of a planner.
        observations: Statistics of gangs that ended; set by `State.dump`.
        log_bytes: Size of all records applied, bytes.
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
    mark: LatestMark
    snapshot: LatestSnapshot
    waits: dict[str, WaitReason]
    planned: int
    observations: dict[str, Any]
    log_bytes: int


# Minimum format level by field of the core; 1 for fields that are not listed.
# Below it newer instances omit the field from dumps and so compute the same
# digest as older ones.
FIELD_LEVELS: dict[str, int] = {}

_LoadedCore = TypedDict("_LoadedCore", Core.__annotations__, total=False)  # type: ignore[misc]
_DECODER = msgspec.msgpack.Decoder(_LoadedCore)


class State:
    """The core and the indexes derived from it.

    Attributes:
        core: The values that go into snapshots.
        pool: The workers with the gangs that hold places on them.
        queue: Jobs in state "queued"; a dict used as an ordered set.
        active: Unfinished jobs in other states.
        finished: Finished jobs in the order in which they finished.
    """

    def __init__(self, *, core: Core | None = None):
        self.core: Core = core or create_core()
        self.pool = pools.Pool(configuration=self.core["configuration"])
        if self.core["observations"]:
            self.pool.load_observations(self.core["observations"])
        self.queue: dict[str, None] = {}
        self.active: dict[str, None] = {}
        self.finished: dict[str, None] = {}
        self._spec_checks: dict[tuple, errors.Refusal | None] = {}
        self._spec_checks_revision = -1
        self._build_indexes()

    def replace_with(self, other: "State") -> None:
        """Take the content of `other`, which must not be used afterwards."""
        self.__dict__.update(other.__dict__)

    def dump(self) -> bytes:
        """Encode the core as msgpack."""
        core = self.core
        core["observations"] = self.pool.dump_observations()
        fields = {
            name: value
            for name, value in core.items()
            if FIELD_LEVELS.get(name, 1) <= core["format"]
        }
        return msgspec.msgpack.encode(fields)

    def compute_digest(self) -> str:
        """Return the digest of the encoded core, equal for equal states."""
        return identifiers.digest(self.dump())

    def check_spec(self, spec: scheduling.JobSpec) -> errors.Refusal | None:
        """Return the refusal of a job that may not be submitted, or None.

        Results are cached until the configuration changes: the check looks at
        all workers, and the jobs of a burst have mostly equal specs.
        """
        configuration = self.core["configuration"]
        revision = configuration["revision"]
        if revision != self._spec_checks_revision:
            self._spec_checks_revision = revision
            self._spec_checks.clear()
        key = tuple(
            tuple(value) if isinstance(value, list) else value
            for name, value in spec.items()
            if name not in ("id", "key", "payload")
        )
        if key not in self._spec_checks:
            if len(self._spec_checks) >= SPEC_CHECKS_LIMIT:
                self._spec_checks.clear()
            refusal = spec_checks.check_submission(configuration, spec)
            self._spec_checks[key] = refusal
        return self._spec_checks[key]

    def list_queue(self) -> list[scheduling.QueuedJob]:
        """Return the queued jobs, by submission unless requeued."""
        return [
            scheduling.QueuedJob(
                spec=job["spec"],
                submitted_at=job["submitted_at"],
                attempts=job["attempt"],
                attained=job["attained"],
                not_before=job["not_before"],
            )
            for job in map(self.core["jobs"].__getitem__, self.queue)
        ]

    def index_job(self, name: str) -> None:
        """Move job `name` to the index of its state."""
        job = self.core["jobs"][name]
        for table in (self.queue, self.active, self.finished):
            table.pop(name, None)
        self.pool.remove_ending(name)
        if job["state"] == "queued":
            self.queue[name] = None
        elif job["finished_at"]:
            self.finished[name] = None
        else:
            self.active[name] = None
        if job["state"] in ("stopping", "cancelling"):
            self.pool.add_ending(to_gang(job))

    def _build_indexes(self) -> None:
        for worker in self.core["unhealthy"]:
            self.pool.set_worker_health(worker, False)
        for name, job in self.core["jobs"].items():
            self.index_job(name)
            if job["state"] in ("placed", "running"):
                self.pool.add_gang(to_gang(job))


def load_core(content: bytes) -> Core | errors.Refusal:
    """Decode the core in a snapshot; return a refusal if it is malformed.

    Fields that an older instance did not write get their initial values.
    """
    try:
        loaded = _DECODER.decode(content)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return errors.refuse(errors.Kind.MALFORMED, f"snapshot: {error}")
    return Core(**{**create_core(), **loaded})  # type: ignore[typeddict-item]


def load_state(content: bytes) -> State | errors.Refusal:
    """Return the state in a snapshot, or a refusal if it is malformed."""
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
        mark=LatestMark(offset=-1, time=0.0, log_bytes=0, votes={}),
        snapshot=LatestSnapshot(
            offset=-1, time=0.0, log_bytes=0, digest="", size=0
        ),
        waits={},
        planned=-1,
        observations={},
        log_bytes=0,
    )
