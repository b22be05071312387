"""System whose stand-ins and entries are operating system processes."""

import json
import signal
import sys
import time

import gevent
from gevent import hub
from mirakuru import base

from chervilcove.core import http
from chervilcove.core import identifiers
from chervilcove.standins import evidence
from chervilcove.standins import minion_records
from tests import proxy
from tests.integration import system

CENTRES = ("Giza", "Giza", "Maadi", "Maadi")
MINION_COUNT = 2
# Other entries suspect a killed entry after 3 s. A lease must last longer than
# that after its last renewal.
RUN_TTL_S = 6.0
PARTIAL_LIMIT_S = RUN_TTL_S + 2.0


class CommandProcess:
    """Process of one `chervilcove` command that prints its address first."""

    def __init__(self, name, *command):
        self.name = name
        self._executor = base.SimpleExecutor(
            [sys.executable, "-m", "chervilcove", *command]
        )

    def start(self):
        self._executor.start()
        self.process = self._executor.process

    def read_address(self):
        pool = hub.get_hub().threadpool
        line = pool.apply(self.process.stdout.readline)
        self.address = line.split()[1]

    def send_signal(self, number):
        self.process.send_signal(number)

    def wait(self):
        while self.process.poll() is None:
            gevent.sleep(0.02)
        return self.process.returncode

    def kill(self):
        self.process.kill()
        self.wait()

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
        self._executor.kill()


class ProcessSystem(system.System):
    """Run each stand-in and each entry in a process of its own."""

    def __init__(self, *, folder, entry_count=3):
        super().__init__(entry_count=0, centres=CENTRES, run_ttl_s=RUN_TTL_S)
        self._folder = folder
        self._entry_names = [f"entry-{i}" for i in range(entry_count)]
        self.log = CommandProcess("log", "standin", "log")
        self.instances = CommandProcess(
            "list", "standin", "instances", "--lag", str(system.LIST_LAG_S)
        )
        self.workers = [
            CommandProcess(name, "standin", "worker", "--name", name)
            for name in self.centres
        ]
        self.minions = [
            CommandProcess(
                f"minion-{i}", "standin", "minion", "--name", f"minion-{i}"
            )
            for i in range(MINION_COUNT)
        ]
        self.stopped_entries: list[CommandProcess] = []

    def start(self):
        parts = [self.log, self.instances, *self.workers, *self.minions]
        for part in parts:
            part.start()
        for part in parts:
            part.read_address()
        self.list_proxy.target = self.instances.address
        self.list_proxy.start()
        for group, proxies in (
            (self.workers, self.worker_proxies),
            (self.minions, self.minion_proxies),
        ):
            for part in group:
                proxies[part.name] = self._create_proxy(part.address)
        for name in self._entry_names:
            self.add_entry(name, wait=False)
        for name in self._entry_names:
            self.announce_entry(name)
        self.wait_ready()
        answer = self.call(
            self.any_entry(), "POST", "/v1/notes", self.build_first_note()
        )
        assert answer["accepted"], answer

    def stop(self):
        for part in (
            *self.entries.values(),
            *self.stopped_entries,
            *self.workers,
            *self.minions,
            self.instances,
            self.log,
        ):
            part.stop()
        for each in self.list_proxies():
            each.stop()

    def wait_ready(self):
        self.wait(
            lambda: all(
                self.call(name, "GET", "/readyz", timeout_s=2)
                == {"ready": True}
                for name in self.entries
            ),
            describe=lambda: "not all entries are ready",
        )

    def add_entry(self, name, *, wait=True):
        self.log_proxies[name] = self._create_proxy(self.log.address)
        path = self._folder / f"{name}.jsonc"
        path.write_text(json.dumps(self.create_settings(name)))
        part = CommandProcess(name, "entry", "--settings", str(path))
        part.start()
        self.entries[name] = part
        if wait:
            self.announce_entry(name)
            self.wait_ready()
        return part

    def announce_entry(self, name):
        part = self.entries[name]
        part.read_address()
        row = {
            "name": name,
            "role": "entry",
            "address": part.address,
            "data_centre": "Giza",
            "state": "live",
            "incarnation": "",
        }
        self._change_list("", row)

    def kill_entry(self, name):
        part = self.entries.pop(name)
        part.process.kill()
        self.stopped_entries.append(part)
        gevent.spawn_later(
            system.LIST_LAG_S, self._change_list, f"/{name}/remove", None
        )

    def stop_entry(self, name):
        """Stop an entry by SIGTERM; record the times and the exit code."""
        part = self.entries[name]
        asked_at = time.time()
        part.send_signal(signal.SIGTERM)
        del self.entries[name]
        self.stopped_entries.append(part)
        code = part.wait()
        self._change_list(f"/{name}/remove", None)
        stop = evidence.PlannedStop(name, asked_at, time.time(), code)
        self.stops.append(stop)
        return stop

    def find_owner(self, worker_name):
        rack = f"{self.centres[worker_name]}-1"
        return identifiers.rank_members(rack, list(self.entries))[0]

    def set_log_faults(self, **switches):
        self._get(self.log.address, "POST", "/v1/faults", switches)

    def get_job(self, job):
        for name in self.entries:
            answer = self.call(name, "GET", f"/v1/jobs/{job}", timeout_s=3)
            if isinstance(answer, dict):
                return answer
        return None

    def list_observations(self):
        return [
            task
            for part in self.workers
            for task in self._get(part.address, "GET", "/v1/observations")
        ]

    def read_revisions(self):
        for name in list(self.entries):
            shown = self.call(name, "GET", "/v1/configuration", timeout_s=2)
            if isinstance(shown, dict):
                reading = evidence.Reading(name, time.time(), shown["revision"])
                self.readings.append(reading)

    def collect_evidence(self):
        executions = []
        for part in self.minions:
            observed = self._get(part.address, "GET", "/v1/observations")
            executions += [
                minion_records.Execution(**fields)
                for fields in observed["executions"]
            ]
            if observed["leaving_since"]:
                self.leaving[part.name] = observed["leaving_since"]
        return evidence.Evidence(
            now=time.time(),
            observations=self.list_observations(),
            centres=self.centres,
            executions=executions,
            leaving=self.leaving,
            outages=self.outages,
            reclaims=self.reclaims,
            calls=self.calls,
            stops=self.stops,
            probes=self.probes,
            readings=self.readings,
            partial_limit_s=PARTIAL_LIMIT_S,
        )

    def _change_list(self, path, row):
        self._get(self.instances.address, "POST", f"/v1/instances{path}", row)

    @staticmethod
    def _get(address, method, path, value=None):
        host, port = address.split(":")
        peer = http.HttpPeer(host=host, port=int(port), connections=1)
        try:
            return peer.call_json(method, path, value)
        finally:
            peer.close()


def kill_on_bytes(observed: proxy.Proxy, mark: bytes, kill) -> None:
    """Call `kill` when the first chunk with `mark` goes to the server."""
    observed.mark = mark
    observed.on_mark = kill
