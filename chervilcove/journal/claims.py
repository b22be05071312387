"""Handlers of items about claims on keys of non-idempotent requests."""

from chervilcove.core import errors
from chervilcove.journal import records
from chervilcove.journal import state as states

CLAIM_LIFETIME_S = 24 * 3600.0


def get_claim_key(customer: str, service: str, key: str) -> str:
    """Return the key of a claim in the table of claims."""
    return f"{customer}/{service}/{key}"


def apply_claim(
    state: states.State, offset: int, body: records.ClaimItem
) -> str | errors.Refusal:
    """Claim a key for an entry.

    Returns:
        "claimed"; or `ALREADY_CLAIMED` or `DUPLICATE_KEY` if the key has a
        claim already, or `QUEUE_FULL`.
    """
    core = state.core
    _delete_expired_claims(core)
    key = get_claim_key(body["customer"], body["service"], body["key"])
    known = core["claims"].get(key)
    if known is not None:
        return _refuse_duplicate(known, body)
    if len(core["claims"]) >= states.CLAIMS_LIMIT:
        return errors.refuse(
            errors.Kind.QUEUE_FULL, "the table of claims is full"
        )
    core["claims"][key] = states.Claim(
        digest=body["digest"],
        owner=body["owner"],
        outcome="",
        answer=b"",
        time=core["time"],
    )
    return "claimed"


def apply_claim_end(
    state: states.State, offset: int, body: records.ClaimEnd
) -> str | errors.Refusal:
    """Release a claim, or store the outcome and answer of its request.

    Returns:
        The outcome; `FENCED` if the entry does not hold the claim.
    """
    key = get_claim_key(body["customer"], body["service"], body["key"])
    known = state.core["claims"].get(key)
    if known is None or known["owner"] != body["owner"]:
        return errors.refuse(
            errors.Kind.FENCED, "the claim is not held by this entry"
        )
    if body["outcome"] == "released":
        del state.core["claims"][key]
        return "released"
    known["outcome"] = body["outcome"]
    known["answer"] = body["answer"]
    return body["outcome"]


def _refuse_duplicate(
    known: states.Claim, body: records.ClaimItem
) -> errors.Refusal:
    if known["digest"] != body["digest"]:
        return errors.refuse(
            errors.Kind.DUPLICATE_KEY, "key was used for other content"
        )
    return errors.refuse(
        errors.Kind.ALREADY_CLAIMED,
        "an earlier request has claimed this key",
        outcome=known["outcome"] or "open",
    )


def _delete_expired_claims(core: states.Core) -> None:
    claims = core["claims"]
    while claims:
        oldest = next(iter(claims))
        if core["time"] - claims[oldest]["time"] < CLAIM_LIFETIME_S:
            return
        del claims[oldest]
