from chervilcove.entry import racks
from tests.journal import utils


class Members:
    def __init__(self):
        self.queries = []

    def is_owner(self, key, region):
        self.queries.append((key, region))
        return True


class TestRackOwners:
    def test_ownership_is_asked_with_the_region_of_the_rack(self):
        writer = utils.make_writer()
        members = Members()
        owners = racks.RackOwners(replica=writer, members=members)
        assert owners.is_owner("rack-0")
        assert owners.is_owner("unknown")
        assert members.queries == [("rack-0", "r"), ("unknown", "")]

    def test_a_new_region_takes_effect_with_the_next_revision(self):
        writer = utils.make_writer()
        members = Members()
        owners = racks.RackOwners(replica=writer, members=members)
        owners.is_owner("rack-1")
        change = {"type": "data_centre", "name": "Maadi", "region": "east"}
        note = utils.make_note(changed=[change], base=1, name="note-2")
        assert writer.adopt(note) == 2
        owners.is_owner("rack-1")
        assert members.queries == [("rack-1", "r"), ("rack-1", "east")]
