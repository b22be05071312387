"""Drawn faults in series; no worker may ever be over its capacity."""

import random

import gevent
import pytest

from chervilcove.control import commands
from chervilcove.control import fences
from chervilcove.control import sessions
from chervilcove.jobs import specs
from chervilcove.jobs import table
from tests.control import system as systems

NAMES = "abc"
PLAY_S = 8.0
SEEDS = range(4)


class Play:
    """Jobs that fill the workers, while faults and hand-overs overlap."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.system = systems.System(workers=4)
        self.workers = list(self.system.fleet.workers.values())
        self.entries = {name: self.system.add_entry(name) for name in NAMES}
        self.job_count = 0

    def run(self):
        for worker in self.workers:
            worker.stop_delay_s = 0.6
        steps = [
            self.submit,
            self.submit,
            self.end_task,
            self.end_task,
            self.cancel,
            self.cut_worker,
            self.lose_starts,
            self.restart_worker,
            self.hand_over,
            self.kill_owner,
            self.drop_history,
        ]
        deadline = gevent.get_hub().loop.now() + PLAY_S
        while gevent.get_hub().loop.now() < deadline:
            self.random.choice(steps)()
            gevent.sleep(self.random.choice([0.0, 0.02, 0.1]))

    def submit(self):
        entry = self.entries[self.random.choice(NAMES)]
        if not entry.job_api._follower.is_current:
            return
        self.job_count += 1
        accelerators = self.random.choice([1, 4, 8])
        spec = systems.build_spec(
            count=self.random.choice([1, 2, 3]),
            is_gang=self.random.random() < 0.3,
            need=specs.Resources(1000, 1024, accelerators),
        )
        queue = self.random.choice(["urgent", "batch", "batch"])
        job = f"{self.job_count:016x}"
        gevent.spawn(self.system.submit, entry, job, spec, queue)

    def end_task(self):
        worker = self.random.choice(self.workers)
        if worker.running:
            task = self.random.choice(sorted(worker.running))
            worker.end(task, self.random.choice(["done", "done", "failed"]))

    def cancel(self):
        if self.job_count:
            job = f"{self.random.randint(1, self.job_count):016x}"
            entry = self.entries[self.random.choice(NAMES)]
            gevent.spawn(entry.job_api.cancel, job=job, time_left_s=2.0)

    def cut_worker(self):
        worker = self.random.choice(self.workers)
        worker.is_cut = True
        gevent.spawn_later(
            self.random.choice([0.3, 1.0, 2.0]), self.reconnect, worker
        )

    def reconnect(self, worker):
        worker.is_cut = False

    def lose_starts(self):
        worker = self.random.choice(self.workers)
        worker.swallow_starts = self.random.choice([1, 2, 4])
        gevent.spawn_later(self.random.choice([0.1, 0.7]), worker.run_late)

    def restart_worker(self):
        if self.random.random() < 0.2:
            worker = self.random.choice(self.workers)
            worker.crash()
            self.system.fleet.restart(worker.report.id)

    def find_owner(self):
        for name, entry in self.entries.items():
            if entry._owner is not None:
                return name, entry
        return None, None

    def hand_over(self):
        name, entry = self.find_owner()
        if entry is not None and self.random.random() < 0.5:
            entry._election.resign()
            self.replace(name, entry)

    def kill_owner(self):
        name, entry = self.find_owner()
        if entry is not None and self.random.random() < 0.2:
            self.replace(name, entry)

    def replace(self, name, entry):
        entry.kill()
        self.system.entries.remove(entry)
        self.entries[name] = self.system.add_entry(name)

    def drop_history(self):
        self.system.ledger.lapse()


class TestCapacity:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_no_worker_is_over_its_capacity(self, monkeypatch, seed):
        # A successor took the room of runs for free that it didn't track.
        monkeypatch.setattr(sessions, "LEASE_MS", 1_000)
        monkeypatch.setattr(commands, "START_VALID_MS", 800)
        play = Play(seed)
        try:
            play.run()
            starts = play.system.list_starts()
            followers = [one._follower for one in play.entries.values()]
        finally:
            play.system.kill_all()
        assert len(starts) > 20
        second_epoch = fences.compute_next_epoch(systems.FIRST_EPOCH)
        assert any(one.table.epoch > second_epoch for one in followers)
        assert any(
            job.get_state() is table.JobState.DONE
            for one in followers
            for job in one.table.jobs.values()
        )
