"""Appender of proposals to the decision stream, one record in flight.

A record carries the incarnation of its appender and a sequence number, and
replay ignores a second copy. An append whose answer is lost is therefore
retried with unchanged content until the replica has applied the record; only
then is the next record sent. Proposals queued meanwhile share the next record
(group commit), so that the backlog of a long outage needs few appends.
"""

import random
import time
from typing import Any

import gevent
from gevent import event

from chervilcove.core import errors
from chervilcove.core import logs
from chervilcove.core import metrics as metric_values
from chervilcove.journal import client
from chervilcove.journal import conf
from chervilcove.journal import records

# Kinds of refusal that guarantee that the record is not in the log.
_NOT_APPENDED = (errors.Kind.LOG_UNAVAILABLE, errors.Kind.CONNECT_FAILED)


class Proposal:
    """Items to append in one record, with a future for their outcomes.

    Attributes:
        items: The items.
        result: Resolves to a list with one outcome for each item, or to a
            refusal of all of them.
        is_sent: Whether a record with the items may be in the log.
        is_abandoned: Whether the proposer no longer waits for the result.
    """

    def __init__(self, *, items: list[records.Item]):
        self.items = items
        self.result: event.AsyncResult = event.AsyncResult()
        self.is_sent = False
        self.is_abandoned = False


class Appender:
    """Appends queued proposals to the decision stream in order.

    Args:
        log_client: Client of the log service.
        incarnation: Identifier of this process start, never reused.
        metrics: Receiver of counters.

    Attributes:
        interval_s: Minimum time between two appends.
    """

    def __init__(
        self,
        *,
        log_client: client.LogClient,
        incarnation: str,
        metrics: metric_values.Metrics,
    ):
        self.interval_s = 1.0 / conf.LOG_APPENDS_PER_S
        self._client = log_client
        self._incarnation = incarnation
        self._metrics = metrics
        self._log = logs.Log(source="appender")
        self._random = random.Random(incarnation)
        self._queue: dict[int, Proposal] = {}
        self._has_proposals = event.Event()
        self._sequence = 0
        self._in_flight: tuple[int, event.AsyncResult] | None = None
        self._last_append = 0.0
        self._failures = 0

    def enqueue(self, proposal: Proposal) -> errors.Refusal | None:
        """Queue `proposal`.

        Returns:
            None; `TOO_LARGE` if the proposal alone exceeds the size limit of
            a record, or `QUEUE_FULL`.
        """
        if len(self._encode([proposal])) > conf.RECORD_BYTES:
            self._metrics.count("journal.refused.too_large")
            return errors.refuse(errors.Kind.TOO_LARGE, "record is too large")
        if len(self._queue) >= conf.PROPOSALS_LIMIT:
            self._metrics.count("journal.refused.queue_full")
            return errors.refuse(errors.Kind.QUEUE_FULL, "too many proposals")
        self._queue[id(proposal)] = proposal
        self._has_proposals.set()
        return None

    def withdraw(self, proposal: Proposal) -> bool:
        """Remove `proposal` from the queue.

        Returns:
            Whether it was removed; False if it may be in the log.
        """
        proposal.is_abandoned = True
        if proposal.is_sent or self._queue.pop(id(proposal), None) is None:
            return False
        self._metrics.count("journal.withdrawn")
        return True

    def resolve(self, sequence: int, outcomes: Any) -> None:
        """Set the outcomes of the record in flight, if it is `sequence`."""
        if self._in_flight is None:
            return
        awaited, result = self._in_flight
        if awaited == sequence and not result.ready():
            result.set(outcomes)

    def resolve_skipped(self, sequence: int) -> None:
        """Resolve the record in flight if a restored snapshot includes it.

        Its outcomes are unknown, because this replica didn't apply it.

        Args:
            sequence: Latest sequence number of this appender in the snapshot.
        """
        if self._in_flight is None or self._in_flight[0] > sequence:
            return
        refusal = errors.refuse(
            errors.Kind.OUTCOME_UNKNOWN,
            "the record was applied in a snapshot, without its outcomes",
        )
        self.resolve(self._in_flight[0], refusal)

    def run(self) -> None:
        """Append queued proposals until killed."""
        while True:
            try:
                self._run_once()
            except Exception as error:  # noqa: BLE001
                self._log.error(
                    "append_failed", error=type(error).__name__, reason=error
                )
                gevent.sleep(conf.FIRST_BACK_OFF_S)

    def _run_once(self) -> None:
        self._has_proposals.wait()
        self._has_proposals.clear()
        while self._queue:
            self._wait_for_interval()
            self._sequence += 1
            self._append_group()

    def _wait_for_interval(self) -> None:
        remaining_s = self._last_append + self.interval_s - time.monotonic()
        if remaining_s > 0:
            gevent.sleep(remaining_s)

    def _append_group(self) -> None:
        """Append one group of proposals and wait until it is applied.

        The append is retried until the replica has applied the record. While
        no attempt can have put the record into the log, the proposals return
        to the queue between attempts, so that they can be withdrawn; this
        method returns if none is left.
        """
        attempt = 0
        group: list[Proposal] = []
        content = b""
        result: event.AsyncResult = event.AsyncResult()
        self._in_flight = (self._sequence, result)
        while not result.ready():
            if not group:
                group, content = self._pop_group()
                if not group:
                    return
            kind = self._append(content, result)
            if kind in _NOT_APPENDED and attempt == 0:
                self._requeue(group)
                group = []
                # A sequence number is never reused for other content: replay
                # would take the second record for a copy and ignore it.
                self._sequence += 1
                self._in_flight = (self._sequence, result)
                self._back_off(result, self._count_failure())
                continue
            attempt += 1
            apply_wait_s = conf.APPLY_WAIT_S if kind is None else 0.0
            self._back_off(result, attempt, min_wait_s=apply_wait_s)
        self._failures = 0
        _set_results(group, result.get())

    def _count_failure(self) -> int:
        self._failures += 1
        return self._failures

    def _append(
        self, content: bytes, result: event.AsyncResult
    ) -> errors.Kind | None:
        """Append once, or until the replica has applied the record.

        Returns:
            The kind of refusal; None after an answer without a refusal, or if
            the record was applied before the answer arrived.
        """
        self._last_append = time.monotonic()
        call = gevent.spawn(self._client.append, records.DECISIONS, content)
        result.rawlink(lambda _: gevent.spawn(_kill_after_grace, call))
        gevent.wait([call, result], count=1)
        if result.ready() or not call.ready():
            return None
        answer = call.value
        if answer is None or errors.is_refusal(answer):
            kind = answer.kind if answer else errors.Kind.INTERNAL
            self._metrics.count(f"journal.retried.append.{kind.value}")
            return kind
        return None

    def _back_off(
        self,
        result: event.AsyncResult,
        attempt: int,
        *,
        min_wait_s: float = 0.0,
    ) -> None:
        back_off_s = min(
            conf.FIRST_BACK_OFF_S * 2 ** min(attempt - 1, 10),
            conf.MAX_BACK_OFF_S,
        )
        jitter = self._random.uniform(0.5, 1.0)
        result.wait(timeout=max(back_off_s * jitter, min_wait_s))

    def _pop_group(self) -> tuple[list[Proposal], bytes]:
        group: list[Proposal] = []
        size = 0
        for proposal in list(self._queue.values()):
            if group and size + len(proposal.items) > conf.GROUP_ITEMS:
                break
            group.append(proposal)
            size += len(proposal.items)
        content = self._encode(group)
        while len(content) > conf.RECORD_BYTES and len(group) > 1:
            group = group[: len(group) // 2]
            content = self._encode(group)
        for proposal in group:
            proposal.is_sent = True
            del self._queue[id(proposal)]
        return group, content

    def _requeue(self, group: list[Proposal]) -> None:
        for proposal in group:
            proposal.is_sent = False
        remaining = [each for each in group if not each.is_abandoned]
        requeued = {id(proposal): proposal for proposal in remaining}
        self._queue = {**requeued, **self._queue}

    def _encode(self, group: list[Proposal]) -> bytes:
        items = [item for proposal in group for item in proposal.items]
        return records.encode(
            records.Envelope(
                records.FORMAT_VERSION,
                self._incarnation,
                self._sequence,
                items,
            )
        )


def _set_results(group: list[Proposal], outcomes: Any) -> None:
    start = 0
    for proposal in group:
        stop = start + len(proposal.items)
        if errors.is_refusal(outcomes):
            proposal.result.set(outcomes)
        else:
            proposal.result.set(outcomes[start:stop])
        start = stop


def _kill_after_grace(call: gevent.Greenlet) -> None:
    call.join(timeout=conf.APPEND_GRACE_S)
    call.kill(block=False)
