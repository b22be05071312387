"""State of all jobs, built from the records of the ledger.

A *unit* is what starts and ends as one: a task, or all tasks of a gang step.
The table depends on the records only. Each entry has one that holds what it
read from the ledger. The owner decides by a copy, to which it applies its own
records before they are stored.
"""

from collections.abc import Iterator
import copy
import enum
import re
from typing import NamedTuple

from chervilcove.core import errors
from chervilcove.jobs import arrivals
from chervilcove.jobs import crash_limits
from chervilcove.jobs import early_cancels
from chervilcove.jobs import records
from chervilcove.jobs import specs

_NUMBER = r"\.([0-9]{1,9})"
_UNIT_NAME = re.compile(rf"([^.]*){_NUMBER}{_NUMBER}(?:{_NUMBER})?")


class UnitStatus(enum.IntEnum):
    """Status of a unit."""

    WAITING = 0
    ACTIVE = 1  # a run was ordered and isn't known to have ended
    DONE = 2


class JobState(enum.StrEnum):
    """State of a job, in the words shown to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


class UnitKey(NamedTuple):
    """Key of a unit.

    Attributes:
        job: Id of the job.
        occurrence: Number of the occurrence, from 0.
        step: Number of the step, from 0.
        index: Number of the task, from 0; None for all tasks of a gang.
    """

    job: str
    occurrence: int
    step: int
    index: int | None = None

    def format(self) -> str:
        """Return the name of the unit, as used in records and orders."""
        name = f"{self.job}.{self.occurrence}.{self.step}"
        return name if self.index is None else f"{name}.{self.index}"


def parse_unit_key(name: str) -> UnitKey | errors.Refusal:
    """Return the key of the unit `name`, or a refusal if it is malformed."""
    match = _UNIT_NAME.fullmatch(name)
    if match is None:
        return errors.refuse(
            errors.Kind.MALFORMED, f"malformed unit name {name[:80]!r}"
        )
    job, occurrence, step, index = match.groups()
    return UnitKey(job, int(occurrence), int(step), index and int(index))


WAITING_UNIT = records.UnitRecord(0, 0, UnitStatus.WAITING, (), "", ())


def list_unit_keys(
    job: str, occurrence: int, number: int, step: specs.Step
) -> list[UnitKey]:
    """Return the units of a step: one for a gang, else one per task."""
    if step.is_gang:
        return [UnitKey(job, occurrence, number)]
    return [
        UnitKey(job, occurrence, number, index) for index in range(step.count)
    ]


class Job:
    """A job and the state of its units.

    Args:
        submission: The accepted job.

    Attributes:
        submission: The accepted job.
        is_cancelled: Whether it was cancelled.
        end: Its end, None until it is recorded.
        units: Newest record of each unit that has one; empty after the end.
        active: Units whose status is ACTIVE.
        max_unit_failures: Most failures of one unit; the owner compares them
            with the limit of the queue.
        is_failed: Whether the owner found a limit reached.
        has_crashing_task: Whether a task of it has crashed too many workers.
    """

    def __init__(self, *, submission: records.Submission):
        self.submission = submission
        self.is_cancelled = False
        self.end: records.EndRecord | None = None
        self.units: dict[UnitKey, records.UnitRecord] = {}
        self.active: set[UnitKey] = set()
        self.max_unit_failures = 0
        self.is_failed = False
        self.has_crashing_task = False
        self._begun = 0  # number of units that have begun
        # Number of done units, by (occurrence, step).
        self._done: dict[tuple[int, int], int] = {}
        # Number of active units, by (occurrence, step).
        self._active_counts: dict[tuple[int, int], int] = {}

    def copy(self) -> "Job":
        """Return a copy that changes independently of this job."""
        other = copy.copy(self)
        other.units = dict(self.units)
        other.active = set(self.active)
        other._done = dict(self._done)
        other._active_counts = dict(self._active_counts)
        return other

    @property
    def id(self) -> str:
        """Return the id of the job."""
        return self.submission.job

    @property
    def spec(self) -> specs.JobSpec:
        """Return the description of the job."""
        return self.submission.spec

    @property
    def has_started(self) -> bool:
        """Return whether any unit has begun, as far as the records tell."""
        return self._begun > 0

    def get_state(self) -> JobState:
        """Return the state of the job."""
        if self.end is not None:
            return JobState(self.end.state)
        # Units are done before the end of their job is recorded, since other
        # members of a gang may not have been told to end yet.
        if self.has_started and self.is_done():
            return JobState.DONE
        if self.is_cancelled:
            return JobState.CANCELLED
        if self.is_failed:
            return JobState.FAILED
        return JobState.RUNNING if self.has_started else JobState.QUEUED

    def get_unit(self, key: UnitKey) -> records.UnitRecord:
        """Return the record of a unit, that of a waiting one by default."""
        return self.units.get(key, WAITING_UNIT)

    def has_unit(self, key: UnitKey) -> bool:
        """Return whether the job has a unit of this key."""
        if not (
            0 <= key.occurrence < self.spec.occurrences
            and 0 <= key.step < len(self.spec.steps)
        ):
            return False
        step = self.spec.steps[key.step]
        if step.is_gang or key.index is None:
            return step.is_gang and key.index is None
        return key.index < step.count

    def count_units(self, step: int) -> int:
        """Return the number of units of `step` in one occurrence."""
        described = self.spec.steps[step]
        return 1 if described.is_gang else described.count

    def count_tasks(self, step: int) -> int:
        """Return the number of tasks of one unit of `step`."""
        described = self.spec.steps[step]
        return described.count if described.is_gang else 1

    def is_step_done(self, occurrence: int, step: int) -> bool:
        """Return whether all units of a step are done."""
        done = self._done.get((occurrence, step), 0)
        return done >= self.count_units(step)

    def is_done(self) -> bool:
        """Return whether all units of all occurrences are done.

        A lasting job is never done.
        """
        steps = range(len(self.spec.steps))
        return not self.spec.is_lasting and all(
            self.is_step_done(occurrence, step)
            for occurrence in range(self.spec.occurrences)
            for step in steps
        )

    def list_ready_steps(self, now_ms: int) -> Iterator[tuple[int, int]]:
        """Yield the (occurrence, step) that may run and aren't done.

        The occurrence is due, and the steps that the step depends on are done.
        Its units may be running already.
        """
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

    def list_waiting_units(self, occurrence: int, step: int) -> list[UnitKey]:
        """Return the units of a step that wait for a run."""
        described = self.spec.steps[step]
        return [
            key
            for key in list_unit_keys(self.id, occurrence, step, described)
            if self.get_unit(key).status == UnitStatus.WAITING
        ]

    def count_waiting_units(self, occurrence: int, step: int) -> int:
        """Return the number of units of a step that wait for a run."""
        turn = (occurrence, step)
        return (
            self.count_units(step)
            - self._done.get(turn, 0)
            - self._active_counts.get(turn, 0)
        )

    def list_active_steps(self) -> Iterator[tuple[int, int]]:
        """Yield the number of each running step and of its active units."""
        for (_, step), count in self._active_counts.items():
            if count:
                yield step, count

    def set_unit(self, key: UnitKey, unit: records.UnitRecord) -> None:
        """Store the newest record of a unit."""
        before = self.get_unit(key)
        self.units[key] = unit
        turn = (key.occurrence, key.step)
        change = (unit.status == UnitStatus.DONE) - (
            before.status == UnitStatus.DONE
        )
        if change:
            self._done[turn] = self._done.get(turn, 0) + change
        change = (unit.status == UnitStatus.ACTIVE) - (
            before.status == UnitStatus.ACTIVE
        )
        if change:
            count = self._active_counts.get(turn, 0) + change
            self._active_counts[turn] = count
        if unit.status == UnitStatus.ACTIVE:
            self.active.add(key)
        else:
            self.active.discard(key)
        self._begun += _has_begun(unit) - _has_begun(before)
        self.max_unit_failures = max(self.max_unit_failures, unit.failures)
        if unit.crashes and unit.status != UnitStatus.DONE:
            self.has_crashing_task = (
                self.has_crashing_task
                or crash_limits.should_give_up(unit.crashes)
            )


def _has_begun(unit: records.UnitRecord) -> bool:
    return unit.status == UnitStatus.DONE or unit.run > unit.unbegun_runs


class JobTable:
    """All jobs, the claim of the owner and the incarnations of entries.

    Attributes:
        jobs: All jobs, by id.
        open_jobs: Jobs that have not ended, by id.
        incarnations: Incarnation of the latest known process, by the name of
            the entry.
        claim: Newest claim, None if there was none.
        epoch: Epoch of that claim, 0 if there was none.
        arrivals: When each customer sent its jobs.
        early_cancels: Cancels of ids that had no job.
    """

    def __init__(self):
        self.jobs: dict[str, Job] = {}
        self.arrivals = arrivals.Arrivals()
        self.open_jobs: dict[str, Job] = {}
        self.early_cancels = early_cancels.EarlyCancels()
        # Cancelled jobs, also those not known yet or no longer.
        self._cancels: set[str] = set()
        # Records of units and ends that were read before their job, by job.
        # This happens while a table is rebuilt from pages of the ledger.
        self._orphans: dict[str, list[records.Record]] = {}
        self.incarnations: dict[str, str] = {}
        self.claim: records.Claim | None = None
        self.epoch = 0

    def apply(self, record: records.Record) -> None:
        """Apply one record; the order is that of the ledger."""
        if record.kind is records.Kind.JOB:
            self._apply_job(record)
        elif record.kind is records.Kind.CANCEL:
            self._apply_cancel(record)
        elif record.kind is records.Kind.EARLY_CANCEL:
            self._apply_early_cancel(record)
        elif record.kind is records.Kind.CLAIM:
            if record.value is not None and record.value.epoch > self.epoch:
                self.claim = record.value
                self.epoch = record.value.epoch
        elif record.kind is records.Kind.ENTRY:
            self._apply_entry(record)
        elif record.kind is records.Kind.UNIT:
            self._apply_unit(record)
        elif record.kind is records.Kind.END:
            self._apply_end(record)

    def copy(self) -> "JobTable":
        """Return a copy that changes independently of this table."""
        other = copy.copy(self)
        other.jobs = {name: job.copy() for name, job in self.jobs.items()}
        other.open_jobs = {name: other.jobs[name] for name in self.open_jobs}
        other._cancels = set(self._cancels)
        other.early_cancels = self.early_cancels.copy()
        other._orphans = {
            name: list(orphans) for name, orphans in self._orphans.items()
        }
        other.incarnations = dict(self.incarnations)
        other.arrivals = self.arrivals.copy()
        return other

    def add_calls(self, other: "JobTable") -> None:
        """Add the jobs and cancellations of callers that `other` holds.

        Jobs that have ended there are left out: this table had them, and may
        have dropped them since.

        Args:
            other: Table built from the newest records in the ledger.
        """
        for job in other.open_jobs.values():
            self.apply(records.Record(records.Kind.JOB, job.id, job.submission))
        for name in other._cancels:
            self.apply(records.Record(records.Kind.CANCEL, name, 0))
        for name, cancel in other.early_cancels:
            self.apply(records.Record(records.Kind.EARLY_CANCEL, name, cancel))

    def has_record(self, key: str) -> bool:
        """Return whether a record of a caller with this key was applied."""
        record = records.decode(key, b"")
        if errors.is_refusal(record):
            return False
        if record.kind is records.Kind.JOB:
            return record.name in self.jobs
        if record.kind is records.Kind.EARLY_CANCEL:
            return record.name in self.early_cancels
        return (
            record.kind is records.Kind.CANCEL and record.name in self._cancels
        )

    def is_owner_gone(self) -> bool:
        """Return whether there is no owner or its process has surely ended."""
        if self.claim is None or self.claim.is_resigned:
            return True
        return self.has_ended(self.claim.process)

    def has_ended(self, process: records.Process) -> bool:
        """Return whether a later process of the same entry has started.

        Entries of earlier versions don't say when they started; the newest
        record is taken for the latest start then.
        """
        known = self.incarnations.get(process.entry)
        if known is None or known == process.incarnation:
            return False
        if (
            records.parse_start_offset(known) is None
            or records.parse_start_offset(process.incarnation) is None
        ):
            return True
        return records.started_before(process.incarnation, known)

    def count_queued_jobs(self, queue: str, now_ms: int) -> int:
        """Return the number of jobs of `queue` that are due and not started."""
        return sum(
            job.submission.queue == queue
            and job.get_state() is JobState.QUEUED
            and job.spec.first_due_ms <= now_ms
            for job in self.open_jobs.values()
        )

    def _apply_entry(self, record: records.Record) -> None:
        """Record the start of an entry, unless a later start is known.

        The record may be stored late, after that of the next process.
        """
        incarnation = str(record.value)
        known = self.incarnations.get(record.name)
        if known is None or not records.started_before(incarnation, known):
            self.incarnations[record.name] = incarnation

    def _apply_job(self, record: records.Record) -> None:
        if record.value is None:
            dropped = self.jobs.pop(record.name, None)
            self.open_jobs.pop(record.name, None)
            if dropped is not None:
                self.arrivals.remove(dropped.submission)
            return
        if record.name in self.jobs:
            return
        job = Job(submission=record.value)
        job.is_cancelled = (
            record.name in self._cancels
            or self.early_cancels.applies_to(job.submission)
        )
        self.jobs[record.name] = job
        self.open_jobs[record.name] = job
        self.arrivals.add(job.submission)
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

    def _apply_early_cancel(self, record: records.Record) -> None:
        if record.value is None:
            self.early_cancels.remove(record.name)
            return
        self.early_cancels.add(record.name, record.value)
        # The job may be stored although the entry that answered did not see it.
        job = self.jobs.get(early_cancels.get_job(record.name))
        if job is not None and self.early_cancels.applies_to(job.submission):
            job.is_cancelled = True

    def _apply_unit(self, record: records.Record) -> None:
        key = parse_unit_key(record.name)
        if errors.is_refusal(key):
            return
        job = self.jobs.get(key.job)
        if job is None:
            if record.value is not None:
                self._orphans.setdefault(key.job, []).append(record)
        elif record.value is None:
            job.active.discard(key)
        elif job.end is None and job.has_unit(key):
            job.set_unit(key, record.value)

    def _apply_end(self, record: records.Record) -> None:
        job = self.jobs.get(record.name)
        if job is None:
            if record.value is not None:
                self._orphans.setdefault(record.name, []).append(record)
            else:
                self._orphans.pop(record.name, None)
            return
        if record.value is None:
            return
        job.end = record.value
        job.active.clear()
        job.units.clear()
        self.open_jobs.pop(record.name, None)
