"""Release notes: parsing, validating and applying them.

The reason and the detail of a refused note are part of the replicated state.
If their texts change, here, in `checks`, in `guarantees` or in `validators`,
entries of two builds compute different digests and report a divergence.
"""

import copy
from typing import Any
from typing import NamedTuple

import msgspec

from chervilcove.core import errors
from chervilcove.customers import checks
from chervilcove.customers import guarantees
from chervilcove.customers import schema

# Format level that reads all fields.
LATEST_LEVEL = 2
# Minimum format level by type and field; 1 for fields that are not listed.
# Below it a field is refused with the text of builds that don't know it, so
# that entries of both builds store the same outcome.
_FIELD_LEVELS: dict[tuple[str, str], int] = {("customer", "maximum"): 2}

_TOP_LEVEL_TYPES: dict[str, tuple[str, type]] = {
    "data_centre": ("data_centres", schema.DataCentre),
    "worker": ("workers", schema.Worker),
    "customer": ("customers", schema.Customer),
    "service": ("services", schema.Service),
}


class _NestedType(NamedTuple):
    """Describe where items that belong to another item are stored.

    Attributes:
        owner: Type of the item it belongs to; in a note also the name of the
            field that refers to that item.
        section: Section of the configuration that holds the owners.
        field: Field of the owner that lists the nested items.
        shape: TypedDict of the nested item.
    """

    owner: str
    section: str
    field: str
    shape: type


_NESTED_TYPES: dict[str, _NestedType] = {
    "guarantee": _NestedType(
        "customer", "customers", "guarantees", schema.Guarantee
    ),
    "team": _NestedType("customer", "customers", "teams", schema.Team),
    "minion": _NestedType("service", "services", "minions", schema.Minion),
}


def parse_note(value: Any) -> schema.Note | errors.Refusal:
    """Return `value` as a typed note, or a refusal where it is malformed."""
    try:
        return msgspec.convert(value, schema.Note)
    except msgspec.ValidationError as error:
        return errors.refuse(errors.Kind.MALFORMED, f"note: {error}")


def apply_note(
    configuration: schema.Configuration,
    note: schema.Note,
    *,
    level: int = LATEST_LEVEL,
) -> schema.Configuration | errors.Refusal:
    """Return the configuration after `note`, or the refusal of the note.

    A note is applied completely or not at all. It is refused if a value or a
    reference is invalid, or if the guarantees can't all be honoured.

    Args:
        configuration: The configuration in force.
        note: The note.
        level: Format level in force; fields of a higher one are unknown.
    """
    if note["base_revision"] != configuration["revision"]:
        return errors.refuse(
            errors.Kind.STALE_REVISION,
            f"note is based on revision {note['base_revision']}, "
            f"revision {configuration['revision']} is in force",
            revision=configuration["revision"],
        )
    changed = copy.deepcopy(configuration)
    for operation, items in (
        ("added", note["added"]),
        ("changed", note["changed"]),
        ("withdrawn", note["withdrawn"]),
    ):
        for item in items:
            refusal = _apply_item(changed, operation, item, level)
            if refusal is not None:
                return refusal
    refusal = checks.check_configuration(changed)
    if refusal is None:
        refusal = guarantees.check_feasibility(configuration, changed)
    if refusal is not None:
        return refusal
    changed["revision"] = configuration["revision"] + 1
    return changed


def _apply_item(
    configuration: schema.Configuration,
    operation: str,
    item: dict[str, Any],
    level: int,
) -> errors.Refusal | None:
    fields = dict(item)
    kind = fields.pop("type", None)
    if not isinstance(kind, str) or kind not in (
        *_TOP_LEVEL_TYPES,
        *_NESTED_TYPES,
    ):
        types = ", ".join((*_TOP_LEVEL_TYPES, *_NESTED_TYPES))
        return errors.refuse(
            errors.Kind.INVALID_VALUE,
            f"{operation}: type {kind!r} is none of {types}",
        )
    if kind in _NESTED_TYPES:
        return _apply_nested_item(configuration, operation, kind, fields, level)
    section, shape = _TOP_LEVEL_TYPES[kind]
    table: dict[str, Any] = configuration[section]  # type: ignore[literal-required]
    return _apply_to_table(table, operation, kind, shape, fields, level)


def _apply_nested_item(
    configuration: schema.Configuration,
    operation: str,
    kind: str,
    fields: dict[str, Any],
    level: int,
) -> errors.Refusal | None:
    nested = _NESTED_TYPES[kind]
    owners: dict[str, Any] = configuration[nested.section]  # type: ignore[literal-required]
    owner = fields.pop(nested.owner, None)
    if not isinstance(owner, str) or owner not in owners:
        return errors.refuse(
            errors.Kind.UNKNOWN_NAME,
            f"{operation}: {kind} {fields.get('name')!r}: "
            f"{nested.owner} {owner!r} does not exist",
        )
    table = {each["name"]: each for each in owners[owner][nested.field]}
    refusal = _apply_to_table(
        table, operation, kind, nested.shape, fields, level
    )
    if refusal is None:
        owners[owner][nested.field] = list(table.values())
    return refusal


def _apply_to_table(
    table: dict[str, Any],
    operation: str,
    kind: str,
    shape: type,
    fields: dict[str, Any],
    level: int,
) -> errors.Refusal | None:
    name = fields.get("name")
    if not isinstance(name, str):
        return errors.refuse(
            errors.Kind.INVALID_VALUE, f"{operation}: {kind} has no name"
        )
    if operation == "added" and name in table:
        return errors.refuse(
            errors.Kind.INVALID_VALUE, f"{kind} {name!r} exists already"
        )
    if operation != "added" and name not in table:
        return errors.refuse(
            errors.Kind.UNKNOWN_NAME, f"{kind} {name!r} does not exist"
        )
    if operation == "withdrawn":
        del table[name]
        return None
    unknown = sorted(
        field
        for field in fields
        if field not in shape.__annotations__
        or _FIELD_LEVELS.get((kind, field), 1) > level
    )
    if unknown:
        return errors.refuse(
            errors.Kind.INVALID_VALUE,
            f"{kind} {name!r}: unknown field {unknown[0]!r}",
        )
    try:
        table[name] = msgspec.convert(
            {**table.get(name, {}), **fields}, shape, strict=True
        )
    except msgspec.ValidationError as error:
        return errors.refuse(
            errors.Kind.INVALID_VALUE, f"{kind} {name!r}: {error}"
        )
    return None
