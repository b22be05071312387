"""Task that passes changes of services, instances and entries to the router."""

from typing import Any

from chervilcove.core import tasks
from chervilcove.customers import schema as customers
from chervilcove.journal import machine
from chervilcove.journal import replica as replicas
from chervilcove.membership import core as membership
from chervilcove.requests import core
from chervilcove.requests import router as routers

POLL_INTERVAL_S = 0.2


class RouterFeed(tasks.Task):
    """Pass services, instances and entries to the router when they change.

    Args:
        router: Router to update.
        replica: Replica that holds the configuration in force.
        members: Membership that holds the instance list.
    """

    def __init__(
        self,
        *,
        router: routers.Router,
        replica: replicas.Replica,
        members: membership.Membership,
    ):
        super().__init__(name="router-feed", inbox_limit=1)
        self._router = router
        self._replica = replica
        self._members = members
        self._revision: int | None = None
        self._instances: list[core.Instance] = []
        self._entries: list[str] = []
        replica.subscribe(self._wake_on_note)

    def run(self) -> None:
        """Pass changes on every `POLL_INTERVAL_S`, and at once after a note."""
        while not self.is_stopping:
            self._update_services()
            self._update_instances()
            self._update_entries()
            self.receive(timeout_s=POLL_INTERVAL_S)

    def _wake_on_note(self, applied: machine.AppliedRecord) -> None:
        if any(done.item.kind == "adopt" for done in applied.events):
            self.post(True)

    def _update_services(self) -> None:
        configuration = self._replica.state.core["configuration"]
        if configuration["revision"] != self._revision:
            self._revision = configuration["revision"]
            self._router.set_services(filter_usable_minions(configuration))

    def _update_instances(self) -> None:
        instances = [
            build_instance(row)
            for row in self._members.list_instances()
            if row["role"] == "minion"
        ]
        if instances != self._instances:
            self._instances = instances
            self._router.set_instances(instances)

    def _update_entries(self) -> None:
        entries = self._members.list_live_entries()
        if entries != self._entries:
            self._entries = entries
            self._router.set_entries(entries)


def filter_usable_minions(
    configuration: customers.Configuration,
) -> dict[str, customers.Service]:
    """Return the services without minions in data centres out of service."""
    out_of_service = {
        name
        for name, data_centre in configuration["data_centres"].items()
        if not data_centre["in_service"]
    }
    return {
        name: customers.Service(
            name=name,
            minions=[
                minion
                for minion in service["minions"]
                if minion["data_centre"] not in out_of_service
            ],
        )
        for name, service in configuration["services"].items()
    }


def build_instance(row: dict[str, Any]) -> core.Instance:
    """Convert a row of the instance list to the router's type."""
    incarnation = str(row.get("incarnation", ""))
    is_number = incarnation.isascii() and incarnation.isdigit()
    return core.Instance(
        name=row["name"],
        is_leaving=row["state"] == "leaving",
        incarnation=int(incarnation) if is_number else 0,
    )
