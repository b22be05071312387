"""Task that orders release notes by proposing them to the decision log.

Every entry follows the configuration stream, so that the entry next in rank
can take over if the first one is paused or partitioned. A second proposal of
the same record has no effect.
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

READ_WAIT_S = 2.0
RETRY_INTERVAL_S = 0.2
POLL_INTERVAL_S = 0.05
TAKEOVER_DELAY_S = 1.0
PROPOSE_TIMEOUT_S = 10.0
MAX_RECORDS_PER_READ = 50
FAILOVER_KEY = "adopter"


class Adopter(tasks.Task):
    """Follow the configuration stream and propose its records in order.

    Args:
        replica: Replica that commits the proposals and holds the state.
        log_client: Client of the log service.
        get_rank: Returns this entry's rank for a key, 0 for the first.
        metrics: Receiver of counters.
    """

    def __init__(
        self,
        *,
        replica: replicas.Replica,
        log_client: client.LogClient,
        get_rank: Callable[[str], int],
        metrics: metric_values.Metrics,
    ):
        super().__init__(name="adopter")
        self._replica = replica
        self._client = log_client
        self._metrics = metrics
        self._failover_timer = failover.FailoverTimer(
            key=FAILOVER_KEY,
            get_rank=get_rank,
            takeover_delay_s=TAKEOVER_DELAY_S,
        )

    def run(self) -> None:
        """Propose new records in order whenever this entry is due to act."""
        while not self.is_stopping:
            if not self._replica.is_following:
                self.sleep(RETRY_INTERVAL_S)
                continue
            self._adopt_next_page()

    def _adopt_next_page(self) -> None:
        wanted = self._replica.state.core["config_offset"]
        page = self._client.read(
            records.CONFIGURATION,
            offset=wanted,
            limit=MAX_RECORDS_PER_READ,
            wait_s=READ_WAIT_S,
        )
        if errors.is_refusal(page):
            self._metrics.count(f"adopter.retried.{page.kind.value}")
            self.sleep(RETRY_INTERVAL_S)
            return
        if page.next < wanted:
            self._metrics.count("adopter.went_back")
            self.log.error(
                "configuration_went_back", next=page.next, wanted=wanted
            )
            self.sleep(READ_WAIT_S)
            return
        missing = client.count_lapsed_records(page, wanted)
        if missing:
            self._report_lapsed(wanted, missing)
        while self._replica.is_following and not self.is_stopping:
            unadopted = self._list_unadopted(page)
            is_due = self._failover_timer.is_due(
                pending=bool(unadopted),
                progress=self._replica.state.core["config_offset"],
                now=time.monotonic(),
            )
            if not unadopted:
                return
            if is_due:
                self._propose_records(unadopted, missing)
                return
            gevent.sleep(POLL_INTERVAL_S)

    def _list_unadopted(self, page: client.Page) -> list[client.Record]:
        next_offset = self._replica.state.core["config_offset"]
        return [
            record for record in page.records if record.offset >= next_offset
        ]

    def _report_lapsed(self, wanted: int, missing: int) -> None:
        """Report that records expired in the log before they were adopted."""
        self._metrics.count("adopter.lapsed", missing)
        self.log.error("configuration_lapsed", wanted=wanted, missing=missing)

    def _propose_records(
        self, unadopted: list[client.Record], missing: int
    ) -> None:
        items = [
            records.Item(
                "adopt", _build_body(record, follows_gap=bool(missing))
            )
            for record in unadopted
        ]
        outcomes = self._replica.propose(items, timeout_s=PROPOSE_TIMEOUT_S)
        if errors.is_refusal(outcomes):
            self._metrics.count(f"adopter.refused.{outcomes.kind.value}")
            return
        for outcome in outcomes:
            if errors.is_refusal(outcome):
                self._metrics.count(f"adopter.void.{outcome.kind.value}")


def _build_body(record: client.Record, *, follows_gap: bool) -> records.Adopt:
    value = frames.decode(record.content)
    note = value if errors.is_refusal(value) else notes.parse_note(value)
    return records.Adopt(
        config_offset=record.offset,
        note=None if errors.is_refusal(note) else note,
        skips_lapsed=follows_gap,
    )
