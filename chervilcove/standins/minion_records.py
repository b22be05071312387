"""Records of a stand-in minion, which tests and the demo check."""

import collections
from typing import Any
from typing import NamedTuple

RECORD_LIMIT = 200_000


class Execution(NamedTuple):
    """One execution of a request.

    Attributes:
        minion: Name of the minion.
        entry: Name of the entry that sent the request.
        request_id: Identifier of the try.
        key: Request key of the caller.
        service: Name of the requested service.
        start: Unix time of the start, in seconds.
        end: Unix time of the end, in seconds; 0.0 while it runs.
        digest: Digest of the answer, empty while it runs.
    """

    minion: str
    entry: str
    request_id: str
    key: str
    service: str
    start: float
    end: float
    digest: str


class Connection(NamedTuple):
    """One accepted connection.

    Attributes:
        number: Position in the order of acceptance, from 0.
        opened: Unix time of the acceptance, in seconds.
        closed: Unix time of the end, in seconds; 0.0 while it is open.
        requests: Number of requests read from it.
    """

    number: int
    opened: float
    closed: float
    requests: int


class Records:
    """Keep the newest executions and connections, `RECORD_LIMIT` of each.

    Older ones are dropped and counted, so that a reader knows whether the
    records are complete.

    Attributes:
        dropped: Number of executions and connections dropped so far.
        leaving_since: Unix time since which the minion has reported
            "leaving", in seconds; 0.0 before.
        not_run: Number of refused requests by reason, "busy" or "draining".
        most_running: Maximum number of requests executed concurrently.
        most_connections: Maximum number of open connections.
    """

    def __init__(self):
        self._executions: collections.OrderedDict[int, Execution] = (
            collections.OrderedDict()
        )
        self._connections: collections.OrderedDict[int, Connection] = (
            collections.OrderedDict()
        )
        self._next_execution = 0
        self.dropped = 0
        self.leaving_since = 0.0
        self.not_run: collections.Counter[str] = collections.Counter()
        self.most_running = 0
        self.most_connections = 0

    def record_start(self, execution: Execution) -> int:
        """Add a started execution; return its number."""
        number = self._next_execution
        self._next_execution += 1
        self._keep(self._executions, number, execution)
        return number

    def record_end(self, number: int, *, end: float, digest: str) -> None:
        """Record the end of execution `number`, if it is still kept."""
        known = self._executions.get(number)
        if known is not None:
            self._executions[number] = known._replace(end=end, digest=digest)

    def record_connection(self, connection: Connection) -> None:
        """Add a connection or replace its record."""
        self._keep(self._connections, connection.number, connection)

    def list_executions(self) -> list[Execution]:
        """Return the kept executions, oldest first."""
        return list(self._executions.values())

    def list_connections(self) -> list[Connection]:
        """Return the kept connections, oldest first."""
        return list(self._connections.values())

    def describe(self) -> dict[str, Any]:
        """Return all records as a JSON-compatible value."""
        return {
            "executions": [item._asdict() for item in self.list_executions()],
            "connections": [item._asdict() for item in self.list_connections()],
            "leaving_since": self.leaving_since,
            "not_run": dict(self.not_run),
            "most_running": self.most_running,
            "most_connections": self.most_connections,
            "dropped": self.dropped,
        }

    def _keep(self, table: collections.OrderedDict, key: int, item: Any):
        table[key] = item
        if len(table) > RECORD_LIMIT:
            table.popitem(last=False)
            self.dropped += 1
