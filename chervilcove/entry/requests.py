"""HTTP interface for requests to minions."""

import time
from typing import Any

from chervilcove.core import errors
from chervilcove.core import web
from chervilcove.journal import replica as replicas
from chervilcove.requests import core
from chervilcove.requests import headers
from chervilcove.requests import router as routers


class RequestHandlers:
    """Handle HTTP requests for services.

    Args:
        router: Router that forwards requests to minions.
        replica: Replica that holds the configured customers.
    """

    def __init__(self, *, router: routers.Router, replica: replicas.Replica):
        self._router = router
        self._replica = replica

    def add_routes(self, server: web.WebServer) -> None:
        """Register the routes on `server`."""
        server.add_route(
            "POST", "/v1/services/{service}/requests", self._handle
        )

    def _handle(self, request: web.WebRequest) -> Any:
        request_headers = {
            **request.headers,
            headers.SERVICE.lower(): request.parts["service"],
        }
        parsed = headers.read_request(
            request_headers,
            request.body,
            limits=self._router.limits,
            now=time.monotonic(),
        )
        if errors.is_refusal(parsed):
            return parsed
        configuration = self._replica.state.core["configuration"]
        if parsed.customer not in configuration["customers"]:
            return errors.refuse(
                errors.Kind.UNKNOWN_CUSTOMER, f"no customer {parsed.customer!r}"
            )
        result = self._router.handle(parsed)
        return result if errors.is_refusal(result) else build_response(result)


def build_response(response: core.Response) -> web.WebResponse:
    """Return the HTTP response to the caller for a minion's response."""
    response_headers = [("X-Minion", response.minion)]
    if response.is_replayed:
        response_headers.append((headers.REPLAYED, "true"))
    return web.WebResponse(
        status=response.status,
        body=response.body,
        content_type=response.content_type or "application/octet-stream",
        headers=tuple(response_headers),
    )
