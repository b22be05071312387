"""System in one process, with a fault-injecting proxy on every path."""

import itertools
import time

import gevent
import msgspec

from chervilcove.conf import global_settings
from chervilcove.core import errors
from chervilcove.core import http
from chervilcove.core import identifiers
from chervilcove.entry import core as entries
from chervilcove.standins import evidence
from chervilcove.standins import instances
from chervilcove.standins import log
from chervilcove.standins import minion
from chervilcove.standins import worker
from tests import proxy
from tests import waits

SERVICE = "notice-desk"
SPEED = 10.0
RUN_TTL_S = 4.0
LIST_LAG_S = 0.2
# A gang may run partially until its last lease has expired. The margin covers
# calls and delays of a busy machine.
PARTIAL_LIMIT_S = RUN_TTL_S + 2.0
CENTRES = ("Giza", "Giza", "Maadi", "Maadi")
MAX_POLLS = int(30 / waits.POLL_INTERVAL_S)  # 30 s unless polls are delayed


class System:
    """Run stand-ins and entries; record what callers and operators observed."""

    def __init__(
        self,
        *,
        entry_count=2,
        centres=CENTRES,
        guarantees=(),
        run_ttl_s=RUN_TTL_S,
    ):
        self.leases = {"run_ttl_s": run_ttl_s, "renew_s": run_ttl_s / 5}
        self.guarantees = list(guarantees)
        self.log = log.LogService()
        self.instances = instances.InstanceList(lag_s=LIST_LAG_S)
        self.workers = [
            worker.Worker(
                name=f"worker-{i}", speed=SPEED, checkpoint_every_s=5.0
            )
            for i in range(len(centres))
        ]
        self.minions = [minion.Minion(name=f"minion-{i}") for i in range(2)]
        self.centres = {
            each.name: centre
            for each, centre in zip(self.workers, centres, strict=True)
        }
        self.entry_count = entry_count
        self.entries: dict[str, entries.Entry] = {}
        self.log_proxies: dict[str, proxy.Proxy] = {}
        self.worker_proxies: dict[str, proxy.Proxy] = {}
        self.minion_proxies: dict[str, proxy.Proxy] = {}
        self.list_proxy = proxy.Proxy(self.instances.address)
        self.lost_workers: set[str] = set()
        self.unique_numbers = itertools.count(1)
        self.calls: list[evidence.Call] = []
        self.kills: list[evidence.Kill] = []
        self.outages: list[evidence.Outage] = []
        self.readings: list[evidence.Reading] = []
        self.probes: list[evidence.Probe] = []
        self.stops: list[evidence.PlannedStop] = []
        self.leaving: dict[str, float] = {}
        self.reclaims: list[evidence.Reclaim] = []

    def start(self):
        for part in (self.log, self.instances, *self.workers, *self.minions):
            part.start()
        self.list_proxy.target = self.instances.address
        self.list_proxy.start()
        for parts, proxies in (
            (self.workers, self.worker_proxies),
            (self.minions, self.minion_proxies),
        ):
            for part in parts:
                proxies[part.name] = self._create_proxy(part.address)
        for index in range(self.entry_count):
            self.add_entry(f"entry-{index}")
        self.wait(
            lambda: all(
                entry.replica.is_following for entry in self.entries.values()
            )
        )
        accepted = self.call(
            "entry-0", "POST", "/v1/notes", self.build_first_note()
        )
        assert not errors.is_refusal(accepted), accepted

    def stop(self):
        for entry in self.entries.values():
            entry.kill()
        for part in (self.log, self.instances, *self.workers, *self.minions):
            part.stop()
        for each in self.list_proxies():
            each.stop()

    def list_proxies(self):
        return [
            self.list_proxy,
            *self.log_proxies.values(),
            *self.worker_proxies.values(),
            *self.minion_proxies.values(),
        ]

    def _create_proxy(self, address):
        instance = proxy.Proxy(address)
        instance.start()
        return instance

    def add_entry(self, name):
        self.log_proxies[name] = self._create_proxy(self.log.address)
        entry = entries.Entry(settings=self.create_settings(name))
        entry.start()
        self.entries[name] = entry
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
        return entry

    def kill_entry(self, name):
        entry = self.entries.pop(name)
        entry.kill()
        gevent.spawn_later(LIST_LAG_S, self.instances.remove, name)

    def kill_worker(self, name):
        killed = next(each for each in self.workers if each.name == name)
        self.kills.append(evidence.Kill(name, time.time()))
        for task in killed.observations:
            if not task["ended_at"]:
                task.update(ended_at=time.time(), end="killed")
        self.worker_proxies[name].refusing = True
        self.worker_proxies[name].reset_connections()
        killed.stop()

    def create_settings(self, name) -> global_settings.Settings:
        log_host, log_port = self.log_proxies[name].address.split(":")
        list_host, list_port = self.list_proxy.address.split(":")
        defaults = global_settings.DEFAULTS
        entry = {"name": name, "port": 0, "data_centre": "Giza"}
        return {
            **defaults,
            "entry": {**defaults["entry"], **entry},
            "log": {"host": log_host, "port": int(log_port)},
            "instances": {"host": list_host, "port": int(list_port)},
            "leases": self.leases,
        }

    def call(self, name, method, path, value=None, *, timeout_s=15.0):
        host, port = self.entries[name].address.split(":")
        peer = http.HttpPeer(host=host, port=int(port), connections=1)
        try:
            return peer.call_json(method, path, value, timeout_s=timeout_s)
        finally:
            peer.close()

    def any_entry(self):
        return next(iter(self.entries))

    def submit(self, *, entry="", **changes):
        """Submit a gang that uses all accelerators of two workers.

        Tries the entries in turn until one accepts.

        Args:
            entry: Name of the only entry to try, empty for all.
            **changes: Fields of the job that replace or extend the defaults.

        Returns:
            Id of the job.
        """
        spec = {
            "key": f"job-{next(self.unique_numbers)}",
            "customer": "hotels",
            "tasks": 2,
            "accelerators": 8,
            "payload": {"run_s": 1.5 * SPEED, "result": "ok"},
            **changes,
        }
        for number in range(100):
            name = entry or list(self.entries)[number % len(self.entries)]
            answer = self.call(name, "POST", "/v1/jobs", spec, timeout_s=4)
            if not errors.is_refusal(answer):
                return answer["job"]
            gevent.sleep(0.1)
        raise AssertionError(answer)

    def get_job(self, job):
        name = self.any_entry()
        return self.entries[name].replica.state.core["jobs"].get(job)

    def is_finished(self, job):
        seen = self.get_job(job)
        return seen is not None and bool(seen["finished_at"])

    def list_running(self, job):
        return [
            task
            for task in self.list_observations()
            if task["job"] == job and not task["ended_at"]
        ]

    def list_observations(self):
        return [task for each in self.workers for task in each.observations]

    def send(self, *, entry, key, idempotent, work_ms=2.0, service=SERVICE):
        """Send one request as a caller; record and return its outcome."""
        host, port = self.entries[entry].address.split(":")
        peer = http.HttpPeer(host=host, port=int(port), connections=1)
        sent_at = time.time()
        reply = peer.call(
            "POST",
            f"/v1/services/{service}/requests",
            body=msgspec.json.encode({"work_ms": work_ms}),
            headers={
                "X-Customer": "hotels",
                "X-Idempotent": "true" if idempotent else "false",
                "X-Request-Key": key,
            },
            timeout_s=8.0,
        )
        peer.close()
        outcome, digest = classify_reply(reply)
        self.calls.append(
            evidence.Call(
                key=key,
                entry=entry,
                sent_at=sent_at,
                ended_at=time.time(),
                outcome=outcome,
                digest=digest,
                idempotent=idempotent,
            )
        )
        return outcome

    def change_data_centre(self, name, in_service):
        """Change a data centre as an operator; retry until it is accepted."""
        for number in range(100):
            entry = list(self.entries)[number % len(self.entries)]
            shown = self.call(entry, "GET", "/v1/configuration")
            note = self.build_note(shown["revision"])
            change = {"type": "data_centre", "name": name}
            note["changed"] = [{**change, "in_service": in_service}]
            answer = self.call(entry, "POST", "/v1/notes", note, timeout_s=4)
            if not errors.is_refusal(answer):
                break
            gevent.sleep(0.1)
        else:
            raise AssertionError(answer)
        now = time.time()
        if in_service:
            self.outages = [
                outage
                if outage.back_at or outage.data_centre != name
                else outage._replace(back_at=now - 0.5)
                for outage in self.outages
            ]
        else:
            self.outages.append(evidence.Outage(name, now))

    def read_revisions(self):
        for name, entry in list(self.entries.items()):
            revision = entry.replica.state.core["configuration"]["revision"]
            reading = evidence.Reading(name, time.time(), revision)
            self.readings.append(reading)

    def collect_evidence(self) -> evidence.Evidence:
        return evidence.Evidence(
            now=time.time(),
            observations=self.list_observations(),
            kills=self.kills,
            centres=self.centres,
            executions=[
                execution
                for each in self.minions
                for execution in each.records.list_executions()
            ],
            leaving=self.leaving,
            outages=self.outages,
            reclaims=self.reclaims,
            calls=self.calls,
            stops=self.stops,
            probes=self.probes,
            readings=self.readings,
            partial_limit_s=PARTIAL_LIMIT_S,
        )

    def build_note(self, revision):
        return {
            "id": identifiers.create_id("note"),
            "author": "operator",
            "base_revision": revision,
            "added": [],
            "changed": [],
            "withdrawn": [],
        }

    def build_first_note(self):
        note = self.build_note(0)
        note["added"] = [
            {
                "type": "data_centre",
                "name": centre,
                "region": "cairo",
                "in_service": True,
            }
            for centre in sorted(set(self.centres.values()))
        ]
        for name in ("hotels", "families"):
            customer = {"type": "customer", "name": name, "weight": 1.0}
            team = {"name": "default", "quota": 64}
            guarantees = self.guarantees if name == "hotels" else []
            note["added"].append(
                {**customer, "guarantees": guarantees, "teams": [team]}
            )
        note["added"].append(
            {
                "type": "service",
                "name": SERVICE,
                "minions": [self._describe_minion(m) for m in self.minions],
            }
        )
        note["added"] += [
            {
                "type": "worker",
                "name": each.name,
                "data_centre": self.centres[each.name],
                "rack": f"{self.centres[each.name]}-1",
                "address": self.worker_proxies[each.name].address,
                "processors": 128,
                "memory_gb": 256,
                "accelerators": 8,
            }
            for each in self.workers
        ]
        return note

    def _describe_minion(self, described):
        return {
            "name": described.name,
            "data_centre": "Giza",
            "address": self.minion_proxies[described.name].address,
            "slots": 8,
            "connections": 64,
        }

    @staticmethod
    def wait(condition, *, max_polls=MAX_POLLS, **options):
        """Wait for a condition; fail after `max_polls` polls without it."""
        waits.wait_until(condition, max_polls=max_polls, **options)


def classify_reply(reply):
    """Return the outcome and the digest of the reply to a caller's request."""
    if errors.is_refusal(reply):
        if reply.kind is errors.Kind.CONNECT_FAILED:
            return "unsent", ""
        return "cut", ""
    if reply.status == 200:
        return "answered", identifiers.digest(reply.body)
    ran = reply.decode().get("ran")
    return ("not_run" if ran == "no" else "unknown"), ""
