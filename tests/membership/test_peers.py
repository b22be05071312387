import gevent
from gevent import server
import pytest

from chervilcove.core import errors
from chervilcove.core import metrics as metric_values
from chervilcove.core import web
from chervilcove.membership import conf
from chervilcove.membership import core
from chervilcove.membership import messages
from chervilcove.standins import instances
from tests import cluster

wait = cluster.Cluster.wait


class System:
    """Run an instance list and entries, each with an HTTP interface."""

    def __init__(self):
        self.list = instances.InstanceList(lag_s=0.0)
        self.list.start()
        self.members = {}
        self.webs = {}

    def add(self, name, *, incarnation="1"):
        host, port = self.list.address.split(":")
        member = core.Membership(
            name=name,
            host=host,
            port=int(port),
            incarnation=incarnation,
            metrics=metric_values.Metrics(),
        )
        interface = web.WebServer(host="127.0.0.1")
        member.add_routes(interface)
        interface.start()
        member.start()
        self.members[name] = member
        self.webs[name] = interface
        self.put(name, f"127.0.0.1:{interface.port}", incarnation)
        return member

    def put(self, name, address, incarnation="1", state="live"):
        self.list.put(
            {
                "name": name,
                "role": "entry",
                "address": address,
                "data_centre": "Giza",
                "state": state,
                "incarnation": incarnation,
            }
        )

    def stop(self):
        for part in (*self.members.values(), *self.webs.values(), self.list):
            part.stop()


@pytest.fixture
def system(monkeypatch):
    monkeypatch.setattr(conf, "POLL_INTERVAL_S", 0.05)
    monkeypatch.setattr(conf, "REFRESH_INTERVAL_S", 0.05)
    monkeypatch.setattr(conf, "HEARTBEAT_INTERVAL_S", 0.1)
    monkeypatch.setattr(conf, "ANSWER_TIMEOUT_S", 0.3)
    monkeypatch.setattr(conf, "SUSPECT_AFTER_S", 1.5)
    system = System()
    yield system
    system.stop()


def count(member, name):
    return member._metrics.list_counts().get(name, 0)


class TestHeartbeats:
    def test_entries_hear_each_other(self, system):
        one, two = system.add("one"), system.add("two", incarnation="2-a")
        wait(
            lambda: (
                one._view.peers.get("two") and one._view.peers["two"].heartbeat
            )
        )
        assert one.list_live_entries() == ["one", "two"]
        assert one._view.peers["two"].heartbeat.incarnation == "2-a"
        assert one.is_owner("rack-1") != two.is_owner("rack-1")
        assert sorted((one.get_rank("rack-1"), two.get_rank("rack-1"))) == [
            0,
            1,
        ]

    def test_a_silent_peer_is_suspected_whatever_the_list_says(self, system):
        one, two = system.add("one"), system.add("two")
        wait(lambda: one.describe()["peers"].get("two", {}).get("heartbeat"))
        two.kill()
        wait(lambda: one.list_live_entries() == ["one"])
        assert one.describe()["suspected"] == ["two"]
        assert one.is_owner("anything")

    def test_a_leaving_peer_is_known_before_the_list(self, system):
        one, two = system.add("one"), system.add("two")
        wait(
            lambda: (
                one.list_live_entries()
                == two.list_live_entries()
                == ["one", "two"]
            )
        )
        two.leave()
        wait(lambda: one.list_live_entries() == ["one"])
        assert two.get_rank("key") == 1
        listed = {each["name"] for each in system.list.list_instances()}
        assert listed == {"one", "two"}

    def test_an_unavailable_list_changes_nothing(self, system):
        one, two = system.add("one"), system.add("two")
        wait(
            lambda: (
                one.list_live_entries()
                == two.list_live_entries()
                == ["one", "two"]
            )
        )
        system.list.faults = system.list.faults._replace(down=True)
        wait(lambda: count(one, "membership.retried.list.log_unavailable"))
        assert one.list_live_entries() == ["one", "two"]


class TestSilentConnections:
    @pytest.mark.xfail(strict=False, reason="flaky, see KNOWN-RED.txt")
    def test_the_first_miss_opens_a_fresh_connection(self, system):
        """An open connection stops responding while new ones work."""
        one = system.add("one")
        served = []

        def serve(sock, address):
            served.append(address)
            stream = core.peers.frames.FrameStream(sock=sock)
            first = len(served) == 1
            while True:
                beat = stream.receive(timeout_s=None)
                if errors.is_refusal(beat):
                    return
                if first and len(answered) == 2:
                    gevent.sleep(3600)
                answered.append(beat)
                stream.send(messages.Heartbeat("two", "1", 1.0, "live"))

        answered = []
        peer_server = server.StreamServer(("127.0.0.1", 0), serve)
        peer_server.start()
        peer_answer = {"address": f"127.0.0.1:{peer_server.server_port}"}
        interface = web.WebServer(host="127.0.0.1")
        interface.add_route("GET", "/v1/peer", lambda request: peer_answer)
        interface.start()
        system.put("two", f"127.0.0.1:{interface.port}")
        wait(lambda: len(answered) > 4)
        assert len(served) == 2
        assert count(one, "membership.retried.fresh_connection") == 1
        assert one.list_live_entries() == ["one", "two"]
        assert one.describe()["suspected"] == []
        peer_server.stop(timeout=0)
        interface.stop()


class TestMessages:
    BEAT = messages.Heartbeat("one", "1", 1.0, "live")
    CASES = {
        "complete": (list(BEAT), True),
        "newer version with more fields": ([*BEAT, "more"], True),
        "older version with fewer fields": (list(BEAT)[:4], True),
        "too short": (list(BEAT)[:3], False),
        "wrong type": (["one", 1, 1.0, "live"], False),
        "not an array": ({"name": "one"}, False),
    }

    @pytest.mark.parametrize(("value", "is_read"), CASES.values(), ids=CASES)
    def test_heartbeats_of_other_versions_are_read(self, value, is_read):
        beat = messages.read_heartbeat(value)
        assert errors.is_refusal(beat) != is_read
