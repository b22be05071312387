"""Start gate: lowest-priority work leaves room for expected urgent arrivals.

Small tasks of the lowest priority start in each gap of a full pool; the next
urgent arrival stops some of them, and they start again at once. Hundreds of
tasks were started twice or more, and a fifth of their time was lost. They
therefore leave what urgent work arriving soon is expected to need, at the rate
and size seen lately.
"""

from typing import NamedTuple

from chervilcove.dispatch import headroom
from chervilcove.dispatch import pending_steps
from chervilcove.dispatch import ranking
from chervilcove.dispatch import resources as resource_values
from chervilcove.dispatch import round_input
from chervilcove.jobs import specs

LOWEST_PRIORITY = 2
# Room is kept for the arrivals of this time: that of a stop, and as much again
# until the tasks that end by themselves have made room.
HORIZON_MS = 2_000
# A stop that loses at most this share of a task's duration is accepted: that of
# all task time which may be lost (docs/design/hard-load.md).
SMALL_LOSS_SHARE = 0.08


# Work with less of its slack left starts. With 0.75, gangs of a drawn load
# waited 5.2 s at p90 instead of 3.4 s.
MIN_SLACK_SHARE = 0.5


class _Expected(NamedTuple):
    """Total need of the urgent tasks that are expected within the horizon."""

    cpu: float
    memory_mb: float
    accelerators: float


class StartGate:
    """Limit the starts of lowest-priority work in one round.

    Args:
        inputs: Input of the round.

    Attributes:
        held_back: Number of tasks that were not started for it.
    """

    def __init__(self, inputs: round_input.RoundInput):
        self._inputs = inputs
        self._expected: dict[str, _Expected | None] = {}  # by service
        self._free: dict[str, list[int]] = {}  # by service
        self.held_back = 0

    def limit_count(
        self, pending: pending_steps.PendingStep, waiting: int
    ) -> int:
        """Return how many of the waiting tasks of a step may start now."""
        if not self._applies(pending):
            return waiting
        service = pending.queue.service
        if service not in self._expected:
            self._expected[service] = self._expect_arrivals(service)
        expected = self._expected[service]
        if expected is None:
            return waiting
        if service not in self._free:
            self._free[service] = self._sum_free(service)
        count = waiting
        for have, keep, each in zip(
            self._free[service], expected, pending.step_spec.need, strict=True
        ):
            if each:
                count = min(count, max(0, int((have - keep) // each)))
        self.held_back += waiting - count
        return count

    def add_start(
        self,
        pending: pending_steps.PendingStep,
        allocation: resource_values.Allocation,
    ) -> None:
        """Count what starts after the gate has first limited a step."""
        free = self._free.get(pending.queue.service)
        if free is not None:
            for index, each in enumerate(allocation.need):
                free[index] -= each * len(allocation.workers)

    def _sum_free(self, service: str) -> list[int]:
        """Return what is free in a pool, but on overdrawn workers."""
        free = [0, 0, 0]
        for one in self._inputs.resources.list_schedulable(service, ""):
            if one.cpu >= 0 and one.memory_mb >= 0 and one.accelerators >= 0:
                free[0] += one.cpu
                free[1] += one.memory_mb
                free[2] += one.accelerators
        return free

    def _applies(self, pending: pending_steps.PendingStep) -> bool:
        step = pending.step_spec
        rank = pending.rank
        if (
            not self._inputs.contention.holds_lowest_starts
            or pending.queue.priority < LOWEST_PRIORITY
            or step.is_gang
            or step.is_lasting
            or rank.tier is not ranking.Tier.IN_TIME
            or rank.slack_ms < MIN_SLACK_SHARE * rank.initial_slack_ms
        ):
            return False
        # On a recorded day of a deployment without these times, small work was
        # late that is in time without the gate.
        times = self._inputs.bounds.checkpoints
        if not times.save_s:
            return False
        if not step.is_checkpointed:
            return True
        duration_s = pending_steps.estimate_duration_s(self._inputs, pending)
        lost_s = times.save_s / 2 + times.restore_s
        return lost_s > SMALL_LOSS_SHARE * duration_s

    def _expect_arrivals(self, service: str) -> _Expected | None:
        """Return the expected need, None while urgent work is rare."""
        recent = [
            one.step
            for one in self._inputs.urgent
            if one.service == service
            and self._inputs.now_ms - one.at_ms < headroom.ARRIVAL_WINDOW_MS
        ]
        if len(recent) < headroom.MIN_ARRIVALS:
            return None
        share = HORIZON_MS / headroom.ARRIVAL_WINDOW_MS
        return _Expected(
            *(
                share * sum(step.count * step.need[index] for step in recent)
                for index in range(len(specs.Resources._fields))
            )
        )
