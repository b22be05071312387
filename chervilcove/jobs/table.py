"""The state of all jobs, built from the records of the ledger.

A *unit* is what starts and ends as one: a task, or all tasks of a gang step.
The table is pure: the owner changes it by the same records that the other
entries read, so both sides hold the same state.
"""

from collections.abc import Iterator
import enum
from typing import NamedTuple

from chervilcove.core import errors
from chervilcove.jobs import records
from chervilcove.jobs import specs


class Status(enum.IntEnum):
    """Say how far a unit is."""

    WAITING = 0
    ACTIVE = 1  # a run was ordered, and has not surely ended
    DONE = 2


class JobState(enum.StrEnum):
    """Say how far a job is; the words that callers read."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


class UnitKey(NamedTuple):
    """Name a unit.

    Attributes:
        job: Id of the job.
        occurrence: Number of the occurrence, from 0.
        step: Number of the step, from 0.
        index: Number of the task; None for all tasks of a gang.
    """

    job: str
    occurrence: int
    step: int
    index: int | None = None

    def format(self) -> str:
        """Return the name, as records and orders spell it."""
        name = f"{self.job}.{self.occurrence}.{self.step}"
        return name if self.index is None else f"{name}.{self.index}"


def parse_unit(name: str) -> UnitKey | errors.Refusal:
    """Return the key that `name` spells, or a refusal."""
    parts = name.split(".")
    if len(parts) in (3, 4) and all(one.isdigit() for one in parts[1:]):
        numbers = [int(one) for one in parts[1:]]
        index = numbers[2] if len(numbers) == 3 else None
        return UnitKey(parts[0], numbers[0], numbers[1], index)
    return errors.refuse(errors.Kind.MALFORMED, f"unit {name!r}")


WAITING_UNIT = records.UnitRecord(0, 0, Status.WAITING, (), "", ())


def list_units(
    job: str, occurrence: int, number: int, step: specs.Step
) -> list[UnitKey]:
    """Return the units of a step: one for a gang, one a task else."""
    if step.is_gang:
        return [UnitKey(job, occurrence, number)]
    return [
        UnitKey(job, occurrence, number, index) for index in range(step.count)
    ]


class Job:
    """Hold one job and its units.

    Args:
        submission: What was accepted.
    """

    def __init__(self, *, submission: records.Submission):
        self.submission = submission
        self.is_cancelled = False
        self.end: records.EndRecord | None = None
        self.units: dict[UnitKey, records.UnitRecord] = {}
        self.active: set[UnitKey] = set()
        self.has_begun = False
        # Most failures of one unit; the owner compares them with the limit.
        self.most_failures = 0
        self.is_failed = False
        # Done units by (occurrence, step).
        self._done: dict[tuple[int, int], int] = {}
        # Active units by (occurrence, step).
        self._active_counts: dict[tuple[int, int], int] = {}

    @property
    def id(self) -> str:
        """Return the job's id."""
        return self.submission.job

    @property
    def spec(self) -> specs.JobSpec:
        """Return what the job runs."""
        return self.submission.spec

    def get_state(self) -> JobState:
        """Return how far the job is."""
        if self.end is not None:
            return JobState(self.end.state)
        if self.is_cancelled:
            return JobState.CANCELLED
        if self.is_failed:
            return JobState.FAILED
        if not self.has_begun:
            return JobState.QUEUED
        # Its units are done before its end is recorded: other members of a
        # gang may still have to be told.
        return JobState.DONE if self.is_done() else JobState.RUNNING

    def get_unit(self, key: UnitKey) -> records.UnitRecord:
        """Return the unit `key`, a waiting one where none is known."""
        return self.units.get(key, WAITING_UNIT)

    def count_units(self, step: int) -> int:
        """Return the units of `step` in one occurrence."""
        described = self.spec.steps[step]
        return 1 if described.is_gang else described.count

    def is_step_done(self, occurrence: int, step: int) -> bool:
        """Tell whether all units of a step have ended done."""
        done = self._done.get((occurrence, step), 0)
        return done >= self.count_units(step)

    def is_done(self) -> bool:
        """Tell whether all units of all occurrences have ended done."""
        steps = range(len(self.spec.steps))
        return not self.spec.is_lasting and all(
            self.is_step_done(occurrence, step)
            for occurrence in range(self.spec.occurrences)
            for step in steps
        )

    def list_turns(self, now_ms: int) -> Iterator[tuple[int, int]]:
        """Yield the (occurrence, step) whose turn has come, not done."""
        for occurrence in range(self.spec.occurrences):
            if (
                self.spec.is_scheduled
                and self.spec.get_due_ms(occurrence) > now_ms
            ):
                return
            for number, step in enumerate(self.spec.steps):
                if not self.is_step_done(occurrence, number) and all(
                    self.is_step_done(occurrence, each) for each in step.after
                ):
                    yield occurrence, number

    def list_waiting(self, occurrence: int, step: int) -> list[UnitKey]:
        """Return the units of a step that wait for a run."""
        described = self.spec.steps[step]
        return [
            key
            for key in list_units(self.id, occurrence, step, described)
            if self.get_unit(key).status == Status.WAITING
        ]

    def count_waiting(self, occurrence: int, step: int) -> int:
        """Return the number of units of a step that wait for a run."""
        turn = (occurrence, step)
        return (
            self.count_units(step)
            - self._done.get(turn, 0)
            - self._active_counts.get(turn, 0)
        )

    def set_unit(self, key: UnitKey, unit: records.UnitRecord) -> None:
        """Take over the newest record of a unit."""
        before = self.get_unit(key)
        self.units[key] = unit
        turn = (key.occurrence, key.step)
        change = (unit.status == Status.DONE) - (before.status == Status.DONE)
        if change:
            self._done[turn] = self._done.get(turn, 0) + change
        change = (unit.status == Status.ACTIVE) - (
            before.status == Status.ACTIVE
        )
        if change:
            count = self._active_counts.get(turn, 0) + change
            self._active_counts[turn] = count
        if unit.status == Status.ACTIVE:
            self.active.add(key)
        else:
            self.active.discard(key)
        self.has_begun = self.has_begun or unit.run > 0
        self.most_failures = max(self.most_failures, unit.failures)


class JobTable:
    """Hold all jobs; `apply` takes the records of the ledger in order."""

    def __init__(self):
        self.jobs: dict[str, Job] = {}
        self.open: dict[str, Job] = {}
        # Cancels whose job is not known yet, or no more.
        self._cancels: set[str] = set()
        # Units read before their job, while a table is rebuilt by pages.
        self._orphans: dict[str, list[records.Record]] = {}
        # Newest incarnation of each entry that has said so.
        self.incarnations: dict[str, str] = {}
        self.claim: records.Claim | None = None
        self.epoch = 0

    def apply(self, record: records.Record) -> None:
        """Take over one record."""
        if record.kind is records.Kind.JOB:
            self._apply_job(record)
        elif record.kind is records.Kind.CANCEL:
            self._apply_cancel(record)
        elif record.kind is records.Kind.CLAIM:
            if record.value is not None and record.value.epoch > self.epoch:
                self.claim = record.value
                self.epoch = record.value.epoch
        elif record.kind is records.Kind.ENTRY:
            self.incarnations[record.name] = str(record.value)
        elif record.kind is records.Kind.UNIT:
            self._apply_unit(record)
        elif record.kind is records.Kind.END:
            self._apply_end(record)

    def has_record(self, key: str) -> bool:
        """Tell whether a caller's record of this key was applied."""
        record = records.decode(key, b"")
        if errors.is_refusal(record):
            return False
        if record.kind is records.Kind.JOB:
            return record.name in self.jobs
        return (
            record.kind is records.Kind.CANCEL and record.name in self._cancels
        )

    def is_owner_gone(self) -> bool:
        """Tell whether the owner left, or its process surely ended."""
        if self.claim is None or self.claim.is_resigned:
            return True
        known = self.incarnations.get(self.claim.entry)
        return known is not None and known != self.claim.incarnation

    def count_waiting(self, queue: str, now_ms: int) -> int:
        """Return the accepted jobs of `queue` of which nothing has begun."""
        return sum(
            job.submission.queue == queue
            and job.get_state() is JobState.QUEUED
            and job.spec.first_due_ms <= now_ms
            for job in self.open.values()
        )

    def _apply_job(self, record: records.Record) -> None:
        if record.value is None:
            self.jobs.pop(record.name, None)
            self.open.pop(record.name, None)
            return
        if record.name in self.jobs:
            return
        job = Job(submission=record.value)
        job.is_cancelled = record.name in self._cancels
        self.jobs[record.name] = job
        self.open[record.name] = job
        for orphan in self._orphans.pop(record.name, ()):
            self.apply(orphan)

    def _apply_cancel(self, record: records.Record) -> None:
        if record.value is None:
            self._cancels.discard(record.name)
            return
        self._cancels.add(record.name)
        job = self.jobs.get(record.name)
        if job is not None:
            job.is_cancelled = True

    def _apply_unit(self, record: records.Record) -> None:
        key = parse_unit(record.name)
        if errors.is_refusal(key):
            return
        job = self.jobs.get(key.job)
        if job is None:
            if record.value is not None:
                self._orphans.setdefault(key.job, []).append(record)
        elif record.value is None:
            job.active.discard(key)
        elif job.end is None:
            job.set_unit(key, record.value)

    def _apply_end(self, record: records.Record) -> None:
        job = self.jobs.get(record.name)
        if job is None:
            if record.value is not None:
                self._orphans.setdefault(record.name, []).append(record)
            return
        if record.value is None:
            return
        job.end = record.value
        job.active.clear()
        job.units.clear()
        self.open.pop(record.name, None)
