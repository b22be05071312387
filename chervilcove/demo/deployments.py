"""Load deployments: the settings and the first release note of each."""

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
    """Hold the files of one deployment.

    Attributes:
        name: Name of the deployment, the stem of its file names.
        settings: Settings of its entries.
        note: First release note, with the addresses as its operators wrote
            them.
    """

    name: str
    settings: global_settings.Settings
    note: customers.Note

    def list_added(self, kind: str) -> list[dict[str, Any]]:
        """Return the items of type `kind` that the note adds."""
        return [item for item in self.note["added"] if item["type"] == kind]


def list_names() -> list[str]:
    """Return the names of all deployments, sorted."""
    return sorted(
        path.name.removesuffix(".note.jsonc")
        for path in DIRECTORY.glob("*.note.jsonc")
    )


def load_deployment(name: str) -> Deployment | errors.Refusal:
    """Load the deployment `name`.

    Returns:
        The deployment, or a refusal if the name is unknown or one of its
        files is invalid.
    """
    if name not in list_names():
        return errors.refuse(
            errors.Kind.UNKNOWN_NAME,
            f"unknown deployment {name!r}; known: {', '.join(list_names())}",
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
