"""Explanations of jobs that were not sent, for operators.

Nothing is submitted and nothing changes: the owner's planner runs a round on
copies. Each explanation costs the owner as much as a round, in which it neither
renews leases nor writes heartbeats. Explanations therefore take turns, and a
pause comes before each of them.
"""

import collections
from collections.abc import Callable
import time
from typing import Any

from chervilcove.control import api
from chervilcove.control import clocks
from chervilcove.control import follower as followers
from chervilcove.control import interfaces
from chervilcove.control import owners
from chervilcove.control import request_limits
from chervilcove.core import errors
from chervilcove.core import logs
from chervilcove.core import metrics as metric_values
from chervilcove.core import turns
from chervilcove.dispatch import explanations
from chervilcove.dispatch import observed_rounds
from chervilcove.jobs import configuration
from chervilcove.jobs import maximums
from chervilcove.jobs import records
from chervilcove.jobs import specs
from chervilcove.jobs import table

# Id of the explained job. Ids of callers are 16 hexadecimal digits.
JOB = "explained"
# As long as an idle owner waits between two rounds, so that explanations at
# most double the rounds.
PAUSE_S = 0.25
RETRY_AFTER_S = 1
MAX_STOPS_SHOWN = 200  # for each step; bounds the size of an answer


class JobExplainer:
    """Explain jobs at one entry.

    Args:
        name: Name of the entry.
        follower: Holds the job table.
        job_api: Refuses jobs at submission.
        get_operator_state: Returns the configuration and the evacuations in
            force.
        get_owner: Returns the owner, None if another entry is.
        metrics: Metrics of this entry.
    """

    def __init__(
        self,
        *,
        name: str,
        follower: followers.Follower,
        job_api: api.JobApi,
        get_operator_state: Callable[[], interfaces.OperatorState],
        get_owner: Callable[[], owners.Owner | None],
        metrics: metric_values.Metrics,
    ):
        self._name = name
        self._follower = follower
        self._job_api = job_api
        self._get_operator_state = get_operator_state
        self._get_owner = get_owner
        self._metrics = metrics
        self._log = logs.Log(source="explain")
        self._turns = turns.Turns(pause_s=PAUSE_S, retry_after_s=RETRY_AFTER_S)

    def explain(
        self,
        *,
        queue: str,
        customer: str,
        size: int,
        parse: Callable[[], specs.JobSpec | errors.Refusal],
    ) -> dict[str, Any] | errors.Refusal:
        """Return where the steps of a job would start now, and why not.

        Args:
            queue: Name of the queue.
            customer: Name of the customer, empty for none.
            size: Size of the body of the job, bytes.
            parse: Returns the job.

        Returns:
            The answer, JSON-compatible, or the refusal with which the job
            would be refused.
        """
        return self._turns.run(
            lambda: self._answer(queue, customer, size, parse)
        )

    def _answer(
        self,
        queue: str,
        customer: str,
        size: int,
        parse: Callable[[], specs.JobSpec | errors.Refusal],
    ) -> dict[str, Any] | errors.Refusal:
        began = time.monotonic()
        outcome = self._explain(queue, customer, size, parse)
        is_refused = errors.is_refusal(outcome)
        self._metrics.count("jobs.explained")
        self._log.info(
            "job_explained",
            queue=queue[: api.MAX_LOGGED_INPUT],
            customer=customer[: api.MAX_LOGGED_INPUT],
            outcome=outcome.kind.value if is_refused else "answered",
            took_ms=int((time.monotonic() - began) * 1000),
        )
        return outcome

    def _explain(
        self,
        queue_name: str,
        customer_name: str,
        size: int,
        parse: Callable[[], specs.JobSpec | errors.Refusal],
    ) -> dict[str, Any] | errors.Refusal:
        config = self._job_api.get_configuration()
        if errors.is_refusal(config):
            return config
        found = _find_sender(config, queue_name, customer_name)
        if errors.is_refusal(found):
            return self._job_api.weigh_refusal(found)
        queue, customer = found
        refusal = request_limits.check_body_size(size, config.limits)
        if refusal is not None:
            return self._job_api.weigh_refusal(refusal)
        spec = parse()
        if errors.is_refusal(spec):
            return spec
        refusal = self._find_refusal(spec, queue, customer)
        if refusal is not None:
            return refusal
        job = table.Job(
            submission=records.build_submission(
                job=JOB,
                queue=queue,
                customer=customer,
                spec=spec,
                accepted_ms=self._follower.clock.get_now_ms(),
            )
        )
        owner = self._get_owner()
        claim = self._follower.table.claim
        answer = {
            "entry": self._name,
            "owner": claim.entry if claim else "",
            "is_owner": owner is not None,
            "queue": queue.name,
            "customer": customer_name,
            "ages": self._describe_ages(owner, queue),
            "steps": [],
        }
        if owner is None:
            answer["steps"] = [
                _describe_step(number, step, None)
                for number, step in enumerate(spec.steps)
            ]
            return answer
        plan = owner.get_planner().explain(self._get_operator_state(), job)
        answer["is_paused"] = owner.writer.is_behind
        answer["steps"] = [
            _describe_step(one.step, spec.steps[one.step], one)
            for one in plan.steps
        ]
        return answer

    def _find_refusal(
        self,
        spec: specs.JobSpec,
        queue: configuration.Queue,
        customer: configuration.Customer | None,
    ) -> errors.Refusal | None:
        """Return why the job would be refused, by the checks of `JobApi`."""
        refusal = specs.check_spec(spec)
        if refusal is not None:
            return refusal
        if customer is not None:
            refusal = maximums.check_spec(spec, customer.name, customer.maximum)
            if refusal is not None:
                return self._job_api.weigh_refusal(refusal)
        if self._follower.reachable_since is None:
            return self._job_api.build_unreachable_refusal(None)
        if customer is None:
            return None
        return self._job_api.rates.find_refusal(
            job=JOB, spec=spec, queue=queue, customer=customer
        )

    def _describe_ages(
        self, owner: owners.Owner | None, queue: configuration.Queue
    ) -> dict[str, Any]:
        """Return the ages of the inputs in seconds, None where unknown."""
        now_s = clocks.read_boot_clock_s()
        ages: dict[str, Any] = {
            "configuration_s": _round(
                self._get_operator_state().compute_age_s(now_s)
            ),
            "ledger_s": _round(self._follower.get_silence_s()),
            "workers": None,
        }
        if owner is None:
            return ages
        now = time.monotonic()
        answered = [
            now - session.last_answer
            for session in owner.fleet.sessions.values()
            if session.report.service == queue.service
            and session.last_answer is not None
        ]
        ages["workers"] = {
            "service": queue.service,
            "listed": sum(
                one.service == queue.service
                for one in owner.fleet.reports.values()
            ),
            "open": len(
                owner.fleet.resources.list_schedulable(queue.service, "")
            ),
            "newest_s": _round(min(answered, default=None)),
            "oldest_s": _round(max(answered, default=None)),
        }
        return ages


def _find_sender(
    config: configuration.Configuration, queue_name: str, customer_name: str
) -> tuple[configuration.Queue, configuration.Customer | None] | errors.Refusal:
    queue = config.queues.get(queue_name)
    if queue is None:
        return errors.refuse(
            errors.Kind.UNKNOWN_NAME,
            f"no queue is named {queue_name[: api.MAX_LOGGED_INPUT]!r}",
            queues=sorted(config.queues),
        )
    customer = config.customers.get(customer_name)
    if customer is None and (customer_name or not queue.is_public):
        name = customer_name[: api.MAX_LOGGED_INPUT]
        return errors.refuse(
            errors.Kind.UNKNOWN_CUSTOMER,
            f"no customer is named {name!r}"
            if name
            else f"queue {queue.name} is not public: name a customer",
        )
    return queue, customer


def _describe_step(
    number: int, step: specs.Step, plan: explanations.StepPlan | None
) -> dict[str, Any]:
    """Return a step as the answer shows it; only the owner has a plan."""
    described: dict[str, Any] = {
        "step": number,
        "tasks": step.count,
        "gang": step.is_gang,
        "need": step.need._asdict(),
    }
    if plan is None:
        return described
    return {
        **described,
        "starts": [
            {"worker": worker, "tasks": count}
            for worker, count in collections.Counter(plan.starts).items()
        ],
        "held": [
            {
                "rule": one.rule.value,
                "tasks": one.tasks,
                "detail": observed_rounds.DETAILS[one.rule],
            }
            for one in plan.holds
        ],
        "stops": [
            {"unit": one.unit.format(), "loss_core_s": round(one.loss, 1)}
            for one in plan.stops[:MAX_STOPS_SHOWN]
        ],
        "stop_count": len(plan.stops),
        "wait_s": _round(plan.wait_s),
        "duration_s": _round(plan.duration_s),
    }


def _round(seconds: float | None) -> float | None:
    if seconds is None or seconds == float("inf"):
        return None
    return round(seconds, 3)
