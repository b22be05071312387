"""Structured logs: one line of key=value pairs per event, with logbook."""

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


# Sustained rate and burst size of an entry's log lines. A busy day has 30 lines
# per second; one line costs about 50 µs of CPU time.
LINES_PER_S = 300.0
BURST_LINES = 1_500.0
MAX_BUFFERED_BYTES = 65_536  # unwritten rest of a partly written line


def _quote(value: Any) -> str:
    text = str(value)
    if text and not any(mark in text for mark in ' "=\n\\'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n") + '"'


class Log:
    """Logger of events from one source.

    Keyword arguments become the fields of the line.
    """

    def __init__(self, *, source: str):
        self._logger = logbook.Logger(source)

    def info(self, event: str, **pairs: Any) -> None:
        """Write an ordinary event."""
        self._logger.info(format_event(event, pairs))

    def warn(self, event: str, **pairs: Any) -> None:
        """Write an event that may need an operator's attention."""
        self._logger.warning(format_event(event, pairs))

    def error(self, event: str, **pairs: Any) -> None:
        """Write an event that needs an operator's attention."""
        self._logger.error(format_event(event, pairs))


def format_event(event: str, pairs: dict[str, Any]) -> str:
    """Return `event` and `pairs` as key=value pairs on one line."""
    parts = [f"event={_quote(event)}"]
    parts += [f"{key}={_quote(value)}" for key, value in pairs.items()]
    return " ".join(parts)


class BoundedStream:
    """Stream that never blocks and limits the rate of lines.

    Lines beyond the limit, or that a slow reader doesn't take, are dropped and
    counted. The count is written before the next line that gets through.

    Args:
        descriptor: File descriptor; it is made non-blocking.
        lines_per_s: Sustained rate of lines.
        burst: Lines that may be written at once.

    Attributes:
        left_out_count: Lines dropped since the count was last written.
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
        """Write the line `text`, or drop and count it."""
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
            notice = f"event=lines_left_out count={self.left_out_count}\n"
            if not self._write_pending(notice.encode()):
                self.left_out_count += 1
                return
            self.left_out_count = 0
        self._tokens -= 1.0
        if not self._write_pending(text.encode()):
            self.left_out_count += 1

    def flush(self) -> None:
        """Do nothing; only the rest of a partly written line is buffered."""

    def _write_pending(self, content: bytes) -> bool:
        """Write buffered bytes, then `content`.

        Returns:
            Whether `content` was written, with any rest buffered; without
            content, whether the buffer is empty.
        """
        pending = self._unwritten + content
        if not pending:
            return True
        try:
            written = os.write(self._descriptor, pending)
        except BlockingIOError:
            written = 0
        except OSError:
            return False  # the reader is gone; the caller counts the line
        if not written and content:
            return False
        self._unwritten = pending[written:][:MAX_BUFFERED_BYTES]
        return not self._unwritten or bool(content)


_handlers: list[logbook.Handler] = []  # set by `configure`


def configure(
    *, level: str = "INFO", stream: TextIO | BoundedStream | None = None
) -> None:
    """Configure logging to write events at `level` and above to `stream`.

    Args:
        level: Lowest level to write.
        stream: Destination, standard error if None.
    """
    handler = logbook.StreamHandler(
        stream or sys.stderr, level=level, format_string=_LINE
    )
    handler.push_application()
    _handlers.append(handler)


def set_level(level: str) -> None:
    """Set the lowest level that is written from now on."""
    for handler in _handlers:
        handler.level = logbook.lookup_level(level)
