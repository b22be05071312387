"""A recorded day replayed against the rounds, with a counted clock.

What a round decides takes effect at once, but for stops, which take up to
`STOP_MS`: drawn from the seed, as is nothing else. So two replays of one
recording differ by what their rounds decide.
"""

import heapq
import itertools
import random
from typing import NamedTuple

from chervilcove.bench.replay import recording as recordings
from chervilcove.control import estimates
from chervilcove.dispatch import ranking
from chervilcove.dispatch import resources as resource_values
from chervilcove.dispatch import round_input
from chervilcove.dispatch import rounds
from chervilcove.jobs import records
from chervilcove.jobs import specs
from chervilcove.jobs import table

STOP_MS = 900  # most time that a stop takes on the users' larger site
ROUND_MS = 250  # longest time between rounds, as the owner's
FAR_FACTOR = 3.0  # of a gang on several racks or work away from its data
LONGEST_MS = 600_000  # after the last arrival; bounds a replay that hangs
SERVICE = "replayed"


class QueueFigures(NamedTuple):
    """Hold how the jobs of one queue fared.

    Attributes:
        jobs: Jobs that ended.
        in_time: Those that ended within their objective.
        wait_ms: Mean time until a job began.
    """

    jobs: int
    in_time: int
    wait_ms: float


class Figures(NamedTuple):
    """Hold how a day went.

    Attributes:
        queues: Figures by queue.
        unfinished: Jobs that did not end.
        lost: Core-seconds of work thrown away.
        far: Tasks of runs away from their rack or their data.
    """

    queues: dict[str, QueueFigures]
    unfinished: int
    lost: float
    far: int


class _Run(NamedTuple):
    number: int
    placed: resource_values.Allocation
    began_ms: int


class Replay:
    """Replay a recording.

    Args:
        recording: The day.
        seed: Seed of the times that stops take.
        has_headroom: Whether rounds keep room free for urgent work.
    """

    def __init__(
        self,
        *,
        recording: recordings.Recording,
        seed: int = 1,
        has_headroom: bool = True,
    ):
        self._has_headroom = has_headroom
        self._random = random.Random(seed)
        self._table = table.JobTable()
        self._estimates = estimates.Estimates()
        self._resources = resource_values.FleetResources()
        self._racks = {one.id: one.rack for one in recording.workers}
        for one in recording.workers:
            self._resources.add(
                resource_values.Worker(
                    id=one.id,
                    life=1,
                    service=SERVICE,
                    data_centre="",
                    rack=one.rack,
                    labels=frozenset(),
                    capacity=one.capacity,
                )
            )
        self._arrivals = {one.job: one for one in recording.arrivals}
        self._events: list[tuple[int, int, str, object]] = []
        self._numbers = itertools.count()
        self._runs: dict[table.UnitKey, _Run] = {}
        self._stopping: set[table.UnitKey] = set()
        self._began: dict[str, int] = {}
        self._ended: dict[str, int] = {}
        self._due_since: dict[tuple[str, int, int], int] = {}
        self._lost = 0.0
        self._far = 0
        for one in recording.arrivals:
            self._plan(one.at_ms, "arrival", one)

    def run(self) -> Figures:
        """Replay the day; return how it went."""
        handlers = {
            "arrival": self._accept,
            "end": self._end,
            "stop": self._stop,
            "round": lambda now_ms, value: None,
        }
        last_ms = max((one[0] for one in self._events), default=0)
        while self._events and self._events[0][0] <= last_ms + LONGEST_MS:
            now_ms = self._events[0][0]
            while self._events and self._events[0][0] == now_ms:
                _, _, kind, value = heapq.heappop(self._events)
                handlers[kind](now_ms, value)
            self._decide(now_ms)
            if self._table.open_jobs and not self._events:
                self._plan(now_ms + ROUND_MS, "round", None)
        return self._measure()

    def _plan(self, at_ms: int, kind: str, value: object) -> None:
        heapq.heappush(self._events, (at_ms, next(self._numbers), kind, value))

    def _accept(self, now_ms: int, arrival: recordings.Arrival) -> None:
        submission = records.Submission(
            job=arrival.job,
            queue=arrival.queue,
            service=SERVICE,
            customer=arrival.customer,
            accepted_ms=now_ms,
            spec=specs.JobSpec("", arrival.steps),
            priority=arrival.priority,
            stretch=arrival.stretch,
            target_ms=arrival.target_ms,
        )
        self._table.apply(
            records.Record(records.Kind.JOB, arrival.job, submission)
        )

    def _set_unit(
        self, key: table.UnitKey, number: int, status: table.UnitStatus
    ) -> None:
        unit = records.UnitRecord(1, number, status, (), "", ())
        self._table.apply(records.Record(records.Kind.UNIT, key.format(), unit))

    def _end(self, now_ms: int, value: tuple[table.UnitKey, int]) -> None:
        key, number = value
        run = self._runs.get(key)
        if run is None or run.number != number:
            return
        self._free(key)
        self._set_unit(key, number, table.UnitStatus.DONE)
        job = self._table.jobs[key.job]
        if number == 1:
            ran_s = (now_ms - run.began_ms) / 1000
            self._estimates.record_duration(job, key.step, ran_s)
        if job.is_done():
            self._ended[job.id] = now_ms
            end = records.EndRecord(1, table.JobState.DONE.value, now_ms)
            self._table.apply(records.Record(records.Kind.END, job.id, end))

    def _stop(self, now_ms: int, value: tuple[table.UnitKey, int]) -> None:
        key, number = value
        run = self._runs.get(key)
        if run is None or run.number != number:
            return
        running = self._describe(key, run, now_ms)
        self._lost += running.compute_loss()
        self._free(key)
        self._set_unit(key, number, table.UnitStatus.WAITING)

    def _free(self, key: table.UnitKey) -> None:
        self._resources.release(self._runs.pop(key).placed)
        self._stopping.discard(key)

    def _describe(
        self, key: table.UnitKey, run: _Run, now_ms: int
    ) -> round_input.RunningUnit:
        job = self._table.jobs[key.job]
        step = job.spec.steps[key.step]
        run_s = (now_ms - run.began_ms) / 1000
        return round_input.RunningUnit(
            allocation=run.placed,
            is_urgent=job.submission.priority == 0,
            is_stopping=key in self._stopping,
            is_resumable=step.is_checkpointed,
            run_s=run_s,
            remaining_s=max(0.2, step.estimate_ms / 1000 - run_s),
        )

    def _decide(self, now_ms: int) -> None:
        jobs = list(self._table.open_jobs.values())
        self._estimates.record_jobs(jobs)
        plan = rounds.plan_round(
            round_input.RoundInput(
                now_ms=now_ms,
                jobs=jobs,
                get_queue=lambda job: job.submission.build_queue(),
                customers={},
                resources=self._resources,
                running={
                    key: self._describe(key, run, now_ms)
                    for key, run in self._runs.items()
                },
                duration_factors=self._estimates.factors,
                mean_work=self._estimates.get_mean_work(),
                is_backing_off=lambda key: False,
                get_grants=lambda turn: None,
                urgent=self._estimates.urgent if self._has_headroom else (),
                start_due_since=self._due_since,
            )
        )
        self._due_since = plan.start_due_since
        for stop in plan.stops:
            self._stopping.add(stop.unit)
            number = self._runs[stop.unit].number
            at_ms = now_ms + self._random.randint(1, STOP_MS)
            self._plan(at_ms, "stop", (stop.unit, number))
        for start in plan.starts:
            self._start(now_ms, start)

    def _start(self, now_ms: int, start: rounds.Start) -> None:
        key = start.unit
        job = self._table.jobs[key.job]
        step = job.spec.steps[key.step]
        number = job.get_unit(key).run + 1
        placed = resource_values.Allocation(
            resource_values.get_step_key(key), step.need, start.workers
        )
        self._resources.allocate(placed)
        ran_ms = self._find_duration(key, step)
        racks = {self._racks[worker] for worker in start.workers}
        is_far = (step.same_rack and len(racks) > 1) or (
            bool(step.data_rack) and racks != {step.data_rack}
        )
        if is_far:
            ran_ms = int(ran_ms * FAR_FACTOR)
            self._far += len(start.workers)
        self._runs[key] = _Run(number, placed, now_ms)
        self._set_unit(key, number, table.UnitStatus.ACTIVE)
        self._began.setdefault(key.job, now_ms)
        self._plan(now_ms + ran_ms, "end", (key, number))

    def _find_duration(self, key: table.UnitKey, step: specs.Step) -> int:
        _, _, name = key.format().partition(".")
        known = self._arrivals[key.job].ran_ms
        return max(1, known.get(name, step.estimate_ms))

    def _measure(self) -> Figures:
        by_queue: dict[str, list[recordings.Arrival]] = {}
        for job in self._ended:
            arrival = self._arrivals[job]
            by_queue.setdefault(arrival.queue, []).append(arrival)
        return Figures(
            queues={
                queue: self._measure_queue(arrivals)
                for queue, arrivals in sorted(by_queue.items())
            },
            unfinished=len(self._arrivals) - len(self._ended),
            lost=round(self._lost, 1),
            far=self._far,
        )

    def _measure_queue(
        self, arrivals: list[recordings.Arrival]
    ) -> QueueFigures:
        in_time = 0
        for one in arrivals:
            objective_ms = one.stretch * self._measure_chain(one)
            took_ms = self._ended[one.job] - one.at_ms
            in_time += took_ms <= objective_ms + one.target_ms
        waits = [self._began[one.job] - one.at_ms for one in arrivals]
        return QueueFigures(
            len(arrivals), in_time, round(sum(waits) / len(waits), 1)
        )

    def _measure_chain(self, arrival: recordings.Arrival) -> float:
        """Return the longest chain of work, with true durations."""
        lengths_ms = [
            max(
                self._find_duration(key, step)
                for key in table.list_unit_keys(arrival.job, 0, number, step)
            )
            for number, step in enumerate(arrival.steps)
        ]
        return ranking.compute_critical_path_ms(arrival.steps, lengths_ms)
