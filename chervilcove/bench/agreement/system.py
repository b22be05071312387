"""A small system in one process: stand-ins and entries, real sockets."""

import copy
from typing import Any

from chervilcove.bench.agreement import utils
from chervilcove.conf import global_settings
from chervilcove.core import errors
from chervilcove.core import http
from chervilcove.entry import core as entries
from chervilcove.standins import instances
from chervilcove.standins import log
from chervilcove.standins import worker

START_TIMEOUT_S = 30.0
CALL_TIMEOUT_S = 15.0
CENTRE = "Heliopolis"


class System:
    """Run a log, an instance list, workers and entries.

    Args:
        entries: Number of entries.
        workers: Number of workers.
    """

    def __init__(self, *, entries: int, workers: int):
        self.log = log.LogService()
        self._instances = instances.InstanceList(lag_s=0.1)
        self._workers = [
            worker.Worker(name=f"worker-{index}") for index in range(workers)
        ]
        self._count = entries
        self.entries: list[Any] = []
        self._peers: dict[str, http.HttpPeer] = {}

    def start(self) -> None:
        """Start all parts and put the first note into force."""
        for part in (self.log, self._instances, *self._workers):
            part.start()
        for _ in range(self._count):
            self.add_entry()
        utils.wait(
            lambda: all(
                one.replica.is_following
                and len(one.membership.list_live_entries()) == self._count
                for one in self.entries
            ),
            timeout_s=START_TIMEOUT_S,
        )
        if self.entries:
            answer = self.call(
                self.entries[0], "POST", "/v1/notes", self._build_first_note()
            )
            if errors.is_refusal(answer):
                raise RuntimeError(answer.reason)

    def stop(self) -> None:
        """Stop all parts."""
        for entry in self.entries:
            entry.kill()
        for part in (self.log, self._instances, *self._workers):
            part.stop()

    def add_entry(self) -> Any:
        """Start one more entry and list it."""
        name = f"entry-{len(self.entries)}"
        entry = entries.Entry(settings=self._create_settings(name))
        entry.start()
        self.entries.append(entry)
        self._instances.put(
            instances.Instance(
                name=name,
                role="entry",
                address=entry.address,
                data_centre=CENTRE,
                state="live",
                incarnation=entry.incarnation,
            )
        )
        host, port = entry.address.split(":")
        self._peers[name] = http.HttpPeer(host=host, port=int(port))
        return entry

    def call(self, entry: Any, method: str, path: str, value: Any) -> Any:
        """Call `entry` over HTTP."""
        return self._peers[entry.name].call_json(
            method, path, value, timeout_s=CALL_TIMEOUT_S
        )

    def build_change(self, number: int, revision: int) -> dict[str, Any]:
        """Return a note that changes the size of one worker."""
        change = {"type": "worker", "name": "worker-0"}
        change["processors"] = 64 + number % 2
        return _build_note(f"change-{number}", revision, changed=[change])

    def build_job(self, number: int, *, run_s: float) -> dict[str, Any]:
        """Return a job of two tasks."""
        return {
            "key": f"job-{number}",
            "customer": "customer-0",
            "team": "team",
            "tasks": 2,
            "accelerators": 1,
            "payload": {"run_s": run_s},
        }

    def _create_settings(self, name: str) -> global_settings.Settings:
        settings = copy.deepcopy(global_settings.DEFAULTS)
        settings["entry"]["name"] = name
        settings["entry"]["data_centre"] = CENTRE
        settings["entry"]["port"] = 0
        settings["entry"]["peer_port"] = 0
        settings["log"] = _split(self.log.address)
        settings["instances"] = _split(self._instances.address)
        return settings

    def _build_first_note(self) -> dict[str, Any]:
        added: list[dict[str, Any]] = [
            {
                "type": "data_centre",
                "name": CENTRE,
                "region": "cairo",
                "in_service": True,
            },
            {
                "type": "customer",
                "name": "customer-0",
                "weight": 1.0,
                "guarantees": [],
                "teams": [{"name": "team", "quota": 1_000}],
            },
        ]
        added += [
            {
                "type": "worker",
                "name": one.name,
                "data_centre": CENTRE,
                "rack": f"rack-{index // 6}",
                "address": one.address,
                "processors": 128,
                "memory_gb": 256,
                "accelerators": 8,
            }
            for index, one in enumerate(self._workers)
        ]
        return _build_note("first", 0, added=added)


def _split(address: str) -> global_settings.Address:
    host, port = address.split(":")
    return global_settings.Address(host=host, port=int(port))


def _build_note(name: str, base: int, **items: list) -> dict[str, Any]:
    return {
        "id": name,
        "author": "bench",
        "base_revision": base,
        "added": [],
        "changed": [],
        "withdrawn": [],
        **items,
    }
