"""Workers that have more unread ends than one answer lists."""

import gevent
import pytest

from chervilcove.jobs import specs
from tests.control import run_judge
from tests.control import strict_standins
from tests.control import system as systems

JOB = "ffffffffffffffff"  # its end is the last one
SETTLE_S = 1.5  # a renewal lists the tasks that run
GANG_TASKS = 50
NEED = specs.Resources(100, 64, 0)


@pytest.fixture
def judge():
    return run_judge.RunJudge()


@pytest.fixture
def system(judge):
    made = systems.System(workers=1)
    for name, report in made.fleet.reports.items():
        worker = strict_standins.StrictWorker(report=report, observer=judge)
        worker.get_need = lambda _: NEED
        made.fleet.workers[name] = worker
    yield made
    for worker in made.fleet.workers.values():
        worker.close_watch()
    made.kill_all()


class TestListedEnds:
    @pytest.mark.parametrize("more", [0, 1])
    def test_tasks_that_end_together_run_once(
        self, system, owner_entry, judge, more
    ):
        # A task that is not listed as running counts as lost, though its end
        # follows in the next answer.
        (worker,) = system.fleet.workers.values()
        count = strict_standins.MAX_LISTED_ENDS + more
        gangs = count // GANG_TASKS
        for number in range(gangs):
            spec = systems.build_spec(count=GANG_TASKS, need=NEED, is_gang=True)
            system.submit(owner_entry, f"{number:016x}", spec)
        if more:
            system.submit(owner_entry, JOB, systems.build_spec(need=NEED))
        systems.wait_until(lambda: len(worker.running) == count)
        gevent.sleep(SETTLE_S)
        for task in sorted(worker.running):
            worker.end(task, "done")
        systems.wait_until(lambda: judge.noted_count >= count)
        gevent.sleep(0.5)
        assert judge.list_breaks() == []
        assert len(judge.starts) == count
