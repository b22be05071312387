"""Entry on the platform: connects the control plane to its interfaces."""

from collections.abc import Callable
import os
import signal
import socket
import sys

import gevent
from gevent import event

from chervilcove.conf import checks
from chervilcove.conf import global_settings
from chervilcove.control import core as control
from chervilcove.control import deployment_values
from chervilcove.control import interfaces
from chervilcove.control import request_limits
from chervilcove.core import http
from chervilcove.core import logs
from chervilcove.core import metrics as metric_values
from chervilcove.core import traffic as traffic_values
from chervilcove.core import web
from chervilcove.core import web_limits
from chervilcove.dispatch import capacity
from chervilcove.dispatch import round_input
from chervilcove.dispatch import stop_costs
from chervilcove.jobs import configuration
from chervilcove.jobs import staleness
from chervilcove.platform import callers
from chervilcove.platform import feeds
from chervilcove.platform import minion_client
from chervilcove.platform import operators
from chervilcove.platform import policy_client
from chervilcove.platform import settings_watcher
from chervilcove.platform import store

LEDGER_TOPIC = "keyed.ledger"
OPERATOR_TOPIC = "keyed.op"
MINION_TOPIC = "keyed.servers"
# Each port's share of the connections and bodies that a process may hold, and
# its largest body. The configuration sets the largest body of callers.
PORTS = {
    "front": (1 / 2, configuration.DEFAULT_LIMITS.max_body_bytes),
    "peers": (3 / 8, request_limits.PEER_BODY_BYTES),
    "ready": (1 / 16, request_limits.READY_BODY_BYTES),
    "metrics": (1 / 16, request_limits.OPERATOR_BODY_BYTES),
}


class HttpPlatformConnector(interfaces.PlatformConnector):
    """Create the clients and the feed that the owner uses.

    Args:
        peer: Client of the store.
        policy_address: Address of the placement policy service, empty if there
            is none.
        traffic: Counts what the entry sends and receives.
    """

    def __init__(
        self,
        *,
        peer: http.HttpPeer,
        policy_address: str,
        traffic: traffic_values.Traffic,
    ):
        self._traffic = traffic
        self._peer = peer
        self._policy_address = policy_address

    def connect_worker(
        self, report: interfaces.WorkerReport
    ) -> interfaces.WorkerClient:
        """Return a client of one minion."""
        return minion_client.MinionClient(report=report, traffic=self._traffic)

    def connect_policy(self) -> interfaces.PlacementPolicy | None:
        """Return a client of the policy service, None if there is none."""
        if not self._policy_address:
            return None
        return policy_client.PolicyClient(
            address=store.parse_address(self._policy_address),
            traffic=self._traffic,
        )

    def create_worker_feed(
        self, on_change: Callable[[dict[str, interfaces.WorkerReport]], None]
    ) -> interfaces.Feed:
        """Return a feed of the reports that minions write into the store."""
        topic = store.KeyedTopic(peer=self._peer, topic=MINION_TOPIC)
        return feeds.MinionFeed(topic=topic, on_change=on_change)


def create_entry(
    settings: global_settings.Settings,
    *,
    listener: socket.socket | None = None,
) -> control.FleetEntry:
    """Return an entry that serves callers on the platform.

    Args:
        settings: Settings of the entry.
        listener: Listening socket for callers; used if it has the address of
            `fleet.front`, otherwise closed. None opens one.
    """
    metrics = metric_values.Metrics(**settings["statsd"])
    fleet = settings["fleet"]
    traffic = traffic_values.Traffic(metrics=metrics)
    peer = store.create_peer(
        store.parse_address(fleet["ledger"]), traffic=traffic
    )
    operator_server = _create_server("metrics", fleet, metrics, traffic)
    entry = control.FleetEntry(
        name=settings["entry"]["name"],
        ledger=store.KeyedTopic(peer=peer, topic=LEDGER_TOPIC),
        connector=HttpPlatformConnector(
            peer=peer, policy_address=fleet["policy"], traffic=traffic
        ),
        create_operator_feed=lambda on_change: feeds.OperatorFeed(
            topic=store.KeyedTopic(peer=peer, topic=OPERATOR_TOPIC),
            on_change=on_change,
        ),
        caller_server=_create_server(
            "front", fleet, metrics, traffic, listener
        ),
        health_server=_create_server("ready", fleet, metrics, traffic),
        operator_server=operator_server,
        peer_server=(
            _create_server("peers", fleet, metrics, traffic)
            if fleet["peers"]
            else None
        ),
        values=_build_values(settings),
        metrics=metrics,
        traffic=traffic,
    )
    callers.JobRoutes(server=entry.caller_server, job_api=entry.job_api)
    operators.ExplainRoute(explainer=entry.explainer).add_to(operator_server)
    return entry


def apply_settings(
    entry: control.FleetEntry, settings: global_settings.Settings
) -> None:
    """Apply the settings that a running entry can apply.

    Those of `settings_watcher.APPLICABLE` must be all that differ.
    """
    logs.set_level(settings["log_level"])
    entry.set_values(_build_values(settings))
    for server in entry.servers:
        server.set_capacity(_compute_capacity(server.name, settings["fleet"]))


def create_watcher(
    entry: control.FleetEntry, settings: global_settings.Settings, *, path: str
) -> settings_watcher.SettingsWatcher:
    """Return what applies later settings to an entry.

    Args:
        entry: The entry.
        settings: Its settings in force.
        path: Path of the settings file.
    """
    return settings_watcher.SettingsWatcher(
        path=path,
        settings=settings,
        load=lambda content: checks.load_checked_settings(
            path, environment=os.environ, content=content
        ),
        apply=lambda changed: apply_settings(entry, changed),
        metrics=entry.metrics,
    )


def run_entry(
    settings: global_settings.Settings,
    *,
    path: str = "",
    listener: socket.socket | None = None,
) -> None:
    """Run an entry until SIGTERM or SIGINT.

    The settings file is read again on SIGHUP and when it changes. The log goes
    to standard output.

    Args:
        settings: Settings of the entry.
        path: Path of the settings file, empty for none.
        listener: See `create_entry`.
    """
    logs.configure(
        level=settings["log_level"],
        stream=logs.BoundedStream(descriptor=sys.stdout.fileno()),
    )
    entry = create_entry(settings, listener=listener)
    stopped = event.Event()
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    gevent.signal_handler(signal.SIGINT, stopped.set)
    watcher = create_watcher(entry, settings, path=path)
    gevent.signal_handler(signal.SIGHUP, watcher.request_reload)
    entry.start()
    if path:
        watcher.start()
    stopped.wait()
    watcher.stop()
    entry.stop()


def _build_values(
    settings: global_settings.Settings,
) -> deployment_values.DeploymentValues:
    fleet = settings["fleet"]
    return deployment_values.DeploymentValues(
        bounds=round_input.ReclaimBounds(
            fleet["reclaim_ms"],
            fleet["stop_ms"],
            stop_costs.CheckpointTimes(
                fleet["save_s"], fleet["restore_ms"] / 1000
            ),
        ),
        config_bounds=staleness.ConfigurationBounds(
            fleet["config_apply_ms"] / 1000, fleet["config_stretch_ms"] / 1000
        ),
        contention=round_input.ContentionPolicy(
            reserves_for_gangs=fleet["reserves_for_gangs"],
            holds_lowest_starts=fleet["holds_lowest_starts"],
            orders_by_share=fleet["orders_by_share"],
        ),
        limits=capacity.EntryLimits(
            fleet["max_fds"], fleet["memory_mb"], fleet["link_mbps"]
        ),
        processors=fleet["processor_share"] * fleet["processor_speed"],
        drain_s=settings["entry"]["drain_s"],
    )


def _compute_capacity(
    name: str, fleet: global_settings.Fleet
) -> web_limits.Capacity:
    share, max_body_bytes = PORTS[name]
    return web_limits.compute_capacity(
        memory_mb=fleet["memory_mb"],
        max_fds=web_limits.find_max_fds(fleet["max_fds"]),
        share=share,
        max_body_bytes=max_body_bytes,
    )


def _create_server(
    name: str,
    fleet: global_settings.Fleet,
    metrics: metric_values.Metrics,
    traffic: traffic_values.Traffic,
    listener: socket.socket | None = None,
) -> web.WebServer:
    host, port = store.parse_address(fleet[name])
    if listener is not None and listener.getsockname() != (host, port):
        listener.close()
        listener = None
    return web.WebServer(
        host=host,
        port=port,
        max_body_bytes=PORTS[name][1],
        name=name,
        capacity=_compute_capacity(name, fleet),
        metrics=metrics,
        listener=listener,
        traffic=traffic,
    )
