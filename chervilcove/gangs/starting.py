"""Start of an attempt: of all tasks, fenced, and only on current state.

The order of the phases bounds how late a gang can start in a data centre
that was taken out of service. First each worker registers a token that
expires after `start_ttl_s` on its own clock, then both streams are read to
their heads, and only then the gang starts under the token. If this entry is
paused or partitioned in between, the token has expired and the start fails.
"""

import enum
import itertools
import time
from typing import Any
from typing import NamedTuple

import gevent

from chervilcove.core import errors
from chervilcove.core import logs
from chervilcove.core import metrics as metric_values
from chervilcove.gangs import ending
from chervilcove.gangs import leases
from chervilcove.gangs import worker_client
from chervilcove.journal import records
from chervilcove.journal import replica as replicas
from chervilcove.journal import state as states

PREPARE_RETRY_DELAY_S = 0.1
LOG_RETRY_DELAY_S = 0.5
MAX_UNREACHABLE_TRIES = 2


class NextAction(enum.Enum):
    """Actions that can follow a phase of a start."""

    GO_ON = "go_on"
    TRY_LATER = "try_later"
    END = "end"


class PhaseResult(NamedTuple):
    """Hold the result of one phase of a start.

    Attributes:
        next: Action that follows.
        why: End of the attempt to commit, if `next` is `END`.
        is_unreachable: Whether the worker at fault did not answer.
    """

    next: NextAction
    why: ending.AttemptEnd = ending.AttemptEnd("lost", "start_failed")
    is_unreachable: bool = False


_GO_ON = PhaseResult(NextAction.GO_ON)
_TRY_LATER = PhaseResult(NextAction.TRY_LATER)


class AttemptStarter:
    """Start attempts on their workers and commit each start to the log.

    Args:
        replica: Replica that commits records and holds the state.
        client: Client of the workers.
        ender: Ends attempts that can't start.
        timing: Durations of leases and calls.
        metrics: Receiver of counters.
    """

    def __init__(
        self,
        *,
        replica: replicas.Replica,
        client: worker_client.WorkerClient,
        ender: ending.AttemptEnder,
        timing: leases.Timing,
        metrics: metric_values.Metrics,
    ):
        self._replica = replica
        self._client = client
        self._ender = ender
        self._timing = timing
        self._metrics = metrics
        self._log = logs.Log(source="gangs")
        self._token_numbers = itertools.count(1)

    def start(self, job: states.Job) -> None:
        """Start the latest attempt of `job`, or end it as not started."""
        attempt = job["attempt"]
        result = self._try_to_start(job, attempt)
        if result.next is NextAction.TRY_LATER or not _is_placed(job, attempt):
            gevent.sleep(
                LOG_RETRY_DELAY_S if result.next is NextAction.TRY_LATER else 0
            )
            return
        if result.next is NextAction.END:
            self._metrics.count(f"gangs.refused.{result.why.reason}")
            self._ender.end(
                job, result.why, extra_items=_list_health_items(result)
            )
            return
        body = records.Started(job=job["spec"]["id"], attempt=attempt)
        self._ender.commit(job, attempt, [records.Item("started", body)])

    def _try_to_start(self, job: states.Job, attempt: int) -> PhaseResult:
        result = self._prepare_all(job, attempt, self._create_token())
        if result.next is not NextAction.GO_ON:
            return result
        if not job["started"]:
            name = job["spec"]["id"]
            body = records.Starting(job=name, attempt=attempt)
            item = records.Item("starting", body)
            if not self._ender.commit(job, attempt, [item]):
                return _TRY_LATER
        token = self._create_token()
        result = self._prepare_all(job, attempt, token)
        if result.next is not NextAction.GO_ON:
            return result
        refusal = self._replica.catch_up_both_streams(
            timeout_s=self._timing.start_ttl_s
        )
        if refusal is not None:
            self._metrics.count(f"gangs.retried.{refusal.kind.value}")
            return _TRY_LATER
        if not _is_placed(job, attempt):
            return _TRY_LATER
        if not self._are_workers_usable(job):
            reason = self._get_unusable_reason(job)
            return PhaseResult(
                NextAction.END, ending.AttemptEnd("lost", reason)
            )
        return self._start_all(job, token)

    def _create_token(self) -> str:
        return f"{self._replica.incarnation}/{next(self._token_numbers)}"

    def _are_workers_usable(self, job: states.Job) -> bool:
        pool = self._replica.state.pool
        return all(pool.is_usable(place.worker) for place in job["places"])

    def _get_unusable_reason(self, job: states.Job) -> str:
        centres = self._replica.state.core["configuration"]["data_centres"]
        for worker in self._list_placed_workers(job):
            centre = centres.get(worker["data_centre"])
            if centre is None or not centre["in_service"]:
                return "data_centre_out"
        return "worker_lost"

    def _prepare_all(
        self, job: states.Job, attempt: int, token: str
    ) -> PhaseResult:
        deadline = time.monotonic() + self._timing.prepare_patience_s
        unreachable_tries: dict[str, int] = {}
        while _is_placed(job, attempt):
            answers = worker_client.call_all(
                self._list_placed_workers(job),
                lambda worker: self._client.prepare(worker, job, token),
            )
            result = self._evaluate_prepare_answers(answers, unreachable_tries)
            if result is not None:
                return result
            if time.monotonic() >= deadline:
                return PhaseResult(NextAction.END)
            gevent.sleep(PREPARE_RETRY_DELAY_S)
        return _TRY_LATER

    def _evaluate_prepare_answers(
        self, answers: dict[str, Any], unreachable_tries: dict[str, int]
    ) -> PhaseResult | None:
        refusals = {
            name: answer
            for name, answer in answers.items()
            if errors.is_refusal(answer)
        }
        if not refusals:
            return _GO_ON
        for name, refusal in refusals.items():
            self._metrics.count(f"gangs.retried.prepare.{refusal.kind.value}")
            if refusal.kind is errors.Kind.FENCED:
                return PhaseResult(NextAction.END)
            if worker_client.is_unreachable(refusal):
                unreachable_tries[name] = unreachable_tries.get(name, 0) + 1
                if unreachable_tries[name] >= MAX_UNREACHABLE_TRIES:
                    attempt_end = ending.AttemptEnd(
                        "lost", "start_failed", name
                    )
                    return PhaseResult(NextAction.END, attempt_end, True)
        return None

    def _start_all(self, job: states.Job, token: str) -> PhaseResult:
        answers = worker_client.call_all(
            self._list_placed_workers(job),
            lambda worker: self._client.start(worker, job, token),
        )
        for name, answer in answers.items():
            if errors.is_refusal(answer):
                self._metrics.count(f"gangs.retried.start.{answer.kind.value}")
                at_fault = name if worker_client.is_unreachable(answer) else ""
                return PhaseResult(
                    NextAction.END,
                    ending.AttemptEnd("lost", "start_failed", at_fault),
                )
        return _GO_ON

    def _list_placed_workers(self, job: states.Job) -> list:
        configured = self._replica.state.core["configuration"]["workers"]
        return ending.list_placed_workers(configured, job)


def _is_placed(job: states.Job, attempt: int) -> bool:
    return job["state"] == "placed" and job["attempt"] == attempt


def _list_health_items(result: PhaseResult) -> tuple[records.Item, ...]:
    if not result.is_unreachable:
        return ()
    body = records.WorkerHealth(
        worker=result.why.worker, healthy=False, reason="unreachable"
    )
    return (records.Item("worker_health", body),)
