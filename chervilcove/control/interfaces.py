"""Abstract interfaces of the services that the control plane uses."""

import abc
from collections.abc import Callable
import math
from typing import NamedTuple

from chervilcove.core import errors
from chervilcove.jobs import configuration
from chervilcove.jobs import specs


class KeyedRecord(NamedTuple):
    """One record of a ledger; an empty value deletes its key."""

    offset: int
    key: str
    value: bytes


class Chunk(NamedTuple):
    """Records returned by one read.

    Attributes:
        records: Records in the order of their offsets.
        next_offset: Offset to continue reading from.
        end_offset: End of the ledger at the time of the read; of the last
            page if the records come in several.
    """

    records: list[KeyedRecord]
    next_offset: int
    end_offset: int


class Fence(NamedTuple):
    """Number of an append of the owner, by which the ledger drops duplicates.

    Attributes:
        epoch: Epoch of the owner; an epoch lower than one that the ledger has
            seen is refused as `FENCED`.
        sequence: Number of the append in its epoch, from 0.
    """

    epoch: int
    sequence: int


class Ledger(abc.ABC):
    """Keyed topic that keeps the newest record of each key, totally ordered.

    Refusals: `LOG_UNAVAILABLE` (certainly nothing was done),
    `OUTCOME_UNKNOWN`, `FENCED`, `GONE` (the requested records are no longer
    kept).
    """

    @abc.abstractmethod
    def append(
        self,
        items: list[tuple[str, bytes]],
        *,
        fence: Fence | None = None,
        timeout_s: float,
    ) -> int | errors.Refusal:
        """Append all `items` atomically; return the offset of the first."""

    @abc.abstractmethod
    def read(
        self, offset: int, *, wait_s: float, timeout_s: float
    ) -> Chunk | errors.Refusal:
        """Return the records from `offset`; wait up to `wait_s` for one."""

    @abc.abstractmethod
    def read_newest(self, *, timeout_s: float) -> Chunk | errors.Refusal:
        """Return the newest record of each key.

        The caller continues to read from `next_offset` of the result.
        """


class WorkerReport(NamedTuple):
    """Report of a worker about itself.

    Attributes:
        id: Id of the worker.
        life: Unix milliseconds of the start of its process.
        host: IP address.
        port: TCP port.
        service: Pool of workers that it belongs to.
        data_centre: Name of its data centre.
        rack: Name of its rack.
        labels: Labels that steps may require.
        capacity: Total resources for its tasks.
        is_draining: Whether it gets no new tasks and leaves soon.
        leaves_in_ms: Minimum milliseconds until it leaves, while it drains.
        clock_ms: Its clock at the time of the report, in milliseconds.
        machine: Machine that its process runs on, empty if unknown.
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
    """A running task, as reported by its worker.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        checkpoint: Newest checkpoint, empty for none.
        percent: Progress in percent; 100 for a lasting task at work.
        load: Tail latency in milliseconds for a serving task, processors in
            use for other tasks.
    """

    task: str
    run: int
    checkpoint: str
    percent: float
    load: float


class EndedRun(NamedTuple):
    """The end of a run, as reported by its worker.

    Attributes:
        number: Number of the end in this process of the worker, from 1.
        task: Name of the task.
        run: Number of the run.
        how: `done`, `failed`, `stopped`, `lapsed`, `broken` (another member
            of the gang ended) or `alone` (the gang was never complete).
        checkpoint: Newest checkpoint, empty for none.
    """

    number: int
    task: str
    run: int
    how: str
    checkpoint: str


class LeaseReply(NamedTuple):
    """Answer of a worker to a renewal of its lease.

    Attributes:
        clock_ms: The worker's clock in milliseconds.
        life: Unix milliseconds of the start of its process, 0 if unknown.
        running: Tasks that run on it.
        ended: Ends that are not acknowledged yet.
        is_complete: Whether no further ends can wait; a worker lists only so
            many at a time.
    """

    clock_ms: int
    life: int
    running: list[RunningTask]
    ended: list[EndedRun]
    is_complete: bool = True


class RunCommand(NamedTuple):
    """Command for one run of a task, to start, stop or pace it.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        fence: Fence of the owner for the worker's present process; a worker
            rejects lower ones.
    """

    task: str
    run: int
    fence: int


class StartOptions(NamedTuple):
    """Further arguments of a start command.

    Attributes:
        payload: Text passed to the task.
        expires_ms: Time on the worker's clock from which the worker rejects
            the command.
        checkpoint: Checkpoint to resume from, empty to start anew.
        ticket: Ticket of the queue's policy, empty if it has none.
    """

    payload: str
    expires_ms: int
    checkpoint: str
    ticket: str = ""


class WorkerClient(abc.ABC):
    """Client of one worker.

    Refusals: `CONNECT_FAILED` and `BUSY` (the worker has done nothing),
    `OUTCOME_UNKNOWN`, `FENCED`, `STALE_REVISION` (the run is not newer than
    one that ended on the worker, or the worker has restarted),
    `DEADLINE_EXCEEDED` (the command arrived after it expired; detail
    `clock_ms`), `QUEUE_FULL` (not enough free resources), `GONE` (the ticket
    has expired).
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
        """Stop a run, and prevent its start if it has not started yet.

        Returns:
            The worker's clock in milliseconds.
        """

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
        """Extend the lease of all runs; return running and ended tasks.

        Args:
            fence: Fence of the owner for the worker's present process.
            last_seen: Number of the newest end that the worker may forget.
            lease_until_ms: End of the lease on the worker's clock, 0 for
                none.
            wait_ms: Maximum wait for an end before the worker answers.
            timeout_s: Timeout of the call.
        """

    @abc.abstractmethod
    def set_pace(
        self, command: RunCommand, percent: int, *, timeout_s: float
    ) -> int | errors.Refusal:
        """Limit a task to a percentage of its full speed.

        Returns:
            The worker's clock in milliseconds.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Close all connections."""


class PolicyGrants(NamedTuple):
    """Tickets that a policy granted for one step.

    Attributes:
        tickets: A ticket for each worker that may run the step.
        valid_s: Seconds for which the tickets are valid.
    """

    tickets: dict[str, str]
    valid_s: float


class PlacementPolicy(abc.ABC):
    """Decide, slowly, which workers may run a step.

    Refusals: `BUSY`, `CONNECT_FAILED`, `OUTCOME_UNKNOWN`, `BAD_ANSWER`.
    """

    @abc.abstractmethod
    def request_grants(
        self, step: str, workers: list[str], *, timeout_s: float
    ) -> PolicyGrants | errors.Refusal:
        """Return which of `workers` may run `step`, "JOB.OCCURRENCE.STEP"."""


class OperatorState(NamedTuple):
    """Configuration and evacuations that the operator has set.

    Attributes:
        configuration: Configuration in force, None before the first.
        evacuated: Data centres that get no tasks.
        read_at: Boot clock in seconds; no change that the store confirmed
            before then is missing. Infinite for state that is always current.
    """

    configuration: configuration.Configuration | None
    evacuated: frozenset[str]
    read_at: float = math.inf

    def compute_age_s(self, now_s: float) -> float:
        """Return the seconds for which changes may be missing."""
        return max(0.0, now_s - self.read_at)


class PlatformConnector(abc.ABC):
    """Create the clients and the feed that the owner uses."""

    @abc.abstractmethod
    def connect_worker(self, report: WorkerReport) -> WorkerClient:
        """Return a client of one worker."""

    @abc.abstractmethod
    def connect_policy(self) -> PlacementPolicy | None:
        """Return the placement policy of queues, None if there is none."""

    @abc.abstractmethod
    def create_worker_feed(
        self, on_change: Callable[[dict[str, WorkerReport]], None]
    ) -> "Feed":
        """Return a feed of worker reports.

        Args:
            on_change: Called with all reports, by worker, after each change.
        """


class Feed(abc.ABC):
    """Background reader that runs until stopped."""

    @abc.abstractmethod
    def start(self) -> None:
        """Start reading."""

    @abc.abstractmethod
    def stop(self) -> None:
        """Stop reading."""
