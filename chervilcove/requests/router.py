"""The router: takes requests, has them sent to minions, returns the answers.

Handlers of the entry call `Router.handle`, each in its own greenlet. What
must be agreed with the other entries (claims) is done there; queues, tries
and retries belong to the dispatcher.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

from gevent import event

from chervilcove.core import answers
from chervilcove.core import clock as clocks
from chervilcove.core import errors
from chervilcove.core import identifiers
from chervilcove.core import metrics as metric_sinks
from chervilcove.customers import schema as customers
from chervilcove.requests import conf
from chervilcove.requests import core
from chervilcove.requests import dispatching
from chervilcove.requests import flights
from chervilcove.requests import gates
from chervilcove.requests import lanes
from chervilcove.requests import messages

RESULT_GRACE_S = 2.0
DESCRIBE_TIMEOUT_S = 1.0

_Result = core.Response | errors.Refusal


class Router:
    """Route requests to minions within shares, budgets and deadlines.

    Args:
        entry: Name of this entry, unique among all.
        data_centre: Data centre of this entry.
        claims: Agrees with the other entries on non-idempotent requests.
        metrics: Counters of every refusal and retry reason.
        clock: Source of time.
        limits: Bounds.
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
        self._gate = gates.Gate(limit=self.limits.inside)
        self._claiming = gates.Gate(limit=self.limits.claiming)
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
        """End the dispatcher; call `drain` first for a planned stop."""
        self._dispatcher.stop(timeout_s=timeout_s)

    def kill(self) -> None:
        """End at once, as the end of the process would."""
        self._dispatcher.kill_tries()
        self._dispatcher.stop(timeout_s=0.0)

    @property
    def open_request_count(self) -> int:
        """Return how many requests are inside."""
        return self._gate.inside

    def handle(self, request: core.Request) -> _Result:
        """Route `request`; block until its result is known.

        Returns:
            The whole answer of a minion, or a refusal whose kind says
            whether the request ran (see `answers.ANSWERS`).
        """
        started = self._clock.read()
        self._metrics.count("requests.taken")
        result = self._gate.enter()
        if result is None:
            try:
                result = self._handle_inside(request)
            finally:
                self._gate.leave()
        self._count_result(result)
        self._metrics.record_time("requests.time", self._clock.read() - started)
        return result

    def set_minions(
        self, service: str, minions: Iterable[customers.Minion]
    ) -> None:
        """Replace the minions of `service`."""
        self._dispatcher.post_always(
            messages.SetMinions(service, tuple(minions))
        )

    def set_services(self, services: Mapping[str, customers.Service]) -> None:
        """Replace all services by those of the configuration."""
        minions = {
            name: tuple(service["minions"])
            for name, service in services.items()
        }
        self._dispatcher.post_always(messages.SetServices(minions))

    def set_instances(self, instances: Iterable[core.Instance]) -> None:
        """Take in the platform's lagging list of instances."""
        self._dispatcher.post_always(messages.SetInstances(tuple(instances)))

    def set_entries(self, names: Iterable[str]) -> None:
        """Replace the entries that share the minions' slots."""
        self._dispatcher.post_always(messages.SetEntries(tuple(names)))

    def describe(self) -> dict[str, Any]:
        """Return services, queues and minions as a JSON compatible value."""
        reply = event.AsyncResult()
        self._dispatcher.post_always(messages.Describe(reply))
        reply.wait(timeout=DESCRIBE_TIMEOUT_S)
        return {"inside": self._gate.inside, "services": reply.value or {}}

    def drain(self, *, timeout_s: float) -> bool:
        """Refuse new requests and wait for those inside.

        Returns:
            Whether all of them ended within `timeout_s`.
        """
        self._gate.close()
        return self._gate.wait_empty(timeout_s=timeout_s)

    def _handle_inside(self, request: core.Request) -> _Result:
        if request.is_idempotent:
            return self._fly(request)
        refusal = self._ask_check(request)
        if refusal is not None:
            return refusal
        claim = self._claim(request)
        if isinstance(claim, core.Response):
            return claim._replace(is_replayed=True)
        if errors.is_refusal(claim):
            return claim
        return self._fly_once(request, claim)

    def _claim(
        self, request: core.Request
    ) -> core.Claim | core.Response | errors.Refusal:
        """Claim the request's key.

        Waits for a slow log are bounded on their own, so that they can't
        keep out the requests that need no claim.
        """
        refusal = self._claiming.enter()
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
            self._claiming.leave()

    def _fly_once(self, request: core.Request, claim: core.Claim) -> _Result:
        if request.deadline <= self._clock.read():
            result: _Result = lanes.refuse_expired()
        else:
            result = self._fly(request)
        if _is_not_run(result):
            refusal = self._claims.release(
                claim, timeout_s=self.limits.release_timeout_s
            )
            if refusal is not None:
                self._metrics.count("requests.release_failed")
        else:
            self._claims.finish(claim, result)
        return result

    def _fly(self, request: core.Request) -> _Result:
        flight = flights.Flight(request=request)
        if not self._dispatcher.post(messages.Submit(flight)):
            return errors.refuse(errors.Kind.QUEUE_FULL, "the inbox is full")
        time_left_s = max(0.0, request.deadline - self._clock.read())
        return flight.wait(timeout_s=time_left_s + RESULT_GRACE_S)

    def _ask_check(self, request: core.Request) -> errors.Refusal | None:
        reply = event.AsyncResult()
        if not self._dispatcher.post(messages.Check(request, reply)):
            return errors.refuse(errors.Kind.QUEUE_FULL, "the inbox is full")
        if not reply.wait(timeout=RESULT_GRACE_S) and not reply.ready():
            return errors.refuse(errors.Kind.BUSY, "the router is busy")
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
    return answers.ANSWERS[result.kind].ran is answers.Ran.NOT_RUN
