"""Supervisor that starts, renews and ends gangs.

An entry supervises the gangs whose first place lies in a rack that it is
responsible for. Responsibility is only a hint: two entries that disagree
send the same idempotent calls, and only the first end of an attempt counts
in the log.
"""

from collections.abc import Callable
from collections.abc import Iterable
import time

import gevent

from chervilcove.core import errors
from chervilcove.core import metrics as metric_values
from chervilcove.core import tasks
from chervilcove.customers import schema as customers
from chervilcove.gangs import ending
from chervilcove.gangs import leases
from chervilcove.gangs import renewing
from chervilcove.gangs import starting
from chervilcove.gangs import worker_client
from chervilcove.journal import machine
from chervilcove.journal import records
from chervilcove.journal import replica as replicas
from chervilcove.journal import state as states

SWEEP_INTERVAL_S = 4.0
RESPONSIBILITY_CHECK_INTERVAL_S = 0.25
DRAIN_POLL_INTERVAL_S = 0.05
HEALTH_PROPOSAL_TIMEOUT_S = 10.0
UNREACHABLE_REASON = "unreachable"


class Supervisor(tasks.Task):
    """Supervise the gangs in the racks that this entry is responsible for.

    Args:
        replica: Replica that commits records and holds the state.
        is_owner: Returns whether this entry is responsible for a rack.
        metrics: Receiver of counters.
        timing: Durations of leases and calls, None for the defaults.
    """

    def __init__(
        self,
        *,
        replica: replicas.Replica,
        is_owner: Callable[[str], bool],
        metrics: metric_values.Metrics,
        timing: leases.Timing | None = None,
    ):
        super().__init__(name="supervisor")
        timing = timing or leases.Timing()
        self._replica = replica
        self._is_owner = is_owner
        self._metrics = metrics
        self._client = worker_client.WorkerClient(timing=timing)
        self._operations: dict[str, gevent.Greenlet] = {}
        self._pending_ends: dict[str, tuple[int, ending.AttemptEnd]] = {}
        self._responsibility_by_rack: dict[str, bool] = {}
        self._is_draining = False
        self._renewer = renewing.LeaseRenewer(
            client=self._client,
            timing=timing,
            metrics=metrics,
            on_gang_end=self._handle_gang_end,
            on_reachability_change=self._handle_reachability_change,
            on_untracked_reports=self._handle_untracked_reports,
        )
        self._ender = ending.AttemptEnder(
            replica=replica, client=self._client, timing=timing, metrics=metrics
        )
        self._starter = starting.AttemptStarter(
            replica=replica,
            client=self._client,
            ender=self._ender,
            timing=timing,
            metrics=metrics,
        )
        replica.subscribe(self._handle_applied)

    def run(self) -> None:
        """Reconcile each job that changes, and all of them periodically.

        All jobs are also reconciled as soon as the set of racks that this
        entry is responsible for changes.
        """
        swept_at = checked_at = 0.0
        while not self.is_stopping:
            name = self.receive(timeout_s=RESPONSIBILITY_CHECK_INTERVAL_S)
            if name is not None:
                self._reconcile_job(name)
            now = time.monotonic()
            if now - checked_at < RESPONSIBILITY_CHECK_INTERVAL_S:
                continue
            checked_at = now
            if (
                now - swept_at >= SWEEP_INTERVAL_S
                or self._has_responsibility_changed()
            ):
                self._sweep()
                swept_at = now

    def _has_responsibility_changed(self) -> bool:
        return any(
            self._is_owner(rack) != is_responsible
            for rack, is_responsible in self._responsibility_by_rack.items()
        )

    def drain(self, *, timeout_s: float) -> bool:
        """Finish running starts and ends, begin no others, renew all leases.

        The final renewal leaves the other entries a full lease to take the
        gangs over.

        Returns:
            Whether all running starts and ends finished within `timeout_s`.
        """
        self._is_draining = True
        deadline = time.monotonic() + timeout_s
        while self._operations and time.monotonic() < deadline:
            gevent.sleep(DRAIN_POLL_INTERVAL_S)
        self._renewer.renew_all_soon()
        gevent.sleep(DRAIN_POLL_INTERVAL_S)
        return not self._operations

    def stop(self, *, timeout_s: float = 1.0) -> None:
        """End the task, its sessions, and running starts and ends of gangs."""
        super().stop(timeout_s=timeout_s)
        self._abort_operations()

    def kill(self) -> None:
        """End the task and its operations at once, as a process exit would."""
        super().kill()
        self._abort_operations()

    def _abort_operations(self) -> None:
        self._renewer.stop()
        gevent.killall(list(self._operations.values()), block=False)
        self._client.close()

    def _handle_applied(self, applied: machine.AppliedRecord) -> None:
        for done in applied.events:
            if errors.is_refusal(done.outcome):
                continue
            for name in list_affected_jobs(done.item):
                self.post(name)

    def _sweep(self) -> None:
        self._responsibility_by_rack.clear()
        active = self._replica.state.active
        for name in list(active):
            self._reconcile_job(name)
        for name in self._renewer.list_tracked_jobs():
            if name not in active:
                self._untrack(name)
        self._renewer.set_workers(self._list_session_workers())
        self._renewer.check_all_gangs()
        self._metrics.set_gauge(
            "gangs.kept", len(self._renewer.list_tracked_jobs())
        )

    def _reconcile_job(self, name: str) -> None:
        job = self._replica.state.core["jobs"].get(name)
        if job is None or job["finished_at"] or job["state"] == "queued":
            self._untrack(name)
            return
        if not self._is_responsible_for_job(job):
            self._untrack(name)
            return
        if job["state"] == "running":
            configured = self._replica.state.core["configuration"]["workers"]
            self._renewer.track(
                job, ending.list_placed_workers(configured, job)
            )
            self._process_pending_end(job)
        elif name in self._operations or self._is_draining:
            return
        elif job["state"] == "placed":
            self._spawn_operation(job, lambda: self._starter.start(job))
        else:
            self._renewer.stop_renewing(name)
            self._spawn_operation(job, lambda: self._stop_gang(job))

    def _untrack(self, name: str) -> None:
        self._renewer.untrack(name)
        self._pending_ends.pop(name, None)

    def _spawn_operation(
        self, job: states.Job, operation: Callable[[], None]
    ) -> None:
        name = job["spec"]["id"]
        greenlet = gevent.spawn(operation)
        self._operations[name] = greenlet

        def finish(done: gevent.Greenlet) -> None:
            self._operations.pop(name, None)
            self.post(name)

        greenlet.link(finish)

    def _stop_gang(self, job: states.Job) -> None:
        lease = self._renewer.find_lease(job["spec"]["id"], job["attempt"])
        reason = job["reason"]
        self._ender.end(job, ending.AttemptEnd("stopped", reason), lease=lease)

    def _handle_gang_end(
        self, lease: leases.GangLease, status: leases.GangStatus
    ) -> None:
        reason = {
            leases.Outcome.COMPLETED: "completed",
            leases.Outcome.FAILED: "task_failed",
        }.get(status.outcome, "task_lost")
        self._metrics.count(f"gangs.ended.{reason}")
        attempt_end = ending.AttemptEnd(
            status.outcome.value, reason, status.worker
        )
        self._pending_ends[lease.job] = (lease.attempt, attempt_end)
        self.post(lease.job)

    def _process_pending_end(self, job: states.Job) -> None:
        name = job["spec"]["id"]
        if name in self._operations or name not in self._pending_ends:
            return
        if self._is_draining:
            return
        attempt, attempt_end = self._pending_ends.pop(name)
        lease = self._renewer.find_lease(name, attempt)
        if attempt != job["attempt"] or lease is None:
            return
        self._spawn_operation(
            job, lambda: self._ender.end(job, attempt_end, lease=lease)
        )

    def _handle_untracked_reports(
        self,
        worker: customers.Worker,
        name: str,
        attempt: int,
        reports: list[leases.TaskReport],
    ) -> None:
        job = self._replica.state.core["jobs"].get(name)
        if job is None or not ending.is_attempt_ended(job, attempt):
            return
        if attempt > job["attempt"]:
            return
        if any(report.state == leases.RUNNING for report in reports):
            self._metrics.count("gangs.stopped.stray")
            gevent.spawn(self._client.stop, worker, name, attempt)
        else:
            gevent.spawn(self._client.forget, worker, ((name, attempt),))

    def _handle_reachability_change(
        self, worker: str, is_reachable: bool
    ) -> None:
        spec = self._find_worker(worker)
        if spec is None or not self._is_responsible_for_rack(spec["rack"]):
            return
        reason = self._replica.state.core["unhealthy"].get(worker)
        if is_reachable != (reason == UNREACHABLE_REASON):
            return
        if not is_reachable and reason is not None:
            return
        body = records.WorkerHealth(
            worker=worker, healthy=is_reachable, reason=UNREACHABLE_REASON
        )
        self.log.warn("worker_reach", worker=worker, reachable=is_reachable)
        gevent.spawn(
            self._replica.propose,
            [records.Item("worker_health", body)],
            timeout_s=HEALTH_PROPOSAL_TIMEOUT_S,
        )

    def _is_responsible_for_job(self, job: states.Job) -> bool:
        worker = self._find_worker(job["places"][0].worker)
        rack = job["places"][0].worker if worker is None else worker["rack"]
        return self._is_responsible_for_rack(rack)

    def _is_responsible_for_rack(self, rack: str) -> bool:
        is_responsible = self._responsibility_by_rack.get(rack)
        if is_responsible is None:
            is_responsible = self._responsibility_by_rack[rack] = (
                self._is_owner(rack)
            )
        return is_responsible

    def _find_worker(self, name: str) -> customers.Worker | None:
        return self._replica.state.core["configuration"]["workers"].get(name)

    def _list_session_workers(self) -> list[customers.Worker]:
        configured = self._replica.state.core["configuration"]["workers"]
        tracked = set(self._renewer.list_tracked_workers())
        return [
            worker
            for name, worker in configured.items()
            if name in tracked or self._is_responsible_for_rack(worker["rack"])
        ]


def list_affected_jobs(item: records.Item) -> Iterable[str]:
    """Return the ids of the jobs that a decision item affects."""
    if item.kind == "plan":
        body = item.body
        return [
            *(placement.job for placement in body["placements"]),
            *(preemption.job for preemption in body["preemptions"]),
        ]
    if item.kind in ("started", "ended", "cancel"):
        return [item.body["job"]]
    return []
