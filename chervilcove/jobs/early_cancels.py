"""Cancels that may come before their jobs.

A submission can be under way for seconds: at an entry that is suspended or
slow, in an append that waits, or as a retry that crosses the cancel. The cancel
of an id without a job is therefore kept for as long as such a submission may
come, and applies to it.
"""

from collections.abc import Iterator
import copy
import hashlib

from chervilcove.jobs import records

RETENTION_MS = 150_000  # as long as a job is kept after its end
# Each one is held by all entries, and kept in the ledger for its retention.
MAX_PER_SENDER = 200


def build_name(job: str, sender: records.Sender) -> str:
    """Return the name of the record of a cancel.

    Senders overwrite only their own cancels. The name is bounded, whatever
    queues and customers are called.
    """
    digest = hashlib.sha256("\0".join(sender).encode()).hexdigest()
    return f"{job}.{digest[:16]}"


def get_job(name: str) -> str:
    """Return the id of the job in the name of a record."""
    return name.partition(".")[0]


class EarlyCancels:
    """Cancels of ids that had no job, by the records of the ledger."""

    def __init__(self):
        # By job and by name of the record.
        self._by_job: dict[str, dict[str, records.EarlyCancel]] = {}
        # When the cancels of each sender were stored, Unix milliseconds by
        # name, oldest first.
        self._by_sender: dict[records.Sender, dict[str, int]] = {}

    def copy(self) -> "EarlyCancels":
        """Return a copy that changes independently of this one."""
        other = copy.copy(self)
        other._by_job = {
            job: dict(cancels) for job, cancels in self._by_job.items()
        }
        other._by_sender = {
            sender: dict(times) for sender, times in self._by_sender.items()
        }
        return other

    def __contains__(self, name: str) -> bool:
        """Return whether a cancel is recorded under `name`."""
        return name in self._by_job.get(get_job(name), ())

    def __iter__(self) -> Iterator[tuple[str, records.EarlyCancel]]:
        """Yield the name and the value of each record."""
        for cancels in self._by_job.values():
            yield from cancels.items()

    def add(self, name: str, cancel: records.EarlyCancel) -> None:
        """Add a cancel, or replace the one of the same name."""
        self.remove(name)
        self._by_job.setdefault(get_job(name), {})[name] = cancel
        times = self._by_sender.setdefault(cancel.sender, {})
        times[name] = cancel.cancelled_ms

    def remove(self, name: str) -> None:
        """Remove a cancel, if there is one of this name."""
        job = get_job(name)
        cancels = self._by_job.get(job, {})
        cancel = cancels.pop(name, None)
        if cancel is None:
            return
        if not cancels:
            del self._by_job[job]
        times = self._by_sender[cancel.sender]
        del times[name]
        if not times:
            del self._by_sender[cancel.sender]

    def list_names(self, job: str) -> list[str]:
        """Return the names of the cancels of a job."""
        return list(self._by_job.get(job, ()))

    def applies_to(self, submission: records.Submission) -> bool:
        """Return whether a job was cancelled by a sender who may do so."""
        return any(
            submission.is_open_to(cancel.sender)
            for cancel in self._by_job.get(submission.job, {}).values()
        )

    def compute_wait_ms(self, sender: records.Sender, now_ms: int) -> int:
        """Return the milliseconds until a sender may add another cancel."""
        times = self._by_sender.get(sender, {})
        if len(times) < MAX_PER_SENDER:
            return 0
        oldest_ms = next(iter(times.values()))
        return max(1, oldest_ms + RETENTION_MS - now_ms)

    def is_fresh(self, name: str, now_ms: int) -> bool:
        """Return whether a cancel will be kept for long without a new one."""
        cancel = self._by_job.get(get_job(name), {}).get(name)
        return (
            cancel is not None
            and abs(now_ms - cancel.cancelled_ms) < RETENTION_MS / 2
        )

    def list_expired(self, now_ms: int) -> list[str]:
        """Return the names of the cancels that no submission can meet.

        A time in the future comes from a clock that was wrong, and says
        nothing about the age either.
        """
        return [
            name
            for name, cancel in self
            if abs(now_ms - cancel.cancelled_ms) > RETENTION_MS
        ]
