import gevent

from chervilcove.control import fleet as fleets
from chervilcove.control import sessions
from chervilcove.jobs import specs
from tests.control import system as systems


class TestSessions:
    def test_sessions_with_many_workers_are_opened_one_after_the_other(self):
        # All at once, 270 sessions kept a new owner from its heartbeats.
        count = 3 * fleets.SESSIONS_AT_ONCE
        system = systems.System(workers=count)
        try:
            first = system.add_entry("a")
            job = "00000000000000aa"
            system.submit(first, job, systems.build_spec())
            busy = system.wait_for_run(f"{job}.0.0.0").report.id
            first.kill()
            entry = system.add_entry("b")
            owner = systems.wait_until(lambda: entry._owner)
            opened = systems.wait_until(
                lambda: (
                    owner.fleet.sessions
                    if len(owner.fleet.sessions) == count
                    else None
                )
            )
            delays = sorted(one._delay_s for one in opened.values())
            assert delays[: fleets.SESSIONS_AT_ONCE] == [0.0] * 40
            assert delays[-1] > fleets.SESSIONS_AT_ONCE * 0.001
            assert opened[busy]._delay_s == 0.0
            systems.wait_until(
                lambda: all(one.is_reachable for one in opened.values())
            )
        finally:
            system.kill_all()

    def test_run_restarts_if_renewals_of_its_worker_raise(
        self, system, monkeypatch
    ):
        # The session ended every 0.5 s, its worker stayed reachable, and the
        # run neither ended nor started elsewhere.
        monkeypatch.setattr(sessions, "LEASE_MS", 1_000)
        entry = system.add_entry("a")
        job = "00000000000000aa"
        system.submit(entry, job, systems.build_spec())
        worker = system.wait_for_run(f"{job}.0.0.0")

        def raise_error(**_):
            gevent.sleep(0.01)
            raise ValueError("odd")

        monkeypatch.setattr(worker, "renew_lease", raise_error)
        systems.wait_until(lambda: len(system.list_starts()) == 2)
        assert len(worker.starts) == 1


class TestCapacity:
    def test_shrunken_worker_gets_only_tasks_that_fit(self):
        # A worker need not guard its capacity.
        system = systems.System(workers=1)
        try:
            entry = system.add_entry("a")
            need = specs.Resources(1000, 1024, 4)
            spec = systems.build_spec(need=need)
            jobs = [f"{number:016x}" for number in range(4)]
            for job in jobs[:2]:
                system.submit(entry, job, spec)
            systems.wait_until(lambda: len(system.list_starts()) == 2)
            worker = system.fleet.workers["w0"]
            full = worker.report.capacity
            system.fleet.change("w0", capacity=full._replace(accelerators=4))
            system.submit(entry, jobs[2], spec)
            system.submit(entry, jobs[3], spec)
            worker.end(f"{jobs[0]}.0.0.0", "done")
            gevent.sleep(0.5)
            assert len(system.list_starts()) == 2
            worker.end(f"{jobs[1]}.0.0.0", "done")
            systems.wait_until(lambda: len(system.list_starts()) == 3)
            gevent.sleep(0.3)
            assert len(system.list_starts()) == 3
            system.fleet.change("w0", capacity=full)
            systems.wait_until(lambda: len(system.list_starts()) == 4)
        finally:
            system.kill_all()


class TestAcknowledgements:
    def test_ends_of_an_earlier_life_acknowledge_none_of_the_next(self):
        # Ends are numbered anew in each life. An end that was stored only
        # after the restart let the worker forget ends that nobody had read.
        system = systems.System(workers=1)
        try:
            entry = system.add_entry("a")
            job = "00000000000000aa"
            system.submit(entry, job, systems.build_spec())
            worker = system.wait_for_run(f"{job}.0.0.0")
            session = entry._owner.fleet.sessions["w0"]
            system.ledger.is_down = True
            worker.end(f"{job}.0.0.0", "done")
            systems.wait_until(lambda: entry._owner.writer.backlog)
            worker.crash()
            worker.restart(worker.report._replace(life=2))
            systems.wait_until(lambda: session.life == 2)
            system.ledger.is_down = False
            systems.wait_until(lambda: not entry._owner.writer.backlog)
            gevent.sleep(0.2)
            assert session.last_seen == 0
        finally:
            system.kill_all()
