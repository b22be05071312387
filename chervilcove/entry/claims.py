"""Claims of non-idempotent requests, replicated through the decision log."""

import itertools
import time

import gevent
from gevent import event
from gevent import pool

from chervilcove.core import errors
from chervilcove.core import frames
from chervilcove.core import metrics as metric_values
from chervilcove.journal import claims as journal_claims
from chervilcove.journal import machine
from chervilcove.journal import records
from chervilcove.journal import replica as replicas
from chervilcove.journal import state as states
from chervilcove.requests import core

MAX_STORED_RESPONSE_BYTES = 1024
MAX_PENDING_ENDS = 2_000
END_TIMEOUT_S = 900.0
END_POLL_INTERVAL_S = 1.0
RETRY_INTERVAL_S = 0.2
MAX_CATCH_UP_WAIT_S = 1.0
CATCH_UP_POLL_INTERVAL_S = 0.02


class ReplicatedClaimStore(core.ClaimStore):
    """Claim idempotency keys with records of the decision log.

    Each claim gets a unique owner, so that two requests with the same key at
    one entry can't release each other's claim. If the record of a claim is
    not applied in time, a later record releases the claim; the replica
    appends in order, so the release can't precede the claim.

    Args:
        replica: Replica that commits the records and holds the state.
        metrics: Receiver of counters.
    """

    def __init__(
        self,
        *,
        replica: replicas.Replica,
        metrics: metric_values.Metrics,
    ):
        self._replica = replica
        self._metrics = metrics
        self._owner_numbers = itertools.count()
        self._end_greenlets = pool.Group()
        self._end_events: dict[str, event.Event] = {}
        replica.subscribe(self._signal_ends)

    def claim(
        self,
        *,
        customer: str,
        service: str,
        key: str,
        content_digest: str,
        timeout_s: float,
    ) -> core.Claim | core.Response | errors.Refusal:
        """Claim `key`, or wait for the result of the request that holds it.

        Returns:
            The claim; or the stored response to the earlier request with the
            same key and content; or a refusal.
        """
        deadline = time.monotonic() + timeout_s
        name = journal_claims.get_claim_key(customer, service, key)
        claim = core.Claim(customer, service, key, content_digest, "")
        while True:
            earlier_result = self._find_earlier_result(name, content_digest)
            if earlier_result is not None:
                return earlier_result
            result = self._propose_claim(claim, deadline - time.monotonic())
            if not _is_already_claimed(result):
                return result
            time_left_s = deadline - time.monotonic()
            if not self._wait_for_end(name, time_left_s):
                return result

    def release(
        self, claim: core.Claim, *, timeout_s: float
    ) -> errors.Refusal | None:
        """Release `claim`; after `timeout_s`, go on in the background."""
        greenlet = self._spawn_end_proposal(claim, "released", b"")
        if greenlet is not None:
            greenlet.join(timeout=timeout_s)
        if greenlet is None or not greenlet.ready():
            return errors.refuse(
                errors.Kind.LOG_UNAVAILABLE,
                "the release of the claim is not recorded yet",
            )
        return None

    def finish(
        self, claim: core.Claim, result: core.Response | errors.Refusal
    ) -> None:
        """Record in the background how the request of `claim` ended."""
        if errors.is_refusal(result):
            self._spawn_end_proposal(claim, "unknown", b"")
        else:
            self._spawn_end_proposal(claim, "answered", encode_response(result))

    def flush(self, *, timeout_s: float) -> bool:
        """Wait until no end is being recorded; return whether none is left."""
        self._end_greenlets.join(timeout=timeout_s)
        return not len(self._end_greenlets)

    def _propose_claim(
        self, claim: core.Claim, timeout_s: float
    ) -> core.Claim | errors.Refusal:
        if not self._wait_until_following(timeout_s):
            return errors.refuse(
                errors.Kind.LOG_UNAVAILABLE,
                "this replica has not caught up with the log",
            )
        owner_number = next(self._owner_numbers)
        claim = claim._replace(
            owner=f"{self._replica.incarnation}/{owner_number}"
        )
        body = records.ClaimItem(
            customer=claim.customer,
            service=claim.service,
            key=claim.key,
            digest=claim.content_digest,
            owner=claim.owner,
        )
        outcomes = self._replica.propose(
            [records.Item("claim", body)], timeout_s=max(0.0, timeout_s)
        )
        if not errors.is_refusal(outcomes):
            outcome = outcomes[0]
            return outcome if errors.is_refusal(outcome) else claim
        if outcomes.kind is not errors.Kind.OUTCOME_UNKNOWN:
            return outcomes
        self._spawn_end_proposal(claim, "released", b"")
        return errors.refuse(
            errors.Kind.LOG_UNAVAILABLE,
            f"the claim was not recorded in time: {outcomes.reason}",
        )

    def _wait_until_following(self, timeout_s: float) -> bool:
        deadline = time.monotonic() + min(timeout_s, MAX_CATCH_UP_WAIT_S)
        while not self._replica.is_following:
            if time.monotonic() >= deadline:
                return False
            gevent.sleep(CATCH_UP_POLL_INTERVAL_S)
        return True

    def _find_earlier_result(
        self, name: str, content_digest: str
    ) -> core.Response | errors.Refusal | None:
        known_claim = self._replica.state.core["claims"].get(name)
        if known_claim is None or not known_claim["outcome"]:
            return None
        return get_duplicate_result(known_claim, content_digest)

    def _wait_for_end(self, name: str, timeout_s: float) -> bool:
        deadline = time.monotonic() + timeout_s
        while not self._has_ended(name):
            time_left_s = deadline - time.monotonic()
            if time_left_s <= 0:
                self._end_events.pop(name, None)
                return False
            end_event = self._end_events.setdefault(name, event.Event())
            end_event.wait(timeout=min(time_left_s, END_POLL_INTERVAL_S))
        return True

    def _has_ended(self, name: str) -> bool:
        known_claim = self._replica.state.core["claims"].get(name)
        return known_claim is None or bool(known_claim["outcome"])

    def _signal_ends(self, applied: machine.AppliedRecord) -> None:
        """Wake the requests that wait for the end of a claim.

        A restart from a snapshot skips records, whose ends then cause no
        event. Waiting requests therefore also check the state every
        `END_POLL_INTERVAL_S`.
        """
        if not self._end_events:
            return
        for done in applied.events:
            if done.item.kind != "claim_end":
                continue
            body = done.item.body
            name = journal_claims.get_claim_key(
                body["customer"], body["service"], body["key"]
            )
            end_event = self._end_events.pop(name, None)
            if end_event is not None:
                end_event.set()

    def _spawn_end_proposal(
        self, claim: core.Claim, outcome: str, answer: bytes
    ) -> gevent.Greenlet | None:
        if len(self._end_greenlets) >= MAX_PENDING_ENDS:
            self._metrics.count("requests.claim_end_dropped")
            return None
        return self._end_greenlets.spawn(
            self._propose_end, claim, outcome, answer
        )

    def _propose_end(
        self, claim: core.Claim, outcome: str, answer: bytes
    ) -> None:
        body = records.ClaimEnd(
            customer=claim.customer,
            service=claim.service,
            key=claim.key,
            owner=claim.owner,
            outcome=outcome,
            answer=answer,
        )
        item = records.Item("claim_end", body)
        deadline = time.monotonic() + END_TIMEOUT_S
        while time.monotonic() < deadline:
            outcomes = self._replica.propose([item], timeout_s=END_TIMEOUT_S)
            if not errors.is_refusal(outcomes):
                return
            if outcomes.kind is not errors.Kind.QUEUE_FULL:
                break
            gevent.sleep(RETRY_INTERVAL_S)
        self._metrics.count("requests.claim_end_dropped")


def get_duplicate_result(
    known_claim: states.Claim, content_digest: str
) -> core.Response | errors.Refusal:
    """Return the result for a later request whose key has an ended claim."""
    if known_claim["digest"] != content_digest:
        return errors.refuse(
            errors.Kind.DUPLICATE_KEY, "key was used for other content"
        )
    if known_claim["outcome"] == "unknown":
        return errors.refuse(
            errors.Kind.OUTCOME_UNKNOWN,
            "the outcome of the first request with this key is unknown",
        )
    if known_claim["answer"]:
        return decode_response(known_claim["answer"])
    return errors.refuse(
        errors.Kind.ALREADY_CLAIMED,
        "the first request was answered, but its response was too long to "
        "store",
        outcome="answered",
    )


def encode_response(response: core.Response) -> bytes:
    """Return `response` encoded for the log, or b"" if it is too long."""
    content = frames.encode(list(response._replace(is_replayed=True)))
    return content if len(content) <= MAX_STORED_RESPONSE_BYTES else b""


def decode_response(content: bytes) -> core.Response:
    """Return the response that `encode_response` encoded."""
    return core.Response(*frames.decode(content))


def _is_already_claimed(result: object) -> bool:
    return (
        errors.is_refusal(result) and result.kind is errors.Kind.ALREADY_CLAIMED
    )
