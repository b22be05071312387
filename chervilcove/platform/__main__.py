"""Run an entry on the platform by `python -m chervilcove.platform`."""

import os
import sys

from chervilcove.conf import checks
from chervilcove.platform import core

SETTINGS_VARIABLE = "CHERVILCOVE_NODE_FILE"


def main() -> int:
    """Run an entry until SIGTERM; return the exit code."""
    settings, lines = checks.load_checked(
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
