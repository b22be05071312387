"""In-memory stand-in for a fleet of workers, with delayed or lost calls."""

from collections.abc import Callable
import functools
import math
import time

import gevent
from gevent import event

from chervilcove.control import interfaces
from chervilcove.core import errors
from chervilcove.jobs import specs

UNANSWERED_START_DELAY_S = 0.3  # before the start is answered OUTCOME_UNKNOWN
UNANSWERED_RENEWAL_DELAY_S = 0.1  # the same for a renewal
CAPACITY = specs.Resources(64_000, 131_072, 8)
NO_RESOURCES = specs.Resources(0, 0, 0)


class RunInterval:
    """Time for which a worker ran one run.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        began: Monotonic seconds.
        ended: Monotonic seconds, infinite while it runs.
        outcome: How it ended, as in `interfaces.EndedRun`; empty if it runs,
            or if its process crashed.
        is_end_noted: Whether its end was acknowledged.
    """

    def __init__(self, *, task: str, run: int):
        self.task = task
        self.run = run
        self.began = time.monotonic()
        self.ended = math.inf
        self.outcome = ""
        self.is_end_noted = False


class MemoryWorker(interfaces.WorkerClient):
    """Worker whose tasks run until `end` is called.

    Attributes:
        report: The worker's report about itself.
        is_cut: Whether calls have no effect and get no answer.
        swallow_starts: Number of further starts that get no answer; each is
            kept in `late` until `run_late` executes it.
        swallow_renewals: The same for renewals of the lease.
        refuse_connections: Number of further starts whose connection fails.
        late: Calls that have not been executed, oldest first.
        starts: Task and run of every start that took effect, in order.
        intervals: When each of these runs ran, in the same order.
        tickets: Tickets of these starts, in the same order.
        loads: Load to report for each task, 0.0 where it has none.
        paces: Task and percent of each `set_pace`, in order.
        running: Number of the current run of each running task.
        percent_per_s: Progress of every task, in percent per second.
        ended: Ends that the owner has not acknowledged.
        lease_until_ms: End of the longest lease that it was given, on its
            clock.
        lease_limit_ms: Longest lease that it accepts; tasks lapse with it. With
            0 they run on after the lease.
        clock_start: Monotonic seconds at which its clock read 0.
        fence: Highest fence that the worker has seen.
        crashing_tasks: Tasks whose start crashes the worker.
        stop_delay_s: Seconds from a stop to the end of its run.
        get_need: Returns the resources of a task, by its name.
        overloads: Starts for which the worker had too little room, as text.
            Like the users' workers, it doesn't refuse them.
    """

    def __init__(self, *, report: interfaces.WorkerReport):
        self.report = report
        self.stop_delay_s = 0.0
        self.get_need: Callable[[str], specs.Resources] = lambda _: NO_RESOURCES
        self.overloads: list[str] = []
        self.is_cut = False
        self.crashing_tasks: set[str] = set()
        self.swallow_starts = 0
        self.swallow_renewals = 0
        self.refuse_connections = 0
        self.late: list[Callable[[], object]] = []
        self.starts: list[tuple[str, int]] = []
        self.intervals: list[RunInterval] = []
        self.tickets: list[str] = []
        self.loads: dict[str, float] = {}
        self.paces: list[tuple[str, int]] = []
        self.running: dict[str, int] = {}
        self.percent_per_s = 10.0
        self._started_at: dict[str, float] = {}
        self.ended: list[interfaces.EndedRun] = []
        self.lease_until_ms = 0
        self.lease_limit_ms = 0
        self.clock_start = 0.0
        self.fence = 0
        self._highest_runs: dict[str, int] = {}
        self._end_count = 0
        self._changed = event.Event()

    def start(
        self,
        command: interfaces.RunCommand,
        details: interfaces.StartOptions,
        *,
        timeout_s: float,
    ) -> int | errors.Refusal:
        """Start a run, unless a fault is set for it.

        Returns:
            The worker's clock in milliseconds.
        """
        gevent.sleep(0)
        if self.is_cut:
            return errors.refuse(
                errors.Kind.OUTCOME_UNKNOWN, "worker is unreachable"
            )
        if self.refuse_connections:
            self.refuse_connections -= 1
            return errors.refuse(
                errors.Kind.CONNECT_FAILED, "connection timed out"
            )
        if self.swallow_starts:
            self.swallow_starts -= 1
            self.late.append(functools.partial(self._start, command, details))
            gevent.sleep(UNANSWERED_START_DELAY_S)
            return errors.refuse(
                errors.Kind.OUTCOME_UNKNOWN, "start was not answered"
            )
        return self._start(command, details)

    def run_late(self) -> list[object]:
        """Execute the calls that got no answer; return their outcomes."""
        late, self.late = self.late, []
        return [call() for call in late]

    def stop(
        self, command: interfaces.RunCommand, *, timeout_s: float
    ) -> int | errors.Refusal:
        """Stop a run, and prevent its start if it has not started yet."""
        gevent.sleep(0)
        if self.is_cut:
            return errors.refuse(
                errors.Kind.OUTCOME_UNKNOWN, "worker is unreachable"
            )
        if command.fence < self.fence:
            return errors.refuse(errors.Kind.FENCED, "epoch is stale")
        self.fence = command.fence
        highest = max(self._highest_runs.get(command.task, 0), command.run)
        self._highest_runs[command.task] = highest
        if self.running.get(command.task) == command.run:
            if self.stop_delay_s:
                gevent.spawn_later(
                    self.stop_delay_s, self._end_stopped, command
                )
            else:
                self.end(command.task, "stopped")
        return self.read_clock_ms()

    def renew_lease(
        self,
        *,
        fence: int,
        last_seen: int,
        lease_until_ms: int,
        wait_ms: int,
        timeout_s: float,
    ) -> interfaces.LeaseReply | errors.Refusal:
        """Return running and ended tasks; wait up to `wait_ms` for an end."""
        if self.is_cut:
            gevent.sleep(0.05)
            return errors.refuse(
                errors.Kind.OUTCOME_UNKNOWN, "worker is unreachable"
            )
        if self.swallow_renewals:
            self.swallow_renewals -= 1
            self.late.append(
                functools.partial(
                    self._renew_lease, fence, last_seen, lease_until_ms
                )
            )
            gevent.sleep(UNANSWERED_RENEWAL_DELAY_S)
            return errors.refuse(
                errors.Kind.OUTCOME_UNKNOWN, "renewal was not answered"
            )
        refusal = self._renew_lease(fence, last_seen, lease_until_ms)
        if refusal is not None:
            return refusal
        life = self.report.life
        if not self.ended and wait_ms:
            self._changed.wait(timeout=wait_ms / 1000)
        gevent.sleep(0)
        if self.is_cut or self.report.life != life:
            return errors.refuse(
                errors.Kind.OUTCOME_UNKNOWN, "worker is unreachable"
            )
        return interfaces.LeaseReply(
            clock_ms=self.read_clock_ms(),
            life=self.report.life,
            running=[
                interfaces.RunningTask(
                    task,
                    run,
                    "",
                    self._estimate_progress(task),
                    self.loads.get(task, 0.0),
                )
                for task, run in self.running.items()
            ],
            ended=list(self.ended),
        )

    def set_pace(
        self, command: interfaces.RunCommand, percent: int, *, timeout_s: float
    ) -> int | errors.Refusal:
        """Record the pace that a task is set to, in percent."""
        gevent.sleep(0)
        if self.is_cut:
            return errors.refuse(
                errors.Kind.OUTCOME_UNKNOWN, "worker is unreachable"
            )
        if command.fence < self.fence:
            return errors.refuse(errors.Kind.FENCED, "epoch is stale")
        self.fence = command.fence
        self.paces.append((command.task, percent))
        return self.read_clock_ms()

    def close(self) -> None:
        """Do nothing; there is no connection."""

    def end(self, task: str, how: str, checkpoint: str = "") -> None:
        """End a running task.

        Args:
            task: Name of the task.
            how: How the run ends, as in `interfaces.EndedRun`.
            checkpoint: Newest checkpoint, empty for none.
        """
        run = self.running.pop(task)
        self._close_interval(task, how)
        self._highest_runs[task] = max(self._highest_runs.get(task, 0), run)
        self._end_count += 1
        self.ended.append(
            interfaces.EndedRun(self._end_count, task, run, how, checkpoint)
        )
        self._changed.set()
        self._changed.clear()

    def read_clock_ms(self) -> int:
        """Return the time on the worker's clock in milliseconds."""
        return int((time.monotonic() - self.clock_start) * 1000)

    def crash(self) -> None:
        """Lose all tasks and answer no calls until `restart`."""
        self.is_cut = True
        self.lease_until_ms = 0
        for task in self.running:
            self._close_interval(task)
        self.running.clear()
        self.ended.clear()
        self._highest_runs.clear()
        self._end_count = 0
        self.fence = 0

    def restart(self, report: interfaces.WorkerReport) -> None:
        """Answer calls again, as the new process that `report` describes.

        Its clock starts anew.
        """
        self.report = report
        self.clock_start = time.monotonic()
        self.is_cut = False

    def _renew_lease(
        self, fence: int, last_seen: int, lease_until_ms: int
    ) -> errors.Refusal | None:
        if fence < self.fence:
            return errors.refuse(errors.Kind.FENCED, "epoch is stale")
        self.fence = fence
        self._extend_lease(lease_until_ms)
        for end in self.ended:
            if end.number <= last_seen:
                self._note_end(end)
        self.ended = [end for end in self.ended if end.number > last_seen]
        return None

    def _extend_lease(self, until_ms: int) -> None:
        if self.lease_limit_ms:
            now_ms = self.read_clock_ms()
            until_ms = min(until_ms, now_ms + self.lease_limit_ms)
            gevent.spawn_later(
                max(0, until_ms - now_ms) / 1000 + 0.001, self._lapse
            )
        self.lease_until_ms = max(self.lease_until_ms, until_ms)

    def _close_interval(self, task: str, outcome: str = "") -> None:
        for interval in self.intervals:
            if interval.task == task and interval.ended == math.inf:
                interval.ended = time.monotonic()
                interval.outcome = outcome

    def _note_end(self, end: interfaces.EndedRun) -> None:
        for interval in reversed(self.intervals):
            if (interval.task, interval.run) == (end.task, end.run):
                interval.is_end_noted = True
                return

    def _lapse(self) -> None:
        """End all tasks if the lease has ended."""
        if self.lease_until_ms <= self.read_clock_ms():
            for task in list(self.running):
                self.end(task, "lapsed")

    def _end_stopped(self, command: interfaces.RunCommand) -> None:
        if self.running.get(command.task) == command.run:
            self.end(command.task, "stopped")

    def _check_room(self, command: interfaces.RunCommand) -> None:
        """Record a start that brings the worker over its capacity."""
        held = [self.get_need(task) for task in self.running]
        need = self.get_need(command.task)
        for taken, asked, total in zip(
            map(sum, zip(*held, NO_RESOURCES, strict=True)),
            need,
            self.report.capacity,
            strict=True,
        ):
            if asked and taken + asked > total:
                self.overloads.append(
                    f"{command.task} run {command.run} on {self.report.id} "
                    f"beside {sorted(self.running)}"
                )
                return

    def _estimate_progress(self, task: str) -> float:
        ran_s = time.monotonic() - self._started_at[task]
        return min(99.0, ran_s * self.percent_per_s)

    def _start(
        self, command: interfaces.RunCommand, details: interfaces.StartOptions
    ) -> int | errors.Refusal:
        if command.fence < self.fence:
            return errors.refuse(errors.Kind.FENCED, "epoch is stale")
        self.fence = command.fence
        if details.expires_ms <= self.read_clock_ms():
            return errors.refuse(
                errors.Kind.DEADLINE_EXCEEDED,
                "start deadline has passed",
                clock_ms=self.read_clock_ms(),
            )
        if self.running.get(command.task) == command.run:
            return self.read_clock_ms()
        if command.run <= self._highest_runs.get(command.task, 0):
            return errors.refuse(errors.Kind.STALE_REVISION, "run is outdated")
        if self.lease_limit_ms:
            self._extend_lease(details.expires_ms)
        self._check_room(command)
        self.running[command.task] = command.run
        self._started_at[command.task] = time.monotonic()
        self.starts.append((command.task, command.run))
        self.intervals.append(RunInterval(task=command.task, run=command.run))
        self.tickets.append(details.ticket)
        if command.task in self.crashing_tasks:
            self.crash()
        self._changed.set()
        self._changed.clear()
        return self.read_clock_ms()


class MemoryPolicy(interfaces.PlacementPolicy):
    """Policy that answers one call at a time.

    Attributes:
        granted: Names of the workers that it grants.
        granted_by_job: The same for the steps of single jobs, by job id.
        decide_s: Seconds until it answers a call.
        silent_jobs: Jobs about which all calls are refused.
        valid_s: Seconds for which its tickets are valid.
        refusals: Number of further calls that are refused as `BUSY`.
        asked: Step and requested workers of each call, in order.
    """

    def __init__(self, *, granted: set[str], valid_s: float = 60.0):
        self.granted = granted
        self.granted_by_job: dict[str, set[str]] = {}
        self.decide_s = 0.0
        self.silent_jobs: set[str] = set()
        self.valid_s = valid_s
        self.refusals = 0
        self.asked: list[tuple[str, list[str]]] = []

    def request_grants(
        self, step: str, workers: list[str], *, timeout_s: float
    ) -> interfaces.PolicyGrants | errors.Refusal:
        """Return a ticket for each granted worker among `workers`."""
        self.asked.append((step, workers))
        gevent.sleep(self.decide_s)
        job = step.partition(".")[0]
        if job in self.silent_jobs:
            return errors.refuse(errors.Kind.BUSY, "policy is busy")
        if self.refusals:
            self.refusals -= 1
            return errors.refuse(errors.Kind.BUSY, "policy is busy")
        tickets = {
            worker: f"{step}@{worker}"
            for worker in workers
            if worker in self.granted_by_job.get(job, self.granted)
        }
        return interfaces.PolicyGrants(tickets, self.valid_s)


class MemoryFeed(interfaces.Feed):
    """Feed of the worker reports of a `MemoryFleet`."""

    def __init__(self, *, fleet: "MemoryFleet", on_change: Callable):
        self._fleet = fleet
        self._on_change = on_change

    def start(self) -> None:
        """Publish the reports now and after each change."""
        self._fleet.feeds.append(self)
        self.tell()

    def stop(self) -> None:
        """Stop publishing."""
        if self in self._fleet.feeds:
            self._fleet.feeds.remove(self)

    def tell(self) -> None:
        """Pass a copy of all reports to `on_change`."""
        self._on_change(dict(self._fleet.reports))


class MemoryFleet(interfaces.PlatformConnector):
    """Fleet of workers "w0", "w1", …, two per rack, in two data centres.

    Attributes:
        policy: Placement policy of queues, None for none.
        feeds: Feeds that are started.
        reports: Report of each worker, by name.
        workers: Client of each worker, by name.
    """

    def __init__(self, *, count: int):
        self.policy: MemoryPolicy | None = None
        self.feeds: list[MemoryFeed] = []
        self.reports = {
            f"w{number}": interfaces.WorkerReport(
                id=f"w{number}",
                life=1,
                host="",
                port=0,
                service="service",
                data_centre=f"dc{number % 2}",
                rack=f"r1-{number // 2}",
                labels=frozenset(["a", f"r1-{number // 2}"]),
                capacity=CAPACITY,
                is_draining=False,
                leaves_in_ms=0,
                clock_ms=0,
            )
            for number in range(count)
        }
        self.workers = {
            name: MemoryWorker(report=report)
            for name, report in self.reports.items()
        }

    def connect_worker(
        self, report: interfaces.WorkerReport
    ) -> interfaces.WorkerClient:
        """Return the stand-in for one worker."""
        return self.workers[report.id]

    def connect_policy(self) -> interfaces.PlacementPolicy | None:
        """Return the placement policy of queues, None if there is none."""
        return self.policy

    def create_worker_feed(
        self, on_change: Callable[[dict[str, interfaces.WorkerReport]], None]
    ) -> interfaces.Feed:
        """Return a feed of the worker reports."""
        return MemoryFeed(fleet=self, on_change=on_change)

    def restart(self, worker: str) -> None:
        """Start a new process of a crashed worker and publish its report."""
        life = self.reports[worker].life + 1
        self.workers[worker].restart(self.reports[worker]._replace(life=life))
        self.change(worker, life=life)

    def change(self, worker: str, **changes: object) -> None:
        """Change fields of a worker's report and publish all reports."""
        self.reports[worker] = self.reports[worker]._replace(**changes)
        for feed in list(self.feeds):
            feed.tell()
