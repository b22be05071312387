"""Record of a run: JSON lines that each program writes to its own file.

Each line has `at` (seconds of CLOCK_MONOTONIC, comparable across processes)
and `kind`. Workers write the moment at which something was so, not the one at
which a busy program noticed it; lines are therefore not always in order.
"""

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
        """Write one line; `at` among the fields replaces the present time."""
        event = {"at": time.monotonic(), "kind": kind, **fields}
        text = json.dumps(event, separators=(",", ":"))
        os.write(self._file, (text + "\n").encode())


class Tail:
    """Read the complete lines that were added to a file since the last read.

    Args:
        path: The file; it may not exist yet.
    """

    def __init__(self, *, path):
        self.path = pathlib.Path(path)
        self._offset = 0
        self._rest = b""

    def read(self):
        """Return the new lines as dictionaries."""
        try:
            with open(self.path, "rb") as file:
                file.seek(self._offset)
                content = file.read()
        except FileNotFoundError:
            return []
        self._offset += len(content)
        *lines, self._rest = (self._rest + content).split(b"\n")
        return [json.loads(line) for line in lines if line]


def read_folder(folder):
    """Return the events of all files, in the order of their times."""
    events = []
    for path in sorted(pathlib.Path(folder).glob("*.jsonl")):
        events += Tail(path=path).read()
    return sorted(events, key=lambda event: event["at"])
