"""Protocol and faults of the log service, as its client sees them."""

import gevent
import pytest

from chervilcove.core import errors
from chervilcove.journal import client
from chervilcove.journal import conf
from chervilcove.standins import log

K = errors.Kind


@pytest.fixture
def service():
    service = log.LogService(retention=5)
    service.start()
    yield service
    service.stop()


@pytest.fixture
def log_client(service, monkeypatch):
    monkeypatch.setattr(conf, "APPEND_TIMEOUT_S", 0.3)
    monkeypatch.setattr(conf, "READ_TIMEOUT_S", 0.3)
    host, port = service.address.split(":")
    log_client = client.LogClient(host=host, port=int(port))
    yield log_client
    log_client.close()


class TestAppends:
    def test_offsets_increase_by_one_per_stream(self, log_client):
        assert [log_client.append("a", b"x") for _ in range(3)] == [0, 1, 2]
        assert log_client.append("b", b"y") == 0

    # Fault, kinds of the refusal, records in the stream after the append.
    FAULTS = {
        "down": ({"down": True}, K.LOG_UNAVAILABLE, 0),
        "refused": ({"refused_appends": 1}, K.LOG_UNAVAILABLE, 0),
        "lost": ({"lost_answers": 1}, K.OUTCOME_UNKNOWN, 1),
        "cut": ({"cut_answers": 1}, (K.OUTCOME_UNKNOWN, K.BAD_ANSWER), 1),
        "too slow": ({"append_delay_s": 0.5}, K.OUTCOME_UNKNOWN, 1),
        "hang": ({"hang": True}, K.OUTCOME_UNKNOWN, 0),
    }

    @pytest.mark.parametrize(
        ("faults", "kinds", "count"), FAULTS.values(), ids=FAULTS
    )
    def test_refusal_kind_shows_whether_append_may_have_taken_effect(
        self, service, log_client, faults, kinds, count
    ):
        service.faults = service.faults._replace(**faults)
        answer = log_client.append("a", b"x")
        assert answer.kind in (kinds if isinstance(kinds, tuple) else (kinds,))
        gevent.sleep(0.4)
        assert len(service.list_records("a")) == count
        service.faults = log.Faults()

    def test_append_to_a_stopped_service_fails_to_connect(
        self, service, log_client
    ):
        service.stop()
        assert log_client.append("a", b"x").kind is K.CONNECT_FAILED

    def test_evidence_has_the_outcome_of_each_append(self, service, log_client):
        log_client.append("a", b"x")
        service.faults = log.Faults(lost_answers=1, refused_appends=1)
        log_client.append("a", b"x")
        log_client.append("a", b"x")
        seen = [(one.offset, one.outcome) for one in service.evidence]
        assert seen == [(0, "answered"), (-1, "refused"), (1, "lost")]


class TestReads:
    def fill(self, log_client, count):
        for index in range(count):
            log_client.append("a", b"%d" % index)

    def test_read_returns_records_in_order_from_the_offset(self, log_client):
        self.fill(log_client, 4)
        page = log_client.read("a", offset=1, limit=2)
        assert [(one.offset, one.content) for one in page.records] == [
            (1, b"1"),
            (2, b"2"),
        ]
        assert (page.first, page.next) == (0, 4)

    def test_read_waits_for_the_next_record(self, log_client):
        reader = gevent.spawn(log_client.read, "a", offset=0, wait_s=2.0)
        gevent.sleep(0.05)
        log_client.append("a", b"x")
        assert [one.content for one in reader.get().records] == [b"x"]

    def test_read_returns_empty_after_the_wait(self, log_client):
        assert log_client.read("a", offset=0, wait_s=0.05).records == []

    # Requested offset, records appended, requested records already deleted.
    GAPS = {
        "empty stream": (0, 0, 0),
        "nothing deleted": (0, 3, 0),
        "retention": (0, 8, 3),
        "partly deleted": (2, 8, 1),
        "at the first offset": (3, 8, 0),
        "at the next offset": (8, 8, 0),
    }

    @pytest.mark.parametrize(
        ("offset", "count", "missing"), GAPS.values(), ids=GAPS
    )
    def test_deleted_records_are_reported_as_a_gap(
        self, log_client, offset, count, missing
    ):
        self.fill(log_client, count)
        page = log_client.read("a", offset=offset)
        assert client.count_lapsed_records(page, offset) == missing

    def test_fully_truncated_stream_has_a_gap(self, service, log_client):
        self.fill(log_client, 3)
        service.truncate("a", 3)
        page = log_client.read("a", offset=1)
        assert page.records == []
        assert client.count_lapsed_records(page, 1) == 2
        assert client.count_lapsed_records(page, 3) == 0

    FAULTS = {
        "down": ({"down": True}, K.LOG_UNAVAILABLE),
        "hang": ({"hang": True}, K.OUTCOME_UNKNOWN),
    }

    @pytest.mark.parametrize(("faults", "kind"), FAULTS.values(), ids=FAULTS)
    def test_faulty_service_refuses_reads_of_records_and_head(
        self, service, log_client, faults, kind
    ):
        service.faults = service.faults._replace(**faults)
        assert log_client.read("a", offset=0).kind is kind
        assert log_client.read_head("a").kind is kind
        service.faults = log.Faults()

    def test_lagging_read_has_exact_offset_bounds(self, service, log_client):
        self.fill(log_client, 2)
        service.faults = log.Faults(read_lag_s=60.0)
        page = log_client.read("a", offset=0)
        assert page.records == []
        assert page.next == 2
        assert log_client.read_head("a") == client.Head(0, 2)
