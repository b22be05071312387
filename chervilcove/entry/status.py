"""Status of the whole system, as an entry reports it."""

import collections
from typing import Any

from chervilcove.customers import schema as customers
from chervilcove.entry import held_back
from chervilcove.journal import state as states
from chervilcove.scheduling import core as scheduling
from chervilcove.scheduling import worker_states

REFUSAL_INFIX = ".refused."


def build_status(state: states.State) -> dict[str, Any]:
    """Return the status of the replicated state as a JSON-compatible value."""
    configuration = state.core["configuration"]
    return {
        "offset": state.core["offset"],
        "log_time": state.core["time"],
        "configuration": {
            "revision": configuration["revision"],
            "offset": state.core["config_offset"],
            "last_note": state.core["notes"][-1]["id"]
            if state.core["notes"]
            else "",
        },
        "customers": _list_customers(state),
        "data_centres": _list_data_centres(state),
        "queue": _describe_queue(state),
        "jobs": _count_jobs(state),
        "racks": _list_racks(state),
    }


def list_refusals(counts: dict[str, int]) -> dict[str, int]:
    """Return the counters of refusals, most frequent first."""
    refusals = {
        name: count for name, count in counts.items() if REFUSAL_INFIX in name
    }
    return dict(sorted(refusals.items(), key=lambda pair: -pair[1]))


def list_entries(
    members: dict[str, Any], *, name: str, offset: int
) -> list[dict[str, Any]]:
    """Return a row for this entry and one for each peer that it has heard.

    Args:
        members: Description given by `Membership.describe`.
        name: Name of this entry.
        offset: Offset of the latest record that this entry applied.
    """
    rows = [{"entry": name, "state": "live", "offset": offset, "heard_s": 0.0}]
    for peer, description in sorted(members["peers"].items()):
        heartbeat = description["heartbeat"]
        rows.append(
            {
                "entry": peer,
                "state": _name_peer_state(
                    peer, description, members["suspected"]
                ),
                "offset": heartbeat["offset"] if heartbeat else -1,
                "heard_s": description["heard_s_ago"],
            }
        )
    return rows


def _name_peer_state(
    peer: str, description: dict[str, Any], suspected: list[str]
) -> str:
    if description["is_leaving"]:
        return "leaving"
    return "suspected" if peer in suspected else "live"


def list_minions(described: dict[str, Any]) -> list[dict[str, Any]]:
    """Return one row per minion from the router's description."""
    return [
        {
            "service": service,
            "minion": minion["name"],
            "data_centre": minion["data_centre"],
            "state": minion["state"],
            "in_flight": minion["in_flight"],
            "load": minion["load"],
        }
        for service, row in described["services"].items()
        for minion in row["minions"]
    ]


def _list_customers(state: states.State) -> list[dict[str, Any]]:
    used: collections.Counter[str] = collections.Counter()
    borrowed: collections.Counter[str] = collections.Counter()
    for gang in state.pool.gangs.values():
        accelerators = sum(place.mask.bit_count() for place in gang.places)
        counter = used if gang.slot else borrowed
        counter[gang.customer] += accelerators
    at_risk_counts = collections.Counter(
        shortage.customer for shortage in state.pool.list_guarantees_at_risk()
    )
    held_back_counts = held_back.count_jobs(state)
    return [
        {
            "customer": name,
            "guaranteed": _sum_guaranteed(customer),
            "used": used[name],
            "borrowed": borrowed[name],
            "at_risk": at_risk_counts[name],
            "running": _describe_usage(state, name),
            "maximum": customer.get("maximum"),
            "held_back": held_back_counts.get(name, 0),
        }
        for name, customer in state.core["configuration"]["customers"].items()
    ]


def _describe_usage(state: states.State, customer: str) -> dict[str, float]:
    """Return what counts for the maximum, what is being stopped included."""
    usage = state.pool.usage.get(customer)
    return {
        "processors": usage.processors / worker_states.MILLIUNITS_PER_UNIT,
        "memory_gb": usage.memory_gb / worker_states.MILLIUNITS_PER_UNIT,
        "accelerators": usage.accelerators,
    }


def _sum_guaranteed(customer: customers.Customer) -> int:
    return sum(
        guarantee["accelerators"] * guarantee["count"]
        for guarantee in customer["guarantees"]
    )


def _list_data_centres(state: states.State) -> list[dict[str, Any]]:
    counts: dict[str, collections.Counter[str]] = {}
    for worker in state.core["configuration"]["workers"].values():
        is_healthy = worker["name"] not in state.core["unhealthy"]
        counter = counts.setdefault(
            worker["data_centre"], collections.Counter()
        )
        counter["healthy" if is_healthy else "unhealthy"] += 1
    return [
        {
            "data_centre": name,
            "region": data_centre["region"],
            "in_service": data_centre["in_service"],
            "healthy": counts.get(name, {}).get("healthy", 0),
            "unhealthy": counts.get(name, {}).get("unhealthy", 0),
        }
        for name, data_centre in state.core["configuration"][
            "data_centres"
        ].items()
    ]


def _describe_queue(state: states.State) -> list[dict[str, Any]]:
    queue = []
    for urgency in scheduling.Urgency:
        names = [
            name
            for name in state.queue
            if state.core["jobs"][name]["spec"]["urgency"] == urgency
        ]
        oldest = names[0] if names else ""
        wait = state.core["waits"].get(oldest)
        age_s = 0.0
        if oldest:
            submitted_at = state.core["jobs"][oldest]["submitted_at"]
            age_s = state.core["time"] - submitted_at
        queue.append(
            {
                "urgency": urgency.value,
                "waiting": len(names),
                "oldest_job": oldest,
                "oldest_wait_s": round(age_s, 1),
                "reason": wait.reason if wait else "",
            }
        )
    return queue


def _count_jobs(state: states.State) -> dict[str, int]:
    return {
        "waiting": len(state.queue),
        "active": len(state.active),
        "finished": len(state.finished),
    }


def _list_racks(state: states.State) -> list[dict[str, Any]]:
    racks: dict[str, dict[str, Any]] = {}
    for worker in state.core["configuration"]["workers"].values():
        rack = racks.setdefault(
            worker["rack"],
            {
                "rack": worker["rack"],
                "data_centre": worker["data_centre"],
                "workers": [],
            },
        )
        rack["workers"].append(_describe_worker(state, worker))
    return list(racks.values())


def _describe_worker(
    state: states.State, worker: customers.Worker
) -> dict[str, Any]:
    name = worker["name"]
    return {
        "worker": name,
        "usable": state.pool.is_usable(name),
        "accelerators": worker["accelerators"],
        "free": state.pool.get_free_mask(name),
    }
