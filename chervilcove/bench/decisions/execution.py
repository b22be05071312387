"""Simulated execution: the queue, the pool and the running gangs.

It models the replicated state and the workers together. Placements are carried
out without checking whether they are valid, so that the audit finds violations.
"""

from collections.abc import Callable
from typing import Any

from chervilcove.bench.decisions import fake_worker
from chervilcove.bench.decisions import record as records
from chervilcove.bench.decisions import timeline as timelines
from chervilcove.bench.decisions import workload
from chervilcove.scheduling import core
from chervilcove.scheduling import pool as pools


class _JobState:
    """Replicated state of one job."""

    def __init__(self, *, job: workload.SimulatedJob):
        self.job = job
        self.attempts = 0
        self.failures = 0
        self.attained = 0.0
        self.progress_s = 0.0
        self.ready_at = 0.0
        self.queued: core.QueuedJob | None = None


class Execution:
    """Waiting jobs and running gangs, with a record of what they do.

    Args:
        timeline: Simulated clock and scheduler of actions.
        platform: Delays and limits from the scenario.
        pool: Pool that the policy sees.
        record: Record to which observations are added.
        learns: Whether the pool is told how gangs ended.
        request_round: Called to request a decision round.
    """

    def __init__(
        self,
        *,
        timeline: timelines.Timeline,
        platform: dict[str, Any],
        pool: pools.Pool,
        record: records.Record,
        learns: bool,
        request_round: Callable[[], None],
    ):
        self._timeline = timeline
        self._platform = platform
        self.pool = pool
        self._record = record
        self._learns = learns
        self._request_round = request_round
        self.workers = fake_worker.FakeWorkers(platform=platform)
        self.queue: dict[str, _JobState] = {}
        self._jobs: dict[str, _JobState] = {}
        self._order = {job: index for index, job in enumerate(record.jobs)}
        self._queue_cache: list[core.QueuedJob] | None = None

    @property
    def _now(self) -> float:
        return self._timeline.now

    @property
    def is_idle(self) -> bool:
        """Return whether no job waits or runs."""
        return not self.queue and not self.pool.gangs

    def submit(self, job: workload.SimulatedJob) -> None:
        """Add a new job to the queue."""
        job_id = job.spec["id"]
        self._jobs[job_id] = _JobState(job=job)
        self.enqueue(job_id, self._now)

    def cancel(self, job_id: str) -> None:
        """Cancel a job that waits or runs; ignore one that has ended."""
        if job_id in self._record.job_ends:
            return
        if job_id in self.queue:
            self.dequeue(job_id)
        elif job_id in self.pool.gangs:
            self.stop(job_id, core.Reason.CANCELLED, "")
        self.record_end(job_id, core.Reason.CANCELLED)

    def enqueue(self, job_id: str, not_before: float) -> None:
        """Queue a job; it is not placed before the time `not_before`."""
        state = self._jobs[job_id]
        state.ready_at = max(self._now, not_before)
        state.queued = core.QueuedJob(
            state.job.spec,
            state.job.submitted_at,
            state.attempts,
            state.attained,
            not_before,
        )
        self.queue[job_id] = state
        self._queue_cache = None
        if not_before > self._now:
            self._timeline.schedule(not_before, self._request_round)
        self._request_round()

    def dequeue(self, job_id: str) -> None:
        """Remove a job from the queue and record how long it was ready."""
        state = self.queue.pop(job_id)
        self._queue_cache = None
        if self._now > state.ready_at:
            self._record.wait_intervals.append(
                records.WaitInterval(job_id, state.ready_at, self._now)
            )

    def list_queue(self) -> list[core.QueuedJob]:
        """Return the waiting jobs in order of submission."""
        if self._queue_cache is None:
            self._queue_cache = [
                self.queue[job_id].queued
                for job_id in sorted(self.queue, key=self._order.__getitem__)
            ]
        return list(self._queue_cache)

    def record_end(self, job_id: str, outcome: str) -> None:
        """Record the outcome of a job as reported to its caller."""
        self._record.job_ends[job_id] = records.JobEnd(
            job_id, self._now, str(outcome)
        )

    def place_all(self, placements: tuple[core.Placement, ...]) -> None:
        """Place all jobs, then schedule their starts."""
        for placement in placements:
            self._place(placement)
        for placement in placements:
            self._schedule_start(placement)

    def _place(self, placement: core.Placement) -> None:
        known = self.pool.configuration["workers"]
        if placement.job not in self.queue:
            return
        if any(place.worker not in known for place in placement.places):
            return
        self.dequeue(placement.job)
        state = self._jobs[placement.job]
        state.attempts += 1
        spec = state.job.spec
        gang = core.Gang(
            job=placement.job,
            attempt=state.attempts,
            customer=spec["customer"],
            team=spec["team"],
            kind=spec["kind"],
            urgency=spec["urgency"],
            slot=placement.slot,
            places=placement.places,
            processors=spec["processors"],
            memory_gb=spec["memory_gb"],
            checkpointable=spec["checkpointable"],
            idempotent=spec["idempotent"],
            since=self._now,
            declared_s=spec["declared_run_s"],
        )
        self.pool.add_gang(gang)
        self.workers.prepare(gang, self._now)

    def _schedule_start(self, placement: core.Placement) -> None:
        gang = self.pool.gangs.get(placement.job)
        if gang is None or placement.job not in self.workers.starting:
            return
        ready = self.workers.find_ready_time(gang, self.pool, self._now)
        start = ready + self._platform["start_s"]
        self._timeline.schedule(
            start, lambda: self._start_tasks(gang.job, gang.attempt)
        )

    def _start_tasks(self, job_id: str, attempt: int) -> None:
        if not self._is_current(job_id, attempt):
            return
        state = self._jobs[job_id]
        gang = self.pool.gangs[job_id]
        self.workers.start(job_id, self._now)
        remaining_s = state.job.run_s - state.progress_s
        failing_workers = self.workers.list_failing_workers(gang)
        if state.job.faulty or failing_workers:
            fails_s = min(self._platform["fail_after_s"], remaining_s)
            at = self._now + fails_s
            self._timeline.schedule(
                at, lambda: self._fail(job_id, attempt, failing_workers)
            )
        else:
            at = self._now + remaining_s
            self._timeline.schedule(at, lambda: self._complete(job_id, attempt))

    def _is_current(self, job_id: str, attempt: int) -> bool:
        gang = self.pool.gangs.get(job_id)
        return gang is not None and gang.attempt == attempt

    def _complete(self, job_id: str, attempt: int) -> None:
        if not self._is_current(job_id, attempt):
            return
        self._release(job_id, core.Reason.COMPLETED, "", 0.0, keep_all=True)
        self.record_end(job_id, core.Reason.COMPLETED)

    def _fail(
        self, job_id: str, attempt: int, failing_workers: list[str]
    ) -> None:
        if not self._is_current(job_id, attempt):
            return
        gang = self.pool.gangs[job_id]
        state = self._jobs[job_id]
        self._release(job_id, core.Reason.TASK_FAILED, "", 0.0)
        state.failures += 1
        failed_on = (
            failing_workers[0] if failing_workers else gang.places[0].worker
        )
        self._observe_end(gang, core.Reason.TASK_FAILED, failed_on)
        if not gang.idempotent:
            self.record_end(job_id, core.Reason.TASK_FAILED)
        elif state.failures >= self._platform["failure_limit"]:
            self.record_end(job_id, core.Reason.NEVER_RUNS)
        else:
            wait_s = self._platform["back_off_s"] * 2 ** (state.failures - 1)
            wait_s = min(wait_s, self._platform["back_off_most_s"])
            self.enqueue(job_id, self._now + wait_s)

    def end_lost_gang(self, job_id: str, reason: str) -> None:
        """End a gang that lost a task with its worker.

        Its other tasks stop when their lease runs out, so the places stay
        held for `lease_s`. A started gang that is not idempotent is not run
        again.
        """
        gang = self.pool.gangs[job_id]
        started = job_id not in self.workers.starting
        not_repeatable = started and not gang.idempotent
        hold_s = self._platform["lease_s"]
        self._release(job_id, reason, "", hold_s, keep_none=not_repeatable)
        if not_repeatable:
            self.record_end(job_id, core.Reason.TASK_LOST)
        else:
            self.enqueue(job_id, self._now)

    def stop(self, job_id: str, reason: str, beneficiary: str) -> None:
        """Order a gang to checkpoint and stop.

        Its places stay held for `agreement_s` plus `stop_s`.
        """
        hold_s = self._platform["agreement_s"] + self._platform["stop_s"]
        gang = self.pool.gangs[job_id]
        keep_all = gang.checkpointable and self._platform["checkpoint_on_stop"]
        self._release(job_id, reason, beneficiary, hold_s, keep_all=keep_all)

    def _release(
        self,
        job_id: str,
        reason: str,
        beneficiary: str,
        hold_s: float,
        keep_all: bool = False,
        keep_none: bool = False,
    ) -> None:
        """Remove a gang from the pool and record its run."""
        state = self._jobs[job_id]
        gang = self.pool.remove_gang(job_id)
        started_at = self.workers.stop(gang, self._now, hold_s)
        worked_s = 0.0 if started_at is None else self._now - started_at
        if started_at is None:
            hold_s = 0.0
        kept_s = 0.0 if keep_none else worked_s
        if not keep_all and not keep_none:
            kept_s = self._find_checkpoint(state, gang, worked_s)
        state.progress_s += kept_s
        run = records.Run(
            job=job_id,
            attempt=gang.attempt,
            gang=gang,
            placed_at=gang.since,
            started_at=started_at,
            stopped_at=self._now,
            released_at=self._now + hold_s,
            outcome=str(reason),
            kept_s=kept_s,
            lost_s=worked_s - kept_s + hold_s,
            beneficiary=beneficiary,
        )
        state.attained += worked_s * run.accelerators
        self._record.runs.append(run)
        if reason != core.Reason.TASK_FAILED:
            self._observe_end(gang, reason, "")
        self._request_round()

    def _find_checkpoint(
        self, state: _JobState, gang: core.Gang, worked_s: float
    ) -> float:
        """Return the seconds of work up to the last periodic checkpoint."""
        if not gang.checkpointable or state.job.faulty:
            return 0.0
        interval_s = self._platform["checkpoint_every_s"]
        return worked_s - worked_s % interval_s

    def _observe_end(self, gang: core.Gang, reason: str, worker: str) -> None:
        """Report the end of a gang to the pool if the policy uses it."""
        observe = getattr(self.pool, "observe_end", None)
        if observe is not None and self._learns:
            observe(gang=gang, reason=reason, worker=worker, now=self._now)

    def close(self) -> None:
        """Record the jobs that still wait or run at the end."""
        for job_id in list(self.queue):
            self.dequeue(job_id)
        for job_id in list(self.pool.gangs):
            self._release(job_id, "running", "", 0.0, keep_all=True)
