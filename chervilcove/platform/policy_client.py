"""HTTP client of the placement policy service."""

from typing import Annotated

import msgspec

from chervilcove.control import interfaces
from chervilcove.core import errors
from chervilcove.core import http
from chervilcove.core import traffic as traffic_values
from chervilcove.platform import fields
from chervilcove.platform import store

CONNECTIONS = 1  # the service handles one call at a time per machine
CONNECT_TIMEOUT_S = 0.6  # the network latency is milliseconds


class _PolicyResponse(msgspec.Struct):
    """Response of the service.

    Attributes:
        granted: Pairs of a minion's id and its ticket.
        valid_ms: Milliseconds for which the tickets are valid.
    """

    granted: list[tuple[str, str]]
    valid_ms: Annotated[float, msgspec.Meta(ge=0, le=fields.MAX_INTEGER)]


class PolicyClient(interfaces.PlacementPolicy):
    """Request tickets from the placement policy service.

    Args:
        address: Address of the service.
        traffic: Counts the bytes of the calls, None for nothing.
    """

    def __init__(
        self,
        *,
        address: store.Address,
        traffic: traffic_values.Traffic | None = None,
    ):
        self._peer = http.HttpPeer(
            host=address.host,
            port=address.port,
            connections=CONNECTIONS,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            traffic=traffic,
        )

    def request_grants(
        self, step: str, workers: list[str], *, timeout_s: float
    ) -> interfaces.PolicyGrants | errors.Refusal:
        """Return tickets for those of `workers` that may run `step`."""
        reply = self._peer.call(
            "POST",
            "/advise",
            body=msgspec.json.encode({"step": step, "workers": workers}),
            headers={"Content-Type": "application/json"},
            timeout_s=timeout_s,
            name="policy",
        )
        if errors.is_refusal(reply):
            self._peer.drop_idle()
            return reply
        if reply.status != 200:
            return errors.refuse(
                errors.Kind.BUSY,
                f"policy service answered status {reply.status}",
            )
        return parse_response(reply.body)


def parse_response(body: bytes) -> interfaces.PolicyGrants | errors.Refusal:
    """Return the grants that `body` encodes as JSON, or a refusal."""
    answer = store.decode(body, _PolicyResponse)
    if errors.is_refusal(answer):
        return answer
    return interfaces.PolicyGrants(dict(answer.granted), answer.valid_ms / 1000)
