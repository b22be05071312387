"""Links of a stated rate between an entry, the workers and the ledger.

Messages queue in the order in which they are sent, and what is sent takes its
turn also if nobody waits for it any longer.
"""

from collections.abc import Callable
import time

import gevent
from gevent import event

from chervilcove.control import interfaces
from chervilcove.core import errors
from chervilcove.standins import fleet as fleets
from chervilcove.standins import ledger as ledgers

PACKETS = 110  # bytes of TCP and IP for each message, with its acknowledgement
HANDSHAKE = 120  # bytes each way
COMMAND = 245  # bytes of a command but for its payload
RENEWAL = 255
SHORT_ANSWER = 72
LIST = 90  # bytes of a list of runs without rows
ROW = 50
APPEND = 160
READ = 195
READ_ANSWER = 100
RECORD = 5


class Link:
    """Link of an entry, with one queue in each direction.

    Attributes:
        sent: Bytes sent so far.
    """

    def __init__(self, *, bytes_per_s, latency_s=0.0):
        self._bytes_per_s = bytes_per_s
        self._latency_s = latency_s  # each way
        self._free_at = {"up": 0.0, "down": 0.0}
        self.sent = 0

    def carry(self, direction, size):
        """Return once a message of `size` bytes has passed."""
        if direction == "up":
            self.sent += size + PACKETS
        began = max(time.monotonic(), self._free_at[direction])
        self._free_at[direction] = began + (size + PACKETS) / self._bytes_per_s
        wait_s = self._free_at[direction] - time.monotonic()
        gevent.sleep(max(0.0, wait_s) + self._latency_s)

    def call(
        self,
        size: int,
        act: Callable[[], object],
        measure: Callable[[object], int],
        timeout_s: float,
    ):
        """Carry a request, carry out `act`, and carry its answer."""
        answer = event.AsyncResult()

        def run():
            self.carry("up", size)
            outcome = act()
            if not errors.is_refusal(outcome):
                self.carry("down", measure(outcome))
            answer.set(outcome)

        gevent.spawn(run)
        try:
            return answer.get(timeout=timeout_s)
        except gevent.Timeout:
            return errors.refuse(errors.Kind.OUTCOME_UNKNOWN, "no answer")


class LinkedWorker(interfaces.WorkerClient):
    """Client of an in-memory worker behind the link of its entry."""

    def __init__(self, *, worker: fleets.MemoryWorker, link: Link):
        self._worker = worker
        self._link = link
        self._idle = 0

    def start(self, command, details, *, timeout_s):
        return self._call(
            COMMAND + len(details.payload) + len(details.checkpoint),
            lambda: self._worker.start(command, details, timeout_s=timeout_s),
            lambda _: SHORT_ANSWER,
            timeout_s,
        )

    def stop(self, command, *, timeout_s):
        return self._call(
            COMMAND,
            lambda: self._worker.stop(command, timeout_s=timeout_s),
            lambda _: SHORT_ANSWER,
            timeout_s,
        )

    def renew_lease(self, *, timeout_s, **arguments):
        return self._call(
            RENEWAL,
            lambda: self._worker.renew_lease(timeout_s=timeout_s, **arguments),
            lambda reply: LIST + ROW * (len(reply.running) + len(reply.ended)),
            timeout_s,
        )

    def set_pace(self, command, percent, *, timeout_s):
        return self._call(
            COMMAND,
            lambda: self._worker.set_pace(
                command, percent, timeout_s=timeout_s
            ),
            lambda _: SHORT_ANSWER,
            timeout_s,
        )

    def close(self):
        self._idle = 0

    def _call(self, size, act, measure, timeout_s):
        if self._idle:
            self._idle -= 1
        else:
            size += HANDSHAKE
        outcome = self._link.call(size, act, measure, timeout_s)
        if (
            errors.is_refusal(outcome)
            and outcome.kind is errors.Kind.OUTCOME_UNKNOWN
        ):
            self._idle = 0  # all idle connections are closed after a failure
        else:
            self._idle += 1
        return outcome


class LinkedFleet(interfaces.PlatformConnector):
    """Connector of one entry to an in-memory fleet."""

    def __init__(self, *, fleet: fleets.MemoryFleet, link: Link):
        self._fleet = fleet
        self._link = link

    def connect_worker(self, report):
        return LinkedWorker(
            worker=self._fleet.connect_worker(report), link=self._link
        )

    def connect_policy(self):
        return self._fleet.connect_policy()

    def create_worker_feed(self, on_change):
        return self._fleet.create_worker_feed(on_change)


class LinkedLedger(interfaces.Ledger):
    """An in-memory ledger, as one entry reaches it."""

    def __init__(self, *, ledger: ledgers.MemoryLedger, link: Link):
        self._ledger = ledger
        self._link = link

    def append(self, items, *, fence=None, timeout_s):
        return self._link.call(
            APPEND + _measure((key, value) for key, value in items),
            lambda: self._ledger.append(
                items, fence=fence, timeout_s=timeout_s
            ),
            lambda _: SHORT_ANSWER,
            timeout_s,
        )

    def read(self, offset, *, wait_s, timeout_s):
        return self._link.call(
            READ,
            lambda: self._ledger.read(
                offset, wait_s=wait_s, timeout_s=timeout_s
            ),
            lambda chunk: (
                READ_ANSWER
                + _measure((one.key, one.value) for one in chunk.records)
            ),
            timeout_s,
        )

    def read_newest(self, *, timeout_s):
        return self._link.call(
            READ,
            lambda: self._ledger.read_newest(timeout_s=timeout_s),
            lambda chunk: (
                READ_ANSWER
                + _measure((one.key, one.value) for one in chunk.records)
            ),
            timeout_s,
        )


def _measure(pairs):
    return sum(RECORD + len(key) + len(value) for key, value in pairs)
