"""Starts that wait or are tried again while their worker changes."""

import time

import gevent
import pytest

from chervilcove.control import commands
from chervilcove.control import start_places
from chervilcove.core import errors
from chervilcove.jobs import specs
from tests.control import silent_workers
from tests.control import system as systems

JOB = "00000000000000aa"
SMALL = specs.Resources(100, 10, 0)
# Some of these starts wait for a place, and have not been sent.
MANY = commands.MAX_CONCURRENT_STARTS + 12


def drain(system):
    system.fleet.change("w0", is_draining=True, leaves_in_ms=10_000)


def evacuate(system):
    operations = system.operator_feed.operations
    name = system.fleet.reports["w0"].data_centre
    system.operator_feed.operations = operations._replace(
        evacuated=frozenset([name])
    )


def unlist(system):
    del system.fleet.reports["w0"]
    system.fleet.change("w1")


def shrink(system):
    system.fleet.change("w0", capacity=specs.Resources(0, 1_000, 8))


@pytest.fixture
def entry(system):
    """Return the owner, for which only the silent worker w0 is open."""
    system.fleet = silent_workers.SilentFleet(count=2)
    system.fleet.change("w0", labels=frozenset())
    system.fleet.change("w1", is_draining=True, leaves_in_ms=60_000)
    made = system.add_entry("a")
    systems.wait_until(
        lambda: (
            made._owner
            and (room := made._owner.fleet.resources.by_worker.get("w0"))
            and room.is_schedulable
        )
    )
    system.fleet.silent.add("w0")
    return made


def order(system, entry, **step):
    """Submit a job, and wait until its tasks are ordered on w0."""
    spec = systems.build_spec(need=SMALL, **step)
    assert system.submit(entry, JOB, spec) == "queued"
    systems.wait_until(lambda: entry._owner._runs)
    gevent.sleep(0.2)


def open_other(system):
    system.fleet.change("w1", is_draining=False, leaves_in_ms=0)


def list_running(system):
    return set(system.fleet.workers["w1"].running)


class TestStartChecks:
    @pytest.mark.parametrize("close", [drain, evacuate, unlist, shrink])
    @pytest.mark.parametrize(
        "step",
        [{"count": 1}, {"count": MANY}, {"count": 8, "is_gang": True}],
        ids=["one", "many", "gang"],
    )
    def test_start_is_not_repeated_on_a_worker_that_closes(
        self, system, entry, close, step
    ):
        # 32 tasks were started on workers 3.9 s after the report that they
        # drain, and were lost with them: repeated starts only looked at the
        # life of the worker.
        order(system, entry, **step)
        close(system)
        open_other(system)
        gevent.sleep(0.6)  # the owner reads reports, a try takes 0.5 s
        system.fleet.silent.clear()
        systems.wait_until(lambda: len(list_running(system)) == step["count"])
        assert system.fleet.workers["w0"].starts == []
        job = entry._owner._table.jobs[JOB]
        assert job.max_unit_failures == 0
        assert not entry._owner.fleet.health.is_quarantined(
            "w0", time.monotonic()
        )

    def test_starts_that_were_not_sent_run_elsewhere_at_once(
        self, system, entry
    ):
        # Nothing has to be stopped on the silent worker.
        order(system, entry, count=MANY)
        drain(system)
        open_other(system)
        unsent = MANY - commands.MAX_CONCURRENT_STARTS
        systems.wait_until(lambda: len(list_running(system)) >= unsent)
        assert "w0" in system.fleet.silent

    def test_silent_workers_do_not_hold_up_starts_on_others(
        self, system, entry
    ):
        # Each try on a silent worker held one of 48 places for half a second,
        # so that other starts waited for seconds.
        order(system, entry, count=MANY)
        gevent.sleep(0.6)  # until the first tries are given up
        open_other(system)
        systems.wait_until(
            lambda: entry._owner.fleet.resources.by_worker["w1"].is_schedulable
        )
        other = "00000000000000bb"
        spec = systems.build_spec(need=SMALL, label="a")
        assert system.submit(entry, other, spec) == "queued"
        with gevent.Timeout(0.4):
            while f"{other}.0.0.0" not in list_running(system):
                gevent.sleep(0.01)


class TestStartPlaces:
    def test_first_try_waits_for_a_worker_that_owes_an_answer(self):
        places = start_places.StartPlaces(size=2)
        places.record_silence("w0", "a")
        waits, taken = [], []

        def take(worker):
            with places.take(
                worker, is_repeated=False, on_silence=lambda: waits.append(1)
            ):
                taken.append(worker)

        waiting = gevent.spawn(take, "w0")
        gevent.spawn(take, "w1").join(timeout=1.0)
        assert (taken, waits) == (["w1"], [1])
        places.record_answer("w0")
        waiting.join(timeout=1.0)
        assert taken == ["w1", "w0"]

    def test_worker_whose_starts_were_given_up_is_not_waited_for(self):
        places = start_places.StartPlaces(size=2)
        for task in ("a", "b"):
            places.record_silence("w0", task)
        places.end_start("w0", "a")
        assert places.is_silent("w0")
        places.end_start("w0", "b")
        assert not places.is_silent("w0")

    def test_repeated_tries_have_places_of_their_own(self):
        places = start_places.StartPlaces(size=1)
        with (
            places.take("w0", is_repeated=True, on_silence=list),
            gevent.Timeout(1.0),
            places.take("w1", is_repeated=False, on_silence=list),
        ):
            pass


class TestRefusedStarts:
    @pytest.mark.parametrize(
        ("kind", "rests"),
        [
            (errors.Kind.GONE, False),
            (errors.Kind.BUSY, True),
        ],
    )
    def test_worker_rests_only_for_refusals_that_are_its_fault(
        self, system, entry, kind, rests
    ):
        # A start that was refused for its expired ticket let the worker rest.
        system.fleet.silent.clear()
        system.fleet.workers["w0"].start = lambda *arguments, timeout_s: (
            errors.refuse(kind, "refused by the test")
        )
        order(system, entry, count=1)
        health = entry._owner.fleet.health
        assert health.is_quarantined("w0", time.monotonic()) == rests
