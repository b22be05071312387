"""Pages for operators: metrics, status and the history of a job."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

from chervilcove.control import follower as followers
from chervilcove.control import interfaces
from chervilcove.control import rate_admission
from chervilcove.control import wait_log
from chervilcove.core import errors
from chervilcove.core import metrics as metric_values
from chervilcove.core import web
from chervilcove.dispatch import usage
from chervilcove.jobs import configuration
from chervilcove.jobs import maximums
from chervilcove.jobs import specs
from chervilcove.jobs import table

MAX_UNITS_SHOWN = 200  # per job


class OperatorPages:
    """Answer requests of operators at one entry.

    The answers have the shapes that `chervilcove status` and `chervilcove job`
    read.

    Args:
        name: Name of the entry.
        follower: Holds the job table.
        get_operator_state: Returns the configuration and the evacuations in
            force.
        metrics: Metrics of this entry.
        get_held_back: Returns which customers wait for their maximum, by
            name; empty at an entry that isn't the owner.
        get_rate: Returns what a customer sent beyond its weight.
    """

    def __init__(
        self,
        *,
        name: str,
        follower: followers.Follower,
        get_operator_state: Callable[[], interfaces.OperatorState],
        metrics: metric_values.Metrics,
        get_held_back: Callable[[], Mapping[str, wait_log.HeldBack]] = dict,
        get_rate: Callable[[configuration.Customer], rate_admission.RateState],
    ):
        self._name = name
        self._follower = follower
        self._get_operator_state = get_operator_state
        self._metrics = metrics
        self._get_held_back = get_held_back
        self._get_rate = get_rate

    def add_routes(self, server: web.WebServer) -> None:
        """Add the routes of all pages to `server`."""
        server.add_route("GET", "/metrics", self._show_metrics)
        server.add_route("GET", "/v1/status", self._show_status)
        server.add_route("GET", "/v1/jobs/{job}/explain", self._explain)

    def _show_metrics(self, _request: web.WebRequest) -> web.WebResponse:
        return web.WebResponse(
            200, self._metrics.render().encode(), "text/plain"
        )

    def _show_status(self, _request: web.WebRequest) -> dict[str, Any]:
        operations = self._get_operator_state()
        config = operations.configuration
        claim = self._follower.table.claim
        waiting: dict[str, int] = {}
        for job in self._follower.table.open_jobs.values():
            state = job.get_state().value
            key = f"{job.submission.queue} {state}"
            waiting[key] = waiting.get(key, 0) + 1
        counts = self._metrics.list_counts()
        running = _sum_running(self._follower.table.open_jobs.values())
        total = [sum(each) for each in zip(*running.values(), strict=True)]
        shares = usage.compute_parts(running, total)
        return {
            "entry": self._name,
            "offset": self._follower.next_offset,
            "configuration": {"revision": config.version if config else 0},
            "entries": [
                {
                    "entry": claim.entry if claim else "",
                    "role": "owner",
                    "epoch": self._follower.table.epoch,
                    "ledger_silence_s": round(
                        self._follower.get_silence_s(), 3
                    ),
                }
            ],
            "customers": [
                self._describe_customer(each, running, shares)
                for each in (config.customers.values() if config else ())
            ],
            "data_centres": [
                {"data_centre": name, "state": "out"}
                for name in sorted(operations.evacuated)
            ],
            "queue": [
                {"queue": name, "jobs": count}
                for name, count in sorted(waiting.items())
            ],
            "minions": [],
            "refusals": {
                name: count for name, count in counts.items() if "." in name
            },
        }

    def _describe_customer(
        self,
        customer: configuration.Customer,
        running: Mapping[str, specs.Resources],
        shares: Mapping[str, float],
    ) -> dict[str, Any]:
        """Describe the limits of a customer and what it has running.

        Its share is the largest part of any resource of all that runs. Only
        the owner knows which tasks wait for a maximum.
        """
        described: dict[str, Any] = {
            "customer": customer.name,
            "guaranteed": customer.guaranteed,
            "maximum": customer.maximum._asdict(),
            "weight": customer.weight,
            "running": running.get(
                customer.name, maximums.NO_MAXIMUM
            )._asdict(),
            "share": round(shares.get(customer.name, 0.0), 4),
            "beyond_weight": self._get_rate(customer)._asdict(),
        }
        held_back = self._get_held_back().get(customer.name)
        if held_back is not None:
            described["held_back"] = held_back._asdict()
        return described

    def _explain(self, request: web.WebRequest) -> Any:
        job = self._follower.table.jobs.get(request.parts["job"])
        if job is None:
            return errors.refuse(errors.Kind.UNKNOWN_JOB, "no such job")
        history = [
            _build_history_event(
                job.submission.accepted_ms / 1000,
                "accepted",
                job.submission.customer,
                f"queue={job.submission.queue}",
            )
        ]
        for key, unit in list(job.units.items())[:MAX_UNITS_SHOWN]:
            workers = ",".join(place.worker for place in unit.places)
            history.append(
                _build_history_event(
                    self._follower.clock.get_now_ms() / 1000,
                    table.UnitStatus(unit.status).name.lower(),
                    key.format(),
                    f"run={unit.run} failed={len(unit.failed)} "
                    f"workers={workers}",
                )
            )
        if job.end is not None:
            history.append(
                _build_history_event(job.end.ended_ms / 1000, "ended", "", "")
            )
        return {
            "job": job.id,
            "history": history,
            "state": job.get_state().value,
            "wait": _describe_wait(job, self._follower.clock.get_now_ms()),
        }


def _build_history_event(
    moment: float, event: str, reason: str, detail: str
) -> dict[str, Any]:
    return {
        "offset": "",
        "time": moment,
        "event": event,
        "reason": reason,
        "detail": detail,
    }


def _sum_running(jobs: Iterable[table.Job]) -> dict[str, specs.Resources]:
    """Return what each customer has running by the records of its units."""
    found: dict[str, specs.Resources] = {}
    for job in jobs:
        customer = job.submission.customer
        for key in job.active:
            need = job.spec.steps[key.step].need
            count = len(job.units[key].places)
            before = found.get(customer, maximums.NO_MAXIMUM)
            found[customer] = specs.Resources(
                *(
                    total + each * count
                    for total, each in zip(before, need, strict=True)
                )
            )
    return found


def _describe_wait(job: table.Job, now_ms: int) -> dict[str, str] | None:
    """Describe the first waiting step; the owner's log tells the cause."""
    if job.end is not None or job.is_cancelled:
        return None
    for occurrence, number in job.list_ready_steps(now_ms):
        count = job.count_waiting_units(occurrence, number)
        if count:
            need = ",".join(str(x) for x in job.spec.steps[number].need)
            return {
                "reason": "room",
                "detail": f"step={occurrence}.{number} tasks={count} "
                f"need={need}; see job_waits in the owner's log",
            }
    return None
