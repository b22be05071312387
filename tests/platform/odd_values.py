"""Values that other writers may put into any field of a document."""

import copy
import json

import hypothesis
from hypothesis import strategies

DEEP_LEVELS = 60_000
DEEP = "\x00deep"  # stands for nesting of DEEP_LEVELS
ODD_VALUES = (
    None,
    True,
    -1,
    0,
    1.5,
    1e308,
    2**53 + 1,
    2**63,
    2**64,
    10**400,
    -(10**400),
    "",
    "\u00b2",
    "9" * 400,
    "a\r\nb",
    "\ud83d\ude00",
    [],
    [[]],
    {},
    {"": 10**400},
    DEEP,
)
# Each run tries the same values, so that CI gives the same verdict.
settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=300, database=None
)
json_values = strategies.recursive(
    strategies.sampled_from(ODD_VALUES)
    | strategies.integers()
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(), inner, max_size=4)
    ),
    max_leaves=6,
)


def encode(document):
    """Return a document as JSON, with deep nesting where it is asked for."""
    deep = "[" * DEEP_LEVELS + "]" * DEEP_LEVELS
    text = json.dumps(document)
    return text.replace(json.dumps(DEEP), deep).encode()


def list_paths(document, before=()):
    """Return the paths of all values in a document, its own first."""
    paths = [before]
    if isinstance(document, dict):
        items = document.items()
    elif isinstance(document, list):
        items = enumerate(document)
    else:
        return paths
    for key, value in items:
        paths += list_paths(value, (*before, key))
    return paths


def replace(document, path, value):
    """Return a copy of a document with another value at `path`."""
    if not path:
        return value
    changed = copy.deepcopy(document)
    inner = changed
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = value
    return changed


def list_odd_documents(document):
    """Return the document once with each odd value at each path."""
    return [
        encode(replace(document, path, value))
        for path in list_paths(document)
        for value in ODD_VALUES
    ]


def build_odd_documents(document):
    """Return a strategy of documents with a generated value at one path."""
    return strategies.builds(
        lambda path, value: encode(replace(document, path, value)),
        strategies.sampled_from(list_paths(document)),
        json_values,
    )
