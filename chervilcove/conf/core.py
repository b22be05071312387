"""Load settings: defaults, overridden by a file, then by the environment."""

from collections.abc import Iterator
from collections.abc import Mapping
import copy
import pathlib
import typing
from typing import Any
from typing import NamedTuple

import json5
import msgspec

from chervilcove.conf import global_settings
from chervilcove.core import errors

ENVIRONMENT_PREFIX = "CHERVILCOVE_"
ENVIRONMENT_SEPARATOR = "__"


class Setting(NamedTuple):
    """Describe one setting.

    Attributes:
        path: Keys from the top, such as ("entry", "port").
        annotation: Its type with bounds.
        default: Its default.
    """

    path: tuple[str, ...]
    annotation: Any
    default: Any

    @property
    def dotted(self) -> str:
        """Return the path as "entry.port"."""
        return ".".join(self.path)

    @property
    def environment_name(self) -> str:
        """Return the variable that overrides it."""
        joined = ENVIRONMENT_SEPARATOR.join(self.path)
        return ENVIRONMENT_PREFIX + joined.upper()


class Problem(NamedTuple):
    """Describe one error in the settings.

    Attributes:
        source: File or environment variable that gave the value.
        path: Dotted key path.
        found: What was found.
        allowed: What is allowed.
    """

    source: str
    path: str
    found: str
    allowed: str

    def describe(self) -> str:
        """Return the problem as one line."""
        return (
            f"{self.source}: {self.path}: found {self.found}, "
            f"allowed: {self.allowed}"
        )


class Loaded(NamedTuple):
    """Hold the outcome of a load.

    Attributes:
        settings: The settings; use them only where `problems` is empty.
        problems: All errors found.
    """

    settings: global_settings.Settings
    problems: list[Problem]


def list_leaves() -> list[Setting]:
    """Return every setting in order."""
    return list(
        _iterate_settings(
            global_settings.Settings, dict(global_settings.DEFAULTS), ()
        )
    )


def describe_allowed(annotation: Any) -> str:
    """Return what a setting of type `annotation` may be, in words."""
    schema = msgspec.json.schema(annotation)
    if "enum" in schema:
        return "one of " + ", ".join(str(one) for one in schema["enum"])
    words = [str(schema.get("type", "any"))]
    for key, word in (
        ("minimum", "at least"),
        ("maximum", "at most"),
        ("minLength", "length at least"),
        ("maxLength", "length at most"),
        ("pattern", "matching"),
    ):
        if key in schema:
            words.append(f"{word} {schema[key]}")
    return ", ".join(words)


def describe_meaning(annotation: Any) -> str:
    """Return the description of a setting of type `annotation`."""
    return str(msgspec.json.schema(annotation).get("description", ""))


def load_settings(*, path: str = "", environment: Mapping[str, str]) -> Loaded:
    """Return the settings from `path` and `environment`, with all errors."""
    settings: dict[str, Any] = copy.deepcopy(dict(global_settings.DEFAULTS))
    sources: dict[str, str] = {}
    problems: list[Problem] = []
    leaves = {leaf.dotted: leaf for leaf in list_leaves()}
    if path:
        given = _read_file(path, problems)
        _apply_values(given, path, leaves, settings, sources, problems)
    _apply_environment(environment, leaves, settings, sources, problems)
    for leaf in leaves.values():
        source = sources.get(leaf.dotted, "default")
        _check_setting(leaf, source, settings, problems)
    return Loaded(typing.cast(global_settings.Settings, settings), problems)


def refuse_problems(problems: list[Problem]) -> errors.Refusal:
    """Return one refusal that names every problem."""
    lines = [problem.describe() for problem in problems]
    return errors.refuse(errors.Kind.INVALID_VALUE, "; ".join(lines))


def _iterate_settings(
    shape: Any, defaults: dict[str, Any], path: tuple[str, ...]
) -> Iterator[Setting]:
    hints = typing.get_type_hints(shape, include_extras=True)
    for name, annotation in hints.items():
        here = (*path, name)
        if typing.is_typeddict(annotation):
            yield from _iterate_settings(annotation, defaults[name], here)
        else:
            yield Setting(here, annotation, defaults[name])


def _read_file(path: str, problems: list[Problem]) -> dict[str, Any]:
    try:
        given = json5.loads(pathlib.Path(path).read_text())
    except OSError as error:
        problems.append(
            Problem(path, "(file)", str(error.strerror), "a readable file")
        )
        return {}
    except ValueError as error:
        problems.append(
            Problem(path, "(file)", str(error), "JSON with comments")
        )
        return {}
    if not isinstance(given, dict):
        problems.append(
            Problem(path, "(file)", type(given).__name__, "an object")
        )
        return {}
    return given


def _apply_values(
    given: dict[str, Any],
    source: str,
    leaves: dict[str, Setting],
    settings: dict[str, Any],
    sources: dict[str, str],
    problems: list[Problem],
    path: tuple[str, ...] = (),
) -> None:
    for name, value in given.items():
        here = (*path, str(name))
        dotted = ".".join(here)
        if dotted in leaves:
            _set_value(settings, here, value)
            sources[dotted] = source
            continue
        if not any(one.startswith(dotted + ".") for one in leaves):
            problems.append(
                Problem(source, dotted, "an unknown key", _list_keys(path))
            )
        elif isinstance(value, dict):
            _apply_values(
                value, source, leaves, settings, sources, problems, here
            )
        else:
            problems.append(Problem(source, dotted, repr(value), "an object"))


def _list_keys(path: tuple[str, ...]) -> str:
    depth = len(path)
    names = [
        leaf.path[depth]
        for leaf in list_leaves()
        if leaf.path[:depth] == path and len(leaf.path) > depth
    ]
    return ", ".join(dict.fromkeys(names))


def _apply_environment(
    environment: Mapping[str, str],
    leaves: dict[str, Setting],
    settings: dict[str, Any],
    sources: dict[str, str],
    problems: list[Problem],
) -> None:
    known = {leaf.environment_name: leaf for leaf in leaves.values()}
    for name, value in environment.items():
        if not name.startswith(ENVIRONMENT_PREFIX):
            continue
        if ENVIRONMENT_SEPARATOR not in name and name not in known:
            continue  # options of the command line, not settings
        leaf = known.get(name)
        if leaf is None:
            problems.append(
                Problem(name, "(variable)", "an unknown key", "see settings")
            )
            continue
        _set_value(settings, leaf.path, value)
        sources[leaf.dotted] = name


def _set_value(
    settings: dict[str, Any], path: tuple[str, ...], value: Any
) -> None:
    section = settings
    for name in path[:-1]:
        section = section[name]
    section[path[-1]] = value


def _check_setting(
    leaf: Setting,
    source: str,
    settings: dict[str, Any],
    problems: list[Problem],
) -> None:
    value: Any = settings
    for name in leaf.path:
        value = value[name]
    from_text = source.startswith(ENVIRONMENT_PREFIX)
    try:
        checked = msgspec.convert(value, leaf.annotation, strict=not from_text)
    except msgspec.ValidationError:
        problems.append(
            Problem(
                source,
                leaf.dotted,
                repr(value),
                describe_allowed(leaf.annotation),
            )
        )
        return
    _set_value(settings, leaf.path, checked)
