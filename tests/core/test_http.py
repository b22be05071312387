import gevent
from gevent import server
import pytest

from chervilcove.core import errors
from chervilcove.core import http


class TestHttpPeer:
    def _serve(self, response):
        received = []

        def handle(sock, address):
            while content := sock.recv(65536):
                received.append(content)
                if response is None:
                    gevent.sleep(60)
                sock.sendall(response)
                if b"close" in response:
                    break
            sock.close()

        listener = server.StreamServer(("127.0.0.1", 0), handle)
        listener.start()
        peer = http.HttpPeer(host="127.0.0.1", port=listener.server_port)
        return listener, peer, received

    def test_calls_return_the_body_and_reuse_the_connection(self):
        response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
        listener, peer, received = self._serve(response)
        assert peer.call_json("GET", "/") == {}
        assert peer.call_json("GET", "/") == {}
        assert len(received) == 2
        listener.stop()

    # Each renewal of each worker has a head; a fifth of it was of no use.
    def test_heads_hold_only_fields_that_peers_read(self):
        response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
        listener, peer, received = self._serve(response)
        peer.call("POST", "/", body=b"x", headers={"A": "b"})
        fields = received[0].partition(b"\r\n\r\n")[0].split(b"\r\n")[1:]
        names = {field.partition(b":")[0] for field in fields}
        assert names == {b"A", b"Host", b"Content-Length"}
        listener.stop()

    def test_a_truncated_response_is_a_bad_answer_without_a_retry(self):
        response = (
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n"
            b"Connection: close\r\n\r\n{}"
        )
        listener, peer, received = self._serve(response)
        outcome = peer.call("POST", "/", body=b"x")
        assert outcome.kind is errors.Kind.BAD_ANSWER
        assert len(received) == 1
        listener.stop()

    def test_no_response_is_an_unknown_outcome_without_a_retry(self):
        listener, peer, received = self._serve(None)
        outcome = peer.call("POST", "/", body=b"x", timeout_s=0.2)
        assert outcome.kind is errors.Kind.OUTCOME_UNKNOWN
        assert len(received) == 1
        listener.stop()

    def test_a_refused_connection_is_reported_as_connect_failed(self):
        listener, peer, _ = self._serve(b"")
        listener.stop()
        outcome = peer.call("POST", "/")
        assert outcome.kind is errors.Kind.CONNECT_FAILED

    def test_data_after_the_response_is_a_bad_answer(self):
        # A second response must not be appended to the body of the first.
        response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
        listener, peer, _ = self._serve(response + response)
        outcome = peer.call("GET", "/")
        assert outcome.kind is errors.Kind.BAD_ANSWER
        listener.stop()

    def test_a_response_that_is_not_accepted_closes_its_connection(self):
        response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
        listener, peer, _ = self._serve(response)
        refusal = errors.refuse(errors.Kind.BAD_ANSWER, "not mine")
        outcome = peer.call("GET", "/", accept=lambda reply: refusal)
        assert outcome is refusal
        assert not peer._pool._idle_since
        listener.stop()

    def test_connections_idle_for_too_long_are_not_reused(self):
        response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
        opened = []
        listener, _, _ = self._serve(response)
        peer = http.HttpPeer(
            host="127.0.0.1", port=listener.server_port, max_idle_s=0.0
        )
        peer._pool.after_connect = opened.append
        for _ in range(3):
            assert peer.call_json("GET", "/") == {}
        assert len(opened) == 3
        listener.stop()

    def test_an_invalid_header_does_not_leak_a_connection(self):
        # The request is built, and its headers checked, before a connection
        # is taken from the pool.
        listener, _, _ = self._serve(b"")
        peer = http.HttpPeer(
            host="127.0.0.1", port=listener.server_port, connections=1
        )
        for _ in range(2):
            with pytest.raises(ValueError, match="invalid value"):
                peer.call("GET", "/", headers={"X-Key": "a\r\nb"})
        assert peer._pool._semaphore.counter == 1
        listener.stop()
