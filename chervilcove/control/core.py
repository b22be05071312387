"""The entry of a fleet: connects follower, election, owner and job API."""

from collections.abc import Callable
import time
from typing import Any

import gevent
from gevent import event

from chervilcove.control import api
from chervilcove.control import clocks
from chervilcove.control import deployment_values
from chervilcove.control import elections
from chervilcove.control import follower as followers
from chervilcove.control import interfaces
from chervilcove.control import job_explainer
from chervilcove.control import operator_pages
from chervilcove.control import owners
from chervilcove.control import relays
from chervilcove.control import request_limits
from chervilcove.control import writers
from chervilcove.core import errors
from chervilcove.core import identifiers
from chervilcove.core import logs
from chervilcove.core import metrics as metric_values
from chervilcove.core import traffic as traffic_values
from chervilcove.core import web
from chervilcove.jobs import records
from chervilcove.jobs import staleness

# A stopping entry accepts new connections for as long as the load balancer may
# send some: the time of two readiness checks, a second apart.
UNREADY_BEFORE_DRAIN_S = 2.3
# Records are relayed to an owner that was heard within this time. Heartbeats
# come every 0.2 s, with a slow ledger every second.
OWNER_HEARD_S = 2.0
ANNOUNCE_TIMEOUT_S = 2.0  # per try to record the start of this process
ANNOUNCE_RETRY_S = 0.2


class FleetEntry:
    """Run one instance that schedules a fleet of workers.

    Args:
        name: Name of the instance.
        ledger: The job ledger.
        connector: Creates worker clients, the policy client and the feed of
            worker reports.
        create_operator_feed: Creates the feed of operator state, whose method
            `get` returns the newest state; takes a callback for changes.
        caller_server: Server for the requests of callers.
        health_server: Server for readiness checks.
        operator_server: Server for metrics and other requests of operators.
        peer_server: Server for the calls of other entries, None for none; its
            port is known before it starts.
        values: Values of the deployment.
        metrics: Metrics of this entry.
        clock: Time that the entries share; None for a new one.
        traffic: Counts what the entry sends and receives; None for a new one.
    """

    def __init__(
        self,
        *,
        name: str,
        ledger: interfaces.Ledger,
        connector: interfaces.PlatformConnector,
        create_operator_feed: Callable[[Callable[[], None]], Any],
        caller_server: web.WebServer,
        health_server: web.WebServer,
        operator_server: web.WebServer,
        peer_server: web.WebServer | None = None,
        values: deployment_values.DeploymentValues,
        metrics: metric_values.Metrics,
        clock: clocks.SharedClock | None = None,
        traffic: traffic_values.Traffic | None = None,
    ):
        self.name = name
        self.incarnation = identifiers.create_id(name)
        # A machine that replaces another one may have the same name.
        self._identity = f"{name}@{caller_server.host}"
        if peer_server is not None:
            self._identity += f":{peer_server.port}"
        self.caller_server = caller_server
        self.metrics = metrics
        self._traffic = traffic or traffic_values.Traffic(metrics=metrics)
        self._log = logs.Log(source="entry")
        self._health_server = health_server
        self._operator_server = operator_server
        self._peer_server = peer_server
        self._values = values
        # Kept, since the election completes the incarnation.
        self._rank_key = self.incarnation
        self._is_draining = False
        self._ledger = ledger
        self._connector = connector
        self._owner: owners.Owner | None = None
        self._operator_feed = create_operator_feed(self._apply_operations)
        self._follower = followers.Follower(
            ledger=ledger,
            clock=clock or clocks.SharedClock(),
            metrics=metrics,
        )
        self._writer = writers.CallerWriter(
            ledger=ledger,
            metrics=metrics,
            is_read_back=lambda key: self._follower.table.has_record(key),
            relay=self._create_relay(metrics),
            link_mbps=values.limits.link_mbps,
        )
        self._election = elections.Election(
            name=self._identity,
            incarnation=self.incarnation,
            ledger=ledger,
            follower=self._follower,
            rank=elections.compute_rank(
                self._rank_key, processors=values.processors
            ),
            on_change=self._switch_owner,
            limits=values.limits,
        )
        self._is_current = event.Event()
        self._follower.add_listener(self._note_current)
        self._follower.add_listener(self._notify_owner)
        self._follower.add_regain_listener(self._notify_owner_of_return)
        self.job_api = api.JobApi(
            follower=self._follower,
            writer=self._writer,
            get_operator_state=self._operator_feed.get,
            get_config_bounds=lambda: self._values.config_bounds,
            metrics=metrics,
        )
        self.explainer = job_explainer.JobExplainer(
            name=name,
            follower=self._follower,
            job_api=self.job_api,
            get_operator_state=self._operator_feed.get,
            get_owner=lambda: self._owner,
            metrics=metrics,
        )
        health_server.add_route("GET", "/ready", self._check_ready)
        operator_pages.OperatorPages(
            name=name,
            follower=self._follower,
            get_operator_state=self._operator_feed.get,
            metrics=metrics,
            get_held_back=lambda: (
                self._owner.get_planner().get_held_back() if self._owner else {}
            ),
            get_rate=self.job_api.rates.describe,
        ).add_routes(operator_server)

    def start(self) -> None:
        """Start to follow the ledger, then to answer requests."""
        self._health_server.start()
        self._operator_server.start()
        self._operator_feed.start()
        if self._peer_server is not None:
            self._peer_server.start()
        self._follower.start()
        self._writer.start()
        self._election.start()
        self._announcement = gevent.spawn(self._announce_incarnation)
        self.caller_server.start()
        self._log.info(
            "entry_started",
            entry=self.name,
            incarnation=self.incarnation,
            metrics=f"{self._operator_server.host}:{self._operator_server.port}",
        )

    def stop(self) -> None:
        """Hand over ownership, finish open requests, then stop."""
        began = time.monotonic()
        self._is_draining = True
        self._log.info("entry_leaves", entry=self.name)
        self._election.resign()
        gevent.sleep(UNREADY_BEFORE_DRAIN_S)
        left_s = self._values.drain_s - (time.monotonic() - began)
        is_done = self.caller_server.drain(timeout_s=max(0.1, left_s))
        self._stop_servers()
        self._log.info("entry_stopped", entry=self.name, drained=is_done)

    def kill(self) -> None:
        """Stop immediately, as if the process ended."""
        self._announcement.kill(block=False)
        self._election.kill()
        self._follower.kill()
        self._writer.kill()
        if self._owner is not None:
            self._owner.stop()
        self.caller_server.stop()
        self._stop_servers()

    def _stop_servers(self) -> None:
        self._operator_feed.stop()
        self._health_server.stop()
        self._operator_server.stop()
        if self._peer_server is not None:
            self._peer_server.stop()

    @property
    def servers(self) -> list[web.WebServer]:
        """Return the servers of this entry."""
        servers = [
            self.caller_server,
            self._health_server,
            self._operator_server,
        ]
        if self._peer_server is not None:
            servers.append(self._peer_server)
        return servers

    def set_values(self, values: deployment_values.DeploymentValues) -> None:
        """Apply other values from the next round, request and claim on.

        A later owner of this process begins with them. Nothing here waits, so
        that no round or request meets some old and some new values.
        """
        self._values = values
        self._election.set_limits(values.limits)
        self._election.set_rank(
            elections.compute_rank(self._rank_key, processors=values.processors)
        )
        if self._owner is not None:
            self._owner.set_values(values)

    def _announce_incarnation(self) -> None:
        """Record that earlier processes of this entry have ended.

        If one of them was the owner, its timeout need not be waited for.
        """
        self._is_current.wait()
        self.incarnation = self._election.complete_incarnation()
        key = records.build_key(records.Kind.ENTRY, self._identity)
        value = records.encode_value(self.incarnation)
        while (
            self._writer.write(key, value, timeout_s=ANNOUNCE_TIMEOUT_S)
            is not None
        ):
            gevent.sleep(ANNOUNCE_RETRY_S)
        self._election.record_announced()

    def _create_relay(
        self, metrics: metric_values.Metrics
    ) -> Callable[..., errors.Refusal | None] | None:
        if self._peer_server is None:
            return None
        return relays.RecordRelay(
            server=self._peer_server,
            get_writer=lambda: self._owner and self._owner.writer,
            find_owner=self._find_owner,
            metrics=metrics,
            traffic=self._traffic,
        ).append

    def _find_owner(self) -> tuple[str, int] | None:
        """Return the address of the owner, None if it isn't heard."""
        follower = self._follower
        if follower.table.claim is None or follower.table.is_owner_gone():
            return None
        if time.monotonic() - follower.owner_seen_at > OWNER_HEARD_S:
            return None
        return relays.parse_owner(follower.table.claim.entry)

    def _switch_owner(self, epoch: int | None) -> None:
        if self._owner is not None:
            owner, self._owner = self._owner, None
            owner.stop()
        if epoch is None:
            return
        self._owner = owners.Owner(
            epoch=epoch,
            claim_sent_at=self._election.claim_sent_at,
            ledger=self._ledger,
            follower=self._follower,
            connector=self._connector,
            get_operator_state=self._operator_feed.get,
            on_deposed=self._election.step_down,
            values=self._values,
            metrics=self.metrics,
            traffic=self._traffic,
        )
        # They may have changed while it was created.
        self._owner.set_values(self._values)
        self._owner.start()

    def _note_current(self) -> None:
        if self._follower.is_current:
            self._is_current.set()

    def _apply_operations(self) -> None:
        """Apply the limits of the configuration in force, and wake the owner.

        Without a configuration, the defaults of the server hold.
        """
        config = self._operator_feed.get().configuration
        if config is not None:
            request_limits.apply_limits(self.caller_server, config.limits)
            request_limits.apply_operator_limits(
                self._operator_server, config.limits
            )
        self._wake_owner()

    def _wake_owner(self) -> None:
        if self._owner is not None:
            self._owner.wake()

    def _notify_owner(self) -> None:
        if self._owner is not None:
            self._owner.on_ledger_read()

    def _notify_owner_of_return(self) -> None:
        if self._owner is not None:
            self._owner.on_ledger_regained()

    def _check_ready(self, _request: web.WebRequest) -> Any:
        if self._is_draining:
            return errors.refuse(errors.Kind.DRAINING, "the entry is stopping")
        operations = self._operator_feed.get()
        if operations.configuration is None:
            return errors.refuse(
                errors.Kind.UNCONFIGURED, "no configuration was read yet"
            )
        if not staleness.can_serve(
            operations.compute_age_s(clocks.read_boot_clock_s()),
            self._values.config_bounds,
        ):
            return errors.refuse(
                errors.Kind.STATE_BEHIND,
                "a newer configuration may have been missed",
            )
        if not self._follower.is_current or (
            self._follower.reachable_since is None
        ):
            return errors.refuse(
                errors.Kind.STATE_BEHIND,
                "the ledger is not loaded",
            )
        return {"ready": True}
