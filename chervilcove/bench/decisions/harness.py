"""Simulate one scenario with a policy: its events and decision rounds.

Plans are applied without validation, so that the record shows the faults of a
policy.
"""

from collections.abc import Callable
from typing import Any

from chervilcove.bench.decisions import execution
from chervilcove.bench.decisions import record as records
from chervilcove.bench.decisions import sampling
from chervilcove.bench.decisions import scenarios
from chervilcove.bench.decisions import shapes
from chervilcove.bench.decisions import timeline
from chervilcove.bench.decisions import workload
from chervilcove.core import clock as clocks
from chervilcove.core import errors
from chervilcove.scheduling import core
from chervilcove.scheduling import pool as pools


class Harness:
    """Simulation of one scenario with one policy.

    Args:
        scenario: Scenario as returned by `scenarios.load_scenario`.
        policy: Policy to measure.
        seed: Seed of the workload.
        without_outages: Whether to skip the data centre and rack events.
    """

    def __init__(
        self,
        *,
        scenario: dict[str, Any],
        policy: core.Policy,
        seed: int,
        without_outages: bool = False,
    ):
        self._scenario = scenario
        self._platform = scenario["platform"]
        self._policy = policy
        self._configuration = scenarios.build_configuration(scenario)
        jobs = workload.draw_jobs(scenario, self._configuration, seed)
        self._end_limit = scenario["horizon_s"] + scenario["drain_s"]
        self._record = records.Record(
            jobs=jobs,
            measure_from=scenario["measure_from_s"],
            end_limit=self._end_limit,
        )
        self._timeline = timeline.Timeline()
        self._pool = pools.Pool(configuration=self._configuration)
        self._execution = execution.Execution(
            timeline=self._timeline,
            platform=self._platform,
            pool=self._pool,
            record=self._record,
            learns=getattr(policy, "learns", True),
            request_round=self._request_round,
        )
        self._stopwatch = clocks.SystemClock()
        self._round_at: float | None = None
        self._loss_causes: dict[str, set[str]] = {}
        self._pending_inputs = 0
        self._load_inputs(jobs, without_outages)

    def run(self) -> records.Record:
        """Run the simulation to its end; return its record."""
        self._record_pool_state()
        self._tick()
        while self._timeline.has_next(self._end_limit):
            self._timeline.step()
            if not self._pending_inputs and self._execution.is_idle:
                break
        if not self._execution.is_idle:
            self._timeline.advance_to(self._end_limit)
        self._execution.close()
        self._record.ended_at = self._now
        return self._record

    @property
    def _now(self) -> float:
        return self._timeline.now

    def _load_inputs(
        self, jobs: list[workload.SimulatedJob], without_outages: bool
    ) -> None:
        for job in jobs:
            self._schedule_input(job.submitted_at, self._submit, job)
            if job.cancelled_at is not None:
                name = job.spec["id"]
                self._schedule_input(
                    job.cancelled_at, self._execution.cancel, name
                )
        for event in self._scenario["events"]:
            self._load_event(event, without_outages)

    def _load_event(self, event: dict[str, Any], without_outages: bool) -> None:
        kind = event["kind"]
        outage = kind.startswith(("data_centre_", "rack_"))
        if outage and without_outages:
            return
        at = event["at_s"]
        if kind == "data_centre_out":
            centre = event["data_centre"]
            self._schedule_input(at, self._set_service, centre, False)
            outage_at = at + event["notice_s"]
            self._schedule_input(outage_at, self._set_loss, centre, True)
        elif kind == "data_centre_back":
            centre = event["data_centre"]
            self._schedule_input(at, self._set_loss, centre, False)
            self._schedule_input(at, self._set_service, centre, True)
        elif kind in ("rack_lost", "rack_back"):
            lost = kind == "rack_lost"
            self._schedule_input(at, self._set_loss, event["rack"], lost)
        elif kind in ("workers_fail", "workers_mend"):
            fails = kind == "workers_fail"
            self._schedule_input(at, self._set_failing, event["workers"], fails)
        elif kind == "note":
            self._schedule_input(at, self._apply_note_event, event)

    def _schedule_input(
        self, at: float, action: Callable[..., None], *arguments: Any
    ) -> None:
        """Schedule an event of the scenario.

        The simulation doesn't end while such events are pending.
        """
        self._pending_inputs += 1

        def run_input() -> None:
            self._pending_inputs -= 1
            action(*arguments)

        self._timeline.schedule(at, run_input)

    def _submit(self, job: workload.SimulatedJob) -> None:
        if self._can_ever_fit(job.spec):
            self._execution.submit(job)
        else:
            self._execution.record_end(job.spec["id"], core.Reason.NEVER_FITS)

    def _can_ever_fit(self, spec: core.JobSpec) -> bool:
        """Return whether the gang fits an empty pool fully in service."""
        free_workers = shapes.list_empty_workers(
            self._configuration, (), include_out_of_service=True
        )
        return shapes.count_fitting_gangs(spec, free_workers, 1) > 0

    def _apply_note_event(self, event: dict[str, Any]) -> None:
        outcome = scenarios.apply_note_event(self._configuration, event)
        if errors.is_refusal(outcome):
            return
        self._set_configuration(outcome)

    def _set_service(self, centre: str, in_service: bool) -> None:
        note = {
            "at_s": self._now,
            "changed": [
                {
                    "type": "data_centre",
                    "name": centre,
                    "in_service": in_service,
                }
            ],
        }
        self._apply_note_event(note)

    def _cancel_starts(self) -> None:
        """Stop pending starts in data centres that are out of service.

        On the platform, reading the log before the start would now forbid it.
        """
        out_of_service = {
            name
            for name, centre in self._configuration["data_centres"].items()
            if not centre["in_service"]
        }
        for name in list(self._execution.workers.starting):
            gang = self._pool.gangs[name]
            if out_of_service & self._list_centres(gang):
                self._execution.stop(name, core.Reason.DATA_CENTRE_OUT, "")
                self._execution.enqueue(name, self._now)

    def _list_centres(self, gang: core.Gang) -> set[str]:
        workers = self._configuration["workers"]
        return {workers[place.worker]["data_centre"] for place in gang.places}

    def _set_loss(self, cause: str, lost: bool) -> None:
        """Mark the workers of a data centre or rack as lost or regained.

        A worker is healthy again once no cause of its loss remains.
        """
        names = [
            name
            for name, worker in self._configuration["workers"].items()
            if cause in (worker["data_centre"], worker["rack"])
        ]
        for name in names:
            causes = self._loss_causes.setdefault(name, set())
            if lost:
                causes.add(cause)
            else:
                causes.discard(cause)
            self._pool.set_worker_health(name, not causes)
        if lost:
            self._end_gangs_on_workers(set(names))
        self._record_pool_state()

    def _end_gangs_on_workers(self, lost: set[str]) -> None:
        for name, gang in list(self._pool.gangs.items()):
            if any(place.worker in lost for place in gang.places):
                self._execution.end_lost_gang(name, core.Reason.WORKER_LOST)

    def _set_failing(self, names: list[str], fails: bool) -> None:
        for name in names:
            self._execution.workers.set_failing(name, fails)
        self._record_pool_state()

    def _set_configuration(self, configuration: Any) -> None:
        withdrawn = set(self._configuration["workers"])
        withdrawn -= set(configuration["workers"])
        self._end_gangs_on_workers(withdrawn)
        self._configuration = configuration
        self._pool.set_configuration(configuration)
        self._cancel_starts()
        self._record_pool_state()

    def _record_pool_state(self) -> None:
        lost = [name for name, causes in self._loss_causes.items() if causes]
        self._record.pool_states.append(
            records.PoolState(
                self._now,
                self._configuration,
                frozenset(lost),
                frozenset(self._execution.workers.failing),
            )
        )
        self._request_round()

    def _request_round(self) -> None:
        """Schedule a decision round after `round_s`.

        Events that arrive before that round share it.
        """
        if self._round_at is None:
            self._round_at = self._now + self._platform["round_s"]
            self._timeline.schedule(self._round_at, self._run_round)

    def _tick(self) -> None:
        if self._execution.queue:
            self._request_round()
        self._timeline.schedule(
            self._now + self._platform["tick_s"], self._tick
        )

    def _run_round(self) -> None:
        self._round_at = None
        queue = self._execution.list_queue()
        if queue:
            began = self._stopwatch.read()
            plan = self._policy.decide(
                pool=self._pool, queue=queue, now=self._now
            )
            if self._now >= self._scenario["measure_from_s"]:
                spent = self._stopwatch.read() - began
                self._record.decision_s.append(spent)
            self._apply_plan(plan)
        self._record.samples.append(
            sampling.take_sample(
                self._pool,
                self._execution.list_queue(),
                self._now,
                self._record.pool_states[-1],
            )
        )

    def _apply_plan(self, plan: core.Plan) -> None:
        run = self._execution
        for refusal in plan.refusals:
            if refusal.job in run.queue:
                run.dequeue(refusal.job)
                run.record_end(refusal.job, refusal.refusal.kind)
        for order in plan.preemptions:
            gang = self._pool.gangs.get(order.job)
            if gang is None or gang.attempt != order.attempt:
                continue
            run.stop(order.job, order.reason, order.beneficiary)
            run.enqueue(order.job, self._now)
        run.place_all(plan.placements)
        if getattr(plan, "is_partial", not plan.is_empty):
            self._request_round()
