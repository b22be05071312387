"""Plays: jobs that run while drawn faults and hand-overs overlap."""

import random

import gevent

from chervilcove.jobs import records
from chervilcove.jobs import specs
from chervilcove.jobs import table
from tests.control import fault_profiles
from tests.control import run_judge
from tests.control import strict_standins
from tests.control import system as systems

NAMES = "abc"
PLAY_S = 11.0
# Draws per play; the last ones follow its end, so that all plans are as long.
STEPS = 145
POLL_S = 0.08  # between two looks of callers at all jobs
GANG_WAIT_S = 0.8  # a gang that isn't complete by then ends
BROKEN_DELAY_S = 0.02  # from the end of one member to that of the others


class Play:
    """Jobs that run while drawn faults and hand-overs overlap."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.profile = list(fault_profiles.PROFILES)[
            seed % len(fault_profiles.PROFILES)
        ]
        self.plan = self.draw_plan()
        self.judge = run_judge.RunJudge()
        self.judge.on_start = self.handle_start
        self.judge.on_end = self.handle_end
        self.ledger = strict_standins.StrictLedger(
            random=random.Random(f"ledger {seed}")
        )
        self.system = systems.System(workers=6, ledger=self.ledger)
        fleet = self.system.fleet
        for name, report in fleet.reports.items():
            worker = strict_standins.StrictWorker(
                report=report, observer=self.judge
            )
            worker.get_need = self.get_need
            fleet.workers[name] = worker
        self.workers = list(fleet.workers.values())
        self.specs = {}
        self.senders = {}
        self.gangs_to_split = 0
        self.starting = set()  # names of entries
        self.views = {}
        self.entries = {}
        for name in NAMES:
            self.add_entry(name)
        self.greenlets = []

    def draw_plan(self):
        """Return the pause before each step, the step, and its own draws."""
        steps = [
            getattr(self, name)
            for name, weight in fault_profiles.PROFILES[self.profile].items()
            for _ in range(weight)
        ]
        return [
            (
                self.random.choice([0.02, 0.08, 0.15]),
                self.random.choice(steps),
                random.Random(self.random.random()),
            )
            for _ in range(STEPS)
        ]

    def run(self):
        self.spawn(self.poll)
        loop = gevent.get_hub().loop
        deadline = loop.now() + PLAY_S
        for pause_s, step, drawn in self.plan:
            if loop.now() > deadline:
                break
            step(drawn)
            gevent.sleep(pause_s)

    def close(self):
        while self.starting:
            gevent.sleep(0.01)
        for greenlet in self.greenlets:
            greenlet.kill(block=False)
        for worker in self.workers:
            worker.close_watch()
        self.system.kill_all()

    def spawn(self, function, *arguments, after_s=0.0):
        self.greenlets.append(gevent.spawn_later(after_s, function, *arguments))

    def add_entry(self, name):
        ledger = strict_standins.EntryLedger(self.ledger)
        connector = strict_standins.EntryConnector(self.system.fleet)
        self.views[name] = (ledger, connector)
        self.entries[name] = self.system.add_entry(
            name, ledger=ledger, connector=connector
        )

    def replace(self, name):
        if name in self.starting:
            return
        entry = self.entries[name]
        entry.kill()
        self.system.entries.remove(entry)
        self.starting.add(name)
        self.add_entry(name)
        self.starting.discard(name)

    def find_owner(self):
        """Return an entry that takes itself for the owner, None without one."""
        for name, entry in self.entries.items():
            if entry._owner is not None:
                return name
        return None

    def submit(self, drawn):
        """Submit a job of one or two steps, maybe at two entries at once."""
        need = specs.Resources(1000, 1024, drawn.choice([1, 2, 4]))
        first = specs.Step(
            drawn.choice([1, 1, 1, 2, 4]),
            need,
            500,
            is_gang=drawn.random() < 0.5,
            most_per_worker=drawn.choice([0, 1]),
        )
        steps = (first,)
        if drawn.random() < 0.25:
            steps += (specs.Step(2, need, 500, after=(0,)),)
        names = drawn.sample(NAMES, drawn.choice([1, 1, 1, 2]))
        self.submit_steps(drawn, steps, names)

    def submit_steps(self, drawn, steps, names):
        job = f"{len(self.specs) + 1:016x}"
        self.specs[job] = specs.JobSpec("payload", steps)
        queue = drawn.choice(["urgent", "batch", "batch"])
        self.senders[job] = records.Sender(queue, systems.SENDER.customer)
        for name in names:
            entry = self.entries[name]
            if entry.job_api._follower.is_current:
                self.spawn(
                    self.system.submit, entry, job, self.specs[job], queue
                )

    def cancel(self, drawn):
        if self.specs:
            job = drawn.choice(list(self.specs))
            entry = self.entries[drawn.choice(NAMES)]
            self.spawn(
                lambda: entry.job_api.cancel(
                    job=job, sender=self.senders[job], time_left_s=2.0
                )
            )

    def poll(self):
        """Record which jobs any entry shows as done."""
        while True:
            for entry in list(self.entries.values()):
                known = entry.job_api._follower.table.jobs
                for job in known.values():
                    if job.get_state() is table.JobState.DONE:
                        self.judge.record_shown(job.id)
            gevent.sleep(POLL_S)

    # Tasks: how they end is drawn by their name and run.

    def get_step(self, task):
        key = table.parse_unit_key(task)
        return self.specs[key.job].steps[key.step]

    def get_need(self, task):
        return self.get_step(task).need

    def handle_start(self, worker, task, run):
        step = self.get_step(task)
        unit = task.rpartition(".")[0] if step.is_gang else task
        drawn = random.Random(f"{unit} {run}")
        lasts_s = drawn.choice([0.05, 0.2, 0.5, 1.0, 1.5])
        how = drawn.choice(["done"] * 6 + ["failed"])
        if not step.is_gang:
            self.spawn(self.end_task, worker, task, run, how, after_s=lasts_s)
            return
        if len(self.find_members(unit, run)) == step.count:
            self.spawn(self.end_gang, unit, run, how, after_s=lasts_s)
        self.spawn(self.end_alone, unit, run, after_s=GANG_WAIT_S)

    def handle_end(self, worker, task, run, how):
        if self.get_step(task).is_gang and how != "done":
            unit = task.rpartition(".")[0]
            self.spawn(self.break_gang, unit, run, after_s=BROKEN_DELAY_S)

    def find_members(self, unit, run):
        return [
            (worker, task)
            for worker in self.workers
            for task, number in worker.running.items()
            if number == run and task.rpartition(".")[0] == unit
        ]

    def end_task(self, worker, task, run, how):
        if worker.running.get(task) == run:
            worker.end(task, how)

    def end_gang(self, unit, run, how):
        members = self.find_members(unit, run)
        if how == "failed":
            members = members[:1]
        elif len(members) < self.get_step(f"{unit}.0").count:
            return
        elif self.gangs_to_split:
            self.gangs_to_split -= 1
            for worker, _ in members[1:]:
                if worker is not members[0][0]:
                    self.cut_long(worker)
            self.spawn(self.kill_owner, after_s=0.1)
        for worker, task in members:
            worker.end(task, how)

    def end_alone(self, unit, run):
        started = sum(
            one.run == run and one.task.rpartition(".")[0] == unit
            for one in self.judge.starts
        )
        if started < self.get_step(f"{unit}.0").count:
            for worker, task in self.find_members(unit, run):
                worker.end(task, "alone")

    def break_gang(self, unit, run):
        for worker, task in self.find_members(unit, run):
            worker.end(task, "broken")

    def cut_worker(self, drawn):
        self.cut([drawn.choice(self.workers)], drawn.choice([0.2, 0.6, 1.0]))

    def cut_zone(self, drawn):
        """Cut off all workers of a data centre from all entries."""
        centre = drawn.choice(["dc0", "dc1"])
        found = [
            one for one in self.workers if one.report.data_centre == centre
        ]
        self.cut(found, drawn.choice([0.3, 0.9, 1.4]))

    def cut(self, workers, lasts_s):
        for worker in workers:
            worker.is_cut = True
        self.spawn(self.reconnect, workers, after_s=lasts_s)

    def reconnect(self, workers):
        for worker in workers:
            worker.is_cut = False

    def hand_over(self, _):
        name = self.find_owner()
        if name is not None:
            self.spawn(self.resign, name, self.entries[name])

    def resign(self, name, entry):
        entry._election.resign()
        if self.entries[name] is entry:
            self.replace(name)

    def kill_owner_at_append(self, drawn):
        """Kill the owner as it appends a certain record, stored or not."""
        self.set_trap(
            drawn,
            is_stored=drawn.random() < 0.6,
            on_append=lambda: self.spawn(self.kill_owner),
        )

    def drop_history_at_append(self, drawn):
        self.ledger.page_s = drawn.choice([0.01, 0.03, 0.06])
        self.set_trap(drawn, is_stored=True, on_append=self.ledger.lapse)

    def set_trap(self, drawn, **arguments):
        begin = drawn.choice(["u/", "e/", "j/", "owner"])
        is_drop = drawn.random() < 0.5 and begin != "owner"
        self.ledger.trap = strict_standins.Trap(
            matches=lambda key, value: (
                key.startswith(begin) and (not value) == is_drop
            ),
            **arguments,
        )

    def kill_owner(self):
        name = self.find_owner()
        if name is not None:
            self.replace(name)

    def lose_power(self, drawn):
        """Lose the owner and most workers while the ledger is silent.

        Some tasks are about to end then.
        """
        if self.find_owner() is None or self.ledger.mode:
            return
        need = specs.Resources(1000, 1024, 1)
        for _ in range(8):
            name = drawn.choice(NAMES)
            self.submit_steps(drawn, (specs.Step(1, need, 500),), [name])
        begin_s = drawn.choice([0.1, 0.3])
        end_s = begin_s + drawn.choice([0.6, 0.9, 1.2])
        self.spawn(self.silence_ledger, after_s=begin_s)
        self.spawn(self.kill_owner, after_s=end_s)
        lose = self.cut_long if drawn.random() < 0.25 else self.crash
        for worker in drawn.sample(self.workers, 5):
            self.spawn(lose, worker, after_s=end_s)
        self.spawn(self.mend_ledger, after_s=end_s + 0.1)

    def silence_ledger(self):
        self.ledger.mode = "silent"

    def split_gang(self, drawn):
        """Lose the owner and all members but one as a gang ends as done."""
        self.gangs_to_split = drawn.choice([1, 2])

    def cut_long(self, worker):
        self.cut([worker], 1.8)

    def crash(self, worker):
        worker.crash()
        self.spawn(self.system.fleet.restart, worker.report.id, after_s=0.2)

    def isolate_owner(self, drawn):
        """Cut off an owner from the ledger, and from some workers."""
        name = self.find_owner()
        if name is None:
            return
        ledger, connector = self.views[name]
        ledger.is_cut = True
        if drawn.random() < 0.5:
            names = sorted(self.system.fleet.workers)
            connector.cut_workers = set(drawn.sample(names, 3))
        lasts_s = drawn.choice([0.5, 1.2, 2.0])
        self.spawn(self.rejoin, ledger, connector, after_s=lasts_s)

    def rejoin(self, ledger, connector):
        ledger.is_cut = False
        connector.cut_workers = set()

    def break_ledger(self, drawn):
        self.ledger.mode = drawn.choice(["late", "lost", "silent"])
        self.ledger.late_s = drawn.choice([0.05, 0.3, 1.0])
        self.spawn(self.mend_ledger, after_s=drawn.choice([0.2, 0.5, 1.2]))

    def mend_ledger(self):
        self.ledger.mode = ""

    def drop_history(self, drawn):
        self.ledger.page_s = drawn.choice([0.001, 0.02, 0.05])
        self.ledger.lapse()

    def lose_starts(self, drawn):
        worker = drawn.choice(self.workers)
        worker.swallow_starts = drawn.choice([1, 2, 4])
        self.spawn(worker.run_late, after_s=drawn.choice([0.1, 0.7]))

    def lose_holds(self, drawn):
        worker = drawn.choice(self.workers)
        worker.late_holds = drawn.choice([0, 1, 2])
        worker.lost_answers = drawn.choice([0, 1, 2])

    def restart_worker(self, drawn):
        if drawn.random() < 0.4:
            self.crash(drawn.choice(self.workers))


def play_all(seeds):
    """Play all seeds at the same time; return the plays, by seed."""
    plays = {seed: Play(seed) for seed in seeds}
    try:
        gevent.joinall(
            [gevent.spawn(play.run) for play in plays.values()],
            raise_error=True,
        )
    finally:
        for play in plays.values():
            play.close()
    return plays
