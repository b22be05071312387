"""Tests of the counters of what an entry sends and receives."""

from chervilcove.core import http
from chervilcove.core import metrics as metric_values
from chervilcove.core import traffic as traffic_values
from chervilcove.core import web


class TestTraffic:
    # Without these counters nothing shows which calls fill a link.
    def test_bytes_count_by_call_and_port(self):
        metrics = metric_values.Metrics()
        traffic = traffic_values.Traffic(metrics=metrics)
        server = web.WebServer(host="127.0.0.1", name="peers", traffic=traffic)
        server.add_route("POST", "/x", lambda request: {"ok": True})
        server.start()
        peer = http.HttpPeer(
            host="127.0.0.1", port=server.port, traffic=traffic
        )
        peer.call("POST", "/x", body=b"a" * 1000, name="worker_start")
        counts = metrics.list_counts()
        assert counts["traffic.calls.worker_start"] == 1
        assert 1000 < counts["traffic.sent.worker_start"] < 1400
        assert 0 < counts["traffic.received.worker_start"] < 400
        assert counts["traffic.received.port_peers"] == 1000
        assert counts["traffic.sent.port_peers"] == len(b'{"ok":true}')
        server.stop()
        peer.close()

    def test_calls_without_an_answer_count_apart(self):
        metrics = metric_values.Metrics()
        traffic = traffic_values.Traffic(metrics=metrics)
        traffic.record_call("policy", sent=10, received=0, send_wait_s=0.25)
        assert metrics.list_counts()["traffic.unanswered.policy"] == 1
        summary = traffic.take_summary()
        assert summary["longest_send_wait_ms"] == 250
        assert summary["calls"] == "policy:1/1/10/0"
        assert traffic.take_summary()["sent"] == 0
