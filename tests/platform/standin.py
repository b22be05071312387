"""Stand-in for the platform: store, minions and policy service over HTTP."""

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


def build_minion_record(minion, **changes):
    record = {
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
    return {**record, **changes}


class Minion:
    """HTTP server for one in-memory worker."""

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
        self.start_requests = []
        self.server = web.WebServer(host="127.0.0.1")
        self.server.add_route("POST", "/run-start", self._start)
        self.server.add_route("POST", "/run-stop", self._stop)
        self.server.add_route("POST", "/hold", self._hold)
        self.server.start()

    def _start(self, request):
        body = json.loads(request.body)
        self.start_requests.append((request.headers, body))
        command = interfaces.RunCommand(
            body["task"], body["run"], body["fence"]
        )
        details = interfaces.StartOptions(
            body["spec"], body["deadline_ms"], body.get("checkpoint_ref", "")
        )
        return self._answer(self.worker.start(command, details, timeout_s=1))

    def _stop(self, request):
        command = interfaces.RunCommand(**json.loads(request.body))
        return self._answer(self.worker.stop(command, timeout_s=1))

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
        return web.WebResponse(409, json.dumps(body).encode())


class PolicyService:
    """HTTP server of a placement policy that grants some minions."""

    def __init__(self, granted):
        self.granted_minions = granted
        self.requests = []
        self.server = web.WebServer(host="127.0.0.1")
        self.server.add_route("POST", "/advise", self._advise)
        self.server.start()

    def _advise(self, request):
        body = json.loads(request.body)
        self.requests.append(body)
        rows = [
            [name, f"ticket-{name}"]
            for name in body["workers"]
            if name in self.granted_minions
        ]
        return {"granted": rows, "valid_ms": 3000}


class Store:
    """HTTP server of keyed topics that are kept in memory.

    Attributes:
        refuse_with: Status with which every request is refused, 0 to serve it.
        unreadable_topics: Topics whose reads are refused.
        page_size: Keys in a page of the newest records.
    """

    def __init__(self, listener=None, topics=None):
        self.topics = topics or {}
        self.refuse_with = 0
        self.unreadable_topics = set()
        self.page_size = 2
        self.server = web.WebServer(host="127.0.0.1", listener=listener)
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
            return web.WebResponse(self.refuse_with, b"{}")
        fence = None
        if "producer" in request.query:
            fence = interfaces.Fence(
                int(request.query["epoch"]), int(request.query["seq"])
            )
        items, position = [], 0
        while position < len(request.body):
            size = int.from_bytes(request.body[position : position + 4], "big")
            content = request.body[position + 4 : position + 4 + size]
            key = content[1 : 1 + content[0]].decode()
            items.append((key, content[1 + content[0] :]))
            position += 4 + size
        topic = self.get_topic(request.query["topic"])
        outcome = topic.append(items, fence=fence, timeout_s=1)
        if errors.is_refusal(outcome):
            body = json.dumps({"reason": "fenced"}).encode()
            return web.WebResponse(409, body)
        return {"offset": outcome, "end_offset": outcome + len(items)}

    def _read(self, request):
        if self.refuse_with:
            return web.WebResponse(self.refuse_with, b"{}")
        if request.query["topic"] in self.unreadable_topics:
            return web.WebResponse(503, b"{}")
        topic = self.get_topic(request.query["topic"])
        chunk = topic.read(
            int(request.query["from"]),
            wait_s=int(request.query["wait_ms"]) / 1000,
            timeout_s=1,
        )
        if errors.is_refusal(chunk):
            return web.WebResponse(410, b'{"first_offset": 1}')
        body = chunk.end_offset.to_bytes(8, "big") + bytes(8)
        for record in chunk.records:
            key = record.key.encode()
            content = bytes([len(key)]) + key + record.value
            body += len(content).to_bytes(4, "big") + content
        return web.WebResponse(200, body, "application/octet-stream")

    def _newest(self, request):
        """Return the newest records in pages."""
        if self.refuse_with:
            return web.WebResponse(self.refuse_with, b"{}")
        chunk = self.get_topic(request.query["topic"]).read_newest(timeout_s=1)
        after = request.query.get("after", "")
        records = sorted(chunk.records, key=lambda record: record.key)
        remaining = [record for record in records if record.key > after]
        return {
            "items": [
                {
                    "key": record.key,
                    "value": base64.b64encode(record.value).decode(),
                    "offset": record.offset,
                }
                for record in remaining[: self.page_size]
            ],
            "has_more": len(remaining) > self.page_size,
            "end_offset": chunk.end_offset,
        }


class Platform:
    """A store, minions, a policy service and one entry."""

    def __init__(self, minions=2):
        self.store = Store()
        self.minions = [Minion(f"i-{number}") for number in range(minions)]
        for minion in self.minions:
            self.store.put(
                "keyed.servers",
                minion.worker.report.id,
                build_minion_record(minion),
            )
        self.policy_service = PolicyService({"i-1"})
        self.entry = None

    def start_entry(self):
        loaded = conf.load_settings(environment={})
        loaded.settings["fleet"].update(
            front="127.0.0.1:0",
            ready="127.0.0.1:0",
            metrics="127.0.0.1:0",
            ledger=f"127.0.0.1:{self.store.server.port}",
            policy=f"127.0.0.1:{self.policy_service.server.port}",
        )
        self.entry = platform.create_entry(loaded.settings)
        self.entry.start()
        systems.wait_until(lambda: self.entry.job_api._follower.is_loaded)

    def stop(self):
        if self.entry is not None:
            self.entry.kill()
        for server in [self.store, self.policy_service, *self.minions]:
            server.server.stop()
