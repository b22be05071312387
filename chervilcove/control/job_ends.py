"""Ends of jobs: when a job fails or is over, and when it is forgotten."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import time

from chervilcove.control import clocks
from chervilcove.control import commands as worker_commands
from chervilcove.control import estimates as estimate_values
from chervilcove.control import planner as planners
from chervilcove.control import runs
from chervilcove.core import logs
from chervilcove.core import metrics as metric_values
from chervilcove.dispatch import health as health_values
from chervilcove.jobs import configuration
from chervilcove.jobs import early_cancels
from chervilcove.jobs import records
from chervilcove.jobs import table

# Callers may ask about an ended job for 120 s.
ENDED_JOB_RETENTION_MS = 150_000

WriteRecord = Callable[..., None]


class JobEnds:
    """Record the ends of jobs for one owner.

    Args:
        job_table: Working table of the owner.
        active_runs: Active runs of the owner.
        commands: Sends the commands to the workers.
        planner: Plans the rounds of the owner.
        estimates: Estimates that the owner learns.
        health: Health of the workers, judged by the runs of jobs.
        clock: Time that the entries share.
        epoch: Epoch of the owner.
        get_queue: Returns the queue of a job, also of a removed queue.
        write_record: Applies a record to the working table and queues it for
            the ledger; takes its kind, name, value and a callback.
        log: Log of the owner.
        metrics: Metrics of this entry.
    """

    def __init__(
        self,
        *,
        job_table: table.JobTable,
        active_runs: Mapping[table.UnitKey, runs.Run],
        commands: worker_commands.CommandSender,
        planner: planners.RoundPlanner,
        estimates: estimate_values.Estimates,
        health: health_values.WorkerHealth,
        clock: clocks.SharedClock,
        epoch: int,
        get_queue: Callable[[table.Job], configuration.Queue],
        write_record: WriteRecord,
        log: logs.Log,
        metrics: metric_values.Metrics,
    ):
        self._table = job_table
        self._runs = active_runs
        self._commands = commands
        self._planner = planner
        self._estimates = estimates
        self._health = health
        self._clock = clock
        self._epoch = epoch
        self._get_queue = get_queue
        self._write_record = write_record
        self._log = log
        self._metrics = metrics

    def close_job(self, job: table.Job) -> None:
        """Stop a cancelled or failed job; record the end of a job."""
        queue = self._get_queue(job)
        if not job.is_failed and (
            job.max_unit_failures >= queue.attempts or job.has_crashing_task
        ):
            job.is_failed = True
            self._log.info(
                "job_failed",
                job=job.id,
                failures=job.max_unit_failures,
                attempts=queue.attempts,
                crashes_workers=job.has_crashing_task,
            )
        if job.is_cancelled or job.is_failed:
            reason = "cancelled" if job.is_cancelled else "job failed"
            for key in list(job.active):
                run = self._runs.get(key)
                if run is not None and not run.stop_reason:
                    self._commands.stop(run, reason)
        is_over = (
            job.is_cancelled
            or job.is_failed
            or (not job.active and job.is_done())
        )
        if (
            is_over
            and not job.active
            and not any(key in self._runs for key in job.units)
            and not self._planner.may_have_untracked_runs(job.id)
        ):
            self._end_job(job)

    def purge(self) -> None:
        """Remove jobs that have ended long ago, and cancels without a job."""
        now_ms = self._clock.get_now_ms()
        for job in list(self._table.jobs.values()):
            if job.end and now_ms - job.end.ended_ms > ENDED_JOB_RETENTION_MS:
                # These may come into several appends. A job that is still in
                # the ledger when its end is dropped would run again.
                for kind in (
                    records.Kind.JOB,
                    records.Kind.CANCEL,
                    records.Kind.END,
                ):
                    self._write_record(kind, job.id, None)
                self._drop_early_cancels(
                    self._table.early_cancels.list_names(job.id)
                )
                self._estimates.forget(job.id)
        self._drop_early_cancels(
            name
            for name in self._table.early_cancels.list_expired(now_ms)
            if early_cancels.get_job(name) not in self._table.jobs
        )

    def _drop_early_cancels(self, names: Iterable[str]) -> None:
        for name in names:
            self._write_record(records.Kind.EARLY_CANCEL, name, None)

    def _end_job(self, job: table.Job) -> None:
        state = job.get_state()
        self._planner.forget_job(job)
        self._health.forget_job(job.id, time.monotonic())
        keys = [key.format() for key in job.units]
        end = records.EndRecord(
            self._epoch, state.value, self._clock.get_now_ms()
        )
        self._write_record(
            records.Kind.END,
            job.id,
            end,
            lambda: self._record_stored_end(job, end),
        )
        for name in keys:
            self._write_record(records.Kind.UNIT, name, None)

    def _record_stored_end(
        self, job: table.Job, end: records.EndRecord
    ) -> None:
        took_ms = end.ended_ms - job.submission.accepted_ms
        self._metrics.count(f"jobs.ended.{end.state}")
        self._metrics.record_time("jobs.taken", took_ms / 1000)
        self._log.info(
            "job_ended",
            job=job.id,
            queue=job.submission.queue,
            state=end.state,
            took_ms=took_ms,
        )
