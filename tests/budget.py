"""Measure the processor time, memory and traffic of entries.

Run it by `python -m tests.budget --workers 250 --entries 6 --seconds 120`.
Entries run as processes and are measured; stand-ins run in this process and
are not. Traffic is that of the whole loopback interface, so nothing else may
use the interface during the measurement.
"""

import argparse
import json
import os
import pathlib
import socket
import statistics
import sys
import time

import gevent
import mirakuru
import psutil

from chervilcove.bench.capacity import models
from chervilcove.core import errors
from chervilcove.core import http
from chervilcove.management import utils
from chervilcove.standins import instances
from chervilcove.standins import log
from chervilcove.standins import worker

BUDGET = {"cpu_share": 0.028, "memory_mib": 256.0, "bytes_a_second": 23_000.0}
CPU_TASKS_PER_WORKER = 19
TASK_RUN_S = 36_000.0
ARRIVAL_INTERVAL_S = 36.0
NOTE_INTERVAL_S = 54.0
SETTLE_S = 20.0
COMMAND = pathlib.Path(sys.executable).parent / "chervilcove"
_MIB = 1024.0 * 1024.0


class Fleet:
    """Run stand-ins in this process and each entry in a process of its own."""

    def __init__(self, *, workers: int, entries: int):
        self.log = log.LogService()
        self.instances = instances.InstanceList(lag_s=0.5)
        self.workers = [
            worker.Worker(name=f"worker-{number:04d}")
            for number in range(workers)
        ]
        self.entries: list[mirakuru.SimpleExecutor] = []
        self.peers: list[http.HttpPeer] = []
        self._entry_count = entries
        self._notes = 0
        self._arrivals = 0
        self._jobs = 0
        self._customers: list[dict] = []

    def start(self) -> None:
        for part in (self.log, self.instances, *self.workers):
            part.start()
        for number in range(self._entry_count):
            self._start_entry(f"entry-{number + 1}")
        teams = min(400, len(self.workers))
        note = models.build_note(models.Size(len(self.workers), 0, teams))
        self._customers = [
            item for item in note["added"] if item["type"] == "customer"
        ]
        addresses = {one.name: one.address for one in self.workers}
        for item in note["added"]:
            if item["type"] == "worker":
                item["address"] = addresses[item["name"]]
        self._call("/v1/notes", note)

    def fill(self) -> None:
        for number in range(len(self.workers)):
            self.submit(f"gang-{number}", tasks=8, accelerators=1)
            self.submit(
                f"plain-{number}", tasks=CPU_TASKS_PER_WORKER, accelerators=0
            )
        expected = len(self.workers) * (8 + CPU_TASKS_PER_WORKER)
        with gevent.Timeout(600):
            while sum(len(one.observations) for one in self.workers) < expected:
                gevent.sleep(0.5)

    def submit(self, key: str, *, tasks: int, accelerators: int) -> None:
        self._jobs += 1
        customer = self._customers[self._jobs % len(self._customers)]
        cycle = self._jobs // len(self._customers)
        team = customer["teams"][cycle % len(customer["teams"])]
        self._call(
            "/v1/jobs",
            {
                "key": key,
                "customer": customer["name"],
                "team": team["name"],
                "tasks": tasks,
                "accelerators": accelerators,
                "processors": 1,
                "memory_gb": 1,
                "adjacent": "worker" if accelerators else "data_centre",
                "payload": {"run_s": TASK_RUN_S},
            },
        )

    def submit_arrival(self) -> None:
        self._arrivals += 1
        self.submit(f"arrival-{self._arrivals}", tasks=1, accelerators=0)

    def submit_note(self) -> None:
        self._notes += 1
        customer = {"type": "customer", "name": "customer-01"}
        note = {
            "id": f"change-{self._notes}",
            "author": "budget",
            "base_revision": self._notes,
            "added": [],
            "changed": [{**customer, "weight": 1.0 + self._notes}],
            "withdrawn": [],
        }
        self._call("/v1/notes", note)

    def stop(self) -> None:
        for entry in self.entries:
            entry.stop()

    def _start_entry(self, name: str) -> None:
        port = find_free_port()
        environment = {
            **os.environ,
            "CHERVILCOVE_ENTRY__NAME": name,
            "CHERVILCOVE_ENTRY__PORT": str(port),
            "CHERVILCOVE_LOG__PORT": self.log.address.split(":")[1],
            "CHERVILCOVE_INSTANCES__PORT": self.instances.address.split(":")[1],
            "CHERVILCOVE_LOG_LEVEL": "WARNING",
        }
        # Nothing reads the output, but at this log level an entry writes one
        # line only and so can't block on a full pipe.
        process = mirakuru.SimpleExecutor(
            [str(COMMAND), "entry"], envvars=environment
        )
        process.start()
        self.entries.append(process)
        peer = http.HttpPeer(host="127.0.0.1", port=port)
        with gevent.Timeout(60):
            while errors.is_refusal(peer.call_json("GET", "/readyz")):
                gevent.sleep(0.1)
        self.peers.append(peer)
        self.instances.put(
            {
                "name": name,
                "role": "entry",
                "address": f"127.0.0.1:{port}",
                "data_centre": "data-centre-0",
                "state": "live",
                "incarnation": "",
            }
        )

    def _call(self, path: str, value: dict) -> None:
        outcome = self.peers[0].call_json("POST", path, value, timeout_s=60)
        if errors.is_refusal(outcome):
            raise RuntimeError(f"{path}: {outcome}")


def find_free_port() -> int:
    """Return a TCP port that is free; another process may still take it."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def measure(fleet: Fleet, *, seconds: float) -> dict:
    """Return what each entry uses while jobs arrive and notes are submitted.

    Args:
        fleet: Started fleet whose tasks all run.
        seconds: Duration of the measurement.

    Returns:
        The report: processor share, MiB of memory and bytes/s for each entry.
    """
    processes = [psutil.Process(one.process.pid) for one in fleet.entries]
    gevent.sleep(SETTLE_S)
    before = [_read_cpu_s(one) for one in processes]
    loopback = psutil.net_io_counters(pernic=True)["lo"].bytes_sent
    started = time.monotonic()
    work = [
        gevent.spawn(_repeat, ARRIVAL_INTERVAL_S, fleet.submit_arrival),
        gevent.spawn(_repeat, NOTE_INTERVAL_S, fleet.submit_note),
    ]
    gevent.sleep(seconds)
    elapsed = time.monotonic() - started
    gevent.killall(work)
    cpu_shares = [
        (_read_cpu_s(one) - old) / elapsed
        for one, old in zip(processes, before, strict=True)
    ]
    sent_bytes = psutil.net_io_counters(pernic=True)["lo"].bytes_sent - loopback
    memory = [one.memory_info().rss / _MIB for one in processes]
    return {
        "workers": len(fleet.workers),
        "tasks": len(fleet.workers) * (8 + CPU_TASKS_PER_WORKER),
        "entries": len(processes),
        "seconds": round(elapsed, 1),
        "cpu_share": {
            "mean": statistics.mean(cpu_shares),
            "max": max(cpu_shares),
        },
        "memory_mib": {"mean": statistics.mean(memory), "max": max(memory)},
        "bytes_a_second": {"mean": sent_bytes / elapsed / len(processes)},
        "budget": BUDGET,
    }


def _read_cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return times.user + times.system


def _repeat(interval_s: float, action) -> None:
    while True:
        action()
        gevent.sleep(interval_s)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--workers", type=int, default=250)
    parser.add_argument("--entries", type=int, default=6)
    parser.add_argument("--seconds", type=float, default=120.0)
    parser.add_argument("--report", default="reports/budget.json")
    options = parser.parse_args()
    fleet = Fleet(workers=options.workers, entries=options.entries)
    try:
        fleet.start()
        fleet.fill()
        report = measure(fleet, seconds=options.seconds)
    finally:
        fleet.stop()
    utils.write_report(options.report, report)
    print(json.dumps(report, indent=2))


if __name__ == "__main__":
    main()
