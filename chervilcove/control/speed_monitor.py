"""Observations of how fast workers are, from progress and ends of tasks."""

import collections
from collections.abc import Callable
from collections.abc import Mapping
import time

from chervilcove.control import fleet as fleets
from chervilcove.control import runs
from chervilcove.core import logs
from chervilcove.core import metrics as metric_values
from chervilcove.dispatch import durations
from chervilcove.dispatch import speeds
from chervilcove.jobs import specs
from chervilcove.jobs import table

# Reports of a gang that come sooner say little new; each of its workers reports
# once a second.
GANG_INTERVAL_S = 0.9


class SpeedMonitor:
    """Learn the speeds of the workers of one owner.

    What is learned lives in memory; a new owner learns it again within a few
    reports of the tasks that run, one a second each.

    Args:
        active_runs: Active runs of the owner.
        runs_by_worker: Keys of the runs on each worker.
        fleet: Workers of the owner.
        get_step: Returns the step of a unit.
        metrics: Metrics of this entry.
    """

    def __init__(
        self,
        *,
        active_runs: Mapping[table.UnitKey, runs.Run],
        runs_by_worker: Mapping[str, set[table.UnitKey]],
        fleet: fleets.Fleet,
        get_step: Callable[[table.UnitKey], specs.Step],
        metrics: metric_values.Metrics,
    ):
        self._runs = active_runs
        self._runs_by_worker = runs_by_worker
        self._fleet = fleet
        self._get_step = get_step
        self._metrics = metrics
        self._log = logs.Log(source="speeds")
        # By pool, as workers are compared with others of their pool only.
        self._speeds: dict[str, speeds.WorkerSpeeds] = collections.defaultdict(
            speeds.WorkerSpeeds
        )
        self._ratios = durations.DurationRatios()
        self._gangs = durations.GangDurations()
        self._gangs_seen: dict[table.UnitKey, float] = {}
        self._slow_since: dict[str, float] = {}

    def observe_worker(self, worker: str) -> None:
        """Record the present rates of the tasks on a worker.

        Of each report as many tasks are recorded as are kept of a worker.
        """
        recorded = 0
        for key in self._runs_by_worker.get(worker, ()):
            run = self._runs[key]
            if run.stop_reason:
                continue
            if len(run.members) > 1:
                self._observe_gang(run)
                continue
            duration_s = _get_present_duration_s(run.members[0])
            if duration_s is not None and recorded < speeds.MAX_TASKS:
                recorded += self._record(run, duration_s, is_live=True)

    def record_end(self, run: runs.Run, member: runs.Member) -> None:
        """Record the duration of a task that ended as done.

        It counts from when the worker confirmed the start: before that, the
        run may have waited for the ledger.
        """
        if (
            len(run.members) > 1
            or run.is_adopted
            or run.resumes_from
            or run.stop_reason
            or member.has_open_start
        ):
            return
        ran_s = time.monotonic() - member.changed_at
        expected_s = self.estimate_duration_s(run.key, [member.place.worker])
        if not self._record(run, ran_s, is_live=False) or expected_s is None:
            return
        step = (run.key.job, run.key.step)
        ratio = self._ratios.record(step, ran_s=ran_s, expected_s=expected_s)
        if ratio is not None and ratio > durations.LONG_TAIL_RATIO:
            self._metrics.count("runs.long")

    def update_resources(self) -> None:
        """Set the speed class of each worker for the next round."""
        now = time.monotonic()
        for worker, room in self._fleet.resources.by_worker.items():
            room.speed_class = self._speeds[room.worker.service].get_class(
                self._get_machine(worker), now
            )

    def log_changes(self) -> None:
        """Log the workers that turned slow or recovered, and count them."""
        now = time.monotonic()
        rooms = self._fleet.resources.by_worker
        slow = {
            worker
            for worker, room in rooms.items()
            if room.speed_class >= speeds.SpeedClass.SLOW
        }
        for worker in self._slow_since.keys() - slow:
            since = self._slow_since.pop(worker)
            if worker not in rooms:
                continue  # it has left
            self._log.info(
                "worker_recovered", worker=worker, slow_s=round(now - since, 1)
            )
        for worker in slow - self._slow_since.keys():
            self._slow_since[worker] = now
            self._log.info(
                "worker_slow",
                worker=worker,
                factor=round(self._get_worker_factor(worker, now), 2),
            )
        self._metrics.set_gauge("fleet.slow_workers", len(slow))

    def estimate_duration_s(
        self, key: table.UnitKey, workers: list[str]
    ) -> float | None:
        """Return how long a unit takes on some workers, as others showed.

        Returns:
            None while too few tasks of its step have shown it, and neither has
            a gang by its own rate.
        """
        usual_s = self.get_step_duration_s(key.job, key.step)
        if usual_s is None:
            return None
        return usual_s * self.get_factor(workers)

    def estimate_remaining_s(self, *, ran_s: float, expected_s: float) -> float:
        """Return how much longer a run lasts of which siblings have ended."""
        return self._ratios.estimate_remaining_s(
            ran_s=ran_s, expected_s=expected_s
        )

    def get_step_duration_s(self, job: str, step: int) -> float | None:
        """Return the duration of a step's units on the median worker."""
        for pool in self._speeds.values():
            duration_s = pool.get_step_duration_s((job, step))
            if duration_s is not None:
                return duration_s
        return self._gangs.get_duration_s((job, step))

    def get_factor(self, workers: list[str]) -> float:
        """Return the time factor of the slowest of some workers."""
        now = time.monotonic()
        return max(
            (self._get_worker_factor(worker, now) for worker in workers),
            default=1.0,
        )

    def forget_job(self, job: str) -> None:
        """Discard what the tasks of an ended job showed."""
        for pool in self._speeds.values():
            pool.forget_job(job)
        self._gangs.forget_job(job)
        for key in [one for one in self._gangs_seen if one.job == job]:
            del self._gangs_seen[key]

    def _observe_gang(self, run: runs.Run) -> None:
        """Record the rate of a gang, which is that of its slowest member."""
        now = time.monotonic()
        if now - self._gangs_seen.get(run.key, 0.0) < GANG_INTERVAL_S:
            return
        step = self._get_step(run.key)
        if step.is_lasting or step.is_filler:
            return
        self._gangs_seen[run.key] = now
        # At 100 percent a member waits for the others to end.
        rates = [
            one.progress.get_rate() if one.phase is runs.Phase.KNOWN else None
            for one in run.members
            if one.percent < 100.0
        ]
        workers = [one.place.worker for one in run.members]
        self._gangs.record(
            (run.key.job, run.key.step), rates, self.get_factor(workers)
        )

    def _record(
        self, run: runs.Run, duration_s: float, *, is_live: bool
    ) -> bool:
        """Record a single task; return whether its step tells speeds."""
        step = self._get_step(run.key)
        if step.is_lasting or step.is_filler:
            return False
        member = run.members[0]
        worker = member.place.worker
        self._speeds[self._get_pool(worker)].record(
            worker=self._get_machine(worker),
            step=(run.key.job, run.key.step),
            task=member.task,
            duration_s=duration_s,
            now_s=time.monotonic(),
            is_live=is_live,
        )
        return True

    def _get_worker_factor(self, worker: str, now: float) -> float:
        return self._speeds[self._get_pool(worker)].get_factor(
            self._get_machine(worker), now
        )

    def _get_pool(self, worker: str) -> str:
        room = self._fleet.resources.by_worker.get(worker)
        return room.worker.service if room else ""

    def _get_machine(self, worker: str) -> str:
        report = self._fleet.reports.get(worker)
        return (report.machine if report else "") or worker


def _get_present_duration_s(member: runs.Member) -> float | None:
    """Return how long a task takes at its present rate.

    Returns:
        None while that isn't known, and infinity while the task stands still.
        A task that has not advanced yet may load its data or report none.
    """
    if member.phase is not runs.Phase.KNOWN:
        return None
    rate = member.progress.get_rate()
    if rate is None:
        return None
    if rate > 0.0:
        return 100.0 / rate
    return float("inf") if member.progress.get_stalled_s() else None
