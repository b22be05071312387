"""HTTP interface for jobs."""

from typing import Any

import gevent
import msgspec

from chervilcove.core import errors
from chervilcove.core import identifiers
from chervilcove.core import web
from chervilcove.entry import planner as planners
from chervilcove.journal import records
from chervilcove.journal import replica as replicas
from chervilcove.journal import state as states
from chervilcove.scheduling import core as scheduling

PROPOSE_TIMEOUT_S = 10.0
READ_TIMEOUT_S = 2.0
MAX_WAIT_S = 60.0
WAIT_POLL_INTERVAL_S = 0.05

_DEFAULTS: dict[str, Any] = {
    "team": "default",
    "kind": "default",
    "urgency": "normal",
    "tasks": 1,
    "accelerators": 0,
    "processors": 1,
    "memory_gb": 1,
    "adjacent": "data_centre",
    "data_centres": [],
    "declared_run_s": 60,
    "idempotent": True,
    "checkpointable": True,
    "payload": {},
}


class JobHandlers:
    """Handle HTTP requests about jobs.

    Args:
        replica: Replica that commits the proposals and holds the state.
        planner: Planner of this entry.
    """

    def __init__(self, *, replica: replicas.Replica, planner: planners.Planner):
        self._replica = replica
        self._planner = planner

    def add_routes(self, server: web.WebServer) -> None:
        """Register the routes on `server`."""
        server.add_route("POST", "/v1/jobs", self._submit)
        server.add_route("GET", "/v1/jobs", self._list)
        server.add_route("GET", "/v1/jobs/{job}", self._show)
        server.add_route("POST", "/v1/jobs/{job}/cancel", self._cancel)
        server.add_route("GET", "/v1/jobs/{job}/explain", self._explain)

    def _submit(self, request: web.WebRequest) -> Any:
        spec = parse_spec(request.decode())
        if errors.is_refusal(spec):
            return spec
        outcome = self._propose("submit", {"spec": spec})
        if errors.is_refusal(outcome):
            return outcome
        return {"job": outcome}

    def _show(self, request: web.WebRequest) -> Any:
        wait_s = min(float(request.query.get("wait_s", "0")), MAX_WAIT_S)
        name = request.parts["job"]
        if name not in self._replica.state.core["jobs"]:
            self._replica.catch_up_decisions(timeout_s=READ_TIMEOUT_S)
        with gevent.Timeout(wait_s or 0.001, False):
            while not self._is_finished(name):
                gevent.sleep(WAIT_POLL_INTERVAL_S)
        job = self._find_job(name)
        if errors.is_refusal(job):
            return job
        return _describe(job)

    def _list(self, request: web.WebRequest) -> Any:
        jobs = self._replica.state.core["jobs"].values()
        return {"jobs": [_describe(job) for job in list(jobs)[-200:]]}

    def _cancel(self, request: web.WebRequest) -> Any:
        outcome = self._propose("cancel", {"job": request.parts["job"]})
        if errors.is_refusal(outcome):
            return outcome
        return {"job": request.parts["job"], "state": outcome}

    def _explain(self, request: web.WebRequest) -> Any:
        job = self._find_job(request.parts["job"])
        if errors.is_refusal(job):
            return job
        wait = self._replica.state.core["waits"].get(request.parts["job"])
        return {
            "job": request.parts["job"],
            "state": job["state"],
            "history": [step._asdict() for step in job["history"]],
            "wait": wait._asdict() if wait else None,
        }

    def _propose(self, kind: str, body: Any) -> Any:
        outcomes = self._replica.propose(
            [records.Item(kind, body)], timeout_s=PROPOSE_TIMEOUT_S
        )
        return outcomes if errors.is_refusal(outcomes) else outcomes[0]

    def _find_job(self, name: str) -> states.Job | errors.Refusal:
        job = self._replica.state.core["jobs"].get(name)
        if job is None:
            return errors.refuse(errors.Kind.UNKNOWN_JOB, f"no job {name!r}")
        return job

    def _is_finished(self, name: str) -> bool:
        job = self._replica.state.core["jobs"].get(name)
        return job is None or bool(job["finished_at"])


def parse_spec(value: Any) -> scheduling.JobSpec | errors.Refusal:
    """Return the job specification in a caller's decoded JSON, or a refusal.

    Fields that the caller left out get defaults; the job gets a new id.

    Args:
        value: Decoded body, or the refusal that decoding it gave.
    """
    if errors.is_refusal(value):
        return value
    if not isinstance(value, dict):
        return errors.refuse(errors.Kind.MALFORMED, "body is not a JSON object")
    if not value.get("key"):
        return errors.refuse(
            errors.Kind.KEY_REQUIRED, "job has no idempotency key"
        )
    fields = {**_DEFAULTS, **value, "id": identifiers.create_id("job")}
    try:
        return msgspec.convert(fields, scheduling.JobSpec)
    except msgspec.ValidationError as error:
        return errors.refuse(errors.Kind.INVALID_VALUE, str(error))


def _describe(job: states.Job) -> dict[str, Any]:
    return {
        "job": job["spec"]["id"],
        "key": job["spec"]["key"],
        "customer": job["spec"]["customer"],
        "urgency": job["spec"]["urgency"],
        "state": job["state"],
        "attempt": job["attempt"],
        "slot": job["slot"],
        "workers": sorted({place.worker for place in job["places"]}),
        "submitted_at": job["submitted_at"],
        "finished_at": job["finished_at"],
        "reason": job["reason"],
        "result": job["result"],
    }
