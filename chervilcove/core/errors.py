"""Error kinds, a closed list, and the value that carries one.

Functions don't raise for an expected failure. They return a `Refusal`, which
the caller detects with `is_refusal`.
"""

import enum
from typing import Any
from typing import NamedTuple


class Kind(enum.StrEnum):
    """All ways in which work can be refused or can fail."""

    MALFORMED = "malformed"
    TOO_LARGE = "too_large"
    NOT_FOUND = "not_found"
    INVALID_VALUE = "invalid_value"
    UNKNOWN_CUSTOMER = "unknown_customer"
    UNKNOWN_TEAM = "unknown_team"
    UNKNOWN_NAME = "unknown_name"
    UNKNOWN_JOB = "unknown_job"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_KEY = "unknown_key"
    GONE = "gone"
    UNCONFIGURED = "unconfigured"
    KEY_REQUIRED = "key_required"
    DUPLICATE_KEY = "duplicate_key"
    ALREADY_CLAIMED = "already_claimed"
    IMPOSSIBLE_SHAPE = "impossible_shape"
    INFEASIBLE_GUARANTEE = "infeasible_guarantee"
    STALE_REVISION = "stale_revision"
    QUOTA_EXCEEDED = "quota_exceeded"
    RATE_EXCEEDED = "rate_exceeded"
    EXCEEDS_MAXIMUM = "exceeds_maximum"
    QUEUE_FULL = "queue_full"
    DEADLINE_TOO_SHORT = "deadline_too_short"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_MINION = "no_minion"
    RETRY_BUDGET_SPENT = "retry_budget_spent"
    LOG_UNAVAILABLE = "log_unavailable"
    STATE_BEHIND = "state_behind"
    DRAINING = "draining"
    CONNECT_FAILED = "connect_failed"
    PEER_REFUSED = "peer_refused"
    OUTCOME_UNKNOWN = "outcome_unknown"
    BAD_ANSWER = "bad_answer"
    FENCED = "fenced"
    BUSY = "busy"
    CANCELLED = "cancelled"
    JOB_FAILED = "job_failed"
    INTERNAL = "internal"


class Refusal(NamedTuple):
    """Result of work that was refused or that failed.

    Attributes:
        kind: Error kind.
        reason: Explanation for people, one sentence.
        detail: Values for programs, JSON-compatible.
    """

    kind: Kind
    reason: str
    detail: dict[str, Any] = {}  # noqa: RUF012


def refuse(kind: Kind, reason: str, **detail: Any) -> Refusal:
    """Return a refusal of `kind` with the keyword arguments as its detail."""
    return Refusal(kind=kind, reason=reason, detail=detail)


def is_refusal(value: object) -> bool:
    """Return whether `value` is a refusal rather than a result."""
    return isinstance(value, Refusal)
