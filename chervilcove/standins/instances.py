"""Stand-in for the platform's eventually consistent list of instances.

Published protocol (HTTP, JSON):

* `GET /v1/instances` answers `{"instances": [{name, role, address,
  data_centre, state, incarnation}]}` with state "live" or "leaving";
  `?roles=entry,minion` limits the answer to instances of these roles.
* `POST /v1/instances` adds or replaces one instance.
* `POST /v1/instances/NAME/remove` removes one.

Readers see a change after `lag_s`.

For tests only: `POST /v1/faults` changes the `Faults` of this stand-in.
"""

import time
from typing import Any
from typing import NamedTuple
from typing import TypedDict

import gevent
import msgspec

from chervilcove.core import errors
from chervilcove.core import web

HANG_POLL_INTERVAL_S = 0.02


class Instance(TypedDict):
    """One row of the list.

    Attributes:
        name: Unique name.
        role: "entry", "worker" or "minion".
        address: "IP:port" at which it serves other processes of its role.
        data_centre: Name of its data centre.
        state: "live" or "leaving".
        incarnation: Identifier of the process start, empty if unknown.
    """

    name: str
    role: str
    address: str
    data_centre: str
    state: str
    incarnation: str


class Faults(NamedTuple):
    """Faults that the stand-in injects into reads of the list.

    Attributes:
        down: Whether every read is answered by 503.
        hang: Whether reads wait until this is cleared.
        is_malformed: Whether reads get a body that has no list.
    """

    down: bool = False
    hang: bool = False
    is_malformed: bool = False


class InstanceList:
    """Serve the list from memory.

    Args:
        host: IP address to listen on.
        port: TCP port, 0 for any free one.
        lag_s: Delay until readers see a change, in seconds.
    """

    def __init__(
        self, *, host: str = "127.0.0.1", port: int = 0, lag_s: float = 0.5
    ):
        self._lag_s = lag_s
        self.faults = Faults()
        self._changes: list[tuple[float, str, Instance | None]] = []
        self._server = web.WebServer(host=host, port=port)
        add = self._server.add_route
        add("GET", "/v1/instances", self._list)
        add("POST", "/v1/instances", self._put)
        add("POST", "/v1/instances/{name}/remove", self._remove)
        add("POST", "/v1/faults", self._set_faults)

    @property
    def address(self) -> str:
        """Return "IP:port"."""
        return f"{self._server.host}:{self._server.port}"

    def start(self) -> None:
        """Start serving."""
        self._server.start()

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop()

    def put(self, instance: Instance) -> None:
        """Add or replace an instance."""
        self._changes.append((time.monotonic(), instance["name"], instance))

    def remove(self, name: str) -> None:
        """Remove an instance."""
        self._changes.append((time.monotonic(), name, None))

    def list_instances(self) -> list[Instance]:
        """Return the list as a reader sees it now, `lag_s` behind."""
        visible_until = time.monotonic() - self._lag_s
        seen: dict[str, Instance] = {}
        for changed_at, name, instance in self._changes:
            if changed_at > visible_until:
                break
            if instance is None:
                seen.pop(name, None)
            else:
                seen[name] = instance
        return list(seen.values())

    def _list(self, request: web.WebRequest) -> Any:
        while self.faults.hang:
            gevent.sleep(HANG_POLL_INTERVAL_S)
        if self.faults.down:
            return errors.refuse(
                errors.Kind.LOG_UNAVAILABLE, "instance list is down"
            )
        if self.faults.is_malformed:
            return {"instances": "none"}
        found = self.list_instances()
        roles = request.query.get("roles")
        if roles:
            wanted = roles.split(",")
            found = [one for one in found if one["role"] in wanted]
        return {"instances": found}

    def _set_faults(self, request: web.WebRequest) -> Any:
        value = request.decode()
        if errors.is_refusal(value):
            return value
        try:
            self.faults = self.faults._replace(**value)
        except (TypeError, ValueError) as error:
            return errors.refuse(errors.Kind.INVALID_VALUE, str(error))
        return self.faults._asdict()

    def _put(self, request: web.WebRequest) -> Any:
        value = request.decode()
        if errors.is_refusal(value):
            return value
        try:
            self.put(msgspec.convert(value, Instance))
        except msgspec.ValidationError as error:
            return errors.refuse(errors.Kind.MALFORMED, str(error))
        return {"put": True}

    def _remove(self, request: web.WebRequest) -> Any:
        self.remove(request.parts["name"])
        return {"removed": True}
