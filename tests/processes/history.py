"""What a record says, put in order for the rules of the judge.

All times are CLOCK_MONOTONIC seconds. What comes after the first `shutdown` is
left out.
"""

import collections
import math
from typing import NamedTuple

from tests.processes import disturbances

CALLER_PATIENCE_S = 5.0  # a DELETE was sent at most so long before its answer


class Bounds(NamedTuple):
    """Times that are promised, in seconds, and other constants.

    The `plan` line may change any of them in a field `bounds`.

    Attributes:
        contact_s: How long a machine must be undisturbed to be in touch.
        retake_s: Time after a noted or shown end until a start is a break.
        gang_s: How long a run of a gang waits for all members.
        idle_s: How long a job must not run at the end to count as lost.
        attempts: Failed runs that a task may have: a number, or numbers by
            queue. BUDGET isn't judged for a queue that isn't named.
    """

    contact_s: float = 3.0
    retake_s: float = 1.0
    cancel_s: float = 3.0
    stop_s: float = 0.9
    drain_s: float = 2.0
    gang_s: float = 3.0
    visible_s: float = 3.0
    status_s: float = 120.0
    idle_s: float = 10.0
    attempts: int | dict = 3

    def get_attempts(self, queue):
        if isinstance(self.attempts, dict):
            return self.attempts.get(queue, math.inf)
        return self.attempts


class Run:
    """One run of a task on one life of a worker.

    Attributes:
        end: When it ended; infinity if it did not.
        how: How it ended; `lapsed` or `lost` if only its lease or its worker
            tells.
        noted: When its end was taken note of; infinity if never, or if the
            worker's lease had lapsed since the end.
        orders: Lines of the orders for it.
    """

    def __init__(self, event):
        self.worker = event["worker"]
        self.life = event["life"]
        self.task = event["task"]
        self.number = event["run"]
        self.fence = event.get("fence", 0)
        self.is_late = bool(event.get("late"))
        self.is_gang = bool(event.get("gang"))
        self.spec = event.get("spec")
        self.start = event["at"]
        self.end = math.inf
        self.how = ""
        self.noted = math.inf
        self.orders = []

    @property
    def place(self):
        return self.worker, self.life

    @property
    def job(self):
        return self.task.split(".")[0]

    def list_start_orders(self):
        """Return the orders that may have started it."""
        return [
            order
            for order in self.orders
            if order["path"] == "run-start"
            and not order.get("refused")
            and order.get("fence", self.fence) == self.fence
        ]

    def get_sender(self):
        """Return the entry that started it; None if that isn't certain."""
        entries = {order["entry"] for order in self.list_start_orders()}
        return entries.pop() if len(entries) == 1 else None

    @property
    def is_noted(self):
        return self.noted < math.inf

    def overlaps(self, other):
        return self.start < other.end and other.start < self.end


class Job:
    """What callers sent and saw of one job.

    Attributes:
        at: When it was first sent.
        steps: Its steps as submitted.
        spec: Its spec; None if the record doesn't tell.
        answers: All `answer` lines.
        calls: How many calls of each kind were sent; empty if not recorded.
        cancel_sent: When a DELETE was first sent, or at the latest; infinity
            if never.
    """

    def __init__(self, event):
        self.name = event["job"]
        self.at = event["at"]
        self.queue = event.get("queue", "")
        self.steps = event["steps"]
        self.spec = event.get("spec")
        self.answers = []
        self.calls = collections.Counter()
        self.cancel_sent = math.inf

    def get_step(self, task):
        """Return the step of a task; None if the job has no such task."""
        parts = task.split(".")
        if len(parts) != 4 or parts[1] != "0":
            return None
        if not (parts[2].isdecimal() and parts[3].isdecimal()):
            return None
        step, index = int(parts[2]), int(parts[3])
        if step >= len(self.steps) or index >= self.steps[step]["count"]:
            return None
        return self.steps[step]

    def list_units(self, step):
        """Return what has to end `done`: tasks, or the one gang of a step."""
        prefix = f"{self.name}.0.{step}"
        if self.steps[step].get("gang"):
            return [prefix]
        return [f"{prefix}.{i}" for i in range(self.steps[step]["count"])]

    def find_answer(self, call, *states):
        """Return when a call first succeeded; with `states`, in one of them.

        Args:
            call: The call; empty for any.
            *states: States that count; none for any.
        """
        return min(
            (
                answer["at"]
                for answer in self.answers
                if call in ("", answer["call"])
                and 200 <= (answer.get("status") or 0) < 300
                and (not states or answer.get("state") in states)
            ),
            default=math.inf,
        )


class History:
    """All that a record says.

    Attributes:
        runs: All runs in the order of their starts.
        runs_by_unit: Runs of each task; for a gang, those of all members.
        runs_by_place: Runs on each life of a worker.
        runs_by_job: Runs of each job.
        workers: `worker_up` lines by worker and life.
        downs: Ends of lives.
        last: Time of the last event that counts.
    """

    def __init__(self, events):
        self.bounds = _read_bounds(events)
        self.disturbances = disturbances.Disturbances(
            contact_s=self.bounds.contact_s
        )
        self.seed = None
        self.runs = []
        self.runs_by_task = collections.defaultdict(list)
        self.runs_by_unit = collections.defaultdict(list)
        self.runs_by_place = collections.defaultdict(list)
        self.runs_by_job = collections.defaultdict(list)
        self.jobs = {}
        self.workers = {}
        self.downs = {}
        self.claims = []
        self.last = 0.0
        self._seen = {}
        self._lives = {}
        self._draining = {}
        self._lapses = collections.defaultdict(list)
        self._ends = {}
        self._runs_by_key = {}
        self._orders = collections.defaultdict(list)
        for event in events:
            self.last = event["at"]
            if event["kind"] == "shutdown":
                break
            if "worker" in event and "life" in event:
                self._seen[event["worker"], event["life"]] = event["at"]
            handler = getattr(self, f"_add_{event['kind']}", None)
            if handler is not None:
                handler(event)
        self._finish_draining()
        self.disturbances.finish()
        for run in self.runs:
            self._finish_run(run)
            self.runs_by_task[run.task].append(run)
            self.runs_by_job[run.job].append(run)
            self.runs_by_unit[self.get_unit(run)].append(run)

    def get_step(self, run):
        """Return the step of a run; None if it isn't known."""
        job = self.jobs.get(run.job)
        return None if job is None else job.get_step(run.task)

    def get_unit(self, run):
        """Return what ends as one: the task, or the step of a gang."""
        step = self.get_step(run) or {}
        if run.is_gang or step.get("gang"):
            return run.task.rsplit(".", 1)[0]
        return run.task

    def get_draining(self, place):
        """Return when a life said that it drains; infinity if never."""
        return self._draining.get(place, math.inf)

    def is_in_touch(self, run, *, since=None, until=None):
        """Return whether the sender of a run was certainly in touch.

        The worker must be undisturbed too, as an order isn't late if it was
        held up on its way.

        Args:
            run: The run.
            since: Since when, the start by default.
            until: Until when, the start by default.
        """
        sender = run.get_sender()
        begin = run.start if since is None else min(since, run.start)
        end = run.start if until is None else until
        return sender is not None and all(
            self.disturbances.is_undisturbed(name, begin, end)
            for name in (sender, run.worker)
        )

    def _finish_draining(self):
        """Let no time be calm while a worker drains."""
        for place, begin in self._draining.items():
            end = self.downs.get(place, math.inf)
            self.disturbances.add_span(begin, end)

    def _finish_run(self, run):
        lapses = self._lapses[run.place]
        lapsed = next((at for at in lapses if at >= run.start), math.inf)
        down = self.downs.get(run.place, math.inf)
        for at, how in ((lapsed, "lapsed"), (down, "lost")):
            if at < run.end:
                run.end, run.how = at, how
        if any(run.end <= at <= run.noted for at in lapses):
            run.noted = math.inf
        orders = self._orders[run.worker, run.task, run.number]
        run.orders = [o for o in orders if o.get("life") == run.life]
        if not run.list_start_orders():
            # It was meant for an earlier life, or the life wasn't recorded.
            run.orders = orders

    def _add_plan(self, event):
        self.seed = event.get("seed", self.seed)

    def _add_worker_up(self, event):
        place = event["worker"], event["life"]
        for earlier, seen in self._seen.items():
            # A life without a last line was over when it was last seen.
            if earlier[0] == place[0] and earlier != place:
                self.downs.setdefault(earlier, seen)
        self.workers[place] = event
        self._lives[event["worker"]] = event["life"]
        self.disturbances.add_name(event["worker"], event.get("zone"))

    def _add_worker_down(self, event):
        self.downs.setdefault((event["worker"], event["life"]), event["at"])
        self.disturbances.add_moment(event["at"])

    def _add_start(self, event):
        run = Run(event)
        self.runs.append(run)
        self.runs_by_place[run.place].append(run)
        self._runs_by_key[(*run.place, run.task, run.number)] = run

    def _add_end(self, event):
        key = event["worker"], event["life"], event["task"], event["run"]
        run = self._runs_by_key.get(key)
        if run is not None and not run.how:
            run.end, run.how = event["at"], event["how"]
            self._ends[(*run.place, event["number"])] = run

    def _add_lease_lapsed(self, event):
        self._lapses[event["worker"], event["life"]].append(event["at"])
        self.disturbances.add_moment(event["at"])

    def _add_ends_noted(self, event):
        for number in event["numbers"]:
            key = event["worker"], event["life"], number
            run = self._ends.get(key)
            if run is not None:
                run.noted = min(run.noted, event["at"])

    def _add_draining(self, event):
        life = event.get("life", self._lives.get(event["worker"]))
        self._draining.setdefault((event["worker"], life), event["at"])

    def _add_order(self, event):
        key = event["worker"], event.get("task"), event.get("run")
        if event["path"] in ("run-start", "run-stop"):
            self._orders[key].append(event)
        if event.get("fate", "normal") != "normal":
            names = event["entry"], event["worker"]
            self.disturbances.add_moment(event["at"], *names)

    def _add_job(self, event):
        self.jobs.setdefault(event["job"], Job(event))

    def _add_call(self, event):
        job = self.jobs.get(event["job"])
        if job is not None:
            job.calls[event["call"]] += 1
            if event["call"] == "delete":
                job.cancel_sent = min(job.cancel_sent, event["at"])

    def _add_answer(self, event):
        job = self.jobs.get(event["job"])
        if job is not None:
            job.answers.append(event)
            if event["call"] == "delete" and not job.calls["delete"]:
                sent = event["at"] - CALLER_PATIENCE_S
                job.cancel_sent = min(job.cancel_sent, sent)

    def _add_fault(self, event):
        self.disturbances.add_fault(event)

    def _add_entry_up(self, event):
        self.disturbances.add_name(event["entry"], event.get("zone"))
        self.disturbances.add_moment(event["at"], event["entry"])

    def _add_entry_down(self, event):
        self.disturbances.add_moment(event["at"], event["entry"])

    def _add_claim(self, event):
        self.claims.append(event)


def _read_bounds(events):
    changes = {}
    for event in events:
        if event["kind"] == "plan":
            changes.update(event.get("bounds") or {})
    known = {
        name: value for name, value in changes.items() if name in Bounds._fields
    }
    return Bounds(**known)
