"""The entry of a fleet: wires follower, election, owner and desk."""

from collections.abc import Callable
import time
from typing import Any

import gevent
import xxhash

from chervilcove.control import api as desks
from chervilcove.control import elections
from chervilcove.control import follower as followers
from chervilcove.control import interfaces
from chervilcove.control import owners
from chervilcove.control import pages as operator_pages
from chervilcove.control import writers
from chervilcove.core import errors
from chervilcove.core import identifiers
from chervilcove.core import logs
from chervilcove.core import metrics as metric_values
from chervilcove.core import web
from chervilcove.dispatch import round_input
from chervilcove.jobs import records

# A leaving entry still takes new connections for as long as the balancer
# may send some: two liveness checks, a second apart.
UNREADY_S = 2.3
GREET_S = 2.0  # most time for one try to tell of the start
GREET_RETRY_S = 0.2


class FleetEntry:
    """Run one instance that schedules a fleet of workers.

    Args:
        name: Name of the instance.
        ledger: The job ledger.
        surroundings: Connects workers and follows their list.
        create_notices: Builds the feed of what the operator asks for; it
            has a method `get`.
        front: Server of callers.
        ready: Server of liveness checks.
        pages: Server of metrics.
        drain_s: Most seconds that a stop may take.
        bounds: What the deployment promises.
        metrics: Counters.
    """

    def __init__(
        self,
        *,
        name: str,
        ledger: interfaces.Ledger,
        surroundings: interfaces.PlatformConnector,
        create_notices: Callable[[Callable[[], None]], Any],
        front: web.WebServer,
        ready: web.WebServer,
        pages: web.WebServer,
        drain_s: float,
        bounds: round_input.ReclaimBounds,
        metrics: metric_values.Metrics,
    ):
        self.name = name
        self.incarnation = identifiers.create_id(name)
        # A machine that comes in another's place may have its name.
        self._identity = f"{name}@{front.host}"
        self.caller_server = front
        self.metrics = metrics
        self._log = logs.Log(source="entry")
        self._health_server = ready
        self._pages = pages
        self._drain_s = drain_s
        self._bounds = bounds
        self._is_draining = False
        self._ledger = ledger
        self._surroundings = surroundings
        self._owner: owners.Owner | None = None
        self._notices = create_notices(self._wake_owner)
        self._follower = followers.Follower(ledger=ledger, metrics=metrics)
        self._writer = writers.CallerWriter(
            ledger=ledger,
            metrics=metrics,
            is_read_back=lambda key: self._follower.table.has_record(key),
        )
        self._election = elections.Election(
            name=self._identity,
            incarnation=self.incarnation,
            ledger=ledger,
            follower=self._follower,
            rank=(xxhash.xxh32(self.incarnation.encode()).intdigest() % 100)
            / 100,
            on_change=self._change_owner,
        )
        self._follower.add_listener(self._tell_owner)
        self.job_api = desks.JobApi(
            follower=self._follower,
            writer=self._writer,
            get_operations=self._notices.get,
            metrics=metrics,
        )
        ready.add_route("GET", "/ready", self._check_ready)
        operator_pages.Pages(
            name=name,
            follower=self._follower,
            get_operations=self._notices.get,
            metrics=metrics,
        ).add_routes(pages)

    def start(self) -> None:
        """Start to follow, then to answer."""
        self._health_server.start()
        self._pages.start()
        self._notices.start()
        self._follower.start()
        self._writer.start()
        self._election.start()
        self._greeting = gevent.spawn(self._greet)
        self.caller_server.start()
        self._log.info(
            "entry_started",
            entry=self.name,
            incarnation=self.incarnation,
            metrics=f"{self._pages.host}:{self._pages.port}",
        )

    def stop(self) -> None:
        """Hand decisions over, finish open calls, then end."""
        began = time.monotonic()
        self._is_draining = True
        self._log.info("entry_leaves", entry=self.name)
        self._election.leave()
        gevent.sleep(UNREADY_S)
        left_s = self._drain_s - (time.monotonic() - began)
        is_done = self.caller_server.drain(timeout_s=max(0.1, left_s))
        self._health_server.stop()
        self._pages.stop()
        self._log.info("entry_stopped", entry=self.name, drained=is_done)

    def kill(self) -> None:
        """End at once, as the end of the process would."""
        self._greeting.kill(block=False)
        self._election.kill()
        self._follower.kill()
        self._writer.kill()
        if self._owner is not None:
            self._owner.stop()
        self.caller_server.stop()
        self._health_server.stop()
        self._pages.stop()

    def reload(self) -> None:
        """Note that the settings may have changed."""
        self._log.info("settings_reloaded", entry=self.name)

    def _greet(self) -> None:
        """Tell that earlier processes of this entry have ended.

        Whoever of them owned the decisions need not be waited for.
        """
        key = records.build_key(records.Kind.ENTRY, self._identity)
        value = records.encode_value(self.incarnation)
        while self._writer.write(key, value, timeout_s=GREET_S) is not None:
            gevent.sleep(GREET_RETRY_S)

    def _change_owner(self, epoch: int | None) -> None:
        if self._owner is not None:
            owner, self._owner = self._owner, None
            owner.stop()
        if epoch is None:
            return
        self._owner = owners.Owner(
            epoch=epoch,
            ledger=self._ledger,
            follower=self._follower,
            surroundings=self._surroundings,
            get_operations=self._notices.get,
            on_deposed=self._election.give_up,
            bounds=self._bounds,
            is_predecessor_gone=self._election.is_predecessor_gone,
            metrics=self.metrics,
        )
        self._owner.start()

    def _wake_owner(self) -> None:
        if self._owner is not None:
            self._owner.wake()

    def _tell_owner(self) -> None:
        if self._owner is not None:
            self._owner.note_read()

    def _check_ready(self, _request: web.WebRequest) -> Any:
        if self._is_draining:
            return errors.refuse(errors.Kind.DRAINING, "the entry leaves")
        if self._notices.get().configuration is None:
            return errors.refuse(errors.Kind.UNCONFIGURED, "no configuration")
        if not self._follower.is_loaded or (
            self._follower.reachable_since is None
        ):
            return errors.refuse(
                errors.Kind.STATE_BEHIND, "the ledger is not followed"
            )
        return {"ready": True}
