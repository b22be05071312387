import logbook

from chervilcove.control import waits
from chervilcove.core import logs
from chervilcove.dispatch import headroom
from chervilcove.dispatch import resources as room_values
from chervilcove.jobs import specs
from tests.control import system as systems


def build_room(*workers):
    return room_values.Allocation(
        headroom.HEADROOM_KEY, specs.Resources(0, 0, 8), workers
    )


class TestKeptRoom:
    def test_what_changes_is_told_once(self):
        rooms = [
            None,
            build_room("w0"),
            build_room("w1"),
            build_room("w0", "w1"),
            None,
            None,
        ]
        with logbook.TestHandler() as handler:
            kept = waits.KeptRoom(log=logs.Log(source="t"))
            for room in rooms:
                kept.note(room, arrivals=4)
        assert [record.message.split()[0] for record in handler.records] == [
            "event=room_kept",
            "event=room_kept",
            "event=room_released",
        ]
        assert "workers=w0,w1" in handler.records[1].message
        assert "arrivals=4" in handler.records[1].message

    def test_the_owner_tells_of_the_room_that_it_keeps(self, system):
        # Until then no line said why a job waited beside idle workers.
        handler = logbook.TestHandler()
        with handler.applicationbound():
            entry = system.add_entry("a")
            systems.wait_until(lambda: entry._owner is not None)
            whole = {"need": specs.Resources(1000, 1024, 8), "is_gang": True}
            for number in range(headroom.MIN_ARRIVALS):
                system.submit(
                    entry,
                    f"{number:016x}",
                    systems.build_spec(**whole),
                    queue="urgent",
                )
            system.submit(
                entry, "f" * 16, systems.build_spec(count=16, estimate_ms=5000)
            )
            systems.wait_until(
                lambda: any("room_kept" in x.message for x in handler.records)
            )
