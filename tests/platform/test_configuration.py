"""What an entry answers while it can't read the configuration."""

import logbook
import pytest

from chervilcove.control import clocks
from chervilcove.core import errors
from tests.control import system as systems


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
def call(peer):
    def send(path, *, key="key-1"):
        return peer.call(
            "GET",
            path,
            headers={"Host": "jobs.example", "X-Chervilcove-Key": key},
        )

    return send


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


class TestStaleConfiguration:
    def test_stale_configuration_gives_no_final_refusals(
        self, platform, call, boot_clock
    ):
        # A queue or key may have been added since the last read.
        cut_off(platform)
        assert call("/none/").status == 404
        assert call("/batch/", key="new").status == 401
        boot_clock(3.1)
        for reply in (call("/none/"), call("/batch/", key="new")):
            assert reply.status == 503
            assert reply.decode()["error"] == "state_behind"
            assert int(reply.headers["retry-after"]) >= 1

    def test_stale_configuration_serves_no_withdrawn_keys(
        self, platform, call, boot_clock
    ):
        cut_off(platform)
        boot_clock(3.1)
        assert call("/batch/").status == 200
        boot_clock(6.0)
        assert call("/batch/").status == 503

    def test_entry_with_a_stale_configuration_is_not_ready(
        self, platform, call, boot_clock
    ):
        # The topic of the configuration may fail while the ledger answers.
        entry = platform.entry
        assert entry._check_ready(None) == {"ready": True}
        platform.store.unreadable_topics.add("keyed.op")
        systems.wait_until(lambda: entry._operator_feed.reachable_since is None)
        boot_clock(9.1)
        refusal = entry._check_ready(None)
        assert errors.is_refusal(refusal)
        assert refusal.kind == "state_behind"

    def test_answers_are_final_again_after_an_outage(
        self, platform, call, boot_clock
    ):
        cut_off(platform)
        boot_clock(60.0)
        assert call("/batch/").status == 503
        platform.store.refuse_with = 0
        systems.wait_until(lambda: call("/batch/").status == 200)
        assert call("/none/").status == 404
        assert call("/batch/", key="new").status == 401
