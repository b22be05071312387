"""The platform over HTTP on loopback, small: a store and minions."""

import base64
import json

from chervilcove.conf import core as conf
from chervilcove.control import interfaces
from chervilcove.core import errors
from chervilcove.core import web
from chervilcove.platform import core as platform
from chervilcove.standins import fleet as fleets
from chervilcove.standins import ledger as ledgers
from tests.control import system as systems

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "jobs.example",
            "path_prefix": "/batch/",
            "kind": "mutating",
            "timeout_ms": 3000,
            "target_latency_ms": 1000,
            "priority": 1,
            "service": "pool",
            "attempts": 3,
            "stretch": 3.0,
            "public": False,
        },
    ],
    "services": [{"name": "pool", "health_path": "/health"}],
    "limits": {"max_body_bytes": 262144},
    "tenants": [
        {
            "name": "t",
            "api_keys": ["key-1", "key-2"],
            "priority": 1,
            "guaranteed": {"gpu": 8},
        }
    ],
}


def build_entry(minion, **changes):
    entry = {
        "service": "pool",
        "addr": f"127.0.0.1:{minion.server.port}",
        "zone": "giza",
        "version": "v1",
        "task_slots": 8,
        "state": "ready",
        "cold_left_ms": 0,
        "capacity": {"cpu": 64000, "mem_mb": 131072, "gpu": 8},
        "labels": ["a", "r1-0"],
        "clock_ms": 1,
        "seq": 1,
        "born": 1,
    }
    return {**entry, **changes}


class Minion:
    """Serve one worker over HTTP."""

    def __init__(self, name):
        report = interfaces.WorkerReport(
            id=name,
            life=1,
            host="",
            port=0,
            service="pool",
            data_centre="giza",
            rack="r1-0",
            labels=frozenset(),
            capacity=fleets.CAPACITY,
            is_draining=False,
            leaves_in_ms=0,
            clock_ms=0,
        )
        self.worker = fleets.MemoryWorker(report=report)
        self.bodies = []
        self.server = web.WebServer(host="127.0.0.1")
        self.server.add_route("POST", "/run-start", self._start)
        self.server.add_route("POST", "/run-stop", self._stop)
        self.server.add_route("POST", "/hold", self._hold)
        self.server.start()

    def _start(self, request):
        body = json.loads(request.body)
        self.bodies.append((request.headers, body))
        order = interfaces.RunCommand(body["task"], body["run"], body["fence"])
        details = interfaces.StartOptions(
            body["spec"], body["deadline_ms"], body.get("checkpoint_ref", "")
        )
        return self._answer(self.worker.start(order, details, timeout_s=1))

    def _stop(self, request):
        order = interfaces.RunCommand(**json.loads(request.body))
        return self._answer(self.worker.stop(order, timeout_s=1))

    def _hold(self, request):
        body = json.loads(request.body)
        assert body["wait_ms"] <= 2_000
        holding = self.worker.renew_lease(
            fence=body["fence"],
            last_seen=body["last_seen"],
            lease_until_ms=body.get("deadline_ms", 0),
            wait_ms=body["wait_ms"],
            timeout_s=1,
        )
        if errors.is_refusal(holding):
            return self._answer(holding)
        return {
            "clock_ms": holding.clock_ms,
            "born": holding.life,
            "running": [list(row) for row in holding.running],
            "ended_runs": [list(row) for row in holding.ended],
        }

    @staticmethod
    def _answer(outcome):
        if not errors.is_refusal(outcome):
            return {"clock_ms": outcome}
        reasons = {"fenced": "fence", "stale_revision": "old"}
        body = {"clock_ms": 1, "reason": reasons[outcome.kind]}
        return web.WebAnswer(409, json.dumps(body).encode())


class Adviser:
    """Serve the policy of a queue, which grants some minions."""

    def __init__(self, granted):
        self.granted = granted
        self.bodies = []
        self.server = web.WebServer(host="127.0.0.1")
        self.server.add_route("POST", "/advise", self._advise)
        self.server.start()

    def _advise(self, request):
        body = json.loads(request.body)
        self.bodies.append(body)
        rows = [
            [name, f"ticket-{name}"]
            for name in body["workers"]
            if name in self.granted
        ]
        return {"granted": rows, "valid_ms": 3000}


class Store:
    """Serve keyed topics over HTTP."""

    def __init__(self):
        self.topics = {}
        self.refuse_with = 0
        self.server = web.WebServer(host="127.0.0.1")
        self.server.add_route("POST", "/log-append", self._append)
        self.server.add_route("GET", "/log-read", self._read)
        self.server.add_route("GET", "/log-newest", self._newest)
        self.server.start()

    def get_topic(self, name):
        return self.topics.setdefault(name, ledgers.MemoryLedger())

    def put(self, topic, key, value):
        content = b"" if value is None else json.dumps(value).encode()
        self.get_topic(topic).append([(key, content)], timeout_s=1)

    def _append(self, request):
        if self.refuse_with:
            return web.WebAnswer(self.refuse_with, b"{}")
        fence = None
        if "producer" in request.query:
            fence = interfaces.Fence(
                int(request.query["epoch"]), int(request.query["seq"])
            )
        items, at = [], 0
        while at < len(request.body):
            size = int.from_bytes(request.body[at : at + 4], "big")
            content = request.body[at + 4 : at + 4 + size]
            key = content[1 : 1 + content[0]].decode()
            items.append((key, content[1 + content[0] :]))
            at += 4 + size
        topic = self.get_topic(request.query["topic"])
        outcome = topic.append(items, fence=fence, timeout_s=1)
        if errors.is_refusal(outcome):
            body = json.dumps({"reason": "fenced"}).encode()
            return web.WebAnswer(409, body)
        return {"offset": outcome, "end_offset": outcome + len(items)}

    def _read(self, request):
        if self.refuse_with:
            return web.WebAnswer(self.refuse_with, b"{}")
        topic = self.get_topic(request.query["topic"])
        chunk = topic.read(
            int(request.query["from"]),
            wait_s=int(request.query["wait_ms"]) / 1000,
            timeout_s=1,
        )
        if errors.is_refusal(chunk):
            return web.WebAnswer(410, b'{"first_offset": 1}')
        body = chunk.end_offset.to_bytes(8, "big") + bytes(8)
        for record in chunk.records:
            key = record.key.encode()
            content = bytes([len(key)]) + key + record.value
            body += len(content).to_bytes(4, "big") + content
        return web.WebAnswer(200, body, "application/octet-stream")

    def _newest(self, request):
        """Answer in pages of two keys."""
        if self.refuse_with:
            return web.WebAnswer(self.refuse_with, b"{}")
        chunk = self.get_topic(request.query["topic"]).read_newest(timeout_s=1)
        after = request.query.get("after", "")
        records = sorted(chunk.records, key=lambda record: record.key)
        left = [record for record in records if record.key > after]
        return {
            "items": [
                {
                    "key": record.key,
                    "value": base64.b64encode(record.value).decode(),
                    "offset": record.offset,
                }
                for record in left[:2]
            ],
            "has_more": len(left) > 2,
            "end_offset": chunk.end_offset,
        }


class Platform:
    """Hold a store, minions and one entry."""

    def __init__(self, minions=2):
        self.store = Store()
        self.minions = [Minion(f"i-{number}") for number in range(minions)]
        for minion in self.minions:
            self.store.put(
                "keyed.servers", minion.worker.report.id, build_entry(minion)
            )
        self.adviser = Adviser({"i-1"})
        self.entry = None

    def start_entry(self):
        loaded = conf.load_settings(environment={})
        loaded.settings["fleet"].update(
            front="127.0.0.1:0",
            ready="127.0.0.1:0",
            metrics="127.0.0.1:0",
            ledger=f"127.0.0.1:{self.store.server.port}",
            policy=f"127.0.0.1:{self.adviser.server.port}",
        )
        self.entry = platform.create_entry(loaded.settings)
        self.entry.start()
        systems.wait_until(lambda: self.entry.job_api._follower.is_loaded)

    def stop(self):
        if self.entry is not None:
            self.entry.kill()
        for server in [self.store, self.adviser, *self.minions]:
            server.server.stop()
