"""Runs that end while the record of their order is not stored yet."""

import gevent
import pytest

from chervilcove.jobs import records
from chervilcove.jobs import specs
from chervilcove.jobs import table
from chervilcove.standins import ledger as ledgers
from tests.control import run_judge
from tests.control import strict_standins
from tests.control import system as systems

GANG = "00000000000000aa"
SINGLE = "00000000000000bb"
WHOLE_WORKER = specs.Resources(1000, 1024, 8)


class GatedLedger(ledgers.MemoryLedger):
    """Ledger that can delay the appends with records of units.

    Attributes:
        is_open: Whether these appends are executed.
    """

    def __init__(self):
        super().__init__()
        self.is_open = True
        self.held_keys = []

    def append(self, items, *, fence=None, timeout_s):
        held = [key for key, _ in items if key.startswith("u/")]
        if held and not self.is_open:
            self.held_keys = held
            gevent.sleep(timeout_s)
            return strict_standins.refuse_unanswered()
        return super().append(items, fence=fence, timeout_s=timeout_s)


@pytest.fixture
def judge():
    return run_judge.RunJudge()


@pytest.fixture
def system(judge, monkeypatch):
    strict_standins.shorten_leases(monkeypatch)
    made = systems.System(workers=6, ledger=GatedLedger())
    for name, report in made.fleet.reports.items():
        worker = strict_standins.StrictWorker(report=report, observer=judge)
        worker.get_need = made.get_need
        made.fleet.workers[name] = worker
    yield made
    for worker in made.fleet.workers.values():
        worker.close_watch()
    made.kill_all()


def order_unstored(system, entry, jobs):
    """Order jobs by one append that isn't stored; return their workers.

    Args:
        system: The system.
        entry: Its owner.
        jobs: Description of each job, by its id.
    """
    owner = entry._owner
    systems.wait_until(
        lambda: (
            owner.fleet.sessions
            and all(one.are_runs_known for one in owner.fleet.sessions.values())
        )
    )
    system.ledger.is_open = False
    submissions = [
        records.Submission(
            job=job,
            queue="batch",
            service="service",
            customer="c",
            accepted_ms=number,
            spec=spec,
        )
        for number, (job, spec) in enumerate(jobs.items())
    ]
    system.ledger.append(
        [
            (
                records.build_key(records.Kind.JOB, one.job),
                records.encode_value(one),
            )
            for one in submissions
        ],
        timeout_s=1.0,
    )
    systems.wait_until(lambda: len(system.ledger.held_keys) == len(jobs))
    return {
        key.job: [
            system.fleet.workers[member.place.worker] for member in run.members
        ]
        for key, run in owner._runs.items()
    }


class TestUnstoredRuns:
    def test_gang_lost_before_its_order_is_stored_runs_once(
        self, system, owner_entry, judge
    ):
        # The callback for the order of the lost run takes the run after it
        # for ended, which then runs while its unit is ordered once more.
        owner = owner_entry._owner
        spec = systems.build_spec(count=2, is_gang=True)
        workers = order_unstored(system, owner_entry, {GANG: spec})
        for worker in workers[GANG]:
            worker.is_cut = True
        systems.wait_until(
            lambda: [run for run in owner._runs.values() if run.number == 2]
        )
        system.ledger.is_open = True
        systems.wait_until(lambda: len(judge.starts) >= 2)
        gevent.sleep(1.0)
        assert judge.list_breaks() == []
        assert [start.run for start in judge.starts] == [2, 2]

    def test_late_end_done_before_an_order_is_stored_stays_done(
        self, system, owner_entry, judge
    ):
        # The callback for the order of the lost run records that its unit
        # waits, though an end of the run before was read meanwhile.
        owner = owner_entry._owner
        spec = systems.build_spec(count=2, is_gang=True, most_per_worker=1)
        system.submit(owner_entry, GANG, spec)
        systems.wait_until(lambda: len(judge.starts) == 2)
        first = [one for one in system.fleet.workers.values() if one.running]
        system.ledger.is_open = False
        for worker in first:
            worker.is_cut = True
            (task,) = worker.running
            worker.end(task, "done")
        for number in (2, 3):
            (run,) = systems.wait_until(
                lambda number=number: [
                    run for run in owner._runs.values() if run.number == number
                ]
            )
            if number == 2:
                for member in run.members:
                    system.fleet.workers[member.place.worker].is_cut = True
        for worker in first:
            worker.is_cut = False
        systems.wait_until(lambda: run.is_recorded_done)
        system.ledger.is_open = True
        systems.wait_until(lambda: owner.writer.backlog == 0)
        gevent.sleep(1.0)
        state = owner_entry.job_api.get_job_state(
            job=GANG, sender=systems.SENDER
        )
        assert state is table.JobState.DONE
        assert [start.run for start in judge.starts] == [1, 1]

    def test_single_task_starts_though_a_gang_was_lost_before_it(
        self, system, owner_entry, judge
    ):
        # The callback for the order of the lost gang raises, and those after
        # it in the same append are not called.
        owner = owner_entry._owner
        workers = order_unstored(
            system,
            owner_entry,
            {
                GANG: systems.build_spec(count=2, is_gang=True),
                SINGLE: systems.build_spec(need=WHOLE_WORKER),
            },
        )
        assert not set(workers[GANG]) & set(workers[SINGLE])
        for worker in system.fleet.workers.values():
            if worker in workers[GANG]:
                worker.is_cut = True
            elif worker not in workers[SINGLE]:
                system.fleet.change(worker.report.id, is_draining=True)
        systems.wait_until(lambda: [key.job for key in owner._runs] == [SINGLE])
        system.ledger.is_open = True
        gevent.sleep(3.0)
        assert [start.task for start in judge.starts] == [f"{SINGLE}.0.0.0"]
