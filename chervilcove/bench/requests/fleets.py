"""Fleets of stand-in minions with routers or an entry in front of them."""

import copy
import time
from typing import Any

import gevent
import msgspec

from chervilcove.conf import global_settings
from chervilcove.core import errors
from chervilcove.core import http
from chervilcove.core import metrics as metric_values
from chervilcove.customers import schema as customers
from chervilcove.entry import core as entries
from chervilcove.requests import core
from chervilcove.requests import router as routers
from chervilcove.scheduling import core as scheduling
from chervilcove.standins import instances
from chervilcove.standins import log
from chervilcove.standins import minion as minions

HOST = "127.0.0.1"
SERVICE = "bench"
CUSTOMER = "bench"
DATA_CENTRE = "local"
WAIT_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.01
SETTLE_S = 1.5


class NoClaims(core.ClaimStore):
    """Refuse every claim, for benchmarks that send idempotent requests only."""

    def claim(
        self,
        *,
        customer: str,
        service: str,
        key: str,
        content_digest: str,
        timeout_s: float,
    ) -> errors.Refusal:
        """Refuse the claim."""
        return errors.refuse(
            errors.Kind.LOG_UNAVAILABLE, "this benchmark has no claim store"
        )

    def release(
        self, claim: core.Claim, *, timeout_s: float
    ) -> errors.Refusal | None:
        """Do nothing, as no claim was made."""

    def finish(
        self, claim: core.Claim, result: core.Response | errors.Refusal
    ) -> None:
        """Do nothing, as no claim was made."""


class Fleet:
    """Run minions and the routers that share them, in one process.

    Args:
        minion_count: Number of minions.
        slots: Slots of each minion.
        router_count: Number of routers.
    """

    def __init__(self, *, minion_count: int, slots: int, router_count: int):
        self.minions = create_minions(minion_count, slots)
        names = [f"entry-{number}" for number in range(router_count)]
        self.router_metrics = [metric_values.Metrics() for _ in names]
        self.routers = [
            routers.Router(
                entry=name,
                data_centre=DATA_CENTRE,
                claims=NoClaims(),
                metrics=router_metrics,
            )
            for name, router_metrics in zip(
                names, self.router_metrics, strict=True
            )
        ]
        for router in self.routers:
            router.start()
            router.set_entries(names)
            router.set_minions(SERVICE, build_minion_configs(self.minions))

    def stop(self) -> None:
        """Stop the routers and the minions."""
        for router in self.routers:
            router.stop(timeout_s=0.1)
        for minion in self.minions:
            minion.stop()

    def sum_counters(self) -> dict[str, int]:
        """Return the counters by name, summed over all routers."""
        total: dict[str, int] = {}
        for router_metrics in self.router_metrics:
            for name, value in router_metrics.list_counts().items():
                total[name] = total.get(name, 0) + value
        return total


class EntryFleet:
    """Run an entry with its log, instance list and minions, in one process.

    Args:
        minion_count: Number of minions.
        slots: Slots of each minion.
    """

    def __init__(self, *, minion_count: int, slots: int):
        self.minions = create_minions(minion_count, slots)
        self._log = log.LogService()
        self._instances = instances.InstanceList()
        self._log.start()
        self._instances.start()
        self.entry = entries.Entry(settings=self._build_settings())
        self.entry.start()
        self.peer = create_peer(self.entry.address)
        self._submit_configuration()

    def stop(self) -> None:
        """Stop the entry, the stand-ins and the minions."""
        self.entry.stop()
        for service in (self._log, self._instances, *self.minions):
            service.stop()

    def _build_settings(self) -> global_settings.Settings:
        settings = copy.deepcopy(global_settings.DEFAULTS)
        settings["entry"].update(port=0, data_centre=DATA_CENTRE)
        settings["log"] = _split_address(self._log.address)
        settings["instances"] = _split_address(self._instances.address)
        return settings

    def _submit_configuration(self) -> None:
        wait_for(lambda: self.entry.replica.is_following)
        added = [
            {
                "type": "data_centre",
                "name": DATA_CENTRE,
                "region": "local",
                "in_service": True,
            },
            {
                "type": "customer",
                "name": CUSTOMER,
                "weight": 1.0,
                "guarantees": [],
                "teams": [],
            },
            {
                "type": "service",
                "name": SERVICE,
                "minions": build_minion_configs(self.minions),
            },
        ]
        note = customers.Note(
            id="bench",
            author="bench",
            base_revision=0,
            added=added,
            changed=[],
            withdrawn=[],
        )
        outcome = self.peer.call_json("POST", "/v1/notes", note, timeout_s=15)
        if errors.is_refusal(outcome):
            raise RuntimeError(
                f"entry refused the first configuration note: {outcome.reason}"
            )
        wait_for(lambda: SERVICE in self.entry.router.describe()["services"])


def create_minions(count: int, slots: int) -> list[minions.Minion]:
    """Create `count` stand-in minions with `slots` each and start them."""
    created = [
        minions.Minion(name=f"minion-{number}", slots=slots)
        for number in range(count)
    ]
    for minion in created:
        minion.start()
    return created


def build_minion_configs(
    fleet_minions: list[minions.Minion],
) -> list[customers.Minion]:
    """Return the configuration records of the minions."""
    return [
        customers.Minion(
            name=minion.name,
            data_centre=DATA_CENTRE,
            address=minion.address,
            slots=minion.slots,
            connections=minion.connections,
        )
        for minion in fleet_minions
    ]


def create_peer(address: str) -> http.HttpPeer:
    """Return an HTTP client of the address "IP:port"."""
    parsed = _split_address(address)
    return http.HttpPeer(host=parsed["host"], port=parsed["port"])


def create_request(
    *,
    key: str,
    work_ms: float,
    time_left_s: float,
    urgency: scheduling.Urgency = scheduling.Urgency.NORMAL,
    customer: str = CUSTOMER,
) -> core.Request:
    """Return an idempotent request that is due in `time_left_s`."""
    return core.Request(
        customer=customer,
        service=SERVICE,
        key=key,
        is_idempotent=True,
        urgency=urgency,
        deadline=time.monotonic() + time_left_s,
        body=encode_work(work_ms),
    )


def encode_work(work_ms: float) -> bytes:
    """Return the body of a request that takes a stand-in minion `work_ms`."""
    return msgspec.json.encode({"work_ms": work_ms, "answer_bytes": 256})


def wait_for(condition: Any) -> None:
    """Wait until `condition()` is true.

    Raises:
        gevent.Timeout: The condition was still false after `WAIT_TIMEOUT_S`.
    """
    with gevent.Timeout(WAIT_TIMEOUT_S):
        while not condition():
            gevent.sleep(POLL_INTERVAL_S)


def _split_address(address: str) -> global_settings.Address:
    host, _, port = address.rpartition(":")
    return global_settings.Address(host=host, port=int(port))
