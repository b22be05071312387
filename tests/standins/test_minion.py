"""Protocol and faults of the stand-in minion."""

import gevent
import msgspec
import pytest

from chervilcove.core import errors
from chervilcove.core import http
from chervilcove.core import identifiers
from chervilcove.standins import minion as minions


@pytest.fixture
def minion():
    server = minions.Minion(name="minion-1", slots=1, connections=4)
    server.start()
    yield server
    server.stop()


@pytest.fixture
def peer(minion):
    host, port = minion.address.split(":")
    client = http.HttpPeer(host=host, port=int(port))
    yield client
    client.close()


def _send(peer, *, key="key-1", work_ms=1.0, answer_bytes=0, timeout_s=2.0):
    body = msgspec.json.encode(
        {"work_ms": work_ms, "answer_bytes": answer_bytes}
    )
    headers = {
        "X-Request-Id": f"try-{key}",
        "X-Request-Key": key,
        "X-Entry": "entry-1",
    }
    return peer.call(
        "POST", "/v1/requests", body=body, headers=headers, timeout_s=timeout_s
    )


class TestMinion:
    def test_answer_has_request_id_digest_and_load(self, minion, peer):
        reply = _send(peer, answer_bytes=5000)
        assert reply.status == 200
        assert len(reply.body) == 5000
        assert reply.headers["x-request-id"] == "try-key-1"
        digest = identifiers.digest(reply.body)
        assert reply.headers["x-content-digest"] == digest
        assert reply.headers["x-minion-load"] == "0/1"
        assert reply.headers["x-minion-state"] == "live"
        assert reply.headers["x-incarnation"] == str(minion.incarnation)

    def test_records_each_execution(self, minion, peer):
        _send(peer)
        (execution,) = minion.records.list_executions()
        assert execution.key == "key-1"
        assert execution.entry == "entry-1"
        assert execution.end >= execution.start > 0
        observed = peer.call_json("GET", "/v1/observations")
        assert observed["executions"] == [execution._asdict()]
        assert observed["dropped"] == 0

    def test_refuses_as_not_run_when_all_slots_are_busy(self, minion, peer):
        first = gevent.spawn(_send, peer, work_ms=100)
        while not minion.busy:
            gevent.sleep(0.001)
        second = _send(peer, key="key-2")
        assert second.status == 503
        assert second.headers["x-ran"] == "no"
        assert second.decode() == {"error": "busy"}
        assert first.get().status == 200
        assert len(minion.records.list_executions()) == 1

    def test_finishes_requests_in_flight_while_leaving(self, minion, peer):
        first = gevent.spawn(_send, peer, work_ms=50)
        while not minion.busy:
            gevent.sleep(0.001)
        assert peer.call("POST", "/v1/drain").status == 200
        refused = _send(peer, key="key-2")
        assert refused.decode() == {"error": "draining"}
        health = peer.call("GET", "/v1/health")
        assert health.headers["x-minion-state"] == "leaving"
        assert minion.wait_idle(timeout_s=2.0)
        assert first.get().status == 200

    def test_retire_finishes_requests_in_flight_before_it_stops(
        self, minion, peer
    ):
        first = gevent.spawn(_send, peer, work_ms=50)
        while not minion.busy:
            gevent.sleep(0.001)
        assert minion.retire(linger_s=0.0, timeout_s=2.0)
        assert first.get().status == 200
        assert _send(peer, key="key-2").kind is errors.Kind.CONNECT_FAILED

    def test_refuses_requests_on_connections_beyond_the_limit(self, minion):
        host, port = minion.address.split(":")
        peers = [
            http.HttpPeer(host=host, port=int(port), connections=1)
            for _ in range(5)
        ]
        replies = [_send(peer, key=f"key-{n}") for n, peer in enumerate(peers)]
        assert [reply.status for reply in replies] == [200] * 4 + [503]
        assert minion.records.most_connections == 5
        for peer in peers:
            peer.close()

    def test_faults_can_be_set_by_http(self, minion, peer):
        peer.call_json("POST", "/v1/faults", {"truncated": 1})
        assert _send(peer).kind is errors.Kind.BAD_ANSWER
        assert _send(peer, key="key-2").status == 200

    def test_silenced_connection_times_out_and_new_one_works(
        self, minion, peer
    ):
        _send(peer)
        peer.call_json("POST", "/v1/faults", {"silence_connections": True})
        lost = _send(peer, key="key-2", timeout_s=0.1)
        assert lost.kind is errors.Kind.OUTCOME_UNKNOWN
        assert _send(peer, key="key-3").status == 200
        keys = [item.key for item in minion.records.list_executions()]
        assert keys == ["key-1", "key-3"]
