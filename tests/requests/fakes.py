"""Test doubles for request routing, and a fleet of minions and routers."""

import itertools
import time

import gevent
import msgspec

from chervilcove.core import errors
from chervilcove.core import metrics as metric_sinks
from chervilcove.requests import conf
from chervilcove.requests import core
from chervilcove.requests import router as routers
from chervilcove.scheduling import core as scheduling
from chervilcove.standins import minion as minions

SERVICE = "notice-desk"
DATA_CENTRE = "Giza"


class MemoryClaims(core.ClaimStore):
    """Claim store in memory, shared by the routers of a test."""

    def __init__(self):
        self.delay_s = 0.0
        self.refusal = None
        self.claimed = {}
        self.results = {}
        self.released = []
        self._owners = itertools.count()

    def claim(self, *, customer, service, key, content_digest, timeout_s):
        gevent.sleep(self.delay_s)
        if self.refusal is not None:
            return self.refusal
        claim_key = (customer, service, key)
        known = self.claimed.get(claim_key)
        if known is None:
            claim = core.Claim(
                *claim_key, content_digest, f"{next(self._owners)}"
            )
            self.claimed[claim_key] = claim
            return claim
        if known.content_digest != content_digest:
            return errors.refuse(errors.Kind.DUPLICATE_KEY, "content differs")
        result = self.results.get(claim_key)
        if result is None:
            return errors.refuse(errors.Kind.ALREADY_CLAIMED, "claimed")
        return result

    def release(self, claim, *, timeout_s):
        self.released.append(claim)
        self.claimed.pop((claim.customer, claim.service, claim.key))

    def finish(self, claim, result):
        self.results[claim.customer, claim.service, claim.key] = result


class Fleet:
    """Run minions and routers in one process."""

    def __init__(self, *, minions_count=2, entries=1, slots=4, limits=None):
        self.claims = MemoryClaims()
        self.minions = [
            minions.Minion(name=f"minion-{number}", slots=slots)
            for number in range(minions_count)
        ]
        for minion in self.minions:
            minion.start()
        self.routers = [
            self._create_router(f"entry-{number}", limits or conf.Limits())
            for number in range(entries)
        ]
        names = [f"entry-{number}" for number in range(entries)]
        for router in self.routers:
            router.set_entries(names)
            router.set_minions(SERVICE, self.list_configured())

    @property
    def router(self):
        return self.routers[0]

    @property
    def counts(self):
        return self.router.sink.list_counts()

    def list_configured(self):
        return [describe_minion(minion) for minion in self.minions]

    def list_executions(self):
        return [
            execution
            for minion in self.minions
            for execution in minion.records.list_executions()
        ]

    def count_executions(self, key):
        return sum(1 for item in self.list_executions() if item.key == key)

    def send(self, *, router=None, **fields):
        return (router or self.router).handle(create_request(**fields))

    def set_faults(self, **switches):
        for minion in self.minions:
            minion.set_faults(**switches)

    def get_view(self, name):
        described = self.router.describe()["services"][SERVICE]["minions"]
        return next(view for view in described if view["name"] == name)

    def wait_for(self, condition, *, timeout_s=5.0):
        deadline = time.monotonic() + timeout_s
        while not condition():
            assert time.monotonic() < deadline, "condition not met in time"
            gevent.sleep(0.005)

    def stop(self):
        for router in self.routers:
            router.stop()
        for minion in self.minions:
            minion.stop()

    def _create_router(self, name, limits):
        sink = metric_sinks.Metrics()
        router = routers.Router(
            entry=name,
            data_centre=DATA_CENTRE,
            claims=self.claims,
            metrics=sink,
            limits=limits,
        )
        router.sink = sink
        router.start()
        return router


def describe_minion(minion, *, data_centre=DATA_CENTRE):
    return {
        "name": minion.name,
        "data_centre": data_centre,
        "address": minion.address,
        "slots": minion.slots,
        "connections": minion.connections,
    }


def create_request(
    *,
    key="key-1",
    is_idempotent=True,
    urgency=scheduling.Urgency.NORMAL,
    time_left_s=5.0,
    work_ms=1.0,
    service=SERVICE,
    body=None,
    now=None,
):
    content = msgspec.json.encode({"work_ms": work_ms, "answer_bytes": 64})
    return core.Request(
        customer="cairo-hotels",
        service=service,
        key=key,
        is_idempotent=is_idempotent,
        urgency=urgency,
        deadline=(time.monotonic() if now is None else now) + time_left_s,
        body=content if body is None else body,
    )
