"""The desk: answers callers at every entry.

A job is accepted once its record is in the ledger. Where the ledger surely
did not take it, the caller is told to come back; where it may have, the
outcome is unknown and the caller asks again with the same id.
"""

from collections.abc import Callable
import math
import time

import msgspec

from chervilcove.control import follower as followers
from chervilcove.control import interfaces
from chervilcove.control import writers
from chervilcove.core import errors
from chervilcove.core import logs
from chervilcove.core import metrics as metric_values
from chervilcove.jobs import configuration
from chervilcove.jobs import records
from chervilcove.jobs import specs
from chervilcove.jobs import table

ANSWER_MARGIN_S = 0.15  # left of a caller's time for the way back
LONGEST_WAIT_S = 2.5  # of a caller that names no time
SYNC_S = 0.7  # most time to read the ledger to its end for one answer
# Most time that an answer waits for the end of a job: the way of an end from
# the worker over its owner and the ledger takes 5 to 110 ms on htsw-sched.
SHOW_WAIT_S = 0.1
RETRY_AFTER_S = 1  # the shortest that callers can be told in whole seconds
# The longest: outages of the ledger mostly last seconds, and callers ask a
# few times only.
LONGEST_RETRY_AFTER_S = 5
LONGEST_STEPS_LOGGED = 1_000  # bytes; some ten steps, longer ones are left out


class JobApi:
    """Answer callers.

    Args:
        follower: Holds the job table.
        writer: Appends the records of callers.
        get_operations: Returns what the operator asks for.
        metrics: Counters.
    """

    def __init__(
        self,
        *,
        follower: followers.Follower,
        writer: writers.CallerWriter,
        get_operations: Callable[[], interfaces.OperatorState],
        metrics: metric_values.Metrics,
    ):
        self._follower = follower
        self._writer = writer
        self._get_operations = get_operations
        self._metrics = metrics
        self._log = logs.Log(source="desk")

    def find_queue(
        self, *, host: str, path: str, key: str
    ) -> (
        tuple[configuration.Queue, configuration.Customer | None]
        | errors.Refusal
    ):
        """Return the queue and the customer of a call."""
        config = self._get_operations().configuration
        if config is None:
            refusal = errors.refuse(
                errors.Kind.UNCONFIGURED,
                "no configuration was read yet",
                retry_after_s=RETRY_AFTER_S,
            )
            return self.log_refusal(refusal, host=host, path=path)
        queue = config.find_queue(host=host, path=path)
        if errors.is_refusal(queue):
            return self.log_refusal(queue, host=host, path=path)
        customer = config.find_customer(key=key, queue=queue)
        if errors.is_refusal(customer):
            return self.log_refusal(customer, host=host, path=path)
        return queue, customer

    def check_body_size(self, size: int, *, path: str) -> errors.Refusal | None:
        """Return why a body of `size` bytes is not read, or None."""
        config = self._get_operations().configuration
        if config is None or size <= config.max_body_bytes:
            return None
        refusal = errors.refuse(
            errors.Kind.TOO_LARGE,
            f"body of {size} bytes, {config.max_body_bytes} allowed",
        )
        return self.log_refusal(refusal, path=path)

    def log_refusal(
        self, refusal: errors.Refusal, **inputs: object
    ) -> errors.Refusal:
        """Log and count a call that is refused before it is carried out.

        Args:
            refusal: Why.
            **inputs: What decided it besides the state of this entry, which
                is logged with it: the version of the configuration, and how
                long the ledger has been silent.

        Returns:
            The refusal.
        """
        self._metrics.count(f"calls.refused.{refusal.kind.value}")
        self._log.info(
            "call_refused",
            kind=refusal.kind.value,
            reason=refusal.reason,
            **inputs,
            config=self._get_version(),
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
        """Accept a job; return how far it is."""
        refusal = specs.check_spec(spec)
        if refusal is not None:
            return self.log_refusal(refusal, job=job, queue=queue.name)
        known = self._follower.table.jobs.get(job)
        if known is not None:
            if known.spec != spec:
                refusal = errors.refuse(
                    errors.Kind.DUPLICATE_KEY,
                    "the id names another job",
                )
                return self.log_refusal(refusal, job=job, queue=queue.name)
            state = known.get_state()
            self._log.info(
                "job_submitted", job=job, outcome="known", state=state.value
            )
            return state
        if self._follower.reachable_since is None:
            # Nothing was sent, so that the caller can be told for sure.
            return self._refuse_away(job, time_left_s)
        submission = records.Submission(
            job=job,
            queue=queue.name,
            service=queue.service,
            customer=customer.name if customer else "",
            accepted_ms=int(time.time() * 1000),
            spec=spec,
            priority=queue.priority,
            attempts=queue.attempts,
            stretch=queue.stretch,
            target_ms=queue.target_ms,
            needs_advice=queue.needs_advice,
        )
        began = time.monotonic()
        refusal = self._writer.write(
            records.build_key(records.Kind.JOB, job),
            records.encode_value(submission),
            timeout_s=_limit_wait(time_left_s),
        )
        outcome = "accepted" if refusal is None else refusal.kind.value
        self._metrics.count(f"jobs.submit.{outcome}")
        self._log.info(
            "job_submitted",
            job=job,
            queue=queue.name,
            customer=submission.customer,
            tasks=sum(step.count for step in spec.steps),
            shape=_describe_shape(spec),
            steps=_encode_steps(spec),
            accepted_ms=submission.accepted_ms,
            priority=queue.priority,
            stretch=queue.stretch,
            target_ms=queue.target_ms,
            outcome=outcome,
            took_ms=int((time.monotonic() - began) * 1000),
            config=self._get_version(),
        )
        if refusal is not None:
            return self._add_retry(refusal, time_left_s)
        return table.JobState.QUEUED

    def _refuse_away(
        self, job: str, time_left_s: float | None
    ) -> errors.Refusal:
        self._metrics.count("jobs.submit.away")
        self._log.info(
            "job_submitted",
            job=job,
            outcome="away",
            silence_s=round(self._follower.get_silence_s(), 2),
        )
        return errors.refuse(
            errors.Kind.LOG_UNAVAILABLE,
            "this entry does not reach the ledger",
            retry_after_s=self._estimate_return(time_left_s),
        )

    def _estimate_return(self, time_left_s: float | None) -> int:
        """Return the seconds after which a caller should come back.

        Load pattern: an outage of seconds, and callers that ask a few times
        only. It lasts, by the best guess, as long again as it has already;
        but a caller of little time has to come back within it.
        """
        silence_s = math.ceil(self._follower.get_silence_s())
        longest_s = LONGEST_RETRY_AFTER_S
        if time_left_s is not None:
            longest_s = min(longest_s, int(time_left_s / 2))
        return max(RETRY_AFTER_S, min(silence_s, longest_s))

    def cancel(
        self, *, job: str, time_left_s: float | None
    ) -> None | errors.Refusal:
        """Cancel a job."""
        known = self._find(job)
        if errors.is_refusal(known):
            return known
        if known.end is not None or known.is_cancelled:
            return None
        refusal = self._writer.write(
            records.build_key(records.Kind.CANCEL, job),
            records.encode_value(int(time.time() * 1000)),
            timeout_s=_limit_wait(time_left_s),
        )
        outcome = "accepted" if refusal is None else refusal.kind.value
        self._metrics.count(f"jobs.cancel.{outcome}")
        self._log.info("job_cancelled", job=job, outcome=outcome)
        if refusal is None:
            return None
        return self._add_retry(refusal, time_left_s)

    def get_job_state(self, *, job: str) -> table.JobState | errors.Refusal:
        """Return how far a job is.

        Load pattern: callers ask as their jobs should end, and again a
        quarter of a second later. One that runs gets a moment to be seen to
        end, at an entry that reads the ledger at once meanwhile.
        """
        known = self._find(job)
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
            timeout_s=SHOW_WAIT_S,
        )
        return known.get_state()

    def count_waiting(self, *, queue: str) -> int | errors.Refusal:
        """Return the accepted jobs of `queue` that have not begun."""
        if not self._follower.is_loaded:
            return self.log_refusal(_refuse_behind(), queue=queue)
        return self._follower.table.count_waiting(
            queue, int(time.time() * 1000)
        )

    def _find(self, job: str) -> table.Job | errors.Refusal:
        """Return a job; say that there is none only if that is sure."""
        known = self._follower.table.jobs.get(job)
        if known is None and (
            not self._follower.is_loaded
            or not self._follower.sync(timeout_s=SYNC_S)
        ):
            return self.log_refusal(_refuse_behind(), job=job)
        known = self._follower.table.jobs.get(job)
        if known is None:
            refusal = errors.refuse(errors.Kind.GONE, "no such job")
            return self.log_refusal(
                refusal, job=job, offset=self._follower.next_offset
            )
        return known

    def _add_retry(
        self, refusal: errors.Refusal, time_left_s: float | None
    ) -> errors.Refusal:
        if refusal.kind is not errors.Kind.LOG_UNAVAILABLE:
            return refusal
        return_s = self._estimate_return(time_left_s)
        return refusal._replace(
            detail={**refusal.detail, "retry_after_s": return_s}
        )

    def _get_version(self) -> int:
        config = self._get_operations().configuration
        return 0 if config is None else config.version


def _encode_steps(spec: specs.JobSpec) -> str:
    """Return the steps for the log, from which a day can be replayed."""
    encoded = msgspec.json.encode(spec.steps)
    return encoded.decode() if len(encoded) <= LONGEST_STEPS_LOGGED else ""


def _describe_shape(spec: specs.JobSpec) -> str:
    """Return what is special about a job, for the log."""
    marks = [f"x{spec.occurrences}"] if spec.is_scheduled else []
    for name in (
        "is_gang",
        "same_rack",
        "is_checkpointed",
        "may_duplicate",
        "is_lasting",
        "is_filler",
        "label",
        "data_rack",
        "most_per_worker",
        "target_ms",
        "after",
    ):
        if any(getattr(step, name) for step in spec.steps):
            marks.append(name.removeprefix("is_"))
    return ",".join(marks) or "plain"


def _limit_wait(time_left_s: float | None) -> float:
    if time_left_s is None:
        return LONGEST_WAIT_S
    return max(0.2, min(LONGEST_WAIT_S, time_left_s - ANSWER_MARGIN_S))


def _refuse_behind() -> errors.Refusal:
    return errors.refuse(
        errors.Kind.STATE_BEHIND,
        "the ledger is not read to its end",
        retry_after_s=RETRY_AFTER_S,
    )
