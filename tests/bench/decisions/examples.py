"""Small scenarios whose expected figures can be computed by hand."""

from chervilcove.bench.decisions import scenarios
from chervilcove.core import errors


def build_job(name, **changes):
    job = {
        "id": name,
        "customer": "hotels",
        "team": "all",
        "kind": "survey",
        "urgency": "normal",
        "tasks": 1,
        "accelerators": 8,
        "adjacent": "worker",
        "processors": 1,
        "memory_gb": 1,
        "run_s": 100,
        "declared_run_s": 100,
    }
    job.update(changes)
    return job


def submit(at, name, **changes):
    return {"at_s": at, "kind": "submit", "job": build_job(name, **changes)}


def build_scenario(events, **changes):
    """Return a validated scenario with two workers in one rack."""
    value = {
        "name": "example",
        "about": "Worked out by hand.",
        "horizon_s": 200,
        "drain_s": 800,
        "pool": {
            "data_centres": [{"name": "Giza", "racks": [2]}],
            "processors": 16,
            "memory_gb": 32,
        },
        "customers": [
            {"name": "hotels", "teams": [{"name": "all", "quota": 64}]}
        ],
        "events": events,
    }
    value.update(changes)
    scenario = scenarios.read_scenario(value)
    assert not errors.is_refusal(scenario), scenario
    return scenario


def build_two_customers():
    """Return a customer with a guarantee and one without."""
    return [
        {
            "name": "hotels",
            "guarantees": [
                {
                    "name": "surveys",
                    "accelerators": 8,
                    "adjacent": "worker",
                    "count": 1,
                }
            ],
            "teams": [{"name": "all", "quota": 64}],
        },
        {"name": "families", "teams": [{"name": "all", "quota": 64}]},
    ]
