"""Calls and records that tests send to an entry on the platform."""

import json

from tests.control import system as systems

JOB = "00000000000000aa"
TASK = f"{JOB}.0.0.0"
BODY = {"spec": "(text)", "steps": [{"count": 1, "cpu": 500, "gpu": 1}]}


def put_raw(platform, topic, key, content):
    platform.store.get_topic(topic).append([(key, content)], timeout_s=1)


def call(peer, method, job, body=b"", headers=None):
    return peer.call(
        method,
        f"/batch/{job}",
        body=body,
        headers={
            "Host": "jobs.example",
            "X-Chervilcove-Key": "key-1",
            **(headers or {}),
        },
    )


def run_job(platform, peer, job=JOB):
    """Submit a job; return the worker that runs it."""
    reply = call(peer, "POST", job, json.dumps(BODY).encode())
    assert reply.status == 200
    return systems.wait_until(
        lambda: next(
            (
                minion.worker
                for minion in platform.minions
                if f"{job}.0.0.0" in minion.worker.running
            ),
            None,
        )
    )
