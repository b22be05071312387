"""Calls to the service that knows the policies of queues."""

import msgspec

from chervilcove.control import interfaces
from chervilcove.core import errors
from chervilcove.core import http
from chervilcove.platform import store

CONNECTIONS = 1  # it handles one call at a time for each machine
CONNECT_TIMEOUT_S = 0.6  # links take milliseconds


class _Advice(msgspec.Struct):
    """Decode an answer; rows of `granted` are a minion's id and a ticket."""

    granted: list[tuple[str, str]]
    valid_ms: float


class Adviser(interfaces.PlacementPolicy):
    """Call the service.

    Args:
        address: Its address.
    """

    def __init__(self, *, address: store.Address):
        self._peer = http.HttpPeer(
            host=address.host,
            port=address.port,
            connections=CONNECTIONS,
            connect_timeout_s=CONNECT_TIMEOUT_S,
        )

    def request_grants(
        self, step: str, workers: list[str], *, timeout_s: float
    ) -> interfaces.PolicyGrants | errors.Refusal:
        """Return which of `workers` may run `step`."""
        reply = self._peer.call(
            "POST",
            "/advise",
            body=msgspec.json.encode({"step": step, "workers": workers}),
            headers={"Content-Type": "application/json"},
            timeout_s=timeout_s,
        )
        if errors.is_refusal(reply):
            self._peer.drop_idle()
            return reply
        if reply.status != 200:
            return errors.refuse(errors.Kind.BUSY, f"status {reply.status}")
        answer = store.decode(reply.body, _Advice)
        if errors.is_refusal(answer):
            return answer
        return interfaces.PolicyGrants(
            dict(answer.granted), answer.valid_ms / 1000
        )
