"""HTTP route of operators that explains a job which was not sent."""

from typing import Any

import msgspec

from chervilcove.control import job_explainer
from chervilcove.core import errors
from chervilcove.core import web
from chervilcove.platform import callers
from chervilcove.platform import store


class _Question(msgspec.Struct, forbid_unknown_fields=True):
    """JSON format of a job as it would be sent.

    Attributes:
        queue: Name of the queue.
        body: Body as a caller would send it.
        customer: Name of the customer; empty for none, on a public queue.
    """

    queue: str
    body: msgspec.Raw
    customer: str = ""


class ExplainRoute:
    """Route of operators to the explanation of jobs.

    Args:
        explainer: Explains jobs.
    """

    def __init__(self, *, explainer: job_explainer.JobExplainer):
        self._explainer = explainer

    def add_to(self, server: web.WebServer) -> None:
        """Add the route to the port of operators."""
        server.add_route("POST", "/v1/explain", self._explain)

    def _explain(self, request: web.WebRequest) -> Any:
        question = store.decode(request.body, _Question)
        if errors.is_refusal(question):
            return question._replace(kind=errors.Kind.MALFORMED)
        body = bytes(question.body)
        return self._explainer.explain(
            queue=question.queue,
            customer=question.customer,
            size=len(body),
            parse=lambda: callers.parse_job(body),
        )
