"""HTTP response for each error kind, with advice for the caller.

`ran` says whether the work may have had an effect. `NOT_RUN` is used only if
no part of the request can have been acted on.
"""

import enum
from typing import Any
from typing import NamedTuple

from chervilcove.core import errors


class Ran(enum.StrEnum):
    """Whether refused or failed work had an effect."""

    NOT_RUN = "no"
    UNKNOWN = "unknown"
    RAN = "yes"


class ErrorResponse(NamedTuple):
    """HTTP response for one error kind.

    Attributes:
        status: HTTP status code.
        ran: Whether the work may have run.
        may_retry: Whether the caller may send the same request again.
        advice: What the caller should do; one sentence.
    """

    status: int
    ran: Ran
    may_retry: bool
    advice: str


_K = errors.Kind
_NO = Ran.NOT_RUN

ERROR_RESPONSES: dict[errors.Kind, ErrorResponse] = {
    _K.MALFORMED: ErrorResponse(
        400, _NO, False, "Correct the body and send it again."
    ),
    _K.TOO_LARGE: ErrorResponse(413, _NO, False, "Send a smaller body."),
    _K.NOT_FOUND: ErrorResponse(
        404, _NO, False, "Check the path and the method."
    ),
    _K.INVALID_VALUE: ErrorResponse(
        422, _NO, False, "Correct the named value."
    ),
    _K.UNKNOWN_CUSTOMER: ErrorResponse(
        404, _NO, False, "Use a configured customer."
    ),
    _K.UNKNOWN_TEAM: ErrorResponse(404, _NO, False, "Use a configured team."),
    _K.UNKNOWN_NAME: ErrorResponse(422, _NO, False, "Use a name that exists."),
    _K.UNKNOWN_JOB: ErrorResponse(404, _NO, False, "Check the job id."),
    _K.UNKNOWN_SERVICE: ErrorResponse(
        404, _NO, False, "Use a configured service."
    ),
    _K.UNKNOWN_KEY: ErrorResponse(
        401, _NO, False, "Use a key that is in force."
    ),
    _K.GONE: ErrorResponse(
        410, _NO, False, "Check the id; it is unknown or no longer kept."
    ),
    _K.UNCONFIGURED: ErrorResponse(
        503, _NO, True, "Wait until a configuration is in force."
    ),
    _K.KEY_REQUIRED: ErrorResponse(422, _NO, False, "Send an idempotency key."),
    _K.DUPLICATE_KEY: ErrorResponse(
        409, _NO, False, "Use a new key for different content."
    ),
    _K.ALREADY_CLAIMED: ErrorResponse(
        409, Ran.UNKNOWN, False, "Ask for the outcome of the first request."
    ),
    _K.IMPOSSIBLE_SHAPE: ErrorResponse(
        422,
        _NO,
        False,
        "Request a shape that fits an allowed worker, rack or data centre.",
    ),
    _K.INFEASIBLE_GUARANTEE: ErrorResponse(
        409, _NO, False, "Reduce the named guarantee or add workers."
    ),
    _K.STALE_REVISION: ErrorResponse(
        409,
        _NO,
        False,
        "Read the winning note and submit based on its revision.",
    ),
    _K.QUOTA_EXCEEDED: ErrorResponse(
        429, _NO, True, "Wait until jobs of the team have ended."
    ),
    _K.RATE_EXCEEDED: ErrorResponse(
        429, _NO, True, "Send the request again after `Retry-After`."
    ),
    _K.EXCEEDS_MAXIMUM: ErrorResponse(
        422,
        _NO,
        False,
        "Make the job or the named step smaller, or have the maximum raised.",
    ),
    _K.QUEUE_FULL: ErrorResponse(
        503, _NO, True, "Wait, then send the request again."
    ),
    _K.DEADLINE_TOO_SHORT: ErrorResponse(
        503, _NO, True, "Allow more time or send the request later."
    ),
    _K.DEADLINE_EXCEEDED: ErrorResponse(
        504, _NO, True, "Send the request again."
    ),
    _K.NO_MINION: ErrorResponse(
        503, _NO, True, "Wait until a minion is available."
    ),
    _K.RETRY_BUDGET_SPENT: ErrorResponse(
        503, _NO, True, "Wait, then send the request again."
    ),
    _K.LOG_UNAVAILABLE: ErrorResponse(
        503, _NO, True, "Wait until the log service is available."
    ),
    _K.STATE_BEHIND: ErrorResponse(
        503, _NO, True, "Send the request again, to any entry."
    ),
    _K.DRAINING: ErrorResponse(
        503, _NO, True, "Send the request again to another entry."
    ),
    _K.CONNECT_FAILED: ErrorResponse(503, _NO, True, "Send the request again."),
    _K.PEER_REFUSED: ErrorResponse(503, _NO, True, "Send the request again."),
    _K.OUTCOME_UNKNOWN: ErrorResponse(
        504,
        Ran.UNKNOWN,
        False,
        "Find out the outcome before sending the request again.",
    ),
    _K.BAD_ANSWER: ErrorResponse(
        502,
        Ran.UNKNOWN,
        False,
        "Find out the outcome before sending the request again.",
    ),
    _K.FENCED: ErrorResponse(409, _NO, False, "Give up this attempt."),
    _K.BUSY: ErrorResponse(
        503, _NO, True, "Wait, then send the request again."
    ),
    _K.CANCELLED: ErrorResponse(409, Ran.UNKNOWN, False, "Submit a new job."),
    _K.JOB_FAILED: ErrorResponse(422, Ran.RAN, False, "Read the job's reason."),
    _K.INTERNAL: ErrorResponse(
        500, Ran.UNKNOWN, False, "Report this to the operators."
    ),
}


def describe(refusal: errors.Refusal) -> dict[str, Any]:
    """Return the JSON-compatible body of the response for `refusal`."""
    answer = ERROR_RESPONSES[refusal.kind]
    return {
        "error": refusal.kind.value,
        "reason": refusal.reason,
        "detail": refusal.detail,
        "ran": answer.ran.value,
        "may_retry": answer.may_retry,
        "advice": answer.advice,
    }
