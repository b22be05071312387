"""Generate jobs and requests from a seeded random source."""

import random
from typing import Any
from typing import NamedTuple

import gevent
import msgspec

from chervilcove.core import error_responses
from chervilcove.core import errors
from chervilcove.core import http
from chervilcove.core import identifiers
from chervilcove.demo import deployments
from chervilcove.demo import system as systems
from chervilcove.standins import evidence

MEAN_REQUEST_INTERVAL_S = 0.06
MEAN_JOB_INTERVAL_S = 0.35
REQUEST_DEADLINE_S = 5.0
JOB_CALL_TIMEOUT_S = 15.0
MAX_TRIES = 3
RETRY_DELAY_S = 0.2
NON_IDEMPOTENT_SHARE = 0.3
CANCEL_SHARE = 0.03
UNMEETABLE_DEADLINE_SHARE = 0.03
UNMEETABLE_DEADLINE_S = 0.001


class JobCall(NamedTuple):
    """Hold the submission of one job as its caller saw it.

    Attributes:
        key: Idempotency key.
        job: Job id, empty if the submission was refused.
        tasks: Number of tasks.
        asked_at: Time of the first submission, seconds since the Unix epoch.
        reclaims: Whether the job asks for a guaranteed shape.
        refusal: Why the submission was refused, None if it was accepted.
    """

    key: str
    job: str
    tasks: int
    asked_at: float
    reclaims: bool
    refusal: errors.Refusal | None


class RequestCall(NamedTuple):
    """Hold one request, with all its retries, as its caller saw it.

    Attributes:
        key: Request key, unique to each request.
        tries: Number of times that the caller sent it.
        outcome: "answered", "not_run", "unknown" or "wrong".
        kind: Error kind of a refusal, empty if there was none.
        seconds: Time from the first try to the outcome.
    """

    key: str
    tries: int
    outcome: str
    kind: str
    seconds: float


# Index of the customer whose guarantees the script reclaims. It submits no
# jobs until then.
GUARANTEE_HOLDER_INDEX = 1


class _JobKind(NamedTuple):
    kind: str
    urgency: str
    tasks: int
    accelerators: int
    adjacent: str
    run_s: float
    checkpointable: bool
    weight: float


_JOB_KINDS = (
    _JobKind("survey", "urgent", 1, 4, "quad", 0.8, False, 4),
    _JobKind("booking-plan", "normal", 1, 2, "pair", 1.0, True, 4),
    _JobKind("digest", "normal", 2, 0, "data_centre", 0.6, True, 3),
    _JobKind("region-map", "normal", 1, 8, "worker", 1.5, True, 2),
    _JobKind("reminder-batch", "batch", 2, 8, "rack", 3.0, True, 2),
    _JobKind("single", "batch", 1, 1, "accelerator", 2.0, True, 2),
)


class LoadGenerator:
    """Send jobs and requests, at random intervals, until stopped.

    Args:
        balancer: Balancer that the jobs and requests are sent to.
        deployment: Deployment that names the customers and the service.
        seed: Seed of the random source.
    """

    def __init__(
        self,
        *,
        balancer: systems.Balancer,
        deployment: deployments.Deployment,
        seed: int,
    ):
        self.jobs: list[JobCall] = []
        self.requests: list[RequestCall] = []
        self.tries: list[evidence.Call] = []
        self._balancer = balancer
        self._random = random.Random(seed)
        self._customers = deployment.list_added("customer")
        self._guarantee_holder = self._customers[GUARANTEE_HOLDER_INDEX]["name"]
        self._service = deployment.list_added("service")[0]["name"]
        self._open_calls: set[gevent.Greenlet] = set()
        self._last_numbers = {"job": 0, "request": 0}
        self._senders: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start sending random jobs and requests."""
        self._senders = [
            gevent.spawn(
                self._send_repeatedly,
                MEAN_JOB_INTERVAL_S,
                self._submit_random_job,
            ),
            gevent.spawn(
                self._send_repeatedly,
                MEAN_REQUEST_INTERVAL_S,
                self._send_random_request,
            ),
        ]

    def stop(self) -> None:
        """Send no more random jobs and requests; calls in flight go on."""
        gevent.killall(self._senders)

    def wait(self, *, timeout_s: float) -> bool:
        """Wait for calls in flight; return whether all of them ended."""
        gevent.joinall(list(self._open_calls), timeout=timeout_s)
        return not self._open_calls

    def submit(
        self,
        spec: dict[str, Any],
        *,
        cancels: bool = False,
        reclaims: bool = False,
    ) -> None:
        """Submit one job in a greenlet of its own.

        Args:
            spec: Body of the submission.
            cancels: Whether to cancel the job once it is submitted.
            reclaims: Whether the job asks for a guaranteed shape.
        """
        self._spawn(self._submit_job, spec, cancels, reclaims)

    def send(
        self,
        *,
        body: dict[str, Any],
        entry: str = "",
        service: str = "",
        once: bool = False,
        deadline_s: float = REQUEST_DEADLINE_S,
    ) -> str:
        """Send one request in a greenlet of its own; return its key.

        Args:
            body: Body that the minion receives.
            entry: Name of the entry to send it to, empty for any.
            service: Service name, empty for the deployment's first service.
            once: Whether the request is not idempotent and may run at most
                once.
            deadline_s: Deadline of the request, seconds from now.
        """
        key = f"request-{self._take_number('request')}"
        customer = self._random.choice(self._customers)["name"]
        urgency = self._random.choice(("urgent", "normal", "batch"))
        headers = {
            "X-Customer": customer,
            "X-Request-Key": key,
            "X-Idempotent": "false" if once else "true",
            "X-Urgency": urgency,
            "X-Deadline-Ms": str(int(deadline_s * 1000)),
        }
        path = f"/v1/services/{service or self._service}/requests"
        self._spawn(
            self._send_with_retries,
            entry,
            path,
            headers,
            msgspec.json.encode(body),
        )
        return key

    def _send_repeatedly(self, mean_interval_s: float, send: Any) -> None:
        while True:
            send()
            gevent.sleep(self._random.expovariate(1.0 / mean_interval_s))

    def _spawn(self, function: Any, *arguments: Any) -> None:
        greenlet = gevent.spawn(function, *arguments)
        self._open_calls.add(greenlet)
        greenlet.link(self._open_calls.discard)

    def _take_number(self, name: str) -> int:
        self._last_numbers[name] += 1
        return self._last_numbers[name]

    def _submit_random_job(self) -> None:
        weights = [kind.weight for kind in _JOB_KINDS]
        kind = self._random.choices(_JOB_KINDS, weights)[0]
        submitters = [
            candidate
            for candidate in self._customers
            if candidate["name"] != self._guarantee_holder
        ]
        customer = self._random.choice(submitters)
        team = self._random.choice(customer["teams"])["name"]
        spec = {
            "key": f"job-{self._take_number('job')}",
            "customer": customer["name"],
            "team": team,
            "kind": kind.kind,
            "urgency": kind.urgency,
            "tasks": kind.tasks,
            "accelerators": kind.accelerators,
            "processors": max(1, kind.accelerators * 4),
            "memory_gb": max(1, kind.accelerators * 8),
            "adjacent": kind.adjacent,
            "declared_run_s": kind.run_s * self._random.choice((0.1, 1, 10)),
            "idempotent": self._random.random() > NON_IDEMPOTENT_SHARE,
            "checkpointable": kind.checkpointable,
            "payload": {"run_s": kind.run_s, "result": kind.kind},
        }
        cancels = self._random.random() < CANCEL_SHARE
        self.submit(spec, cancels=cancels)

    def _submit_job(
        self, spec: dict[str, Any], cancels: bool, reclaims: bool
    ) -> None:
        asked_at = systems.get_unix_time()
        outcome = self._submit_with_retries(spec)
        is_refused = errors.is_refusal(outcome)
        job = "" if is_refused else outcome["job"]
        self.jobs.append(
            JobCall(
                key=spec["key"],
                job=job,
                tasks=spec["tasks"],
                asked_at=asked_at,
                reclaims=reclaims,
                refusal=outcome if is_refused else None,
            )
        )
        if job and cancels:
            self._balancer.call_json("POST", f"/v1/jobs/{job}/cancel")

    def _submit_with_retries(self, spec: dict[str, Any]) -> Any:
        # The key makes a submission idempotent, so it is safe to send it
        # again after an unknown outcome as well.
        outcome: Any = None
        for _ in range(MAX_TRIES):
            outcome = self._balancer.call_json(
                "POST", "/v1/jobs", spec, timeout_s=JOB_CALL_TIMEOUT_S
            )
            if not errors.is_refusal(outcome):
                return outcome
            answer = error_responses.ERROR_RESPONSES[outcome.kind]
            is_unknown = answer.ran is error_responses.Ran.UNKNOWN
            if not answer.may_retry and not is_unknown:
                return outcome
            gevent.sleep(RETRY_DELAY_S)
        return outcome

    def _send_random_request(self) -> None:
        is_unmeetable = self._random.random() < UNMEETABLE_DEADLINE_SHARE
        self.send(
            body={
                "work_ms": self._random.uniform(5, 60),
                "answer_bytes": self._random.choice((100, 1_000, 20_000)),
            },
            once=self._random.random() < NON_IDEMPOTENT_SHARE,
            deadline_s=UNMEETABLE_DEADLINE_S
            if is_unmeetable
            else REQUEST_DEADLINE_S,
        )

    def _send_with_retries(
        self, entry: str, path: str, headers: dict[str, str], body: bytes
    ) -> None:
        started_at = systems.get_unix_time()
        tries = 0
        outcome, kind = "not_run", ""
        while tries < MAX_TRIES:
            tries += 1
            outcome, kind, may_retry = self._send_once(
                entry, path, headers, body
            )
            if not may_retry:
                break
            gevent.sleep(RETRY_DELAY_S)
        seconds = systems.get_unix_time() - started_at
        key = headers["X-Request-Key"]
        self.requests.append(RequestCall(key, tries, outcome, kind, seconds))

    def _send_once(
        self, entry: str, path: str, headers: dict[str, str], body: bytes
    ) -> tuple[str, str, bool]:
        sent_at = systems.get_unix_time()
        options = {
            "body": body,
            "headers": headers,
            "timeout_s": REQUEST_DEADLINE_S + 1.0,
        }
        if entry:
            routed = self._balancer.call_entry(entry, "POST", path, **options)
        else:
            routed = self._balancer.call("POST", path, **options)
        reply = routed.outcome
        key = headers["X-Request-Key"]
        outcome, kind, may_retry = classify_reply(reply, key)
        is_answered = not errors.is_refusal(reply) and reply.status == 200
        is_cut_off = outcome == "unknown" and errors.is_refusal(reply)
        self.tries.append(
            evidence.Call(
                key=key,
                entry=routed.entry,
                sent_at=sent_at,
                ended_at=systems.get_unix_time(),
                outcome="answered"
                if is_answered
                else "cut"
                if is_cut_off
                else outcome,
                digest=identifiers.digest(reply.body) if is_answered else "",
                idempotent=headers["X-Idempotent"] == "true",
            )
        )
        return outcome, kind, may_retry


def classify_reply(
    reply: http.Reply | errors.Refusal, key: str
) -> tuple[str, str, bool]:
    """Classify the reply to the request `key`.

    Returns:
        The outcome as in `RequestCall`, the error kind (empty for none), and
        whether the caller may send the request again.
    """
    if errors.is_refusal(reply):
        answer = error_responses.ERROR_RESPONSES[reply.kind]
        ran = answer.ran is not error_responses.Ran.NOT_RUN
        return (
            "unknown" if ran else "not_run",
            reply.kind.value,
            answer.may_retry,
        )
    value = reply.decode()
    if reply.status == 200:
        is_own = isinstance(value, dict) and value.get("key") == key
        return "answered" if is_own else "wrong", "", False
    if errors.is_refusal(value) or "ran" not in value:
        return "unknown", f"status_{reply.status}", False
    outcome = "not_run" if value["ran"] == "no" else "unknown"
    return outcome, value["error"], value["may_retry"]
