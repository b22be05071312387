"""A small system of stand-ins and entries in one process, over sockets."""

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
DATA_CENTRE = "Heliopolis"


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
        self._entry_count = entries
        self.entries: list[Any] = []
        self._peers: dict[str, http.HttpPeer] = {}

    def start(self) -> None:
        """Start all parts and submit the first configuration note."""
        for service in (self.log, self._instances, *self._workers):
            service.start()
        for _ in range(self._entry_count):
            self.add_entry()
        utils.wait_until(
            lambda: all(
                entry.replica.is_following
                and len(entry.membership.list_live_entries())
                == self._entry_count
                for entry in self.entries
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
        """Kill the entries and stop the stand-ins."""
        for entry in self.entries:
            entry.kill()
        for service in (self.log, self._instances, *self._workers):
            service.stop()

    def add_entry(self) -> Any:
        """Start one more entry and add it to the instance list."""
        name = f"entry-{len(self.entries)}"
        entry = entries.Entry(settings=self._create_settings(name))
        entry.start()
        self.entries.append(entry)
        self._instances.put(
            instances.Instance(
                name=name,
                role="entry",
                address=entry.address,
                data_centre=DATA_CENTRE,
                state="live",
                incarnation=entry.incarnation,
            )
        )
        host, port = entry.address.split(":")
        self._peers[name] = http.HttpPeer(host=host, port=int(port))
        return entry

    def call(self, entry: Any, method: str, path: str, value: Any) -> Any:
        """Call `entry` over HTTP and return its answer or a refusal."""
        return self._peers[entry.name].call_json(
            method, path, value, timeout_s=CALL_TIMEOUT_S
        )

    def build_change(self, number: int, revision: int) -> dict[str, Any]:
        """Return a note that changes the number of processors of one worker."""
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
        settings["entry"]["data_centre"] = DATA_CENTRE
        settings["entry"]["port"] = 0
        settings["entry"]["peer_port"] = 0
        settings["log"] = _split_address(self.log.address)
        settings["instances"] = _split_address(self._instances.address)
        return settings

    def _build_first_note(self) -> dict[str, Any]:
        added: list[dict[str, Any]] = [
            {
                "type": "data_centre",
                "name": DATA_CENTRE,
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
                "name": stand_in.name,
                "data_centre": DATA_CENTRE,
                "rack": f"rack-{index // 6}",
                "address": stand_in.address,
                "processors": 128,
                "memory_gb": 256,
                "accelerators": 8,
            }
            for index, stand_in in enumerate(self._workers)
        ]
        return _build_note("first", 0, added=added)


def _split_address(address: str) -> global_settings.Address:
    host, port = address.split(":")
    return global_settings.Address(host=host, port=int(port))


def _build_note(
    note_id: str, base_revision: int, **items: list
) -> dict[str, Any]:
    return {
        "id": note_id,
        "author": "bench",
        "base_revision": base_revision,
        "added": [],
        "changed": [],
        "withdrawn": [],
        **items,
    }
