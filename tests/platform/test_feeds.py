"""Tests of how feeds read the store."""

import time

import gevent

from chervilcove.platform import feeds
from chervilcove.standins import ledger as ledgers


class CountingLedger(ledgers.MemoryLedger):
    """Ledger that counts its reads."""

    def __init__(self):
        super().__init__()
        self.reads = 0

    def read(self, offset, *, wait_s, timeout_s):
        self.reads += 1
        return super().read(offset, wait_s=wait_s, timeout_s=timeout_s)


class TestMinionFeed:
    # Each report was read by itself: with 176 minions 80 reads a second, which
    # cost the owner's link as much as its stops.
    def test_one_read_returns_the_reports_of_many_minions(self):
        ledger = CountingLedger()
        feed = feeds.MinionFeed(topic=ledger, on_change=lambda reports: None)
        began = time.monotonic()
        feed.start()
        for number in range(200):
            ledger.append([(f"i-{number % 20}", b"{}")], timeout_s=1.0)
            gevent.sleep(0.005)
        feed.stop()
        took_s = time.monotonic() - began
        assert 0 < ledger.reads < took_s / feeds.MINION_READ_PAUSE_S + 3
        assert len(feed.values) == 20
