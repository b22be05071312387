"""Settings that change while an entry runs.

The platform rewrites the settings file and then sends SIGHUP; the file may
also change without a signal. docs/design/settings.md gives the rules.
"""

from collections.abc import Callable
import hashlib
import os
import stat
import time
from typing import Any
from typing import NamedTuple

from gevent import event
from gevent import hub

from chervilcove.conf import core as conf
from chervilcove.conf import global_settings
from chervilcove.core import metrics as metric_values
from chervilcove.core import tasks

LOOK_INTERVAL_S = 1.0
# Signals that come faster share one read.
MIN_PAUSE_S = 0.1
# Reading takes 14 µs of processor time a byte. A file with all settings and
# their comments has below 5 KB.
MAX_FILE_BYTES = 32_768
# Two writes of equal size may have the same modification time if they follow
# each other within a tick of the file system's clock. A younger file is read
# again.
SETTLED_S = 2.0
MAX_LOGGED_LINES = 5
MAX_LOGGED_CHARACTERS = 300
VERBOSITY = ("DEBUG", "INFO", "WARNING", "ERROR")

APPLICABLE = frozenset(
    {
        "log_level",
        "entry.drain_s",
        "fleet.reclaim_ms",
        "fleet.stop_ms",
        "fleet.save_s",
        "fleet.restore_ms",
        "fleet.reserves_for_gangs",
        "fleet.holds_lowest_starts",
        "fleet.orders_by_share",
        "fleet.config_apply_ms",
        "fleet.config_stretch_ms",
        "fleet.processor_share",
        "fleet.processor_speed",
        "fleet.memory_mb",
        "fleet.max_fds",
        "fleet.link_mbps",
    }
)


class Change(NamedTuple):
    """A setting whose value in the file is not the one in force."""

    name: str
    before: Any
    after: Any


class _Look(NamedTuple):
    """What one look at the file found.

    Attributes:
        signature: Modification time, size and inode; None if unknown or if
            the file must be read again.
        content: Content, None if it was not read or can't be.
        problem: Why it can't be read, empty if it can.
    """

    signature: tuple[int, int, int] | None
    content: bytes | None = None
    problem: str = ""


Loader = Callable[[bytes], tuple[global_settings.Settings | None, list[str]]]


class SettingsWatcher(tasks.Task):
    """Read the settings file when it changes, and apply what can be applied.

    Args:
        path: Path of the file.
        settings: Settings in force.
        load: Takes the content of the file; returns the checked settings, or
            None and a line for each error. It runs in another thread.
        apply: Applies settings to the running entry, without waiting.
        metrics: Metrics of the entry.
    """

    def __init__(
        self,
        *,
        path: str,
        settings: global_settings.Settings,
        load: Loader,
        apply: Callable[[global_settings.Settings], None],
        metrics: metric_values.Metrics,
    ):
        super().__init__(name="settings")
        self._path = path
        self._load = load
        self._apply = apply
        self._metrics = metrics
        self._in_force = settings
        # The file may have changed since the start read it, so that the first
        # look reads it whatever its signature is.
        self._signature: tuple[int, int, int] | None = None
        self._digest = b""  # of the newest content, or why it can't be read
        self._is_refused = False
        self._pending: list[Change] = []
        self._signals = 0
        self._signalled = event.Event()

    def request_reload(self) -> None:
        """Read the file as soon as possible; called for each SIGHUP."""
        if self.is_stopping:
            self.log.info("settings_not_reloaded", reason="the entry stops")
            return
        self._signals += 1
        self._signalled.set()

    def stop(self, *, timeout_s: float = 0.0) -> None:
        """Stop immediately; a file that is being read is not applied."""
        del timeout_s
        self.kill()

    def run(self) -> None:
        """Look at the file at intervals and on request, until stopped."""
        while not self.is_stopping:
            self._signalled.wait(timeout=LOOK_INTERVAL_S)
            self._signalled.clear()
            signals, self._signals = self._signals, 0
            self.check(signals=signals)
            self.sleep(MIN_PAUSE_S)

    def check(self, *, signals: int = 0) -> None:
        """Read the file if it may have changed, and apply new content.

        Args:
            signals: SIGHUPs since the last check. With any, the file is read
                whatever its modification time is.
        """
        known = None if signals else self._signature
        pool = hub.get_hub().threadpool
        look = pool.apply(_read_file, (self._path, known))
        self._signature = look.signature
        if look.content is None and not look.problem:
            return
        digest = hashlib.sha256(look.content or look.problem.encode()).digest()
        applied = 0
        if digest != self._digest:
            lines = [look.problem]
            settings = None
            if look.content is not None:
                settings, lines = pool.apply(self._parse, (look.content,))
            if self.is_stopping:
                return
            self._digest = digest
            if settings is None:
                self._refuse(lines)
            else:
                applied = self._apply_settings(settings)
        if signals:
            self.log.info(
                "settings_reloaded",
                signals=signals,
                applied=applied,
                pending=len(self._pending),
            )

    def _parse(
        self, content: bytes
    ) -> tuple[global_settings.Settings | None, list[str]]:
        try:
            return self._load(content)
        except Exception as error:  # noqa: BLE001
            # For example, nesting that is too deep for the parser.
            return None, [f"{type(error).__name__}: {error}"]

    def _refuse(self, lines: list[str]) -> None:
        self._is_refused = True
        self._metrics.count("settings.refused")
        self.log.warn(
            "settings_refused",
            path=self._path,
            errors=len(lines),
            reason="; ".join(lines[:MAX_LOGGED_LINES])[:MAX_LOGGED_CHARACTERS],
        )

    def _apply_settings(self, settings: global_settings.Settings) -> int:
        """Apply new settings; return how many values were applied."""
        if self._is_refused:
            self._is_refused = False
            self.log.info("settings_accepted", path=self._path)
        changes = list_changes(self._in_force, settings)
        applied = [one for one in changes if one.name in APPLICABLE]
        pending = [one for one in changes if one.name not in APPLICABLE]
        # The lines are written at the more verbose of both levels.
        is_quieter = VERBOSITY.index(settings["log_level"]) > VERBOSITY.index(
            self._in_force["log_level"]
        )
        if is_quieter:
            self._record(applied, pending)
        if applied:
            in_force = merge_settings(self._in_force, applied)
            self._apply(in_force)
            self._in_force = in_force
        if not is_quieter:
            self._record(applied, pending)
        return len(applied)

    def _record(self, applied: list[Change], pending: list[Change]) -> None:
        for change in applied:
            self._metrics.count("settings.applied")
            self.log.info("setting_applied", **change._asdict())
        if pending != self._pending:
            self._pending = pending
            self._metrics.set_gauge("settings.pending", len(pending))
            self.log.warn(
                "settings_need_restart",
                names=",".join(change.name for change in pending),
            )


def list_changes(
    before: global_settings.Settings, after: global_settings.Settings
) -> list[Change]:
    """Return the settings whose values differ, in order of declaration."""
    changes = []
    for setting in conf.list_settings():
        values: list[Any] = [before, after]
        for key in setting.path:
            values = [value[key] for value in values]
        if values[0] != values[1]:
            changes.append(Change(setting.dotted, *values))
    return changes


def merge_settings(
    settings: global_settings.Settings, changes: list[Change]
) -> global_settings.Settings:
    """Return a copy of the settings with some changes."""
    merged: Any = {
        name: dict(value) if isinstance(value, dict) else value
        for name, value in settings.items()
    }
    for change in changes:
        *sections, key = change.name.split(".")
        target = merged
        for section in sections:
            target = target[section]
        target[key] = change.after
    return merged


def _read_file(path: str, known: tuple[int, int, int] | None) -> _Look:
    """Read a file unless it has a known signature; runs in another thread."""
    try:
        # A pipe without a writer would block a reader that waits for it.
        descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
        with open(descriptor, "rb") as file:
            status = os.fstat(descriptor)
            if not stat.S_ISREG(status.st_mode):
                return _Look(None, problem=f"{path}: not a regular file")
            signature = (status.st_mtime_ns, status.st_size, status.st_ino)
            if signature == known:
                return _Look(signature)
            content = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        return _Look(None, problem=f"{path}: {error.strerror}")
    if len(content) > MAX_FILE_BYTES:
        return _Look(
            signature, problem=f"{path}: more than {MAX_FILE_BYTES} bytes"
        )
    is_settled = time.time() - status.st_mtime > SETTLED_S
    return _Look(signature if is_settled else None, content)
