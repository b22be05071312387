"""Renewal of run leases: one session per worker, one call per period.

A call extends the leases of all gangs on one worker that this entry is
responsible for, and is a long poll for ended tasks; so it serves as renewal,
heartbeat and notification of ends. Renewal does not need the log service.

A gang is renewed as a whole: once one of its tasks is lost, no worker's
renewal includes the gang, and the leases of its other tasks expire.
"""

from collections.abc import Callable
from collections.abc import Iterable
import random
import time

import gevent

from chervilcove.core import errors
from chervilcove.core import metrics as metric_values
from chervilcove.core import tasks
from chervilcove.customers import schema as customers
from chervilcove.gangs import leases
from chervilcove.gangs import reachability
from chervilcove.gangs import worker_client
from chervilcove.journal import state as states

RENEWAL_JITTER_RATIO = 0.2
COALESCING_DELAY_S = 0.01
RETRY_DELAY_RATIO = 0.2

GangEndCallback = Callable[[leases.GangLease, leases.GangStatus], None]
ReachabilityCallback = Callable[[str, bool], None]
UntrackedReportsCallback = Callable[[customers.Worker, str, int, list], None]


class WorkerSession(tasks.Task):
    """Renew the leases on one worker and receive its reports.

    Args:
        worker: Configured worker.
        client: Client of the workers.
        renewer: Provides the gangs to renew and handles the reports.
        timing: Durations of leases and calls.
        metrics: Receiver of counters.
    """

    def __init__(
        self,
        *,
        worker: customers.Worker,
        client: worker_client.WorkerClient,
        renewer: "LeaseRenewer",
        timing: leases.Timing,
        metrics: metric_values.Metrics,
    ):
        super().__init__(name=f"session/{worker['name']}")
        self.worker = worker
        self._client = client
        self._renewer = renewer
        self._timing = timing
        self._metrics = metrics
        self._incarnation = ""
        self._sequence = 0
        self._clock_offset_s: float | None = None
        self._known_digest = ""
        self._is_renewal_scheduled = False
        self._reachability = reachability.ReachabilityTracker(
            silence_s=timing.silence_s / 2,
            recovery_s=timing.recovery_s,
            now=time.monotonic(),
        )

    def run(self) -> None:
        """Renew leases until the session is asked to end."""
        wait_s = 0.0
        while not self.is_stopping:
            if self._renew(wait_s, since=self._sequence):
                wait_s = self._choose_wait_s()
            else:
                wait_s = 0.0
                self.sleep(self._timing.call_timeout_s * RETRY_DELAY_RATIO)

    def renew_soon(self) -> None:
        """Send another renewal at once, even if a long poll is open.

        It asks for the reports of all tasks, since some may have ended
        before their gang was tracked here. Requests within
        `COALESCING_DELAY_S` share one renewal.
        """
        if not self._is_renewal_scheduled:
            self._is_renewal_scheduled = True
            gevent.spawn_later(COALESCING_DELAY_S, self._renew_now)

    def _renew_now(self) -> None:
        self._is_renewal_scheduled = False
        self._renew(0.0, since=0)

    def _choose_wait_s(self) -> float:
        if self._clock_offset_s is None:
            return 0.0
        return self._timing.renew_s * random.uniform(
            1 - RENEWAL_JITTER_RATIO, 1
        )

    def _renew(self, wait_s: float, *, since: int) -> bool:
        sent_at = time.monotonic()
        gangs = self._list_gangs()
        digest = worker_client.digest_gangs(gangs)
        self._renewer.record_renewal_sent(self.worker["name"], gangs, sent_at)
        answer = self._client.renew(
            self.worker,
            gangs,
            until=self._compute_until(sent_at),
            since=since,
            incarnation=self._incarnation,
            wait_s=wait_s,
            with_list=digest != self._known_digest,
        )
        if errors.is_refusal(answer):
            self._handle_failure(answer)
            return False
        self._known_digest = "" if answer["resend"] else digest
        self._handle_answer(answer)
        if answer["resend"]:
            return self._renew(0.0, since=since)
        return True

    def _list_gangs(self) -> worker_client.GangKeys:
        if self._clock_offset_s is None:
            return ()
        return self._renewer.list_gangs(self.worker["name"])

    def _compute_until(self, now: float) -> float:
        offset_s = self._clock_offset_s or 0.0
        return round(now + offset_s + self._timing.run_ttl_s, 3)

    def _handle_failure(self, refusal: errors.Refusal) -> None:
        now = time.monotonic()
        self._known_digest = ""
        self._metrics.count(f"gangs.retried.renew.{refusal.kind.value}")
        if self._reachability.record_miss(now) is reachability.Change.LOST:
            self._renewer.report_reachability(self.worker["name"], False)
        self._renewer.check_gangs(self.worker["name"], now)

    def _handle_answer(self, answer: dict) -> None:
        now = time.monotonic()
        # The worker read its clock before `now`, so the estimate of its clock
        # is never ahead of it, and a delayed renewal can't lengthen a lease.
        self._clock_offset_s = answer["clock"] - now
        if answer["incarnation"] != self._incarnation:
            self._sequence = 0
        self._incarnation = answer["incarnation"]
        self._sequence = max(self._sequence, answer["sequence"])
        if self._reachability.record_answer(now) is reachability.Change.FOUND:
            self._renewer.report_reachability(self.worker["name"], True)
        self._renewer.handle_answer(self.worker, answer, now)


class LeaseRenewer:
    """Renew the leases of the gangs that this entry is responsible for.

    Args:
        client: Client of the workers.
        timing: Durations of leases and calls.
        metrics: Receiver of counters.
        on_gang_end: Called once when a gang is completed, failed or lost.
        on_reachability_change: Called when a worker becomes unreachable, or
            reachable again.
        on_untracked_reports: Called with the reports on gangs that this
            renewer does not track.
    """

    def __init__(
        self,
        *,
        client: worker_client.WorkerClient,
        timing: leases.Timing,
        metrics: metric_values.Metrics,
        on_gang_end: GangEndCallback,
        on_reachability_change: ReachabilityCallback,
        on_untracked_reports: UntrackedReportsCallback,
    ):
        self._client = client
        self._timing = timing
        self._metrics = metrics
        self._on_gang_end = on_gang_end
        self._on_reachability_change = on_reachability_change
        self._on_untracked_reports = on_untracked_reports
        self._leases: dict[str, leases.GangLease] = {}
        self._leases_by_worker: dict[str, dict[str, leases.GangLease]] = {}
        self._not_renewed: set[str] = set()
        self._sessions: dict[str, WorkerSession] = {}
        self._is_stopped = False

    def set_workers(self, wanted: Iterable[customers.Worker]) -> None:
        """Open a session for each worker in `wanted`, and close all others."""
        by_name = {worker["name"]: worker for worker in wanted}
        for name, session in list(self._sessions.items()):
            if session.worker != by_name.get(name):
                del self._sessions[name]
                gevent.spawn(session.stop)
        for name, worker in by_name.items():
            if name not in self._sessions:
                self._open_session(worker)

    def list_tracked_jobs(self) -> list[str]:
        """Return the ids of the jobs whose leases are tracked."""
        return list(self._leases)

    def find_lease(self, job: str, attempt: int) -> leases.GangLease | None:
        """Return the lease of an attempt, or None if it is not tracked."""
        lease = self._leases.get(job)
        if lease is None or lease.attempt != attempt:
            return None
        return lease

    def track(
        self, job: states.Job, placed_workers: Iterable[customers.Worker]
    ) -> None:
        """Track and renew the leases of a running job from now on.

        Args:
            job: Running job.
            placed_workers: Workers that hold its places. A session is opened
                at once for a worker without one; otherwise the worker would
                count as silent.
        """
        name = job["spec"]["id"]
        if self.find_lease(name, job["attempt"]) is not None:
            return
        self.untrack(name)
        lease = leases.GangLease(
            job=name,
            attempt=job["attempt"],
            places=job["places"],
            now=time.monotonic(),
            timing=self._timing,
        )
        self._leases[name] = lease
        for worker in lease.list_workers():
            self._leases_by_worker.setdefault(worker, {})[name] = lease
        for each in placed_workers:
            if each["name"] not in self._sessions:
                self._open_session(each)
        self.renew_soon(lease.list_workers())

    def stop_renewing(self, job: str) -> None:
        """Stop renewing `job` on all workers, but keep its task reports."""
        if job in self._leases:
            self._not_renewed.add(job)

    def untrack(self, job: str) -> None:
        """Stop renewing `job` and discard its leases and task reports."""
        lease = self._leases.pop(job, None)
        self._not_renewed.discard(job)
        if lease is None:
            return
        for worker in lease.list_workers():
            gangs = self._leases_by_worker[worker]
            gangs.pop(job, None)
            if not gangs:
                del self._leases_by_worker[worker]

    def renew_soon(self, names: Iterable[str]) -> None:
        """Send an extra renewal to each of the named workers at once."""
        for name in names:
            session = self._sessions.get(name)
            if session is not None:
                session.renew_soon()

    def renew_all_soon(self) -> None:
        """Send an extra renewal to all workers at once."""
        self.renew_soon(list(self._sessions))

    def list_tracked_workers(self) -> list[str]:
        """Return the names of workers that hold places of tracked gangs."""
        return list(self._leases_by_worker)

    def list_gangs(self, worker: str) -> worker_client.GangKeys:
        """Return the gangs to renew on `worker`."""
        gangs = self._leases_by_worker.get(worker, {})
        return tuple(
            sorted(
                (job, lease.attempt)
                for job, lease in gangs.items()
                if job not in self._not_renewed
            )
        )

    def record_renewal_sent(
        self, worker: str, gangs: worker_client.GangKeys, now: float
    ) -> None:
        """Record that `worker` may receive a renewal from `now` on."""
        for job, attempt in gangs:
            lease = self.find_lease(job, attempt)
            if lease is not None:
                lease.record_renewal_sent(worker, now)

    def report_reachability(self, worker: str, is_reachable: bool) -> None:
        """Report that a worker became unreachable or reachable."""
        self._on_reachability_change(worker, is_reachable)

    def handle_answer(
        self, worker: customers.Worker, answer: dict, now: float
    ) -> None:
        """Record the reports of a worker and check its gangs."""
        name = worker["name"]
        reports_by_gang = worker_client.read_reports(answer)
        for lease in self._leases_by_worker.get(name, {}).values():
            reports = reports_by_gang.pop((lease.job, lease.attempt), ())
            lease.record_answer(name, now, reports)
        for job, attempt in answer["missing"]:
            lease = self.find_lease(job, attempt)
            if lease is not None:
                lease.record_missing(name)
        for (job, attempt), reports in reports_by_gang.items():
            self._on_untracked_reports(worker, job, attempt, reports)
        self.check_gangs(name, now)

    def check_gangs(self, worker: str, now: float) -> None:
        """Report each gang on `worker` that no longer runs, once."""
        for job, lease in list(self._leases_by_worker.get(worker, {}).items()):
            status = lease.compute_status(now)
            if status.outcome is leases.Outcome.RUNNING:
                continue
            if job not in self._not_renewed:
                self._not_renewed.add(job)
                self._on_gang_end(lease, status)

    def check_all_gangs(self) -> None:
        """Check all gangs, including those on workers no longer configured."""
        for worker in list(self._leases_by_worker):
            self.check_gangs(worker, time.monotonic())

    def stop(self) -> None:
        """End all sessions and open no new ones."""
        self._is_stopped = True
        sessions, self._sessions = self._sessions, {}
        for session in sessions.values():
            session.kill()

    def _open_session(self, worker: customers.Worker) -> None:
        if self._is_stopped:
            return
        session = WorkerSession(
            worker=worker,
            client=self._client,
            renewer=self,
            timing=self._timing,
            metrics=self._metrics,
        )
        self._sessions[worker["name"]] = session
        session.start()
