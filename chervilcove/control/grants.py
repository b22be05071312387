"""Grants: what the policies of queues allow, asked ahead of each start.

A policy decides which workers may run a step, and does not change its mind
about a step; what it grants is a ticket for a worker in its present life, valid
for a time. It answers one call at a time, so the calls go out one by one, for
the step that waits first.
"""

from collections.abc import Callable
from collections.abc import Iterable
import time
from typing import NamedTuple

from gevent import event

from chervilcove.control import interfaces
from chervilcove.core import errors
from chervilcove.core import metrics as metric_values
from chervilcove.core import tasks
from chervilcove.dispatch import grant_requests
from chervilcove.dispatch import resources as room_values
from chervilcove.jobs import specs

ANSWER_S = 3.0  # most time for an answer about `granting.MOST_ASKED` workers
RETRY_S = 0.25  # pause after a call that was refused or not answered
# Least time that a ticket must be valid to be used: a start is sent again for
# up to 2 s.
LEAST_LEFT_S = 0.5
LOOK_S = 0.25  # between looks at grants that lapse


class Waiting(NamedTuple):
    """Hold a step that waits for grants.

    Attributes:
        turn: Job, occurrence and step.
        service: Pool of workers.
        step: The step.
    """

    step_key: tuple[str, int, int]
    service: str
    step: specs.Step


class _Answer(NamedTuple):
    """Hold what the policy said of a worker in one of its lives."""

    life: int
    ticket: str | None  # None where it was not granted
    until: float  # monotonic seconds


class Grants(tasks.Task):
    """Ask the policy, and keep its answers.

    Args:
        policy: The policy, None where the deployment has none.
        rooms: Room on workers.
        wake: Makes the owner decide soon.
        metrics: Counters.
    """

    def __init__(
        self,
        *,
        policy: interfaces.PlacementPolicy | None,
        rooms: room_values.FleetResources,
        wake: Callable[[], None],
        metrics: metric_values.Metrics,
    ):
        super().__init__(name="grants")
        self._policy = policy
        self._rooms = rooms
        self._wake_owner = wake
        self._metrics = metrics
        self._answers: dict[tuple[str, int, int], dict[str, _Answer]] = {}
        self._waiting: list[Waiting] = []
        self._changed = event.Event()

    def set_waiting(self, waiting: Iterable[Waiting]) -> None:
        """Take the steps that wait, the first to be asked for first."""
        self._waiting = list(waiting)
        turns = {one.turn for one in self._waiting}
        for turn in [turn for turn in self._answers if turn not in turns]:
            del self._answers[turn]
        if self._waiting:
            self._changed.set()

    def get(self, turn: tuple[str, int, int]) -> frozenset[str] | None:
        """Return the workers granted now, None before any answer."""
        if turn not in self._answers:
            return None
        known = self._list_valid(turn)
        return frozenset(name for name, granted in known.items() if granted)

    def get_ticket(self, turn: tuple[str, int, int], worker: str) -> str:
        """Return the ticket for `worker`, empty where there is none."""
        answer = self._answers.get(turn, {}).get(worker)
        return (answer and answer.ticket) or ""

    def run(self) -> None:
        """Ask for what waits until stopped."""
        while not self.is_stopping:
            self._changed.wait(timeout=LOOK_S)
            self._changed.clear()
            while not self.is_stopping and self._ask_next():
                pass

    def _ask_next(self) -> bool:
        """Ask for the first step that lacks grants; tell whether one did."""
        if self._policy is None:
            return False
        for waiting in self._waiting:
            workers = grant_requests.choose_workers_to_ask(
                rooms=self._rooms,
                service=waiting.service,
                step=waiting.step,
                answers=self._list_valid(waiting.turn),
            )
            if workers:
                self._ask(waiting.turn, workers)
                return True
        return False

    def _ask(self, turn: tuple[str, int, int], workers: list[str]) -> None:
        lives = {
            name: self._rooms.by_worker[name].worker.life for name in workers
        }
        asked = time.monotonic()
        name = ".".join(str(part) for part in turn)
        outcome = self._policy.ask(name, workers, timeout_s=ANSWER_S)
        took_s = time.monotonic() - asked
        self._metrics.record_time("grants.asked", took_s)
        if errors.is_refusal(outcome):
            self.log.warn(
                "policy_unanswered",
                step=name,
                workers=len(workers),
                kind=outcome.kind.value,
                reason=outcome.reason,
            )
            self.rest(RETRY_S)
            return
        self.log.info(
            "policy_answered",
            step=name,
            workers=len(workers),
            granted=",".join(sorted(outcome.tickets)),
            valid_s=outcome.valid_s,
            took_ms=int(took_s * 1000),
        )
        # It may have decided as soon as it was asked.
        until = asked + outcome.valid_s
        answers = self._answers.setdefault(turn, {})
        for worker, life in lives.items():
            answers[worker] = _Answer(life, outcome.tickets.get(worker), until)
        self._wake_owner()

    def _list_valid(self, turn: tuple[str, int, int]) -> dict[str, bool]:
        """Return whether workers are granted, as far as it is known now."""
        now = time.monotonic()
        valid = {}
        for worker, answer in self._answers.get(turn, {}).items():
            room = self._rooms.by_worker.get(worker)
            if room is None or room.worker.life != answer.life:
                continue
            if answer.ticket is None:
                valid[worker] = False
            elif answer.until - now > LEAST_LEFT_S:
                valid[worker] = True
        return valid
