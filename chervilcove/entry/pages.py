"""HTTP interface for operators: health, readiness, status and status page."""

from collections.abc import Callable
from importlib import resources
from typing import Any

from chervilcove.core import errors
from chervilcove.core import web


class PageHandlers:
    """Handle HTTP requests of operators and of the load balancer.

    Args:
        show_status: Returns the status as a JSON-compatible value.
        check_ready: Returns a refusal while the entry isn't ready, else None.
    """

    def __init__(
        self,
        *,
        show_status: Callable[[], dict[str, Any]],
        check_ready: Callable[[], errors.Refusal | None],
    ):
        self._show_status = show_status
        self._check_ready = check_ready
        self._page = (
            resources.files("chervilcove.entry")
            .joinpath("status.html")
            .read_bytes()
        )

    def add_routes(self, server: web.WebServer) -> None:
        """Register the routes on `server`."""
        server.add_route("GET", "/healthz", self._answer_health)
        server.add_route("GET", "/readyz", self._answer_ready)
        server.add_route("GET", "/v1/status", self._answer_status)
        server.add_route("GET", "/status", self._answer_page)

    def _answer_health(self, request: web.WebRequest) -> Any:
        return {"alive": True}

    def _answer_ready(self, request: web.WebRequest) -> Any:
        refusal = self._check_ready()
        if refusal is not None:
            return refusal
        return {"ready": True}

    def _answer_status(self, request: web.WebRequest) -> Any:
        return self._show_status()

    def _answer_page(self, request: web.WebRequest) -> Any:
        return web.WebResponse(
            200, self._page, content_type="text/html; charset=utf-8"
        )
