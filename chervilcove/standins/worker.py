"""Stand-in for a worker that simulates tasks in memory, under leases.

Published protocol (HTTP, JSON). Times are seconds of the worker's own clock:

* `POST /v1/prepare` {job, attempt, fence, token, ttl_s, size, idempotent,
  checkpointable, processors, memory_gb, tasks: [[index, mask]]}: reserves
  resources for `ttl_s` under `token`. 409 `fenced` if the worker has seen a
  later placement for the job or one of the accelerators, or has stopped the
  attempt; 503 `busy` if accelerators, cores or memory are still allocated.
* `POST /v1/start` {job, attempt, token, ttl_s, payload, kept_s}: starts the
  prepared tasks if the lease of `token` is still valid, else 409 `fenced`.
* `POST /v1/renew` {incarnation, until, digest, gangs?, since, wait_s}:
  extends the leases of the listed gangs to `until` and answers when a task
  ends, or after `wait_s`: {incarnation, clock, sequence, resend, missing,
  tasks}. `digest` refers to a list sent earlier; `resend` requests the list
  again. `tasks` has the tasks that changed after `since`; `missing` has the
  listed gangs that the worker does not know or that have not started.
* `POST /v1/stop` {job, attempt, grace_s}: writes checkpoints within `grace_s`
  and stops the tasks; the attempt can't be prepared or started afterwards.
  Answers {started, tasks}.
* `POST /v1/forget` {gangs: [[job, attempt]]}: removes ended gangs.
* `GET /v1/observations`: returns the tasks that ran here, and when.
* `POST /v1/faults`: changes the `Faults` of this stand-in.
"""

import time
from typing import Any
from typing import NamedTuple

import gevent
from gevent import event

from chervilcove.core import errors
from chervilcove.core import identifiers
from chervilcove.core import web
from chervilcove.standins import execution

EXPIRY_CHECK_INTERVAL_S = 0.05
MAX_GANG_LISTS = 64
MAX_KEPT_GANGS = 1_000
MAX_REMEMBERED_JOBS = 10_000


class Faults(NamedTuple):
    """Faults that the stand-in injects.

    Attributes:
        fails_everything: Whether every task fails as soon as it starts.
        checkpoint_s: Duration of a checkpoint, in seconds.
    """

    fails_everything: bool = False
    checkpoint_s: float = 0.0


class Worker:
    """Simulate tasks in memory and serve the worker protocol.

    Args:
        name: Name of the worker.
        host: IP address to listen on.
        port: TCP port, 0 for any free one.
        accelerators: Number of accelerators.
        processors: Number of processor cores.
        memory_gb: Memory in gigabytes.
        speed: Seconds of work done per second of real time.
        checkpoint_every_s: Seconds of work between periodic checkpoints.
    """

    def __init__(
        self,
        *,
        name: str,
        host: str = "127.0.0.1",
        port: int = 0,
        accelerators: int = 8,
        processors: float = 128.0,
        memory_gb: float = 256.0,
        speed: float = 1.0,
        checkpoint_every_s: float = 60.0,
    ):
        self.name = name
        self.incarnation = identifiers.create_id(name)
        self.observations: list[execution.Observation] = []
        self.faults = Faults()
        self.calls: dict[str, int] = {}
        self._speed = speed
        self._checkpoint_every_s = checkpoint_every_s
        self._processors = processors
        self._memory_gb = memory_gb
        self._gangs: dict[tuple[str, int], execution.Gang] = {}
        self._fences = [-1] * accelerators
        self._job_fences: dict[str, int] = {}
        self._stopped: dict[str, int] = {}
        self._gang_lists: dict[str, list] = {}
        self._sequence = 0
        self._task_ended = event.Event()
        self._expiry_greenlet: gevent.Greenlet | None = None
        self._server = web.WebServer(host=host, port=port)
        for action, handler in (
            ("prepare", self._prepare),
            ("start", self._start),
            ("renew", self._renew),
            ("stop", self._stop),
            ("forget", self._forget),
            ("faults", self._set_faults),
        ):
            self._add_route(action, handler)
        self._server.add_route(
            "GET", "/v1/observations", lambda request: self.observations
        )

    @property
    def fails_everything(self) -> bool:
        """Return whether every task fails as soon as it starts."""
        return self.faults.fails_everything

    @fails_everything.setter
    def fails_everything(self, value: bool) -> None:
        self.faults = self.faults._replace(fails_everything=value)

    @property
    def address(self) -> str:
        """Return "IP:port"."""
        return f"{self._server.host}:{self._server.port}"

    def list_renewals(self) -> dict[tuple[str, int], float]:
        """Return the Unix time of the last lease renewal of each gang."""
        return {key: gang.renewed_at for key, gang in self._gangs.items()}

    def start(self) -> None:
        """Start serving calls and expiring leases."""
        self._server.start()
        self._expiry_greenlet = gevent.spawn(self._expire_leases)

    def stop(self) -> None:
        """Stop serving and end all tasks as expired."""
        self._server.stop()
        if self._expiry_greenlet is not None:
            self._expiry_greenlet.kill(block=False)
        for gang in self._gangs.values():
            self._end_gang(gang, "expired")

    def _add_route(self, action: str, handler) -> None:
        def handle(request: web.WebRequest) -> Any:
            body = request.decode()
            if errors.is_refusal(body):
                return body
            self.calls[action] = self.calls.get(action, 0) + 1
            try:
                return handler(body)
            except (KeyError, TypeError, ValueError) as error:
                return errors.refuse(errors.Kind.INVALID_VALUE, repr(error))

        self._server.add_route("POST", f"/v1/{action}", handle)

    def _prepare(self, body: dict) -> Any:
        key = (body["job"], body["attempt"])
        gang = self._gangs.get(key)
        if gang is None:
            refusal = self._check_admission(body)
            if refusal is not None:
                return refusal
            gang = execution.Gang(body=body)
            self._set_fences(gang)
            self._gangs[key] = gang
        elif not gang.holds:
            return errors.refuse(errors.Kind.FENCED, "attempt has ended")
        gang.tokens[body["token"]] = time.monotonic() + body["ttl_s"]
        return {"prepared": True, "started": bool(gang.started_at)}

    def _check_admission(self, body: dict) -> errors.Refusal | None:
        job, attempt = body["job"], body["attempt"]
        masks = [mask for _, mask in body["tasks"]]
        if attempt <= self._stopped.get(job, 0):
            return errors.refuse(errors.Kind.FENCED, "attempt was stopped")
        if body["fence"] < self._job_fences.get(job, -1):
            return errors.refuse(errors.Kind.FENCED, "job has a later attempt")
        if self._is_fenced(masks, body["fence"]):
            return errors.refuse(errors.Kind.FENCED, "a later placement exists")
        if self._is_held(masks) or not self._has_capacity(body):
            return errors.refuse(errors.Kind.BUSY, "resources are in use")
        return None

    def _start(self, body: dict) -> Any:
        gang = self._gangs.get((body["job"], body["attempt"]))
        if gang is None or not gang.holds:
            return errors.refuse(errors.Kind.FENCED, "attempt is not prepared")
        now = time.monotonic()
        if now >= gang.tokens.get(body["token"], 0.0):
            return errors.refuse(errors.Kind.FENCED, "prepare lease expired")
        if gang.started_at and now >= gang.deadline:
            return errors.refuse(errors.Kind.FENCED, "run lease expired")
        gang.deadline = max(gang.deadline, now + body["ttl_s"])
        if gang.started_at:
            return {"started": True}
        gang.started_at = time.time()
        gang.kept_s = body["kept_s"]
        for task in gang.tasks:
            self._start_task(gang, task, body["payload"])
        return {"started": True}

    def _start_task(
        self, gang: execution.Gang, task: execution.Task, payload: dict
    ) -> None:
        task.state = "running"
        task.observation = execution.create_observation(self.name, gang, task)
        self.observations.append(task.observation)
        self._record_change(task, is_end=False)
        task.greenlet = gevent.spawn(self._run_task, gang, task, payload)

    def _run_task(
        self, gang: execution.Gang, task: execution.Task, payload: dict
    ) -> None:
        if self.faults.fails_everything:
            self._end_task(gang, task, "failed")
            return
        run_s = execution.compute_run_s(payload, task.index)
        task.kept_s = gang.kept_s
        remaining_s = max(0.0, run_s - gang.kept_s)
        while remaining_s > self._checkpoint_every_s:
            gevent.sleep(self._checkpoint_every_s / self._speed)
            remaining_s -= self._checkpoint_every_s
            if gang.checkpointable:
                task.kept_s += self._checkpoint_every_s
                self._record_change(task, is_end=False)
        gevent.sleep(remaining_s / self._speed)
        if execution.must_fail(payload, task.index):
            self._end_task(gang, task, "failed")
            return
        task.result = payload.get("result")
        self._end_task(gang, task, "done")

    def _end_task(
        self, gang: execution.Gang, task: execution.Task, end: str
    ) -> None:
        if task.state not in execution.HOLDING_STATES:
            return
        task.state = end
        if task.observation is not None:
            task.observation["ended_at"] = time.time()
            task.observation["end"] = end
            if end == "stopped" and gang.checkpointable:
                task.kept_s = gang.compute_progress_s(self._speed)
        self._record_change(task, is_end=True)

    def _record_change(self, task: execution.Task, *, is_end: bool) -> None:
        self._sequence += 1
        task.sequence = self._sequence
        if is_end:
            ended, self._task_ended = self._task_ended, event.Event()
            ended.set()

    def _end_gang(self, gang: execution.Gang, end: str) -> None:
        for task in gang.tasks:
            self._end_task(gang, task, end)
            if task.greenlet is not None:
                task.greenlet.kill(block=False)

    def _renew(self, body: dict) -> Any:
        gangs = self._find_gang_list(body)
        missing = self._extend_leases(gangs or [], body["until"])
        if gangs is not None and not missing:
            self._wait_for_end(body)
        return {
            "incarnation": self.incarnation,
            "clock": time.monotonic(),
            "sequence": self._sequence,
            "resend": gangs is None,
            "missing": missing,
            "tasks": self._report_tasks(body),
        }

    def _find_gang_list(self, body: dict) -> list | None:
        digest = body["digest"]
        if "gangs" in body:
            self._gang_lists[digest] = body["gangs"]
            while len(self._gang_lists) > MAX_GANG_LISTS:
                del self._gang_lists[next(iter(self._gang_lists))]
        return self._gang_lists.get(digest)

    def _extend_leases(self, gangs: list, until: float) -> list:
        missing = []
        now = time.monotonic()
        for job, attempt in gangs:
            gang = self._gangs.get((job, attempt))
            if gang is None or not gang.started_at:
                missing.append([job, attempt])
            elif now < gang.deadline:
                gang.deadline = max(gang.deadline, until)
                gang.renewed_at = time.time()
        return missing

    def _wait_for_end(self, body: dict) -> None:
        since = self._read_since(body)
        ended = self._task_ended
        has_unreported_end = any(
            task.sequence > since and task.state not in execution.HOLDING_STATES
            for gang in self._gangs.values()
            for task in gang.tasks
        )
        if not has_unreported_end and body["wait_s"] > 0:
            ended.wait(timeout=body["wait_s"])

    def _read_since(self, body: dict) -> int:
        return body["since"] if body["incarnation"] == self.incarnation else 0

    def _report_tasks(self, body: dict) -> list[dict]:
        since = self._read_since(body)
        return [
            execution.describe(gang, task)
            for gang in self._gangs.values()
            for task in gang.tasks
            if task.sequence > since
        ]

    def _stop(self, body: dict) -> Any:
        job, attempt = body["job"], body["attempt"]
        self._stopped[job] = max(attempt, self._stopped.pop(job, 0))
        while len(self._stopped) > MAX_REMEMBERED_JOBS:
            del self._stopped[next(iter(self._stopped))]
        gang = self._gangs.get((job, attempt))
        if gang is None:
            return {"started": False, "tasks": []}
        if gang.started_at and gang.holds and gang.checkpointable:
            gevent.sleep(min(self.faults.checkpoint_s, body["grace_s"]))
        self._end_gang(gang, "stopped")
        return {
            "started": bool(gang.started_at),
            "tasks": [execution.describe(gang, task) for task in gang.tasks],
        }

    def _forget(self, body: dict) -> Any:
        for job, attempt in body["gangs"]:
            gang = self._gangs.get((job, attempt))
            if gang is not None and not gang.holds:
                del self._gangs[(job, attempt)]
        return {"forgotten": True}

    def _set_faults(self, body: dict) -> Any:
        self.faults = self.faults._replace(**body)
        return self.faults._asdict()

    def _expire_leases(self) -> None:
        while True:
            gevent.sleep(EXPIRY_CHECK_INTERVAL_S)
            now = time.monotonic()
            for gang in list(self._gangs.values()):
                held_until = gang.deadline
                if not gang.started_at:
                    held_until = max(gang.tokens.values())
                if gang.holds and now >= held_until:
                    self._end_gang(gang, "expired")
            self._drop_ended()

    def _drop_ended(self) -> None:
        excess = len(self._gangs) - MAX_KEPT_GANGS
        if excess <= 0:
            return
        ended = [key for key, gang in self._gangs.items() if not gang.holds]
        for key in ended[:excess]:
            del self._gangs[key]

    def _is_held(self, masks: list[int]) -> bool:
        held = 0
        for gang in self._gangs.values():
            for task in gang.list_holding_tasks():
                held |= task.mask
        return any(mask & held for mask in masks)

    def _has_capacity(self, body: dict) -> bool:
        processors = len(body["tasks"]) * body["processors"]
        memory_gb = len(body["tasks"]) * body["memory_gb"]
        for gang in self._gangs.values():
            count = len(gang.list_holding_tasks())
            processors += count * gang.processors
            memory_gb += count * gang.memory_gb
        return processors <= self._processors and memory_gb <= self._memory_gb

    def _is_fenced(self, masks: list[int], fence: int) -> bool:
        return any(
            mask >> index & 1 and self._fences[index] > fence
            for mask in masks
            for index in range(len(self._fences))
        )

    def _set_fences(self, gang: execution.Gang) -> None:
        self._job_fences.pop(gang.job, None)
        self._job_fences[gang.job] = gang.fence
        while len(self._job_fences) > MAX_REMEMBERED_JOBS:
            del self._job_fences[next(iter(self._job_fences))]
        for task in gang.tasks:
            for index in range(len(self._fences)):
                if task.mask >> index & 1:
                    self._fences[index] = gang.fence
