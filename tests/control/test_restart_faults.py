"""Workers that start again under their ids, with late calls, in drawn order."""

import random
import time

import gevent
from gevent import pool
import pytest

from chervilcove.control import commands
from chervilcove.control import sessions
from tests.control import system as systems

STEPS = 120
MIN_STARTS = 12
SEEDS = range(3)
LEASE_S = 1.0
MAX_CALL_DELAY_S = 3.0


class Play:
    """Tasks on workers that crash, are cut off and carry calls out late."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.system = systems.System(workers=3)
        self.workers = list(self.system.fleet.workers.values())
        for worker in self.workers:
            worker.lease_limit_ms = int(LEASE_S * 1000)
            worker.clock_start = time.monotonic() - 1_000.0
        self.entry = self.system.add_entry("a")
        self.job_count = 0
        self.faults = pool.Group()

    def run(self):
        steps = [
            self.submit,
            self.submit,
            self.submit,
            self.end_task,
            self.restart_worker,
            self.restart_worker,
            self.cut_worker,
            self.lose_starts,
        ]
        steps_left = STEPS
        while steps_left > 0 or len(self.system.list_starts()) < MIN_STARTS:
            steps_left -= 1
            self.random.choice(steps)()
            gevent.sleep(self.random.choice([0.0, 0.05, 0.2]))

    def submit(self):
        if self.entry._owner is None or not self.entry._follower.is_current:
            return
        self.job_count += 1
        spec = systems.build_spec(
            count=self.random.choice([1, 2]),
            is_gang=self.random.random() < 0.2,
        )
        job = f"{self.job_count:016x}"
        self.faults.spawn(self.system.submit, self.entry, job, spec)

    def end_task(self):
        worker = self.random.choice(self.workers)
        if worker.running and not worker.is_cut:
            worker.end(self.random.choice(sorted(worker.running)), "failed")

    def restart_worker(self):
        worker = self.random.choice(self.workers)
        if not worker.is_cut:
            self.faults.spawn(self.restart_with_late_calls, worker)

    def restart_with_late_calls(self, worker):
        """Crash a worker that has not answered, and cut off its next process.

        The calls are carried out behind the cut.
        """
        worker.swallow_renewals = worker.swallow_starts = 1
        while worker.swallow_renewals:
            gevent.sleep(0.05)
        gevent.sleep(self.random.choice([0.0, 0.3]))
        if worker.is_cut:
            return
        worker.crash()
        worker.swallow_starts = 0
        gevent.sleep(self.random.choice([0.0, 0.3, 0.6]))
        self.system.fleet.restart(worker.report.id)
        gevent.sleep(self.random.choice([0.5, 1.0]))
        if worker.is_cut:
            return
        worker.is_cut = True
        gevent.sleep(0.7 * LEASE_S)
        self.run_late(worker)
        gevent.sleep(self.random.choice([0.3, 2.0]))
        worker.is_cut = False

    def cut_worker(self):
        worker = self.random.choice(self.workers)
        if worker.is_cut or self.random.random() < 0.5:
            return
        worker.is_cut = True
        self.faults.spawn(
            self.reconnect, worker, self.random.choice([0.5, 2.0])
        )

    def reconnect(self, worker, delay_s):
        gevent.sleep(delay_s)
        worker.is_cut = False
        self.run_late(worker)

    def lose_starts(self):
        self.random.choice(self.workers).swallow_starts = 2

    def run_late(self, worker):
        """Carry out the calls that the worker kept.

        A process that no renewal has reached can't tell calls apart; it gets
        none of them here.
        """
        if worker.fence:
            worker.run_late()
        worker.late.clear()


class TestRestarts:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_no_task_runs_twice_at_once(self, monkeypatch, seed):
        # Leases and starts for one process of a worker reached the next one.
        monkeypatch.setattr(sessions, "LEASE_MS", int(LEASE_S * 1000))
        monkeypatch.setattr(commands, "START_VALID_MS", 800)
        monkeypatch.setattr(sessions, "MAX_CALL_DELAY_S", MAX_CALL_DELAY_S)
        play = Play(seed)
        try:
            play.run()
            overlaps = play.system.list_overlaps()
            lives = [worker.report.life for worker in play.workers]
        finally:
            play.faults.kill()
            play.system.kill_all()
        assert sum(lives) > len(lives)
        assert overlaps == []
