"""A control plane in memory, for tests."""

import itertools
import socket
import time

import gevent
import pytest

from chervilcove.control import core
from chervilcove.control import deployment_values
from chervilcove.control import fences
from chervilcove.control import interfaces
from chervilcove.core import metrics as metric_values
from chervilcove.core import web
from chervilcove.jobs import configuration
from chervilcove.jobs import records
from chervilcove.jobs import specs
from chervilcove.jobs import table
from chervilcove.standins import fleet as fleets
from chervilcove.standins import ledger as ledgers

WAIT_TIMEOUT_S = 20.0
FIRST_EPOCH = fences.compute_next_epoch(0)

QUEUES = [
    configuration.Queue(
        name="urgent",
        host="h",
        prefix="/u/",
        service="service",
        priority=0,
        attempts=3,
        stretch=1.5,
        target_ms=250,
    ),
    configuration.Queue(
        name="batch",
        host="h",
        prefix="/b/",
        service="service",
        priority=2,
        attempts=3,
        target_ms=3_000,
    ),
]
CUSTOMERS = [configuration.Customer(name="c", keys=("k",), guaranteed=16)]
SENDER = records.Sender("batch", "c")


class MemoryOperatorFeed:
    """Feed of operator state that tests set directly."""

    def __init__(self):
        self.operations = interfaces.OperatorState(
            configuration.Configuration(
                version=1, queues=QUEUES, customers=CUSTOMERS
            ),
            frozenset(),
        )

    def get(self):
        return self.operations

    def start(self):
        pass

    def stop(self):
        pass


class System:
    """An in-memory ledger, in-memory workers, and entries."""

    def __init__(self, workers=4, *, ledger=None):
        self.ledger = ledger or ledgers.MemoryLedger()
        self.fleet = fleets.MemoryFleet(count=workers)
        for worker in self.fleet.workers.values():
            worker.get_need = self.get_need
        self.operator_feed = MemoryOperatorFeed()
        self.entries = []

    def add_entry(
        self,
        name,
        *,
        clock=None,
        has_peers=False,
        ledger=None,
        connector=None,
        **options,
    ):
        entry = core.FleetEntry(
            name=name,
            ledger=ledger or self.ledger,
            connector=connector or self.fleet,
            create_operator_feed=lambda on_change: self.operator_feed,
            caller_server=web.WebServer(host="127.0.0.1"),
            health_server=web.WebServer(host="127.0.0.1"),
            operator_server=web.WebServer(host="127.0.0.1"),
            peer_server=(
                web.WebServer(host="127.0.0.1", port=find_free_port())
                if has_peers
                else None
            ),
            values=deployment_values.DeploymentValues(drain_s=3.0, **options),
            metrics=metric_values.Metrics(),
            clock=clock,
        )
        self.entries.append(entry)
        entry.start()
        return entry

    def kill_all(self):
        """Kill all entries; no worker may have been over its capacity."""
        for entry in self.entries:
            entry.kill()
        self.entries = []
        assert self.list_overloads() == []

    def get_need(self, task):
        """Return the resources of a task, by the record of its job."""
        key = table.parse_unit_key(task)
        for one in self.ledger.records:
            if one.key == f"j/{key.job}" and one.value:
                submission = records.decode(one.key, one.value).value
                return submission.spec.steps[key.step].need
        return fleets.NO_RESOURCES

    def list_overloads(self):
        return [
            overload
            for worker in self.fleet.workers.values()
            for overload in worker.overloads
        ]

    def list_overlaps(self):
        """Return pairs of runs of one task that ran at the same time.

        Only meaningful if the workers' tasks lapse with their leases.
        """
        found = sorted(
            (
                interval
                for worker in self.fleet.workers.values()
                for interval in worker.intervals
            ),
            key=lambda interval: (interval.task, interval.began),
        )
        return [
            (one.task, one.run, other.run)
            for one, other in itertools.pairwise(found)
            if one.task == other.task and other.began < one.ended
        ]

    def list_repeats(self):
        """Return runs of tasks of which an end as done was acknowledged.

        Each one began after that end, which may be acknowledged later.
        """
        intervals = [
            interval
            for worker in self.fleet.workers.values()
            for interval in worker.intervals
        ]
        return [
            (other.task, other.run)
            for one in intervals
            if one.is_end_noted and one.outcome == "done"
            for other in intervals
            if other.task == one.task and other.began >= one.ended
        ]

    def submit(self, entry, job, spec, queue="batch", time_left_s=3.0):
        return entry.job_api.submit(
            job=job,
            queue=self.operator_feed.get().configuration.queues[queue],
            customer=CUSTOMERS[0],
            spec=spec,
            time_left_s=time_left_s,
        )

    def list_starts(self):
        return [
            start
            for worker in self.fleet.workers.values()
            for start in worker.starts
        ]

    def find_worker(self, task):
        for worker in self.fleet.workers.values():
            if task in worker.running:
                return worker
        return None

    def wait_for_run(self, task):
        return wait_until(lambda: self.find_worker(task))


def find_free_port():
    with socket.socket() as one:
        one.bind(("127.0.0.1", 0))
        return one.getsockname()[1]


def wait_until(check):
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while time.monotonic() < deadline:
        found = check()
        if found:
            return found
        gevent.sleep(0.01)
    pytest.fail("condition not met before the timeout")
    return None


def build_spec(**changes):
    step = {
        "count": 1,
        "need": specs.Resources(1000, 1024, 1),
        "estimate_ms": 500,
    }
    return specs.JobSpec("payload", (specs.Step(**{**step, **changes}),))
