"""Handlers of items about configuration notes and worker health.

The reason and detail of a refused note are part of the replicated state: every
entry has to store the same text.
"""

from chervilcove.core import errors
from chervilcove.customers import notes
from chervilcove.journal import records
from chervilcove.journal import state as states


def apply_adopt(
    state: states.State, offset: int, body: records.Adopt
) -> int | errors.Refusal:
    """Apply the next note of the configuration stream.

    Notes are adopted in the order of that stream. An item for any other note
    than the next one is void, unless it skips records past retention.

    Returns:
        The revision in force after the note, or the refusal of the note;
        `FENCED` if the item is void.
    """
    core = state.core
    next_offset = core["config_offset"]
    is_next = body["config_offset"] == next_offset
    skips = (
        body.get("skips_lapsed", False) and body["config_offset"] > next_offset
    )
    if not is_next and not skips:
        return errors.refuse(
            errors.Kind.FENCED,
            f"configuration offset {body['config_offset']} is not next",
        )
    core["config_offset"] = body["config_offset"] + 1
    note = body["note"]
    if note is None:
        return _finish(
            state,
            offset,
            body,
            errors.refuse(errors.Kind.MALFORMED, "note could not be read"),
        )
    changed = notes.apply_note(
        core["configuration"], note, level=core["format"]
    )
    if errors.is_refusal(changed):
        return _finish(state, offset, body, add_winning_note(core, changed))
    core["configuration"] = changed
    core["basis"] = offset
    state.pool.set_configuration(changed)
    return _finish(state, offset, body, changed["revision"])


def apply_worker_health(
    state: states.State, offset: int, body: records.WorkerHealth
) -> bool | errors.Refusal:
    """Record whether gangs may be placed on a worker.

    Returns:
        Whether the worker is healthy; `UNKNOWN_NAME` if it is not configured.
    """
    core = state.core
    worker = body["worker"]
    if worker not in core["configuration"]["workers"]:
        return errors.refuse(errors.Kind.UNKNOWN_NAME, f"no worker {worker!r}")
    if body["healthy"]:
        core["unhealthy"].pop(worker, None)
    else:
        core["unhealthy"][worker] = body["reason"]
    core["basis"] = offset
    state.pool.set_worker_health(worker, body["healthy"])
    return body["healthy"]


def add_winning_note(
    core: states.Core, refusal: errors.Refusal
) -> errors.Refusal:
    """Add id and author of the latest accepted note to a stale one's refusal.

    Refusals of any other kind are returned unchanged.
    """
    if refusal.kind is not errors.Kind.STALE_REVISION:
        return refusal
    accepted = [note for note in core["notes"] if note["accepted"]]
    if not accepted:
        return refusal
    winner = accepted[-1]
    detail = {
        **refusal.detail,
        "winner": winner["id"],
        "winner_author": winner["author"],
    }
    reason = f"{refusal.reason}; note {winner['id']!r} made it"
    return refusal._replace(reason=reason, detail=detail)


def _finish(
    state: states.State,
    offset: int,
    body: records.Adopt,
    outcome: int | errors.Refusal,
) -> int | errors.Refusal:
    refused = errors.is_refusal(outcome)
    note = body["note"]
    core = state.core
    core["notes"].append(
        states.NoteOutcome(
            config_offset=body["config_offset"],
            offset=offset,
            time=core["time"],
            id=note["id"] if note else "",
            author=note["author"] if note else "",
            accepted=not refused,
            kind=outcome.kind.value if refused else "",
            reason=outcome.reason if refused else "",
            revision=core["configuration"]["revision"],
            detail=outcome.detail if refused else {},
        )
    )
    del core["notes"][: -states.NOTES_LIMIT]
    return outcome
