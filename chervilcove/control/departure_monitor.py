"""Runs on workers that leave: what is known of them, and their stops."""

from collections.abc import Mapping

from chervilcove.control import commands as worker_commands
from chervilcove.control import fleet as fleets
from chervilcove.control import planner as planners
from chervilcove.control import runs
from chervilcove.control import sessions
from chervilcove.core import logs
from chervilcove.core import metrics as metric_values
from chervilcove.dispatch import departures
from chervilcove.dispatch import placement
from chervilcove.dispatch import resources as resource_values
from chervilcove.jobs import specs
from chervilcove.jobs import table

# Tasks of a lasting step are counted anew after this time, which is less than
# the pause between two rounds. Steps may have thousands of tasks.
COUNT_VALID_S = 0.01
# Rounds may follow each other within 15 ms, and a run's progress is reported
# once a second.
CHECK_INTERVAL_S = 0.1
# An eighth of 1,000 workers runs 3,500 tasks, whose lines would delay a round
# by 0.1 s. The counters hold all decisions.
MAX_LINES_A_SECOND = 200

StepKey = tuple[str, int, int]


class DepartureMonitor:
    """Decide about the runs of one owner whose workers leave.

    It keeps no state that a new owner would need: the notice is in the report
    of the worker, and what is expected of a run in its job.

    Args:
        active_runs: Active runs of the owner.
        fleet: Workers of the owner.
        commands: Sends the commands.
        planner: Estimates how long runs take.
        stop_s: Longest duration of a stop, seconds.
        metrics: Metrics of this entry.
    """

    def __init__(
        self,
        *,
        active_runs: Mapping[table.UnitKey, runs.Run],
        fleet: fleets.Fleet,
        commands: worker_commands.CommandSender,
        planner: planners.RoundPlanner,
        stop_s: float,
        metrics: metric_values.Metrics,
    ):
        self._runs = active_runs
        self._fleet = fleet
        self._commands = commands
        self._planner = planner
        self._metrics = metrics
        self._log = logs.Log(source="departures")
        self._bounds = departures.StopBounds(
            stop_s=stop_s,
            expiry_s=sessions.LEASE_MS / 1000 * sessions.CLOCK_SLACK
            + sessions.EXPIRY_MARGIN_S,
        )
        # Start of the second whose lines are counted, and their number.
        self._logged_since = 0.0
        self._logged = 0
        # Monotonic seconds of the count and missing tasks, by lasting step.
        self._missing: dict[StepKey, tuple[float, int]] = {}

    def set_stop_s(self, stop_s: float) -> None:
        """Set the longest duration of a stop, for decisions from now on."""
        self._bounds = self._bounds._replace(stop_s=stop_s)

    def check_run(self, run: runs.Run, step: specs.Step, now: float) -> None:
        """Stop a run that should not end with its worker."""
        if (
            not self._fleet.has_leaving_workers
            or now - run.departure_checked_at < CHECK_INTERVAL_S
        ):
            return
        leaving: list[tuple[float, str]] = []
        for member in run.members:
            worker = member.place.worker
            left_s = self._fleet.get_time_left_s(worker, now)
            if left_s is not None and member.phase is not runs.Phase.ENDED:
                leaving.append((left_s, worker))
        if not leaving:
            return
        run.departure_checked_at = now
        leaves_in_s, worker = min(leaving)
        if step.is_lasting:
            chance = 0.0
            action = self._choose_lasting(run, step, leaves_in_s, now)
        else:
            outlook = self._describe(run, step, leaves_in_s, now)
            chance = outlook.compute_end_chance()
            action = departures.choose_action(outlook, self._bounds)
        if action is run.departure or (
            run.departure is not None and action is departures.Action.WAIT
        ):
            return
        run.departure = action
        self._metrics.count(f"departures.{action.value}")
        if action is departures.Action.STOP:
            self._commands.stop(
                run,
                f"{worker} leaves before the run can end",
                restarts=True,
            )
        if action is departures.Action.WAIT or not self._may_log(now):
            return
        self._log.info(
            "departure_decided",
            unit=run.key.format(),
            run=run.number,
            action=action.value,
            worker=worker,
            leaves_in_s=round(leaves_in_s, 2),
            members=len(run.members),
            leaving=len(leaving),
            end_chance=round(chance, 2),
            ran_s=round(now - run.started, 2),
        )

    def _may_log(self, now: float) -> bool:
        """Return whether one more line fits into the bound of this second."""
        if now - self._logged_since >= 1.0:
            self._logged_since = now
            self._logged = 0
        self._logged += 1
        return self._logged <= MAX_LINES_A_SECOND

    def _describe(
        self, run: runs.Run, step: specs.Step, leaves_in_s: float, now: float
    ) -> departures.Outlook:
        """Return what is known of a run; a gang ends with its last member."""
        alive = [
            member
            for member in run.members
            if member.phase is not runs.Phase.ENDED
        ]
        known = [member.progress.estimate_remaining_s() for member in alive]
        return departures.Outlook(
            leaves_in_s=leaves_in_s,
            expectation=self._expect(run, alive, now),
            remaining_s=max(
                (one for one in known if one is not None), default=None
            ),
            is_resumable=step.is_checkpointed,
        )

    def _expect(
        self, run: runs.Run, alive: list[runs.Member], now: float
    ) -> departures.Expectation:
        duration_s = self._planner.estimate_duration_s(run)
        percent = min(member.percent for member in alive)
        if run.is_adopted and not percent:
            # How long it ran is unknown until a worker reports its progress.
            return departures.Expectation(duration_s, 0.0, 0.0)
        return departures.expect_by_progress(
            departures.Expectation(
                now - run.started,
                duration_s,
                self._planner.estimate_scatter(run),
            ),
            percent,
            is_resumed=bool(run.resumes_from) or run.is_adopted,
        )

    def _choose_lasting(
        self, run: runs.Run, step: specs.Step, leaves_in_s: float, now: float
    ) -> departures.Action:
        if not step.may_miss:
            return departures.Action.END
        step_key = resource_values.get_step_key(run.key)
        missing = self._count_missing(step_key, step, now)
        action = departures.choose_lasting_action(
            departures.LastingOutlook(
                leaves_in_s=leaves_in_s,
                count=len(run.members),
                missing=missing,
                may_miss=step.may_miss,
                has_room=missing < step.may_miss
                and self._has_room(run, step, step_key),
            ),
            self._bounds,
        )
        if action is departures.Action.STOP:
            self._missing[step_key] = (now, missing + len(run.members))
        return action

    def _count_missing(
        self, step_key: StepKey, step: specs.Step, now: float
    ) -> int:
        """Return how many tasks of a step aren't confirmed as running."""
        counted_at, missing = self._missing.get(step_key, (float("-inf"), 0))
        if now - counted_at < COUNT_VALID_S:
            return missing
        running = sum(
            len(run.members)
            for key in table.list_unit_keys(*step_key, step)
            if (run := self._runs.get(key)) is not None
            and not run.stop_reason
            and all(member.is_listed for member in run.members)
            and all(one.phase is runs.Phase.KNOWN for one in run.members)
        )
        # Only the counts of this round are of use.
        self._missing = {
            key: (at, count)
            for key, (at, count) in self._missing.items()
            if now - at < COUNT_VALID_S
        }
        self._missing[step_key] = (now, step.count - running)
        return step.count - running

    def _has_room(
        self, run: runs.Run, step: specs.Step, step_key: StepKey
    ) -> bool:
        room = self._fleet.resources.by_worker.get(run.members[0].place.worker)
        if room is None:
            return False
        return (
            placement.place(
                self._fleet.resources,
                placement.PlacementRequest(
                    step_key=step_key,
                    step=step,
                    count=len(run.members),
                    service=room.worker.service,
                    requires_locality=False,
                ),
            )
            is not None
        )
