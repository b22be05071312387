"""Snapshots of topics from a store that is slow or fails part of the time."""

import base64
import json
import time
from urllib import parse

import gevent
from gevent import server
import pytest

from chervilcove.core import errors
from chervilcove.platform import snapshots
from chervilcove.platform import store

TIMEOUT_S = 0.4
PAGES = 4
PER_PAGE = 50


class PageServer:
    """Store that serves the pages of one topic.

    Attributes:
        piece_pause_s: Pause after each of the ten pieces of a page, seconds.
        delay_s: Seconds before the first byte of a page.
        answers_before_failure: Number of requests for a page that it answers.
            For further ones it closes the connection without an answer.
        first_offset: First record that is still kept.
        end_offset: End of the topic.
        asked: Last key named in each request for a page, empty for none.
        reads: Offset of each read of appended records.
    """

    def __init__(self):
        self.piece_pause_s = 0.0
        self.delay_s = 0.0
        self.answers_before_failure = 1_000
        self.first_offset = 0
        self.end_offset = PAGES * PER_PAGE
        self.asked = []
        self.reads = []
        self._server = server.StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.topic = store.KeyedTopic(
            peer=store.create_peer(
                store.Address("127.0.0.1", self._server.server_port)
            ),
            topic="keyed.topic",
        )

    def stop(self):
        self._server.stop()

    def _serve(self, sock, address):
        del address
        stream = sock.makefile("rb")
        while True:
            line = stream.readline().decode()
            while stream.readline().strip():
                pass
            if not line:
                return
            url = parse.urlsplit(line.split()[1])
            query = dict(parse.parse_qsl(url.query))
            if url.path == "/log-read":
                self._send(sock, *self._read(int(query["from"])))
                continue
            self.asked.append(query.get("after", ""))
            if len(self.asked) > self.answers_before_failure:
                return
            gevent.sleep(self.delay_s)
            self._send(sock, 200, self._build_page(query.get("after", "")))

    def _read(self, offset):
        self.reads.append(offset)
        if offset < self.first_offset:
            return 410, b"{}"
        head = self.end_offset.to_bytes(8, "big")
        content = b"\x03newvalue"
        record = len(content).to_bytes(4, "big") + content
        count = self.end_offset - offset
        return 200, head + bytes(8) + count * record

    def _build_page(self, after):
        begin = int(after) + 1 if after else 0
        numbers = range(begin, begin + PER_PAGE)
        value = base64.b64encode(bytes(200)).decode()
        page = {
            "items": [
                {"key": f"{number:06}", "value": value, "offset": number}
                for number in numbers
            ],
            "end_offset": self.end_offset,
            "has_more": numbers[-1] + 1 < PAGES * PER_PAGE,
        }
        return json.dumps(page).encode()

    def _send(self, sock, status, body):
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
        sock.sendall(head.encode())
        size = len(body) // 10 + 1
        for begin in range(0, len(body), size):
            sock.sendall(body[begin : begin + size])
            gevent.sleep(self.piece_pause_s)


@pytest.fixture
def page_server():
    made = PageServer()
    yield made
    made.stop()


class TestAppendedRecords:
    # An entry behind a small link never became current again: what it missed
    # took longer to arrive than one read might take, and was read from its
    # beginning again.
    def test_records_that_arrive_slowly_are_read(self, page_server):
        page_server.piece_pause_s = TIMEOUT_S / 4
        chunk = page_server.topic.read(0, wait_s=0.0, timeout_s=TIMEOUT_S)
        assert not errors.is_refusal(chunk)
        assert len(chunk.records) == PAGES * PER_PAGE

    def test_a_store_that_stops_within_an_answer_is_given_up(self, page_server):
        page_server.piece_pause_s = 5 * TIMEOUT_S
        began = time.monotonic()
        chunk = page_server.topic.read(0, wait_s=0.0, timeout_s=TIMEOUT_S)
        assert chunk.kind is errors.Kind.OUTCOME_UNKNOWN
        assert time.monotonic() - began < 4 * TIMEOUT_S


class TestSnapshots:
    def test_page_that_arrives_slowly_is_read(self, page_server):
        # Pages that take longer than the time-out were given up and read again
        # without end, when all entries shared the store after a loss of power.
        page_server.piece_pause_s = TIMEOUT_S / 5
        chunk = page_server.topic.read_newest(timeout_s=TIMEOUT_S)
        assert len(chunk.records) == PAGES * PER_PAGE
        assert len(page_server.asked) == PAGES

    def test_page_that_comes_late_is_waited_for_longer(self, page_server):
        # Each try was given up after the same time, however busy the store.
        page_server.delay_s = 1.5 * TIMEOUT_S
        chunk = page_server.topic.read_newest(timeout_s=TIMEOUT_S)
        assert len(chunk.records) == PAGES * PER_PAGE
        # Only the first page needed more than one try.
        assert len(page_server.asked) == PAGES + 1

    def test_lost_answers_do_not_lengthen_the_time_out(self, page_server):
        # One answer lost among fast ones says nothing about a busy store.
        page_server.topic.read_newest(timeout_s=TIMEOUT_S)
        delays = iter([10.0, 0.0, 10.0, 0.0, 10.0, 0.0, 0.0])
        build_page = page_server._build_page

        def delay_and_build(after):
            gevent.sleep(next(delays))
            return build_page(after)

        page_server._build_page = delay_and_build
        with gevent.Timeout(3 * TIMEOUT_S + 2.0):
            page_server.topic.read_newest(timeout_s=TIMEOUT_S)

    def test_silent_store_is_given_up(self, page_server):
        # Waiting for a store that is away would delay the return.
        page_server.delay_s = 10.0
        with gevent.Timeout(6.0):
            outcome = page_server.topic.read_newest(timeout_s=TIMEOUT_S)
        assert outcome.kind is errors.Kind.OUTCOME_UNKNOWN

    def test_snapshot_goes_on_after_a_page_that_failed(self, page_server):
        # From the first page on, it was never complete while calls failed.
        outcomes = []
        for _ in range(PAGES + 1):
            page_server.answers_before_failure = len(page_server.asked) + 1
            outcome = page_server.topic.read_newest(timeout_s=TIMEOUT_S)
            outcomes.append(outcome)
            if not errors.is_refusal(outcome):
                break
        assert len(outcomes[-1].records) == PAGES * PER_PAGE
        assert page_server.asked.count("") == 1

    def test_next_snapshot_begins_anew(self, page_server):
        # What was read before may have changed since.
        for _ in range(2):
            chunk = page_server.topic.read_newest(timeout_s=TIMEOUT_S)
            assert len(chunk.records) == PAGES * PER_PAGE
        assert page_server.asked.count("") == 2

    def test_appended_records_are_read_between_slow_pages(
        self, page_server, monkeypatch
    ):
        # The store had dropped them once a long snapshot was read, which then
        # began anew.
        monkeypatch.setattr(snapshots, "APPENDED_INTERVAL_S", 0.0)
        build_page = page_server._build_page

        def append_and_build(after):
            page = build_page(after)
            page_server.end_offset += 3
            return page

        page_server._build_page = append_and_build
        chunk = page_server.topic.read_newest(timeout_s=TIMEOUT_S)
        first = PAGES * PER_PAGE
        assert page_server.reads == [first, first + 3, first + 6]
        assert chunk.next_offset == first + 9
        appended = [one.offset for one in chunk.records if one.key == "new"]
        assert appended == list(range(first, first + 9))

    def test_snapshot_whose_records_lapsed_begins_anew(
        self, page_server, monkeypatch
    ):
        # Changes between its pages would be missing.
        page_server.answers_before_failure = 1
        page_server.topic.read_newest(timeout_s=TIMEOUT_S)
        page_server.first_offset = page_server.end_offset + 1
        monkeypatch.setattr(snapshots, "APPENDED_INTERVAL_S", 0.0)
        outcome = page_server.topic.read_newest(timeout_s=TIMEOUT_S)
        assert outcome.kind is errors.Kind.GONE
        page_server.first_offset = 0
        page_server.answers_before_failure = 1_000
        chunk = page_server.topic.read_newest(timeout_s=TIMEOUT_S)
        assert len([one for one in chunk.records if one.key != "new"]) == (
            PAGES * PER_PAGE
        )
        assert page_server.asked.count("") == 2
