"""Calls of which an entry carries out one at a time."""

from collections.abc import Callable
from typing import Any

import gevent

from chervilcove.core import errors


class Turns:
    """Carry out one call at a time, after a pause, and refuse the others.

    The calls take the time of the whole process. The pause bounds their rate.

    Args:
        pause_s: Seconds before each call.
        retry_after_s: Seconds after which a refused caller should retry.
    """

    def __init__(self, *, pause_s: float, retry_after_s: int):
        self._pause_s = pause_s
        self._retry_after_s = retry_after_s
        self._is_busy = False

    def run(self, call: Callable[[], Any]) -> Any:
        """Return the result of `call`, or a refusal during another one."""
        if self._is_busy:
            return errors.refuse(
                errors.Kind.BUSY,
                "another call of this kind is being answered",
                retry_after_s=self._retry_after_s,
            )
        self._is_busy = True
        try:
            gevent.sleep(self._pause_s)
            return call()
        finally:
            self._is_busy = False
