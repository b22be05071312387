"""Read a deployment: its settings and its first release note."""

import pathlib
from typing import Any
from typing import NamedTuple

import json5

import chervilcove
from chervilcove.conf import core as conf
from chervilcove.conf import global_settings
from chervilcove.core import errors
from chervilcove.customers import notes
from chervilcove.customers import schema as customers

DIRECTORY = pathlib.Path(chervilcove.__file__).parent.parent / "deployments"


class Deployment(NamedTuple):
    """Hold a deployment.

    Attributes:
        name: Name of its files.
        settings: Settings of its entries.
        note: Its first release note, with the addresses of its operators.
    """

    name: str
    settings: global_settings.Settings
    note: customers.Note

    def list_added(self, kind: str) -> list[dict[str, Any]]:
        """Return what the note adds of type `kind`."""
        return [one for one in self.note["added"] if one["type"] == kind]


def list_names() -> list[str]:
    """Return the names of all deployments."""
    return sorted(
        path.name.removesuffix(".note.jsonc")
        for path in DIRECTORY.glob("*.note.jsonc")
    )


def load_deployment(name: str) -> Deployment | errors.Refusal:
    """Return the deployment `name`, or a refusal."""
    if name not in list_names():
        return errors.refuse(
            errors.Kind.UNKNOWN_NAME,
            f"no deployment {name!r}, there are {', '.join(list_names())}",
        )
    loaded = conf.load_settings(
        path=str(DIRECTORY / f"{name}.jsonc"), environment={}
    )
    if loaded.problems:
        return conf.refuse_problems(loaded.problems)
    text = (DIRECTORY / f"{name}.note.jsonc").read_text()
    note = notes.parse_note(json5.loads(text))
    if errors.is_refusal(note):
        return note
    return Deployment(name, loaded.settings, note)
