"""The adopter: gives notes of the configuration stream their place.

Every entry runs one and follows the stream, so that the next in rank can
step in where the first is paused or cut off. A second proposal of the same
record is void.
"""

from collections.abc import Callable
import time

import gevent

from chervilcove.core import errors
from chervilcove.core import frames
from chervilcove.core import metrics as metric_values
from chervilcove.core import tasks
from chervilcove.customers import notes
from chervilcove.journal import client
from chervilcove.journal import records
from chervilcove.journal import replica as replicas
from chervilcove.membership import failover

WAIT_S = 2.0
RETRY_S = 0.2
STEP_S = 0.05
PATIENCE_S = 1.0
PROPOSE_TIMEOUT_S = 10.0
READ_RECORDS = 50
DUTY = "adopter"


class Adopter(tasks.Task):
    """Follow the configuration stream and propose its records in order.

    Args:
        replica: The replica.
        log_client: Client of the log service.
        rank: Gives this entry's rank for a duty.
        metrics: Receiver of counters.
    """

    def __init__(
        self,
        *,
        replica: replicas.Replica,
        log_client: client.LogClient,
        rank: Callable[[str], int],
        metrics: metric_values.Metrics,
    ):
        super().__init__(name="adopter")
        self._replica = replica
        self._client = log_client
        self._metrics = metrics
        self._duty = failover.FailoverTimer(
            name=DUTY, rank=rank, patience_s=PATIENCE_S
        )

    def run(self) -> None:
        """Propose new records, in order, while this entry has the duty."""
        while not self.is_stopping:
            if not self._replica.is_following:
                self.rest(RETRY_S)
                continue
            self._look()

    def _look(self) -> None:
        wanted = self._replica.state.core["config_offset"]
        page = self._client.read(
            records.CONFIGURATION,
            offset=wanted,
            limit=READ_RECORDS,
            wait_s=WAIT_S,
        )
        if errors.is_refusal(page):
            self._metrics.count(f"adopter.retried.{page.kind.value}")
            self.rest(RETRY_S)
            return
        if page.next < wanted:
            self._metrics.count("adopter.went_back")
            self.log.error(
                "configuration_went_back", next=page.next, wanted=wanted
            )
            self.rest(WAIT_S)
            return
        missing = client.find_gap(page, wanted)
        if missing:
            self._report_lapsed(wanted, missing)
        while self._replica.is_following and not self.is_stopping:
            left = self._list_left(page)
            is_due = self._duty.is_due(
                pending=bool(left),
                progress=self._replica.state.core["config_offset"],
                now=time.monotonic(),
            )
            if not left:
                return
            if is_due:
                self._adopt(left, missing)
                return
            gevent.sleep(STEP_S)

    def _list_left(self, page: client.Page) -> list[client.Record]:
        next_offset = self._replica.state.core["config_offset"]
        return [one for one in page.records if one.offset >= next_offset]

    def _report_lapsed(self, wanted: int, missing: int) -> None:
        """Tell operators that records lapsed before they were adopted."""
        self._metrics.count("adopter.lapsed", missing)
        self.log.error("configuration_lapsed", wanted=wanted, missing=missing)

    def _adopt(self, left: list[client.Record], missing: int) -> None:
        items = [
            records.Item("adopt", _build_body(record, is_late=bool(missing)))
            for record in left
        ]
        outcomes = self._replica.propose(items, timeout_s=PROPOSE_TIMEOUT_S)
        if errors.is_refusal(outcomes):
            self._metrics.count(f"adopter.refused.{outcomes.kind.value}")
            return
        for outcome in outcomes:
            if errors.is_refusal(outcome):
                self._metrics.count(f"adopter.void.{outcome.kind.value}")


def _build_body(record: client.Record, *, is_late: bool) -> records.Adopt:
    value = frames.decode(record.content)
    note = value if errors.is_refusal(value) else notes.parse_note(value)
    return records.Adopt(
        config_offset=record.offset,
        note=None if errors.is_refusal(note) else note,
        skips_lapsed=is_late,
    )
