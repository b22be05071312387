"""What happens on workers: runs, leases, gangs, ends. No input or output.

All that is due happens at its exact time, also if the process notices it late:
whoever looks first carries out all that is due before. The state is guarded by
one lock, so that a thread of its own can do so beside the calls.
"""

import heapq
import itertools
import threading
import time

GANG_S = 3.0
HOLD_MAX_MS = 6_000
MOST_ENDS = 500


class Run:
    """One run of a task on one worker."""

    def __init__(self, *, worker, task, number, work, saved_s, began):
        self.worker = worker
        self.task = task
        self.number = number
        self.work = work
        self.saved_s = saved_s  # progress that it began with
        self.began = began
        self.works_from = None
        self.is_stopping = False
        self.has_ended = False

    def get_progress_s(self, at):
        """Return the seconds of work that are done."""
        if self.works_from is None:
            return self.saved_s
        worked_s = max(0.0, at - self.works_from)
        return min(self.work.seconds, self.saved_s + worked_s)

    def get_checkpoint(self, at, save_s):
        """Return the newest checkpoint, "" if there is none."""
        if not self.work.saves:
            return ""
        saved_s = self.get_progress_s(at) // save_s * save_s
        saved_s = max(saved_s, self.saved_s)
        return f"{int(saved_s * 1000):08x}" if saved_s else ""


class Worker:
    """One worker; `start_life` begins each of its lives."""

    def __init__(self, *, number, zone, rack, capacity):
        self.number = number
        self.zone = zone
        self.rack = rack
        self.capacity = capacity
        self.id = f"i-{number:03d}"
        self.is_up = False
        self.life = 0

    def start_life(self, *, at, rate):
        """Forget everything, as a process that starts anew."""
        self.life = max(self.life + 1, int(time.time() * 1000))
        self.booted = at
        self.rate = rate
        self.fence = 0
        self.lease_until = None
        self.runs = {}  # (task, number): Run
        self.ended = []
        self.highest = {}  # task: number of the latest run stopped or ended
        self.last_number = 0
        self.is_up = True
        self.leaves_at = None

    def get_clock_ms(self, at):
        """Return this worker's clock."""
        return (at - self.booted) * self.rate * 1000

    def find_time(self, clock_ms):
        """Return the time at which this worker's clock shows `clock_ms`."""
        return self.booted + clock_ms / 1000 / self.rate


class Fleet:
    """All workers of a process.

    Args:
        write: Function that writes a record, as `Recorder.write`.
        on_change: Called with a worker that listed an end or went down.
        stop_s: Time that a stop takes.
        save_s: Work between two checkpoints.
        restore_s: Time until a run that resumes works.
    """

    def __init__(self, *, write, on_change, stop_s, save_s=0.5, restore_s=0.25):
        self.lock = threading.RLock()
        self._write = write
        self._on_change = on_change
        self._stop_s = stop_s
        self._save_s = save_s
        self._restore_s = restore_s
        self._due = []
        self._order = itertools.count()
        self._gangs = {}

    def advance(self, now):
        """Carry out all that is due until `now`."""
        while self._due and self._due[0][0] <= now:
            at, _, act = heapq.heappop(self._due)
            act(at)

    def get_next_time(self):
        """Return when something is due next, None if nothing is."""
        return self._due[0][0] if self._due else None

    def boot(self, worker, *, at, rate):
        """Start a life of a worker."""
        worker.start_life(at=at, rate=rate)
        cpu, mem_mb, gpu = worker.capacity
        self._write(
            "worker_up",
            at=at,
            worker=worker.id,
            life=worker.life,
            zone=worker.zone,
            cpu=cpu,
            mem_mb=mem_mb,
            gpu=gpu,
            rate=rate,
        )

    def end_life(self, worker, *, at, how):
        """End a life with all its runs; `how` is "crash" or "left"."""
        worker.is_up = False
        self._write(
            "worker_down", at=at, worker=worker.id, life=worker.life, how=how
        )
        for run in list(worker.runs.values()):
            run.has_ended = True
            self._break_gang(run, at)
        worker.runs = {}
        self._on_change(worker)

    def extend_lease(self, worker, deadline_ms, *, at):
        """Take a lease, which never shortens the one that holds."""
        clock_ms = worker.get_clock_ms(at)
        if deadline_ms <= clock_ms:
            return
        until = worker.find_time(min(deadline_ms, clock_ms + HOLD_MAX_MS))
        if worker.lease_until is None:
            worker.lease_until = until
            self._watch_lease(worker, until)
        else:
            worker.lease_until = max(worker.lease_until, until)

    def start(self, worker, *, task, number, work, saved, at, **fields):
        """Begin a run."""
        run = Run(
            worker=worker,
            task=task,
            number=number,
            work=work,
            saved_s=int(saved or "0", 16) / 1000,
            began=at,
        )
        worker.runs[task, number] = run
        self._write(
            "start",
            at=at,
            worker=worker.id,
            life=worker.life,
            task=task,
            run=number,
            gang=bool(work.members),
            **fields,
        )
        if work.members:
            self._join_gang(run, at)
        else:
            self._begin_work([run], at)

    def stop(self, worker, *, task, number, at):
        """Stop a run, or prevent its start."""
        run = worker.runs.get((task, number))
        if run is None:
            known = worker.highest.get(task, 0)
            worker.highest[task] = max(known, number)
        elif not run.is_stopping:
            run.is_stopping = True
            self._plan(at + self._stop_s, lambda at: self._end_stop(run, at))

    def note_ends(self, worker, last_seen, *, at):
        """Forget the ends up to a number."""
        noted = [row[0] for row in worker.ended if row[0] <= last_seen]
        if noted:
            worker.ended = worker.ended[len(noted) :]
            self._write(
                "ends_noted",
                at=at,
                worker=worker.id,
                life=worker.life,
                numbers=noted,
            )

    def list_runs(self, worker, *, at):
        """Return the rows of `running` and of `ended_runs`."""
        running = []
        for run in worker.runs.values():
            share = run.get_progress_s(at) / run.work.seconds
            percent = int(100 * share)
            if run.work.lasts:
                percent = 100 if run.works_from and at > run.works_from else 0
            checkpoint = run.get_checkpoint(at, self._save_s)
            running.append([run.task, run.number, checkpoint, percent, 0])
        return running, worker.ended[:MOST_ENDS]

    def _plan(self, at, act):
        heapq.heappush(self._due, (at, next(self._order), act))

    def _watch_lease(self, worker, until):
        life = worker.life

        def check(at):
            if worker.life != life or not worker.is_up:
                return
            if worker.lease_until > at:
                self._watch_lease(worker, worker.lease_until)
                return
            worker.lease_until = None
            self._write("lease_lapsed", at=at, worker=worker.id, life=life)
            for run in list(worker.runs.values()):
                self._end(run, at, "lapsed")

        self._plan(until, check)

    def _begin_work(self, runs, at):
        """Let runs work that end together, or one by itself."""
        saved_s = min(run.saved_s for run in runs)
        begins = at + (self._restore_s if saved_s else 0.0)
        work = runs[0].work
        left_s = max(0.01, work.seconds - saved_s)
        for run in runs:
            run.saved_s = saved_s
            run.works_from = begins
        if work.fails:
            failed = runs[0]
            end = begins + left_s / 2
            self._plan(end, lambda at: self._end_work([failed], at, "failed"))
        elif not work.lasts:
            end = begins + left_s
            self._plan(end, lambda at: self._end_work(runs, at, "done"))

    def _end_work(self, runs, at, how):
        if any(run.has_ended or run.is_stopping for run in runs):
            return
        for run in runs:
            run.has_ended = True
        for run in runs:
            self._list_end(run, at, how)
        if how != "done":
            self._break_gang(runs[0], at)

    def _end_stop(self, run, at):
        if not run.has_ended:
            self._end(run, at, "stopped")

    def _end(self, run, at, how):
        run.has_ended = True
        self._list_end(run, at, how)
        self._break_gang(run, at)

    def _list_end(self, run, at, how):
        worker = run.worker
        checkpoint = run.get_checkpoint(at, self._save_s)
        worker.runs.pop((run.task, run.number), None)
        known = worker.highest.get(run.task, 0)
        worker.highest[run.task] = max(known, run.number)
        worker.last_number += 1
        row = [worker.last_number, run.task, run.number, how, checkpoint]
        worker.ended.append(row)
        self._write(
            "end",
            at=at,
            worker=worker.id,
            life=worker.life,
            task=run.task,
            run=run.number,
            how=how,
            number=worker.last_number,
        )
        self._on_change(worker)

    def _join_gang(self, run, at):
        key = (run.task.rpartition(".")[0], run.number)
        members = self._gangs.setdefault(key, {})
        members[run.task] = run
        if len(members) == run.work.members:
            self._begin_work(list(members.values()), at)
        else:
            self._plan(at + GANG_S, lambda at: self._end_wait(run, at))

    def _end_wait(self, run, at):
        is_waiting = run.works_from is None and not run.is_stopping
        if is_waiting and not run.has_ended:
            self._end(run, at, "alone")

    def _break_gang(self, run, at):
        key = (run.task.rpartition(".")[0], run.number)
        members = self._gangs.pop(key, {}) if run.work.members else {}
        for other in members.values():
            if not other.has_ended:
                other.has_ended = True
                self._list_end(other, at, "broken")
