"""Answers within their deadline, at 1, 2 and 10 times the capacity.

Service times are long and slots few, so that the slots of the minions and
not this process are what runs out; `core_share` shows how busy it was.
"""

import collections
import random
import time
from typing import Any
from typing import NamedTuple

import gevent
from gevent import pool

from chervilcove.bench.requests import cost
from chervilcove.bench.requests import fleets
from chervilcove.core import error_responses
from chervilcove.core import errors
from chervilcove.requests import core
from chervilcove.scheduling import core as scheduling

LOADS = (1, 2, 10)
MINIONS = 4
SLOTS = 4
ROUTERS = 2
WORK_S = 0.2
DEADLINE_S = 1.0
WARM_UP_S = 2.0
WINDOW_S = 8.0
CLASSES = (
    (scheduling.Urgency.URGENT, 0.2),
    (scheduling.Urgency.NORMAL, 0.5),
    (scheduling.Urgency.BATCH, 0.3),
)
TARGET = 0.9
NOISY = "noisy"
QUIET = ("quiet-1", "quiet-2", "quiet-3")
NOISY_LOAD = 10.0
QUIET_LOAD = 0.1


def measure_goodput(*, seed: int) -> dict[str, Any]:
    """Offer each load for the same time to a fresh fleet."""
    capacity = MINIONS * SLOTS / WORK_S
    loads = {
        f"{load}x": _offer({fleets.CUSTOMER: load * capacity}, seed)
        for load in LOADS
    }
    peak = max(load["goodput_per_s"] for load in loads.values())
    ratio = loads["10x"]["goodput_per_s"] / peak
    return {
        "capacity_per_s": capacity,
        "loads": loads,
        "ratio_10x_to_peak": round(ratio, 3),
        "target": TARGET,
        "met": ratio >= TARGET,
    }


def measure_isolation(*, seed: int) -> dict[str, Any]:
    """Let one customer offer 10 times the capacity beside three quiet ones.

    The quiet ones together offer less than a third of the capacity.
    """
    capacity = MINIONS * SLOTS / WORK_S
    rates = {NOISY: NOISY_LOAD * capacity}
    rates.update(dict.fromkeys(QUIET, QUIET_LOAD * capacity))
    return _offer(rates, seed)


class _Sent(NamedTuple):
    """Hold one request and what became of it."""

    key: str
    offset_s: float
    result: core.Response | errors.Refusal
    elapsed_s: float
    urgency: scheduling.Urgency
    customer: str

    @property
    def is_good(self) -> bool:
        """Tell whether it was answered within its deadline."""
        if errors.is_refusal(self.result):
            return False
        return self.result.status == 200 and self.elapsed_s <= DEADLINE_S

    @property
    def is_not_run(self) -> bool:
        """Tell whether it was refused as not run."""
        if not errors.is_refusal(self.result):
            return False
        return (
            error_responses.ERROR_RESPONSES[self.result.kind].ran
            is error_responses.Ran.NOT_RUN
        )


class _Trial:
    def __init__(
        self,
        *,
        fleet: fleets.Fleet,
        source: random.Random,
        rates_per_s: dict[str, float],
    ):
        self._fleet = fleet
        self._source = source
        self._customers = list(rates_per_s)
        self._weights = list(rates_per_s.values())
        self.results: list[_Sent] = []

    def send(self, number: int, offset_s: float) -> None:
        router = self._fleet.routers[number % ROUTERS]
        (urgency,) = self._source.choices(
            [one for one, _ in CLASSES], [share for _, share in CLASSES]
        )
        (customer,) = self._source.choices(self._customers, self._weights)
        request = fleets.create_request(
            customer=customer,
            key=f"key-{number}",
            work_ms=WORK_S * 1000.0,
            time_left_s=DEADLINE_S,
            urgency=urgency,
        )
        started = time.monotonic()
        result = router.handle(request)
        elapsed_s = time.monotonic() - started
        self.results.append(
            _Sent(request.key, offset_s, result, elapsed_s, urgency, customer)
        )


def _offer(rates_per_s: dict[str, float], seed: int) -> dict[str, Any]:
    rate_per_s = sum(rates_per_s.values())
    source = random.Random(seed)
    fleet = fleets.Fleet(
        minion_count=MINIONS, slots=SLOTS, router_count=ROUTERS
    )
    gevent.sleep(fleets.SETTLE_S)
    trial = _Trial(fleet=fleet, source=source, rates_per_s=rates_per_s)
    callers = pool.Group()
    started = time.monotonic()
    used = time.process_time()
    offset_s, number = 0.0, 0
    while offset_s < WARM_UP_S + WINDOW_S:
        gevent.sleep(max(0.0, started + offset_s - time.monotonic()))
        callers.spawn(trial.send, number, offset_s)
        offset_s += source.expovariate(rate_per_s)
        number += 1
    callers.join()
    share = (time.process_time() - used) / (time.monotonic() - started)
    summary = _summarise(trial, fleet)
    fleet.stop()
    return {
        "offered_per_s": rate_per_s,
        "core_share": round(share, 3),
    } | summary


def _summarise(trial: _Trial, fleet: fleets.Fleet) -> dict[str, Any]:
    counted = [one for one in trial.results if one.offset_s >= WARM_UP_S]
    good = [one for one in counted if one.is_good]
    refused = collections.Counter(
        one.result.kind.value
        for one in counted
        if errors.is_refusal(one.result)
    )
    counts = fleet.count()
    return {
        "sent": len(counted),
        "goodput_per_s": round(len(good) / WINDOW_S, 2),
        "answered_in_time_by_class": {
            urgency.value: _share_good(
                [one for one in counted if one.urgency == urgency]
            )
            for urgency, _ in CLASSES
        },
        "answered_in_time_by_customer": {
            customer: _share_good(
                [one for one in counted if one.customer == customer]
            )
            for customer in sorted({one.customer for one in counted})
        },
        "refused": dict(refused),
        "refused_as_not_run_but_ran": _count_breaches(trial, fleet),
        "retried": sum(
            value
            for name, value in counts.items()
            if name.startswith("requests.retried.")
        ),
        "hedged": counts.get("requests.hedged", 0),
        "p99_ms": _get_p99(good),
    }


def _share_good(sent: list[_Sent]) -> float:
    return round(sum(one.is_good for one in sent) / max(1, len(sent)), 3)


def _count_breaches(trial: _Trial, fleet: fleets.Fleet) -> int:
    executed = {
        item.key
        for minion in fleet.minions
        for item in minion.records.list_executions()
    }
    return sum(one.is_not_run and one.key in executed for one in trial.results)


def _get_p99(good: list[_Sent]) -> float | None:
    if not good:
        return None
    times = [one.elapsed_s for one in good]
    return round(cost.compute_quantile(times, 0.99) * 1000.0, 1)
