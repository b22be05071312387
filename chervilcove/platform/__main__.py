"""Command `python -m chervilcove.platform`, which runs an entry."""

import os
import signal
import sys

from chervilcove.platform import early_listener

SETTINGS_VARIABLE = "CHERVILCOVE_NODE_FILE"


def main() -> int:
    """Run an entry until SIGTERM or SIGINT; return the exit code.

    The exit code is 2 if the settings are invalid.
    """
    # The settings are read after the import, so that a SIGHUP before then needs
    # no action; it would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    path = os.environ.get(SETTINGS_VARIABLE, "")
    listener = early_listener.open_listener(path)
    # The program is imported while connections already queue.
    from chervilcove.conf import checks
    from chervilcove.platform import core

    settings, lines = checks.load_checked_settings(path, environment=os.environ)
    for line in lines:
        print(line, file=sys.stderr, flush=True)
    if settings is None:
        return 2
    core.run_entry(settings, path=path, listener=listener)
    return 0


if __name__ == "__main__":
    sys.exit(main())
