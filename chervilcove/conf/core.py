"""Loading of settings: defaults, then a file, then the environment."""

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
    """Schema of one setting.

    Attributes:
        path: Keys from the top level, such as ("entry", "port").
        annotation: Type with its bounds.
        default: Default value.
    """

    path: tuple[str, ...]
    annotation: Any
    default: Any

    @property
    def dotted(self) -> str:
        """Return the path joined by dots, such as "entry.port"."""
        return ".".join(self.path)

    @property
    def environment_name(self) -> str:
        """Return the environment variable that overrides the setting."""
        joined = ENVIRONMENT_SEPARATOR.join(self.path)
        return ENVIRONMENT_PREFIX + joined.upper()


class Problem(NamedTuple):
    """Error in the settings.

    Attributes:
        source: File or environment variable that the value came from.
        path: Path of the key, joined by dots.
        found: Value that was found.
        allowed: Description of the allowed values.
    """

    source: str
    path: str
    found: str
    allowed: str

    def describe(self) -> str:
        """Return a description of the problem on one line."""
        return (
            f"{self.source}: {self.path}: found {self.found}, "
            f"allowed: {self.allowed}"
        )


class Loaded(NamedTuple):
    """Result of loading the settings.

    Attributes:
        settings: Settings; valid only if `problems` is empty.
        problems: All errors found.
    """

    settings: global_settings.Settings
    problems: list[Problem]


def list_settings() -> list[Setting]:
    """Return the schema of all settings, in the order of their declaration."""
    return list(
        _iterate_settings(
            global_settings.Settings, dict(global_settings.DEFAULTS), ()
        )
    )


def describe_allowed(annotation: Any) -> str:
    """Return a description of the values that `annotation` allows."""
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
    """Return the description in `annotation`."""
    return str(msgspec.json.schema(annotation).get("description", ""))


def load_settings(
    *,
    path: str = "",
    environment: Mapping[str, str],
    content: bytes | None = None,
) -> Loaded:
    """Load settings from the file `path` and from `environment`.

    Args:
        path: Path of a file of JSON with comments, empty for none.
        environment: Environment variables.
        content: Content of the file if it was read already.
    """
    values: dict[str, Any] = copy.deepcopy(dict(global_settings.DEFAULTS))
    sources: dict[str, str] = {}
    problems: list[Problem] = []
    known_settings = {setting.dotted: setting for setting in list_settings()}
    if path:
        file_values = _read_file(path, content, problems)
        _apply_values(
            file_values, path, known_settings, values, sources, problems
        )
    _apply_environment(environment, known_settings, values, sources, problems)
    for setting in known_settings.values():
        source = sources.get(setting.dotted, "default")
        _check_setting(setting, source, values, problems)
    return Loaded(typing.cast(global_settings.Settings, values), problems)


def refuse_problems(problems: list[Problem]) -> errors.Refusal:
    """Return one refusal that describes all problems."""
    lines = [problem.describe() for problem in problems]
    return errors.refuse(errors.Kind.INVALID_VALUE, "; ".join(lines))


def _iterate_settings(
    schema: Any, defaults: dict[str, Any], path: tuple[str, ...]
) -> Iterator[Setting]:
    hints = typing.get_type_hints(schema, include_extras=True)
    for name, annotation in hints.items():
        setting_path = (*path, name)
        if typing.is_typeddict(annotation):
            yield from _iterate_settings(
                annotation, defaults[name], setting_path
            )
        else:
            yield Setting(setting_path, annotation, defaults[name])


def _read_file(
    path: str, content: bytes | None, problems: list[Problem]
) -> dict[str, Any]:
    try:
        if content is None:
            content = pathlib.Path(path).read_bytes()
        file_values = json5.loads(content.decode())
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
    if not isinstance(file_values, dict):
        problems.append(
            Problem(path, "(file)", type(file_values).__name__, "an object")
        )
        return {}
    return file_values


def _apply_values(
    file_values: dict[str, Any],
    source: str,
    known_settings: dict[str, Setting],
    settings: dict[str, Any],
    sources: dict[str, str],
    problems: list[Problem],
    path: tuple[str, ...] = (),
) -> None:
    for name, value in file_values.items():
        setting_path = (*path, str(name))
        dotted = ".".join(setting_path)
        if dotted in known_settings:
            _set_value(settings, setting_path, value)
            sources[dotted] = source
            continue
        if not any(one.startswith(dotted + ".") for one in known_settings):
            problems.append(
                Problem(source, dotted, "an unknown key", _list_keys(path))
            )
        elif isinstance(value, dict):
            _apply_values(
                value,
                source,
                known_settings,
                settings,
                sources,
                problems,
                setting_path,
            )
        else:
            problems.append(Problem(source, dotted, repr(value), "an object"))


def _list_keys(path: tuple[str, ...]) -> str:
    depth = len(path)
    names = [
        setting.path[depth]
        for setting in list_settings()
        if setting.path[:depth] == path and len(setting.path) > depth
    ]
    return ", ".join(dict.fromkeys(names))


def _apply_environment(
    environment: Mapping[str, str],
    known_settings: dict[str, Setting],
    settings: dict[str, Any],
    sources: dict[str, str],
    problems: list[Problem],
) -> None:
    known = {
        setting.environment_name: setting for setting in known_settings.values()
    }
    for name, value in environment.items():
        if not name.startswith(ENVIRONMENT_PREFIX):
            continue
        if ENVIRONMENT_SEPARATOR not in name and name not in known:
            continue  # a command line option, not a setting
        setting = known.get(name)
        if setting is None:
            problems.append(
                Problem(
                    name,
                    "(variable)",
                    "an unknown key",
                    "see docs/ref/settings.md",
                )
            )
            continue
        _set_value(settings, setting.path, value)
        sources[setting.dotted] = name


def _set_value(
    settings: dict[str, Any], path: tuple[str, ...], value: Any
) -> None:
    section = settings
    for name in path[:-1]:
        section = section[name]
    section[path[-1]] = value


def _check_setting(
    setting: Setting,
    source: str,
    settings: dict[str, Any],
    problems: list[Problem],
) -> None:
    value: Any = settings
    for name in setting.path:
        value = value[name]
    is_text = source.startswith(ENVIRONMENT_PREFIX)
    try:
        checked = msgspec.convert(value, setting.annotation, strict=not is_text)
    except msgspec.ValidationError:
        problems.append(
            Problem(
                source,
                setting.dotted,
                repr(value),
                describe_allowed(setting.annotation),
            )
        )
        return
    _set_value(settings, setting.path, checked)
