import gevent
import pytest

from chervilcove.core import errors
from tests.gangs import fakes


@pytest.fixture
def harness():
    one = fakes.StartHarness()
    yield one
    one.stop()


def take_data_centre_out_while_places_held(harness):
    """Take the data centre out while a starter waits for places."""
    harness.hold_places(ttl_s=1.0)
    starter = gevent.spawn(harness.starter.start, harness.job)
    gevent.sleep(0.3)
    harness.replica.take_data_centre_out()
    starter.join()


def pause_before_start_calls(harness):
    """Pause a starter between its last check and its start calls."""
    start = harness.client.start

    def start_late(worker, job, token):
        gevent.sleep(2 * fakes.TIMING.start_ttl_s)
        return start(worker, job, token)

    harness.client.start = start_late
    harness.starter.start(harness.job)
    return harness.list_started_tasks()


def prepare_stale_after_later(harness):
    """Prepare a stale attempt where a later one was prepared before."""
    names = [one.name for one in harness.workers]
    later = fakes.create_job(names, attempt=2, fence=20)
    for worker in harness.configured.values():
        assert harness.client.prepare(worker, later, "later")["prepared"]
        harness.client.stop(worker, "job-1", 2)
    return [
        harness.client.prepare(worker, harness.job, "stale")
        for worker in harness.configured.values()
    ]


class TestAttemptStarter:
    def test_starts_all_tasks_and_commits_the_start(self, harness):
        harness.starter.start(harness.job)
        assert harness.replica.list_proposed() == ["starting", "started"]
        assert len(harness.list_started_tasks()) == 2

    def test_a_data_centre_taken_out_before_the_read_gets_no_start(
        self, harness
    ):
        # The starter waits for places while the data centre is taken out, so
        # its state is stale by the time it could start the gang.
        take_data_centre_out_while_places_held(harness)
        assert harness.list_started_tasks() == []
        ended = harness.replica.proposed[-1].body
        assert ended["reason"] == "data_centre_out"

    def test_unhealthy_worker_gets_no_start(self, harness):
        harness.replica.mark_worker_unhealthy()
        harness.starter.start(harness.job)
        assert harness.list_started_tasks() == []
        assert harness.replica.proposed[-1].body["reason"] == "worker_lost"

    def test_a_starter_that_was_paused_finds_its_tokens_lapsed(self, harness):
        # The state may have changed during a pause after the last check, so
        # the workers must refuse calls that arrive after `start_ttl_s`.
        assert pause_before_start_calls(harness) == []

    def test_a_stale_placement_takes_no_places(self, harness):
        # A starter with stale state must not reserve accelerators that a later
        # placement got, even after that placement released them.
        answers = prepare_stale_after_later(harness)
        assert {one.kind for one in answers} == {errors.Kind.FENCED}

    def test_nothing_starts_if_heads_of_streams_are_unreadable(self, harness):
        # During a log outage the starter can't rule out that the data centre
        # was taken out of service.
        kind = errors.Kind.LOG_UNAVAILABLE
        harness.replica.refusal = errors.refuse(kind, "outage")
        harness.starter.start(harness.job)
        assert harness.list_started_tasks() == []
        assert harness.replica.list_proposed() == ["starting"]

    def test_starting_the_same_attempt_twice_has_no_effect(self, harness):
        # Two entries may both consider themselves responsible for the gang.
        harness.starter.start(harness.job)
        harness.job["state"] = "placed"
        harness.starter.start(harness.job)
        assert len(harness.list_started_tasks()) == 2
        assert harness.replica.list_proposed()[-1] == "started"

    def test_unreachable_worker_ends_attempt_and_is_unhealthy(self, harness):
        # No task can run before `starting` is committed, so the end doesn't
        # have to wait for a lease on the unreachable worker to expire.
        harness.proxies["worker-1"].refusing = True
        with gevent.Timeout(2 * fakes.TIMING.stop_grace_s):
            harness.starter.start(harness.job)
        assert harness.replica.list_proposed() == ["worker_health", "ended"]
        assert harness.list_started_tasks() == []
        health, ended = harness.replica.proposed
        assert health.body["worker"] == "worker-1"
        assert ended.body["worker"] == "worker-1"

    def test_places_not_released_in_time_end_the_attempt(self, harness):
        harness.hold_places(ttl_s=30.0)
        harness.starter.start(harness.job)
        assert harness.replica.list_proposed() == ["ended"]
        assert not harness.job["started"]
