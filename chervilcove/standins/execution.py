"""Gangs and tasks that a stand-in worker simulates, and their records."""

import time
from typing import Any
from typing import TypedDict

import gevent

HOLDING_STATES = ("prepared", "running")


class Observation(TypedDict):
    """Record of one task that a worker started.

    Attributes:
        worker: Name of the worker.
        job: Id of the job.
        attempt: Number of the attempt, from 1.
        index: Index of the task in its gang.
        mask: Bit mask of the accelerators allocated to the task.
        tasks: Number of tasks of the whole gang.
        idempotent: Whether the job may run again once it has started.
        started_at: Unix time of the start, in seconds.
        ended_at: Unix time of the end, in seconds; 0 while the task runs.
        end: "done", "failed", "stopped" or "expired"; empty while it runs.
    """

    worker: str
    job: str
    attempt: int
    index: int
    mask: int
    tasks: int
    idempotent: bool
    started_at: float
    ended_at: float
    end: str


class Task:
    """One simulated task of a gang.

    Args:
        index: Index of the task in its gang.
        mask: Bit mask of its accelerators.

    Attributes:
        state: "prepared", "running" or the way it ended.
        sequence: The worker's sequence number of the newest change.
        kept_s: Seconds of work saved in the newest checkpoint.
    """

    def __init__(self, *, index: int, mask: int):
        self.index = index
        self.mask = mask
        self.state = "prepared"
        self.sequence = 0
        self.kept_s = 0.0
        self.result: Any = None
        self.observation: Observation | None = None
        self.greenlet: gevent.Greenlet | None = None


class Gang:
    """Tasks of one attempt on this worker, with their leases.

    Args:
        body: Body of the call that prepared the gang.

    Attributes:
        size: Number of tasks of the gang on all workers.
        tokens: End of the prepare lease of each token, monotonic seconds.
        deadline: End of the lease of the run, monotonic seconds.
        renewed_at: Unix time of the last renewal, in seconds.
        kept_s: Seconds of work that earlier attempts saved.
        started_at: Unix time of the start, in seconds; 0 before it.
    """

    def __init__(self, *, body: dict[str, Any]):
        self.job: str = body["job"]
        self.attempt: int = body["attempt"]
        self.fence: int = body["fence"]
        self.size: int = body["size"]
        self.idempotent: bool = body["idempotent"]
        self.checkpointable: bool = body["checkpointable"]
        self.processors: float = body["processors"]
        self.memory_gb: float = body["memory_gb"]
        self.tasks = [
            Task(index=index, mask=mask) for index, mask in body["tasks"]
        ]
        self.tokens: dict[str, float] = {}
        self.deadline = 0.0
        self.renewed_at = 0.0
        self.kept_s = 0.0
        self.started_at = 0.0

    @property
    def holds(self) -> bool:
        """Return whether any task still holds its accelerators."""
        return any(task.state in HOLDING_STATES for task in self.tasks)

    def list_holding_tasks(self) -> list[Task]:
        """Return the tasks that still hold their accelerators."""
        return [task for task in self.tasks if task.state in HOLDING_STATES]

    def compute_progress_s(self, speed: float) -> float:
        """Return the seconds of work done, including earlier attempts.

        Args:
            speed: Seconds of work done per second of real time.
        """
        if not self.started_at:
            return self.kept_s
        return self.kept_s + (time.time() - self.started_at) * speed


def create_observation(worker: str, gang: Gang, task: Task) -> Observation:
    """Return the record of `task` with the current time as its start."""
    return Observation(
        worker=worker,
        job=gang.job,
        attempt=gang.attempt,
        index=task.index,
        mask=task.mask,
        tasks=gang.size,
        idempotent=gang.idempotent,
        started_at=time.time(),
        ended_at=0.0,
        end="",
    )


def compute_run_s(payload: dict[str, Any], index: int) -> float:
    """Return the seconds of work that a payload sets for task `index`."""
    by_task = payload.get("run_s_by_task", {})
    return float(by_task.get(str(index), payload.get("run_s", 1.0)))


def must_fail(payload: dict[str, Any], index: int) -> bool:
    """Return whether a payload tells task `index` to fail."""
    return bool(payload.get("fails")) or index in payload.get("failing", ())


def describe(gang: Gang, task: Task) -> dict[str, Any]:
    """Return the report of `task` for an answer to a renewal or stop."""
    return {
        "job": gang.job,
        "attempt": gang.attempt,
        "index": task.index,
        "state": task.state,
        "kept_s": task.kept_s,
        "result": task.result,
    }
