"""Lifecycle of one request in the router."""

from typing import Any

from gevent import event

from chervilcove.core import error_responses
from chervilcove.core import errors
from chervilcove.requests import core


class PendingRequest:
    """A request from admission until the caller gets a result.

    Attributes:
        request: The request of the caller.
        try_count: Number of tries, without those that a minion refused as
            busy.
        was_sent: Whether it was sent at least once.
        running_tries: Greenlets of unfinished tries, by minion name.
        failed_minions: Names of the minions that failed it.
        may_have_run: Whether a try without an answer may have run.
    """

    def __init__(self, *, request: core.Request):
        self.request = request
        self.try_count = 0
        self.was_sent = False
        self.running_tries: dict[str, Any] = {}
        self.failed_minions: set[str] = set()
        self.may_have_run = False
        self._result: event.AsyncResult = event.AsyncResult()

    @property
    def is_done(self) -> bool:
        """Return whether the result is set."""
        return self._result.ready()

    def set_result(self, result: core.Response | errors.Refusal) -> None:
        """Set the result for the caller unless one is set.

        A refusal that says "not run" becomes an unknown outcome if an earlier
        try may have run.
        """
        if self.is_done:
            return
        if errors.is_refusal(result) and self.may_have_run:
            result = _refuse_outcome_unknown(result)
        self._result.set(result)

    def wait(self, *, timeout_s: float) -> core.Response | errors.Refusal:
        """Return the result, an unknown outcome after `timeout_s`."""
        if self._result.wait(timeout=timeout_s) is None:
            self.set_result(
                errors.refuse(
                    errors.Kind.OUTCOME_UNKNOWN, "router returned no result"
                )
            )
        return self._result.get()


def _refuse_outcome_unknown(refusal: errors.Refusal) -> errors.Refusal:
    if (
        error_responses.ERROR_RESPONSES[refusal.kind].ran
        is not error_responses.Ran.NOT_RUN
    ):
        return refusal
    return errors.refuse(
        errors.Kind.OUTCOME_UNKNOWN,
        f"an earlier try may have run; last refusal: {refusal.reason}",
        last=refusal.kind.value,
    )
