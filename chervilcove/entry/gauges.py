"""The quantities that users measure, sent by the entry that has the duty."""

from collections.abc import Callable

from chervilcove.core import errors
from chervilcove.core import metrics as metric_values
from chervilcove.core import tasks
from chervilcove.entry import fragmentation
from chervilcove.journal import machine
from chervilcove.journal import replica as replicas
from chervilcove.journal import state as states

PERIOD_S = 5.0
DUTY = "gauges"


class Gauges(tasks.Task):
    """Send completion times, fragmentation and work done.

    Every entry sees every record, so only the one with the duty sends.

    Args:
        replica: The replica.
        is_owner: Tells whether this entry has a duty.
        metrics: Receiver.
    """

    def __init__(
        self,
        *,
        replica: replicas.Replica,
        is_owner: Callable[[str], bool],
        metrics: metric_values.Metrics,
    ):
        super().__init__(name="gauges")
        self._replica = replica
        self._is_owner = is_owner
        self._metrics = metrics
        replica.subscribe(self._receive)

    def run(self) -> None:
        """Send the gauges once every `PERIOD_S`."""
        while not self.is_stopping:
            if self._replica.is_following and self._is_owner(DUTY):
                self._send_gauges()
            self.rest(PERIOD_S)

    def _send_gauges(self) -> None:
        state = self._replica.state
        free = fragmentation.count_free(state.pool)
        share = fragmentation.compute_share(
            state.pool, [job.spec for job in state.list_queue()]
        )
        at_risk = len(state.pool.list_guarantees_at_risk())
        self._metrics.set_gauge("pool.free_accelerators", free)
        self._metrics.set_gauge("pool.fragmentation", share)
        self._metrics.set_gauge("pool.guarantees_at_risk", at_risk)

    def _receive(self, applied: machine.Applied) -> None:
        if not self._replica.is_following or not self._is_owner(DUTY):
            return
        for done in applied.events:
            if done.item.kind == "ended" and not errors.is_refusal(
                done.outcome
            ):
                self._record_end(done.item.body)

    def _record_end(self, body) -> None:
        job = self._replica.state.core["jobs"].get(body["job"])
        if job is None or body["outcome"] != "completed":
            return
        urgency = job["spec"]["urgency"]
        elapsed_s = job["finished_at"] - job["submitted_at"]
        self._metrics.record_time(f"jobs.completion.{urgency}", elapsed_s)
        wait_s = _find_first_placement(job) - job["submitted_at"]
        self._metrics.record_time(f"jobs.wait.{urgency}", wait_s)
        self._metrics.count("pool.work_done", int(job["attained"]))


def _find_first_placement(job: states.Job) -> float:
    for step in job["history"]:
        if step.event == "place":
            return step.time
    return job["submitted_at"]
