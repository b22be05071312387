"""Goodput (answers within the deadline) at 1, 2 and 10 times the capacity.

Service times are long and slots are few, so that the minions' slots are the
bottleneck and not this process; `core_share` is the share of a core that the
process used.
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

LOAD_FACTORS = (1, 2, 10)
MINION_COUNT = 4
SLOTS_PER_MINION = 4
ROUTER_COUNT = 2
WORK_S = 0.2
DEADLINE_S = 1.0
WARM_UP_S = 2.0
WINDOW_S = 8.0
URGENCY_SHARES = (
    (scheduling.Urgency.URGENT, 0.2),
    (scheduling.Urgency.NORMAL, 0.5),
    (scheduling.Urgency.BATCH, 0.3),
)
GOODPUT_RATIO_TARGET = 0.9
NOISY_CUSTOMER = "noisy"
QUIET_CUSTOMERS = ("quiet-1", "quiet-2", "quiet-3")
NOISY_LOAD_FACTOR = 10.0
QUIET_LOAD_FACTOR = 0.1


def measure_goodput(*, seed: int) -> dict[str, Any]:
    """Measure goodput under each load, for the same time and on a new fleet."""
    capacity_per_s = MINION_COUNT * SLOTS_PER_MINION / WORK_S
    loads = {
        f"{load}x": _run_load({fleets.CUSTOMER: load * capacity_per_s}, seed)
        for load in LOAD_FACTORS
    }
    peak = max(load["goodput_per_s"] for load in loads.values())
    ratio = loads["10x"]["goodput_per_s"] / peak
    return {
        "capacity_per_s": capacity_per_s,
        "loads": loads,
        "ratio_10x_to_peak": round(ratio, 3),
        "target": GOODPUT_RATIO_TARGET,
        "met": ratio >= GOODPUT_RATIO_TARGET,
    }


def measure_isolation(*, seed: int) -> dict[str, Any]:
    """Measure the effect of an overloading customer on three others.

    The noisy customer offers 10 times the capacity, the quiet ones together
    less than a third of it.
    """
    capacity_per_s = MINION_COUNT * SLOTS_PER_MINION / WORK_S
    rates_per_s = {NOISY_CUSTOMER: NOISY_LOAD_FACTOR * capacity_per_s}
    rates_per_s.update(
        dict.fromkeys(QUIET_CUSTOMERS, QUIET_LOAD_FACTOR * capacity_per_s)
    )
    return _run_load(rates_per_s, seed)


class _SentRequest(NamedTuple):
    """Hold a request and its result."""

    key: str
    offset_s: float
    result: core.Response | errors.Refusal
    elapsed_s: float
    urgency: scheduling.Urgency
    customer: str

    @property
    def is_good(self) -> bool:
        """Return whether the request was answered within its deadline."""
        if errors.is_refusal(self.result):
            return False
        return self.result.status == 200 and self.elapsed_s <= DEADLINE_S

    @property
    def is_not_run(self) -> bool:
        """Return whether the request was refused as not run."""
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
        self.results: list[_SentRequest] = []

    def send(self, number: int, offset_s: float) -> None:
        router = self._fleet.routers[number % ROUTER_COUNT]
        (urgency,) = self._source.choices(
            [level for level, _ in URGENCY_SHARES],
            [share for _, share in URGENCY_SHARES],
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
            _SentRequest(
                request.key, offset_s, result, elapsed_s, urgency, customer
            )
        )


def _run_load(rates_per_s: dict[str, float], seed: int) -> dict[str, Any]:
    rate_per_s = sum(rates_per_s.values())
    source = random.Random(seed)
    fleet = fleets.Fleet(
        minion_count=MINION_COUNT,
        slots=SLOTS_PER_MINION,
        router_count=ROUTER_COUNT,
    )
    gevent.sleep(fleets.SETTLE_S)
    trial = _Trial(fleet=fleet, source=source, rates_per_s=rates_per_s)
    callers = pool.Group()
    started = time.monotonic()
    started_cpu_s = time.process_time()
    offset_s, number = 0.0, 0
    while offset_s < WARM_UP_S + WINDOW_S:
        gevent.sleep(max(0.0, started + offset_s - time.monotonic()))
        callers.spawn(trial.send, number, offset_s)
        offset_s += source.expovariate(rate_per_s)
        number += 1
    callers.join()
    core_share = (time.process_time() - started_cpu_s) / (
        time.monotonic() - started
    )
    summary = _summarise(trial, fleet)
    fleet.stop()
    return {
        "offered_per_s": rate_per_s,
        "core_share": round(core_share, 3),
    } | summary


def _summarise(trial: _Trial, fleet: fleets.Fleet) -> dict[str, Any]:
    counted = [sent for sent in trial.results if sent.offset_s >= WARM_UP_S]
    good = [sent for sent in counted if sent.is_good]
    refused = collections.Counter(
        sent.result.kind.value
        for sent in counted
        if errors.is_refusal(sent.result)
    )
    counts = fleet.sum_counters()
    return {
        "sent": len(counted),
        "goodput_per_s": round(len(good) / WINDOW_S, 2),
        "answered_in_time_by_class": {
            urgency.value: _compute_good_share(
                [sent for sent in counted if sent.urgency == urgency]
            )
            for urgency, _ in URGENCY_SHARES
        },
        "answered_in_time_by_customer": {
            customer: _compute_good_share(
                [sent for sent in counted if sent.customer == customer]
            )
            for customer in sorted({sent.customer for sent in counted})
        },
        "refused": dict(refused),
        "refused_as_not_run_but_ran": _count_run_refusals(trial, fleet),
        "retried": sum(
            value
            for name, value in counts.items()
            if name.startswith("requests.retried.")
        ),
        "hedged": counts.get("requests.hedged", 0),
        "p99_ms": _compute_p99_ms(good),
    }


def _compute_good_share(requests: list[_SentRequest]) -> float:
    return round(
        sum(sent.is_good for sent in requests) / max(1, len(requests)), 3
    )


def _count_run_refusals(trial: _Trial, fleet: fleets.Fleet) -> int:
    executed = {
        execution.key
        for minion in fleet.minions
        for execution in minion.records.list_executions()
    }
    return sum(
        sent.is_not_run and sent.key in executed for sent in trial.results
    )


def _compute_p99_ms(good: list[_SentRequest]) -> float | None:
    if not good:
        return None
    times_s = [sent.elapsed_s for sent in good]
    return round(cost.compute_quantile(times_s, 0.99) * 1000.0, 1)
