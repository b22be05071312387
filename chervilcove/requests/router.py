"""Router of requests to minions.

The entry's HTTP handlers call `Router.handle`, each in its own greenlet.
Claims, which are agreed with the other entries, are handled there; the
dispatcher handles queues, tries and retries.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

from gevent import event

from chervilcove.core import clock as clocks
from chervilcove.core import error_responses
from chervilcove.core import errors
from chervilcove.core import identifiers
from chervilcove.core import metrics as metric_sinks
from chervilcove.customers import schema as customers
from chervilcove.requests import admission
from chervilcove.requests import conf
from chervilcove.requests import core
from chervilcove.requests import dispatching
from chervilcove.requests import lifecycle
from chervilcove.requests import messages
from chervilcove.requests import services

RESULT_GRACE_S = 2.0
DESCRIBE_TIMEOUT_S = 1.0

_Result = core.Response | errors.Refusal


class Router:
    """Route requests to minions within shares, budgets and deadlines.

    Args:
        entry: Name of this entry, unique among all entries.
        data_centre: Data centre of this entry.
        claims: Store of the claims of non-idempotent requests.
        metrics: Counters of refusals and retries by reason.
        clock: Source of monotonic time.
        limits: Limits of request routing.
    """

    def __init__(
        self,
        *,
        entry: str,
        data_centre: str,
        claims: core.ClaimStore,
        metrics: metric_sinks.Metrics,
        clock: clocks.Clock | None = None,
        limits: conf.Limits | None = None,
    ):
        self._claims = claims
        self._metrics = metrics
        self._clock = clock or clocks.SystemClock()
        self.limits = limits or conf.Limits()
        self._admission = admission.AdmissionLimiter(limit=self.limits.inside)
        self._claim_admission = admission.AdmissionLimiter(
            limit=self.limits.claiming
        )
        self._dispatcher = dispatching.Dispatcher(
            entry=entry,
            data_centre=data_centre,
            metrics=metrics,
            clock=self._clock,
            limits=self.limits,
        )

    def start(self) -> None:
        """Start the dispatcher."""
        self._dispatcher.start()

    def stop(self, *, timeout_s: float = 1.0) -> None:
        """Stop the dispatcher; call `drain` first for a planned stop."""
        self._dispatcher.stop(timeout_s=timeout_s)

    def kill(self) -> None:
        """Stop at once without a drain, as if the process was killed."""
        self._dispatcher.kill_tries()
        self._dispatcher.stop(timeout_s=0.0)

    @property
    def open_request_count(self) -> int:
        """Return the number of requests without a result yet."""
        return self._admission.admitted_count

    def handle(self, request: core.Request) -> _Result:
        """Route `request` and block until its result is known.

        Returns:
            The complete answer of a minion, or a refusal whose kind says
            whether the request was executed (see
            `error_responses.ERROR_RESPONSES`).
        """
        started = self._clock.read()
        self._metrics.count("requests.taken")
        result = self._admission.acquire()
        if result is None:
            try:
                result = self._route(request)
            finally:
                self._admission.release()
        self._count_result(result)
        self._metrics.record_time("requests.time", self._clock.read() - started)
        return result

    def set_minions(
        self, service: str, minions: Iterable[customers.Minion]
    ) -> None:
        """Replace the minions of `service`."""
        self._dispatcher.post_or_log(
            messages.SetMinions(service, tuple(minions))
        )

    def set_services(self, services: Mapping[str, customers.Service]) -> None:
        """Replace all services with those of the configuration."""
        minions = {
            name: tuple(service["minions"])
            for name, service in services.items()
        }
        self._dispatcher.post_or_log(messages.SetServices(minions))

    def set_instances(self, instances: Iterable[core.Instance]) -> None:
        """Replace the rows of the platform's instance list."""
        self._dispatcher.post_or_log(messages.SetInstances(tuple(instances)))

    def set_entries(self, names: Iterable[str]) -> None:
        """Replace the entries that share the minions' slots."""
        self._dispatcher.post_or_log(messages.SetEntries(tuple(names)))

    def describe(self) -> dict[str, Any]:
        """Return services, queues and minions as a JSON compatible value."""
        reply = event.AsyncResult()
        self._dispatcher.post_or_log(messages.Describe(reply))
        reply.wait(timeout=DESCRIBE_TIMEOUT_S)
        return {
            "inside": self._admission.admitted_count,
            "services": reply.value or {},
        }

    def drain(self, *, timeout_s: float) -> bool:
        """Refuse new requests and wait for the admitted ones.

        Returns:
            Whether all of them ended within `timeout_s`, in seconds.
        """
        self._admission.close()
        return self._admission.wait_until_empty(timeout_s=timeout_s)

    def _route(self, request: core.Request) -> _Result:
        if request.is_idempotent:
            return self._submit(request)
        refusal = self._check_admission(request)
        if refusal is not None:
            return refusal
        claim = self._claim(request)
        if isinstance(claim, core.Response):
            return claim._replace(is_replayed=True)
        if errors.is_refusal(claim):
            return claim
        return self._submit_claimed(request, claim)

    def _claim(
        self, request: core.Request
    ) -> core.Claim | core.Response | errors.Refusal:
        """Claim the request's key.

        Requests waiting for claims have a limit of their own, so that a slow
        log does not block requests that need no claim.
        """
        refusal = self._claim_admission.acquire()
        if refusal is not None:
            return refusal
        try:
            return self._claims.claim(
                customer=request.customer,
                service=request.service,
                key=request.key,
                content_digest=identifiers.digest(request.body),
                timeout_s=request.deadline - self._clock.read(),
            )
        finally:
            self._claim_admission.release()

    def _submit_claimed(
        self, request: core.Request, claim: core.Claim
    ) -> _Result:
        if request.deadline <= self._clock.read():
            result: _Result = services.refuse_expired()
        else:
            result = self._submit(request)
        if _is_not_run(result):
            refusal = self._claims.release(
                claim, timeout_s=self.limits.release_timeout_s
            )
            if refusal is not None:
                self._metrics.count("requests.release_failed")
        else:
            self._claims.finish(claim, result)
        return result

    def _submit(self, request: core.Request) -> _Result:
        pending = lifecycle.PendingRequest(request=request)
        if not self._dispatcher.post(messages.Submit(pending)):
            return errors.refuse(
                errors.Kind.QUEUE_FULL, "dispatcher inbox is full"
            )
        time_left_s = max(0.0, request.deadline - self._clock.read())
        return pending.wait(timeout_s=time_left_s + RESULT_GRACE_S)

    def _check_admission(self, request: core.Request) -> errors.Refusal | None:
        reply = event.AsyncResult()
        if not self._dispatcher.post(messages.CheckAdmission(request, reply)):
            return errors.refuse(
                errors.Kind.QUEUE_FULL, "dispatcher inbox is full"
            )
        if not reply.wait(timeout=RESULT_GRACE_S) and not reply.ready():
            return errors.refuse(errors.Kind.BUSY, "dispatcher did not reply")
        return reply.value

    def _count_result(self, result: _Result) -> None:
        if errors.is_refusal(result):
            self._metrics.count(f"requests.refused.{result.kind.value}")
        elif result.is_replayed:
            self._metrics.count("requests.replayed")
        else:
            self._metrics.count("requests.answered")


def _is_not_run(result: _Result) -> bool:
    if not errors.is_refusal(result):
        return False
    return (
        error_responses.ERROR_RESPONSES[result.kind].ran
        is error_responses.Ran.NOT_RUN
    )
