"""Entries of a simulated system: what they conclude is checked."""

import gevent

from chervilcove.control import clocks
from chervilcove.control import deployment_values
from chervilcove.control import elections
from chervilcove.control import follower as followers
from chervilcove.control import interfaces
from chervilcove.control import owners
from chervilcove.core import errors
from chervilcove.core import metrics as metric_values
from chervilcove.core import traffic
from chervilcove.jobs import configuration
from chervilcove.jobs import records
from tests.control import lease_world

QUEUE = configuration.Queue(
    name="batch",
    host="h",
    prefix="/b/",
    service="service",
    priority=1,
    attempts=100,
)
OPERATIONS = interfaces.OperatorState(
    configuration.Configuration(version=1, queues=[QUEUE], customers=[]),
    frozenset(),
)


class CheckedOwner(owners.Owner):
    """Owner whose conclusions about runs are checked."""

    def __init__(self, *, world, **options):
        super().__init__(**options)
        self._world = world

    def _end_member(self, run, member, outcome, *, evidence="reported"):
        super()._end_member(run, member, outcome, evidence=evidence)
        self._world.record_counted(
            self.epoch, member.place.worker, member.task, run.number, evidence
        )


class Feed(interfaces.Feed):
    """Feed of the reports of all workers that are listed."""

    def __init__(self, world, on_change):
        self._world = world
        self.on_change = on_change

    def start(self):
        self._world.feeds.append(self)
        self.on_change(self._world.list_reports())

    def stop(self):
        if self in self._world.feeds:
            self._world.feeds.remove(self)


class Connector(interfaces.PlatformConnector):
    """Connects one entry to the workers."""

    def __init__(self, world, entry):
        self._world = world
        self._entry = entry

    def connect_worker(self, report):
        worker = self._world.workers[report.id]
        return lease_world.WorkerClient(self._world, self._entry, worker)

    def connect_policy(self):
        return None

    def create_worker_feed(self, on_change):
        return Feed(self._world, on_change)


class Entry:
    """One process of an entry: its follower, its election and its owner."""

    def __init__(self, world, name, number):
        self.world = world
        self.name = name
        self.number = number
        self.owner = None
        self.term_count = 0
        self.ledger = lease_world.LedgerClient(world, name)
        self.metrics = metric_values.Metrics()
        self.follower = followers.Follower(
            ledger=self.ledger,
            clock=clocks.SharedClock(),
            metrics=self.metrics,
        )
        self.election = elections.Election(
            name=name,
            incarnation=f"{name}-{number}",
            ledger=self.ledger,
            follower=self.follower,
            rank=world.random.random(),
            on_change=self._switch_owner,
        )
        self.follower.add_listener(self._notify_owner)
        self.follower.add_regain_listener(self._notify_owner_of_return)
        self.greenlet = world.spawn(name, self._start)

    def _start(self):
        self.follower.start()
        self.election.start()
        while not self.follower.is_current:
            gevent.sleep(0.05)
        incarnation = self.election.complete_incarnation()
        key = records.build_key(records.Kind.ENTRY, self.name)
        item = (key, records.encode_value(incarnation))
        while errors.is_refusal(self.ledger.append([item], timeout_s=2.0)):
            gevent.sleep(0.2)
        self.election.record_announced()

    def kill(self):
        self.greenlet.kill(block=False)
        self.election.kill()
        self.follower.kill()
        if self.owner is not None:
            self.owner.stop()

    def _switch_owner(self, epoch):
        if self.owner is not None:
            owner, self.owner = self.owner, None
            owner.stop()
        if epoch is None:
            return
        self.term_count += 1
        what = "owner again" if self.term_count > 1 else "owner"
        self.world.record(what, self.name, epoch)
        self.owner = CheckedOwner(
            world=self.world,
            epoch=epoch,
            claim_sent_at=self.election.claim_sent_at,
            ledger=self.ledger,
            follower=self.follower,
            connector=Connector(self.world, self.name),
            get_operator_state=lambda: OPERATIONS,
            on_deposed=self.election.step_down,
            values=deployment_values.DeploymentValues(),
            metrics=self.metrics,
            traffic=traffic.Traffic(metrics=self.metrics),
        )
        self.owner.start()

    def _notify_owner(self):
        if self.owner is not None:
            self.owner.on_ledger_read()

    def _notify_owner_of_return(self):
        if self.owner is not None:
            self.owner.on_ledger_regained()
