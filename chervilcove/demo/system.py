"""A system in one process: stand-ins and entries on ephemeral ports."""

import copy
import time
from typing import Any
from typing import NamedTuple

import gevent
from gevent import server
import msgspec

from chervilcove.conf import global_settings
from chervilcove.core import errors
from chervilcove.core import http
from chervilcove.customers import schema as customers
from chervilcove.demo import deployments
from chervilcove.entry import core as entries
from chervilcove.standins import evidence
from chervilcove.standins import instances
from chervilcove.standins import log
from chervilcove.standins import minion
from chervilcove.standins import worker

LIST_LAG_S = 0.5
STEP_S = 0.02
SERVING_ENTRY = "entry-3"
# Shorter than in service, since a run lasts seconds and not days.
RUN_TTL_S = 4.0
RENEW_S = 0.8


class MetricsSink:
    """Count what arrives by statsd."""

    def __init__(self):
        self.received = 0
        self._server = server.DatagramServer(("127.0.0.1", 0), self._receive)

    @property
    def port(self) -> int:
        """Return the UDP port."""
        return self._server.server_port

    def start(self) -> None:
        """Start to receive."""
        self._server.start()

    def stop(self) -> None:
        """Stop to receive."""
        self._server.stop()

    def _receive(self, content: bytes, address: tuple[str, int]) -> None:
        self.received += 1


class System:
    """Run the stand-ins of a deployment and its entries.

    Args:
        deployment: The deployment.
        speed: Seconds of work that a worker does in one second.
        serve_port: TCP port of the entry `SERVING_ENTRY`, 0 for any.
    """

    def __init__(
        self,
        *,
        deployment: deployments.Deployment,
        speed: float = 1.0,
        serve_port: int = 0,
    ):
        self.deployment = deployment
        self._serve_port = serve_port
        self.log = log.LogService()
        self.instances = instances.InstanceList(lag_s=LIST_LAG_S)
        self.sink = MetricsSink()
        self.workers = {
            spec["name"]: worker.Worker(name=spec["name"], speed=speed)
            for spec in deployment.list_added("worker")
        }
        self.minions = {
            spec["name"]: minion.Minion(
                name=spec["name"],
                slots=spec["slots"],
                connections=spec["connections"],
            )
            for service in deployment.list_added("service")
            for spec in service["minions"]
        }
        self.entries: dict[str, entries.Entry] = {}
        self.ended: list[entries.Entry] = []

    def start(self, *, entry_count: int) -> None:
        """Start the stand-ins, then the entries; wait until all follow."""
        for part in self._list_parts():
            part.start()
        for index in range(entry_count):
            self.add_entry(f"entry-{index + 1}")
        for name, one in self.minions.items():
            self._put_instance(name, "minion", one.address, "live", "")
        self.wait(
            lambda: all(
                one.replica.is_following for one in self.entries.values()
            )
        )

    def stop(self) -> None:
        """Stop the entries, then the stand-ins."""
        for name in list(self.entries):
            self.entries.pop(name).stop()
        for part in self._list_parts():
            part.stop()

    def add_entry(self, name: str) -> entries.Entry:
        """Start an entry and put it into the instance list."""
        entry = entries.Entry(settings=self._build_settings(name))
        entry.start()
        self.entries[name] = entry
        self._put_instance(
            name, "entry", entry.address, "live", entry.incarnation
        )
        return entry

    def kill_entry(self, name: str) -> None:
        """End an entry at once, as a failed instance does."""
        entry = self.entries.pop(name)
        entry.kill()
        self.ended.append(entry)
        self.instances.remove(name)

    def kill_worker(self, name: str) -> evidence.Kill:
        """End a worker with all its tasks, as a failed machine does."""
        killed = evidence.Kill(name, read_time())
        self.workers[name].stop()
        return killed

    def drain_entry(self, name: str) -> None:
        """End an entry in order, as a planned stop does."""
        entry = self.entries[name]
        self._put_instance(
            name, "entry", entry.address, "leaving", entry.incarnation
        )
        entry.stop()
        self.entries.pop(name)
        self.ended.append(entry)
        self.instances.remove(name)

    def leave_minion(self, name: str) -> None:
        """Let a minion leave: it says so itself, the list says so later."""
        one = self.minions[name]
        one.leave()
        self._put_instance(name, "minion", one.address, "leaving", "")

    def build_first_note(self) -> customers.Note:
        """Return the deployment's note with the stand-ins' addresses."""
        note = copy.deepcopy(self.deployment.note)
        for item in note["added"]:
            if item["type"] == "worker":
                item["address"] = self.workers[item["name"]].address
            for spec in item.get("minions", ()):
                spec["address"] = self.minions[spec["name"]].address
        return note

    @staticmethod
    def wait(condition: Any, *, timeout_s: float = 30.0) -> bool:
        """Wait until `condition()`; return False after `timeout_s`."""
        with gevent.Timeout(timeout_s, False):
            while not condition():
                gevent.sleep(STEP_S)
            return True
        return False

    def _list_parts(self) -> list[Any]:
        return [
            self.log,
            self.instances,
            self.sink,
            *self.workers.values(),
            *self.minions.values(),
        ]

    def _put_instance(
        self,
        name: str,
        role: str,
        address: str,
        state: str,
        incarnation: str,
    ) -> None:
        self.instances.put(
            instances.Instance(
                name=name,
                role=role,
                address=address,
                data_centre="",
                state=state,
                incarnation=incarnation,
            )
        )

    def _build_settings(self, name: str) -> global_settings.Settings:
        settings = copy.deepcopy(self.deployment.settings)
        port = self._serve_port if name == SERVING_ENTRY else 0
        settings["entry"] |= {"name": name, "port": port, "peer_port": 0}
        settings["leases"] |= {"run_ttl_s": RUN_TTL_S, "renew_s": RENEW_S}
        settings["log"] = _read_address(self.log.address)
        settings["instances"] = _read_address(self.instances.address)
        settings["statsd"] |= {"host": "127.0.0.1", "port": self.sink.port}
        return settings


class Routed(NamedTuple):
    """Hold the outcome of a call with the entry that it reached.

    Attributes:
        entry: Name of the entry, empty where none took the connection.
        outcome: A `http.Reply`, or a refusal.
    """

    entry: str
    outcome: http.Reply | errors.Refusal


class Balancer:
    """Send calls to the entries in turn, as the platform's balancer does.

    It skips an entry that takes no connection, and repeats nothing that was
    sent.
    """

    def __init__(self, *, system: System):
        self._system = system
        self._peers: dict[str, http.HttpPeer] = {}
        self._turn = 0

    def call(self, method: str, path: str, **options: Any) -> Routed:
        """Make one call."""
        routed = Routed("", errors.refuse(errors.Kind.CONNECT_FAILED, "none"))
        for _ in range(len(self._system.entries)):
            routed = self.call_entry(self._pick(), method, path, **options)
            outcome = routed.outcome
            if not errors.is_refusal(outcome):
                return routed
            if outcome.kind is not errors.Kind.CONNECT_FAILED:
                return routed
        return routed

    def call_entry(
        self, name: str, method: str, path: str, **options: Any
    ) -> Routed:
        """Make one call to the entry `name`."""
        entry = self._system.entries.get(name)
        if entry is None:
            gone = errors.refuse(errors.Kind.CONNECT_FAILED, f"no {name}")
            return Routed(name, gone)
        peer = self._get_peer(entry.address)
        return Routed(name, peer.call(method, path, **options))

    def call_json(
        self, method: str, path: str, value: Any = None, **options: Any
    ) -> Any:
        """Make one call with JSON bodies; return the value or a refusal."""
        body = b"" if value is None else msgspec.json.encode(value)
        reply = self.call(method, path, body=body, **options).outcome
        return reply if errors.is_refusal(reply) else http.read_reply(reply)

    def _pick(self) -> str:
        listening = list(self._system.entries)
        self._turn += 1
        return listening[self._turn % len(listening)]

    def _get_peer(self, address: str) -> http.HttpPeer:
        if address not in self._peers:
            host, port = address.split(":")
            self._peers[address] = http.HttpPeer(
                host=host, port=int(port), connections=256
            )
        return self._peers[address]


def _read_address(address: str) -> global_settings.Address:
    host, port = address.split(":")
    return {"host": host, "port": int(port)}


def read_time() -> float:
    """Return seconds since the Unix epoch, the clock of all evidence."""
    return time.time()
