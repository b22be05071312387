"""Registry of the services and their minions."""

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
from chervilcove.requests import heartbeats
from chervilcove.requests import links
from chervilcove.requests import messages
from chervilcove.requests import minion_clients
from chervilcove.requests import minions as minion_views
from chervilcove.requests import services

Post = Callable[[Any], None]


class ServiceRegistry:
    """Hold the state of each service and a link to each of its minions.

    Only the dispatcher's greenlet uses it.

    Args:
        entry: Name of this entry.
        data_centre: Data centre of this entry.
        limits: Limits of request routing.
        metrics: Counters.
        post: Posts a message to the dispatcher.
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
        self._rng = random.Random(entry)
        self._entries: tuple[str, ...] = (entry,)
        self._instances: tuple[core.Instance, ...] = ()
        self._service_states: dict[str, services.ServiceState] = {}
        self._links: dict[tuple[str, str], links.MinionLink] = {}

    def get_service_state(
        self, service: str
    ) -> services.ServiceState | errors.Refusal:
        """Return the state of `service`, or a refusal if it is unknown."""
        state = self._service_states.get(service)
        if state is not None:
            return state
        return errors.refuse(
            errors.Kind.UNKNOWN_SERVICE,
            f"unknown service {service!r}",
            service=service,
        )

    def list_service_states(self) -> list[services.ServiceState]:
        """Return the states of all services."""
        return list(self._service_states.values())

    def get_link(
        self, state: services.ServiceState, name: str
    ) -> links.MinionLink:
        """Return the link to the minion `name` of a service."""
        return self._links[state.service, name]

    def set_services(
        self,
        minions_by_service: Mapping[str, tuple[customers.Minion, ...]],
        *,
        now: float,
    ) -> None:
        """Replace all services.

        Requests in flight for a removed service still get their answers.
        """
        for service in set(self._service_states) - set(minions_by_service):
            self.set_minions(service, (), now=now)
            del self._service_states[service]
        for service, configured in minions_by_service.items():
            self.set_minions(service, configured, now=now)

    def set_minions(
        self,
        service: str,
        configured: Iterable[customers.Minion],
        *,
        now: float,
    ) -> None:
        """Replace the minions of `service`."""
        state = self._service_states.get(service) or self._create_service_state(
            service, now
        )
        state.balancer.set_minions(
            minion for minion in configured if self._has_address(minion)
        )
        views = {view.name: view for view in state.balancer.list_views()}
        for key in [key for key in self._links if key[0] == service]:
            if views.get(key[1]) is not self._links[key].view:
                self._links.pop(key).close()
        for view in views.values():
            if (service, view.name) not in self._links:
                self._links[service, view.name] = self._create_link(
                    service, view
                )
        state.balancer.record_listings(self._instances)

    def set_instances(self, instances: tuple[core.Instance, ...]) -> None:
        """Replace the rows of the platform's instance list."""
        self._instances = instances
        for state in self._service_states.values():
            state.balancer.record_listings(instances)

    def set_entries(self, names: tuple[str, ...]) -> None:
        """Replace the entries that share the minions."""
        self._entries = names
        for state in self._service_states.values():
            state.balancer.set_entries(names)

    def record_probe(self, message: messages.ProbeEnded, *, now: float) -> None:
        """Record the result of a health request."""
        link = self._links.get((message.service, message.name))
        if link is None or link.heartbeat is not message.heartbeat:
            return
        if message.is_connection_stale:
            self._metrics.count("requests.heartbeat.kept_lost")
            link.client.drop_idle()
        before = link.view.state
        if errors.is_refusal(message.result):
            self._metrics.count("requests.heartbeat.missed")
            link.view.record_unreachable()
        else:
            link.view.record_status(message.result, now=now)
            link.view.record_reachable()
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
            state.service: {
                "queued": state.queue.count_by_urgency(),
                "minions": [
                    view.describe(now) for view in state.balancer.list_views()
                ],
            }
            for state in self._service_states.values()
        }

    def close(self) -> None:
        """Close the links to all minions."""
        for link in self._links.values():
            link.close()

    def _create_service_state(
        self, service: str, now: float
    ) -> services.ServiceState:
        state = services.ServiceState(
            service=service,
            entry=self._entry,
            data_centre=self._data_centre,
            limits=self._limits,
            rng=self._rng,
            now=now,
        )
        state.balancer.set_entries(self._entries)
        self._service_states[service] = state
        return state

    def _create_link(
        self, service: str, view: minion_views.MinionView
    ) -> links.MinionLink:
        address = view.minion["address"]
        client = minion_clients.MinionClient(
            entry=self._entry,
            name=view.name,
            address=address,
            connections=view.minion["connections"],
            limits=self._limits,
        )
        heartbeat = heartbeats.HeartbeatTask(
            name=view.name,
            address=address,
            limits=self._limits,
            on_probe=lambda result, is_connection_stale: self._post(
                messages.ProbeEnded(
                    service, view.name, heartbeat, result, is_connection_stale
                )
            ),
        )
        heartbeat.start()
        return links.MinionLink(view, client, heartbeat)

    def _has_address(self, minion: customers.Minion) -> bool:
        _, separator, port = minion["address"].rpartition(":")
        if separator and port.isascii() and port.isdigit():
            return True
        self._metrics.count("requests.bad_address")
        self._log.error(
            "bad_address", minion=minion["name"], address=minion["address"]
        )
        return False
