"""HTTP interface that explains a job which was not sent.

Each entry that follows the log holds all that a plan needs, so each can answer.
The pool is built anew from the replicated state, which stays as it is.
"""

import time
from typing import Any

import msgspec

from chervilcove.core import errors
from chervilcove.core import logs
from chervilcove.core import metrics as metric_values
from chervilcove.core import turns
from chervilcove.core import web
from chervilcove.entry import jobs
from chervilcove.journal import replica as replicas
from chervilcove.journal import state as states
from chervilcove.journal import submissions
from chervilcove.scheduling import conf
from chervilcove.scheduling import core as scheduling
from chervilcove.scheduling import explanations
from chervilcove.scheduling import pool as pools

# Half of the planner's longest interval, so that explanations take at most as
# long as two of its rounds.
PAUSE_S = 0.25
RETRY_AFTER_S = 1


class ExplainHandlers:
    """Explain jobs that were not sent.

    Args:
        name: Name of the entry.
        replica: Replica that holds the state.
        settings: Settings of the planner's policy.
        metrics: Metrics of this entry.
    """

    def __init__(
        self,
        *,
        name: str,
        replica: replicas.Replica,
        settings: conf.PolicySettings,
        metrics: metric_values.Metrics,
    ):
        self._name = name
        self._replica = replica
        self._settings = settings
        self._metrics = metrics
        self._log = logs.Log(source="explain")
        self._turns = turns.Turns(pause_s=PAUSE_S, retry_after_s=RETRY_AFTER_S)

    def add_routes(self, server: web.WebServer) -> None:
        """Register the route on `server`."""
        server.add_route("POST", "/v1/explain", self._handle)

    def _handle(self, request: web.WebRequest) -> Any:
        return self._turns.run(lambda: self._answer(request))

    def _answer(self, request: web.WebRequest) -> Any:
        began = time.monotonic()
        outcome = self._explain(request)
        is_refused = errors.is_refusal(outcome)
        self._metrics.count("jobs.explained")
        self._log.info(
            "job_explained",
            outcome=outcome.kind.value if is_refused else "answered",
            took_ms=int((time.monotonic() - began) * 1000),
        )
        return outcome

    def _explain(
        self, request: web.WebRequest
    ) -> dict[str, Any] | errors.Refusal:
        spec = jobs.parse_spec(request.decode())
        if errors.is_refusal(spec):
            return spec
        if not self._replica.is_following:
            return errors.refuse(
                errors.Kind.STATE_BEHIND,
                "this replica has not caught up with the log",
            )
        state = self._replica.state
        known = submissions.check_submit(state, spec)
        if errors.is_refusal(known):
            return known
        answer = {
            "entry": self._name,
            "owner": self._name,
            "is_owner": True,
            "is_paused": False,
            "customer": spec["customer"],
            "team": spec["team"],
            "urgency": spec["urgency"],
            "job": known or "",
            "ages": self._describe_ages(state),
            "steps": [],
        }
        if known:
            return answer
        now = state.core["time"]
        plan = explanations.explain_job(
            pool=copy_pool(state),
            queue=[one for one in state.list_queue() if one.not_before <= now],
            job=scheduling.QueuedJob(spec, now, 0, 0.0, 0.0),
            now=now,
            settings=self._settings,
        )
        if plan.refusal is not None:
            return plan.refusal
        answer["steps"] = [_describe_step(spec, plan)]
        return answer

    def _describe_ages(self, state: states.State) -> dict[str, Any]:
        """Return ages in seconds; configuration and health come by the log."""
        silence_s = round(self._replica.get_time_since_read_s(), 3)
        workers = state.core["configuration"]["workers"]
        return {
            "configuration_s": silence_s,
            "ledger_s": silence_s,
            "workers": {
                "service": "all data centres",
                "listed": len(workers),
                "open": sum(map(state.pool.is_usable, workers)),
                "newest_s": silence_s,
                "oldest_s": silence_s,
            },
        }


def copy_pool(state: states.State) -> pools.Pool:
    """Return a pool like that of `state` which changes independently."""
    observations = msgspec.msgpack.encode(state.pool.dump_observations())
    pool = pools.Pool(configuration=state.core["configuration"])
    pool.load_observations(msgspec.msgpack.decode(observations))
    for gang in state.pool.gangs.values():
        pool.add_gang(gang)
    return pool


def _describe_step(
    spec: scheduling.JobSpec, plan: explanations.JobPlan
) -> dict[str, Any]:
    """Return the gang as the only step of its job."""
    starts: dict[str, int] = {}
    for place in plan.placement.places if plan.placement else ():
        starts[place.worker] = starts.get(place.worker, 0) + 1
    held = []
    if plan.wait is not None:
        held = [
            {
                "rule": plan.wait.reason,
                "tasks": spec["tasks"],
                "detail": plan.wait.detail,
            }
        ]
    return {
        "step": 0,
        "tasks": spec["tasks"],
        "gang": True,
        "need": {
            name: spec[name]
            for name in ("processors", "memory_gb", "accelerators")
        },
        "slot": plan.placement.slot if plan.placement else "",
        "starts": [
            {"worker": worker, "tasks": count}
            for worker, count in starts.items()
        ],
        "held": held,
        "stops": [
            {"unit": one.job, "reason": one.reason} for one in plan.preemptions
        ],
        "stop_count": len(plan.preemptions),
        "wait_s": None if plan.wait_s is None else round(plan.wait_s, 3),
        "duration_s": round(plan.duration_s, 3),
    }
