"""A stand-in of a fleet of workers, in memory, with late and lost orders."""

from collections.abc import Callable
import time

import gevent
from gevent import event

from chervilcove.control import interfaces
from chervilcove.core import errors
from chervilcove.jobs import specs

LATE_ANSWER_S = 0.3  # until a caller gives a swallowed start up
CAPACITY = specs.Resources(64_000, 131_072, 8)


class MemoryWorker(interfaces.WorkerClient):
    """Run tasks until told how they end.

    Attributes:
        is_cut: Leaves calls without an answer, and does nothing.
        percent_per_s: How fast its tasks advance.
        swallow_starts: Starts still to be left without an answer; each is
            kept in `late` to be carried out by `run_late`.
        refuse_connections: Starts still to find no connection.
        starts: Every run that began, in order.
        tickets: The ticket of each of them.
        loads: What it tells of its tasks' loads, by task.
        paces: Tasks and the pace that they were told, in order.
        clashes: Orders to start a task that ran here already.
    """

    def __init__(self, *, report: interfaces.WorkerReport):
        self.report = report
        self.is_cut = False
        self.swallow_starts = 0
        self.refuse_connections = 0
        self.late: list[
            tuple[interfaces.RunCommand, interfaces.StartOptions]
        ] = []
        self.starts: list[tuple[str, int]] = []
        self.tickets: list[str] = []
        self.loads: dict[str, float] = {}
        self.paces: list[tuple[str, int]] = []
        self.running: dict[str, int] = {}
        self.percent_per_s = 10.0
        self._begun: dict[str, float] = {}
        self.ended: list[interfaces.EndedRun] = []
        self.fence = 0
        self._highest: dict[str, int] = {}
        self._count = 0
        self._changed = event.Event()

    def start(
        self,
        command: interfaces.RunCommand,
        details: interfaces.StartOptions,
        *,
        timeout_s: float,
    ) -> int | errors.Refusal:
        """Start a run; return the worker's clock in milliseconds."""
        gevent.sleep(0)
        if self.is_cut:
            return errors.refuse(errors.Kind.OUTCOME_UNKNOWN, "cut")
        if self.refuse_connections:
            self.refuse_connections -= 1
            return errors.refuse(errors.Kind.CONNECT_FAILED, "time-out")
        if self.swallow_starts:
            self.swallow_starts -= 1
            self.late.append((command, details))
            gevent.sleep(LATE_ANSWER_S)
            return errors.refuse(errors.Kind.OUTCOME_UNKNOWN, "late")
        return self._start(command, details)

    def run_late(self) -> list[int | errors.Refusal]:
        """Carry out the starts that were left without an answer."""
        late, self.late = self.late, []
        return [self._start(order, details) for order, details in late]

    def stop(
        self, command: interfaces.RunCommand, *, timeout_s: float
    ) -> int | errors.Refusal:
        """Stop a run, and make it impossible where it is not there yet."""
        gevent.sleep(0)
        if self.is_cut:
            return errors.refuse(errors.Kind.OUTCOME_UNKNOWN, "cut")
        if command.fence < self.fence:
            return errors.refuse(errors.Kind.FENCED, "fence")
        self.fence = command.fence
        highest = max(self._highest.get(command.task, 0), command.run)
        self._highest[command.task] = highest
        if self.running.get(command.task) == command.run:
            self.end(command.task, "stopped")
        return _read_clock_ms()

    def renew_lease(
        self,
        *,
        fence: int,
        last_seen: int,
        lease_until_ms: int,
        wait_ms: int,
        timeout_s: float,
    ) -> interfaces.LeaseReply | errors.Refusal:
        """Extend the lease of all that runs; return runs and ends."""
        if self.is_cut:
            gevent.sleep(0.05)
            return errors.refuse(errors.Kind.OUTCOME_UNKNOWN, "cut")
        if fence < self.fence:
            return errors.refuse(errors.Kind.FENCED, "fence")
        self.fence = fence
        self.ended = [end for end in self.ended if end.number > last_seen]
        if not self.ended and wait_ms:
            self._changed.wait(timeout=wait_ms / 1000)
        gevent.sleep(0)
        return interfaces.LeaseReply(
            clock_ms=_read_clock_ms(),
            life=self.report.life,
            running=[
                interfaces.RunningTask(
                    task,
                    run,
                    "",
                    self._measure(task),
                    self.loads.get(task, 0.0),
                )
                for task, run in self.running.items()
            ],
            ended=list(self.ended),
        )

    def set_pace(
        self, command: interfaces.RunCommand, percent: int, *, timeout_s: float
    ) -> int | errors.Refusal:
        """Let a task work at a share of its speed."""
        gevent.sleep(0)
        if self.is_cut:
            return errors.refuse(errors.Kind.OUTCOME_UNKNOWN, "cut")
        if command.fence < self.fence:
            return errors.refuse(errors.Kind.FENCED, "fence")
        self.fence = command.fence
        self.paces.append((command.task, percent))
        return _read_clock_ms()

    def close(self) -> None:
        """Close nothing."""

    def end(self, task: str, how: str, checkpoint: str = "") -> None:
        """End a task."""
        run = self.running.pop(task)
        self._highest[task] = max(self._highest.get(task, 0), run)
        self._count += 1
        self.ended.append(
            interfaces.EndedRun(self._count, task, run, how, checkpoint)
        )
        self._changed.set()
        self._changed.clear()

    def _measure(self, task: str) -> float:
        ran_s = time.monotonic() - self._begun[task]
        return min(99.0, ran_s * self.percent_per_s)

    def _start(
        self, command: interfaces.RunCommand, details: interfaces.StartOptions
    ) -> int | errors.Refusal:
        if command.fence < self.fence:
            return errors.refuse(errors.Kind.FENCED, "fence")
        self.fence = command.fence
        if details.expires_ms <= _read_clock_ms():
            return errors.refuse(
                errors.Kind.DEADLINE_EXCEEDED,
                "late",
                clock_ms=_read_clock_ms(),
            )
        if self.running.get(command.task) == command.run:
            return _read_clock_ms()
        if command.run <= self._highest.get(command.task, 0):
            return errors.refuse(errors.Kind.STALE_REVISION, "old")
        self.running[command.task] = command.run
        self._begun[command.task] = time.monotonic()
        self.starts.append((command.task, command.run))
        self.tickets.append(details.ticket)
        self._changed.set()
        self._changed.clear()
        return _read_clock_ms()


class MemoryPolicy(interfaces.PlacementPolicy):
    """Grant some workers to every step.

    Attributes:
        granted: Workers that it grants.
        valid_s: Seconds for which its tickets are valid.
        refusals: Calls still to be refused.
        asked: Step and workers of each call.
    """

    def __init__(self, *, granted: set[str], valid_s: float = 60.0):
        self.granted = granted
        self.valid_s = valid_s
        self.refusals = 0
        self.asked: list[tuple[str, list[str]]] = []

    def request_grants(
        self, step: str, workers: list[str], *, timeout_s: float
    ) -> interfaces.PolicyGrants | errors.Refusal:
        """Return which of `workers` may run `step`."""
        gevent.sleep(0)
        self.asked.append((step, workers))
        if self.refusals:
            self.refusals -= 1
            return errors.refuse(errors.Kind.BUSY, "busy")
        tickets = {
            worker: f"{step}@{worker}"
            for worker in workers
            if worker in self.granted
        }
        return interfaces.PolicyGrants(tickets, self.valid_s)


class MemoryFeed(interfaces.Feed):
    """Tell a list of workers."""

    def __init__(self, *, fleet: "MemoryFleet", on_change: Callable):
        self._fleet = fleet
        self._on_change = on_change

    def start(self) -> None:
        """Tell the list, now and after each change."""
        self._fleet.feeds.append(self)
        self.tell()

    def stop(self) -> None:
        """Tell no more."""
        if self in self._fleet.feeds:
            self._fleet.feeds.remove(self)

    def tell(self) -> None:
        """Tell the list."""
        self._on_change(dict(self._fleet.reports))


class MemoryFleet(interfaces.PlatformConnector):
    """Hold workers named "w0", "w1", … with two to a rack."""

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
        """Return the calls of one worker."""
        return self.workers[report.id]

    def connect_policy(self) -> interfaces.PlacementPolicy | None:
        """Return the policy of queues, None where there is none."""
        return self.policy

    def create_worker_feed(
        self, on_change: Callable[[dict[str, interfaces.WorkerReport]], None]
    ) -> interfaces.Feed:
        """Return a feed of the list."""
        return MemoryFeed(fleet=self, on_change=on_change)

    def change(self, worker: str, **changes: object) -> None:
        """Change what a worker says of itself."""
        self.reports[worker] = self.reports[worker]._replace(**changes)
        for feed in list(self.feeds):
            feed.tell()


def _read_clock_ms() -> int:
    return int(time.monotonic() * 1000)
