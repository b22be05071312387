"""Faults that the stand-in minion injects."""

from typing import NamedTuple


class Faults(NamedTuple):
    """Faults of a stand-in minion.

    An integer field is the number of further requests that get the fault.

    Attributes:
        late_s: Delay between execution and answer of a late request, in
            seconds.
        late: Requests answered late.
        crossed: Requests answered with the answer to another request.
        truncated: Requests whose answer ends after half of its content.
        wrong_digest: Requests whose answer doesn't match its digest.
        cut_before: Requests whose connection is closed before they are
            executed.
        cut_after: Requests whose connection is closed after they are
            executed, before the answer.
        failing: Requests executed and then answered by status 500.
        doubled: Requests whose answer is sent twice.
        is_frozen: Whether nothing but `POST /v1/faults` is answered, as by a
            suspended process.
        is_stuck: Whether health checks are answered but requests are not.
    """

    late_s: float = 0.0
    late: int = 0
    crossed: int = 0
    truncated: int = 0
    wrong_digest: int = 0
    cut_before: int = 0
    cut_after: int = 0
    failing: int = 0
    doubled: int = 0
    is_frozen: bool = False
    is_stuck: bool = False

    def consume(self, name: str) -> "Faults | None":
        """Return the faults after one use of `name`, None if none is left."""
        left = getattr(self, name)
        if left <= 0:
            return None
        return self._replace(**{name: left - 1})
