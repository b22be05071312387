"""Polling for a condition, with a limit on the polls instead of the time.

A time limit would also count the seconds in which a busy or stopped machine
didn't run the process, and a test would fail because of the machine.
"""

import gevent

POLL_INTERVAL_S = 0.02


def wait_until(condition, *, max_polls, describe=lambda: "condition not met"):
    """Poll until a condition is true.

    Args:
        condition: Function that returns the condition.
        max_polls: Maximum number of polls, `POLL_INTERVAL_S` apart.
        describe: Function that returns the message of the failure.

    Raises:
        AssertionError: The condition is still false after the last poll.
    """
    for _ in range(max_polls):
        if condition():
            return
        gevent.sleep(POLL_INTERVAL_S)
    raise AssertionError(describe())
