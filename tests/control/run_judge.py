"""A judge of which tasks started again, by what workers and callers saw."""

import time

SHOWN_GRACE_S = 1.0  # an owner may start a task until then


class _Done:
    """An end `done` of one task.

    Attributes:
        noted_at: When its acknowledgement reached the worker, None before, or
            if the lease of the worker lapsed in between.
    """

    def __init__(self, *, task, run, worker):
        self.task = task
        self.run = run
        self.worker = worker.report.id
        self.at = time.monotonic()
        self.lapse_count = worker.lapse_count
        self.noted_at = None


class _Start:
    def __init__(self, *, task, run, worker):
        self.task = task
        self.run = run
        self.worker = worker.report.id
        self.at = time.monotonic()


class RunJudge:
    """Observe workers and callers, and list what ran once too often.

    Attributes:
        starts: All starts, in their order.
        dones: All ends `done`, in their order.
        running: Worker and run of what runs, by task.
        on_start: Called with the worker, task and run of each start.
        on_end: Called with the worker, task, run and outcome of each end.
    """

    def __init__(self):
        self.starts = []
        self.dones = []
        self.running = {}
        self.on_start = lambda worker, task, run: None
        self.on_end = lambda worker, task, run, how: None
        self._began = time.monotonic()
        self._workers = {}
        self._overlaps = []
        self._unread = {}
        self._shown_at = {}

    @property
    def noted_count(self):
        return sum(done.noted_at is not None for done in self.dones)

    def record_start(self, worker, task, run):
        start = _Start(task=task, run=run, worker=worker)
        self._workers[worker.report.id] = worker
        running = self.running.setdefault(task, set())
        for other, _ in list(running):
            # Its lease may have lapsed since it looked.
            self._workers[other].check_lease()
        self._overlaps += [(start, other) for other in running]
        running.add((worker.report.id, run))
        self.starts.append(start)
        self.on_start(worker, task, run)

    def record_end(self, worker, end, run):
        self.running[end.task].discard((worker.report.id, run))
        if end.how == "done":
            done = _Done(task=end.task, run=run, worker=worker)
            self.dones.append(done)
            self._unread[worker.report.id, worker.report.life, end.number] = (
                done
            )
        self.on_end(worker, end.task, run, end.how)

    def record_crash(self, worker):
        for running in self.running.values():
            for one in list(running):
                if one[0] == worker.report.id:
                    running.discard(one)

    def record_note(self, worker, end):
        key = (worker.report.id, worker.report.life, end.number)
        done = self._unread.pop(key, None)
        if done is not None and done.lapse_count == worker.lapse_count:
            done.noted_at = time.monotonic()

    def record_shown(self, job):
        self._shown_at.setdefault(job, time.monotonic())

    def list_breaks(self):
        """Return each break of the rule, as text."""
        dones = {}
        for done in self.dones:
            if done.noted_at is not None:
                dones.setdefault(done.task, []).append(done)
        found = [
            f"{self._describe(start)} while {other} ran"
            for start, other in self._overlaps
        ]
        for start in self.starts:
            found += [
                f"{self._describe(start)} after run {done.run} ended as done "
                f"at {done.at - self._began:.2f} on {done.worker}, noted at "
                f"{done.noted_at - self._began:.2f}"
                for done in dones.get(start.task, ())
                if done.at < start.at
            ]
            job = start.task.partition(".")[0]
            shown_at = self._shown_at.get(job, start.at)
            if start.at > shown_at + SHOWN_GRACE_S:
                found.append(
                    f"{self._describe(start)} after its job was shown as done "
                    f"at {shown_at - self._began:.2f}"
                )
        return found

    def _describe(self, start):
        return (
            f"{start.task} run {start.run} started on {start.worker} at "
            f"{start.at - self._began:.2f}"
        )
