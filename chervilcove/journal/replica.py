"""Replica of the state, which follows the decision stream and proposes items.

One greenlet follows the stream and applies each record, another appends
proposals. The outcome of a proposal is the result of the state machine when
its record is applied here, also if the append itself got no answer.

A replica restores the newest whole snapshot if its next record is past
retention, or if its digest at a mark differs from that of most replicas.
"""

from collections.abc import Callable
import time
from typing import Any
from typing import NamedTuple

import gevent
from gevent import event

from chervilcove.core import errors
from chervilcove.core import identifiers
from chervilcove.core import logs
from chervilcove.core import metrics as metric_values
from chervilcove.journal import appender
from chervilcove.journal import client
from chervilcove.journal import conf
from chervilcove.journal import jobs
from chervilcove.journal import machine
from chervilcove.journal import marks
from chervilcove.journal import records
from chervilcove.journal import restorer
from chervilcove.journal import state as states


class LocalMark(NamedTuple):
    """State of this replica at the latest mark that it applied.

    Attributes:
        offset: Offset of the mark, -1 for none.
        digest: Digest of the state after the mark.
        content: The encoded state after the mark; empty once a snapshot of
            it or of a later one is in the log.
        is_computed: Whether the digest was computed from applied records; if
            not, it was read from a snapshot.
    """

    offset: int = -1
    digest: str = ""
    content: bytes = b""
    is_computed: bool = False


class Replica:
    """Holds the replicated state and keeps it up to date.

    Args:
        log_client: Client of the log service.
        incarnation: Identifier of this process start, never reused.
        metrics: Receiver of counters.

    Attributes:
        state: The replicated state; the object is never replaced.
        is_following: Whether the latest read reached the head of the stream.
        is_diverged: Whether replicas computed different digests at the
            latest mark.
        local_mark: State of this replica at the latest mark.
    """

    def __init__(
        self,
        *,
        log_client: client.LogClient,
        incarnation: str,
        metrics: metric_values.Metrics,
    ):
        self.state = states.State()
        self.incarnation = incarnation
        self.is_following = False
        self._last_read = time.monotonic()
        self.is_diverged = False
        self.local_mark = LocalMark()
        self._client = log_client
        self._metrics = metrics
        self._log = logs.Log(source="replica")
        self._subscribers: list[Callable[[machine.AppliedRecord], None]] = []
        self._appender = appender.Appender(
            log_client=log_client, incarnation=incarnation, metrics=metrics
        )
        self._advanced = event.Event()
        self._greenlets: list[gevent.Greenlet] = []
        self._restorer = restorer.Restorer(
            log_client=log_client, metrics=metrics
        )

    @property
    def restarts(self) -> dict[str, int]:
        """Return the number of restarts from a snapshot by reason."""
        return dict(self._restorer.restarts)

    def start(self) -> None:
        """Start the greenlets that follow the stream and append to it."""
        self.is_following = False
        self._greenlets = [
            gevent.spawn(self._follow),
            gevent.spawn(self._appender.run),
        ]

    def stop(self) -> None:
        """Stop both greenlets."""
        gevent.killall(self._greenlets)

    def subscribe(
        self, callback: Callable[[machine.AppliedRecord], None]
    ) -> None:
        """Call `callback` after each applied record; it must not block."""
        self._subscribers.append(callback)

    def set_append_share(self, entry_count: int) -> None:
        """Limit the append rate to the log's limit divided by `entries`."""
        self._appender.interval_s = max(entry_count, 1) / conf.LOG_APPENDS_PER_S

    def propose(
        self,
        items: list[records.Item],
        *,
        timeout_s: float,
        withdraw_on_timeout: bool = True,
    ) -> list[Any] | errors.Refusal:
        """Append `items` and return the outcome of each.

        Args:
            items: Items of one record.
            timeout_s: Maximum time to wait for the outcomes.
            withdraw_on_timeout: Whether items that have not been sent yet are
                removed from the queue after that time.

        Returns:
            One outcome for each item; `TOO_LARGE`, `QUEUE_FULL` or
            `LOG_UNAVAILABLE` if the items are not in the log and never will
            be; `OUTCOME_UNKNOWN` if they may still be applied.
        """
        proposal = appender.Proposal(items=items)
        refusal = self._appender.enqueue(proposal)
        if refusal is not None:
            return refusal
        try:
            proposal.result.wait(timeout=timeout_s)
        finally:
            is_withdrawn = (
                withdraw_on_timeout
                and not proposal.result.ready()
                and self._appender.withdraw(proposal)
            )
        if proposal.result.ready():
            return proposal.result.get()
        if is_withdrawn:
            return errors.refuse(
                errors.Kind.LOG_UNAVAILABLE, "no append before the timeout"
            )
        return errors.refuse(
            errors.Kind.OUTCOME_UNKNOWN, "no outcome before the timeout"
        )

    def catch_up_decisions(self, *, timeout_s: float) -> errors.Refusal | None:
        """Wait until the decision stream is applied up to its present head.

        Returns:
            None once it is applied; the refusal of the log client, or
            `STATE_BEHIND` after the timeout.
        """
        with gevent.Timeout(timeout_s, False):
            head = self._client.read_head(records.DECISIONS)
            if errors.is_refusal(head):
                return head
            while self.state.core["offset"] < head.next - 1:
                advanced = self._advanced
                advanced.wait()
            return None
        return errors.refuse(
            errors.Kind.STATE_BEHIND,
            "records were not applied before the timeout",
        )

    def restart(self, reason: str) -> None:
        """Restore the newest whole snapshot before the next read."""
        self._restorer.request_restore(reason)

    def describe(self) -> dict[str, Any]:
        """Return the fields of this replica in the status answer."""
        core = self.state.core
        return {
            "is_following": self.is_following,
            "is_diverged": self.is_diverged,
            "offset": core["offset"],
            "format": core["format"],
            "mark": core["mark"]["offset"],
            "digest": self.local_mark.digest,
            "snapshot": core["snapshot"]["offset"],
            "snapshot_bytes": core["snapshot"]["size"],
            "restarts": self.restarts,
        }

    def catch_up_both_streams(
        self, *, timeout_s: float
    ) -> errors.Refusal | None:
        """Wait until both streams are applied up to their present heads.

        First all notes of the configuration stream have to be adopted, then
        the decision stream is read as by `catch_up_decisions`.

        Returns:
            None once they are applied; the refusal of the log client, or
            `STATE_BEHIND` after the timeout.
        """
        with gevent.Timeout(timeout_s, False):
            head = self._client.read_head(records.CONFIGURATION)
            if errors.is_refusal(head):
                return head
            while self.state.core["config_offset"] < head.next:
                advanced = self._advanced
                advanced.wait()
            return self.catch_up_decisions(timeout_s=timeout_s)
        return errors.refuse(
            errors.Kind.STATE_BEHIND,
            "notes were not adopted before the timeout",
        )

    def get_time_since_read_s(self) -> float:
        """Return the seconds since the last successful read of the log."""
        return time.monotonic() - self._last_read

    def _follow(self) -> None:
        while True:
            try:
                self._follow_once()
            except Exception as error:  # noqa: BLE001
                self.is_following = False
                self._metrics.count("journal.failed.follow")
                self._log.error(
                    "follow_failed", error=type(error).__name__, reason=error
                )
                gevent.sleep(conf.RESTORE_RETRY_S)

    def _follow_once(self) -> None:
        if self._restorer.is_due and not self._restore():
            gevent.sleep(conf.RESTORE_RETRY_S)
            return
        offset = self.state.core["offset"] + 1
        page = self._client.read(
            records.DECISIONS,
            offset=offset,
            limit=conf.READ_RECORDS,
            wait_s=conf.FOLLOW_WAIT_S if self.is_following else 0.0,
        )
        if errors.is_refusal(page):
            self.is_following = False
            self._metrics.count(f"journal.retried.read.{page.kind.value}")
            gevent.sleep(conf.FIRST_BACK_OFF_S)
            return
        self._last_read = time.monotonic()
        if page.next < offset:
            self._handle_lost_tail(page.next, offset)
            return
        missing = client.count_lapsed_records(page, offset)
        if missing:
            self.is_following = False
            self._log.error("records_lapsed", offset=offset, missing=missing)
            self.restart(restorer.GAP)
            return
        self._apply_page(page)
        is_at_head = self.state.core["offset"] >= page.next - 1
        self.is_following = is_at_head and not self._restorer.is_due
        if not page.records and not is_at_head:
            # Reads of the log service lag behind the head that it reports.
            gevent.sleep(conf.FIRST_BACK_OFF_S)

    def _handle_lost_tail(self, next_offset: int, wanted: int) -> None:
        """Stop following a stream that lost records applied here already."""
        self.is_following = False
        self._metrics.count("journal.refused.log_went_back")
        self._log.error("log_went_back", next=next_offset, wanted=wanted)
        gevent.sleep(conf.RESTORE_RETRY_S)

    def _apply_page(self, page: client.Page) -> None:
        last_yield = time.monotonic()
        for record in page.records:
            if self._restorer.is_due:
                return
            if time.monotonic() - last_yield > conf.APPLY_SLICE_S:
                # Lets other greenlets run, which renew leases for instance.
                gevent.sleep(0)
                last_yield = time.monotonic()
            if not machine.is_format_supported(self.state.core):
                self._metrics.count("journal.refused.format")
                raise RuntimeError(
                    f"format level {self.state.core['format']} is not "
                    "supported by this build"
                )
            self._apply(record)

    def _apply(self, record: client.Record) -> None:
        started = time.monotonic()
        applied = machine.apply_record(self.state, record)
        self._metrics.record_time("journal.apply", time.monotonic() - started)
        self._count_outcomes(applied)
        if self.state.core["mark"]["offset"] == record.offset:
            self._process_mark(record.offset)
        if applied.by == self.incarnation and not applied.duplicate:
            outcomes = [each.outcome for each in applied.events]
            self._appender.resolve(applied.sequence, outcomes)
        kinds = {each.item.kind for each in applied.events}
        if "vote" in kinds:
            self._compare_votes()
        if "snapshotted" in kinds:
            self._drop_mark_content()
        self._notify_waiters()
        for callback in self._subscribers:
            self._notify_subscriber(callback, applied)

    def _notify_subscriber(
        self, callback: Callable, applied: machine.AppliedRecord
    ) -> None:
        try:
            callback(applied)
        except Exception as error:  # noqa: BLE001
            self._log.error(
                "subscriber_failed", error=type(error).__name__, reason=error
            )

    def _notify_waiters(self) -> None:
        advanced, self._advanced = self._advanced, event.Event()
        advanced.set()

    def _count_outcomes(self, applied: machine.AppliedRecord) -> None:
        if applied.duplicate:
            self._metrics.count("journal.void.duplicate")
        for each in applied.events:
            if errors.is_refusal(each.outcome):
                kind = each.outcome.kind.value
                self._metrics.count(f"journal.void.{each.item.kind}.{kind}")
            elif isinstance(each.outcome, jobs.PlanOutcome):
                for _, reason in each.outcome.skips:
                    self._metrics.count(f"journal.skipped.plan.{reason}")

    def _process_mark(self, offset: int) -> None:
        started = time.monotonic()
        content = self.state.dump()
        digest = identifiers.digest(content)
        self.local_mark = LocalMark(offset, digest, content, True)
        self.is_diverged = False
        self._metrics.set_gauge("journal.diverged", 0)
        self._metrics.record_time("journal.dump", time.monotonic() - started)
        self._metrics.set_gauge("journal.state_bytes", len(content))

    def _drop_mark_content(self) -> None:
        if self.state.core["snapshot"]["offset"] >= self.local_mark.offset:
            self.local_mark = self.local_mark._replace(content=b"")

    def _compare_votes(self) -> None:
        mark = self.state.core["mark"]
        if not marks.has_divergence(mark) or mark["offset"] != (
            self.local_mark.offset
        ):
            return
        agreed = marks.find_agreed_digest(mark)
        if not self.is_diverged:
            self.is_diverged = True
            self._metrics.count("journal.divergences")
            self._metrics.set_gauge("journal.diverged", 1)
            self._log.error(
                "replicas_diverged",
                mark=mark["offset"],
                mine=self.local_mark.digest,
                agreed=agreed,
                votes=sorted(mark["votes"].items()),
            )
        if agreed and agreed != self.local_mark.digest:
            self._restorer.exclude(mark["offset"], self.local_mark.digest)
            self.restart(restorer.DIVERGED)

    def _restore(self) -> bool:
        """Restore the newest state in the log; return whether it succeeded."""
        restored = self._restorer.restore(self.state.core["offset"])
        if restored is None:
            return False
        core = restored.state.core
        self.state.replace_with(restored.state)
        self.local_mark = LocalMark()
        if restored.digest:
            self.local_mark = LocalMark(core["offset"], restored.digest)
        self.is_diverged = False
        self._appender.resolve_skipped(
            core["sequences"].get(self.incarnation, 0)
        )
        self._notify_waiters()
        return True
