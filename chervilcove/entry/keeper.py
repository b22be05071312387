"""Task that proposes marks, votes, snapshots and format levels.

Every entry runs one and votes with the state digest that it computed at a
mark. The entry first in rank proposes the marks and writes the snapshots;
the next one takes over if the first makes no progress.
"""

from collections.abc import Callable
import time

from chervilcove.core import errors
from chervilcove.core import metrics as metric_values
from chervilcove.core import tasks
from chervilcove.journal import client
from chervilcove.journal import conf
from chervilcove.journal import marks
from chervilcove.journal import records
from chervilcove.journal import replica as replicas
from chervilcove.journal import snapshots
from chervilcove.journal import state as states
from chervilcove.membership import failover

FAILOVER_KEY = "snapshots"


class Keeper(tasks.Task):
    """Keep a recent snapshot in the log.

    Args:
        replica: Replica that commits the proposals and holds the state.
        log_client: Client of the log service.
        get_rank: Returns this entry's rank for a key, 0 for the first.
        get_format: Returns the format level that all live entries support.
        metrics: Receiver of counters.
    """

    def __init__(
        self,
        *,
        replica: replicas.Replica,
        log_client: client.LogClient,
        get_rank: Callable[[str], int],
        get_format: Callable[[], int],
        metrics: metric_values.Metrics,
    ):
        super().__init__(name="keeper")
        self._replica = replica
        self._client = log_client
        self._get_format = get_format
        self._metrics = metrics
        self._last_voted_mark = -1
        self._snapshot_age = _ValueAge()
        self._mark_age = _ValueAge()
        self._failover_timer = failover.FailoverTimer(
            key=FAILOVER_KEY,
            get_rank=get_rank,
            takeover_delay_s=conf.SNAPSHOT_TAKEOVER_DELAY_S,
        )
        self._format_failover_timer = failover.FailoverTimer(
            key="format",
            get_rank=get_rank,
            takeover_delay_s=conf.SNAPSHOT_TAKEOVER_DELAY_S,
        )

    def run(self) -> None:
        """Vote, and propose what is due, every `KEEPER_INTERVAL_S`."""
        while not self.is_stopping:
            if self._replica.is_following:
                self._vote()
                self._maintain_snapshot()
                self._raise_format()
            self.sleep(conf.KEEPER_INTERVAL_S)

    def _vote(self) -> None:
        marked = self._replica.local_mark
        if marked.offset <= self._last_voted_mark or not marked.is_computed:
            return
        vote = records.Vote(
            mark=marked.offset,
            digest=marked.digest,
            by=self._replica.incarnation,
        )
        if not errors.is_refusal(self._propose("vote", vote)):
            self._last_voted_mark = marked.offset

    def _maintain_snapshot(self) -> None:
        core = self._replica.state.core
        now = time.monotonic()
        progress = (core["mark"]["offset"], core["snapshot"]["offset"])
        age_s = self._snapshot_age.update(core["snapshot"]["offset"], now)
        # Log time advances only with new records, but the log expires records
        # by real time, so the age is measured with this entry's clock.
        is_old = age_s >= conf.SECONDS_BETWEEN_SNAPSHOTS
        is_due = self._failover_timer.is_due(
            pending=is_old or needs_snapshot(core), progress=progress, now=now
        )
        if not is_due:
            return
        if not self._has_fresh_mark(core):
            self._propose_mark(core)
        elif self._can_write_snapshot(core["mark"]):
            self._write_snapshot(self._replica.local_mark)

    def _has_fresh_mark(self, core: states.Core) -> bool:
        mark = core["mark"]
        age_s = self._mark_age.update(mark["offset"], time.monotonic())
        if mark["offset"] <= core["snapshot"]["offset"]:
            return False
        if age_s > conf.MARK_LIFETIME_S:
            return False
        marked = self._replica.local_mark
        return marked.offset == mark["offset"] and bool(marked.content)

    def _propose_mark(self, core: states.Core) -> None:
        record_count = core["offset"] - core["snapshot"]["offset"]
        self._propose("mark", records.Mark(records=record_count))

    def _can_write_snapshot(self, mark: states.LatestMark) -> bool:
        if not marks.has_divergence(mark):
            return True
        return marks.find_agreed_digest(mark) == self._replica.local_mark.digest

    def _write_snapshot(self, marked: replicas.LocalMark) -> None:
        parts = snapshots.split(marked.content)
        for index, part in enumerate(parts):
            chunk = snapshots.encode_chunk(
                mark=marked.offset,
                digest=marked.digest,
                index=index,
                count=len(parts),
                part=part,
            )
            if not self._append_chunk(chunk, marked):
                return
            self.sleep(conf.CHUNK_INTERVAL_S)
        note = records.Snapshotted(
            mark=marked.offset,
            digest=marked.digest,
            chunks=len(parts),
            size=len(marked.content),
        )
        if not errors.is_refusal(self._propose("snapshotted", note)):
            self._metrics.count("journal.snapshots")
            self.log.info(
                "snapshot_written", mark=marked.offset, size=note["size"]
            )

    def _append_chunk(self, chunk: bytes, marked: replicas.LocalMark) -> bool:
        """Append `chunk` with retries.

        Returns:
            Whether it was appended. A newer mark or the stop of the task ends
            the retries.
        """
        back_off_s = conf.FIRST_BACK_OFF_S
        while not self.is_stopping:
            if self._replica.local_mark.offset != marked.offset:
                return False
            result = self._client.append(records.SNAPSHOTS, chunk)
            if not errors.is_refusal(result):
                return True
            self._metrics.count(f"journal.retried.chunk.{result.kind.value}")
            self.sleep(back_off_s)
            back_off_s = min(back_off_s * 2, conf.MAX_BACK_OFF_S)
        return False

    def _raise_format(self) -> None:
        level = self._replica.state.core["format"]
        is_due = self._format_failover_timer.is_due(
            pending=self._get_format() > level,
            progress=level,
            now=time.monotonic(),
        )
        if is_due:
            self._propose("format", records.Format(level=level + 1))

    def _propose(self, kind: str, body) -> object:
        outcomes = self._replica.propose(
            [records.Item(kind, body)], timeout_s=conf.PROPOSE_TIMEOUT_S
        )
        outcome = outcomes if errors.is_refusal(outcomes) else outcomes[0]
        if errors.is_refusal(outcome):
            self._metrics.count(f"keeper.refused.{kind}.{outcome.kind.value}")
        return outcome


class _ValueAge:
    """Measure for how long a value has stayed the same."""

    def __init__(self):
        self._value: int | None = None
        self._since = 0.0

    def update(self, value: int, now: float) -> float:
        """Record the current value and return its age in seconds."""
        if value != self._value:
            self._value = value
            self._since = now
        return now - self._since


def needs_snapshot(core: states.Core) -> bool:
    """Return whether the log has grown enough to need a new snapshot.

    The records, bytes and log time since the latest complete snapshot are each
    compared with their limit.
    """
    snapshot = core["snapshot"]
    if core["offset"] - snapshot["offset"] >= conf.RECORDS_BETWEEN_SNAPSHOTS:
        return True
    grown_bytes = core["log_bytes"] - snapshot["log_bytes"]
    if grown_bytes >= conf.BYTES_BETWEEN_SNAPSHOTS:
        return True
    age_s = core["time"] - snapshot["time"]
    has_records = core["offset"] > snapshot["offset"]
    return has_records and age_s >= conf.SECONDS_BETWEEN_SNAPSHOTS
