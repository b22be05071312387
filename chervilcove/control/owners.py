"""The owner: makes all scheduling decisions while its epoch is the newest.

The owner stores each start in the ledger before it sends the command, and it
stores the end of a run before the worker may forget that end. A successor has
read everything that was stored, so it knows each run that may be alive. A
worker that the successor has called rejects later commands of this owner, since
they carry a lower epoch.
"""

from collections.abc import Callable
import time

import gevent
from gevent import event

from chervilcove.control import clocks
from chervilcove.control import commands
from chervilcove.control import deployment_values
from chervilcove.control import estimates
from chervilcove.control import fleet as fleets
from chervilcove.control import fleet_size
from chervilcove.control import follower as followers
from chervilcove.control import grants
from chervilcove.control import interfaces
from chervilcove.control import isolation
from chervilcove.control import job_ends
from chervilcove.control import kept_rooms
from chervilcove.control import neighbours
from chervilcove.control import open_starts
from chervilcove.control import owner_writer
from chervilcove.control import planner
from chervilcove.control import run_monitor
from chervilcove.control import runs
from chervilcove.control import sessions
from chervilcove.control import speed_monitor
from chervilcove.control import unbegun_runs
from chervilcove.control import untracked_runs
from chervilcove.core import errors
from chervilcove.core import metrics as metric_values
from chervilcove.core import tasks
from chervilcove.core import traffic as traffic_values
from chervilcove.dispatch import resources as resource_values
from chervilcove.dispatch import rounds
from chervilcove.jobs import configuration
from chervilcove.jobs import crash_limits
from chervilcove.jobs import records
from chervilcove.jobs import specs
from chervilcove.jobs import staleness
from chervilcove.jobs import table

MAX_ROUND_INTERVAL_S = 0.25
MIN_ROUND_PAUSE_S = 0.015  # lets the events of a burst share one round
PURGE_INTERVAL_S = 5.0
# Between checks whether runs should move. Progress is reported once a second,
# and a check of a thousand runs takes as long as a round.
MONITOR_INTERVAL_S = 0.1


class Owner(tasks.Task):
    """Schedule all jobs and send commands to the workers.

    Args:
        epoch: Epoch of this owner.
        claim_sent_at: Boot clock at which its claim was first sent, seconds.
        ledger: The job ledger.
        follower: Reads the ledger; the owner decides by a copy of its table.
        connector: Creates worker clients, the policy client and the feed of
            worker reports.
        get_operator_state: Returns the configuration and the evacuations in
            force.
        on_deposed: Called with a reason once a newer owner is known.
        values: Values of the deployment.
        metrics: Metrics of this entry.
        traffic: Counts what this entry sends and receives.
    """

    def __init__(
        self,
        *,
        epoch: int,
        claim_sent_at: float,
        ledger: interfaces.Ledger,
        follower: followers.Follower,
        connector: interfaces.PlatformConnector,
        get_operator_state: Callable[[], interfaces.OperatorState],
        on_deposed: Callable[[str], None],
        values: deployment_values.DeploymentValues,
        metrics: metric_values.Metrics,
        traffic: traffic_values.Traffic,
    ):
        super().__init__(name="owner")
        self._traffic = traffic
        self._config_bounds = values.config_bounds
        self.epoch = epoch
        self._follower = follower
        self._table = follower.open_working_table()
        self._clock = follower.clock
        self._clock.begin_steering()
        self._get_operator_state = get_operator_state
        self._metrics = metrics
        self._on_deposed = on_deposed
        self._runs: dict[table.UnitKey, runs.Run] = {}
        self._runs_by_worker: dict[str, set[table.UnitKey]] = {}
        self._estimates = estimates.Estimates()
        # Tasks that were ordered, but whose records aren't stored yet.
        self._ordered_tasks = 0
        self._new_renewals: list[sessions.Renewal] = []
        self._new_reports: dict[str, interfaces.WorkerReport] | None = None
        self._wake = event.Event()
        self._purged_at = time.monotonic()
        self._monitored_at = float("-inf")
        self.writer = owner_writer.OwnerWriter(
            ledger=ledger,
            epoch=epoch,
            claim_sent_at=claim_sent_at,
            clock=self._clock,
            on_deposed=on_deposed,
            metrics=metrics,
            link_mbps=values.limits.link_mbps,
        )
        self.fleet = fleets.Fleet(
            connector=connector,
            epoch=epoch,
            may_renew=self._may_renew,
            is_busy=self._is_busy,
            on_renewal=self._queue_renewal,
            on_deposed=on_deposed,
            renewals_end=follower.get_renewals_end(),
            limits=values.limits,
        )
        self._fleet_size = fleet_size.FleetSize(
            writer=self.writer,
            limits=values.limits,
            known=follower.worker_count,
            on_deposed=on_deposed,
            metrics=metrics,
        )
        self._untracked = untracked_runs.UntrackedRuns(
            resources=self.fleet.resources, jobs=self._table.jobs
        )
        self._isolation = isolation.FaultIsolation(
            log=self.log, metrics=metrics
        )
        self._open_starts = open_starts.OpenStarts(
            writer=self.writer,
            epoch=epoch,
            inherited=follower.open_starts,
            inherited_until=self.fleet.inherited_until,
            metrics=metrics,
        )
        self._commands = commands.CommandSender(
            fleet=self.fleet,
            open_starts=self._open_starts,
            on_deposed=on_deposed,
            wake=self.wake,
            may_start=self._may_renew,
            get_evacuated=lambda: self._get_operator_state().evacuated,
            on_unsent=self._end_unsent,
            metrics=metrics,
            link_mbps=values.limits.link_mbps,
        )
        self._grants = grants.GrantFetcher(
            policy=connector.connect_policy(),
            resources=self.fleet.resources,
            wake=self.wake,
            metrics=metrics,
        )
        self._speeds = speed_monitor.SpeedMonitor(
            active_runs=self._runs,
            runs_by_worker=self._runs_by_worker,
            fleet=self.fleet,
            get_step=self._get_step,
            metrics=metrics,
        )
        self._planner = planner.RoundPlanner(
            job_table=self._table,
            fleet=self.fleet,
            active_runs=self._runs,
            runs_by_worker=self._runs_by_worker,
            estimates=self._estimates,
            grants=self._grants,
            untracked=self._untracked,
            speed_monitor=self._speeds,
            find_enemies=lambda image: self._neighbours.find_enemies(image),
            clock=self._clock,
            get_queue=self._get_queue,
            bounds=values.bounds,
            contention=values.contention,
            log=self.log,
            metrics=metrics,
        )
        self._kept_rooms = kept_rooms.KeptRooms(
            fleet=self.fleet, stop_s=values.bounds.stop_ms / 1000
        )
        self._run_monitor = run_monitor.RunMonitor(
            runs_by_key=self._runs,
            runs_by_worker=self._runs_by_worker,
            fleet=self.fleet,
            commands=self._commands,
            get_step=self._get_step,
            planner=self._planner,
            stop_s=values.bounds.stop_ms / 1000,
            metrics=metrics,
        )
        self._unbegun = unbegun_runs.UnbegunRuns(
            get_unit=self._get_unit, write_unit=self._write_unit
        )
        self._neighbours = neighbours.NeighbourMonitor(
            active_runs=self._runs,
            runs_by_worker=self._runs_by_worker,
            get_step=self._get_step,
            estimate_duration_s=self._planner.estimate_duration_s,
            metrics=metrics,
        )
        self._job_ends = job_ends.JobEnds(
            job_table=self._table,
            active_runs=self._runs,
            commands=self._commands,
            planner=self._planner,
            estimates=self._estimates,
            health=self.fleet.health,
            clock=self._clock,
            epoch=epoch,
            get_queue=self._get_queue,
            write_record=self._write_record,
            log=self.log,
            metrics=metrics,
        )
        self._worker_feed = connector.create_worker_feed(
            self._queue_worker_reports
        )

    def start(self) -> None:
        """Adopt the runs in the ledger, then start to schedule."""
        self._adopt_runs()
        self.writer.start()
        self._worker_feed.start()
        self._grants.start()
        super().start()

    def stop(self, *, timeout_s: float = 0.0) -> None:
        """Stop scheduling and sending commands immediately."""
        del timeout_s
        self.kill()
        self._follower.close_working_table()
        self.writer.kill()
        self._grants.kill()
        self._worker_feed.stop()
        self.fleet.stop()
        self._commands.kill()

    def get_planner(self) -> planner.RoundPlanner:
        """Return what plans the rounds."""
        return self._planner

    def set_values(self, values: deployment_values.DeploymentValues) -> None:
        """Apply other values of the deployment from the next round on."""
        self._config_bounds = values.config_bounds
        self._planner.set_policies(values.bounds, values.contention)
        self._run_monitor.set_stop_s(values.bounds.stop_ms / 1000)
        self._kept_rooms.set_stop_s(values.bounds.stop_ms / 1000)
        self._fleet_size.set_limits(values.limits)
        self.fleet.set_limits(values.limits)

    def wake(self) -> None:
        """Request a scheduling round as soon as possible."""
        self._wake.set()

    def on_ledger_regained(self) -> None:
        """Send what waits for the ledger, which answers again."""
        self.writer.record_regained()

    def on_ledger_read(self) -> None:
        """Confirm appends that were read back, and request a round."""
        self.writer.record_read_back(self._follower.own_sequence)
        self.wake()

    def run(self) -> None:
        """Run scheduling rounds until stopped."""
        while not self.is_stopping:
            self._wake.wait(timeout=MAX_ROUND_INTERVAL_S)
            self._wake.clear()
            if self.is_stopping:
                return
            began = time.monotonic()
            self._run_round()
            self.fleet.answer_times.record_round(time.monotonic() - began)
            gevent.sleep(MIN_ROUND_PAUSE_S)

    # Adopting the runs of earlier owners.

    def _adopt_runs(self) -> None:
        """Treat every active run in the ledger as possibly alive."""
        for job in self._table.open_jobs.values():
            for key in job.active:
                unit = job.units[key]
                self._add_run(job, key, unit, phase=runs.Phase.KNOWN)
        now = time.monotonic()
        self.log.info(
            "runs_inherited",
            epoch=self.epoch,
            runs=len(self._runs),
            leases_end_in_s=round(self.fleet.inherited_expiry - now, 2),
            renewing=",".join(
                f"{process.entry}:{round(until - now, 2)}"
                for process, until in self._follower.get_renewing_owners()
            ),
        )

    def _add_run(
        self,
        job: table.Job,
        key: table.UnitKey,
        unit: records.UnitRecord,
        *,
        phase: runs.Phase,
    ) -> runs.Run:
        need = job.spec.steps[key.step].need
        members = []
        for index, place in enumerate(unit.places):
            name = key.format()
            task = name if key.index is not None else f"{name}.{index}"
            placed = resource_values.Allocation(
                resource_values.get_step_key(key), need, (place.worker,)
            )
            member = runs.Member(task=task, place=place, placed=placed)
            member.phase = phase
            if phase is runs.Phase.KNOWN:
                member.pace = None  # an earlier owner may have set it
                member.has_open_start = True
            members.append(member)
            self._runs_by_worker.setdefault(place.worker, set()).add(key)
            self.fleet.resources.allocate(placed)
        run = runs.Run(
            key=key,
            number=unit.run,
            members=members,
            checkpoint=unit.checkpoint,
        )
        run.is_adopted = phase is runs.Phase.KNOWN
        self._runs[key] = run
        self.fleet.health.record_start(key.format())
        return run

    # Callbacks, which collect input for the next round.

    def _queue_renewal(self, renewal: sessions.Renewal) -> None:
        self._new_renewals.append(renewal)
        self._wake.set()

    def _queue_worker_reports(
        self, reports: dict[str, interfaces.WorkerReport]
    ) -> None:
        self._new_reports = reports
        self._wake.set()

    def _may_renew(self) -> bool:
        silence_s = (
            clocks.read_boot_clock_s() - self.writer.stored_append_sent_at
        )
        return silence_s < sessions.LEASE_WITHOUT_LEDGER_S

    def _is_busy(self, worker: str) -> bool:
        return bool(
            self._runs_by_worker.get(worker)
        ) or self._untracked.has_runs(worker)

    # One round: process input, record ends, schedule, send commands.

    def _run_round(self) -> None:
        if self._new_reports is not None:
            reports, self._new_reports = self._new_reports, None
            self._isolation.attempt("reports", self._apply_reports, reports)
        renewals, self._new_renewals = self._new_renewals, []
        for renewal in renewals:
            session = self.fleet.sessions.get(renewal.worker)
            if session is not None and session.fence == renewal.fence:
                session.is_understood = self._isolation.attempt(
                    renewal.worker, self._process_renewal, renewal, session
                )
        tracked = [one for one, keys in self._runs_by_worker.items() if keys]
        for worker in dict.fromkeys(tracked + self._untracked.list_workers()):
            self._isolation.attempt(worker, self._end_lost_runs, worker)
        if self.fleet.drop_unlisted() and self._new_reports is None:
            self._queue_worker_reports(self.fleet.reports)
        for job in list(self._table.open_jobs.values()):
            self._isolation.attempt(job.id, self._close_job, job)
        if time.monotonic() - self._monitored_at >= MONITOR_INTERVAL_S:
            self._monitored_at = time.monotonic()
            for run in list(self._runs.values()):
                self._isolation.attempt(
                    run.key.format(), self._run_monitor.move_run, run
                )
                if not run.is_begin_recorded:
                    self._isolation.attempt(
                        run.key.format(), self._unbegun.check, run
                    )
        self._commands.send_stops()
        self._kept_rooms.release_late()
        self._isolation.attempt("starts", self._schedule)
        if time.monotonic() - self._purged_at > PURGE_INTERVAL_S:
            self._purged_at = time.monotonic()
            self._open_starts.drop_expired()
            self._job_ends.purge()
            self._planner.purge()
            self.log.info(
                "link_used",
                start_window=self._commands.start_window,
                usual_delay_ms=int(
                    self.fleet.answer_times.get_typical_s() * 1000
                ),
                **self._traffic.take_summary(),
            )

    def _apply_reports(
        self, reports: dict[str, interfaces.WorkerReport]
    ) -> None:
        known = set(self.fleet.resources.by_worker)
        self.fleet.set_reports(reports)
        self._fleet_size.record(len(reports))
        self._occupy_new_workers(known)

    def _occupy_new_workers(self, known: set[str]) -> None:
        """Allocate resources for adopted runs on workers listed since then."""
        for worker in set(self.fleet.resources.by_worker) - known:
            for key in self._runs_by_worker.get(worker, ()):
                for member in self._runs[key].members:
                    if (
                        member.place.worker == worker
                        and member.phase is not runs.Phase.ENDED
                    ):
                        self.fleet.resources.allocate(member.placed)

    def _process_renewal(
        self, renewal: sessions.Renewal, session: sessions.Session
    ) -> None:
        reply = renewal.reply
        listed: set[tuple[str, int]] = set()
        untracked = []
        for row in reply.running:
            listed.add((row.task, row.run))
            if not self._process_running_task(session, row):
                untracked.append(untracked_runs.ListedRun(row.task, row.run))
        self._untracked.replace(renewal.worker, untracked)
        for end in reply.ended:
            listed.add((end.task, end.run))
            self._process_end(session, end)
        for key in list(self._runs_by_worker.get(renewal.worker, ())):
            run = self._runs[key]
            for member in run.members:
                if member.place.worker != renewal.worker:
                    continue
                if member.phase is runs.Phase.ENDED:
                    continue
                if (member.task, run.number) in listed:
                    continue
                if reply.is_complete and member.is_settled_at(renewal.asked):
                    evidence = member.record_absence(reply.life)
                    self._end_member(run, member, "lost", evidence=evidence)
        self._record_ends(renewal.worker)
        self._run_monitor.pace_fillers(renewal.worker)
        self._neighbours.observe_worker(renewal.worker)
        self._speeds.observe_worker(renewal.worker)
        last = self._open_starts.choose_acknowledged(reply)
        session.set_kept_ends(any(end.number > last for end in reply.ended))
        if last > session.last_seen:
            # The worker may forget these ends once the records that result
            # from them are stored.
            life = reply.life or session.life
            self.writer.call_when_stored(
                lambda: session.acknowledge(last, life=life)
            )

    def _find_run(self, task: str) -> runs.Run | None:
        key = table.parse_unit_key(task)
        if errors.is_refusal(key):
            return None
        run = self._runs.get(key)
        if run is None and key.index is not None:
            run = self._runs.get(key._replace(index=None))
        return run

    def _process_running_task(
        self, session: sessions.Session, row: interfaces.RunningTask
    ) -> bool:
        """Record the progress of a task, or stop a run that isn't tracked.

        Returns:
            Whether the run is tracked.
        """
        run = self._find_run(row.task)
        member = (
            run.find_member(row.task, session.report.id)
            if run is not None and run.number == row.run
            else None
        )
        if member is None or member.phase is runs.Phase.ENDED:
            self.log.warn(
                "stray_run_stopped",
                task=row.task,
                run=row.run,
                worker=session.report.id,
            )
            self._commands.stop_stray_run(session, row.task, row.run)
            return False
        if member.phase is runs.Phase.ORDERED:
            member.phase = runs.Phase.KNOWN
            member.changed_at = time.monotonic()
        if run.is_adopted and not member.percent:
            run.estimate_start(
                row.percent, self._planner.estimate_duration_s(run)
            )
        member.is_listed = True
        member.has_begun = True
        member.progress.add(time.monotonic(), row.percent)
        member.percent = row.percent
        member.load = row.load
        run.record_checkpoint(member, row.checkpoint)
        return True

    def _process_end(
        self, session: sessions.Session, end: interfaces.EndedRun
    ) -> None:
        run = self._find_run(end.task)
        if run is None or run.number != end.run:
            self._process_late_end(session, end)
            return
        member = run.find_member(end.task, session.report.id)
        if member is None or member.phase is runs.Phase.ENDED:
            return
        member.has_begun = True
        if end.checkpoint:
            run.checkpoint = end.checkpoint
        self._end_member(run, member, end.how)

    def _process_late_end(
        self, session: sessions.Session, end: interfaces.EndedRun
    ) -> None:
        """Record the end of a run that was already considered lost."""
        key = table.parse_unit_key(end.task)
        if errors.is_refusal(key):
            return
        job = self._table.open_jobs.get(key.job)
        if job is None or key.step >= len(job.spec.steps):
            return
        step = job.spec.steps[key.step]
        index = 0
        if step.is_gang:
            index = key.index
            key = key._replace(index=None)
        unit = job.get_unit(key)
        # The process of the worker outlived the run, which had begun.
        updated = unit._replace(
            crashes=crash_limits.drop_run(unit.crashes, end.run, index),
            unbegun_runs=min(unit.unbegun_runs, end.run - 1),
        )
        if updated != unit:
            unit = updated
            self._write_unit(key, unit)
        if end.how not in ("done", "failed"):
            return
        if step.is_lasting or unit.status == table.UnitStatus.DONE:
            return
        self.log.info(
            "late_end_read",
            unit=key.format(),
            run=end.run,
            newest_run=unit.run,
            how=end.how,
            worker=session.report.id,
        )
        if end.how == "failed":
            failed = runs.add_failure(unit.failed, end.run)
            if failed != unit.failed:
                self._write_unit(key, unit._replace(failed=failed))
            return
        self._write_unit(key, unit._replace(status=table.UnitStatus.DONE))
        run = self._runs.get(key)
        if run is not None:
            run.is_recorded_done = True
            self._commands.stop(run, "an earlier run ended as done")

    def _end_member(
        self,
        run: runs.Run,
        member: runs.Member,
        outcome: str,
        *,
        evidence: str = "reported",
    ) -> None:
        """Stop tracking one task of a run, which certainly does not run.

        Args:
            run: The run.
            member: The task.
            outcome: How it ended; see `interfaces.EndedRun`.
            evidence: What shows that it ended, for the log.
        """
        member.phase = runs.Phase.ENDED
        member.outcome = outcome
        if outcome == "lost" and run.is_adopted and not member.is_listed:
            self._open_starts.record_inherited(run.key.format())
        self._kept_rooms.release_member(run, member)
        self._metrics.count(f"runs.ended.{outcome}")
        worker = member.place.worker
        if outcome == "done":
            self.fleet.health.record_success(
                worker,
                run.started,
                unit=run.key.format(),
                now=time.monotonic(),
            )
            self._speeds.record_end(run, member)
            job = self._table.jobs.get(run.key.job)
            if job is not None and run.number == 1 and not run.is_adopted:
                self._estimates.record_duration(
                    job, run.key.step, time.monotonic() - run.started
                )
        elif outcome == "failed":
            if self.fleet.health.record_failure(
                worker,
                run.key.format(),
                time.monotonic(),
                is_first_failure=not self._get_unit(run.key).failures,
            ):
                self.log.warn("worker_rests", worker=worker, why="failures")
        else:
            self.fleet.health.record_other_end(run.key.format())
        self.log.info(
            "run_ended",
            unit=run.key.format(),
            task=member.task,
            run=run.number,
            how=outcome,
            evidence=evidence,
            worker=worker,
            life=member.place.life,
            epoch=self.epoch,
            ran_s=round(time.monotonic() - run.started, 2),
            listed=member.is_listed,
            stopped_for=run.stop_reason,
        )
        if outcome != "done" and len(run.members) > 1 and not run.stop_reason:
            self._commands.stop(
                run, f"member {member.task} {outcome}", restarts=True
            )

    def _record_ends(self, worker: str) -> None:
        """Record the results of units whose tasks ended on `worker`."""
        for key in list(self._runs_by_worker.get(worker, ())):
            run = self._runs[key]
            is_done = any(one.outcome == "done" for one in run.members)
            if run.has_ended:
                self._finish_run(run)
            elif is_done and not run.is_recorded_done:
                run.is_recorded_done = True
                self._write_unit(
                    key,
                    self._get_unit(key)._replace(status=table.UnitStatus.DONE),
                )
            elif not run.is_recorded_done:
                self._record_partial_end(run)

    def _record_partial_end(self, run: runs.Run) -> None:
        """Record the failure of a gang before all its members have ended.

        A worker forgets the ends that it reported once they are acknowledged,
        and a successor knows only what was stored.
        """
        unit = self._get_unit(run.key)
        if self._get_step(run.key).is_lasting:
            return
        failed = runs.compute_unit_outcome(run, unit.failed).failed
        crashes = runs.list_crashes(run, unit.crashes, is_lasting=False)
        if (failed, crashes) != (unit.failed, unit.crashes):
            self._write_unit(
                run.key, unit._replace(failed=failed, crashes=crashes)
            )

    def _finish_run(self, run: runs.Run) -> None:
        key = run.key
        del self._runs[key]
        self._kept_rooms.release_run(key)
        for member in run.members:
            keys = self._runs_by_worker.get(member.place.worker)
            if keys is not None:
                keys.discard(key)
        unit = self._get_unit(key)
        if run.is_recorded_done:
            return
        step = self._get_step(key)
        outcome = runs.compute_unit_outcome(run, unit.failed)
        if step.is_lasting:
            outcome = runs.UnitOutcome(False, ())
        status = (
            table.UnitStatus.DONE
            if outcome.is_done
            else table.UnitStatus.WAITING
        )
        self._write_unit(
            key,
            unit._replace(
                status=status,
                failed=outcome.failed,
                checkpoint=run.checkpoint if step.is_checkpointed else "",
                places=(),
                crashes=runs.list_crashes(
                    run, unit.crashes, is_lasting=step.is_lasting
                ),
                unbegun_runs=unbegun_runs.count_unbegun_runs(run, unit),
            ),
        )
        if step.is_lasting:
            self._planner.delay_restart(key)

    def _end_lost_runs(self, worker: str) -> None:
        """End the runs on a worker whose lease has certainly expired."""
        now = time.monotonic()
        session = self.fleet.sessions.get(worker)
        if session is not None and session.is_reachable:
            return
        if now < self.fleet.get_lease_expiry(worker):
            return
        self._untracked.replace(worker, [])
        has_left = self.fleet.has_announced_departure(worker)
        alive = [
            (self._runs[key], member)
            for key in self._runs_by_worker.get(worker, ())
            for member in self._runs[key].members
            if member.place.worker == worker
            and member.phase is not runs.Phase.ENDED
        ]
        lost = [
            (run, member)
            for run, member in alive
            if not self.fleet.may_start_late(member)
        ]
        if alive and not lost:
            return
        for run, member in lost:
            # A start without an answer may never have come.
            member.has_crashed_worker = (
                member.phase is runs.Phase.KNOWN and not has_left
            )
            self._end_member(run, member, "lost", evidence="lease_expired")
        self._record_ends(worker)
        self.fleet.record_unresponsive(worker)

    # Jobs.

    def _get_unit(self, key: table.UnitKey) -> records.UnitRecord:
        job = self._table.jobs.get(key.job)
        return table.WAITING_UNIT if job is None else job.get_unit(key)

    def _get_step(self, key: table.UnitKey) -> specs.Step:
        return self._table.jobs[key.job].spec.steps[key.step]

    def _write_unit(
        self,
        key: table.UnitKey,
        unit: records.UnitRecord,
        on_stored: Callable[[], None] | None = None,
    ) -> None:
        unit = unit._replace(epoch=self.epoch)
        self._write_record(records.Kind.UNIT, key.format(), unit, on_stored)

    def _write_record(
        self,
        kind: records.Kind,
        name: str,
        value: object,
        on_stored: Callable[[], None] | None = None,
    ) -> None:
        """Apply a record to the working table and queue it for the ledger."""
        self._table.apply(records.Record(kind, name, value))
        self.writer.enqueue(
            records.build_key(kind, name),
            b"" if value is None else records.encode_value(value),
            on_stored,
        )

    def _get_queue(self, job: table.Job) -> configuration.Queue:
        config = self._get_operator_state().configuration
        queue = config and config.queues.get(job.submission.queue)
        return queue or job.submission.build_queue()

    def _close_job(self, job: table.Job) -> None:
        self._job_ends.close_job(job)

    # Scheduling decisions.

    def _schedule(self) -> None:
        operations = self._get_operator_state()
        if operations.configuration is None:
            return
        age_s = operations.compute_age_s(clocks.read_boot_clock_s())
        if not staleness.can_serve(age_s, self._config_bounds):
            self._metrics.count("rounds.skipped.operator_state_behind")
            return
        began = time.monotonic()
        self.fleet.update_open_workers(operations.evacuated)
        if self._follower.reachable_since is None or self.writer.is_behind:
            return
        allowed = self._commands.count_allowed_starts(self._ordered_tasks)
        plan = self._planner.plan(operations)
        self._metrics.record_time("rounds", time.monotonic() - began)
        self._metrics.set_gauge("fleet.open_jobs", len(self._table.open_jobs))
        self._metrics.set_gauge("fleet.runs", len(self._runs))
        for stop in plan.stops:
            run = self._runs[stop.unit]
            self.log.info(
                "run_preempted",
                unit=stop.unit.format(),
                job=stop.beneficiary,
                loss=round(stop.loss, 1),
            )
            self._commands.stop(run, f"preempted by {stop.beneficiary}")
        for start in plan.starts:
            if allowed <= 0:
                # The rest is planned again, in the order of need.
                self._metrics.count("rounds.cut")
                self._commands.record_full_window()
                break
            allowed -= len(start.workers)
            self._start_run(start)

    def _start_run(self, start: rounds.Start) -> None:
        job = self._table.jobs[start.unit.job]
        before = job.get_unit(start.unit)
        places = tuple(
            records.Place(
                worker, self.fleet.resources.by_worker[worker].worker.life
            )
            for worker in start.workers
        )
        unit = before._replace(
            run=before.run + 1,
            status=table.UnitStatus.ACTIVE,
            places=places,
            unbegun_runs=unbegun_runs.expect_unbegun_runs(before),
        )
        run = self._add_run(job, start.unit, unit, phase=runs.Phase.ORDERED)
        step_key = resource_values.get_step_key(start.unit)
        run.tickets = {
            worker: self._grants.get_ticket(step_key, worker)
            for worker in start.workers
        }
        self._metrics.count("runs.ordered")
        self._metrics.record_time("runs.wait", start.waited_ms / 1000)
        self.log.info(
            "run_ordered",
            unit=start.unit.format(),
            run=unit.run,
            queue=job.submission.queue,
            workers=",".join(start.workers),
            lives=",".join(str(place.life) for place in places),
            epoch=self.epoch,
            slack_ms=int(start.slack_ms),
            waited_ms=int(start.waited_ms),
            failures=before.failures,
            crashes=len(before.crashes),
        )
        self._write_unit(start.unit, unit, lambda: self._send_starts(job, run))
        self._ordered_tasks += len(run.members)

    def _send_starts(self, job: table.Job, run: runs.Run) -> None:
        self._ordered_tasks -= len(run.members)
        if self._runs.get(run.key) is not run:
            # It was lost before its record was stored, and its unit may have
            # a newer run.
            return
        if run.stop_reason or job.is_cancelled:
            for member in run.members:
                self._end_unsent(run, member)
            return
        self._commands.send_starts(job.spec.payload, run)

    def _end_unsent(self, run: runs.Run, member: runs.Member) -> None:
        """End a task whose start was never sent, so that it never begins."""
        if (
            self._runs.get(run.key) is not run
            or member.phase is not runs.Phase.ORDERED
        ):
            return
        self._end_member(run, member, "unsent", evidence="not_sent")
        if run.has_ended:
            self._finish_run(run)
        self._wake.set()
