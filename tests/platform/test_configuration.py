"""What an entry answers while it can't read the configuration."""

import logbook
import pytest

from chervilcove.control import clocks
from chervilcove.core import http
from tests.control import system as systems
from tests.platform import standin


@pytest.fixture
def boot_clock(monkeypatch):
    """Return a function that lets the boot clock jump by some seconds."""
    read = clocks.read_boot_clock_s
    jumps = []
    monkeypatch.setattr(
        clocks, "read_boot_clock_s", lambda: read() + sum(jumps)
    )
    return jumps.append


@pytest.fixture
def call(platform):
    platform.store.put("keyed.op", "config", standin.CONFIG)
    platform.start_entry()
    entry = platform.entry
    systems.wait_until(lambda: entry._operator_feed.get().configuration)
    peer = http.HttpPeer(host="127.0.0.1", port=entry.caller_server.port)

    def send(path, *, key="key-1"):
        return peer.call(
            "GET",
            path,
            headers={"Host": "jobs.example", "X-Chervilcove-Key": key},
        )

    yield send
    peer.close()


def cut_off(platform):
    """Refuse all calls of the entry to the store."""
    platform.store.refuse_with = 503
    follower = platform.entry.job_api._follower
    feed = platform.entry._operator_feed
    systems.wait_until(
        lambda: (
            follower.reachable_since is None and feed.reachable_since is None
        )
    )


class TestConfigurationAge:
    def test_refused_call_is_logged_with_the_age(
        self, platform, call, boot_clock
    ):
        cut_off(platform)
        boot_clock(2.0)
        handler = logbook.TestHandler()
        with handler.applicationbound():
            call("/none/")
        line = next(
            record.message
            for record in handler.records
            if "event=call_refused" in record.message
        )
        age_s = float(line.partition("config_age_s=")[2].split()[0])
        assert 2.0 <= age_s < 4.0

    def test_paused_process_does_not_take_an_old_answer_for_a_new_one(
        self, platform, call, boot_clock
    ):
        feed = platform.entry._operator_feed
        before = feed.get().read_at
        boot_clock(60.0)
        systems.wait_until(lambda: feed.get().read_at > before)
        # The read that was open when the process was paused came first.
        assert feed.get().read_at < before + 10.0
