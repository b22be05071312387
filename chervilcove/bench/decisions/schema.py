"""Readers that validate JSON documents and collect all faults."""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

REQUIRED = object()


class Field(NamedTuple):
    """Reader and default of one key of an object.

    Attributes:
        read: Called with the path, the value and the list of faults, to which
            it appends; returns the validated value.
        default: Value of an absent key, or `REQUIRED`.
    """

    read: Callable[[str, Any, list[str]], Any]
    default: Any = REQUIRED


def read_number(
    minimum: float, maximum: float, whole: bool = False
) -> Callable[[str, Any, list[str]], Any]:
    """Return a reader of numbers from `minimum` to `maximum`."""
    kind = "whole number" if whole else "number"

    def read(path: str, value: Any, faults: list[str]) -> Any:
        right = isinstance(value, int if whole else (int, float))
        if (
            not right
            or isinstance(value, bool)
            or not minimum <= value <= maximum
        ):
            faults.append(
                f"{path}: found {value!r}, allowed is a {kind} "
                f"from {minimum:g} to {maximum:g}"
            )
        return value

    return read


def read_flag(path: str, value: Any, faults: list[str]) -> Any:
    """Read true or false."""
    if not isinstance(value, bool):
        faults.append(f"{path}: found {value!r}, allowed is true or false")
    return value


def read_text(path: str, value: Any, faults: list[str]) -> Any:
    """Read a non-empty string."""
    if not isinstance(value, str) or not value:
        faults.append(f"{path}: found {value!r}, allowed is a non-empty string")
    return value


def read_any_object(path: str, value: Any, faults: list[str]) -> Any:
    """Read an object without validating its content."""
    if not isinstance(value, dict):
        faults.append(f"{path}: found {value!r}, allowed is an object")
    return value


def read_choice(*choices: Any) -> Callable[[str, Any, list[str]], Any]:
    """Return a reader that accepts one of `choices`."""

    def read(path: str, value: Any, faults: list[str]) -> Any:
        if not any(value == choice for choice in choices):
            allowed = ", ".join(repr(choice) for choice in choices)
            faults.append(
                f"{path}: found {value!r}, allowed is one of {allowed}"
            )
        return value

    return read


def read_list(
    read_item: Callable[[str, Any, list[str]], Any], min_items: int = 0
) -> Callable[[str, Any, list[str]], Any]:
    """Return a reader of lists of at least `min_items` items."""

    def read(path: str, value: Any, faults: list[str]) -> Any:
        if not isinstance(value, list) or len(value) < min_items:
            faults.append(
                f"{path}: found {_shorten(value)}, "
                f"allowed is a list of at least {min_items} items"
            )
            return []
        return [
            read_item(f"{path}[{index}]", item, faults)
            for index, item in enumerate(value)
        ]

    return read


def read_object(
    fields: dict[str, Field],
) -> Callable[[str, Any, list[str]], Any]:
    """Return a reader of objects with exactly the keys of `fields`."""

    def read(path: str, value: Any, faults: list[str]) -> Any:
        if not isinstance(value, dict):
            faults.append(
                f"{path}: found {_shorten(value)}, allowed is an object"
            )
            return {}
        for key in value:
            if key not in fields:
                faults.append(
                    f"{_join(path, key)}: unknown key, "
                    f"allowed are {', '.join(fields)}"
                )
        result = {}
        for key, field in fields.items():
            if key in value:
                result[key] = field.read(_join(path, key), value[key], faults)
            elif field.default is REQUIRED:
                faults.append(f"{_join(path, key)}: missing, it is required")
            else:
                result[key] = field.default
        return result

    return read


def _join(path: str, key: Any) -> str:
    return f"{path}.{key}" if path else str(key)


def _shorten(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."
