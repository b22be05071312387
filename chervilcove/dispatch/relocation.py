"""Relocation: when a run should be stopped and restarted on another worker.

Two cases cause it. A worker drains while runs are on it: a run that can't end
before the worker leaves is stopped at once, since it would be killed with the
worker. Tasks on a worker stand still for seconds while other workers are idle:
the worker gets no new tasks, and the stalled task is relocated once it has
stalled for longer than such faults usually last, if little work is lost.

Slow tasks aren't relocated. Declared durations are far off, and comparing
progress with them stopped runs that were merely long again and again.
"""

from typing import NamedTuple

# The rate of progress is computed over at least this long. A busy worker
# renews its lease, and so reports progress, twice in it.
RATE_WINDOW_S = 1.8
# A worker gets no new tasks once a task on it stalls for this long. It is more
# than two renewals, since a slow task advances by only a percent in 1 s.
STALL_DETECTION_S = 2.5
# A task that stalls for this long is relocated. Partial faults of workers last
# 5 to 7 s, so most are over 2 s later.
STALL_RELOCATION_S = 4.0
# Share of a run without a checkpoint that may be lost by a relocation, percent.
MAX_LOST_PERCENT = 30.0
LEDGER_MARGIN_S = 0.3  # time for the end of a run to reach the ledger
NEVER_ENDS_S = float("inf")


class Sample(NamedTuple):
    """Progress of a task at a time.

    Attributes:
        observed_at: Monotonic seconds.
        percent: Progress, 0 to 100.
    """

    observed_at: float
    percent: float


class TaskProgress:
    """Keep the progress of a task over the last seconds."""

    def __init__(self):
        self._samples: list[Sample] = []
        self._last_advance: float | None = None

    def add(self, observed_at: float, percent: float) -> None:
        """Add a sample and drop those that the rate doesn't need."""
        if percent > (self._samples[-1].percent if self._samples else 0.0):
            self._last_advance = observed_at
        self._samples.append(Sample(observed_at, percent))
        while (
            len(self._samples) > 2
            and self._samples[1].observed_at <= observed_at - RATE_WINDOW_S
        ):
            del self._samples[0]

    def get_rate(self) -> float | None:
        """Return the present rate of progress in percent a second.

        Returns:
            None until the samples span the rate window.
        """
        if not self._samples:
            return None
        first, last = self._samples[0], self._samples[-1]
        if last.observed_at - first.observed_at < RATE_WINDOW_S:
            return None
        return (last.percent - first.percent) / (
            last.observed_at - first.observed_at
        )

    def estimate_remaining_s(self) -> float | None:
        """Return the seconds to the task's end at its present rate.

        Returns:
            None until the samples span the rate window; infinity if the task
            doesn't advance.
        """
        rate = self.get_rate()
        if rate is None:
            return None
        if rate <= 0:
            return NEVER_ENDS_S
        return (100.0 - self._samples[-1].percent) / rate

    def get_stalled_s(self) -> float:
        """Return the seconds for which the task has not advanced.

        Returns:
            0 before the first advance, and at 100 percent, where a member of a
            gang waits for the others to end.
        """
        if self._last_advance is None or self._samples[-1].percent >= 100.0:
            return 0.0
        return self._samples[-1].observed_at - self._last_advance


def cannot_end_before_departure(
    remaining_s: float, leaves_in_s: float | None
) -> bool:
    """Return whether a run can't end before its worker leaves.

    Args:
        remaining_s: Seconds to the end of the run.
        leaves_in_s: Least seconds until the worker leaves; None if it stays.
    """
    return (
        leaves_in_s is not None and remaining_s > leaves_in_s - LEDGER_MARGIN_S
    )


def should_relocate(
    stalled_s: float, percent: float, *, is_resumable: bool
) -> bool:
    """Return whether a stalled task should be restarted on another worker.

    Args:
        stalled_s: Seconds for which the task has not advanced.
        percent: Its progress.
        is_resumable: Whether it resumes from a checkpoint.
    """
    is_cheap = is_resumable or percent <= MAX_LOST_PERCENT
    return stalled_s > STALL_RELOCATION_S and is_cheap
