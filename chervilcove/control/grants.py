"""Grants of the queues' placement policies, requested ahead of each start.

A policy decides which workers may run a step, and its decision for a step never
changes. It grants tickets, each for one process of a worker and valid for a
limited time. A policy answers one call at a time, so calls are sent one by one;
`grant_order` chooses the step of each.
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
from chervilcove.dispatch import grant_order
from chervilcove.dispatch import grant_requests
from chervilcove.dispatch import resources as resource_values
from chervilcove.jobs import configuration
from chervilcove.jobs import table

POLICY_TIMEOUT_S = 3.0  # for an answer about MAX_WORKERS_PER_REQUEST workers
RETRY_S = 0.25  # pause after a failed or refused call
# Minimum remaining validity of a ticket that is used: retries of a start take
# up to 2 s.
MIN_TICKET_VALIDITY_S = 0.5
CHECK_INTERVAL_S = 0.25  # between looks at grants that lapse


class _PolicyAnswer(NamedTuple):
    """Answer of the policy about one process of a worker."""

    life: int
    ticket: str | None  # None if the worker was not granted
    until: float  # monotonic seconds


class GrantFetcher(tasks.Task):
    """Request grants from the policy, and cache its answers.

    Args:
        policy: The policy, None if the deployment has none.
        resources: Workers and their free resources.
        wake: Requests a scheduling round.
        metrics: Metrics of this entry.
    """

    def __init__(
        self,
        *,
        policy: interfaces.PlacementPolicy | None,
        resources: resource_values.FleetResources,
        wake: Callable[[], None],
        metrics: metric_values.Metrics,
    ):
        super().__init__(name="grants")
        self._policy = policy
        self._resources = resources
        self._wake_owner = wake
        self._metrics = metrics
        self._answers: dict[tuple[str, int, int], dict[str, _PolicyAnswer]] = {}
        self._waiting_steps: list[grant_order.WaitingStep] = []
        self._order = grant_order.GrantOrder()
        self._changed = event.Event()

    def set_waiting_steps(
        self, waiting: Iterable[grant_order.WaitingStep]
    ) -> None:
        """Replace the waiting steps, given by rank.

        Cached answers about all other steps are dropped.
        """
        self._waiting_steps = list(waiting)
        step_keys = {one.step_key for one in self._waiting_steps}
        for step_key in [
            step_key for step_key in self._answers if step_key not in step_keys
        ]:
            del self._answers[step_key]
        self._order.forget_others(self._waiting_steps)
        if self._waiting_steps:
            self._changed.set()

    def get_granted_workers(
        self, step_key: tuple[str, int, int]
    ) -> frozenset[str] | None:
        """Return the workers granted now, None before the first answer."""
        if step_key not in self._answers:
            return None
        known = self._get_valid_answers(step_key)
        return frozenset(name for name, granted in known.items() if granted)

    def get_ticket(self, step_key: tuple[str, int, int], worker: str) -> str:
        """Return the ticket for `worker`, empty if there is none."""
        answer = self._answers.get(step_key, {}).get(worker)
        return (answer and answer.ticket) or ""

    def run(self) -> None:
        """Request grants for waiting steps until stopped."""
        while not self.is_stopping:
            self._changed.wait(timeout=CHECK_INTERVAL_S)
            self._changed.clear()
            while not self.is_stopping and self._request_next():
                pass

    def _request_next(self) -> bool:
        """Request grants for the next step that lacks them.

        Returns:
            Whether a step lacked grants.
        """
        if self._policy is None:
            return False
        granted = {
            step_key
            for step_key, answers in self._answers.items()
            if any(answer.ticket is not None for answer in answers.values())
        }
        for waiting in self._order.list_next(self._waiting_steps, granted):
            workers = grant_requests.choose_workers_to_ask(
                resources=self._resources,
                service=waiting.service,
                step=waiting.step,
                known_grants=self._get_valid_answers(waiting.step_key),
            )
            if workers:
                self._request(waiting, workers)
                return True
        return False

    def _request(
        self, waiting: grant_order.WaitingStep, workers: list[str]
    ) -> None:
        step_key = waiting.step_key
        lives = {
            name: self._resources.by_worker[name].worker.life
            for name in workers
        }
        asked = time.monotonic()
        name = ".".join(str(part) for part in step_key)
        outcome = self._policy.request_grants(
            name, workers, timeout_s=POLICY_TIMEOUT_S
        )
        took_s = time.monotonic() - asked
        self._metrics.record_time("grants.asked", took_s)
        self._order.record_call(
            waiting, is_answered=not errors.is_refusal(outcome)
        )
        if errors.is_refusal(outcome):
            self.log.warn(
                "policy_unanswered",
                step=name,
                workers=len(workers),
                kind=outcome.kind.value,
                reason=outcome.reason,
            )
            self.sleep(RETRY_S)
            return
        self.log.info(
            "policy_answered",
            step=name,
            workers=len(workers),
            granted=",".join(sorted(outcome.tickets)),
            valid_s=outcome.valid_s,
            is_first=step_key not in self._answers,
            waiting=len(self._waiting_steps),
            took_ms=int(took_s * 1000),
        )
        # The policy may have decided as soon as the request was sent, so the
        # validity counts from then.
        until = asked + outcome.valid_s
        answers = self._answers.setdefault(step_key, {})
        for worker, life in lives.items():
            answers[worker] = _PolicyAnswer(
                life, outcome.tickets.get(worker), until
            )
        self._wake_owner()

    def _get_valid_answers(
        self, step_key: tuple[str, int, int]
    ) -> dict[str, bool]:
        """Return the valid answers: whether each worker is granted."""
        now = time.monotonic()
        valid = {}
        for worker, answer in self._answers.get(step_key, {}).items():
            room = self._resources.by_worker.get(worker)
            if room is None or room.worker.life != answer.life:
                continue
            if answer.ticket is None:
                valid[worker] = False
            elif answer.until - now > MIN_TICKET_VALIDITY_S:
                valid[worker] = True
        return valid


def list_waiting_steps(
    jobs: Iterable[table.Job],
    get_queue: Callable[[table.Job], configuration.Queue],
    now_ms: int,
) -> list[grant_order.WaitingStep]:
    """Return waiting steps that need grants, by priority, then age.

    Args:
        jobs: Jobs that have not ended.
        get_queue: Returns the queue of a job, also of a removed queue.
        now_ms: Unix milliseconds.
    """
    found = []
    for job in jobs:
        queue = get_queue(job)
        if not queue.needs_advice or job.is_cancelled or job.is_failed:
            continue
        rank = (queue.priority, job.submission.accepted_ms)
        for occurrence, number in job.list_ready_steps(now_ms):
            if job.count_waiting_units(occurrence, number):
                step = job.spec.steps[number]
                step_key = (job.id, occurrence, number)
                waiting = grant_order.WaitingStep(
                    step_key, queue.service, job.submission.customer, step
                )
                found.append((rank, waiting))
    found.sort(key=lambda pair: pair[0])
    return [waiting for _, waiting in found]
