"""The job API, which answers callers at every entry.

A job is accepted once its record is in the ledger. If the ledger certainly did
not store it, the caller is told to retry later. If the ledger may have stored
it, the outcome is unknown, and the caller retries with the same id.
"""

from collections.abc import Callable
import math
import time

from chervilcove.control import clocks
from chervilcove.control import follower as followers
from chervilcove.control import interfaces
from chervilcove.control import rate_admission
from chervilcove.control import refusals
from chervilcove.control import request_limits
from chervilcove.control import submission_log
from chervilcove.control import writers
from chervilcove.core import errors
from chervilcove.core import logs
from chervilcove.core import metrics as metric_values
from chervilcove.jobs import configuration
from chervilcove.jobs import early_cancels
from chervilcove.jobs import maximums
from chervilcove.jobs import records
from chervilcove.jobs import specs
from chervilcove.jobs import staleness
from chervilcove.jobs import table

RESPONSE_MARGIN_S = 0.15  # part of a caller's deadline left for the response
MAX_WAIT_S = 2.5  # for callers without a deadline
SYNC_TIMEOUT_S = 0.7  # to read the ledger to its end for one answer
# Maximum wait of an answer for the end of a job. An end takes 5 to 110 ms from
# the worker through the owner and the ledger on htsw-sched.
END_WAIT_S = 0.1
# Ledger outages mostly last seconds, and callers retry only a few times.
MAX_RETRY_AFTER_S = 5
MAX_LOGGED_INPUT = 200  # characters of a path or host that a caller chose


class JobApi:
    """Answer the requests of callers.

    Args:
        follower: Holds the job table.
        writer: Appends the records of callers.
        get_operator_state: Returns the configuration and the evacuations in
            force.
        get_config_bounds: Returns the times that the deployment promises for a
            confirmed configuration.
        metrics: Metrics of this entry.

    Attributes:
        rates: Refuses jobs that customers send beyond their weight.
    """

    def __init__(
        self,
        *,
        follower: followers.Follower,
        writer: writers.CallerWriter,
        get_operator_state: Callable[[], interfaces.OperatorState],
        get_config_bounds: Callable[[], staleness.ConfigurationBounds],
        metrics: metric_values.Metrics,
    ):
        self._follower = follower
        self._writer = writer
        self._get_operator_state = get_operator_state
        self._get_config_bounds = get_config_bounds
        self._metrics = metrics
        self._log = logs.Log(source="desk")
        self.rates = rate_admission.RateAdmission(
            follower=follower, metrics=metrics
        )

    def find_queue(
        self, *, host: str, path: str, key: str
    ) -> (
        tuple[configuration.Queue, configuration.Customer | None]
        | errors.Refusal
    ):
        """Return the queue and the customer of a request."""
        config = self.get_configuration()
        if errors.is_refusal(config):
            return self.log_refusal(config, host=host, path=path)
        queue = config.find_queue(host=host, path=path)
        if errors.is_refusal(queue):
            return self._refuse_by_config(queue, host=host, path=path)
        customer = config.find_customer(key=key, queue=queue)
        if errors.is_refusal(customer):
            return self._refuse_by_config(customer, host=host, path=path)
        return queue, customer

    def get_configuration(
        self,
    ) -> configuration.Configuration | errors.Refusal:
        """Return the configuration in force, or why calls are refused."""
        config = self._get_operator_state().configuration
        if config is None:
            return refusals.refuse_unconfigured()
        if staleness.can_serve(
            self._get_config_age_s(), self._get_config_bounds()
        ):
            return config
        return refusals.refuse_config_behind()

    def check_body_size(self, size: int, *, path: str) -> errors.Refusal | None:
        """Return a refusal if a body of `size` bytes is too large, or None."""
        config = self._get_operator_state().configuration
        if config is None:
            refusal = refusals.refuse_unconfigured()
            return self.log_refusal(refusal, path=path)
        refusal = request_limits.check_body_size(size, config.limits)
        if refusal is None:
            return None
        return self._refuse_by_config(refusal, path=path)

    def _refuse_by_config(
        self, refusal: errors.Refusal, **inputs: object
    ) -> errors.Refusal:
        """Refuse a request as the configuration demands."""
        weighed = self.weigh_refusal(refusal)
        if weighed is not refusal:
            inputs["outdated"] = refusal.kind.value
        return self.log_refusal(weighed, **inputs)

    def weigh_refusal(self, refusal: errors.Refusal) -> errors.Refusal:
        """Return a refusal that the configuration demands.

        It is temporary if a newer configuration may demand otherwise.
        """
        age_s = self._get_config_age_s()
        if staleness.can_refuse_for_good(age_s, self._get_config_bounds()):
            return refusal
        return refusals.refuse_config_behind()

    def log_refusal(
        self, refusal: errors.Refusal, **inputs: object
    ) -> errors.Refusal:
        """Log and count a request that is refused before it is executed.

        The version and age of the configuration and the seconds since the
        ledger last answered are logged as well.

        Args:
            refusal: Why the request is refused.
            **inputs: Other inputs of the decision, as fields of the log line.

        Returns:
            The refusal.
        """
        self._metrics.count(f"calls.refused.{refusal.kind.value}")
        for name in ("host", "path"):
            if name in inputs:
                inputs[name] = str(inputs[name])[:MAX_LOGGED_INPUT]
        self._log.info(
            "call_refused",
            kind=refusal.kind.value,
            reason=refusal.reason,
            **inputs,
            config=self._get_config_version(),
            config_age_s=round(self._get_config_age_s(), 2),
            silence_s=round(self._follower.get_silence_s(), 2),
        )
        return refusal

    def submit(
        self,
        *,
        job: str,
        queue: configuration.Queue,
        customer: configuration.Customer | None,
        spec: specs.JobSpec,
        time_left_s: float | None,
    ) -> table.JobState | errors.Refusal:
        """Accept a job and return its state.

        A job that is already known under the same id is not stored again.

        Args:
            job: Id of the job.
            queue: Queue of the job.
            customer: Customer of the job, None on a public queue.
            spec: Steps and payload of the job.
            time_left_s: Seconds until the caller's deadline, None without one.
        """
        refusal = specs.check_spec(spec)
        if refusal is not None:
            return self.log_refusal(refusal, job=job, queue=queue.name)
        known = self._follower.table.jobs.get(job)
        sender = records.build_sender(queue, customer)
        if known is not None:
            if known.spec != spec or not known.submission.is_open_to(sender):
                refusal = errors.refuse(
                    errors.Kind.DUPLICATE_KEY,
                    "the id belongs to a different job",
                )
                return self.log_refusal(refusal, job=job, queue=queue.name)
            state = known.get_state()
            self._log.info(
                "job_submitted",
                job=job,
                outcome="known",
                state=state.value,
                config=self._get_config_version(),
                config_age_s=round(self._get_config_age_s(), 2),
            )
            return state
        if customer is not None:
            refusal = maximums.check_spec(spec, customer.name, customer.maximum)
            if refusal is not None:
                return self._refuse_by_config(
                    refusal, job=job, queue=queue.name
                )
        if self._follower.reachable_since is None:
            # Nothing was sent, so the caller can safely retry.
            return self._refuse_unreachable(job, time_left_s)
        if customer is not None:
            refusal = self.rates.check(
                job=job, spec=spec, queue=queue, customer=customer
            )
            if refusal is not None:
                return refusal
        submission = records.build_submission(
            job=job,
            queue=queue,
            customer=customer,
            spec=spec,
            accepted_ms=self._follower.clock.get_now_ms(),
        )
        began = time.monotonic()
        self.rates.record_sending(job)
        refusal = self._writer.write(
            records.build_key(records.Kind.JOB, job),
            records.encode_value(submission),
            timeout_s=_get_write_timeout_s(time_left_s),
        )
        self.rates.record_submitted(job, customer, refusal)
        outcome = "accepted" if refusal is None else refusal.kind.value
        self._metrics.count(f"jobs.submit.{outcome}")
        self._log.info(
            "job_submitted",
            job=job,
            queue=queue.name,
            customer=submission.customer,
            tasks=sum(step.count for step in spec.steps),
            shape=submission_log.describe_shape(spec),
            steps=submission_log.encode_steps(spec),
            accepted_ms=submission.accepted_ms,
            priority=queue.priority,
            stretch=queue.stretch,
            target_ms=queue.target_ms,
            outcome=outcome,
            took_ms=int((time.monotonic() - began) * 1000),
            config=self._get_config_version(),
            config_age_s=round(self._get_config_age_s(), 2),
        )
        if refusal is not None:
            return self._add_retry_after(refusal, time_left_s)
        if self._follower.table.early_cancels.applies_to(submission):
            return table.JobState.CANCELLED
        return table.JobState.QUEUED

    def _refuse_unreachable(
        self, job: str, time_left_s: float | None
    ) -> errors.Refusal:
        self._metrics.count("jobs.submit.away")
        self._log.info(
            "job_submitted",
            job=job,
            outcome="away",
            silence_s=round(self._follower.get_silence_s(), 2),
        )
        return self.build_unreachable_refusal(time_left_s)

    def build_unreachable_refusal(
        self, time_left_s: float | None
    ) -> errors.Refusal:
        """Return the refusal of a job while the ledger can't be reached."""
        return errors.refuse(
            errors.Kind.LOG_UNAVAILABLE,
            "this entry cannot reach the ledger",
            retry_after_s=self._estimate_retry_after_s(time_left_s),
        )

    def _estimate_retry_after_s(self, time_left_s: float | None) -> int:
        """Return the seconds after which a caller should retry.

        Outages last seconds, and callers retry only a few times. The best
        estimate of the remaining outage is the time that it has lasted so
        far. A caller with a deadline must retry within half of its time left.
        """
        silence_s = math.ceil(self._follower.get_silence_s())
        longest_s = MAX_RETRY_AFTER_S
        if time_left_s is not None:
            longest_s = min(longest_s, int(time_left_s / 2))
        return max(refusals.MIN_RETRY_AFTER_S, min(silence_s, longest_s))

    def cancel(
        self, *, job: str, sender: records.Sender, time_left_s: float | None
    ) -> None | errors.Refusal:
        """Cancel a job.

        Args:
            job: Id of the job.
            sender: Who cancels it; another sender's job doesn't exist for it.
            time_left_s: Seconds until the caller's deadline, None without one.

        Returns:
            None once the cancellation is stored, or if the job has ended or
            was cancelled before; else a refusal. It is `GONE` without such a
            job, once a cancellation is stored that applies to a submission
            which may still be under way.
        """
        known = self._find_job(job, sender)
        if errors.is_refusal(known):
            if known.kind is not errors.Kind.GONE:
                return known
            return self._store_early_cancel(job, sender, time_left_s) or known
        if known.end is not None or known.is_cancelled:
            return None
        return self._write_cancel(
            records.build_key(records.Kind.CANCEL, job),
            self._follower.clock.get_now_ms(),
            job=job,
            outcome="accepted",
            time_left_s=time_left_s,
        )

    def _store_early_cancel(
        self, job: str, sender: records.Sender, time_left_s: float | None
    ) -> errors.Refusal | None:
        """Store the cancel of an id that has no job of the sender.

        Returns:
            None once it is stored, or if no job can have the id.
        """
        if not specs.is_job_id(job) or job in self._follower.table.jobs:
            return None
        now_ms = self._follower.clock.get_now_ms()
        known = self._follower.table.early_cancels
        name = early_cancels.build_name(job, sender)
        if known.is_fresh(name, now_ms):
            return None
        wait_ms = known.compute_wait_ms(sender, now_ms)
        if wait_ms and name not in known:
            refusal = errors.refuse(
                errors.Kind.RATE_EXCEEDED,
                "too many cancels of unknown jobs",
                retry_after_s=math.ceil(wait_ms / 1000),
            )
            return self.log_refusal(refusal, job=job, queue=sender.queue)
        return self._write_cancel(
            records.build_key(records.Kind.EARLY_CANCEL, name),
            records.EarlyCancel(now_ms, *sender),
            job=job,
            outcome="early",
            time_left_s=time_left_s,
        )

    def _write_cancel(
        self,
        key: str,
        value: int | records.EarlyCancel,
        *,
        job: str,
        outcome: str,
        time_left_s: float | None,
    ) -> errors.Refusal | None:
        """Store the record of a cancel, and log and count what came of it.

        Args:
            key: Key of the record.
            value: Value of the record.
            job: Id of the job.
            outcome: What is logged and counted if it is stored.
            time_left_s: Seconds until the caller's deadline, None without one.

        Returns:
            None once it is stored, else a refusal.
        """
        refusal = self._writer.write(
            key,
            records.encode_value(value),
            timeout_s=_get_write_timeout_s(time_left_s),
        )
        if refusal is not None:
            outcome = refusal.kind.value
        self._metrics.count(f"jobs.cancel.{outcome}")
        self._log.info("job_cancelled", job=job, outcome=outcome)
        if refusal is None:
            return None
        return self._add_retry_after(refusal, time_left_s)

    def get_job_state(
        self, *, job: str, sender: records.Sender
    ) -> table.JobState | errors.Refusal:
        """Return the state of a job.

        Callers ask when their jobs should end, and again a quarter of a second
        later. For a running job, the answer therefore waits up to END_WAIT_S
        for its end, while the entry reads the ledger without pauses.

        Args:
            job: Id of the job.
            sender: Who asks; another sender's job doesn't exist for it.
        """
        known = self._find_job(job, sender)
        if errors.is_refusal(known):
            return known
        state = known.get_state()
        if (
            state is not table.JobState.RUNNING
            or known.spec.is_lasting
            or self._follower.reachable_since is None
        ):
            return state
        self._follower.wait_until(
            lambda: known.get_state() is not table.JobState.RUNNING,
            timeout_s=END_WAIT_S,
        )
        return known.get_state()

    def count_waiting(self, *, queue: str) -> int | errors.Refusal:
        """Return the number of accepted jobs of `queue` that have not begun."""
        if not self._follower.is_current:
            return self.log_refusal(refusals.refuse_state_behind(), queue=queue)
        return self._follower.table.count_queued_jobs(
            queue, self._follower.clock.get_now_ms()
        )

    def _find_job(
        self, job: str, sender: records.Sender
    ) -> table.Job | errors.Refusal:
        """Return a job of a sender, `GONE` only if it has certainly none."""
        known = self._follower.table.jobs.get(job)
        if known is None and (
            not self._follower.is_current
            or not self._follower.sync(timeout_s=SYNC_TIMEOUT_S)
        ):
            return self.log_refusal(refusals.refuse_state_behind(), job=job)
        known = self._follower.table.jobs.get(job)
        if known is None or not known.submission.is_open_to(sender):
            refusal = errors.refuse(errors.Kind.GONE, "no such job")
            return self.log_refusal(
                refusal, job=job, offset=self._follower.next_offset
            )
        return known

    def _add_retry_after(
        self, refusal: errors.Refusal, time_left_s: float | None
    ) -> errors.Refusal:
        if refusal.kind is not errors.Kind.LOG_UNAVAILABLE:
            return refusal
        return_s = self._estimate_retry_after_s(time_left_s)
        return refusal._replace(
            detail={**refusal.detail, "retry_after_s": return_s}
        )

    def _get_config_age_s(self) -> float:
        now_s = clocks.read_boot_clock_s()
        return self._get_operator_state().compute_age_s(now_s)

    def _get_config_version(self) -> int:
        config = self._get_operator_state().configuration
        return 0 if config is None else config.version


def _get_write_timeout_s(time_left_s: float | None) -> float:
    if time_left_s is None:
        return MAX_WAIT_S
    return max(0.2, min(MAX_WAIT_S, time_left_s - RESPONSE_MARGIN_S))
