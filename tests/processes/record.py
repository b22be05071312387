"""Record of a run: JSON lines that each program writes to its own file."""

import json
import os
import pathlib
import time


class Recorder:
    """Append events to one file of the run folder.

    Each line is written by one call, so that a process that is killed leaves
    whole lines only.
    """

    def __init__(self, folder, name):
        path = pathlib.Path(folder) / f"{name}.jsonl"
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._file = os.open(path, flags, 0o644)

    def write(self, kind, **fields):
        event = {"at": time.monotonic(), "kind": kind, **fields}
        os.write(self._file, (json.dumps(event) + "\n").encode())


def read_folder(folder):
    """Return the events of all files, in the order of their times."""
    events = []
    for path in sorted(pathlib.Path(folder).glob("*.jsonl")):
        lines = path.read_text().splitlines()
        events.extend(json.loads(line) for line in lines if line)
    return sorted(events, key=lambda event: event["at"])
