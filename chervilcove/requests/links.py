"""View, connections and health requests of one minion."""

from typing import NamedTuple

from chervilcove.requests import heartbeats
from chervilcove.requests import minion_clients
from chervilcove.requests import minions


class MinionLink(NamedTuple):
    """The objects that an entry holds for one minion.

    Attributes:
        view: State, load and failures of the minion as this entry sees them.
        client: Sends requests.
        heartbeat: Sends health requests.
    """

    view: minions.MinionView
    client: minion_clients.MinionClient
    heartbeat: heartbeats.HeartbeatTask

    def reset_connections(self) -> None:
        """Close idle connections and probe the minion at once."""
        self.client.drop_idle()
        self.heartbeat.wake()

    def close(self) -> None:
        """Close all connections and stop the health requests."""
        self.client.close()
        self.heartbeat.stop()
