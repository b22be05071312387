"""Logs: one line of key=value pairs for each event, through logbook."""

import os
import sys
import time
from typing import Any
from typing import TextIO

import logbook

_LINE = (
    "time={record.time:%Y-%m-%dT%H:%M:%S.%f}Z level={record.level_name} "
    "source={record.channel} {record.message}"
)


# Lines a second that an entry writes in the mean, and at once in a burst: a
# busy day has 30 a second, and a line costs some 50 µs of processor time.
LINES_PER_S = 300.0
BURST_LINES = 1_500.0
MAX_BUFFERED_BYTES = 65_536  # bytes kept of a line that was written in part


def _quote(value: Any) -> str:
    text = str(value)
    if text and not any(mark in text for mark in ' "=\n\\'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n") + '"'


class Log:
    """Write events of one source."""

    def __init__(self, *, source: str):
        self._logger = logbook.Logger(source)

    def info(self, event: str, **pairs: Any) -> None:
        """Write an ordinary event."""
        self._logger.info(format_event(event, pairs))

    def warn(self, event: str, **pairs: Any) -> None:
        """Write an event that an operator may have to look at."""
        self._logger.warning(format_event(event, pairs))

    def error(self, event: str, **pairs: Any) -> None:
        """Write an event that an operator has to look at."""
        self._logger.error(format_event(event, pairs))


def format_event(event: str, pairs: dict[str, Any]) -> str:
    """Return `event` and `pairs` as one line of key=value pairs."""
    parts = [f"event={_quote(event)}"]
    parts += [f"{key}={_quote(value)}" for key, value in pairs.items()]
    return " ".join(parts)


class BoundedStream:
    """Write lines without ever waiting, and no more than the bounds.

    What is left out is counted and said with the next line that is written.

    Args:
        descriptor: File descriptor, which becomes non-blocking.
        lines_per_s: Lines a second in the mean.
        burst: Lines at once.
    """

    def __init__(
        self,
        *,
        descriptor: int,
        lines_per_s: float = LINES_PER_S,
        burst: float = BURST_LINES,
    ):
        os.set_blocking(descriptor, False)
        self.left_out_count = 0
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._burst = burst
        self._tokens = burst
        self._refilled_at = time.monotonic()
        self._unwritten = b""

    def write(self, text: str) -> None:
        """Write a line, or count it as left out."""
        now = time.monotonic()
        self._tokens = min(
            self._burst,
            self._tokens + (now - self._refilled_at) * self._lines_per_s,
        )
        self._refilled_at = now
        if self._tokens < 1.0 or not self._write_pending(b""):
            self.left_out_count += 1
            return
        if self.left_out_count:
            said = f"event=lines_left_out count={self.left_out_count}\n"
            if not self._write_pending(said.encode()):
                self.left_out_count += 1
                return
            self.left_out_count = 0
        self._tokens -= 1.0
        if not self._write_pending(text.encode()):
            self.left_out_count += 1

    def flush(self) -> None:
        """Do nothing: nothing is kept but the rest of a line."""

    def _write_pending(self, content: bytes) -> bool:
        """Write `content` behind the rest; return whether it was taken."""
        pending = self._unwritten + content
        if not pending:
            return True
        try:
            written = os.write(self._descriptor, pending)
        except BlockingIOError:
            written = 0
        except OSError:
            return False  # nobody reads: counted by the caller
        if not written and content:
            return False
        self._unwritten = pending[written:][:MAX_BUFFERED_BYTES]
        return not self._unwritten or bool(content)


def set_up(
    *, level: str = "INFO", stream: TextIO | BoundedStream | None = None
) -> None:
    """Send all events at `level` and above to `stream`.

    Args:
        level: Least level that is written.
        stream: Where to write; standard error if None.
    """
    handler = logbook.StreamHandler(
        stream or sys.stderr, level=level, format_string=_LINE
    )
    handler.push_application()
