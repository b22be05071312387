"""What control needs of its surroundings, as abstract base classes."""

import abc
from collections.abc import Callable
from typing import NamedTuple

from chervilcove.core import errors
from chervilcove.jobs import configuration
from chervilcove.jobs import specs


class KeyedRecord(NamedTuple):
    """Hold a record of a ledger; an empty value drops its key."""

    offset: int
    key: str
    value: bytes


class Chunk(NamedTuple):
    """Hold records that were read.

    Attributes:
        records: Records in order of their offsets.
        next_offset: Where to read on.
        end_offset: End of the ledger when it was read.
    """

    records: list[KeyedRecord]
    next_offset: int
    end_offset: int


class Fence(NamedTuple):
    """Number an append of the owner, so that the ledger drops copies.

    Attributes:
        epoch: A lower one than the ledger has seen is refused as `FENCED`.
        sequence: Number of the append in its epoch, from 0.
    """

    epoch: int
    sequence: int


class Ledger(abc.ABC):
    """Keep the newest record of each key, in one order for all.

    Refusals: `LOG_UNAVAILABLE` (surely nothing was done), `OUTCOME_UNKNOWN`,
    `FENCED`, `GONE` (the records asked for have lapsed).
    """

    @abc.abstractmethod
    def append(
        self,
        items: list[tuple[str, bytes]],
        *,
        fence: Fence | None = None,
        timeout_s: float,
    ) -> int | errors.Refusal:
        """Append all `items` or none; return the offset of the first."""

    @abc.abstractmethod
    def read(
        self, offset: int, *, wait_s: float, timeout_s: float
    ) -> Chunk | errors.Refusal:
        """Return the records from `offset`; wait up to `wait_s` for one."""

    @abc.abstractmethod
    def read_newest(self, *, timeout_s: float) -> Chunk | errors.Refusal:
        """Return the newest record of each key; read on from its end."""


class WorkerReport(NamedTuple):
    """Hold what a worker says of itself.

    Attributes:
        id: Its id.
        life: Unix milliseconds of its start.
        host: IP number.
        port: TCP port.
        service: Pool that it belongs to.
        data_centre: Where it stands.
        rack: Its rack.
        labels: Everything that a step may ask for.
        capacity: What its tasks may take together.
        is_draining: Whether it leaves soon.
        leaves_in_ms: Least time left while it drains.
        clock_ms: Its clock when it wrote this.
        machine: Machine that it is a life of, empty if unknown.
    """

    id: str
    life: int
    host: str
    port: int
    service: str
    data_centre: str
    rack: str
    labels: frozenset[str]
    capacity: specs.Resources
    is_draining: bool
    leaves_in_ms: int
    clock_ms: int
    machine: str = ""


class RunningTask(NamedTuple):
    """Hold a run that a worker lists.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        checkpoint: Its newest checkpoint, empty for none.
        percent: How far it is; 100 for a lasting task at work.
        load: Tail of its response times in milliseconds for a task that
            serves, processors in use for others.
    """

    task: str
    run: int
    checkpoint: str
    percent: float
    load: float


class EndedRun(NamedTuple):
    """Hold the end of a run that a worker lists.

    Attributes:
        number: Counts the ends of one life of the worker, from 1.
        task: Name of the task.
        run: Number of the run.
        how: `done`, `failed`, `stopped`, `lapsed`, `broken` (another member
            of its gang ended) or `alone` (its gang was never whole).
        checkpoint: Its newest checkpoint, empty for none.
    """

    number: int
    task: str
    run: int
    how: str
    checkpoint: str


class LeaseReply(NamedTuple):
    """Hold the answer of a worker to a renewal of its lease.

    Attributes:
        clock_ms: The worker's clock.
        life: Unix milliseconds of its start, 0 if it does not say.
        running: Runs that it has.
        ended: Ends that were not acknowledged yet.
    """

    clock_ms: int
    life: int
    running: list[RunningTask]
    ended: list[EndedRun]


class RunCommand(NamedTuple):
    """Name a run to start or stop.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        fence: Epoch of the owner; a worker ignores lower ones.
    """

    task: str
    run: int
    fence: int


class StartOptions(NamedTuple):
    """Hold the rest of an order to start.

    Attributes:
        payload: Text handed to the task.
        expires_ms: Time on the worker's clock from which the order is void.
        checkpoint: What to resume from, empty for the beginning.
        ticket: Grant of the queue's policy, empty where it has none.
    """

    payload: str
    expires_ms: int
    checkpoint: str
    ticket: str = ""


class WorkerClient(abc.ABC):
    """Call one worker.

    Refusals: `CONNECT_FAILED` and `BUSY` (it has done nothing),
    `OUTCOME_UNKNOWN`, `FENCED`, `STALE_REVISION` (a run not higher than one
    that ended there, or another life), `DEADLINE_EXCEEDED` (the order came
    after it expired; detail `clock_ms`), `QUEUE_FULL` (no room), `GONE` (the
    ticket is not valid any more).
    """

    @abc.abstractmethod
    def start(
        self, command: RunCommand, details: StartOptions, *, timeout_s: float
    ) -> int | errors.Refusal:
        """Start a run; return the worker's clock in milliseconds."""

    @abc.abstractmethod
    def stop(
        self, command: RunCommand, *, timeout_s: float
    ) -> int | errors.Refusal:
        """Stop a run, and make it impossible where it is not there yet."""

    @abc.abstractmethod
    def renew_lease(
        self,
        *,
        fence: int,
        last_seen: int,
        lease_until_ms: int,
        wait_ms: int,
        timeout_s: float,
    ) -> LeaseReply | errors.Refusal:
        """Extend the lease of all that runs; return runs and ends."""

    @abc.abstractmethod
    def set_pace(
        self, command: RunCommand, percent: int, *, timeout_s: float
    ) -> int | errors.Refusal:
        """Let a task work at a share of its speed."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close all connections."""


class PolicyGrants(NamedTuple):
    """Hold what a policy grants.

    Attributes:
        tickets: A ticket for each worker that may run the step.
        valid_s: Seconds for which these are valid.
    """

    tickets: dict[str, str]
    valid_s: float


class PlacementPolicy(abc.ABC):
    """Decide which workers may run a step; it takes its time.

    Refusals: `BUSY`, `CONNECT_FAILED`, `OUTCOME_UNKNOWN`, `BAD_ANSWER`.
    """

    @abc.abstractmethod
    def request_grants(
        self, step: str, workers: list[str], *, timeout_s: float
    ) -> PolicyGrants | errors.Refusal:
        """Return which of `workers` may run `step`, "JOB.OCCURRENCE.STEP"."""


class OperatorState(NamedTuple):
    """Hold what the operator asks for.

    Attributes:
        configuration: Configuration in force, None before the first.
        evacuated: Data centres that get no tasks.
    """

    configuration: configuration.Configuration | None
    evacuated: frozenset[str]


class PlatformConnector(abc.ABC):
    """Build what the owner talks to."""

    @abc.abstractmethod
    def connect_worker(self, report: WorkerReport) -> WorkerClient:
        """Return the calls of one worker."""

    @abc.abstractmethod
    def connect_policy(self) -> PlacementPolicy | None:
        """Return the policy of queues, None where there is none."""

    @abc.abstractmethod
    def create_worker_feed(
        self, on_change: Callable[[dict[str, WorkerReport]], None]
    ) -> "Feed":
        """Return a feed that tells all workers after each change."""


class Feed(abc.ABC):
    """Run until stopped."""

    @abc.abstractmethod
    def start(self) -> None:
        """Start to read."""

    @abc.abstractmethod
    def stop(self) -> None:
        """Stop to read."""
