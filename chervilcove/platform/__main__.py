"""Command `python -m chervilcove.platform`, which runs an entry."""

import os
import sys

from chervilcove.conf import checks
from chervilcove.platform import core

SETTINGS_VARIABLE = "CHERVILCOVE_NODE_FILE"


def main() -> int:
    """Run an entry until SIGTERM or SIGINT; return the exit code.

    The exit code is 2 if the settings are invalid.
    """
    settings, lines = checks.load_checked_settings(
        os.environ.get(SETTINGS_VARIABLE, ""), environment=os.environ
    )
    for line in lines:
        print(line, file=sys.stderr, flush=True)
    if settings is None:
        return 2
    core.run_entry(settings)
    return 0


if __name__ == "__main__":
    sys.exit(main())
