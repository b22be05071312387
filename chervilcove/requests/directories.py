"""Services and minions as configured, listed and heard."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import random
from typing import Any

from chervilcove.core import errors
from chervilcove.core import logs
from chervilcove.core import metrics as metric_sinks
from chervilcove.customers import schema as customers
from chervilcove.requests import conf
from chervilcove.requests import core
from chervilcove.requests import exchanges
from chervilcove.requests import heartbeats
from chervilcove.requests import lanes
from chervilcove.requests import links
from chervilcove.requests import messages
from chervilcove.requests import minions as minion_views

Post = Callable[[Any], None]


class Directory:
    """Keep a lane for each service and a link for each of its minions.

    Only the dispatcher's greenlet uses it.

    Args:
        entry: Name of this entry.
        data_centre: Data centre of this entry.
        limits: Bounds.
        metrics: Counters.
        post: Sends a message to the dispatcher.
    """

    def __init__(
        self,
        *,
        entry: str,
        data_centre: str,
        limits: conf.Limits,
        metrics: metric_sinks.Metrics,
        post: Post,
    ):
        self._log = logs.Log(source="requests")
        self._entry = entry
        self._data_centre = data_centre
        self._limits = limits
        self._metrics = metrics
        self._post = post
        self._source = random.Random(entry)
        self._entries: tuple[str, ...] = (entry,)
        self._instances: tuple[core.Instance, ...] = ()
        self._lanes: dict[str, lanes.Lane] = {}
        self._links: dict[tuple[str, str], links.Link] = {}

    def get_lane(self, service: str) -> lanes.Lane | errors.Refusal:
        """Return the lane of `service`, or a refusal."""
        lane = self._lanes.get(service)
        if lane is not None:
            return lane
        return errors.refuse(
            errors.Kind.UNKNOWN_SERVICE,
            f"no service {service!r}",
            service=service,
        )

    def list_lanes(self) -> list[lanes.Lane]:
        """Return all lanes."""
        return list(self._lanes.values())

    def get_link(self, lane: lanes.Lane, name: str) -> links.Link:
        """Return the link to the minion `name` of `lane`."""
        return self._links[lane.service, name]

    def set_services(
        self,
        services: Mapping[str, tuple[customers.Minion, ...]],
        *,
        now: float,
    ) -> None:
        """Replace all services.

        Requests in flight for a withdrawn service still get their answers.
        """
        for service in set(self._lanes) - set(services):
            self.set_minions(service, (), now=now)
            del self._lanes[service]
        for service, configured in services.items():
            self.set_minions(service, configured, now=now)

    def set_minions(
        self,
        service: str,
        configured: Iterable[customers.Minion],
        *,
        now: float,
    ) -> None:
        """Replace the minions of `service`."""
        lane = self._lanes.get(service) or self._create_lane(service, now)
        lane.balancer.set_minions(
            minion for minion in configured if self._has_address(minion)
        )
        views = {view.name: view for view in lane.balancer.list_views()}
        for key in [key for key in self._links if key[0] == service]:
            if views.get(key[1]) is not self._links[key].view:
                self._links.pop(key).close()
        for view in views.values():
            if (service, view.name) not in self._links:
                self._links[service, view.name] = self._connect(service, view)
        lane.balancer.hear_list(self._instances)

    def set_instances(self, instances: tuple[core.Instance, ...]) -> None:
        """Take in the platform's list."""
        self._instances = instances
        for lane in self._lanes.values():
            lane.balancer.hear_list(instances)

    def set_entries(self, names: tuple[str, ...]) -> None:
        """Replace the entries that share the minions."""
        self._entries = names
        for lane in self._lanes.values():
            lane.balancer.set_entries(names)

    def hear_probe(self, message: messages.Probed, *, now: float) -> None:
        """Take in the end of a health request."""
        link = self._links.get((message.service, message.name))
        if link is None or link.heartbeat is not message.heartbeat:
            return
        if message.is_kept_lost:
            self._metrics.count("requests.heartbeat.kept_lost")
            link.exchange.drop_idle()
        before = link.view.state
        if errors.is_refusal(message.result):
            self._metrics.count("requests.heartbeat.missed")
            link.view.note_miss()
        else:
            link.view.hear(message.result, now=now)
            link.view.note_answer()
        if link.view.state != before:
            self._log.info(
                "minion_changed",
                minion=message.name,
                before=before,
                after=link.view.state,
            )

    def describe(self, *, now: float) -> dict[str, Any]:
        """Return services, queues and minions as a JSON compatible value."""
        return {
            lane.service: {
                "queued": lane.queue.count_by_class(),
                "minions": [
                    view.describe(now) for view in lane.balancer.list_views()
                ],
            }
            for lane in self._lanes.values()
        }

    def close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            link.close()

    def _create_lane(self, service: str, now: float) -> lanes.Lane:
        lane = lanes.Lane(
            service=service,
            entry=self._entry,
            data_centre=self._data_centre,
            limits=self._limits,
            source=self._source,
            now=now,
        )
        lane.balancer.set_entries(self._entries)
        self._lanes[service] = lane
        return lane

    def _connect(
        self, service: str, view: minion_views.MinionView
    ) -> links.Link:
        address = view.minion["address"]
        exchange = exchanges.Exchange(
            entry=self._entry,
            name=view.name,
            address=address,
            connections=view.minion["connections"],
            limits=self._limits,
        )
        heartbeat = heartbeats.Heartbeat(
            name=view.name,
            address=address,
            limits=self._limits,
            report=lambda result, is_kept_lost: self._post(
                messages.Probed(
                    service, view.name, heartbeat, result, is_kept_lost
                )
            ),
        )
        heartbeat.start()
        return links.Link(view, exchange, heartbeat)

    def _has_address(self, minion: customers.Minion) -> bool:
        _, separator, port = minion["address"].rpartition(":")
        if separator and port.isascii() and port.isdigit():
            return True
        self._metrics.count("requests.bad_address")
        self._log.error(
            "bad_address", minion=minion["name"], address=minion["address"]
        )
        return False
