import gevent
import pytest

from chervilcove.jobs import specs
from tests.control import system as systems

HOPELESS = "00000000000000aa"
OTHER = "00000000000000bb"
NEED = specs.Resources(1_000, 1_000, 3)  # two fit on a worker


class TestHopelessJobs:
    @pytest.mark.parametrize("steps", [1, 4])
    def test_other_jobs_start_while_a_hopeless_job_fails(
        self, system, owner_entry, steps
    ):
        # Two failed tasks of one job on each worker let all workers rest, so
        # that nobody's jobs started for 6 s and more.
        step = specs.Step(8 // steps, NEED, estimate_ms=500)
        spec = specs.JobSpec("payload", (step,) * steps)
        assert system.submit(owner_entry, HOPELESS, spec) == "queued"
        workers = list(system.fleet.workers.values())
        systems.wait_until(
            lambda: sum(len(one.running) for one in workers) == 8
        )
        assert all(len(one.running) == 2 for one in workers)
        for worker in workers:
            for task in list(worker.running):
                worker.end(task, "failed")
        gevent.sleep(0.3)
        assert system.submit(owner_entry, OTHER, systems.build_spec())
        with gevent.Timeout(2.0):
            system.wait_for_run(f"{OTHER}.0.0.0")
