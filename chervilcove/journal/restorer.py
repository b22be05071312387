"""Restorer of the state that a replica starts or restarts from."""

from typing import NamedTuple

import gevent

from chervilcove.core import errors
from chervilcove.core import logs
from chervilcove.core import metrics as metric_values
from chervilcove.journal import client
from chervilcove.journal import conf
from chervilcove.journal import machine
from chervilcove.journal import records
from chervilcove.journal import snapshots
from chervilcove.journal import state as states

GAP = "gap"
DIVERGED = "diverged"


class RestoredState(NamedTuple):
    """State that a replica starts from.

    Attributes:
        state: The state.
        digest: Digest of the snapshot that held it, empty for none.
    """

    state: states.State
    digest: str


class Restorer:
    """Restores the state of one replica from snapshots.

    Args:
        log_client: Client of the log service.
        metrics: Receiver of counters.

    Attributes:
        is_due: Whether the replica must restore before its next read.
        restarts: Number of restores while it was running, by reason.
    """

    def __init__(
        self,
        *,
        log_client: client.LogClient,
        metrics: metric_values.Metrics,
    ):
        self.is_due = True
        self.restarts: dict[str, int] = {}
        self._client = log_client
        self._metrics = metrics
        self._log = logs.Log(source="restorer")
        self._reason = ""
        self._excluded: frozenset[tuple[int, str]] = frozenset()

    def request_restore(self, reason: str) -> None:
        """Request a restore from the newest whole snapshot."""
        self._reason = reason
        self.is_due = True

    def exclude(self, mark: int, digest: str) -> None:
        """Exclude the snapshot of `mark` with this digest from restores."""
        self._excluded |= {(mark, digest)}

    def restore(self, offset: int) -> RestoredState | None:
        """Return the newest usable state in the log.

        Args:
            offset: Offset of the latest record that the replica has applied.

        Returns:
            The state; None if there is none now and the caller should try
            again later.
        """
        if self._reason == DIVERGED:
            gevent.sleep(self._get_restart_delay_s())
        snapshot = snapshots.read_newest(self._client, excluded=self._excluded)
        if errors.is_refusal(snapshot):
            self._metrics.count(
                f"journal.retried.restore.{snapshot.kind.value}"
            )
            return None
        if snapshot is None:
            return self._start_empty()
        loaded = _load_state(snapshot)
        if loaded is None:
            self.exclude(snapshot.mark, snapshot.digest)
            self._metrics.count("journal.ignored.snapshot")
            self._log.error("snapshot_unreadable", mark=snapshot.mark)
            return None
        if self._reason == GAP and snapshot.mark <= offset:
            self._log.error("snapshot_too_old", mark=snapshot.mark)
            self._metrics.count("journal.refused.snapshot_too_old")
            return None
        return self._finish(RestoredState(loaded, snapshot.digest))

    def _start_empty(self) -> RestoredState | None:
        """Return the empty state if no record is past retention."""
        head = self._client.read_head(records.DECISIONS)
        if errors.is_refusal(head):
            return None
        if head.first > 0:
            self._metrics.count("journal.refused.no_snapshot")
            self._log.error("snapshot_missing", first=head.first)
            return None
        return self._finish(RestoredState(states.State(), ""))

    def _finish(self, restored: RestoredState) -> RestoredState:
        reason = self._reason
        if reason:
            self.restarts[reason] = self.restarts.get(reason, 0) + 1
            self._metrics.count(f"journal.restarted.{reason}")
            self._log.warn(
                "replica_restarted",
                reason=reason,
                offset=restored.state.core["offset"],
            )
        self._reason = ""
        self.is_due = False
        return restored

    def _get_restart_delay_s(self) -> float:
        exponent = min(self.restarts.get(DIVERGED, 0), 10)
        return min(
            conf.RESTORE_RETRY_S * 2**exponent, conf.LONGEST_RESTART_DELAY_S
        )


def _load_state(snapshot: snapshots.Snapshot) -> states.State | None:
    core = states.load_core(snapshot.content)
    if errors.is_refusal(core) or core["offset"] != snapshot.mark:
        return None
    if not machine.is_format_supported(core):
        return None
    loaded = states.State(core=core)
    return loaded if loaded.compute_digest() == snapshot.digest else None
