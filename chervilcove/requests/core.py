"""Types of request routing and the interface of the claim store."""

import abc
from typing import NamedTuple

from chervilcove.core import error_responses
from chervilcove.core import errors
from chervilcove.scheduling import core as scheduling


class Request(NamedTuple):
    """A request of a caller.

    Attributes:
        customer: Customer that sent it.
        service: Service that executes it.
        key: The caller's idempotency key; may be empty for an idempotent
            request.
        is_idempotent: Whether executing it more than once is harmless.
        urgency: Urgency class.
        deadline: Monotonic time by which the answer is due, in seconds.
        body: Content, not interpreted here.
        content_type: Media type of `body`.
    """

    customer: str
    service: str
    key: str
    is_idempotent: bool
    urgency: scheduling.Urgency
    deadline: float
    body: bytes
    content_type: str = "application/octet-stream"


class Response(NamedTuple):
    """The complete answer of a minion.

    Attributes:
        status: HTTP status code.
        body: Content, not interpreted here.
        content_type: Media type of `body`.
        minion: Name of the minion that executed the request.
        is_replayed: Whether it is the stored answer to an earlier request with
            the same key.
    """

    status: int
    body: bytes
    content_type: str
    minion: str
    is_replayed: bool = False


class MinionStatus(NamedTuple):
    """The status that a minion reports with each answer.

    Attributes:
        is_leaving: Whether it accepts no new work.
        busy: Slots in use.
        slots: Total slots.
        incarnation: Number that increases with each start.
    """

    is_leaving: bool
    busy: int
    slots: int
    incarnation: int


class Outcome(NamedTuple):
    """The outcome of one try.

    Attributes:
        result: The complete answer, or a refusal with the reason why there is
            none.
        ran: Whether the request was executed, as far as known.
        reason: Name of the failure in metrics, empty on success.
        minion_status: Status that the minion reported, None if it reported
            none.
        elapsed_s: Duration of the try, in seconds.
    """

    result: Response | errors.Refusal
    ran: error_responses.Ran
    reason: str
    minion_status: MinionStatus | None
    elapsed_s: float


class Instance(NamedTuple):
    """One row of the platform's instance list, which lags behind.

    Attributes:
        name: Name of the instance.
        is_leaving: Whether the list has it as leaving.
        incarnation: Incarnation that the row describes, 0 if unknown.
    """

    name: str
    is_leaving: bool
    incarnation: int = 0


class Claim(NamedTuple):
    """The right to dispatch one non-idempotent request once.

    Attributes:
        customer: Customer that sent the request.
        service: Service that executes the request.
        key: The caller's idempotency key.
        content_digest: Digest of the request's content.
        owner: Identifier of this claim, never reused.
    """

    customer: str
    service: str
    key: str
    content_digest: str
    owner: str


class ClaimStore(abc.ABC):
    """Ensure that only one entry dispatches a key, at most once."""

    @abc.abstractmethod
    def claim(
        self,
        *,
        customer: str,
        service: str,
        key: str,
        content_digest: str,
        timeout_s: float,
    ) -> Claim | Response | errors.Refusal:
        """Claim `key` of `customer` for this entry.

        Blocks for about `timeout_s` at most. A claim that is not confirmed
        by then must never be returned later.

        Returns:
            The claim, or the stored answer if the key was executed before, or
            a refusal: `DUPLICATE_KEY` if the content differs,
            `ALREADY_CLAIMED` if the first request has no stored answer,
            `OUTCOME_UNKNOWN` if the first request ended without an answer,
            `LOG_UNAVAILABLE` or `STATE_BEHIND` if the entries could not
            agree.
        """

    @abc.abstractmethod
    def release(
        self, claim: Claim, *, timeout_s: float
    ) -> errors.Refusal | None:
        """Release `claim` of a request that was certainly not executed.

        Blocks for about `timeout_s` at most. On a refusal the key stays
        claimed, which is safe, but the caller's next try is refused.
        """

    @abc.abstractmethod
    def finish(self, claim: Claim, result: Response | errors.Refusal) -> None:
        """Record the result of the request of `claim`, without blocking.

        `result` is the answer, or a refusal if the outcome is unknown.
        """
