import logbook

from chervilcove.control import wait_log
from chervilcove.core import logs
from chervilcove.dispatch import headroom
from chervilcove.dispatch import resources as resource_values
from chervilcove.jobs import specs
from tests.control import system as systems


def build_headroom(*workers):
    return resource_values.Allocation(
        headroom.HEADROOM_KEY, specs.Resources(0, 0, 8), workers
    )


class TestHeadroomLog:
    def test_only_changes_of_the_size_are_logged(self):
        allocations = [
            None,
            build_headroom("w0"),
            build_headroom("w1"),
            build_headroom("w0", "w1"),
            None,
            None,
        ]
        with logbook.TestHandler() as handler:
            kept = wait_log.HeadroomLog(log=logs.Log(source="t"))
            for allocation in allocations:
                kept.record(allocation, arrivals=4)
        assert [record.message.split()[0] for record in handler.records] == [
            "event=room_kept",
            "event=room_kept",
            "event=room_released",
        ]
        assert "workers=w0,w1" in handler.records[1].message
        assert "arrivals=4" in handler.records[1].message

    def test_owner_logs_the_headroom_that_it_keeps(self, system):
        # Without this line, the log doesn't explain why a job waits while
        # workers are idle.
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
