"""Workers with true leases on slow clocks, a ledger, and lossy links."""

import functools
from typing import NamedTuple

import gevent
from gevent import event

from chervilcove.control import interfaces
from chervilcove.core import errors
from chervilcove.jobs import specs

HOLD_MAX_MS = 6_000
STOP_MAX_S = 0.9
CONNECT_TIMEOUT_S = 0.4
ENDS_AT_ONCE = 500
LOST = errors.refuse(errors.Kind.OUTCOME_UNKNOWN, "no answer")
FENCED = errors.refuse(errors.Kind.FENCED, "fence")
OLD = errors.refuse(errors.Kind.STALE_REVISION, "old")


class Worker:
    """One process of a worker, as the protocol describes it."""

    def __init__(self, world, number, *, rate, processors):
        self.world = world
        self.name = f"w{number}"
        self.rate = rate
        self._born_at = world.now - world.random.choice([20.0, 500.0])
        self.deadline_ms = 0
        self.fence = 0
        self.running = {}
        self._times = {}  # start and length of the newest run, by task
        self._highest = {}
        self._ended = []  # [EndedRun, time, whether the lease lapsed since]
        self._end_count = 0
        self._waiting = []
        self.report = interfaces.WorkerReport(
            id=self.name,
            life=1,
            host=self.name,
            port=1,
            service="service",
            data_centre=f"dc{number % 2}",
            rack=f"r{number % 2}",
            labels=frozenset(),
            capacity=specs.Resources(processors * 1_000, 2**20, 0),
            is_draining=False,
            leaves_in_ms=0,
            clock_ms=0,
        )

    def read_clock_ms(self):
        return int((self.world.now - self._born_at) * self.rate * 1000)

    def compute_lease_left_s(self):
        return (self.deadline_ms - self.read_clock_ms()) / 1000 / self.rate

    def end(self, task, run, how):
        if self.running.get(task) != run:
            return
        del self.running[task]
        self._highest[task] = max(self._highest.get(task, 0), run)
        self._end_count += 1
        ended = interfaces.EndedRun(self._end_count, task, run, how, "")
        self._ended.append([ended, self.world.now, False])
        for answer in self._waiting:
            answer()
        self._waiting = []

    def check_lease(self):
        """End everything if the lease has just expired."""
        if self.read_clock_ms() < self.deadline_ms:
            return
        for task, run in list(self.running.items()):
            self.end(task, run, "lapsed")
        for one in self._ended:
            one[2] = True

    def _extend_lease(self, deadline_ms):
        clock_ms = self.read_clock_ms()
        deadline_ms = min(deadline_ms, clock_ms + HOLD_MAX_MS)
        if deadline_ms <= self.deadline_ms:
            return
        self.deadline_ms = deadline_ms
        ends_at = self.world.now + self.compute_lease_left_s() + 0.002
        self.world.schedule(ends_at, self.check_lease)

    def start(self, command, details, answer):
        if command.fence < self.fence:
            return answer(FENCED)
        self.fence = command.fence
        if details.expires_ms <= self.read_clock_ms():
            return answer(
                errors.refuse(
                    errors.Kind.DEADLINE_EXCEEDED,
                    "late",
                    clock_ms=self.read_clock_ms(),
                )
            )
        self.check_lease()
        self._extend_lease(details.expires_ms)
        if self.running.get(command.task) != command.run:
            if command.run <= self._highest.get(command.task, 0):
                return answer(OLD)
            self.running[command.task] = command.run
            self.world.record_start(self, command.task, command.run)
            run_s = self.world.draw_run_s()
            self._times[command.task] = (self.world.now, run_s)
            self.world.schedule(
                self.world.now + run_s,
                functools.partial(self.end, command.task, command.run, "done"),
            )
        return answer(self.read_clock_ms())

    def stop(self, command, answer):
        if command.fence < self.fence:
            return answer(FENCED)
        self.fence = command.fence
        before = self._highest.get(command.task, 0)
        self._highest[command.task] = max(before, command.run)
        self.world.schedule(
            self.world.now + self.world.random.random() * STOP_MAX_S,
            functools.partial(self.end, command.task, command.run, "stopped"),
        )
        return answer(self.read_clock_ms())

    def hold(self, fence, last_seen, lease_until_ms, wait_ms, answer):
        if fence < self.fence:
            return answer(FENCED)
        self.fence = fence
        self.check_lease()
        for ended, at, has_lapsed in self._ended:
            if ended.number <= last_seen and ended.how == "done":
                self.world.record_noted(ended.task, at, has_lapsed)
        self._ended = [o for o in self._ended if o[0].number > last_seen]
        if lease_until_ms:
            self._extend_lease(lease_until_ms)
        is_answered = []

        def answer_once():
            if not is_answered:
                is_answered.append(True)
                answer(self._build_reply())

        if self._ended or not wait_ms:
            return answer_once()
        self._waiting.append(answer_once)
        self.world.schedule(self.world.now + wait_ms / 1000, answer_once)
        return None

    def _compute_percent(self, task):
        began, length_s = self._times[task]
        return 100 * (self.world.now - began) / length_s

    def _build_reply(self):
        return interfaces.LeaseReply(
            clock_ms=self.read_clock_ms(),
            life=1,
            running=[
                interfaces.RunningTask(
                    task, run, "", self._compute_percent(task), 0.0
                )
                for task, run in self.running.items()
            ],
            ended=[one[0] for one in self._ended[:ENDS_AT_ONCE]],
            is_complete=len(self._ended) < ENDS_AT_ONCE,
        )


class Fate(NamedTuple):
    """What happens to one call.

    Attributes:
        delay_s: Seconds until it is executed, None if it never is.
        is_refused: Whether no connection is made.
        is_answered: Whether the answer may come.
    """

    delay_s: float | None
    is_refused: bool = False
    is_answered: bool = True


class Link:
    """Calls of one entry to one peer, which get lost or come late."""

    def __init__(self, world, entry, peer):
        self._world = world
        self._entry = entry
        self._peer = peer

    def call(self, what, execute, timeout_s):
        """Return the outcome of `execute`, which gets an answer callback."""
        world = self._world
        result = event.AsyncResult()
        sent = world.read_boot()
        fate = world.draw_fate(self._entry, self._peer, what, sent)
        if fate.is_refused:
            gevent.sleep(min(CONNECT_TIMEOUT_S, timeout_s))
            return errors.refuse(errors.Kind.CONNECT_FAILED, "cut off")

        def answer(outcome):
            if not fate.is_answered or world.is_cut(
                self._entry, self._peer, world.now
            ):
                return
            world.schedule(
                world.now + world.draw_latency_s(),
                functools.partial(result.set, outcome),
                entry=self._entry,
            )

        if fate.delay_s is not None:
            world.schedule(
                sent + fate.delay_s, functools.partial(execute, answer)
            )
        try:
            return result.get(timeout=timeout_s)
        except gevent.Timeout:
            return LOST


class WorkerClient(interfaces.WorkerClient):
    """Client of a worker for one entry."""

    def __init__(self, world, entry, worker):
        self._worker = worker
        self._link = Link(world, entry, worker.name)

    def start(self, command, details, *, timeout_s):
        return self._link.call(
            "start",
            functools.partial(self._worker.start, command, details),
            timeout_s,
        )

    def stop(self, command, *, timeout_s):
        return self._link.call(
            "stop", functools.partial(self._worker.stop, command), timeout_s
        )

    def renew_lease(
        self, *, fence, last_seen, lease_until_ms, wait_ms, timeout_s
    ):
        return self._link.call(
            "hold",
            functools.partial(
                self._worker.hold, fence, last_seen, lease_until_ms, wait_ms
            ),
            timeout_s,
        )

    def set_pace(self, command, percent, *, timeout_s):
        return LOST

    def close(self):
        pass


class Ledger:
    """Records and fences of the store.

    Attributes:
        epoch: Newest epoch of an owner.
    """

    def __init__(self, world):
        self._world = world
        self._records = []
        self._first_offset = 0
        self.epoch = 0
        self._offsets_by_sequence = {}
        self._waiting = []

    def append(self, items, fence, answer=lambda _: None):
        if fence is not None:
            if fence.epoch < self.epoch:
                return answer(FENCED)
            if fence.epoch > self.epoch:
                self.epoch = fence.epoch
                self._offsets_by_sequence = {}
            if fence.sequence in self._offsets_by_sequence:
                return answer(self._offsets_by_sequence[fence.sequence])
        offset = len(self._records)
        self._records += [
            interfaces.KeyedRecord(offset + number, key, value)
            for number, (key, value) in enumerate(items)
        ]
        if fence is not None:
            self._offsets_by_sequence[fence.sequence] = offset
        for wake in self._waiting:
            wake()
        self._waiting = []
        return answer(offset)

    def drop_history(self):
        """Keep only the newest record of each key."""
        self._first_offset = len(self._records)

    def read(self, offset, wait_s, answer):
        if offset < self._first_offset:
            return answer(errors.refuse(errors.Kind.GONE, "dropped"))
        is_answered = []

        def answer_once():
            if not is_answered:
                is_answered.append(True)
                end = len(self._records)
                answer(interfaces.Chunk(self._records[offset:], end, end))

        if len(self._records) > offset or not wait_s:
            return answer_once()
        self._waiting.append(answer_once)
        self._world.schedule(self._world.now + wait_s, answer_once)
        return None

    def read_newest(self, answer):
        newest = {one.key: one for one in self._records}
        end = len(self._records)
        kept = sorted(one for one in newest.values() if one.value)
        return answer(interfaces.Chunk(kept, end, end))


class LedgerClient(interfaces.Ledger):
    """Client of the ledger for one entry."""

    def __init__(self, world, entry):
        self._ledger = world.ledger
        self._link = Link(world, entry, "store")

    def append(self, items, *, fence=None, timeout_s):
        is_claim = fence is not None and fence.sequence == 0
        return self._link.call(
            "claim" if is_claim else "append",
            functools.partial(self._ledger.append, items, fence),
            timeout_s,
        )

    def read(self, offset, *, wait_s, timeout_s):
        return self._link.call(
            "read",
            functools.partial(self._ledger.read, offset, wait_s),
            timeout_s,
        )

    def read_newest(self, *, timeout_s):
        return self._link.call("read", self._ledger.read_newest, timeout_s)
