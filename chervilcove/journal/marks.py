"""Handlers of items about marks, votes, snapshots and format levels.

A mark is a record after which every replica computes the digest of its state
and votes with it. A snapshot holds the state after a mark.
"""

import collections

from chervilcove.core import errors
from chervilcove.journal import conf
from chervilcove.journal import records
from chervilcove.journal import state as states


def apply_mark(
    state: states.State, offset: int, body: records.Mark
) -> int | errors.Refusal:
    """Replace the latest mark by this record; return its offset."""
    core = state.core
    core["mark"] = states.LatestMark(
        offset=offset,
        time=core["time"],
        log_bytes=core["log_bytes"],
        votes={},
    )
    return offset


def apply_vote(
    state: states.State, offset: int, body: records.Vote
) -> int | errors.Refusal:
    """Record the digest that a replica computed at the latest mark.

    Returns:
        The number of votes; `FENCED` if the vote is for an earlier mark, or
        `QUEUE_FULL`.
    """
    mark = state.core["mark"]
    votes = mark["votes"]
    if body["mark"] != mark["offset"]:
        return errors.refuse(
            errors.Kind.FENCED, "the vote is not for the latest mark"
        )
    if body["by"] not in votes and len(votes) >= conf.VOTES_LIMIT:
        return errors.refuse(errors.Kind.QUEUE_FULL, "too many votes")
    votes[body["by"]] = body["digest"]
    return len(votes)


def apply_snapshotted(
    state: states.State, offset: int, body: records.Snapshotted
) -> int | errors.Refusal:
    """Record that a whole snapshot is available.

    Returns:
        The offset of its mark; `FENCED` if a snapshot of this or a later mark
        is known, or `INVALID_VALUE` if most replicas have another digest.
    """
    core = state.core
    if body["mark"] <= core["snapshot"]["offset"]:
        return errors.refuse(
            errors.Kind.FENCED, "a snapshot of this or a later mark is known"
        )
    if body["mark"] == core["mark"]["offset"]:
        agreed = find_agreed_digest(core["mark"])
        if agreed and agreed != body["digest"]:
            return errors.refuse(
                errors.Kind.INVALID_VALUE, "most replicas have another digest"
            )
    core["snapshot"] = states.LatestSnapshot(
        offset=body["mark"],
        time=core["time"],
        log_bytes=core["mark"]["log_bytes"],
        digest=body["digest"],
        size=body["size"],
    )
    return body["mark"]


def apply_format(
    state: states.State, offset: int, body: records.Format
) -> int | errors.Refusal:
    """Raise the format level by one; return the level now in force.

    Any other step than by one is void.
    """
    core = state.core
    if body["level"] != core["format"] + 1:
        return errors.refuse(
            errors.Kind.FENCED,
            f"the format level in force is {core['format']}",
        )
    core["format"] = body["level"]
    return core["format"]


def find_agreed_digest(mark: states.LatestMark) -> str:
    """Return the digest with most votes.

    It is empty if no digest has two votes, or if the first two have equally
    many.
    """
    counts = collections.Counter(mark["votes"].values()).most_common(2)
    if not counts or counts[0][1] < 2:
        return ""
    if len(counts) == 2 and counts[0][1] == counts[1][1]:
        return ""
    return counts[0][0]


def has_divergence(mark: states.LatestMark) -> bool:
    """Tell whether replicas computed different digests at `mark`."""
    return len(set(mark["votes"].values())) > 1
