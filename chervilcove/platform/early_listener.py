"""Listener for callers that is opened before the program is imported.

After a loss of power all entries start at once. Importing the program takes
0.35 s of processor time, on machines with half of a core, and callers that come
meanwhile would find no entry at all. Their connections wait in the queue of
this listener instead.

This module may only import what is cheap to import.
"""

import re
import socket

from chervilcove.core import web_limits

# As for the other listeners; see `gevent.server.StreamServer.backlog`.
BACKLOG = 256
_COMMENT = re.compile(r"^\s*//.*$", re.MULTILINE)
_FRONT = re.compile(r'"front"\s*:\s*"(\d+\.\d+\.\d+\.\d+):(\d+)"')


def open_listener(path: str) -> socket.socket | None:
    """Return a listening socket for callers, or None.

    Errors are left to the program, which reads the same settings in full and
    then describes what is wrong with them.

    Args:
        path: Path of the settings file, may be empty or wrong.

    Returns:
        A socket at `fleet.front`, None if that address can't be found in the
        file or is in use.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, ValueError):
        return None
    found = _FRONT.search(_COMMENT.sub("", text))
    if found is None:
        return None
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Connections that are queued take over the options of this moment.
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, web_limits.SEND_BUFFER_BYTES
        )
        listener.bind((found[1], int(found[2])))
        listener.listen(BACKLOG)
    except (OSError, OverflowError):
        listener.close()
        return None
    return listener
