"""Job specifications: steps of tasks, and the times at which they are due.

A gang job has one step, whose tasks run only together.
"""

from typing import NamedTuple

from chervilcove.core import errors

MAX_STEPS = 256  # per job; bounds the time to check a job
MAX_TASKS = 20_000  # per job; the whole fleet must be able to run 27,000
MAX_PAYLOAD_BYTES = 4_000  # as documented for callers
MAX_VALUE = 2**40  # of each number in a spec; keeps sums within 64 bits
MAX_TIME_MS = 2**53  # of a time; exact in all JSON implementations


class Resources(NamedTuple):
    """Amounts of the resources of a worker, such as the need of one task.

    Attributes:
        cpu: Thousandths of a core.
        memory_mb: Megabytes of memory.
        accelerators: Whole accelerators.
    """

    cpu: int
    memory_mb: int
    accelerators: int


class Step(NamedTuple):
    """Description of the tasks of one step.

    Attributes:
        count: Number of tasks.
        need: Resources of each task; `cpu` is 0 for a filler, which uses
            processor time that others leave idle.
        estimate_ms: Rough duration of a task, declared by the caller.
        after: Numbers of earlier steps that must be done first.
        is_gang: Whether the tasks run only together; they succeed together.
        same_rack: Whether the tasks are slow on more than one rack.
        is_checkpointed: Whether a stopped task resumes from its checkpoint.
        label: Label that a worker must have, empty for any.
        data_rack: Rack near the data, empty for any.
        most_per_worker: Maximum number of tasks of the step on one worker, 0
            for no limit.
        may_duplicate: Whether copies of a task may run in parallel.
        is_lasting: Whether the tasks run until the job is cancelled.
        is_filler: Whether the tasks use processors that others leave idle.
        image: Image that the tasks run; equal images behave alike.
        target_ms: Upper bound for the response times of a lasting task that
            serves requests, 0 for none.
        may_miss: How many tasks of a lasting step the scheduler itself may
            keep from running at a time.
    """

    count: int
    need: Resources
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    is_gang: bool = False
    same_rack: bool = False
    is_checkpointed: bool = False
    label: str = ""
    data_rack: str = ""
    most_per_worker: int = 0
    may_duplicate: bool = False
    is_lasting: bool = False
    is_filler: bool = False
    image: str = ""
    target_ms: int = 0
    may_miss: int = 0


class JobSpec(NamedTuple):
    """Description of a job.

    Attributes:
        payload: Text passed to each task.
        steps: Its steps.
        occurrences: Number of times that the steps run.
        first_due_ms: When the first occurrence is due, Unix milliseconds; 0
            for at once.
        interval_ms: Milliseconds between two occurrences.
    """

    payload: str
    steps: tuple[Step, ...]
    occurrences: int = 1
    first_due_ms: int = 0
    interval_ms: int = 0

    @property
    def is_scheduled(self) -> bool:
        """Return whether the occurrences are due at times given by the job."""
        return self.first_due_ms > 0

    @property
    def is_lasting(self) -> bool:
        """Return whether the job runs until it is cancelled."""
        return any(step.is_lasting for step in self.steps)

    def get_due_ms(self, occurrence: int) -> int:
        """Return when `occurrence` is due, Unix milliseconds."""
        return self.first_due_ms + occurrence * self.interval_ms


def is_job_id(text: str) -> bool:
    """Return whether `text` is 16 lowercase hexadecimal digits."""
    return len(text) == 16 and all(
        digit in "0123456789abcdef" for digit in text
    )


def check_spec(spec: JobSpec) -> errors.Refusal | None:
    """Return a refusal if a submitted `spec` is invalid, else None."""
    if not 0 <= spec.first_due_ms <= MAX_TIME_MS:
        return _refuse("first_due_ms", f"0 to {MAX_TIME_MS}")
    if not 0 <= spec.interval_ms <= MAX_VALUE:
        return _refuse("interval_ms", f"0 to {MAX_VALUE}")
    for number, step in enumerate(spec.steps):
        if not 0 <= step.most_per_worker <= MAX_VALUE:
            return _refuse(
                f"steps[{number}].most_per_worker", f"0 to {MAX_VALUE}"
            )
    return check_stored_spec(spec)


def check_stored_spec(spec: JobSpec) -> errors.Refusal | None:
    """Return a refusal if no owner can act on a stored `spec`, else None.

    Limits for callers may become narrower, but a job that was accepted before
    must not be lost.
    """
    if len(spec.payload.encode()) > MAX_PAYLOAD_BYTES:
        return _refuse("spec", f"payload of at most {MAX_PAYLOAD_BYTES} bytes")
    if not 1 <= len(spec.steps) <= MAX_STEPS:
        return _refuse("steps", f"1 to {MAX_STEPS} steps")
    if not 1 <= spec.occurrences <= MAX_TASKS:
        return _refuse("occurrences", f"1 to {MAX_TASKS}")
    if sum(step.count for step in spec.steps) > MAX_TASKS:
        return _refuse("steps", f"at most {MAX_TASKS} tasks")
    for number, step in enumerate(spec.steps):
        refusal = _check_step(number, step)
        if refusal is not None:
            return refusal
    return None


def _check_step(number: int, step: Step) -> errors.Refusal | None:
    where = f"steps[{number}]"
    if step.count < 1:
        return _refuse(f"{where}.count", "at least 1")
    numbers = (*step.need, step.estimate_ms, step.target_ms, step.may_miss)
    if any(not 0 <= each <= MAX_VALUE for each in numbers):
        return _refuse(where, f"numbers from 0 to {MAX_VALUE}")
    if any(not 0 <= each < number for each in step.after):
        return _refuse(f"{where}.after", "numbers of earlier steps")
    return None


def _refuse(path: str, allowed: str) -> errors.Refusal:
    return errors.refuse(
        errors.Kind.INVALID_VALUE, f"{path}: allowed: {allowed}", path=path
    )
