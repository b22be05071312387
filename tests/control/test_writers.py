import gevent
import pytest

from chervilcove.control import interfaces
from chervilcove.control import writers
from chervilcove.core import errors
from chervilcove.core import metrics as metric_values
from chervilcove.jobs import records
from tests.control import system as systems


class LossyLedger(interfaces.Ledger):
    """Note how long each append is waited for; lose some answers."""

    def __init__(self, *, lose=0, answer_s=0.0):
        self.lose = lose
        self.answer_s = answer_s
        self.timeouts = []
        self.stored = []

    def append(self, items, *, fence=None, timeout_s):
        self.timeouts.append(timeout_s)
        gevent.sleep(0)
        is_lost = self.lose > 0
        self.lose -= is_lost
        if is_lost or self.answer_s > timeout_s:
            return errors.refuse(errors.Kind.OUTCOME_UNKNOWN, "lost")
        self.stored.append(fence)
        return len(self.stored)

    def read(self, offset, *, wait_s, timeout_s):
        return interfaces.Chunk([], 0, 0)

    def read_newest(self, *, timeout_s):
        return interfaces.Chunk([], 0, 0)


@pytest.fixture
def start():
    started = []

    def build(kind, ledger, **options):
        writer = kind(ledger=ledger, metrics=metric_values.Metrics(), **options)
        started.append(writer)
        writer.start()
        return writer

    yield build
    for writer in started:
        writer.kill()


def start_owner(start, ledger):
    return start(
        writers.OwnerWriter,
        ledger,
        epoch=1,
        on_deposed=lambda reason: None,
    )


class TestAnswerTimes:
    def test_a_lost_answer_costs_little_and_a_slow_one_is_waited_for(self):
        times = writers.AnswerTimes()
        assert times.get_timeout_s(0) == writers.FIRST_TIMEOUT_S
        assert times.get_timeout_s(1) == 2 * writers.FIRST_TIMEOUT_S
        assert times.get_timeout_s(9) == writers.APPEND_TIMEOUT_S

    def test_a_ledger_that_turned_slow_is_waited_for_at_once(self):
        times = writers.AnswerTimes()
        times.note(0.008)
        assert times.get_timeout_s(0) == writers.FIRST_TIMEOUT_S
        times.note(0.25)
        assert times.get_timeout_s(0) == pytest.approx(1.0)
        for _ in range(20):
            times.note(0.008)
        assert times.get_timeout_s(0) == writers.FIRST_TIMEOUT_S


class TestOwnerWriter:
    def test_lost_answers_are_waited_for_longer_each_time(self, start):
        # Load: half of the answers to writes are lost for seconds. Each held
        # all decisions up for 1.2 s, as one append is in flight at a time.
        ledger = LossyLedger(lose=3)
        writer = start_owner(start, ledger)
        writer.put("k", b"v")
        systems.wait_until(lambda: ledger.stored)
        assert ledger.timeouts[:4] == [0.4, 0.8, 1.2, 1.2]
        assert {fence.sequence for fence in ledger.stored[:1]} == {1}

    def test_a_ledger_slower_than_the_first_wait_is_still_written(self, start):
        ledger = LossyLedger(answer_s=1.0)
        start_owner(start, ledger).put("k", b"v")
        systems.wait_until(lambda: ledger.stored)
        assert ledger.stored[0].sequence == 1

    def test_an_append_that_is_read_back_needs_no_answer(self, start):
        # platform_lost: the record is stored, and its answer never comes.
        ledger = LossyLedger()
        ledger.append = lambda items, **options: (
            ledger.timeouts.append(items) or gevent.sleep(1_000.0)
        )
        writer = start_owner(start, ledger)
        stored = []
        writer.put("k", b"v", lambda: stored.append(True))
        systems.wait_until(lambda: ledger.timeouts)
        beat = records.decode(*ledger.timeouts[0][-1])
        assert beat.value == records.OwnerHeartbeat(epoch=1, sequence=1)
        assert not stored
        writer.note_read_back(beat.value.sequence)
        systems.wait_until(lambda: stored)

    def test_leases_count_from_when_an_append_was_sent(
        self, start, monkeypatch
    ):
        # Found by reading: the machine is suspended for 5 s with an append
        # under way, and reads its answer once a successor has claimed.
        moment = [100.0]
        monkeypatch.setattr(writers, "read_clock", lambda: moment[0])
        ledger = LossyLedger()
        append = ledger.append

        def append_suspended(items, **options):
            moment[0] += 5.0
            return append(items, **options)

        ledger.append = append_suspended
        writer = start_owner(start, ledger)
        stored = []
        writer.put("k", b"v", lambda: stored.append(writer.last_stored))
        systems.wait_until(lambda: stored)
        assert stored == [100.0]

    def test_what_others_read_back_is_no_answer(self, start):
        ledger = LossyLedger(lose=1)
        writer = start_owner(start, ledger)
        writer.note_read_back(0)
        writer.put("k", b"v")
        systems.wait_until(lambda: ledger.stored)
        assert len(ledger.timeouts) == 2

    def test_what_follows_all_records_needs_no_append_of_its_own(self, start):
        ledger = LossyLedger()
        writer = start_owner(start, ledger)
        order = []
        writer.put("k", b"v", lambda: order.append("stored"))
        writer.call_when_stored(lambda: order.append("after"))
        systems.wait_until(lambda: len(order) == 2)
        assert order == ["stored", "after"]
        writer.call_when_stored(lambda: order.append("at once"))
        assert order[-1] == "at once"
        assert len(ledger.stored) == 1


class TestCallerWriter:
    def test_a_caller_does_not_wait_long_for_a_lost_answer(self, start):
        ledger = LossyLedger(lose=1)
        writer = start(
            writers.CallerWriter, ledger, is_read_back=lambda key: False
        )
        assert writer.write("j/a", b"v", timeout_s=2.0) is None
        assert ledger.timeouts == [0.4, 0.8]

    def test_a_record_that_was_read_back_is_stored(self, start):
        # platform_lost: half of the answers never come, and a second append
        # of the same record loses its answer as often.
        ledger = LossyLedger(lose=1_000)
        writer = start(
            writers.CallerWriter, ledger, is_read_back=lambda key: key == "j/a"
        )
        assert writer.write("j/a", b"v", timeout_s=2.0) is None
        assert len(ledger.timeouts) == 1
        refusal = writer.write("j/b", b"v", timeout_s=0.3)
        assert refusal.kind is errors.Kind.OUTCOME_UNKNOWN
