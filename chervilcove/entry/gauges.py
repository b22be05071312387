"""Task that sends system-wide metrics, on one responsible entry only."""

from collections.abc import Callable

from chervilcove.core import errors
from chervilcove.core import logs
from chervilcove.core import metrics as metric_values
from chervilcove.core import tasks
from chervilcove.entry import fragmentation
from chervilcove.entry import held_back
from chervilcove.journal import machine
from chervilcove.journal import replica as replicas
from chervilcove.journal import state as states

SEND_INTERVAL_S = 5.0
FAILOVER_KEY = "gauges"


class Gauges(tasks.Task):
    """Send completion times, fragmentation, completed work and jobs held back.

    Every entry applies every record, so only the entry responsible for
    `FAILOVER_KEY` sends; otherwise each value would be counted several times.

    Args:
        replica: Replica that holds the state.
        is_owner: Returns whether this entry is responsible for a key.
        metrics: Receiver of the metrics.
        log: Log for customers that reach their maximum.
    """

    def __init__(
        self,
        *,
        replica: replicas.Replica,
        is_owner: Callable[[str], bool],
        metrics: metric_values.Metrics,
        log: logs.Log,
    ):
        super().__init__(name="gauges")
        self._replica = replica
        self._is_owner = is_owner
        self._metrics = metrics
        self._held_back = held_back.HeldBackLog(log=log, metrics=metrics)
        replica.subscribe(self._handle_applied)

    def run(self) -> None:
        """Send the gauges every `SEND_INTERVAL_S`."""
        while not self.is_stopping:
            if self._replica.is_following and self._is_owner(FAILOVER_KEY):
                self._send_gauges()
            self.sleep(SEND_INTERVAL_S)

    def _send_gauges(self) -> None:
        state = self._replica.state
        free_count = fragmentation.count_free_accelerators(state.pool)
        fragmented_share = fragmentation.compute_fragmentation(
            state.pool, [job.spec for job in state.list_queue()]
        )
        at_risk = len(state.pool.list_guarantees_at_risk())
        self._metrics.set_gauge("pool.free_accelerators", free_count)
        self._metrics.set_gauge("pool.fragmentation", fragmented_share)
        self._metrics.set_gauge("pool.guarantees_at_risk", at_risk)
        self._held_back.record(held_back.count_jobs(state))

    def _handle_applied(self, applied: machine.AppliedRecord) -> None:
        if not self._replica.is_following or not self._is_owner(FAILOVER_KEY):
            return
        for done in applied.events:
            if done.item.kind == "ended" and not errors.is_refusal(
                done.outcome
            ):
                self._record_completion(done.item.body)

    def _record_completion(self, body) -> None:
        job = self._replica.state.core["jobs"].get(body["job"])
        if job is None or body["outcome"] != "completed":
            return
        urgency = job["spec"]["urgency"]
        elapsed_s = job["finished_at"] - job["submitted_at"]
        self._metrics.record_time(f"jobs.completion.{urgency}", elapsed_s)
        wait_s = _get_first_placement_time(job) - job["submitted_at"]
        self._metrics.record_time(f"jobs.wait.{urgency}", wait_s)
        self._metrics.count("pool.work_done", int(job["attained"]))


def _get_first_placement_time(job: states.Job) -> float:
    for event in job["history"]:
        if event.event == "place":
            return event.time
    return job["submitted_at"]
