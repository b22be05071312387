"""Planner: builds the input of each round and keeps its state between rounds.

The decisions themselves are pure (`dispatch/rounds.py`). The planner collects
what they read from the owner's runs, workers and estimates, and hands the state
that a plan returns to the next round. A new owner begins without that state.
"""

import collections
from collections.abc import Callable
from collections.abc import Mapping
import time

from chervilcove.control import clocks
from chervilcove.control import contention_log
from chervilcove.control import estimates as estimate_values
from chervilcove.control import fleet as fleets
from chervilcove.control import grants as policy_grants
from chervilcove.control import inherited_places
from chervilcove.control import interfaces
from chervilcove.control import running_units
from chervilcove.control import runs
from chervilcove.control import share_monitor
from chervilcove.control import speed_monitor as speed_monitors
from chervilcove.control import untracked_runs
from chervilcove.control import wait_log
from chervilcove.core import logs
from chervilcove.core import metrics as metric_values
from chervilcove.dispatch import departures
from chervilcove.dispatch import durations
from chervilcove.dispatch import explanations
from chervilcove.dispatch import resources as resource_values
from chervilcove.dispatch import round_input
from chervilcove.dispatch import rounds
from chervilcove.dispatch import stop_costs
from chervilcove.dispatch import usage
from chervilcove.jobs import configuration
from chervilcove.jobs import maximums
from chervilcove.jobs import table

LASTING_RESTART_DELAY_S = 0.5  # after each end of a run of a lasting task

StepKey = tuple[str, int, int]
_RemainingEstimator = speed_monitors.SpeedMonitor | estimate_values.Estimates


class RoundPlanner:
    """Plan the rounds of one owner.

    Args:
        job_table: Working table of the owner.
        fleet: Workers of the owner.
        active_runs: Active runs of the owner.
        runs_by_worker: Keys of the runs on each worker.
        estimates: Estimates that the owner learns.
        grants: Grants of the queues' policies.
        untracked: Runs that workers list and that the owner doesn't track.
        speed_monitor: Knows the speeds of the workers.
        find_enemies: Returns the images to keep apart from an image.
        clock: Time that the entries share.
        get_queue: Returns the queue of a job, also of a removed queue.
        bounds: Times that the deployment guarantees.
        contention: What the deployment does about contention.
        log: Log of the owner.
        metrics: Metrics of this entry.
    """

    def __init__(
        self,
        *,
        job_table: table.JobTable,
        fleet: fleets.Fleet,
        active_runs: Mapping[table.UnitKey, runs.Run],
        runs_by_worker: Mapping[str, set[table.UnitKey]],
        estimates: estimate_values.Estimates,
        grants: policy_grants.GrantFetcher,
        untracked: untracked_runs.UntrackedRuns,
        speed_monitor: speed_monitors.SpeedMonitor,
        find_enemies: Callable[[str], Mapping[str, float]],
        clock: clocks.SharedClock,
        get_queue: Callable[[table.Job], configuration.Queue],
        bounds: round_input.ReclaimBounds,
        contention: round_input.ContentionPolicy,
        log: logs.Log,
        metrics: metric_values.Metrics,
    ):
        self._table = job_table
        self._fleet = fleet
        self._runs = active_runs
        self._runs_by_worker = runs_by_worker
        self._estimates = estimates
        self._grants = grants
        self._clock = clock
        self._get_queue = get_queue
        self._bounds = bounds
        self._contention_policy = contention
        self._log = log
        self._metrics = metrics
        self._restart_after: dict[table.UnitKey, float] = {}
        self._due_since: dict[StepKey, int] = {}
        self._preemptions: Mapping[StepKey, round_input.Preemption] = {}
        self._search_retry_at: Mapping[StepKey, int] = {}
        self._stop_counts: collections.Counter[table.UnitKey] = (
            collections.Counter()
        )
        # Usual durations of steps, and their estimators, within one round.
        self._usual: dict[
            tuple[str, int], tuple[float, _RemainingEstimator]
        ] = {}
        self._untracked = untracked
        self._speeds = speed_monitor
        self._find_enemies = find_enemies
        self._shares = share_monitor.ShareMonitor(
            job_table=job_table,
            resources=fleet.resources,
            log=log,
            metrics=metrics,
        )
        self._inherited = inherited_places.InheritedPlaces(
            jobs=job_table.open_jobs.values(), fleet=fleet
        )
        self._held_back = wait_log.HeldBackLog(log=log, metrics=metrics)
        self._headroom_log = wait_log.HeadroomLog(log=log)
        self._contention = contention_log.ContentionLog(
            log=log, metrics=metrics
        )

    def set_policies(
        self,
        bounds: round_input.ReclaimBounds,
        contention: round_input.ContentionPolicy,
    ) -> None:
        """Apply other values of the deployment from the next round on."""
        self._bounds = bounds
        self._contention_policy = contention

    def plan(self, operations: interfaces.OperatorState) -> rounds.Plan:
        """Return the plan of the next round, and log what it gives up.

        Args:
            operations: State set by the operator, with a configuration.
        """
        now = time.monotonic()
        jobs = list(self._table.open_jobs.values())
        self._estimates.record_jobs(jobs)
        self._speeds.update_resources()
        self._grants.set_waiting_steps(
            policy_grants.list_waiting_steps(
                jobs, self._get_queue, self._clock.get_now_ms()
            )
        )
        usage_parts = self._update_usage(
            jobs, operations.configuration.customers
        )
        plan = rounds.plan_round(
            self._build_input(operations, jobs, usage_parts, now)
        )
        self._keep_state(plan)
        return plan

    def explain(
        self, operations: interfaces.OperatorState, job: table.Job
    ) -> explanations.JobPlan:
        """Return what the next round would decide about a job not sent yet.

        The round runs on copies of what it or the job would change. Whether a
        worker may get tasks, its speed and the recent usage are those of the
        last round.

        Args:
            operations: State set by the operator, with a configuration.
            job: The job, accepted now; it isn't in the job table.
        """
        jobs = [*self._table.open_jobs.values(), job]
        estimates = self._estimates.copy()
        estimates.record_jobs(jobs)
        customers = operations.configuration.customers
        counts_shares = self._contention_policy.counts_shares(
            customers.values()
        )
        inputs = self._build_input(
            operations,
            jobs,
            self._shares.recent if counts_shares else {},
            time.monotonic(),
        )
        is_beyond = self._shares.is_next_beyond(
            customers.get(job.submission.customer), inputs.now_ms
        )
        return explanations.explain_round(
            inputs._replace(
                resources=self._fleet.resources.copy(),
                mean_work=estimates.get_mean_work(),
                urgent=estimates.urgent,
                is_beyond_weight=lambda one: (
                    is_beyond
                    if one is job
                    else self._shares.is_beyond_weight(one)
                ),
            ),
            job,
        )

    def _build_input(
        self,
        operations: interfaces.OperatorState,
        jobs: list[table.Job],
        recent_usage: Mapping[usage.Account, float],
        now: float,
    ) -> round_input.RoundInput:
        self._usual = {}
        return round_input.RoundInput(
            now_ms=self._clock.get_now_ms(),
            jobs=jobs,
            get_queue=self._get_queue,
            customers=operations.configuration.customers,
            resources=self._fleet.resources,
            running=running_units.RunningUnits(
                active_runs=self._runs,
                describe=lambda run: self._describe_run(run, now),
            ),
            duration_factors=self._estimates.factors,
            mean_work=self._estimates.get_mean_work(),
            is_backing_off=lambda key: self._restart_after.get(key, 0.0) > now,
            get_grants=self._grants.get_granted_workers,
            bounds=self._bounds,
            contention=self._contention_policy,
            urgent=self._estimates.urgent,
            start_due_since=self._due_since,
            preemptions=self._preemptions,
            search_retry_at=self._search_retry_at,
            untracked=self._list_untracked(),
            get_step_duration_s=self._speeds.get_step_duration_s,
            find_enemies=self._find_enemies,
            leaving=self._fleet.list_leaving(now),
            recent_usage=recent_usage,
            is_beyond_weight=self._shares.is_beyond_weight,
            list_units=lambda worker: self._runs_by_worker.get(worker, ()),
        )

    def may_have_untracked_runs(self, job: str) -> bool:
        """Tell whether runs of a job may be alive that no unit shows."""
        return self._inherited.has_job(job) or self._untracked.has_job(job)

    def get_held_back(self) -> dict[str, wait_log.HeldBack]:
        """Return which customers are held back by their maximum."""
        return self._held_back.customers

    def estimate_duration_s(self, run: runs.Run) -> float:
        """Return the expected duration of a run in seconds."""
        usual_s, _ = self._estimate_usual_s(run.key)
        return usual_s * self._get_factor(run)

    def _estimate_usual_s(
        self, key: table.UnitKey
    ) -> tuple[float, _RemainingEstimator]:
        """Return the expected duration of a unit on the median worker.

        Returns:
            Seconds, and what then estimates the remaining time: what other
            tasks of the step showed, or the declared duration.
        """
        known_s = self._speeds.get_step_duration_s(key.job, key.step)
        if known_s is not None:
            return known_s, self._speeds
        job = self._table.jobs[key.job]
        factor = self._estimates.factors.get(job.submission.queue, 1.0)
        declared_s = job.spec.steps[key.step].estimate_ms / 1000
        return declared_s * factor, self._estimates

    def _get_factor(self, run: runs.Run) -> float:
        """Return the time factor of the slowest worker of a run."""
        return self._speeds.get_factor(
            [member.place.worker for member in run.members]
        )

    def _estimate_remaining_s(self, run: runs.Run, ran_s: float) -> float:
        """Return how much longer a run lasts, by how long others took."""
        step = (run.key.job, run.key.step)
        usual = self._usual.get(step)
        if usual is None:
            usual = self._usual[step] = self._estimate_usual_s(run.key)
        usual_s, estimator = usual
        expected_s = usual_s * self._get_factor(run)
        # A resumed run has not run all of what it has done.
        percent = min(member.percent for member in run.members)
        return estimator.estimate_remaining_s(
            ran_s=max(ran_s, expected_s * percent / 100), expected_s=expected_s
        )

    def estimate_scatter(self, run: runs.Run) -> float:
        """Return how uncertain `estimate_duration_s` is; see `departures`."""
        known_s = self._speeds.get_step_duration_s(run.key.job, run.key.step)
        if known_s is None:
            return departures.DECLARED_SCATTER
        return departures.SIBLING_SCATTER

    def delay_restart(self, unit: table.UnitKey) -> None:
        """Delay the next start of a lasting task, of which a run ended.

        Unlike other tasks, lasting tasks have no attempt limit, so a delay
        bounds the rate of their restarts.
        """
        until = time.monotonic() + LASTING_RESTART_DELAY_S
        self._restart_after[unit] = until

    def forget_job(self, job: table.Job) -> None:
        """Forget the preemptions and durations of a job that has ended."""
        for key in job.units:
            self._stop_counts.pop(key, None)
        self._speeds.forget_job(job.id)

    def purge(self) -> None:
        """Drop the delays that are over, and log the longest waits."""
        self._speeds.log_changes()
        self._shares.log_beyond()
        now = time.monotonic()
        for key in [
            k for k, until in self._restart_after.items() if until < now
        ]:
            del self._restart_after[key]
        wait_log.log_longest_waits(
            log=self._log,
            jobs=self._table.open_jobs.values(),
            runs=self._runs,
            resources=self._fleet.resources,
            get_queue=self._get_queue,
            headroom=self._headroom_log.placed,
            now_ms=self._clock.get_now_ms(),
        )

    def _update_usage(
        self,
        jobs: list[table.Job],
        customers: Mapping[str, configuration.Customer],
    ) -> Mapping[usage.Account, float]:
        """Return what accounts had lately, empty if no share counts."""
        if not self._contention_policy.counts_shares(customers.values()):
            return {}
        return self._shares.update(jobs, customers, self._clock.get_now_ms())

    def _list_untracked(self) -> list[maximums.Usage]:
        return self._untracked.list_usages() + self._inherited.list_usages()

    def _keep_state(self, plan: rounds.Plan) -> None:
        self._due_since = plan.start_due_since
        self._preemptions = plan.preemptions
        self._search_retry_at = plan.search_retry_at
        for stop in plan.stops:
            self._stop_counts[stop.unit] += 1
        for abandonment in plan.abandoned:
            self._log.info(
                "preemption_abandoned",
                job=abandonment.step_key[0],
                reason=abandonment.reason,
            )
        self._held_back.record(plan.held_back, self._clock.get_now_ms())
        self._contention.record(plan.reserved, plan.gated)
        self._headroom_log.record(
            plan.headroom, arrivals=len(self._estimates.urgent)
        )

    def _describe_run(
        self, run: runs.Run, now: float
    ) -> round_input.RunningUnit:
        job = self._table.jobs[run.key.job]
        step = job.spec.steps[run.key.step]
        queue = self._get_queue(job)
        alive = [
            member
            for member in run.members
            if member.phase is not runs.Phase.ENDED
        ]
        run_s = now - run.started
        left_s = durations.combine_remaining_s(
            [member.progress.estimate_remaining_s() for member in alive],
            lambda: self._estimate_remaining_s(run, run_s),
        )
        return round_input.RunningUnit(
            allocation=resource_values.Allocation(
                resource_values.get_step_key(run.key),
                step.need,
                tuple(member.place.worker for member in alive),
            ),
            is_urgent=queue.priority == 0,
            is_stopping=bool(run.stop_reason),
            is_resumable=step.is_checkpointed,
            run_s=run_s,
            remaining_s=float("inf") if step.is_lasting else left_s,
            stop_count=self._stop_counts.get(run.key, 0),
            lost_s=stop_costs.estimate_lost_s(
                self._bounds.checkpoints,
                run_s=run_s,
                since_save_s=now - run.saved_at if run.saved_at else None,
            ),
        )
