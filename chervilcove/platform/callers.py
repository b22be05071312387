"""HTTP routes of the job API, and the JSON format of submitted jobs."""

import math
from typing import Annotated
from typing import Any

import msgspec

from chervilcove.control import api
from chervilcove.core import errors
from chervilcove.core import web
from chervilcove.jobs import records
from chervilcove.jobs import specs
from chervilcove.platform import fields
from chervilcove.platform import store

_Amount = Annotated[int, msgspec.Meta(ge=0, le=specs.MAX_VALUE)]
_Duration = Annotated[float, msgspec.Meta(ge=0, le=specs.MAX_VALUE)]


class _Step(msgspec.Struct):
    """JSON format of a step.

    Attributes:
        est_ms: Rough estimate of a task's duration.
        affinity: Name of a rack.
        speculative: Whether copies of a task are allowed.
        fill_count: Whether the processors of the step are not counted against
            a worker; despite its name not a number of tasks.
    """

    count: fields.Integer
    cpu: _Amount = 0
    mem_mb: _Amount = 0
    gpu: _Amount = 0
    est_ms: _Duration = 0
    after: list[fields.Integer] = []
    gang: bool = False
    same_rack: bool = False
    checkpoints: bool = False
    requires: str = ""
    affinity: str = ""
    anti_affinity: _Amount = 0
    speculative: bool = False
    persistent: bool = False
    fill_count: fields.Integer | bool = 0
    image_ref: str = ""
    target_ms: _Duration = 0
    may_miss: _Amount = 0


class _Job(msgspec.Struct):
    """JSON format of a job; it is a scheduled job if `repeats` is positive."""

    steps: list[_Step]
    spec: str = ""
    repeats: Annotated[int, msgspec.Meta(ge=0, le=specs.MAX_TASKS)] = 0
    start_ms: fields.Count = 0
    interval_ms: _Amount = 0


def parse_job(body: bytes) -> specs.JobSpec | errors.Refusal:
    """Return the job that `body` encodes as JSON, or a refusal."""
    job = store.decode(body, _Job)
    if errors.is_refusal(job):
        return job._replace(kind=errors.Kind.MALFORMED)
    return specs.JobSpec(
        payload=job.spec,
        steps=tuple(_convert_step(step) for step in job.steps),
        occurrences=max(1, job.repeats),
        first_due_ms=job.start_ms if job.repeats > 0 else 0,
        interval_ms=job.interval_ms,
    )


def _convert_step(step: _Step) -> specs.Step:
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


class JobRoutes:
    """Route the HTTP requests of callers to the job API.

    Args:
        server: Server for the requests of callers.
        job_api: Job API that handles them.
    """

    def __init__(self, *, server: web.WebServer, job_api: api.JobApi):
        self._job_api = job_api
        server.set_size_refusal(self._refuse_size)
        for method, handler in (
            ("POST", self._handle_post),
            ("GET", self._handle_get),
            ("DELETE", self._handle_delete),
        ):
            server.add_route(method, ".*", handler)

    def _refuse_size(self, size: int, path: str) -> errors.Refusal | None:
        return self._job_api.check_body_size(size, path=path)

    def _find_queue(self, request: web.WebRequest) -> Any:
        return self._job_api.find_queue(
            host=request.headers.get("host", "").split(":")[0],
            path=request.path,
            key=request.headers.get("x-chervilcove-key", ""),
        )

    def _handle_post(self, request: web.WebRequest) -> Any:
        found = self._find_queue(request)
        if errors.is_refusal(found):
            return found
        queue, customer = found
        refusal = self._job_api.check_body_size(
            len(request.body), path=request.path
        )
        if refusal is not None:
            return refusal
        spec = parse_job(request.body)
        job = request.path.removeprefix(queue.prefix)
        if not errors.is_refusal(spec) and not specs.is_job_id(job):
            spec = errors.refuse(
                errors.Kind.INVALID_VALUE,
                "job id must be 16 lowercase hexadecimal digits",
            )
        if errors.is_refusal(spec):
            return self._job_api.log_refusal(spec, path=request.path)
        state = self._job_api.submit(
            job=job,
            queue=queue,
            customer=customer,
            spec=spec,
            time_left_s=_parse_time_left_s(request),
        )
        return state if errors.is_refusal(state) else {"state": state.value}

    def _handle_get(self, request: web.WebRequest) -> Any:
        found = self._find_queue(request)
        if errors.is_refusal(found):
            return found
        queue, customer = found
        job = request.path.removeprefix(queue.prefix)
        if not job:
            count = self._job_api.count_waiting(queue=queue.name)
            return count if errors.is_refusal(count) else {"waiting": count}
        state = self._job_api.get_job_state(
            job=job, sender=records.build_sender(queue, customer)
        )
        return state if errors.is_refusal(state) else {"state": state.value}

    def _handle_delete(self, request: web.WebRequest) -> Any:
        found = self._find_queue(request)
        if errors.is_refusal(found):
            return found
        queue, customer = found
        refusal = self._job_api.cancel(
            job=request.path.removeprefix(queue.prefix),
            sender=records.build_sender(queue, customer),
            time_left_s=_parse_time_left_s(request),
        )
        return {} if refusal is None else refusal


def _parse_time_left_s(request: web.WebRequest) -> float | None:
    """Return the seconds for which a caller waits, None if it names none."""
    text = request.headers.get("x-chervilcove-deadline-ms", "")
    try:
        time_left_s = float(text) / 1000
    except ValueError:
        return None
    return max(0.0, time_left_s) if math.isfinite(time_left_s) else None
