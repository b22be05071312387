import pytest

from chervilcove.core import errors
from chervilcove.gangs import ending
from chervilcove.gangs import leases
from tests.gangs import fakes

SILENT = errors.refuse(errors.Kind.OUTCOME_UNKNOWN, "no answer")
UNSTARTED = {"started": False, "tasks": []}
STARTED = {"started": True, "tasks": []}
LOST_END = ending.AttemptEnd("lost", "task_lost", "worker-1")


def _create_reports(*states):
    return {
        index: leases.TaskReport(index, state, 0.0, f"result-{index}")
        for index, state in enumerate(states)
    }


class TestReconcileEnd:
    @pytest.mark.parametrize(
        ("answers", "tasks", "outcome"),
        [
            ((STARTED, STARTED), _create_reports("stopped", "stopped"), "lost"),
            ((STARTED, STARTED), _create_reports("done", "done"), "completed"),
            ((STARTED, STARTED), _create_reports("done", "stopped"), "lost"),
            ((STARTED, SILENT), _create_reports("done", "done"), "completed"),
            ((UNSTARTED, UNSTARTED), {}, "not_started"),
            ((UNSTARTED, STARTED), {}, "lost"),
            ((UNSTARTED, SILENT), {}, "lost"),
            ((UNSTARTED,), {}, "lost"),
            ((), {}, "lost"),
        ],
    )
    def test_not_started_needs_the_answers_of_all_workers(
        self, answers, tasks, outcome
    ):
        # A worker that did not answer, or was not asked because it is no
        # longer configured, may have started its tasks.
        job = fakes.create_job(["worker-0", "worker-1"])
        answers_by_worker = {
            f"worker-{i}": one for i, one in enumerate(answers)
        }
        assert (
            ending.reconcile_end(
                job, LOST_END, answers_by_worker, tasks
            ).outcome
            == outcome
        )

    def test_result_is_that_of_the_first_task(self):
        done = ending.AttemptEnd("completed", "completed")
        tasks = _create_reports("done", "done")
        assert ending.get_result(tasks, done) == "result-0"
        assert ending.get_result(tasks, LOST_END) is None


class TestAttemptEnder:
    def test_end_waits_until_lease_of_silent_worker_expires(self):
        # Committed earlier, the end would let the next attempt run beside
        # tasks of this one on a worker that can't be reached.
        harness = fakes.StartHarness()
        harness.starter.start(harness.job)
        harness.proxies["worker-1"].partition()
        harness.ender.end(harness.job, LOST_END)
        assert harness.replica.list_proposed()[-1] == "ended"
        assert {one["end"] for one in harness.list_started_tasks()} == {
            "stopped",
            "expired",
        }
        harness.stop()
