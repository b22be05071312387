"""Delivery of new records to followers: by polling, long polling or push.

The related paper proposes to push a hint of new work in addition to polling
the log. Here the writer sends the hint to every follower as one byte on a
persistent connection, and a follower reads the log as soon as it receives it.
"""

import random
import time
from typing import Any

import gevent
from gevent import event
from gevent import server
from gevent import socket

from chervilcove.bench.agreement import utils
from chervilcove.core import errors
from chervilcove.journal import client
from chervilcove.standins import log

FOLLOWER_COUNT = 8
RECORD_COUNT = 100
POLL_INTERVAL_S = 0.2
MAX_WAIT_S = 2.0
MAX_APPEND_GAP_S = 0.1
RECORD_BYTES = 300
STREAM = "decisions"


class Follower:
    """Read one stream and record the time at which each record arrived.

    Args:
        address: Address of the log, "IP:port".
        mode: "poll", "long_poll" or "push".
    """

    def __init__(self, *, address: str, mode: str):
        host, port = address.split(":")
        self._client = client.LogClient(host=host, port=int(port))
        self._mode = mode
        self._hint = event.Event()
        self.reads = 0
        self.received_at: dict[int, float] = {}
        self._listener = server.StreamServer(
            ("127.0.0.1", 0), self._receive_hints
        )
        self._listener.start()
        self._greenlet = gevent.spawn(self._follow)

    def connect(self) -> socket.socket:
        """Return a connection to the listener of hints."""
        address = ("127.0.0.1", self._listener.server_port)
        sock = socket.create_connection(address)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock

    def stop(self) -> None:
        """Stop reading and close the connections."""
        self._greenlet.kill()
        self._listener.stop(timeout=0)
        self._client.close()

    def _receive_hints(self, sock: socket.socket, address: tuple) -> None:
        while sock.recv(64):
            self._hint.set()

    def _follow(self) -> None:
        offset = 0
        wait_s = MAX_WAIT_S if self._mode == "long_poll" else 0.0
        while True:
            self._wait_for_read()
            page = self._client.read(STREAM, offset=offset, wait_s=wait_s)
            self.reads += 1
            if errors.is_refusal(page):
                continue
            now = time.monotonic()
            for record in page.records:
                self.received_at[record.offset] = now
                offset = record.offset + 1

    def _wait_for_read(self) -> None:
        if self._mode == "poll":
            gevent.sleep(POLL_INTERVAL_S)
        elif self._mode == "push":
            self._hint.wait(timeout=MAX_WAIT_S)
            self._hint.clear()


def measure(*, seed: int) -> dict[str, Any]:
    """Measure, by mode, the time from an append to its last follower."""
    return {
        mode: _measure_mode(mode, seed)
        for mode in ("poll", "long_poll", "push")
    }


def _measure_mode(mode: str, seed: int) -> dict[str, Any]:
    source = random.Random(seed)
    service = log.LogService()
    service.start()
    host, port = service.address.split(":")
    writer = client.LogClient(host=host, port=int(port))
    followers = [
        Follower(address=service.address, mode=mode)
        for _ in range(FOLLOWER_COUNT)
    ]
    hint_sockets = (
        [follower.connect() for follower in followers] if mode == "push" else []
    )
    appended_at: dict[int, float] = {}
    run_started = time.monotonic()
    for _ in range(RECORD_COUNT):
        gevent.sleep(source.uniform(0.0, MAX_APPEND_GAP_S))
        started = time.monotonic()
        offset = writer.append(STREAM, b"x" * RECORD_BYTES)
        appended_at[offset] = started
        for sock in hint_sockets:
            sock.sendall(b"h")
    utils.wait_until(
        lambda: all(
            len(follower.received_at) == RECORD_COUNT for follower in followers
        ),
        timeout_s=30.0,
    )
    elapsed_s = time.monotonic() - run_started
    times = utils.Times()
    for offset, started in appended_at.items():
        times.add(
            max(follower.received_at[offset] for follower in followers)
            - started
        )
    reads = sum(follower.reads for follower in followers)
    for follower in followers:
        follower.stop()
    writer.close()
    service.stop()
    return {
        **times.describe(),
        "reads_per_follower_and_s": reads / FOLLOWER_COUNT / elapsed_s,
    }
