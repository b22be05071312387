"""Check from the record of a run whether guarantees were honoured.

A waiting job *requests* a guaranteed shape if it fits the shape wherever the
shape is placed, its team's quota has room for it, and its customer holds fewer
shapes than guaranteed. Each gang of the customer counts as at least one whole
shape of every guarantee that it could use. A request is honoured if the job
starts within `RECLAIM_LIMIT_S`. The rule is conservative: it may miss
requests, but reports none that the guarantees don't cover.
"""

import collections
from typing import Any
from typing import NamedTuple

from chervilcove.bench.decisions import guarantees
from chervilcove.bench.decisions import record as records
from chervilcove.scheduling import core

RECLAIM_LIMIT_S = 5.9
_SLACK = 1e-6
_NOT_PREEMPTED = frozenset(
    {
        core.Reason.COMPLETED,
        core.Reason.CANCELLED,
        core.Reason.WORKER_LOST,
        core.Reason.TASK_LOST,
        core.Reason.TASK_FAILED,
        "running",
    }
)


class ReclaimAudit:
    """Outcomes of the requests for guaranteed shapes.

    Attributes:
        waits_s: Seconds that each honoured or late request waited.
        late: Number of requests that were not honoured in time.
        late_jobs: Job id and time of each late request.
        preempted_guaranteed: Runs that were preempted although a guarantee
            covered them.
        infeasible_s: Seconds in which the pool could not hold all guarantees
            at once; no request is opened then.
    """

    def __init__(self):
        self.waits_s: list[float] = []
        self.late = 0
        self.late_jobs: list[tuple[str, float]] = []
        self.preempted_guaranteed: list[records.Run] = []
        self.infeasible_s = 0.0

    @property
    def request_count(self) -> int:
        """Return the number of requests that were honoured or late."""
        return len(self.waits_s)

    def close_request(
        self, job: str, requested_at: float, now: float, started: bool
    ) -> None:
        """Record the outcome of a request.

        A request that ends without a start, because the guarantee no longer
        covers it, counts only if it was late by then.
        """
        wait_s = now - requested_at
        is_late = wait_s > RECLAIM_LIMIT_S + _SLACK
        if not started and not is_late:
            return
        self.waits_s.append(wait_s)
        if is_late:
            self.late += 1
            self.late_jobs.append((job, requested_at))


class _Change(NamedTuple):
    """One step of the timeline; `order` sorts steps of the same time."""

    at: float
    order: int
    action: str
    subject: Any


def audit_reclaims(record: records.Record) -> ReclaimAudit:
    """Return the outcomes of all requests in `record`."""
    return _ReclaimAuditor(record=record).run()


class _ReclaimAuditor:
    """Process the timeline of a record in one pass."""

    def __init__(self, *, record: records.Record):
        self._record = record
        self._audit = ReclaimAudit()
        self._pool_state = record.pool_states[0]
        self._worker_minimum = guarantees.find_worker_minimum(
            self._pool_state.configuration
        )
        self._is_feasible = True
        self._waiting: dict[str, dict[str, float]] = collections.defaultdict(
            dict
        )
        self._held: dict[str, dict[str, records.Run]] = collections.defaultdict(
            dict
        )
        self._requests: dict[str, dict[str, float]] = collections.defaultdict(
            dict
        )
        self._placed_requests: dict[str, float] = {}
        self._always_guaranteed: dict[tuple[str, int], bool] = {}

    def run(self) -> ReclaimAudit:
        """Return the outcomes of all requests."""
        changes = self._list_changes()
        index = 0
        while index < len(changes):
            at = changes[index].at
            touched: set[str] = set()
            while index < len(changes) and changes[index].at == at:
                touched |= self._apply(changes[index])
                index += 1
            for customer in sorted(touched):
                self._update_requests(customer, at)
        for requests in self._requests.values():
            for job, requested_at in requests.items():
                self._audit.close_request(
                    job, requested_at, self._record.ended_at, False
                )
        return self._audit

    def _list_changes(self) -> list[_Change]:
        changes = []
        for pool_state in self._record.pool_states:
            changes.append(_Change(pool_state.at, 3, "pool_state", pool_state))
        for run in self._record.runs:
            changes.append(_Change(run.stopped_at, 0, "release", run))
            changes.append(_Change(run.placed_at, 2, "hold", run))
            if run.started_at is not None:
                changes.append(_Change(run.started_at, 4, "start", run))
        for waiting in self._record.wait_intervals:
            changes.append(_Change(waiting.since, 1, "wait", waiting))
            changes.append(_Change(waiting.until, 1, "leave", waiting))
        changes.sort(key=lambda change: (change.at, change.order))
        return changes

    def _apply(self, change: _Change) -> set[str]:
        """Apply one change; return the customers that it affects."""
        if change.action == "pool_state":
            return self._apply_pool_state(change.subject)
        job = change.subject.job
        customer = self._record.jobs[job].spec["customer"]
        if change.action == "wait":
            self._waiting[customer][job] = change.at
        elif change.action == "leave":
            self._waiting[customer].pop(job, None)
        elif change.action == "hold":
            self._held[customer][job] = change.subject
            self._always_guaranteed[job, change.subject.attempt] = True
        elif change.action == "start":
            requested_at = self._requests[customer].pop(job, None)
            if requested_at is not None:
                self._audit.close_request(job, requested_at, change.at, True)
        elif change.action == "release":
            self._check_preemption(change.subject, customer)
            self._held[customer].pop(job, None)
        return {customer}

    def _apply_pool_state(self, pool_state: records.PoolState) -> set[str]:
        if not self._is_feasible:
            self._audit.infeasible_s += pool_state.at - self._pool_state.at
        self._pool_state = pool_state
        self._worker_minimum = guarantees.find_worker_minimum(
            pool_state.configuration
        )
        self._is_feasible = guarantees.can_all_fit(
            pool_state.configuration, pool_state.lost | pool_state.failing
        )
        return set(pool_state.configuration["customers"])

    def _update_requests(self, customer: str, now: float) -> None:
        """Open and close the requests of `customer` after a change."""
        account = guarantees.Account(
            customer=customer,
            configuration=self._pool_state.configuration,
            worker_minimum=self._worker_minimum,
        )
        jobs = self._record.jobs
        held = self._held[customer]
        for job in held:
            account.count_held_gang(jobs[job].spec)
        for job, run in held.items():
            if not account.is_certainly_guaranteed(jobs[job].spec):
                self._always_guaranteed[job, run.attempt] = False
        requests = self._requests[customer]
        owed: dict[str, float] = {}
        for job, requested_at in requests.items():
            if job in held:
                owed[job] = requested_at
        if self._is_feasible:
            for job in self._sort_waiting(customer):
                if account.is_exhausted:
                    break
                if account.claim_shape(jobs[job].spec):
                    owed[job] = requests.get(job, now)
        for job, requested_at in requests.items():
            if job not in owed:
                self._audit.close_request(job, requested_at, now, False)
        self._requests[customer] = owed

    def _sort_waiting(self, customer: str) -> list[str]:
        """Return the waiting jobs, those with an open request first."""
        requests = self._requests[customer]
        waiting = self._waiting[customer]
        return sorted(
            waiting,
            key=lambda job: (job not in requests, waiting[job], job),
        )

    def _check_preemption(self, run: records.Run, customer: str) -> None:
        if run.outcome in _NOT_PREEMPTED or run.started_at is None:
            return
        if self._must_move(run):
            return
        beneficiary = self._record.jobs.get(run.beneficiary)
        if beneficiary and beneficiary.spec["customer"] == customer:
            return
        within = self._always_guaranteed.get((run.job, run.attempt), False)
        if run.gang.slot or within:
            self._audit.preempted_guaranteed.append(run)

    def _must_move(self, run: records.Run) -> bool:
        """Return whether a gang uses a worker that it has to leave.

        That is a worker that was withdrawn, fails its tasks or belongs to a
        data centre out of service.
        """
        configuration = self._pool_state.configuration
        for place in run.gang.places:
            worker = configuration["workers"].get(place.worker)
            if worker is None or place.worker in self._pool_state.failing:
                return True
            centre = configuration["data_centres"][worker["data_centre"]]
            if not centre["in_service"]:
                return True
        return False
