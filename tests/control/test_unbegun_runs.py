"""Jobs that were ordered and have not begun."""

import gevent
import pytest

from chervilcove.core import errors
from tests.control import system as systems

JOB = "00000000000000aa"
TASK = f"{JOB}.0.0.0"


def refuse_starts(system, kind):
    """Let all workers refuse starts; return what ends that."""
    before = {}

    def refuse(*arguments, timeout_s):
        gevent.sleep(timeout_s if kind is errors.Kind.OUTCOME_UNKNOWN else 0)
        return errors.refuse(kind, "refused by the test")

    for name, worker in system.fleet.workers.items():
        before[name] = worker.start
        worker.start = refuse

    def end():
        for name, worker in system.fleet.workers.items():
            worker.start = before[name]

    return end


def is_shown_as(entries, state, waiting):
    return all(
        one.job_api.get_job_state(job=JOB, sender=systems.SENDER) == state
        and one.job_api.count_waiting(queue="batch") == waiting
        for one in entries
    )


class TestUnbegunRuns:
    @pytest.mark.parametrize(
        "kind",
        [
            errors.Kind.BUSY,
            errors.Kind.CONNECT_FAILED,
            errors.Kind.OUTCOME_UNKNOWN,
        ],
    )
    @pytest.mark.parametrize("step", [{}, {"count": 4, "is_gang": True}])
    def test_job_whose_starts_fail_is_shown_as_waiting(
        self, system, kind, step
    ):
        # All entries gave the number of waiting jobs as 0 while none of them
        # had begun: an ordered run counted as begun.
        entries = [system.add_entry(name) for name in ("a", "b")]
        systems.wait_until(lambda: any(one._owner for one in entries))
        for one in entries:
            systems.wait_until(lambda one=one: one.job_api._follower.is_current)
        end = refuse_starts(system, kind)
        system.submit(entries[0], JOB, systems.build_spec(**step))
        owner = next(one._owner for one in entries if one._owner)
        systems.wait_until(
            lambda: owner._metrics.list_counts().get("runs.ordered")
        )
        gevent.sleep(1.5)
        systems.wait_until(lambda: is_shown_as(entries, "queued", 1))
        for _ in range(50):
            # Further starts of the job fail meanwhile.
            assert is_shown_as(entries, "queued", 1)
            gevent.sleep(0.05)
        end()
        systems.wait_until(lambda: system.list_starts())
        systems.wait_until(lambda: is_shown_as(entries, "running", 0))

    def test_job_of_a_lost_owner_that_never_began_is_waiting(self, system):
        # The successor reads that a run was ordered, and finds it nowhere.
        entry = system.add_entry("a")
        systems.wait_until(lambda: entry._owner is not None)
        end = refuse_starts(system, errors.Kind.OUTCOME_UNKNOWN)
        system.submit(entry, JOB, systems.build_spec())
        systems.wait_until(lambda: entry._owner._runs)
        entry.kill()
        other = system.add_entry("b")
        for worker in system.fleet.workers.values():
            worker.is_cut = True
        systems.wait_until(lambda: is_shown_as([other], "queued", 1))
        for worker in system.fleet.workers.values():
            worker.is_cut = False
        end()
        system.wait_for_run(TASK)
        systems.wait_until(lambda: is_shown_as([other], "running", 0))

    def test_job_that_began_before_a_change_of_owner_is_running(self, system):
        entry = system.add_entry("a")
        systems.wait_until(lambda: entry._owner is not None)
        system.submit(entry, JOB, systems.build_spec())
        system.wait_for_run(TASK)
        entry.kill()
        other = system.add_entry("b")
        systems.wait_until(lambda: other._owner is not None)
        for _ in range(10):
            assert is_shown_as([other], "running", 0)
            gevent.sleep(0.2)
