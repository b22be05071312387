"""State machine that applies records to the replicated state, in order."""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from chervilcove.core import errors
from chervilcove.journal import claims
from chervilcove.journal import client
from chervilcove.journal import configuration
from chervilcove.journal import jobs
from chervilcove.journal import marks
from chervilcove.journal import records
from chervilcove.journal import state as states


class Event(NamedTuple):
    """One item as applied.

    Attributes:
        offset: Offset of the record that holds the item.
        item: The item.
        outcome: Return value of the item's handler; a refusal if the item
            was void.
    """

    offset: int
    item: records.Item
    outcome: Any


class AppliedRecord(NamedTuple):
    """One record as applied.

    Attributes:
        offset: Offset of the record.
        by: Incarnation that appended it, empty if it could not be decoded.
        sequence: Its sequence number.
        duplicate: Whether it was ignored as a copy of an earlier record.
        events: One event for each item.
    """

    offset: int
    by: str
    sequence: int
    duplicate: bool
    events: list[Event]


_HANDLERS: dict[str, Callable[[states.State, int, Any], Any]] = {
    "submit": jobs.apply_submit,
    "cancel": jobs.apply_cancel,
    "plan": jobs.apply_plan,
    "starting": jobs.apply_starting,
    "started": jobs.apply_started,
    "ended": jobs.apply_ended,
    "worker_health": configuration.apply_worker_health,
    "adopt": configuration.apply_adopt,
    "claim": claims.apply_claim,
    "claim_end": claims.apply_claim_end,
    "mark": marks.apply_mark,
    "vote": marks.apply_vote,
    "snapshotted": marks.apply_snapshotted,
    "format": marks.apply_format,
    "waits": jobs.apply_waits,
}


def apply_record(state: states.State, record: client.Record) -> AppliedRecord:
    """Apply `record` to `state` and return what it changed.

    A record is applied once: a second copy, recognised by incarnation and
    sequence number, is ignored. An item of unknown kind, or of a format level
    that is not in force yet, is void, and so on every replica.
    """
    core = state.core
    core["offset"] = record.offset
    core["time"] = max(core["time"], record.time)
    core["log_bytes"] += len(record.content)
    envelope = records.decode(record.content)
    if errors.is_refusal(envelope):
        return AppliedRecord(record.offset, "", 0, False, [])
    if envelope.sequence <= core["sequences"].get(envelope.by, 0):
        return AppliedRecord(
            record.offset, envelope.by, envelope.sequence, True, []
        )
    _record_sequence(core, envelope)
    events = [
        Event(record.offset, item, _apply_item(state, record.offset, item))
        for item in envelope.items
    ]
    return AppliedRecord(
        record.offset, envelope.by, envelope.sequence, False, events
    )


def _apply_item(state: states.State, offset: int, item: records.Item) -> Any:
    handler = _HANDLERS.get(item.kind)
    level = records.ITEM_LEVELS.get(item.kind, 1)
    if handler is None or level > state.core["format"]:
        return errors.refuse(
            errors.Kind.INVALID_VALUE, f"unknown item {item.kind!r}"
        )
    if errors.is_refusal(item.body):
        return item.body
    try:
        return handler(state, offset, item.body)
    except Exception as error:  # noqa: BLE001
        # Handlers are deterministic, so the item fails on every replica and
        # all of them continue with equal states.
        return errors.refuse(
            errors.Kind.INTERNAL,
            f"{item.kind}: {type(error).__name__}: {error}",
        )


def is_format_supported(core: states.Core) -> bool:
    """Tell whether this build can apply records after `core`."""
    return core["format"] <= records.SUPPORTED_FORMAT


def _record_sequence(core: states.Core, envelope: records.Envelope) -> None:
    sequences = core["sequences"]
    sequences.pop(envelope.by, None)
    sequences[envelope.by] = envelope.sequence
    while len(sequences) > states.SEQUENCES_LIMIT:
        del sequences[next(iter(sequences))]
