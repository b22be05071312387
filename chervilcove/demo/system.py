"""Run a system in one process: stand-ins and entries on ephemeral ports."""

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

INSTANCE_LIST_LAG_S = 0.5
POLL_INTERVAL_S = 0.02
# Entry that listens on `serve_port`; the script neither kills nor drains it.
SERVING_ENTRY = "entry-3"
# Lease times are shorter than in production: a run lasts seconds, not days.
RUN_TTL_S = 4.0
RENEW_INTERVAL_S = 0.8


class MetricsSink:
    """Receive statsd datagrams and count them."""

    def __init__(self):
        self.received = 0
        self._server = server.DatagramServer(("127.0.0.1", 0), self._receive)

    @property
    def port(self) -> int:
        """Return the UDP port that the sink listens on."""
        return self._server.server_port

    def start(self) -> None:
        """Start receiving."""
        self._server.start()

    def stop(self) -> None:
        """Stop receiving."""
        self._server.stop()

    def _receive(self, content: bytes, address: tuple[str, int]) -> None:
        self.received += 1


class System:
    """Run the stand-ins of a deployment and its entries.

    Args:
        deployment: Deployment that lists the workers, minions and customers.
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
        self.instances = instances.InstanceList(lag_s=INSTANCE_LIST_LAG_S)
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
        self.ended_entries: list[entries.Entry] = []

    def start(self, *, entry_count: int) -> None:
        """Start stand-ins and entries; wait until all follow the log."""
        for standin in self._list_standins():
            standin.start()
        for index in range(entry_count):
            self.add_entry(f"entry-{index + 1}")
        for name, started in self.minions.items():
            self._put_instance(name, "minion", started.address, "live", "")
        self.wait(
            lambda: all(
                entry.replica.is_following for entry in self.entries.values()
            )
        )

    def stop(self) -> None:
        """Stop the entries, then the stand-ins."""
        for name in list(self.entries):
            self.entries.pop(name).stop()
        for standin in self._list_standins():
            standin.stop()

    def add_entry(self, name: str) -> entries.Entry:
        """Start an entry and add it to the instance list."""
        entry = entries.Entry(settings=self._build_settings(name))
        entry.start()
        self.entries[name] = entry
        self._put_instance(
            name, "entry", entry.address, "live", entry.incarnation
        )
        return entry

    def kill_entry(self, name: str) -> None:
        """Kill an entry without a drain, as a failure of its instance does."""
        entry = self.entries.pop(name)
        entry.kill()
        self.ended_entries.append(entry)
        self.instances.remove(name)

    def kill_worker(self, name: str) -> evidence.Kill:
        """Stop a worker and all its tasks, as a failure of its machine does."""
        killed = evidence.Kill(name, get_unix_time())
        self.workers[name].stop()
        return killed

    def drain_entry(self, name: str) -> None:
        """Drain an entry and stop it, as a planned stop does."""
        entry = self.entries[name]
        self._put_instance(
            name, "entry", entry.address, "leaving", entry.incarnation
        )
        entry.stop()
        self.entries.pop(name)
        self.ended_entries.append(entry)
        self.instances.remove(name)

    def set_minion_leaving(self, name: str) -> None:
        """Mark a minion as leaving.

        The minion says so in its answers at once; readers of the instance
        list see it later, since the list lags.
        """
        leaving = self.minions[name]
        leaving.leave()
        self._put_instance(name, "minion", leaving.address, "leaving", "")

    def build_first_note(self) -> customers.Note:
        """Return the deployment's first note with the stand-ins' addresses."""
        note = copy.deepcopy(self.deployment.note)
        for item in note["added"]:
            if item["type"] == "worker":
                item["address"] = self.workers[item["name"]].address
            for spec in item.get("minions", ()):
                spec["address"] = self.minions[spec["name"]].address
        return note

    @staticmethod
    def wait(condition: Any, *, timeout_s: float = 30.0) -> bool:
        """Wait until `condition()` is true; return False after `timeout_s`."""
        with gevent.Timeout(timeout_s, False):
            while not condition():
                gevent.sleep(POLL_INTERVAL_S)
            return True
        return False

    def _list_standins(self) -> list[Any]:
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
        settings["leases"] |= {
            "run_ttl_s": RUN_TTL_S,
            "renew_s": RENEW_INTERVAL_S,
        }
        settings["log"] = _parse_address(self.log.address)
        settings["instances"] = _parse_address(self.instances.address)
        settings["statsd"] |= {"host": "127.0.0.1", "port": self.sink.port}
        return settings


class RoutedOutcome(NamedTuple):
    """Hold the outcome of a call and the entry that it was sent to.

    Attributes:
        entry: Name of the entry, empty if the system has no entries.
        outcome: HTTP reply, or a refusal.
    """

    entry: str
    outcome: http.Reply | errors.Refusal


class Balancer:
    """Send calls to the entries in turn, as the platform's balancer does.

    The balancer tries the next entry only if the connection failed. It never
    repeats a call that was sent.
    """

    def __init__(self, *, system: System):
        self._system = system
        self._peers: dict[str, http.HttpPeer] = {}
        self._choice_count = 0

    def call(self, method: str, path: str, **options: Any) -> RoutedOutcome:
        """Make one call to the next entry that accepts a connection."""
        routed = RoutedOutcome(
            "", errors.refuse(errors.Kind.CONNECT_FAILED, "no entries")
        )
        for _ in range(len(self._system.entries)):
            routed = self.call_entry(
                self._choose_entry(), method, path, **options
            )
            outcome = routed.outcome
            if not errors.is_refusal(outcome):
                return routed
            if outcome.kind is not errors.Kind.CONNECT_FAILED:
                return routed
        return routed

    def call_entry(
        self, name: str, method: str, path: str, **options: Any
    ) -> RoutedOutcome:
        """Make one call to the entry `name`."""
        entry = self._system.entries.get(name)
        if entry is None:
            refusal = errors.refuse(
                errors.Kind.CONNECT_FAILED, f"no entry {name!r}"
            )
            return RoutedOutcome(name, refusal)
        peer = self._get_peer(entry.address)
        return RoutedOutcome(name, peer.call(method, path, **options))

    def call_json(
        self, method: str, path: str, value: Any = None, **options: Any
    ) -> Any:
        """Make one call with JSON bodies; return the value or a refusal."""
        body = b"" if value is None else msgspec.json.encode(value)
        reply = self.call(method, path, body=body, **options).outcome
        return reply if errors.is_refusal(reply) else http.read_reply(reply)

    def _choose_entry(self) -> str:
        names = list(self._system.entries)
        self._choice_count += 1
        return names[self._choice_count % len(names)]

    def _get_peer(self, address: str) -> http.HttpPeer:
        if address not in self._peers:
            host, port = address.split(":")
            self._peers[address] = http.HttpPeer(
                host=host, port=int(port), connections=256
            )
        return self._peers[address]


def _parse_address(address: str) -> global_settings.Address:
    host, port = address.split(":")
    return {"host": host, "port": int(port)}


def get_unix_time() -> float:
    """Return seconds since the Unix epoch.

    All times in the evidence are read from this clock.
    """
    return time.time()
