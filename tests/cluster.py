"""Small system of stand-ins and entries in one process, over sockets."""

import gevent

from chervilcove.conf import global_settings
from chervilcove.core import http
from chervilcove.entry import core as entries
from chervilcove.standins import instances
from chervilcove.standins import log
from chervilcove.standins import minion
from chervilcove.standins import worker
from tests import waits

SERVICE = "notice-desk"
MAX_POLLS = int(20 / waits.POLL_INTERVAL_S)  # 20 s unless polls are delayed


class Cluster:
    """Run a log, an instance list, workers, one minion and entries."""

    def __init__(self, *, entry_count: int = 2, worker_count: int = 4):
        self.log = log.LogService()
        self.instances = instances.InstanceList(lag_s=0.1)
        self.workers = [
            worker.Worker(name=f"worker-{index}", speed=10.0)
            for index in range(worker_count)
        ]
        self.minion = minion.Minion(name="minion-0")
        self._entry_count = entry_count
        self.entries: list[entries.Entry] = []
        self.peers: list[http.HttpPeer] = []

    def start(self) -> None:
        for part in (self.log, self.instances, *self.workers, self.minion):
            part.start()
        for index in range(self._entry_count):
            self.add_entry(f"entry-{index}")
        self.wait(
            lambda: all(each.replica.is_following for each in self.entries)
        )

    def add_entry(self, name: str) -> entries.Entry:
        entry = entries.Entry(settings=self.create_settings(name))
        entry.start()
        self.entries.append(entry)
        self.instances.put(
            {
                "name": name,
                "role": "entry",
                "address": entry.address,
                "data_centre": "Giza",
                "state": "live",
                "incarnation": entry.incarnation,
            }
        )
        host, port = entry.address.split(":")
        self.peers.append(http.HttpPeer(host=host, port=int(port)))
        return entry

    def create_settings(self, name: str) -> global_settings.Settings:
        log_host, log_port = self.log.address.split(":")
        list_host, list_port = self.instances.address.split(":")
        return {
            **global_settings.DEFAULTS,
            "entry": {
                **global_settings.DEFAULTS["entry"],
                "name": name,
                "port": 0,
                "data_centre": "Giza",
            },
            "log": {"host": log_host, "port": int(log_port)},
            "instances": {"host": list_host, "port": int(list_port)},
        }

    def stop(self) -> None:
        gevent.joinall([gevent.spawn(each.stop) for each in self.entries])
        for part in (self.log, self.instances, *self.workers, self.minion):
            part.stop()

    def build_first_note(self) -> dict:
        added = [
            {
                "type": "data_centre",
                "name": "Giza",
                "region": "cairo",
                "in_service": True,
            },
            {
                "type": "customer",
                "name": "hotels",
                "weight": 1.0,
                "guarantees": [],
                "teams": [{"name": "default", "quota": 10_000}],
            },
            {
                "type": "service",
                "name": SERVICE,
                "minions": [
                    {
                        "name": "minion-0",
                        "data_centre": "Giza",
                        "address": self.minion.address,
                        "slots": 8,
                        "connections": 64,
                    }
                ],
            },
        ]
        added += [
            {
                "type": "worker",
                "name": each.name,
                "data_centre": "Giza",
                "rack": "giza-1",
                "address": each.address,
                "processors": 128,
                "memory_gb": 256,
                "accelerators": 8,
            }
            for each in self.workers
        ]
        return {
            "id": "note-1",
            "author": "operator",
            "base_revision": 0,
            "added": added,
            "changed": [],
            "withdrawn": [],
        }

    def list_observations(self) -> list[dict]:
        return [task for each in self.workers for task in each.observations]

    @staticmethod
    def wait(condition) -> None:
        """Wait for a condition; fail after `MAX_POLLS` polls without it."""
        waits.wait_until(condition, max_polls=MAX_POLLS)
