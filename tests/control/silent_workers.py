"""Workers that fall silent."""

import gevent

from chervilcove.core import errors
from chervilcove.standins import fleet as fleets


class SilentFleet(fleets.MemoryFleet):
    """Fleet in which some workers answer no call and carry none out.

    Attributes:
        silent: Ids of these workers.
    """

    def __init__(self, *, count):
        super().__init__(count=count)
        self.silent = set()
        for worker in self.workers.values():
            for name in ("start", "stop", "renew_lease"):
                method = getattr(worker, name)
                setattr(worker, name, self._mute(worker, method))

    def _mute(self, worker, method):
        def call(*arguments, timeout_s, **options):
            if worker.report.id in self.silent:
                gevent.sleep(timeout_s)
                return errors.refuse(errors.Kind.OUTCOME_UNKNOWN, "no answer")
            return method(*arguments, timeout_s=timeout_s, **options)

        return call
