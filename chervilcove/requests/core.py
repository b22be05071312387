"""Types of the request plane and the interface to the claims."""

import abc
from typing import NamedTuple

from chervilcove.core import answers
from chervilcove.core import errors
from chervilcove.scheduling import core as scheduling


class Request(NamedTuple):
    """Hold one request of a caller.

    Attributes:
        customer: Customer that sends it.
        service: Service that is to execute it.
        key: The caller's idempotency key; may be empty if idempotent.
        is_idempotent: Whether a second execution does no harm.
        urgency: Class of work.
        deadline: Monotonic seconds by which the answer must be there.
        body: Opaque content.
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
    """Hold the whole answer of a minion.

    Attributes:
        status: HTTP status code.
        body: Opaque content.
        content_type: Media type of `body`.
        minion: Name of the minion that executed the request.
        is_replayed: Whether it is the kept answer to an earlier request.
    """

    status: int
    body: bytes
    content_type: str
    minion: str
    is_replayed: bool = False


class Word(NamedTuple):
    """Hold what a minion says about itself with each answer.

    Attributes:
        is_leaving: Whether it takes no new work.
        busy: Slots in use.
        slots: All slots.
        incarnation: Number that grows with each start.
    """

    is_leaving: bool
    busy: int
    slots: int
    incarnation: int


class Outcome(NamedTuple):
    """Hold how one try ended.

    Attributes:
        result: The whole answer, or the reason why there is none.
        ran: Whether the try may have had an effect.
        reason: Name of the failure in metrics, empty for an answer.
        word: What the minion said, if it said anything.
        elapsed_s: Duration of the try, in seconds.
    """

    result: Response | errors.Refusal
    ran: answers.Ran
    reason: str
    minion_status: Word | None
    elapsed_s: float


class Instance(NamedTuple):
    """Describe one row of the platform's lagging list of instances.

    Attributes:
        name: Name of the instance.
        is_leaving: Whether the list calls it leaving.
        incarnation: The incarnation that the row is about, 0 if not known.
    """

    name: str
    is_leaving: bool
    incarnation: int = 0


class Claim(NamedTuple):
    """Hold the right to dispatch one non-idempotent request once.

    Attributes:
        customer: Customer that claimed.
        service: Service that the request is for.
        key: The caller's idempotency key.
        content_digest: Digest of the request's content.
        owner: Identifier of this very claim, unique for ever.
    """

    customer: str
    service: str
    key: str
    content_digest: str
    owner: str


class ClaimStore(abc.ABC):
    """Agree with all other entries on who dispatches a key, at most once."""

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

        Blocks for at most about `timeout_s`. A claim whose outcome is not
        known by then must never be handed out later.

        Returns:
            The claim; or the kept answer if the key ran before; or a
            refusal: `DUPLICATE_KEY` where the content differs,
            `ALREADY_CLAIMED` where the first request has no kept answer,
            `OUTCOME_UNKNOWN` where that ended without one,
            `LOG_UNAVAILABLE` or `STATE_BEHIND` where nothing is agreed.
        """

    @abc.abstractmethod
    def release(
        self, claim: Claim, *, timeout_s: float
    ) -> errors.Refusal | None:
        """Give `claim` back: its request was certainly not executed.

        Blocks for at most about `timeout_s`; a refusal leaves the key
        claimed, which is safe but refuses the caller's next try.
        """

    @abc.abstractmethod
    def finish(self, claim: Claim, result: Response | errors.Refusal) -> None:
        """Keep how the request of `claim` ended, without blocking.

        `result` is the answer, or a refusal where the outcome is unknown.
        """
