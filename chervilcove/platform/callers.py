"""Calls of consumers, in the product's words."""

from typing import Any

import msgspec

from chervilcove.control import api
from chervilcove.core import errors
from chervilcove.core import web
from chervilcove.jobs import specs
from chervilcove.platform import store


class _Step(msgspec.Struct):
    """Decode a step.

    `fill_count` is no number of tasks: it says that the step's processors
    are not counted against a worker. `affinity` names a rack, `est_ms` is a
    rough guess, `speculative` allows copies.
    """

    count: int
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    est_ms: float = 0
    after: list[int] = []
    gang: bool = False
    same_rack: bool = False
    checkpoints: bool = False
    requires: str = ""
    affinity: str = ""
    anti_affinity: int = 0
    speculative: bool = False
    persistent: bool = False
    fill_count: int | bool = 0
    image_ref: str = ""
    target_ms: float = 0
    may_miss: int = 0


class _Job(msgspec.Struct):
    """Decode a job; `repeats` above 0 makes it a scheduled one."""

    steps: list[_Step]
    spec: str = ""
    repeats: int = 0
    start_ms: int = 0
    interval_ms: int = 0


def read_job(body: bytes) -> specs.JobSpec | errors.Refusal:
    """Return the job in `body`, or a refusal."""
    job = store.decode(body, _Job)
    if errors.is_refusal(job):
        return job._replace(kind=errors.Kind.MALFORMED)
    return specs.JobSpec(
        payload=job.spec,
        steps=tuple(_read_step(step) for step in job.steps),
        occurrences=max(1, job.repeats),
        first_due_ms=job.start_ms if job.repeats > 0 else 0,
        interval_ms=job.interval_ms,
    )


def _read_step(step: _Step) -> specs.Step:
    cpu = 0 if step.fill_count else step.cpu
    return specs.Step(
        count=step.count,
        need=specs.Resources(cpu, step.mem_mb, step.gpu),
        estimate_ms=int(step.est_ms),
        after=tuple(step.after),
        is_gang=step.gang,
        same_rack=step.same_rack,
        is_checkpointed=step.checkpoints,
        label=step.requires,
        data_rack=step.affinity,
        most_per_worker=step.anti_affinity,
        may_duplicate=step.speculative,
        is_lasting=step.persistent,
        is_filler=bool(step.fill_count),
        image=step.image_ref,
        target_ms=int(step.target_ms),
        may_miss=step.may_miss,
    )


class Front:
    """Serve consumers.

    Args:
        server: Server of the consumers' address.
        job_api: Answers them.
    """

    def __init__(self, *, server: web.WebServer, job_api: api.JobApi):
        self._job_api = job_api
        for method, handler in (
            ("POST", self._submit),
            ("GET", self._show),
            ("DELETE", self._cancel),
        ):
            server.add_route(method, ".*", handler)

    def _find(self, request: web.WebRequest) -> Any:
        return self._job_api.find_queue(
            host=request.headers.get("host", "").split(":")[0],
            path=request.path,
            key=request.headers.get("x-chervilcove-key", ""),
        )

    def _submit(self, request: web.WebRequest) -> Any:
        found = self._find(request)
        if errors.is_refusal(found):
            return found
        queue, customer = found
        refusal = self._job_api.check_body_size(
            len(request.body), path=request.path
        )
        if refusal is not None:
            return refusal
        spec = read_job(request.body)
        job = request.path.removeprefix(queue.prefix)
        if not errors.is_refusal(spec) and not _is_id(job):
            spec = errors.refuse(errors.Kind.INVALID_VALUE, "no job id")
        if errors.is_refusal(spec):
            return self._job_api.log_refusal(spec, path=request.path)
        state = self._job_api.submit(
            job=job,
            queue=queue,
            customer=customer,
            spec=spec,
            time_left_s=_read_time_left(request),
        )
        return state if errors.is_refusal(state) else {"state": state.value}

    def _show(self, request: web.WebRequest) -> Any:
        found = self._find(request)
        if errors.is_refusal(found):
            return found
        queue, _ = found
        job = request.path.removeprefix(queue.prefix)
        if not job:
            count = self._job_api.count_waiting(queue=queue.name)
            return count if errors.is_refusal(count) else {"waiting": count}
        state = self._job_api.get_job_state(job=job)
        return state if errors.is_refusal(state) else {"state": state.value}

    def _cancel(self, request: web.WebRequest) -> Any:
        found = self._find(request)
        if errors.is_refusal(found):
            return found
        queue, _ = found
        refusal = self._job_api.cancel(
            job=request.path.removeprefix(queue.prefix),
            time_left_s=_read_time_left(request),
        )
        return {} if refusal is None else refusal


def _is_id(text: str) -> bool:
    return len(text) == 16 and all(one in "0123456789abcdef" for one in text)


def _read_time_left(request: web.WebRequest) -> float | None:
    text = request.headers.get("x-chervilcove-deadline-ms", "")
    try:
        return float(text) / 1000 if text else None
    except ValueError:
        return None
