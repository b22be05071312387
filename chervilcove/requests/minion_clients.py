"""HTTP client of one minion: tries of requests and health requests."""

import time

from chervilcove.core import error_responses
from chervilcove.core import errors
from chervilcove.core import http
from chervilcove.core import identifiers
from chervilcove.requests import conf
from chervilcove.requests import core
from chervilcove.requests import headers

_SERVER_ERROR = 500
_UNAVAILABLE = 503
_PATH = "/v1/requests"
_HEALTH_PATH = "/v1/health"


class MinionClient:
    """Send requests to one minion, each once.

    An answer is accepted only if it is complete and belongs to this try: it
    echoes the identifier of the try and its content digest matches. The
    connection of any other answer is closed.

    Args:
        entry: Name of this entry.
        name: Name of the minion.
        address: "IP:port" of the minion.
        connections: Maximum number of connections for requests.
        limits: Timeouts.
    """

    def __init__(
        self,
        *,
        entry: str,
        name: str,
        address: str,
        connections: int,
        limits: conf.Limits,
    ):
        self._entry = entry
        self._name = name
        self._limits = limits
        self._http = _create_http_peer(address, connections, limits)

    def close(self) -> None:
        """Close all idle connections permanently."""
        self._http.close()

    def drop_idle(self) -> None:
        """Close all idle connections; later tries open new ones."""
        self._http.drop_idle()

    def send(
        self, request: core.Request, *, now: float, timeout_s: float
    ) -> core.Outcome:
        """Send `request` once and return the outcome.

        Args:
            request: The request.
            now: Monotonic time, in seconds.
            timeout_s: Timeout of the try, in seconds.
        """
        request_id = identifiers.create_id("try")
        time_left_ms = max(1, int((request.deadline - now) * 1000))
        fields = {
            headers.REQUEST_ID: request_id,
            headers.ENTRY: self._entry,
            headers.CUSTOMER: request.customer,
            headers.SERVICE: request.service,
            headers.REQUEST_KEY: request.key,
            headers.URGENCY: request.urgency.value,
            headers.DEADLINE_MS: str(time_left_ms),
            "Content-Type": request.content_type,
        }
        started = time.perf_counter()
        reply = self._http.call(
            "POST",
            _PATH,
            body=request.body,
            headers=fields,
            timeout_s=timeout_s,
            accept=lambda answer: check_reply(answer, request_id=request_id),
        )
        elapsed_s = time.perf_counter() - started
        return classify_reply(reply, minion=self._name, elapsed_s=elapsed_s)


class HealthProbe:
    """Client of a minion's health path, over one kept connection."""

    def __init__(self, *, address: str, limits: conf.Limits):
        self._timeout_s = limits.heartbeat_timeout_s
        self._http = _create_http_peer(
            address, 1, limits._replace(max_idle_s=4 * limits.heartbeat_s)
        )

    def send(self) -> core.MinionStatus | errors.Refusal:
        """Send a health request and return the reported status."""
        request_id = identifiers.create_id("probe")
        reply = self._http.call(
            "GET",
            _HEALTH_PATH,
            headers={headers.REQUEST_ID: request_id},
            timeout_s=self._timeout_s,
            accept=lambda answer: check_reply(answer, request_id=request_id),
        )
        if errors.is_refusal(reply):
            return reply
        status = headers.read_minion_status(reply.headers)
        if status is None:
            return errors.refuse(
                errors.Kind.BAD_ANSWER,
                "health answer has no valid load or incarnation",
            )
        return status

    def close(self) -> None:
        """Close the connection permanently."""
        self._http.close()


def check_reply(reply: http.Reply, *, request_id: str) -> errors.Refusal | None:
    """Return why `reply` is no complete answer to try `request_id`, or None."""
    if reply.headers.get(headers.REQUEST_ID.lower()) != request_id:
        return errors.refuse(
            errors.Kind.BAD_ANSWER,
            "answer is for another request",
            fault="crossed",
        )
    known = reply.headers.get(headers.CONTENT_DIGEST.lower())
    if known != identifiers.digest(reply.body):
        return errors.refuse(
            errors.Kind.BAD_ANSWER,
            "content digest does not match",
            fault="digest",
        )
    return None


def classify_reply(
    reply: http.Reply | errors.Refusal, *, minion: str, elapsed_s: float
) -> core.Outcome:
    """Return the outcome of a try and whether it may have had an effect."""
    if errors.is_refusal(reply):
        ran = error_responses.ERROR_RESPONSES[reply.kind].ran
        reason = reply.detail.get("fault", reply.kind.value)
        return core.Outcome(reply, ran, reason, None, elapsed_s)
    status = headers.read_minion_status(reply.headers)
    if _is_not_run(reply):
        refusal = _build_not_run_refusal(reply)
        reason = refusal.detail["said"]
        return core.Outcome(
            refusal, error_responses.Ran.NOT_RUN, reason, status, elapsed_s
        )
    response = core.Response(
        status=reply.status,
        body=reply.body,
        content_type=reply.headers.get("content-type", ""),
        minion=minion,
    )
    reason = "failed" if reply.status >= _SERVER_ERROR else ""
    return core.Outcome(
        response, error_responses.Ran.RAN, reason, status, elapsed_s
    )


def _is_not_run(reply: http.Reply) -> bool:
    ran = reply.headers.get(headers.RAN.lower())
    return reply.status == _UNAVAILABLE and ran == "no"


def _build_not_run_refusal(reply: http.Reply) -> errors.Refusal:
    value = reply.decode()
    error = value.get("error") if isinstance(value, dict) else None
    error = error if error in ("busy", "draining") else "refused"
    return errors.refuse(
        errors.Kind.PEER_REFUSED, f"the minion is {error}", said=error
    )


def _create_http_peer(
    address: str, connections: int, limits: conf.Limits
) -> http.HttpPeer:
    host, _, port = address.rpartition(":")
    return http.HttpPeer(
        host=host,
        port=int(port),
        connections=connections,
        connect_timeout_s=limits.connect_timeout_s,
        max_idle_s=limits.max_idle_s,
    )
