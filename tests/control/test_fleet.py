from chervilcove.control import fleet as fleets
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
            sessions = systems.wait_until(
                lambda: (
                    owner.fleet.sessions
                    if len(owner.fleet.sessions) == count
                    else None
                )
            )
            delays = sorted(one._delay_s for one in sessions.values())
            assert delays[: fleets.SESSIONS_AT_ONCE] == [0.0] * 40
            assert delays[-1] > fleets.SESSIONS_AT_ONCE * 0.001
            assert sessions[busy]._delay_s == 0.0
            systems.wait_until(
                lambda: all(one.is_reachable for one in sessions.values())
            )
        finally:
            system.kill_all()
