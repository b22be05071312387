"""The fleet: sessions with all workers, and their free resources.

A run may start again elsewhere once its worker says that it is gone, or once no
lease that any owner gave can live (`Fleet.get_lease_expiry`) and no start of it
may still be carried out (`Fleet.may_start_late`). Nothing else shows that a run
has ended: a worker without a report may only be unable to reach the store, and
a worker may leave later than it announced.
"""

from collections.abc import Callable
import time

import gevent

from chervilcove.control import answer_times
from chervilcove.control import fences
from chervilcove.control import interfaces
from chervilcove.control import runs
from chervilcove.control import sessions
from chervilcove.control import start_checks
from chervilcove.core import logs
from chervilcove.dispatch import capacity
from chervilcove.dispatch import departures
from chervilcove.dispatch import health
from chervilcove.dispatch import resources as resource_values

# A new owner opens sessions with hundreds of workers. All at once they would
# keep it from its heartbeats for most of a second.
SESSIONS_AT_ONCE = 40
SESSION_SPACING_S = 0.002


class Fleet:
    """Manage the workers of one owner.

    Args:
        connector: Creates worker clients.
        epoch: Epoch of the owner.
        may_renew: Tells whether leases may be extended now.
        is_busy: Tells whether a worker has runs of this owner.
        on_renewal: Called with each answer of a worker to a renewal.
        on_deposed: Called with a reason when a worker knows a newer owner.
        renewals_end: Monotonic seconds until which earlier owners may renew
            leases.
        limits: Limits of the machine of the entry.
    """

    def __init__(
        self,
        *,
        connector: interfaces.PlatformConnector,
        epoch: int,
        may_renew: Callable[[], bool],
        is_busy: Callable[[str], bool],
        on_renewal: Callable[[sessions.Renewal], None],
        on_deposed: Callable[[str], None],
        renewals_end: float,
        limits: capacity.EntryLimits = capacity.UNKNOWN_LIMITS,
    ):
        self.resources = resource_values.FleetResources()
        self.health = health.WorkerHealth(
            list_pool=self.resources.list_pool,
            on_lift=lambda worker, job: self._log.info(
                "worker_rest_lifted", worker=worker, job=job
            ),
        )
        self.answer_times = answer_times.AnswerTimes(
            count_workers=lambda: len(self.sessions)
        )
        self.sessions: dict[str, sessions.Session] = {}
        self.reports: dict[str, interfaces.WorkerReport] = {}
        # Earliest time at which each draining worker leaves, monotonic seconds.
        self._leave_times: dict[str, float] = {}
        # Workers that left after a notice, and when each did.
        self._left: dict[str, tuple[resource_values.Worker, float]] = {}
        self._log = logs.Log(source="fleet")
        self._connector = connector
        self._fences = fences.WorkerFences(epoch=epoch)
        self._may_renew = may_renew
        self._is_busy = is_busy
        self._on_renewal = on_renewal
        self._on_deposed = on_deposed
        self._limits = limits
        self._has_new_limits = False
        # Number of listed workers that get no session.
        self._left_out = 0
        # Earlier owners may have sent leases and starts until then.
        self.inherited_until = max(time.monotonic(), renewals_end)
        # Runs of earlier owners may be alive until then on workers that don't
        # answer.
        self.inherited_expiry = (
            self.inherited_until
            + sessions.LEASE_MS / 1000 * sessions.CLOCK_SLACK
            + sessions.EXPIRY_MARGIN_S
        )

    def set_limits(self, limits: capacity.EntryLimits) -> None:
        """Set how many sessions may be opened, from the next round on.

        Open sessions are kept, since the runs there need their leases.
        """
        self._limits = limits
        self._has_new_limits = True

    def set_reports(self, reports: dict[str, interfaces.WorkerReport]) -> None:
        """Replace the list of workers."""
        now = time.monotonic()
        # Workers with adopted runs are asked first.
        ordered = sorted(
            reports.items(), key=lambda item: not self._is_busy(item[0])
        )
        known, self.reports = self.reports, dict(reports)
        for worker in set(known) - set(reports):
            self._log.info("worker_unlisted", worker=worker)
        self.drop_unlisted()
        opened = 0
        allowed = self._choose_workers(reports)
        for worker, report in ordered:
            before = known.get(worker)
            if worker in allowed or worker in self.sessions:
                excess = max(0, opened - SESSIONS_AT_ONCE)
                opened += self._update_session(
                    report, delay_s=excess * SESSION_SPACING_S
                )
            if report.is_draining and worker not in self._leave_times:
                self._leave_times[worker] = now + report.leaves_in_ms / 1000
            elif not report.is_draining:
                self._leave_times.pop(worker, None)
            if before is None or before.is_draining != report.is_draining:
                self._log.info(
                    "worker_listed",
                    worker=worker,
                    life=report.life,
                    data_centre=report.data_centre,
                    rack=report.rack,
                    processors_m=report.capacity.cpu,
                    memory_mb=report.capacity.memory_mb,
                    accelerators=report.capacity.accelerators,
                    draining=report.is_draining,
                    leaves_in_ms=report.leaves_in_ms,
                )

    def drop_unlisted(self) -> bool:
        """Remove workers that are unlisted and have no runs of this owner.

        Returns:
            Whether workers without a session may now get one, by
            `set_reports`.
        """
        gone = [
            worker
            for worker in self.sessions
            if worker not in self.reports and not self._is_busy(worker)
        ]
        for worker in gone:
            self._remove_worker(worker)
        may_open = bool(gone) or self._has_new_limits
        self._has_new_limits = False
        return may_open and self._left_out > 0

    def update_open_workers(self, evacuated: frozenset[str]) -> None:
        """Update which workers may get new tasks.

        Args:
            evacuated: Data centres that get no tasks.
        """
        now = time.monotonic()
        for worker, room in self.resources.by_worker.items():
            session = self.sessions[worker]
            report = self.reports.get(worker)
            room.is_schedulable = start_checks.is_schedulable(
                report=report,
                session=session,
                life=room.worker.life,
                evacuated=evacuated,
                is_quarantined=self.health.is_quarantined(worker, now),
            )
            room.penalty = self.health.get_penalty(worker, now)
            room.last_success_start = self.health.get_last_success_start(worker)

    @property
    def has_leaving_workers(self) -> bool:
        """Tell whether any worker has announced that it leaves."""
        return bool(self._leave_times)

    def get_time_left_s(self, worker: str, now: float) -> float | None:
        """Return the minimum seconds until a worker leaves, or None."""
        leaves = self._leave_times.get(worker)
        return None if leaves is None else max(0.0, leaves - now)

    def has_announced_departure(self, worker: str) -> bool:
        """Tell whether a worker drains, or did so when last listed."""
        return worker in self._leave_times

    def list_leaving(self, now: float) -> list[resource_values.Worker]:
        """Return workers that leave, or whose replacement may yet come."""
        self._left = {
            worker: left
            for worker, left in self._left.items()
            if now - left[1] < departures.REPLACEMENT_S
        }
        leaving = [
            room.worker
            for worker in self._leave_times
            if (room := self.resources.by_worker.get(worker)) is not None
        ]
        return leaving + [worker for worker, _ in self._left.values()]

    def get_lease_expiry(self, worker: str) -> float:
        """Return when the last lease of a worker has certainly ended.

        Returns:
            Monotonic seconds; later if the worker gets another lease.
        """
        session = self.sessions.get(worker)
        if session is None:
            return self.inherited_expiry
        return session.expires_at

    def record_unresponsive(self, worker: str) -> None:
        """Let a worker rest that answered no call, unless most are late."""
        if not self.answer_times.are_late():
            self.health.record_unresponsive(worker, time.monotonic())

    def may_start_late(self, member: runs.Member) -> bool:
        """Tell whether a start may still be carried out by another process.

        The worker has started again, and the owner can't reach its present
        process to raise the fence there.

        Args:
            member: Task that was started on the worker.
        """
        session = self.sessions.get(member.place.worker)
        if session is None:
            # A worker that got no session, as there are too many.
            report = self.reports.get(member.place.worker)
            return (
                member.has_open_start
                and report is not None
                and report.life != member.place.life
                and time.monotonic()
                < self.inherited_expiry + sessions.MAX_CALL_DELAY_S
            )
        return (
            member.has_open_start
            and not session.is_process_known
            and session.life != member.place.life
            and time.monotonic() < session.late_calls_end
        )

    def stop(self) -> None:
        """End all sessions immediately."""
        for session in self.sessions.values():
            session.kill()
            session.client.close()

    def _choose_workers(
        self, reports: dict[str, interfaces.WorkerReport]
    ) -> set[str]:
        """Return the workers that get sessions, all if the entry can hold them.

        Runs on the others end with their leases.
        """
        allowed = set(reports)
        limit = capacity.count_ownable_workers(self._limits)
        if limit is not None:
            limit = max(1, limit - len(self.sessions.keys() - reports.keys()))
        if limit is not None and len(reports) > limit:
            allowed = capacity.choose_workers(
                (
                    capacity.Candidate(
                        worker=worker,
                        service=report.service,
                        is_busy=self._is_busy(worker),
                        has_session=worker in self.sessions,
                        is_draining=report.is_draining,
                    )
                    for worker, report in reports.items()
                ),
                limit,
            )
        left_out = len(reports) - len(allowed)
        if left_out != self._left_out:
            self._left_out = left_out
            self._log.warn("workers_left_out", workers=left_out, limit=limit)
        return allowed

    def _update_session(
        self, report: interfaces.WorkerReport, *, delay_s: float
    ) -> bool:
        """Open a session with a new worker; return whether one was opened."""
        session = self.sessions.get(report.id)
        if session is not None and (
            (session.report.host, session.report.port)
            == (report.host, report.port)
        ):
            room = self.resources.by_worker[report.id]
            if report.life <= room.worker.life:
                self._resize_worker(report, room)
                return False
        self._open_session(report, session, delay_s)
        return True

    def _resize_worker(
        self,
        report: interfaces.WorkerReport,
        room: resource_values.WorkerResources,
    ) -> None:
        """Follow a capacity that changed while the worker runs."""
        if (
            report.life < room.worker.life
            or report.capacity == room.worker.capacity
        ):
            return
        self._log.info(
            "worker_resized",
            worker=report.id,
            processors_m=report.capacity.cpu,
            memory_mb=report.capacity.memory_mb,
            accelerators=report.capacity.accelerators,
        )
        room.resize(report.capacity)

    def _open_session(
        self,
        report: interfaces.WorkerReport,
        old: sessions.Session | None,
        delay_s: float,
    ) -> None:
        """Open a session with a worker, or with its restarted process."""
        if not self._fences.advance(report.id):
            self._on_deposed(f"worker {report.id} restarted too often")
            return
        expires_at = self.inherited_expiry
        lease_sent_at = self.inherited_until
        if old is not None:
            expires_at = old.expires_at
            lease_sent_at = old.lease_sent_at
            old.kill()
            gevent.spawn(old.client.close)
            if report.life != old.life:
                self._log.info(
                    "worker_restarted",
                    worker=report.id,
                    life=report.life,
                    before=old.life,
                    fence=self._fences.get(report.id),
                )
        session = sessions.Session(
            report=report,
            client=self._connector.connect_worker(report),
            fences=self._fences,
            expires_at=expires_at,
            on_renewal=self._on_renewal,
            on_deposed=self._on_deposed,
            may_renew=self._may_renew,
            is_busy=self._is_busy,
            answer_times=self.answer_times,
            delay_s=delay_s,
            lease_sent_at=lease_sent_at,
        )
        self.sessions[report.id] = session
        previous = self.resources.by_worker.get(report.id)
        room = self.resources.add(
            resource_values.Worker(
                id=report.id,
                life=report.life,
                service=report.service,
                data_centre=report.data_centre,
                rack=report.rack,
                labels=report.labels,
                capacity=report.capacity,
            )
        )
        if previous is not None:
            # Resources held in the earlier process are freed run by run.
            was = previous.worker.capacity
            room.cpu -= was.cpu - previous.cpu
            room.memory_mb -= was.memory_mb - previous.memory_mb
            room.accelerators -= was.accelerators - previous.accelerators
            room.tasks = previous.tasks
        session.start()

    def _remove_worker(self, worker: str) -> None:
        session = self.sessions.pop(worker)
        session.kill()
        room = self.resources.by_worker.get(worker)
        if room is not None and worker in self._leave_times:
            self._left[worker] = (room.worker, time.monotonic())
        gevent.spawn(session.client.close)
        self.resources.remove(worker)
        self.health.forget(worker)
        self._leave_times.pop(worker, None)
