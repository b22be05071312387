import gevent
import pytest

from tests.integration import system as systems

RUN_TTL_S = 2.0  # shorter than the interval of the supervisor's sweeps
FIRST_SWEEP_DONE_S = 0.6  # after the first sweep, before the second


class System(systems.System):
    """Configure the workers after the supervisor's first sweep."""

    def build_first_note(self):
        gevent.sleep(FIRST_SWEEP_DONE_S)
        return super().build_first_note()


@pytest.fixture
def system():
    one = System(entry_count=1, run_ttl_s=RUN_TTL_S)
    one.start()
    yield one
    one.stop()


class TestWorkerSessions:
    def test_gang_is_renewed_on_workers_configured_after_sweep(self, system):
        # Guards against a failure seen in CI. An entry that didn't know the
        # responsible entry tracked a gang on workers configured after its
        # last sweep. It had no session with them until the next sweep, so
        # they counted as silent at once and the gang as lost.
        job = system.submit(payload={"run_s": 3.0 * RUN_TTL_S * systems.SPEED})
        system.wait(lambda: system.is_finished(job))
        finished = system.get_job(job)
        assert (finished["state"], finished["attempt"]) == ("completed", 1)
