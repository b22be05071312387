"""Entry process: builds its tasks, connects them, starts and stops them."""

import time
from typing import Any

import gevent

from chervilcove.conf import global_settings
from chervilcove.core import errors
from chervilcove.core import identifiers
from chervilcove.core import logs
from chervilcove.core import metrics as metric_values
from chervilcove.core import web
from chervilcove.core import web_limits
from chervilcove.entry import adopter
from chervilcove.entry import claims
from chervilcove.entry import explain
from chervilcove.entry import feeds
from chervilcove.entry import gauges
from chervilcove.entry import jobs
from chervilcove.entry import keeper
from chervilcove.entry import notes
from chervilcove.entry import pages
from chervilcove.entry import planner
from chervilcove.entry import racks
from chervilcove.entry import requests
from chervilcove.entry import status
from chervilcove.gangs import leases
from chervilcove.gangs import supervisor
from chervilcove.journal import client
from chervilcove.journal import records
from chervilcove.journal import replica as replicas
from chervilcove.membership import core as membership
from chervilcove.membership import messages
from chervilcove.requests import router as routers
from chervilcove.scheduling import conf as policies
from chervilcove.scheduling import policy

# Share of the descriptors for connections of clients. Each request may need
# one more to a backend server.
CLIENT_SHARE = 1 / 3


class Entry:
    """Run one entry of the system.

    Args:
        settings: Validated settings.
    """

    def __init__(self, *, settings: global_settings.Settings):
        self.name = settings["entry"]["name"]
        self.incarnation = identifiers.create_id(self.name)
        self.metrics = metric_values.Metrics(**settings["statsd"])
        self._log = logs.Log(source="entry")
        self._log_client = client.LogClient(**settings["log"])
        self.replica = replicas.Replica(
            log_client=self._log_client,
            incarnation=self.incarnation,
            metrics=self.metrics,
        )
        self.membership = membership.Membership(
            name=self.name,
            incarnation=self.incarnation,
            data_centre=settings["entry"]["data_centre"],
            region=settings["entry"]["region"],
            peer_host=settings["entry"]["host"],
            peer_port=settings["entry"]["peer_port"],
            format_level=records.SUPPORTED_FORMAT,
            get_replica_progress=self._report,
            metrics=self.metrics,
            **settings["instances"],
        )
        self._policy_settings = policies.PROFILES[settings["policy"]["profile"]]
        self.planner = planner.Planner(
            replica=self.replica,
            policy=policy.GuaranteePolicy(settings=self._policy_settings),
            get_rank=self.membership.get_rank,
            metrics=self.metrics,
        )
        self.claims = claims.ReplicatedClaimStore(
            replica=self.replica, metrics=self.metrics
        )
        self.router = routers.Router(
            entry=self.name,
            data_centre=settings["entry"]["data_centre"],
            claims=self.claims,
            metrics=self.metrics,
        )
        self.supervisor = supervisor.Supervisor(
            replica=self.replica,
            is_owner=racks.RackOwners(
                replica=self.replica, members=self.membership
            ).is_owner,
            metrics=self.metrics,
            timing=leases.create_timing(**settings["leases"]),
        )
        self._drain_timeout_s = settings["entry"]["drain_s"]
        self._is_draining = False
        self._tasks = [
            self.membership,
            self.router,
            feeds.RouterFeed(
                router=self.router,
                replica=self.replica,
                members=self.membership,
            ),
            self.planner,
            adopter.Adopter(
                replica=self.replica,
                log_client=self._log_client,
                get_rank=self.membership.get_rank,
                metrics=self.metrics,
            ),
            keeper.Keeper(
                replica=self.replica,
                log_client=self._log_client,
                get_rank=self.membership.get_rank,
                get_format=self.membership.get_common_format_level,
                metrics=self.metrics,
            ),
            self.supervisor,
            gauges.Gauges(
                replica=self.replica,
                is_owner=self.membership.is_owner,
                metrics=self.metrics,
                log=self._log,
            ),
        ]
        self._server = web.WebServer(
            host=settings["entry"]["host"],
            port=settings["entry"]["port"],
            name="entry",
            capacity=web_limits.Capacity(
                connections=web_limits.bound_connections(
                    web_limits.DEFAULT_CONNECTIONS, share=CLIENT_SHARE
                ),
                body_bytes=web.MAX_BODY_BYTES,
            ),
            metrics=self.metrics,
        )
        self._add_routes()

    @property
    def address(self) -> str:
        """Return the address of the HTTP interface as "IP:port"."""
        return f"{self._server.host}:{self._server.port}"

    def start(self) -> None:
        """Start all tasks, then accept connections."""
        self.replica.start()
        for task in self._tasks:
            task.start()
        self._server.start()
        self._log.info("entry_started", entry=self.name, address=self.address)

    def stop(self) -> None:
        """Drain open requests, then stop all tasks.

        The entry reports that it is not ready and refuses new requests from
        the start of the drain.
        """
        if not self.drain(timeout_s=self._drain_timeout_s):
            self._log.warn("drain_cut", inside=self.router.open_request_count)
        self._server.stop()
        gevent.joinall([gevent.spawn(task.stop) for task in self._tasks])
        self.replica.stop()
        self._log_client.close()

    def drain(self, *, timeout_s: float) -> bool:
        """Refuse new requests and finish the open ones.

        Returns:
            Whether all open requests were answered, the ends of their claims
            were recorded, and running starts and ends of gangs finished,
            within `timeout_s`.
        """
        self._is_draining = True
        self.membership.leave()
        deadline = time.monotonic() + timeout_s
        is_done = self.router.drain(timeout_s=timeout_s)
        left_s = max(0.0, deadline - time.monotonic())
        is_done = self._server.drain(timeout_s=left_s) and is_done
        left_s = max(0.0, deadline - time.monotonic())
        is_done = self.claims.flush(timeout_s=left_s) and is_done
        left_s = max(0.0, deadline - time.monotonic())
        return self.supervisor.drain(timeout_s=left_s) and is_done

    def kill(self) -> None:
        """Stop at once without a drain, as a process crash would."""
        self._server.stop(timeout_s=0.0)
        for task in self._tasks:
            task.kill()
        self.replica.stop()
        self._log_client.close()

    def _add_routes(self) -> None:
        for handlers in (
            jobs.JobHandlers(replica=self.replica, planner=self.planner),
            explain.ExplainHandlers(
                name=self.name,
                replica=self.replica,
                settings=self._policy_settings,
                metrics=self.metrics,
            ),
            notes.NoteHandlers(
                replica=self.replica, log_client=self._log_client
            ),
            requests.RequestHandlers(router=self.router, replica=self.replica),
            pages.PageHandlers(
                show_status=self._show_status, check_ready=self._check_ready
            ),
        ):
            handlers.add_routes(self._server)
        self.membership.add_routes(self._server)

    def _report(self) -> messages.ReplicaProgress:
        self.replica.set_append_share(len(self.membership.list_live_entries()))
        marked = self.replica.local_mark
        return messages.ReplicaProgress(
            offset=self.replica.state.core["offset"],
            mark=marked.offset,
            digest=marked.digest,
            silence_s=self.replica.get_time_since_read_s(),
        )

    def _check_ready(self) -> errors.Refusal | None:
        if self._is_draining:
            return errors.refuse(errors.Kind.DRAINING, "the entry is leaving")
        if not self.replica.is_following:
            return errors.refuse(
                errors.Kind.STATE_BEHIND,
                "this replica has not caught up with the log",
            )
        return None

    def _show_status(self) -> dict[str, Any]:
        shared = status.build_status(self.replica.state)
        members = self.membership.describe()
        return {
            "entry": self.name,
            "incarnation": self.incarnation,
            "membership": members,
            "journal": self.replica.describe(),
            "entries": status.list_entries(
                members, name=self.name, offset=shared["offset"]
            ),
            "minions": status.list_minions(self.router.describe()),
            "refusals": status.list_refusals(self.metrics.list_counts()),
            "counts": self.metrics.list_counts(),
            **shared,
        }
