"""What customers send beyond their weight, by the jobs in the table.

Load pattern: one customer sends 5 to 7.5 times its usual number of jobs for
seconds, while the others send theirs.

The decision is a token bucket over `accepted_ms` that starts full in each
period of a minute. It depends on nothing but the jobs that were accepted in
the same period, so all entries and each new owner decide alike: the table
keeps jobs for longer than that after their end.
"""

import bisect

from chervilcove.jobs import records

# A job is judged by the jobs before it in its period only. The burst that each
# period begins with adds BURST_S / 60 s to the rate, 3%.
PERIOD_MS = 60_000
# Jobs of one customer don't arrive evenly. A customer may send this many
# seconds' worth of its weight at once.
BURST_S = 2.0


class Arrivals:
    """Index of the accepted jobs by customer and period."""

    def __init__(self):
        self._customers: dict[str, dict[int, _Period]] = {}

    def add(self, submission: records.Submission) -> None:
        """Add an accepted job; those without a customer are left out."""
        if not submission.customer:
            return
        periods = self._customers.setdefault(submission.customer, {})
        number = submission.accepted_ms // PERIOD_MS
        if number not in periods:
            periods[number] = _Period(number)
        periods[number].add(submission.accepted_ms, submission.job)

    def remove(self, submission: records.Submission) -> None:
        """Remove a job that was added."""
        periods = self._customers.get(submission.customer, {})
        number = submission.accepted_ms // PERIOD_MS
        if number not in periods:
            return
        periods[number].remove(submission.accepted_ms, submission.job)
        if not periods[number].entries:
            del periods[number]
        if not periods:
            del self._customers[submission.customer]

    def copy(self) -> "Arrivals":
        """Return a copy that changes independently."""
        other = Arrivals()
        other._customers = {
            name: {number: one.copy() for number, one in periods.items()}
            for name, periods in self._customers.items()
        }
        return other

    def is_beyond(self, submission: records.Submission, weight: float) -> bool:
        """Return whether a job was sent beyond its customer's weight.

        Args:
            submission: The job; it was added.
            weight: Jobs a second that the customer may send, 0 for any number.
        """
        if not weight:
            return False
        periods = self._customers.get(submission.customer, {})
        period = periods.get(submission.accepted_ms // PERIOD_MS)
        if period is None:
            return False
        return submission.job in period.evaluate(weight)

    def list_beyond(
        self, customer: str, weight: float, since_ms: int
    ) -> list[str]:
        """Return the jobs that a customer sent beyond its weight.

        Args:
            customer: Name of the customer.
            weight: Jobs a second that it may send, 0 for any number.
            since_ms: Unix milliseconds; jobs of earlier periods are left out.
        """
        if not weight:
            return []
        return [
            job
            for number, period in self._customers.get(customer, {}).items()
            if number >= since_ms // PERIOD_MS
            for job in period.evaluate(weight)
        ]

    def compute_wait_ms(
        self, customer: str, weight: float, now_ms: int
    ) -> float:
        """Return after which time a job would be within the weight.

        Args:
            customer: Name of the customer.
            weight: Jobs a second that it may send, 0 for any number.
            now_ms: Unix milliseconds.

        Returns:
            Milliseconds, 0 if a job accepted now is within the weight.
        """
        number = now_ms // PERIOD_MS
        period = self._customers.get(customer, {}).get(number)
        if not weight or period is None:
            return 0.0
        period.evaluate(weight)
        missing = 1.0 - period.compute_level(weight, now_ms)
        until_period_ms = (number + 1) * PERIOD_MS - now_ms
        return max(0.0, min(missing / weight * 1000, until_period_ms))


class _Period:
    """Jobs that one customer sent in one period.

    Args:
        number: Number of the period.

    Attributes:
        entries: Time of acceptance and id of each job, in ascending order.
    """

    def __init__(self, number: int):
        self._began_ms = number * PERIOD_MS
        self.entries: list[tuple[int, str]] = []
        self._restart(0.0)

    def add(self, accepted_ms: int, job: str) -> None:
        entry = (accepted_ms, job)
        if self.entries and entry < self.entries[-1]:
            bisect.insort(self.entries, entry)
            self._restart(0.0)
        else:
            self.entries.append(entry)

    def remove(self, accepted_ms: int, job: str) -> None:
        index = bisect.bisect_left(self.entries, (accepted_ms, job))
        if self.entries[index : index + 1] == [(accepted_ms, job)]:
            del self.entries[index]
            self._restart(0.0)

    def copy(self) -> "_Period":
        other = _Period(self._began_ms // PERIOD_MS)
        other.entries = list(self.entries)
        return other

    def evaluate(self, weight: float) -> set[str]:
        """Return the jobs beyond the weight; only new jobs cost time."""
        if weight != self._weight:
            self._restart(weight)
        for index in range(self._evaluated, len(self.entries)):
            accepted_ms, job = self.entries[index]
            level = self.compute_level(weight, accepted_ms)
            if level < 1.0:
                self._beyond.add(job)
            else:
                level -= 1.0
            self._level = level
            self._level_ms = accepted_ms
        self._evaluated = len(self.entries)
        return self._beyond

    def compute_level(self, weight: float, now_ms: int) -> float:
        """Return the jobs that the customer may send at a time."""
        gained = max(0, now_ms - self._level_ms) / 1000 * weight
        return min(_get_burst(weight), self._level + gained)

    def _restart(self, weight: float) -> None:
        self._weight = weight
        self._evaluated = 0
        self._level = _get_burst(weight)
        self._level_ms = self._began_ms
        self._beyond: set[str] = set()


def _get_burst(weight: float) -> float:
    return max(1.0, weight * BURST_S)
