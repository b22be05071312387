"""Cache of searches for places that failed in earlier rounds."""

from collections.abc import Iterable
from typing import NamedTuple

from chervilcove.scheduling import core
from chervilcove.scheduling import needs
from chervilcove.scheduling import pool as pools
from chervilcove.scheduling import spec_checks

_MAX_EXAMINED = 4_096
_FAILURE_LIFETIME_S = 10.0


class Signature(NamedTuple):
    """Key of jobs for which a search has the same result."""

    customer: str
    need: needs.Need
    urgency: str
    idempotent: bool
    avoided: frozenset[str]


class SearchCache:
    """Records of searches that avoid repeating those that must fail again.

    Attributes:
        checker: Checks jobs against the configuration.
        failures: Reasons of searches that fail in the current state of the
            pool.
        last_examined: Number of the round of the last search.
        round_number: Number of the current round.
    """

    def __init__(self):
        self.checker = spec_checks.SpecChecker()
        self.failures: dict[Signature, core.Reason] = {}
        self.last_examined: dict[Signature, int] = {}
        self.round_number = 0
        self._signatures: dict[str, Signature] = {}
        self._state: tuple[pools.Pool | None, int] = (None, 0)
        self._failed_at = 0.0

    def begin_round(self, pool: pools.Pool, now: float) -> None:
        """Begin a round and invalidate outdated failures.

        Failures are kept while the pool doesn't change, but no longer than
        `_FAILURE_LIFETIME_S`, because the search also depends on the time.
        """
        self.round_number += 1
        is_old = not 0 <= now - self._failed_at < _FAILURE_LIFETIME_S
        if is_old or self._state[0] is not pool:
            self._state = (None, 0)
        if self._state != (pool, pool.version):
            self._state = (pool, pool.version)
            self._failed_at = now
            self.failures = {}
        while len(self.last_examined) > _MAX_EXAMINED:
            del self.last_examined[next(iter(self.last_examined))]

    def get_signature(
        self, spec: core.JobSpec, failed_on: Iterable[str]
    ) -> Signature:
        """Return the signature of a job, cached across rounds."""
        known = self._signatures.get(spec["id"])
        avoided = frozenset(failed_on)
        if known is None or known.avoided != avoided:
            if len(self._signatures) > _MAX_EXAMINED:
                self._signatures.clear()
            known = self._signatures[spec["id"]] = Signature(
                spec["customer"],
                needs.make_need(spec),
                spec["urgency"],
                spec["idempotent"],
                avoided,
            )
        return known

    def record_failure(self, signature: Signature, reason: core.Reason) -> None:
        """Record a failed search of the current round."""
        self.failures[signature] = reason
        self.last_examined.pop(signature, None)
        self.last_examined[signature] = self.round_number
