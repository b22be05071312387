"""Entries that schedule the workers of `lease_world`, and drawn faults.

Left out: workers that start again under the same id. `Worker` would need one
set of leases, fences and numbers for each process, and `Link.call` would have
to hand a late call to the process that is there when it is executed.
"""

import collections
import functools

import logbook

from chervilcove.jobs import records
from chervilcove.jobs import specs
from tests.control import lease_entries
from tests.control import lease_world
from tests.control import simulation as simulations

STEP = specs.Step(
    count=3, need=specs.Resources(1_000, 1_024, 0), estimate_ms=3_000
)
GANG = STEP._replace(count=2, is_gang=True)
TAIL = 40  # newest events that a violation shows
LATE_MAX_S = 4.0  # calls without an answer may be executed that much later


class World(simulations.Simulation):
    """Workers, a ledger, entries, and what they must not do.

    Attributes:
        violations: What went wrong, in order.
        faults: Functions from which `take_step` draws one.
        counts: How often each thing happened.
    """

    def __init__(
        self, seed, monkeypatch, *, workers=4, entries=3, processors=8
    ):
        super().__init__(seed, monkeypatch)
        self._log_handler = logbook.NullHandler()
        self._log_handler.push_application()
        self.ledger = lease_world.Ledger(self)
        self.violations = []
        self.counts = collections.Counter()
        self.feeds = []
        self.unlisted = set()
        self._trace = collections.deque(maxlen=TAIL)
        self._cuts = []  # [entry, peer, until]
        self._counted_ended = {}  # epoch that counted it, by worker and run
        self._noted = {}
        self._last_starts = {}
        self._job_count = 0
        self.faults = self.list_all_faults()
        self.workers = {}
        for number in range(workers):
            rate = self.random.choice([0.98, 0.98, 0.99, 1.0])
            worker = lease_world.Worker(
                self, number, rate=rate, processors=processors
            )
            self.workers[worker.name] = worker
        self.entries = [
            lease_entries.Entry(self, name, 0) for name in "abcdef"[:entries]
        ]

    def close(self):
        for entry in self.entries:
            entry.kill()
        self.settle()
        self._log_handler.pop_application()

    def list_reports(self):
        return {
            name: worker.report
            for name, worker in self.workers.items()
            if name not in self.unlisted
        }

    def submit(self, step=STEP):
        self._job_count += 1
        job = f"{self._job_count:016x}"
        submission = records.Submission(
            job,
            lease_entries.QUEUE.name,
            lease_entries.QUEUE.service,
            "",
            int(self.now * 1000),
            specs.JobSpec("payload", (step,)),
            attempts=100,
        )
        key = records.build_key(records.Kind.JOB, job)
        self.ledger.append([(key, records.encode_value(submission))], None)

    # Links.

    def draw_run_s(self):
        return self.random.choice([0.3, 5.0, 20.0, 20.0])

    def draw_fate(self, entry, peer, what, sent):
        del what  # for tests that choose the fate of some calls
        is_cut = self.is_cut(entry, peer, sent, may_be_one_way=False)
        fate = self.random.random()
        if is_cut and fate < 0.3:
            return lease_world.Fate(None, is_refused=True)
        if is_cut and fate < 0.75:
            return lease_world.Fate(None)
        if is_cut or fate < 0.01:
            delay_s = self.random.random() * LATE_MAX_S
            return lease_world.Fate(delay_s, is_answered=False)
        return lease_world.Fate(self.draw_latency_s())

    def draw_latency_s(self):
        slow = self.random.random() < 0.03
        return self.random.random() * (0.4 if slow else 0.005)

    def cut(self, entry, peer, length_s, *, is_one_way=False):
        """Cut a link; a cut in one way still lets the calls through."""
        self.record("cut", entry, peer, round(length_s, 2), is_one_way)
        self._cuts.append((entry, peer, self.now + length_s, is_one_way))

    def is_cut(self, entry, peer, at, *, may_be_one_way=True):
        self._cuts = [one for one in self._cuts if one[2] > self.now]
        return any(
            one[0] in (entry, None)
            and one[1] in (peer, None)
            and one[2] > at
            and (may_be_one_way or not one[3])
            for one in self._cuts
        )

    # What happens, and what must not.

    def record(self, what, *details):
        self.counts[what] += 1
        self._trace.append((round(self.read_boot(), 3), what, *details))

    def _fail(self, what, *details):
        self.record(what, *details)
        self.violations.append((what, *details, list(self._trace)))

    def record_start(self, worker, task, run):
        self.record("start", worker.name, task, run, worker.fence)
        counted_by = self._counted_ended.get((worker.name, task, run), 0)
        if worker.fence <= counted_by:
            self._fail("started after it was counted as ended", task)
        for other in self.workers.values():
            other.check_lease()
            if other is not worker and task in other.running:
                self._fail("twice", other.name, other.running[task])
        if task in self._noted:
            self._fail("started after its end was noted")
        self._last_starts[task] = self.now

    def record_noted(self, task, ended_at, has_lapsed):
        if has_lapsed:
            return
        self._noted[task] = ended_at
        if self._last_starts.get(task, 0.0) > ended_at:
            self._fail("started after an end that was noted later", task)

    def record_counted(self, epoch, worker, task, run, evidence):
        """Check that a run that an owner counts as ended has ended."""
        self.record(evidence, self.get_entry(), worker, task, run)
        if any(
            one.owner is not None
            and one.owner.epoch == epoch
            and one.term_count > 1
            for one in self.entries
        ):
            self.counts[f"{evidence} in a later term"] += 1
        self.schedule(
            self.read_boot(),
            functools.partial(
                self._check_ended, epoch, worker, task, run, evidence
            ),
        )

    def _check_ended(self, epoch, worker, task, run, evidence):
        if epoch < self.ledger.epoch:
            return  # a deposed owner can't store what it thinks
        self.workers[worker].check_lease()
        self._counted_ended[worker, task, run] = epoch
        if self.workers[worker].running.get(task) == run:
            left_s = round(self.workers[worker].compute_lease_left_s(), 2)
            self._fail("still runs", evidence, worker, task, run, left_s)

    # Faults.

    def take_step(self):
        """Let some time pass, then draw a fault."""
        self.counts["step"] += 1
        self.run_until(self.now + self.random.choice([0.05, 0.4, 1.0, 3.0]))
        for _ in range(self.random.choice([0, 1, 2])):
            self.submit(self.random.choice([STEP, STEP, GANG]))
        self.random.choice(self.faults)()

    def list_all_faults(self):
        return [
            self._cut_workers,
            self._cut_workers,
            self._cut_store,
            self._isolate_zone,
            self._stop_store,
            self._pause_entry,
            self._suspend_entry,
            self._hand_over,
            self._restart_entry,
            self._relist_worker,
            self._move_worker,
            self.ledger.drop_history,
        ]

    def list_successions(self):
        """Return faults that replace owners whose workers are cut off."""
        return [
            self._cut_workers,
            self._cut_workers,
            self._cut_store,
            self._isolate_zone,
            self._isolate_zone,
            self._pause_entry,
            self._hand_over,
            self.ledger.drop_history,
        ]

    def draw_length_s(self):
        return self.random.choice([0.2, 0.7, 2.0, 5.0, 8.0, 14.0])

    def draw_entry(self):
        """Return an entry; mostly an owner, if there is one."""
        found = [one for one in self.entries if one.owner is not None]
        if found and self.random.random() < 0.7:
            return self.random.choice(found)
        return self.random.choice(self.entries)

    def _cut_workers(self):
        length_s = self.draw_length_s()
        entry = self.random.choice([None, self.draw_entry().name])
        zone = self.random.choice([0, 1])
        is_one_way = self.random.random() < 0.3
        for name in list(self.workers)[zone::2]:
            self.cut(entry, name, length_s, is_one_way=is_one_way)

    def _cut_store(self):
        self.cut(
            self.draw_entry().name,
            "store",
            self.draw_length_s(),
            is_one_way=self.random.random() < 0.3,
        )

    def _isolate_zone(self):
        """Cut off an entry together with the workers of its zone."""
        isolated = self.draw_entry()
        zone = self.random.choice([0, 1])
        length_s = self.random.choice([5.0, 14.0])
        self.cut(isolated.name, "store", length_s)
        for entry in self.entries:
            side = zone if entry is not isolated else 1 - zone
            for name in list(self.workers)[side::2]:
                self.cut(entry.name, name, length_s)

    def _stop_store(self):
        self.cut(None, "store", self.draw_length_s())

    def _pause_entry(self):
        self.freeze(self.draw_entry().name, self.draw_length_s())

    def _suspend_entry(self):
        length_s = self.draw_length_s()
        self.freeze(self.draw_entry().name, length_s, is_suspended=True)

    def _hand_over(self):
        entry = self.draw_entry()
        self.record("hand over", entry.name)
        self.spawn(entry.name, entry.election.resign)
        self.schedule(
            self.now + 2.5, functools.partial(self._replace_entry, entry)
        )

    def _restart_entry(self):
        self._replace_entry(self.draw_entry())

    def _replace_entry(self, entry):
        if entry not in self.entries:
            return
        self.record("restart", entry.name)
        entry.kill()
        self.entries[self.entries.index(entry)] = lease_entries.Entry(
            self, entry.name, entry.number + 1
        )

    def _relist_worker(self):
        name = self.random.choice(list(self.workers))
        self.record("relist", name)
        self.unlisted ^= {name}
        self._publish_reports()

    def _move_worker(self):
        """Change the address of a worker, so that its session is replaced."""
        worker = self.random.choice(list(self.workers.values()))
        port = worker.report.port + 1
        self.record("move", worker.name)
        worker.report = worker.report._replace(port=port)
        self._publish_reports()

    def _publish_reports(self):
        for feed in list(self.feeds):
            feed.on_change(self.list_reports())
