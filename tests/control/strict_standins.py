"""Stand-ins with more of the platform's faults than the simple ones.

Leases lapse, calls are executed late, and the newest records come in pages that
are not a snapshot.
"""

import bisect
from collections.abc import Callable
import time
from typing import NamedTuple

import gevent

from chervilcove.control import commands
from chervilcove.control import interfaces
from chervilcove.control import sessions
from chervilcove.core import errors
from chervilcove.standins import fleet as fleets
from chervilcove.standins import ledger as ledgers

MAX_LISTED_ENDS = 500  # in one answer of a worker
PAGE_KEYS = 20  # of the newest records; the platform has 500
READ_RECORDS = 40
LEASE_CHECK_S = 0.02
CUT_ANSWER_S = 0.1  # before a call to a worker that is cut off has no answer


def shorten_leases(monkeypatch):
    """Shorten leases, renewals and first leases by the same factor."""
    monkeypatch.setattr(sessions, "LEASE_MS", 1_000)
    monkeypatch.setattr(sessions, "BUSY_WAIT_MS", 170)
    monkeypatch.setattr(sessions, "IDLE_WAIT_MS", 340)
    monkeypatch.setattr(commands, "START_VALID_MS", 600)


def refuse_unanswered():
    return errors.refuse(errors.Kind.OUTCOME_UNKNOWN, "no answer")


class StrictWorker(fleets.MemoryWorker):
    """Worker whose leases lapse, and that tells an observer what happens.

    Attributes:
        late_holds: Number of further renewals that are executed late and get
            no answer.
        lost_answers: Number of further renewals that are executed and get no
            answer.
        lapse_count: How many times the lease has lapsed.
    """

    def __init__(self, *, report, observer, late_s=0.5):
        super().__init__(report=report)
        self.late_holds = 0
        self.lost_answers = 0
        self.lapse_count = 0
        self._observer = observer
        self._late_s = late_s
        self._is_lease_live = False
        self._watch = gevent.spawn(self._watch_lease)

    def close_watch(self):
        self._watch.kill(block=False)

    def renew_lease(
        self, *, fence, last_seen, lease_until_ms, wait_ms, timeout_s
    ):
        life = self.report.life
        if self.is_cut:
            gevent.sleep(min(timeout_s, CUT_ANSWER_S))
            return refuse_unanswered()
        if self.late_holds:
            self.late_holds -= 1
            gevent.spawn_later(
                self._late_s, self._hold, life, fence, last_seen, lease_until_ms
            )
            gevent.sleep(min(timeout_s, self._late_s / 2))
            return refuse_unanswered()
        refusal = self._hold(life, fence, last_seen, lease_until_ms)
        if refusal is not None:
            return refusal
        if not self.ended and wait_ms:
            self._changed.wait(timeout=wait_ms / 1000)
        gevent.sleep(0)
        if self.is_cut or self.report.life != life:
            return refuse_unanswered()
        if self.lost_answers:
            self.lost_answers -= 1
            gevent.sleep(min(timeout_s, CUT_ANSWER_S))
            return refuse_unanswered()
        self.check_lease()
        return interfaces.LeaseReply(
            clock_ms=read_clock_ms(),
            life=life,
            running=[
                interfaces.RunningTask(
                    task, run, "", self._estimate_progress(task), 0.0
                )
                for task, run in self.running.items()
            ],
            ended=self.ended[:MAX_LISTED_ENDS],
            is_complete=len(self.ended) < MAX_LISTED_ENDS,
        )

    def end(self, task, how, checkpoint=""):
        run = self.running[task]
        super().end(task, how, checkpoint)
        self._observer.record_end(self, self.ended[-1], run)

    def crash(self):
        super().crash()
        self.late.clear()
        self.lease_until_ms = 0
        self._is_lease_live = False
        self._observer.record_crash(self)

    def check_lease(self):
        """End all runs if the lease has lapsed."""
        if self._is_lease_live and read_clock_ms() >= self.lease_until_ms:
            self._is_lease_live = False
            self.lapse_count += 1
            for task in list(self.running):
                self.end(task, "lapsed")

    def _watch_lease(self):
        while True:
            gevent.sleep(LEASE_CHECK_S)
            self.check_lease()

    def _hold(self, life, fence, last_seen, lease_until_ms):
        if life != self.report.life or self.is_cut:
            return refuse_unanswered()
        self.check_lease()
        if fence < self.fence:
            return errors.refuse(errors.Kind.FENCED, "epoch is stale")
        self.fence = fence
        for end in self.ended:
            if end.number <= last_seen:
                self._observer.record_note(self, end)
        self.ended = [end for end in self.ended if end.number > last_seen]
        self._extend_lease(lease_until_ms)
        return None

    def _extend_lease(self, until_ms):
        now_ms = read_clock_ms()
        until_ms = min(until_ms, now_ms + sessions.LEASE_MS)
        self.lease_until_ms = max(self.lease_until_ms, until_ms)
        if self.lease_until_ms > now_ms:
            self._is_lease_live = True

    def _start(self, command, details):
        self.check_lease()
        before = len(self.starts)
        outcome = super()._start(command, details)
        is_refused = errors.is_refusal(outcome)
        if not is_refused or outcome.kind is errors.Kind.STALE_REVISION:
            self._extend_lease(details.expires_ms)
        if len(self.starts) > before:
            self._observer.record_start(self, command.task, command.run)
        return outcome


class Trap(NamedTuple):
    """A fault at the next append that holds a certain record.

    Attributes:
        matches: Tells by key and value whether it is that record.
        is_stored: Whether the append is executed; it gets no answer.
        on_append: Called then.
    """

    matches: Callable[[str, bytes], bool]
    is_stored: bool
    on_append: Callable[[], None]


class StrictLedger(ledgers.MemoryLedger):
    """Ledger with slow, late and lost calls, and pages that differ in age.

    Attributes:
        mode: Fault of appends: "" for none, "late" (executed late, without an
            answer), "lost" (executed, without an answer), or "silent" (neither
            appends nor reads are executed or answered).
        late_s: Seconds after which a late append is executed.
        page_s: Seconds between two pages of the newest records.
        trap: Fault at a certain append, None for none.
    """

    def __init__(self, *, random):
        super().__init__()
        self.mode = ""
        self.late_s = 0.3
        self.page_s = 0.005
        self.trap = None
        self._random = random
        self._newest = {}
        self._indexed = 0

    def append(self, items, *, fence=None, timeout_s):
        gevent.sleep(self._random.choice([0.001, 0.003, 0.01]))
        trap = self.trap
        if trap is not None and any(trap.matches(*item) for item in items):
            self.trap = None
            if trap.is_stored:
                self._execute(items, fence)
            trap.on_append()
            gevent.sleep(timeout_s)
            return refuse_unanswered()
        if self.mode and (self.mode == "silent" or self._random.random() < 0.6):
            if self.mode == "late":
                gevent.spawn_later(self.late_s, self._execute, items, fence)
            elif self.mode == "lost":
                self._execute(items, fence)
            gevent.sleep(timeout_s)
            return refuse_unanswered()
        return self._execute(items, fence)

    def read(self, offset, *, wait_s, timeout_s):
        if self.mode == "silent":
            gevent.sleep(timeout_s)
            return refuse_unanswered()
        chunk = super().read(offset, wait_s=wait_s, timeout_s=timeout_s)
        if errors.is_refusal(chunk):
            return chunk
        kept = chunk.records[:READ_RECORDS]
        return chunk._replace(records=kept, next_offset=offset + len(kept))

    def read_newest(self, *, timeout_s):
        if self.mode == "silent":
            gevent.sleep(timeout_s)
            return refuse_unanswered()
        found = []
        first_end = len(self.records)
        after = ""
        while True:
            newest = self._index()
            keys = sorted(key for key in newest if newest[key].value)
            begin = bisect.bisect_right(keys, after)
            page = keys[begin : begin + PAGE_KEYS]
            found += [newest[key] for key in page]
            end = len(self.records)
            if begin + PAGE_KEYS >= len(keys):
                return interfaces.Chunk(sorted(found), first_end, end)
            after = page[-1]
            gevent.sleep(self.page_s)

    def _execute(self, items, fence):
        return super().append(items, fence=fence, timeout_s=1.0)

    def _index(self):
        for record in self.records[self._indexed :]:
            self._newest[record.key] = record
        self._indexed = len(self.records)
        return self._newest


class EntryLedger(interfaces.Ledger):
    """The ledger as one entry sees it.

    Attributes:
        is_cut: Whether the calls of this entry get no answer. Those under way
            may still be executed.
    """

    def __init__(self, ledger):
        self._ledger = ledger
        self.is_cut = False

    def append(self, items, *, fence=None, timeout_s):
        return self._call(
            timeout_s,
            lambda: self._ledger.append(
                items, fence=fence, timeout_s=timeout_s
            ),
        )

    def read(self, offset, *, wait_s, timeout_s):
        return self._call(
            timeout_s,
            lambda: self._ledger.read(
                offset, wait_s=wait_s, timeout_s=timeout_s
            ),
        )

    def read_newest(self, *, timeout_s):
        return self._call(
            timeout_s, lambda: self._ledger.read_newest(timeout_s=timeout_s)
        )

    def _call(self, timeout_s, call):
        began = time.monotonic()
        if not self.is_cut:
            outcome = call()
            if not self.is_cut:
                return outcome
        gevent.sleep(max(0.0, timeout_s - (time.monotonic() - began)))
        return refuse_unanswered()


class EntryConnector(interfaces.PlatformConnector):
    """The workers as one entry sees them.

    Attributes:
        cut_workers: Workers that this entry can't reach.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self.cut_workers = set()

    def connect_worker(self, report):
        return _EntryClient(self, self._fleet.workers[report.id])

    def connect_policy(self):
        return None

    def create_worker_feed(self, on_change):
        return self._fleet.create_worker_feed(on_change)


class _EntryClient(interfaces.WorkerClient):
    def __init__(self, connector, worker):
        self._connector = connector
        self._worker = worker

    def start(self, command, details, *, timeout_s):
        return self._call(
            lambda: self._worker.start(command, details, timeout_s=timeout_s)
        )

    def stop(self, command, *, timeout_s):
        return self._call(
            lambda: self._worker.stop(command, timeout_s=timeout_s)
        )

    def renew_lease(self, **arguments):
        return self._call(lambda: self._worker.renew_lease(**arguments))

    def set_pace(self, command, percent, *, timeout_s):
        return self._call(
            lambda: self._worker.set_pace(command, percent, timeout_s=timeout_s)
        )

    def close(self):
        pass

    def _call(self, call):
        if not self._is_cut():
            outcome = call()
            if not self._is_cut():
                return outcome
        gevent.sleep(CUT_ANSWER_S)
        return refuse_unanswered()

    def _is_cut(self):
        return self._worker.report.id in self._connector.cut_workers


def read_clock_ms():
    return int(time.monotonic() * 1000)
