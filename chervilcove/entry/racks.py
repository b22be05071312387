"""Responsibility of entries for racks."""

from chervilcove.journal import replica as replicas
from chervilcove.membership import core as membership


class RackOwners:
    """Decide whether this entry is responsible for a rack.

    Entries in the rack's region rank before all others, because they can
    still reach the rack if the network between regions fails.

    Args:
        replica: Replica that holds the configuration in force.
        members: Membership that ranks the live entries.
    """

    def __init__(
        self, *, replica: replicas.Replica, members: membership.Membership
    ):
        self._replica = replica
        self._members = members
        self._revision: int | None = None
        self._regions: dict[str, str] = {}

    def is_owner(self, rack: str) -> bool:
        """Return whether this entry believes it is responsible for `rack`."""
        return self._members.is_owner(rack, self._get_region(rack))

    def _get_region(self, rack: str) -> str:
        configuration = self._replica.state.core["configuration"]
        if configuration["revision"] != self._revision:
            self._revision = configuration["revision"]
            data_centres = configuration["data_centres"]
            self._regions = {
                worker["rack"]: data_centres[worker["data_centre"]]["region"]
                for worker in configuration["workers"].values()
                if worker["data_centre"] in data_centres
            }
        return self._regions.get(rack, "")
