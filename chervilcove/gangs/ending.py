"""End of an attempt: its stop on all workers and the record `ended`."""

from collections.abc import Mapping
import time
from typing import Any
from typing import NamedTuple

import gevent

from chervilcove.core import errors
from chervilcove.core import logs
from chervilcove.core import metrics as metric_values
from chervilcove.customers import schema as customers
from chervilcove.gangs import leases
from chervilcove.gangs import worker_client
from chervilcove.journal import records
from chervilcove.journal import replica as replicas
from chervilcove.journal import state as states

PROPOSE_TIMEOUT_S = 10.0
RETRY_DELAY_S = 0.2


class AttemptEnd(NamedTuple):
    """Describe how and why an attempt ends.

    Attributes:
        outcome: Outcome as in the record `ended`.
        reason: Value of `scheduling.Reason`.
        worker: Worker at fault, empty for none.
    """

    outcome: str
    reason: str
    worker: str = ""


class AttemptEnder:
    """End attempts on their workers and in the log.

    Args:
        replica: Replica that commits records and holds the state.
        client: Client of the workers.
        timing: Durations of leases and calls.
        metrics: Receiver of counters.
    """

    def __init__(
        self,
        *,
        replica: replicas.Replica,
        client: worker_client.WorkerClient,
        timing: leases.Timing,
        metrics: metric_values.Metrics,
    ):
        self._replica = replica
        self._client = client
        self._timing = timing
        self._metrics = metrics
        self._log = logs.Log(source="gangs")

    def end(
        self,
        job: states.Job,
        attempt_end: AttemptEnd,
        *,
        lease: leases.GangLease | None = None,
        extra_items: tuple[records.Item, ...] = (),
    ) -> None:
        """Stop the latest attempt of `job` on all workers, then commit its end.

        A call that a worker does not answer is retried until the lease on
        that worker has expired, unless no task can have started there. An
        attempt whose tasks are all done counts as completed, whatever
        `attempt_end` says.

        Args:
            job: The job.
            attempt_end: Outcome and reason to commit.
            lease: Leases and task reports of the attempt, None if not tracked.
            extra_items: Items to commit in the same record.
        """
        name, attempt = job["spec"]["id"], job["attempt"]
        configured = self._replica.state.core["configuration"]["workers"]
        placed_workers = list_placed_workers(configured, job)
        answers = self._stop_on_workers(placed_workers, job, attempt, lease)
        reports = collect_reports(name, attempt, answers, lease)
        attempt_end = reconcile_end(job, attempt_end, answers, reports)
        body = records.Ended(
            job=name,
            attempt=attempt,
            outcome=attempt_end.outcome,
            reason=attempt_end.reason,
            worker=attempt_end.worker,
            kept_s=leases.compute_kept_s(len(job["places"]), reports)
            if job["spec"]["checkpointable"]
            else 0.0,
            result=get_result(reports, attempt_end),
        )
        self._log.info(
            "gang_ended", job=name, attempt=attempt, **attempt_end._asdict()
        )
        self.commit(job, attempt, [*extra_items, records.Item("ended", body)])
        for worker in placed_workers:
            gevent.spawn(self._client.forget, worker, ((name, attempt),))

    def commit(
        self, job: states.Job, attempt: int, items: list[records.Item]
    ) -> bool:
        """Propose `items` until the outcome is known or the attempt has ended.

        Returns:
            Whether the last item was applied.
        """
        while not is_attempt_ended(job, attempt):
            outcome = self._replica.propose(items, timeout_s=PROPOSE_TIMEOUT_S)
            if not errors.is_refusal(outcome):
                return not errors.is_refusal(outcome[-1])
            self._metrics.count(f"gangs.retried.{outcome.kind.value}")
            gevent.sleep(RETRY_DELAY_S)
        return False

    def _stop_on_workers(
        self,
        placed_workers: list[customers.Worker],
        job: states.Job,
        attempt: int,
        lease: leases.GangLease | None,
    ) -> dict[str, Any]:
        if job["started"]:
            return worker_client.call_all(
                placed_workers,
                lambda worker: self._stop_on_worker(
                    worker, job, attempt, lease
                ),
            )
        # No record `starting` was committed, so no task can run. The calls
        # only release prepared places, and the next attempt doesn't have to
        # wait for a worker that is silent.
        for worker in placed_workers:
            name = job["spec"]["id"]
            gevent.spawn(self._client.stop, worker, name, attempt)
        return {}

    def _stop_on_worker(
        self,
        worker: customers.Worker,
        job: states.Job,
        attempt: int,
        lease: leases.GangLease | None,
    ) -> Any:
        expires_at = time.monotonic() + self._timing.expiry_delay_s
        while True:
            answer = self._client.stop(worker, job["spec"]["id"], attempt)
            if not errors.is_refusal(answer):
                return answer
            self._metrics.count(f"gangs.retried.stop.{answer.kind.value}")
            if lease is not None:
                expires_at = lease.compute_expiry(worker["name"])
            if is_attempt_ended(job, attempt) or time.monotonic() >= expires_at:
                return answer
            gevent.sleep(RETRY_DELAY_S)


def is_attempt_ended(job: states.Job, attempt: int) -> bool:
    """Return whether the end of `attempt` of `job` is committed."""
    if job["finished_at"] or job["attempt"] != attempt:
        return True
    return job["state"] == "queued"


def list_placed_workers(
    configured: Mapping[str, customers.Worker], job: states.Job
) -> list[customers.Worker]:
    """Return the workers that hold places of `job` and are still configured."""
    names = dict.fromkeys(place.worker for place in job["places"])
    return [configured[name] for name in names if name in configured]


def collect_reports(
    job: str,
    attempt: int,
    answers: Mapping[str, Any],
    lease: leases.GangLease | None,
) -> dict[int, leases.TaskReport]:
    """Return the latest report on each task by its index.

    Reports in the answers to stop calls override those of the lease.
    """
    reports_by_index = dict(lease.list_reports()) if lease is not None else {}
    for answer in answers.values():
        if errors.is_refusal(answer):
            continue
        for report in worker_client.read_reports(answer).get(
            (job, attempt), ()
        ):
            reports_by_index[report.index] = report
    return reports_by_index


def reconcile_end(
    job: states.Job,
    attempt_end: AttemptEnd,
    answers: Mapping[str, Any],
    reports: Mapping[int, leases.TaskReport],
) -> AttemptEnd:
    """Return `attempt_end`, corrected by what the workers answered.

    The outcome is "not_started" only if every worker answers that it started
    nothing. In all other cases the record `starting` decides at
    replay whether the attempt may have run.
    """
    status = leases.evaluate_tasks(job["places"], reports)
    if status.outcome is leases.Outcome.COMPLETED:
        return AttemptEnd("completed", "completed")
    places = {place.worker for place in job["places"]}
    is_complete = places == set(answers) and not any(
        errors.is_refusal(answer) for answer in answers.values()
    )
    if is_complete and not any(
        answer["started"] for answer in answers.values()
    ):
        return attempt_end._replace(outcome="not_started")
    return attempt_end


def get_result(
    reports: Mapping[int, leases.TaskReport], attempt_end: AttemptEnd
) -> Any | None:
    """Return the result of the first task if the gang is completed."""
    if attempt_end.outcome != "completed" or 0 not in reports:
        return None
    return reports[0].result
