"""A process that meets a crowd outside the limits lives and answers."""

import gevent
import pytest

from tests import waits
from tests.clients import checks
from tests.clients import crowd as crowds
from tests.clients import processes

MAX_FDS = 100


def _try(entry, name, port):
    """Try a behaviour; slow clients must be closed by the server."""
    crowd = crowds.Crowd(members=[(crowds.BEHAVIOURS[name], port)])
    with checks.meet(entry, crowd) as base:
        if name in crowds.SLOW_BEHAVIOURS:
            most = base + checks.OTHER_DESCRIPTORS
            waits.wait_until(
                lambda: entry.process.count_descriptors() <= most,
                max_polls=checks.CLOSE_POLLS,
                describe=lambda: "slow clients keep their connections",
            )


class TestPlatformEntry:
    """Guards against an entry that a crowd ends, fills or hangs."""

    @pytest.fixture
    def entry(self, tmp_path):
        with checks.run(processes.PlatformEntry(folder=tmp_path)) as entry:
            yield entry

    @pytest.mark.parametrize("name", crowds.BEHAVIOURS)
    def test_the_port_of_callers(self, entry, name):
        _try(entry, name, entry.ports["front"])

    @pytest.mark.parametrize("name", crowds.CORE_BEHAVIOURS)
    @pytest.mark.parametrize("port", ["ready", "metrics", "peers"])
    def test_the_other_ports(self, entry, port, name):
        _try(entry, name, entry.ports[port])

    @pytest.mark.parametrize("name", crowds.LINE_BEHAVIOURS)
    def test_lines_without_end_on_all_ports(self, entry, name):
        """Guards against lines that are collected or skipped without end."""
        behaviour = crowds.BEHAVIOURS[name]._replace(count=15)
        members = [(behaviour, port) for port in entry.ports.values()]
        with checks.meet(entry, crowds.Crowd(members=members)):
            assert entry.process.is_alive()


class TestPlaces:
    """Guards against connections that use up the descriptors of a machine."""

    def test_the_connections_of_all_ports_stay_below_max_fds(self, tmp_path):
        fleet = {"max_fds": MAX_FDS, "memory_mb": 160}
        entry = processes.PlatformEntry(
            folder=tmp_path, fleet=processes.choose_known(fleet)
        )
        behaviour = crowds.BEHAVIOURS["nothing_sent"]
        crowd = crowds.Crowd(
            members=[(behaviour, port) for port in entry.ports.values()]
        )
        try:
            entry.wait_ready()
            most = 0
            crowd.start()
            for _ in range(20):
                gevent.sleep(0.05)
                most = max(most, entry.process.count_descriptors())
            assert most <= MAX_FDS
            assert entry.answers() == entry.EXPECTED
        finally:
            crowd.stop()
            entry.stop()


class TestOwnEntry:
    """Guards against an entry of the own interface that a crowd ends."""

    @pytest.fixture
    def entry(self, tmp_path):
        with checks.run(processes.OwnEntry(folder=tmp_path)) as entry:
            yield entry

    @pytest.mark.parametrize("name", crowds.BEHAVIOURS)
    def test_the_port_of_callers(self, entry, name):
        _try(entry, name, entry.ports["entry"])

    @pytest.mark.parametrize("filler", [b"\xdb\xff\xff\xff\xff", b"\x00"])
    def test_the_port_of_heartbeats(self, entry, filler):
        # A string of 4 GB, then values that are no heartbeats.
        behaviour = crowds.Behaviour(filler, b"x" * 65_536, 4 * crowds.MIB)
        crowd = crowds.Crowd(members=[(behaviour, entry.ports["heartbeats"])])
        with checks.meet(entry, crowd):
            assert entry.process.is_alive()
