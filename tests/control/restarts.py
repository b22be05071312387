"""Two workers that start again under their ids, for tests of late calls."""

import time

import pytest

from chervilcove.control import commands
from chervilcove.control import sessions
from tests.control import system as systems

JOB = "00000000000000aa"
TASK = f"{JOB}.0.0.0"
LEASE_S = 2.0
OLD_CLOCK_S = 1_000.0


@pytest.fixture
def system(monkeypatch):
    """Return two workers, "w0" in "dc0" and "w1" in "dc1", with leases."""
    monkeypatch.setattr(sessions, "LEASE_MS", int(LEASE_S * 1000))
    monkeypatch.setattr(commands, "START_VALID_MS", 1_200)
    made = systems.System(workers=2)
    for worker in made.fleet.workers.values():
        worker.lease_limit_ms = int(LEASE_S * 1000)
        worker.clock_start = time.monotonic() - OLD_CLOCK_S
    yield made
    made.kill_all()


@pytest.fixture
def entry(system):
    made = system.add_entry("a")
    systems.wait_until(lambda: made._owner)
    systems.wait_until(
        lambda: all(
            system.fleet.workers[name].lease_until_ms for name in ("w0", "w1")
        )
    )
    return made


def evacuate(system, *data_centres):
    feed = system.operator_feed
    feed.operations = feed.operations._replace(
        evacuated=frozenset(data_centres)
    )


def restart(system, worker):
    worker.crash()
    system.fleet.restart(worker.report.id)


def wait_until_open(entry, worker):
    """Wait until a worker may get tasks."""
    fleet = entry._owner.fleet
    systems.wait_until(lambda: fleet.sessions[worker].is_reachable)
    systems.wait_until(lambda: fleet.resources.by_worker[worker].is_schedulable)


def keep_renewal(worker):
    """Keep the next renewal of the worker's lease unanswered."""
    worker.swallow_renewals = 1
    systems.wait_until(lambda: worker.late)


def start_next_process(worker):
    """Restart a worker without a report of the new process."""
    worker.crash()
    worker.restart(worker.report._replace(life=worker.report.life + 1))
