"""Monitoring of active runs: moves to other workers, and paces of fillers."""

from collections.abc import Callable
from collections.abc import Mapping
import time

from chervilcove.control import commands as worker_commands
from chervilcove.control import departure_monitor
from chervilcove.control import fleet as fleets
from chervilcove.control import planner as planners
from chervilcove.control import runs
from chervilcove.core import logs
from chervilcove.core import metrics as metric_values
from chervilcove.dispatch import pacing
from chervilcove.dispatch import relocation
from chervilcove.jobs import specs
from chervilcove.jobs import table

STANDSTILL_INTERVAL_S = 1.0  # between records of the standstill of one task


class RunMonitor:
    """Monitor the active runs of one owner.

    Args:
        runs_by_key: Active runs of the owner.
        runs_by_worker: Keys of the runs on each worker.
        fleet: Workers of the owner.
        commands: Sends the commands.
        get_step: Returns the step of a unit.
        planner: Estimates how long runs take.
        stop_s: Longest duration of a stop, seconds.
        metrics: Metrics of this entry.
    """

    def __init__(
        self,
        *,
        runs_by_key: Mapping[table.UnitKey, runs.Run],
        runs_by_worker: Mapping[str, set[table.UnitKey]],
        fleet: fleets.Fleet,
        commands: worker_commands.CommandSender,
        get_step: Callable[[table.UnitKey], specs.Step],
        planner: planners.RoundPlanner,
        stop_s: float,
        metrics: metric_values.Metrics,
    ):
        self._runs = runs_by_key
        self._runs_by_worker = runs_by_worker
        self._fleet = fleet
        self._commands = commands
        self._get_step = get_step
        self._log = logs.Log(source="tender")
        self._departures = departure_monitor.DepartureMonitor(
            active_runs=runs_by_key,
            fleet=fleet,
            commands=commands,
            planner=planner,
            stop_s=stop_s,
            metrics=metrics,
        )

    def set_stop_s(self, stop_s: float) -> None:
        """Set the longest duration of a stop, for decisions from now on."""
        self._departures.set_stop_s(stop_s)

    def move_run(self, run: runs.Run) -> None:
        """Stop a run that should restart on another worker."""
        now = time.monotonic()
        step = self._get_step(run.key)
        if run.stop_reason or run.is_recorded_done:
            return
        self._departures.check_run(run, step, now)
        if run.stop_reason or step.is_lasting:
            return
        for member in run.members:
            if member.phase is runs.Phase.KNOWN:
                self._check_member(run, member, step, now)

    def _check_member(
        self, run: runs.Run, member: runs.Member, step: specs.Step, now: float
    ) -> None:
        worker = member.place.worker
        stalled_s = member.progress.get_stalled_s()
        if stalled_s < relocation.STALL_DETECTION_S:
            return
        is_new = now - member.standstill_recorded_at >= STANDSTILL_INTERVAL_S
        if is_new:
            member.standstill_recorded_at = now
        if is_new and self._fleet.health.record_standstill(
            worker, run.key.format(), now
        ):
            self._log.warn(
                "worker_rests",
                worker=worker,
                why="standstill",
                task=member.task,
                percent=member.percent,
            )
        if relocation.should_relocate(
            stalled_s, member.percent, is_resumable=step.is_checkpointed
        ):
            self._commands.stop(run, f"no progress on {worker}", restarts=True)

    def pace_fillers(self, worker: str) -> None:
        """Adjust fillers on `worker` to the latency of its serving tasks."""
        serving: list[pacing.ServiceLatency] = []
        fillers: list[tuple[runs.Run, runs.Member]] = []
        for key in self._runs_by_worker.get(worker, ()):
            run = self._runs[key]
            step = self._get_step(key)
            if not (step.is_filler or step.target_ms):
                continue
            for member in run.members:
                is_there = member.phase is runs.Phase.KNOWN
                if member.place.worker != worker or not is_there:
                    continue
                if step.is_filler:
                    fillers.append((run, member))
                else:
                    serving.append(
                        pacing.ServiceLatency(member.load, step.target_ms)
                    )
        for run, member in fillers:
            before = pacing.FULL_PACE if member.pace is None else member.pace
            percent = pacing.choose_pace(before, serving)
            if percent == member.pace:
                continue
            self._log.info(
                "task_paced",
                task=member.task,
                run=run.number,
                worker=worker,
                percent=percent,
                before=member.pace,
                tails_ms=",".join(f"{one.tail_ms:.0f}" for one in serving),
                targets_ms=",".join(str(one.target_ms) for one in serving),
            )
            self._commands.set_pace(run, member, percent)
