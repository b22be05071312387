"""Latency that an entry adds to a request, over a direct call of the minion."""

from collections.abc import Callable
import random
import time
from typing import Any

import gevent

from chervilcove.bench.requests import fleets
from chervilcove.core import errors
from chervilcove.core import identifiers

ROUNDS = 800
WARM_UP_ROUNDS = 100
IDLE_S = 3.0
IDLE_MINION_COUNT = 24


def measure_cost(*, seed: int) -> dict[str, Any]:
    """Measure the latency of each variant of sending a request.

    Requests are sent one at a time; each round sends one of each variant, in
    random order. All parts run in this process, so each latency includes the
    work of the caller, the entry, the minion and the stand-in of the log.
    """
    fleet = fleets.EntryFleet(minion_count=1, slots=8)
    minion = fleets.create_peer(fleet.minions[0].address)
    senders: dict[str, Callable[[str], Any]] = {
        "direct": lambda key: _send_to_minion(minion, key),
        "idempotent": lambda key: _send_to_entry(fleet, key, "true"),
        "claimed": lambda key: _send_to_entry(fleet, key, "false"),
    }
    times_s: dict[str, list[float]] = {name: [] for name in senders}
    source = random.Random(seed)
    failed = 0
    for number in range(WARM_UP_ROUNDS + ROUNDS):
        for name in source.sample(sorted(senders), len(senders)):
            started = time.perf_counter()
            reply = senders[name](f"{name}-{number}")
            elapsed_s = time.perf_counter() - started
            failed += errors.is_refusal(reply) or reply.status != 200
            if number >= WARM_UP_ROUNDS:
                times_s[name].append(elapsed_s)
    fleet.stop()
    return {"rounds": ROUNDS, "failed": failed, **_summarise(times_s)}


def measure_heartbeats() -> dict[str, Any]:
    """Measure the processor time that heartbeats take in an idle fleet.

    The time includes the work of the stand-in minions and is therefore an
    upper bound of the entry's part.
    """
    fleet = fleets.Fleet(
        minion_count=IDLE_MINION_COUNT, slots=8, router_count=1
    )
    gevent.sleep(fleets.SETTLE_S)
    started_cpu_s = time.process_time()
    gevent.sleep(IDLE_S)
    used_cpu_s = time.process_time() - started_cpu_s
    fleet.stop()
    return {
        "minions": IDLE_MINION_COUNT,
        "core_share_both_sides": round(used_cpu_s / IDLE_S, 4),
    }


def compute_quantile(values: list[float], quantile: float) -> float:
    """Return the `quantile`, from 0 to 1, of the values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


def _summarise(times_s: dict[str, list[float]]) -> dict[str, Any]:
    summary: dict[str, Any] = {}
    for name, variant_s in times_s.items():
        added_s = [
            time_s - direct_s
            for time_s, direct_s in zip(
                variant_s, times_s["direct"], strict=True
            )
        ]
        summary[name] = {
            "p50_ms": _round_ms(compute_quantile(variant_s, 0.5)),
            "p99_ms": _round_ms(compute_quantile(variant_s, 0.99)),
            "added_p50_ms": _round_ms(compute_quantile(added_s, 0.5)),
            "added_p99_ms": _round_ms(compute_quantile(added_s, 0.99)),
        }
    return summary


def _send_to_minion(peer: Any, key: str) -> Any:
    return peer.call(
        "POST",
        "/v1/requests",
        body=fleets.encode_work(0.0),
        headers={
            "X-Request-Id": identifiers.create_id("try"),
            "X-Request-Key": key,
        },
    )


def _send_to_entry(
    fleet: fleets.EntryFleet, key: str, idempotent_header: str
) -> Any:
    return fleet.peer.call(
        "POST",
        f"/v1/services/{fleets.SERVICE}/requests",
        body=fleets.encode_work(0.0),
        headers={
            "X-Customer": fleets.CUSTOMER,
            "X-Request-Key": key,
            "X-Idempotent": idempotent_header,
        },
    )


def _round_ms(time_s: float) -> float:
    return round(time_s * 1000.0, 3)
