"""An entry on the platform: wires the product to the platform's interfaces."""

from collections.abc import Callable
import signal
import sys

import gevent
from gevent import event

from chervilcove.conf import global_settings
from chervilcove.control import core as control
from chervilcove.control import interfaces
from chervilcove.core import http
from chervilcove.core import logs
from chervilcove.core import metrics as metric_values
from chervilcove.core import web
from chervilcove.dispatch import round_input
from chervilcove.platform import advice
from chervilcove.platform import callers
from chervilcove.platform import minions
from chervilcove.platform import notices
from chervilcove.platform import store

LEDGER_TOPIC = "keyed.ledger"
OPERATOR_TOPIC = "keyed.op"
MINION_TOPIC = "keyed.servers"


class Platform(interfaces.PlatformConnector):
    """Build what the owner talks to.

    Args:
        peer: Client of the store.
        adviser: Address of the service that knows the policies, empty for
            none.
    """

    def __init__(self, *, peer: http.HttpPeer, adviser: str):
        self._peer = peer
        self._adviser = adviser

    def connect_worker(
        self, report: interfaces.WorkerReport
    ) -> interfaces.WorkerClient:
        """Return the calls of one minion."""
        return minions.MinionClient(report=report)

    def connect_policy(self) -> interfaces.PlacementPolicy | None:
        """Return the service that knows the policies."""
        if not self._adviser:
            return None
        return advice.Adviser(address=store.parse_address(self._adviser))

    def create_worker_feed(
        self, on_change: Callable[[dict[str, interfaces.WorkerReport]], None]
    ) -> interfaces.Feed:
        """Return a feed of the minions' entries."""
        topic = store.KeyedTopic(peer=self._peer, topic=MINION_TOPIC)
        return notices.MinionFeed(topic=topic, on_change=on_change)


def create_entry(settings: global_settings.Settings) -> control.FleetEntry:
    """Return an entry that serves the platform's consumers."""
    metrics = metric_values.Metrics(**settings["statsd"])
    fleet = settings["fleet"]
    peer = store.create_peer(store.parse_address(fleet["ledger"]))
    entry = control.FleetEntry(
        name=settings["entry"]["name"],
        ledger=store.KeyedTopic(peer=peer, topic=LEDGER_TOPIC),
        connector=Platform(peer=peer, adviser=fleet["policy"]),
        create_operator_feed=lambda on_change: notices.Notices(
            topic=store.KeyedTopic(peer=peer, topic=OPERATOR_TOPIC),
            on_change=on_change,
        ),
        caller_server=_create_server(fleet["front"]),
        health_server=_create_server(fleet["ready"]),
        operator_server=_create_server(fleet["metrics"]),
        drain_s=settings["entry"]["drain_s"],
        bounds=round_input.ReclaimBounds(fleet["reclaim_ms"], fleet["stop_ms"]),
        metrics=metrics,
    )
    callers.Front(server=entry.caller_server, job_api=entry.job_api)
    return entry


def run_entry(settings: global_settings.Settings) -> None:
    """Run an entry until SIGTERM; SIGHUP notes that settings changed.

    Its log goes to standard output.
    """
    logs.set_up(
        level=settings["log_level"],
        stream=logs.BoundedStream(descriptor=sys.stdout.fileno()),
    )
    entry = create_entry(settings)
    stopped = event.Event()
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    gevent.signal_handler(signal.SIGINT, stopped.set)
    gevent.signal_handler(signal.SIGHUP, entry.reload)
    entry.start()
    stopped.wait()
    entry.stop()


def _create_server(address: str) -> web.WebServer:
    host, port = store.parse_address(address)
    return web.WebServer(host=host, port=port)
